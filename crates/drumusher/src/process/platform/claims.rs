//! Claims: who may run a request that may not be repeated.

use std::collections::HashMap;

use drumusher_log::claim::{Answer, Attempt, Claim, Index, Key, Record, Status};
use drumusher_platform::{
    Error,
    log::{Log, Page, Service},
};
use ntex::{
    rt,
    time::{Millis, sleep},
};

use super::Context;
use crate::process::clock;

/// The stream of claims.
const CLAIMS: &str = "claims";
/// Most records in one read.
const PAGE: usize = 1_024;
/// How long a read waits for a record.
const WAIT_MS: u64 = 1_000;
/// Pause after a failure.
const AGAIN: Millis = Millis(100);

/// How a claim ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Claimed {
    /// This attempt holds the key: hand the request over.
    Won,
    /// Another claim was first.
    Lost(Box<Claim>),
    /// The log did not confirm it in time: do not hand over.
    Unconfirmed,
}

struct Waiting {
    key: Key,
    reply: async_channel::Sender<Claimed>,
}

/// The folded claims and who waits for which attempt.
#[derive(Default)]
pub(super) struct Claims {
    index: Index,
    waiting: HashMap<Attempt, Waiting>,
    /// Own claims that ended and whose end is not read back yet.
    ended: HashMap<Key, (Attempt, Answer)>,
}

impl Claims {
    fn fold(&mut self, offset: u64, time_ms: u64, body: &[u8]) {
        let record = self.index.apply(offset, time_ms, body);
        if let Some(Record::Done { key, .. }) = &record {
            self.ended.remove(key);
        }
        let Some(Record::Claim { key, attempt, .. }) = record else {
            return;
        };
        let Some(waiting) = self.waiting.remove(&attempt) else {
            return;
        };
        let claimed = match self.index.get(key) {
            Some(claim) if claim.attempt == attempt => Claimed::Won,
            Some(claim) => Claimed::Lost(Box::new(claim.clone())),
            None => Claimed::Unconfirmed,
        };
        let _ = waiting.reply.try_send(claimed);
    }

    /// The claim that is known to hold a key. Of an own one the end is known before it is read.
    fn known(&self, key: Key) -> Option<Claim> {
        let mut claim = self.index.get(key)?.clone();
        if let Some((attempt, answer)) = self.ended.get(&key)
            && claim.attempt == *attempt
        {
            claim.status = Status::Done(answer.clone());
        }
        Some(claim)
    }
}

/// Claims `key`, unless it is known to be claimed already.
pub(super) fn claim(
    context: &Context,
    key: Key,
    attempt: Attempt,
    request: u64,
    reply: async_channel::Sender<Claimed>,
) {
    let known = context.claims.borrow().known(key);
    if let Some(claim) = known {
        let _ = reply.try_send(Claimed::Lost(Box::new(claim)));
        return;
    }
    let instance = context.shared.name.to_string();
    let record = Record::Claim { key, attempt, instance, request };
    if !push(context, &record) {
        let _ = reply.try_send(Claimed::Unconfirmed);
        return;
    }
    context.claims.borrow_mut().waiting.insert(attempt, Waiting { key, reply });
    rt::spawn(give_up(context.clone(), attempt));
}

/// Ends the wait for a claim that the log does not confirm in time. The claim may still come into
/// the log, so it is released; nothing was handed over.
async fn give_up(context: Context, attempt: Attempt) {
    let longest = context.shared.settings.platform.claim_ms;
    sleep(Millis(longest as u32)).await;
    let waiting = context.claims.borrow_mut().waiting.remove(&attempt);
    if let Some(waiting) = waiting {
        let _ = waiting.reply.try_send(Claimed::Unconfirmed);
        release(&context, waiting.key, attempt);
    }
}

/// Gives a claim back: nothing was handed over. Goes after the claim in the same queue, so that it
/// follows it in the log.
pub(super) fn release(context: &Context, key: Key, attempt: Attempt) {
    push(context, &Record::Release { key, attempt });
}

/// Notes that a claimed request ran.
pub(super) fn done(context: &Context, key: Key, attempt: Attempt, answer: Answer) {
    context.claims.borrow_mut().ended.insert(key, (attempt, answer.clone()));
    push(context, &Record::Done { key, attempt, answer });
}

fn push(context: &Context, record: &Record) -> bool {
    let body = serde_json::to_vec(record).expect("records can be written");
    context.appends.push(CLAIMS, body)
}

/// Follows the stream, for ever.
pub(super) async fn follow(context: Context) {
    let address = context.shared.settings.log_service.to_string();
    let log = Service::new(context.http.clone(), &address);
    loop {
        let next = context.claims.borrow().index.next();
        if let Err(error) = step(&context, &log, next).await {
            context.shared.telemetry.count("drumusher.log.read_failures", &[]);
            log::debug!("claims cannot be read: the log service {error}");
            sleep(AGAIN).await;
        }
    }
}

async fn step(context: &Context, log: &Service, next: u64) -> Result<(), Error> {
    let records = match log.read(CLAIMS, next, PAGE, WAIT_MS).await? {
        Page::Records(records) => records,
        Page::Gone(first) => {
            context.claims.borrow_mut().index = Index::new(first);
            return Ok(());
        }
    };
    let retention = context.shared.settings.platform.retention_ms;
    let mut claims = context.claims.borrow_mut();
    for record in &records {
        claims.fold(record.offset, record.time_ms, &record.body);
    }
    claims.index.forget_before(clock::unix_ms().saturating_sub(retention));
    let held = claims.index.len() as u64;
    context.shared.telemetry.gauge("drumusher.claims", held);
    Ok(())
}
