//! Answers the operators' language.

mod command;
pub mod rows;

use std::{collections::BTreeSet, sync::Arc};

use drumusher_query::{
    select,
    statement::{self, Statement, Table},
};
use ntex::{SharedCfg, client::Client, http::HeaderMap, rt, time::Millis, web::HttpResponse};
use serde_json::json;
use subtle::ConstantTimeEq;

use self::rows::{Row, Source};
use crate::{
    error::{Error, Kind},
    process::{Shared, dispatch, peers},
    request::{head, id},
    version::digest,
};

/// Longest time the command line waits for an answer.
const LONGEST_ANSWER: Millis = Millis(20_000);
/// Longest answer the command line takes, in bytes.
const LONGEST_BODY: usize = 64 * 1024 * 1024;

/// The operator whose key a request carries.
///
/// # Errors
///
/// [`Kind::Unauthorized`] if it carries none. Every key is compared, each in constant time.
pub fn author(shared: &Shared, headers: &HeaderMap) -> Result<String, Error> {
    let given = digest(head::bearer(headers).unwrap_or_default());
    let mut found = None;
    for (name, hexadecimal) in &shared.settings.operators {
        let mut known = [0; 32];
        let readable = hex::decode_to_slice(hexadecimal, &mut known).is_ok();
        if readable && bool::from(known.ct_eq(&given)) {
            found = Some(name.clone());
        }
    }
    found.ok_or_else(|| Error::new(Kind::Unauthorized, "the operator key is missing or not valid"))
}

/// A statement for the log lines, without the values of fields, which may be secret.
fn subject(statement: &Statement) -> String {
    match statement {
        Statement::Show(table, _) => format!("show {table:?}"),
        Statement::Request(request) => format!("show request {request}"),
        Statement::RotateKey(workspace, _) => format!("rotate key {workspace}"),
        Statement::Release(digest) => format!("release {digest}"),
        Statement::Change(change) => {
            format!("{:?} {} {}", change.verb, change.kind.word(), change.name)
        }
    }
}

/// Answers one statement with JSON lines.
pub async fn execute(
    shared: Arc<Shared>,
    author: &str,
    text: &str,
    headers: &HeaderMap,
) -> HttpResponse {
    let statement = match statement::parse(text) {
        Ok(statement) => statement,
        Err(error) => return Error::new(Kind::BadRequest, error.to_string()).response(),
    };
    log::info!("operator {author} asks: {}", subject(&statement));
    let rows = match statement {
        Statement::Show(table, selection) => {
            let everywhere = matches!(
                table,
                Table::Running
                    | Table::Waiting
                    | Table::Engines
                    | Table::Services
                    | Table::Instances
                    | Table::Notices
            );
            let rows = if everywhere {
                gather(&shared, text).await
            } else {
                local_rows(&shared, text).await
            };
            let (missing, rows) = split(rows);
            let mut rows = select::run(&selection, rows);
            rows.extend(missing);
            rows
        }
        Statement::Request(_) => {
            let mut rows = gather(&shared, text).await;
            rows.sort_by_key(|row| row.get("time_ms").and_then(serde_json::Value::as_u64));
            rows
        }
        Statement::Change(change) => command::run(&shared, author, change, headers).await,
        Statement::RotateKey(workspace, version) => {
            command::rotate(&shared, author, workspace, version, headers).await
        }
        Statement::Release(digest) => command::release(&shared, &digest),
    };
    lines(&rows)
}

fn lines(rows: &[Row]) -> HttpResponse {
    let mut body = String::new();
    for row in rows {
        body.push_str(&serde_json::to_string(row).unwrap_or_default());
        body.push('\n');
    }
    HttpResponse::Ok().content_type("application/jsonl").body(body)
}

/// Parts the rows that name instances which did not answer.
fn split(rows: Vec<Row>) -> (Vec<Row>, Vec<Row>) {
    rows.into_iter().partition(|row| row.contains_key("no_answer"))
}

