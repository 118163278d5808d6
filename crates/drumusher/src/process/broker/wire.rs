//! What the broker knows as messages to other instances, and their messages as what it knows.

use std::sync::Arc;

use drumusher_log::quarantine::Digest;
use drumusher_schedule::{ask::Part, time::Micros};
use drumusher_wire::peer;

use super::{Attempt, Grant, Offer, Own};
use crate::{
    process::{
        clock, counts,
        notices::{Basis, Record},
    },
    request::id,
};

/// An ask for its dispatcher, with what that is told of the repeats of this entry, and with the backend server it was
/// granted, if it runs already.
pub(super) fn ask(own: &Own, server: Option<&str>, attempt: Attempt, offer: &Offer) -> peer::Ask {
    peer::Ask {
        id: id::to_wire(own.id),
        pool: own.pool.to_string(),
        workspace: own.workspace.to_string(),
        traffic_class: own.class.to_string(),
        age: clock::now().saturating_sub(own.arrived) as i64,
        prompt: own.prompt as i32,
        prefix: (own.prefix != 0).then_some(own.prefix as i64),
        produced: (own.produced != 0).then_some(own.produced as i32),
        unrepeatable: (!own.repeatable).then_some(true),
        preemptions: (own.preemptions != 0).then_some(i16::from(own.preemptions)),
        avoid: own.avoid.as_ref().map(|name| name.to_string()),
        server: server.map(String::from),
        redirected: None,
        output: (own.output != 0).then_some(own.output as i32),
        parts: (!own.parts.is_empty()).then(|| own.parts.iter().map(part).collect()),
        attempt: Some(attempt as i16),
        lent: None,
        spent: (offer.spent > 0).then_some(offer.spent),
        digest: own.digest.map(Digest::to_wire),
        sent: offer.sent.as_ref().map(|sent| sent.iter().map(count).collect()),
        notices: None,
    }
}

/// What a backend server said of itself, for a dispatcher.
pub(super) fn notice(record: &Record, now: Micros) -> peer::Notice {
    let age = |at: Micros| now.saturating_sub(at) as i64;
    let limit = record.limit.rate();
    let rest = record.rest.map(|(_, until)| until.saturating_sub(now) as i64);
    peer::Notice {
        pool: record.pool.to_string(),
        server: record.server.to_string(),
        born: record.started_ms.map(|born| born as i64),
        limit: limit.map(|rate| i64::from(rate.0)),
        named: limit.map(|_| age(record.limit.named())),
        lifted: record.limit.lifted().map(age),
        leaving: record.leaving.map(|_| true),
        rest: rest.filter(|left| *left > 0),
    }
}

fn count(part: &counts::Part) -> peer::Count {
    peer::Count::new(part.age as i32, part.requests as i32, part.repeats as i32)
}

fn part(part: &Part) -> peer::Part {
    peer::Part::new(part.id as i64, part.tokens as i32)
}

/// A grant of the dispatcher `from`.
pub(super) fn grant(grant: &peer::Grant, from: &Arc<str>) -> Grant {
    Grant {
        server: grant.server.as_str().into(),
        source: grant.source.as_deref().map(Arc::from),
        expected: grant.expected.unwrap_or(0).max(0) as u64,
        dispatcher: from.clone(),
        alone: grant.alone == Some(true),
        basis: Basis {
            limited: grant.limited == Some(true),
            lifted: grant.lifted.map(|age| clock::now().saturating_sub(age.max(0) as u64)),
        },
    }
}
