//! Executes statements of the operators' query language.

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

/// Time that the command line waits for a response.
const RESPONSE_TIMEOUT: Millis = Millis(20_000);
/// Maximum response size that the command line accepts, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Returns the operator whose key a request carries.
///
/// # Errors
///
/// [`Kind::Unauthorized`] if it carries no valid key. Every known key is compared, each in constant time.
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
    found.ok_or_else(|| Error::new(Kind::Unauthorized, "the operator key is missing or invalid"))
}

/// Describes a statement for the log, without the values of its fields, which may be secret.
fn describe(statement: &Statement) -> String {
    match statement {
        Statement::Show(table, _) => format!("show {table:?}"),
        Statement::Request(request) => format!("show request {request}"),
        Statement::RotateKey(workspace, _) => format!("rotate key {workspace}"),
        Statement::Release(digest) => format!("release {digest}"),
        Statement::Change(change) => {
            format!("{:?} {} {}", change.verb, change.kind.as_str(), change.name)
        }
    }
}

/// Executes one statement and responds with JSON lines.
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
    log::info!("operator {author} executes: {}", describe(&statement));
    let rows = match statement {
        Statement::Show(table, selection) => {
            let all_instances = matches!(
                table,
                Table::Running
                    | Table::Waiting
                    | Table::Engines
                    | Table::Services
                    | Table::Instances
                    | Table::Notices
            );
            let rows = if all_instances {
                gather(&shared, text).await
            } else {
                local_rows(&shared, text).await
            };
            let (missing, rows) = split_unreachable(rows);
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
    json_lines(&rows)
}

fn json_lines(rows: &[Row]) -> HttpResponse {
    let mut body = String::new();
    for row in rows {
        body.push_str(&serde_json::to_string(row).unwrap_or_default());
        body.push('\n');
    }
    HttpResponse::Ok().content_type("application/jsonl").body(body)
}

/// Separates the rows that name unreachable instances from the others.
fn split_unreachable(rows: Vec<Row>) -> (Vec<Row>, Vec<Row>) {
    rows.into_iter().partition(|row| row.contains_key("no_answer"))
}

/// Collects the rows of all instances, each once, with a row for each instance that did not respond.
async fn gather(shared: &Arc<Shared>, text: &str) -> Vec<Row> {
    let (reply, receiver) = async_channel::bounded(1_024);
    if shared.peers.try_send(peers::Input::Gather(text.to_string(), reply)).is_err() {
        return vec![rows::row(json!({"no_answer": &*shared.name}))];
    }
    let (mut all, mut unreachable) = (Vec::new(), BTreeSet::new());
    while let Ok((instance, rows)) = receiver.recv().await {
        match rows {
            Some(mut rows) => all.append(&mut rows),
            None => {
                unreachable.insert(instance);
            }
        }
    }
    all.extend(unreachable.iter().map(|name| rows::row(json!({"no_answer": &**name}))));
    all
}

/// Returns the rows that this instance contributes to a statement, before selection.
pub async fn local_rows(shared: &Arc<Shared>, text: &str) -> Vec<Row> {
    match statement::parse(text) {
        Ok(Statement::Show(table, _)) => table_rows(shared, table).await,
        Ok(Statement::Request(text)) => request_rows(shared, &text),
        _ => Vec::new(),
    }
}

async fn table_rows(shared: &Arc<Shared>, table: Table) -> Vec<Row> {
    match table {
        Table::Running => dispatch_rows(shared, Source::Running).await,
        Table::Waiting => dispatch_rows(shared, Source::Waiting).await,
        Table::Engines => dispatch_rows(shared, Source::Engines).await,
        Table::Services => dispatch_rows(shared, Source::Services).await,
        Table::Classes => rows::classes(&shared.version.load().state),
        Table::Workspaces => rows::workspaces(&shared.version.load().state),
        Table::Instances => vec![rows::instance(shared)],
        Table::Config => vec![rows::configuration(&shared.version.load().state)],
        Table::Log => rows::commands(&shared.version.load().state),
        Table::Quarantine => rows::quarantine(&shared.quarantine()),
        Table::Notices => rows::notices(shared),
    }
}

async fn dispatch_rows(shared: &Arc<Shared>, source: Source) -> Vec<Row> {
    let (reply, receiver) = async_channel::bounded(1);
    if shared.dispatch.try_send(dispatch::Input::Rows(source, reply)).is_err() {
        return Vec::new();
    }
    let mut rows = receiver.recv().await.unwrap_or_default();
    for row in &mut rows {
        row.insert("dispatcher".into(), json!(&*shared.name));
    }
    rows
}

/// Returns all recorded steps of the request with this ID, or all spans of the trace with this ID. Both are 128 bits
/// long, so `text` may be either.
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

/// Sends a statement to the instance at `address` and returns its response. Blocks; used by the command line.
///
/// # Errors
///
/// An error message for the user.
pub fn send_statement(statement: &str, address: &str, key: &str) -> Result<String, String> {
    let runner = rt::System::build().name("ask").build(rt::DefaultRuntime);
    let (statement, key) = (statement.to_string(), key.to_string());
    let url = format!("http://{address}/operator/query");
    runner.block_on(async move {
        let client = Client::builder().response_timeout(RESPONSE_TIMEOUT);
        let client = client.build(SharedCfg::default()).await.map_err(|e| e.to_string())?;
        let sent = client.post(url).bearer_auth(key).send_body(statement).await;
        let response = sent.map_err(|e| e.to_string())?;
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if status.is_success() { Ok(text) } else { Err(text) }
    })
}