/// The rows of all instances, each once, with a row for each instance that did not answer.
async fn gather(shared: &Arc<Shared>, text: &str) -> Vec<Row> {
    let (reply, answers) = async_channel::bounded(1_024);
    if shared.peers.try_send(peers::Input::Gather(text.to_string(), reply)).is_err() {
        return vec![rows::row(json!({"no_answer": &*shared.name}))];
    }
    let (mut all, mut silent) = (Vec::new(), BTreeSet::new());
    while let Ok((instance, answer)) = answers.recv().await {
        match answer {
            Some(mut rows) => all.append(&mut rows),
            None => {
                silent.insert(instance);
            }
        }
    }
    all.extend(silent.iter().map(|name| rows::row(json!({"no_answer": &**name}))));
    all
}

/// The rows that this instance alone has for a statement, unselected.
pub async fn local_rows(shared: &Arc<Shared>, text: &str) -> Vec<Row> {
    match statement::parse(text) {
        Ok(Statement::Show(table, _)) => table_rows(shared, table).await,
        Ok(Statement::Request(text)) => request_rows(shared, &text),
        _ => Vec::new(),
    }
}

async fn table_rows(shared: &Arc<Shared>, table: Table) -> Vec<Row> {
    match table {
        Table::Running => dispatched(shared, Source::Running).await,
        Table::Waiting => dispatched(shared, Source::Waiting).await,
        Table::Engines => dispatched(shared, Source::Engines).await,
        Table::Services => dispatched(shared, Source::Services).await,
        Table::Classes => rows::classes(&shared.version.load().state),
        Table::Workspaces => rows::workspaces(&shared.version.load().state),
        Table::Instances => vec![rows::instance(shared)],
        Table::Config => vec![rows::configuration(&shared.version.load().state)],
        Table::Log => rows::commands(&shared.version.load().state),
        Table::Quarantine => rows::quarantine(&shared.quarantine()),
        Table::Notices => rows::notices(shared),
    }
}

async fn dispatched(shared: &Arc<Shared>, source: Source) -> Vec<Row> {
    let (reply, answer) = async_channel::bounded(1);
    if shared.dispatch.try_send(dispatch::Input::Rows(source, reply)).is_err() {
        return Vec::new();
    }
    let mut rows = answer.recv().await.unwrap_or_default();
    for row in &mut rows {
        row.insert("dispatcher".into(), json!(&*shared.name));
    }
    rows
}

/// Every step known here of the request of this identity, or every span of the trace. Both have
/// 128 bits, so that either may be asked for.
fn request_rows(shared: &Shared, text: &str) -> Vec<Row> {
    let steps = id::from_text(text).map(|id| shared.explanations.of(id)).unwrap_or_default();
    let rows = steps.into_iter().map(|step| {
        rows::row(json!({
            "time_ms": step.time_ms,
            "instance": &*shared.name,
            "what": step.what,
        }))
    });
    rows.chain(rows::spans(shared, text)).collect()
}

/// Sends a statement to the instance at `address` and returns its answer. Blocks; for the command
/// line.
///
/// # Errors
///
/// A sentence for the user.
pub fn send_statement(statement: &str, address: &str, key: &str) -> Result<String, String> {
    let runner = rt::System::build().name("ask").build(rt::DefaultRuntime);
    let (statement, key) = (statement.to_string(), key.to_string());
    let url = format!("http://{address}/operator/query");
    runner.block_on(async move {
        let client = Client::builder().response_timeout(LONGEST_ANSWER);
        let client = client.build(SharedCfg::default()).await.map_err(|e| e.to_string())?;
        let sent = client.post(url).bearer_auth(key).send_body(statement).await;
        let response = sent.map_err(|e| e.to_string())?;
        let status = response.status();
        let body = response.body().limit(LONGEST_BODY).await.map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if status.is_success() { Ok(text) } else { Err(text) }
    })
}
