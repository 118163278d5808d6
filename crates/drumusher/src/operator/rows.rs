//! Rows of the tables listed by `show`. They contain no secrets.

use std::{sync::Arc, time::UNIX_EPOCH};

use drumusher_log::{
    config::{State, Verdict},
    quarantine,
};
use drumusher_schedule::{ask::Ask, pool, server::Server, time::MILLISECOND};
use serde_json::{Value as Json, json};

use crate::{
    process::{Shared, clock},
    request::id,
    version::{Pool, Version},
};

pub use drumusher_query::select::Row;

/// Rows that the dispatch thread provides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Running requests.
    Running,
    /// Waiting requests.
    Waiting,
    /// Model engines.
    Engines,
    /// Backend servers of plain services.
    Services,
}

/// Converts a JSON object to a row.
pub fn row(value: Json) -> Row {
    match value {
        Json::Object(row) => row,
        _ => Row::new(),
    }
}

/// Adds the rows of one pool to a table.
pub fn add_pool_rows(
    source: Source,
    pool: &Pool,
    state: &pool::Pool,
    names: &[Arc<str>],
    version: &Version,
    rows: &mut Vec<Row>,
) {
    let now = clock::now();
    match source {
        Source::Running => rows.extend(state.iter_running().map(|running| {
            let mut row = request_row(&running.ask, pool, version);
            row.insert("server".into(), json!(&*names[usize::from(running.server.0)]));
            row.insert("running".into(), json!((now - running.granted) / 1_000));
            row.insert("tokens".into(), json!(running.produced));
            row
        })),
        Source::Waiting => rows.extend(state.iter_waiting().map(|waiting| {
            let mut row = request_row(&waiting.ask, pool, version);
            row.insert("waited".into(), json!((now - waiting.since) / 1_000));
            row
        })),
        Source::Engines | Source::Services => {
            let wanted = matches!(pool, Pool::Model(_)) == (source == Source::Engines);
            if wanted {
                let servers = state.servers();
                rows.extend(servers.map(|(key, server)| {
                    let mut row = server_row(&names[usize::from(key.0)], server, pool, now);
                    if source == Source::Engines {
                        // In steps of 0.1 ms.
                        let pace = state.pace(now, key).map(|pace| (pace / 100.0).round() / 10.0);
                        row.insert("pace_ms".into(), json!(pace));
                    }
                    row
                }));
            }
        }
    }
}

fn request_row(ask: &Ask, pool: &Pool, version: &Version) -> Row {
    let class = version.policy.class(ask.class);
    let workspace = version.policy.workspace(ask.workspace);
    row(json!({
        "request": id::to_text(ask.id),
        "pool": pool.to_string(),
        "class": class.name,
        "tier": class.tier,
        "workspace": workspace.map(|workspace| workspace.name.as_str()),
        "prompt": ask.prompt,
        "preemptions": ask.preemptions,
    }))
}

fn server_row(name: &str, server: &Server, pool: &Pool, now: u64) -> Row {
    let backlog = server.engine().backlog();
    row(json!({
        "server": name,
        "pool": pool.to_string(),
        "health": server.health().word(),
        "leaving": server.leaving(),
        "running": server.running(),
        "running_of_others": server.foreign(),
        "window": server.window(),
        "free": server.free(now),
        "token_gap_us": server.measured_gap().map(|gap| gap as u64),
        "backlog_ms": server.profile().map(|_| backlog.time_ahead(now, u8::MAX) / MILLISECOND),
        "memory": server.profile().map(|_| backlog.memory()),
    }))
}

/// Returns the traffic classes.
pub fn classes(state: &State) -> Vec<Row> {
    let classes = state.classes.iter().map(|(name, class)| {
        let mut row = row(json!(class.object));
        row.insert("class".into(), json!(name));
        row.insert("version".into(), json!(class.version));
        row.insert("changed_by".into(), json!(class.author));
        row
    });
    classes.collect()
}

/// Returns the workspaces, without their keys.
pub fn workspaces(state: &State) -> Vec<Row> {
    let workspaces = state.workspaces.iter().map(|(name, workspace)| {
        let mut row = row(json!(workspace.object));
        row.remove("key_sha256");
        row.insert("has_key".into(), json!(workspace.object.key_sha256.is_some()));
        row.insert("workspace".into(), json!(name));
        row.insert("version".into(), json!(workspace.version));
        row.insert("changed_by".into(), json!(workspace.author));
        row
    });
    workspaces.collect()
}

