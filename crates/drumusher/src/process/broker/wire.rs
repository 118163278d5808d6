//! Conversion between the broker's types and peer messages.

use std::sync::Arc;

use drumusher_log::quarantine::Digest;
use drumusher_schedule::{
    ask::Part,
    time::{MILLISECOND, Micros},
};
use drumusher_wire::peer;

use super::{Attempt, BudgetReport, DispatchRequest, Grant};
use crate::{
    process::{
        clock, counts,
        notices::{KnownLimit, Record},
    },
    request::id,
};

/// Encodes an ask for a dispatcher, with the report for the retry budget, and with the granted backend server if the
/// request runs already.
pub(super) fn ask(
    request: &DispatchRequest,
    server: Option<&str>,
    attempt: Attempt,
    budget_report: &BudgetReport,
) -> peer::Ask {
    peer::Ask {
        id: id::to_wire(request.id),
        pool: request.pool.to_string(),
        workspace: request.workspace.to_string(),
        traffic_class: request.class.to_string(),
        age: clock::now().saturating_sub(request.arrived) as i64,
        prompt: request.prompt as i32,
        prefix: (request.prefix != 0).then_some(request.prefix as i64),
        produced: (request.produced != 0).then_some(request.produced as i32),
        unrepeatable: (!request.repeatable).then_some(true),
        preemptions: (request.preemptions != 0).then_some(i16::from(request.preemptions)),
        avoid: request.avoid.as_ref().map(|name| name.to_string()),
        server: server.map(String::from),
        redirected: None,
        output: (request.output != 0).then_some(request.output as i32),
        parts: (!request.parts.is_empty()).then(|| request.parts.iter().map(part).collect()),
        attempt: Some(attempt as i16),
        lent: None,
        spent: (budget_report.spent > 0).then_some(budget_report.spent),
        digest: request.digest.map(Digest::to_wire),
        sent: budget_report.sent.as_ref().map(|sent| sent.iter().map(count).collect()),
        notices: None,
        stream: request.stream.as_ref().map(|stream| stream.key.0 as i64),
        patience: request
            .stream
            .as_ref()
            .map(|stream| (stream.until.saturating_sub(clock::now()) / MILLISECOND) as i64),
        resumed: request.stream.as_ref().filter(|stream| stream.resumed).map(|s| s.named),
        version: request
            .stream
            .as_ref()
            .and_then(|stream| Some(stream.version.as_ref()?.to_string())),
        left: request.deadline.map(|deadline| deadline.saturating_sub(clock::now()) as i64),
    }
}

/// Encodes what a backend server announced, for a dispatcher.
pub(super) fn notice(record: &Record, now: Micros) -> peer::Notice {
    let age = |at: Micros| now.saturating_sub(at) as i64;
    let limit = record.limit.rate();
    let rest = record.rest.map(|(_, until)| until.saturating_sub(now) as i64);
    peer::Notice {
        pool: record.pool.to_string(),
        server: record.server.to_string(),
        born: record.started_ms.map(|born| born as i64),
        limit: limit.map(|rate| i64::from(rate.0)),
        named: limit.map(|_| age(record.limit.announced())),
        lifted: record.limit.lifted().map(age),
        leaving: record.leaving.map(|_| true),
        rest: rest.filter(|left| *left > 0),
        brittle: record.brittle.map(|(bearable, _)| bearable.min(i32::MAX as u32) as i32),
    }
}

fn count(bucket: &counts::Bucket) -> peer::Count {
    peer::Count::new(bucket.age as i32, bucket.requests as i32, bucket.retries as i32)
}

fn part(part: &Part) -> peer::Part {
    peer::Part::new(part.id as i64, part.tokens as i32)
}

/// Decodes a grant of the dispatcher `from`.
pub(super) fn grant(grant: &peer::Grant, from: &Arc<str>) -> Grant {
    Grant {
        server: grant.server.as_str().into(),
        source: grant.source.as_deref().map(Arc::from),
        expected: grant.expected.unwrap_or(0).max(0) as u64,
        dispatcher: from.clone(),
        alone: grant.alone == Some(true),
        known_limit: KnownLimit {
            limited: grant.limited == Some(true),
            lifted: grant.lifted.map(|age| clock::now().saturating_sub(age.max(0) as u64)),
        },
        version: grant.version.as_deref().map(Arc::from),
        urgency: grant.urgency.and_then(|urgency| u8::try_from(urgency).ok()),
    }
}
