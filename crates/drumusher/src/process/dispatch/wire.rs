//! Conversion of peer messages to scheduler events, and of orders to peer messages.

use std::{collections::HashMap, sync::Arc};

use drumusher_schedule::{
    ask::{self, Ask, Entry, Id, Outcome},
    event::Progress,
    order::Order,
    policy::{ClassKey, WorkspaceKey},
    server,
    time::Micros,
    version,
};
use drumusher_wire::peer::{self, Message};

use crate::{
    process::{broker::Attempt, clock, counts::Bucket, notices::KnownLimit},
    request::id,
    version::Version,
};

/// Decodes an ask of an entry. An unknown class counts as the lowest one. `keys` has the keys of the pool's backend
/// servers by name; the request must not run on those in `apart`, and only at these software `versions`.
pub(super) fn ask(
    entry: Entry,
    wire: &peer::Ask,
    version: &Version,
    keys: &HashMap<Arc<str>, server::Key>,
    apart: Vec<server::Key>,
    versions: version::Set,
) -> Option<Ask> {
    let lowest = ClassKey(version.policy.classes.len() as u16 - 1);
    let avoid = wire.avoid.as_deref();
    Some(Ask {
        id: id::from_wire(&wire.id)?,
        entry,
        class: version.class(&wire.traffic_class).unwrap_or(lowest),
        workspace: version.workspace(&wire.workspace).unwrap_or(WorkspaceKey(u16::MAX)),
        arrived: clock::now().saturating_sub(wire.age.max(0) as u64),
        prompt: wire.prompt.max(0) as u32,
        prefix: wire.prefix.unwrap_or(0) as u64,
        produced: wire.produced.unwrap_or(0).max(0) as u32,
        repeatable: !wire.unrepeatable.unwrap_or(false),
        preemptions: wire.preemptions.unwrap_or(0).clamp(0, 255) as u8,
        migrated: wire.server.is_some()
            || Attempt::from_wire(wire.attempt.unwrap_or(0)) == Attempt::Resent,
        avoid: avoid.and_then(|name| keys.get(name).copied()),
        anti_affinity: apart,
        output: wire.output.unwrap_or(0).max(0) as u32,
        parts: wire.parts.iter().flatten().map(read_part).collect(),
        deadline: wire.left.map(|left| clock::now() + left.max(0) as u64),
        versions,
    })
}

/// Decodes what an entry sent in one bucket of the window.
pub(super) fn count(count: &peer::Count) -> Bucket {
    let number = |number: i32| number.max(0) as u32;
    Bucket {
        age: u64::from(number(count.age)),
        requests: number(count.requests),
        retries: number(count.repeats),
    }
}

fn read_part(part: &peer::Part) -> ask::Part {
    ask::Part { id: part.id as u64, tokens: part.tokens.max(0) as u32 }
}

/// Decodes a progress report of an attempt.
pub(super) fn progress(
    id: Id,
    produced: u32,
    first_token: Option<i64>,
    gap: Option<i64>,
) -> Progress {
    Progress {
        id,
        produced,
        first_token: first_token.map(|time| time.max(0) as u64),
        gap: gap.unwrap_or(0).max(0) as u64,
    }
}

/// Decodes the outcome of an attempt. An unknown number counts as a failure.
pub(super) fn outcome(number: i16) -> Outcome {
    match number {
        0 => Outcome::Done,
        1 => Outcome::Cancelled,
        2 => Outcome::Preempted,
        4 => Outcome::Overloaded,
        5 => Outcome::ErrorResponse,
        6 => Outcome::ConnectFailed,
        _ => Outcome::Failed,
    }
}

/// What the dispatcher sends along with a grant.
pub(super) struct GrantContext {
    /// How much of the delegated retry budget is spent, in thousandths.
    pub(super) spent: i16,
    /// For a request on trial, whether it is the only trial on its server.
    pub(super) alone: Option<bool>,
    /// What is known of the rate limit of its backend server.
    pub(super) known_limit: KnownLimit,
    /// The software version that began the stream with which the request goes on.
    pub(super) version: Option<Arc<str>>,
    /// When the grant is sent.
    pub(super) now: Micros,
}

/// Encodes an order, and describes its reason for `show request`.
pub(super) fn order(
    order: &Order,
    names: &[Arc<str>],
    context: &GrantContext,
) -> (Entry, Id, Message, String) {
    match *order {
        Order::Grant {
            id,
            entry,
            server,
            source,
            expected,
            urgency,
            choice,
            waited,
            overtaken,
        } => {
            let name = names[usize::from(server.0)].to_string();
            let source = source.map(|source| names[usize::from(source.0)].to_string());
            let why = format!(
                "granted {name} after {waited} µs and {overtaken} other grants ({choice:?}, source \
                 {source:?}, first event expected in {expected} µs)"
            );
            let grant = peer::Grant {
                id: id::to_wire(id),
                server: name,
                waited: waited as i64,
                choice: choice as i16,
                source,
                expected: (expected > 0).then_some(expected as i64),
                spent: (context.spent > 0).then_some(context.spent),
                alone: context.alone,
                limited: context.known_limit.limited.then_some(true),
                lifted: context.known_limit.lifted.map(|at| context.now.saturating_sub(at) as i64),
                version: context.version.as_deref().map(String::from),
                urgency: urgency.map(i16::from),
            };
            (entry, id, Message::Grant(grant), why)
        }
        Order::Refuse { id, entry, refusal, retry_after } => {
            let why = format!("refused ({refusal:?}), retry after {retry_after} µs");
            let refuse = peer::Refuse::new(id::to_wire(id), refusal as i16, retry_after as i64);
            (entry, id, Message::Refuse(refuse), why)
        }
        Order::Preempt { id, entry, preemption } => {
            let why = format!("ordered to stop ({preemption:?})");
            let preempt = peer::Preempt::new(id::to_wire(id), preemption as i16);
            (entry, id, Message::Preempt(preempt), why)
        }
    }
}