/// Returns the row of this instance.
pub fn instance(shared: &Shared) -> Row {
    let hosted: Vec<String> = shared.hosted.load().iter().map(Pool::to_string).collect();
    let requests = shared.requests.load(std::sync::atomic::Ordering::Acquire);
    row(json!({
        "instance": &*shared.name,
        "availability_zone": &*shared.area,
        "ready": shared.ready(),
        "stopping": shared.stopping(),
        "requests": requests,
        "dispatches": hosted,
        "next_offset": shared.version.load().state.next,
    }))
}

/// Returns a summary of the configuration in force at this instance.
pub fn configuration(state: &State) -> Row {
    row(json!({
        "next_offset": state.next,
        "classes": state.classes.len(),
        "workspaces": state.workspaces.len(),
        "engines": state.engines.len(),
        "services": state.services.len(),
    }))
}

/// Returns the latest commands with their verdicts, without key digests.
pub fn commands(state: &State) -> Vec<Row> {
    let commands = state.commands.iter().map(|command| {
        let mut fields = command.change.fields.clone();
        if fields.remove("key_sha256").is_some() {
            fields.insert("key".into(), drumusher_log::config::Value::Text("(new)".into()));
        }
        let verdict = match &command.verdict {
            Verdict::Accepted => json!("accepted"),
            Verdict::Conflict { .. } => json!("conflict"),
            Verdict::Invalid { reason } => json!(format!("invalid: {reason}")),
        };
        row(json!({
            "offset": command.offset,
            "time_ms": command.time_ms,
            "author": command.author,
            "verb": command.change.verb,
            "kind": command.change.kind.as_str(),
            "name": command.change.name,
            "fields": fields,
            "verdict": verdict,
            "nonce": command.nonce,
        }))
    });
    commands.collect()
}

/// Returns the requests that crash backend servers, with the evidence: which runs of backend servers crashed while the
/// request ran there, and which of those during an isolated trial.
pub fn quarantine(table: &quarantine::Table) -> Vec<Row> {
    let rows = table.iter().map(|(digest, record)| {
        let on_trial = record.ends.iter().filter(|(_, alone)| **alone);
        row(json!({
            "request": digest.to_hex(),
            "workspace": record.workspace,
            "route": record.route,
            "verdict": record.verdict().as_str(),
            "since_ms": record.since_ms,
            "latest_ms": record.latest_ms,
            "ended": record.ends.keys().collect::<Vec<_>>(),
            "ended_on_trial": on_trial.map(|(start, _)| start).collect::<Vec<_>>(),
        }))
    });
    rows.collect()
}

/// Returns the notices of backend servers (limit, leaving, rest) that this instance received and that are in force,
/// with their age.
pub fn notices(shared: &Shared) -> Vec<Row> {
    let now = clock::now();
    let age_ms = |since: u64| now.saturating_sub(since) / MILLISECOND;
    let rows = shared.notices.all_in_force(now).into_iter().map(|record| {
        let limit = record.limit.rate().map(|rate| rate.per_second());
        let rest = record.rest.filter(|(_, until)| now < *until);
        row(json!({
            "server": &*record.server,
            "pool": record.pool.to_string(),
            "heard_by": &*shared.name,
            "limit_per_second": limit,
            "limit_age_ms": limit.map(|_| age_ms(record.limit.since())),
            "limit_heard_ms": limit.map(|_| age_ms(record.limit.announced())),
            "leaving": record.leaving.is_some(),
            "leaving_age_ms": record.leaving.map(age_ms),
            "rest_age_ms": rest.map(|(since, _)| age_ms(since)),
            "rest_left_ms": rest.map(|(_, until)| (until - now) / MILLISECOND),
        }))
    });
    rows.collect()
}

/// Returns the recorded spans of a trace.
pub fn spans(shared: &Shared, trace: &str) -> Vec<Row> {
    let spans = shared.telemetry.spans_of(trace);
    let rows = spans.iter().map(|span| {
        let since = span.start_time.duration_since(UNIX_EPOCH).unwrap_or_default();
        let lasted = span.end_time.duration_since(span.start_time).unwrap_or_default();
        let attributes = span.attributes.iter();
        let attributes: serde_json::Map<String, Json> = attributes
            .map(|attribute| (attribute.key.to_string(), json!(attribute.value.to_string())))
            .collect();
        row(json!({
            "time_ms": since.as_millis() as u64,
            "instance": &*shared.name,
            "span": span.name,
            "span_id": span.span_context.span_id().to_string(),
            "parent": span.parent_span_id.to_string(),
            "lasted_us": lasted.as_micros() as u64,
            "attributes": attributes,
        }))
    });
    rows.collect()
}
