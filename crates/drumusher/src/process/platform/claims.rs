//! Claims: which attempt may run a request that must not be repeated.

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
/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 1_024;
/// Long-poll wait of a read, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// Pause after a failed read.
const RETRY_PAUSE: Millis = Millis(100);

/// Result of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Claimed {
    /// This attempt holds the key: send the request.
    Won,
    /// Another attempt claimed the key first.
    Lost(Box<Claim>),
    /// The log did not confirm the claim in time: do not send the request.
    Unconfirmed,
}

struct Waiting {
    key: Key,
    reply: async_channel::Sender<Claimed>,
}

/// Claims read from the log, and the attempts that wait for their result.
#[derive(Default)]
pub(super) struct Claims {
    index: Index,
    waiting: HashMap<Attempt, Waiting>,
    /// This instance's claims whose requests have ended, until the end is read back from the log.
    ended: HashMap<Key, (Attempt, Answer)>,
}

impl Claims {
    fn apply_record(&mut self, offset: u64, time_ms: u64, body: &[u8]) {
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

    /// The claim known to hold a key. The end of this instance's own claim is known before it is read back.
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

/// Claims `key`, unless it is known to be claimed already. The result is sent to `reply`.
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
    rt::spawn(time_out(context.clone(), attempt));
}

/// Ends the wait for a claim that the log does not confirm in time. The claim may still reach the log, so it
/// is released; the request was not sent.
async fn time_out(context: Context, attempt: Attempt) {
    let longest = context.shared.settings.platform.claim_ms;
    sleep(Millis(longest as u32)).await;
    let waiting = context.claims.borrow_mut().waiting.remove(&attempt);
    if let Some(waiting) = waiting {
        let _ = waiting.reply.try_send(Claimed::Unconfirmed);
        release(&context, waiting.key, attempt);
    }
}

/// Releases a claim whose request was not sent. The record goes through the same queue as the claim, so it
/// follows the claim in the log.
pub(super) fn release(context: &Context, key: Key, attempt: Attempt) {
    push(context, &Record::Release { key, attempt });
}

/// Records that a claimed request ran, with its response.
pub(super) fn done(context: &Context, key: Key, attempt: Attempt, answer: Answer) {
    context.claims.borrow_mut().ended.insert(key, (attempt, answer.clone()));
    push(context, &Record::Done { key, attempt, answer });
}

fn push(context: &Context, record: &Record) -> bool {
    let body = serde_json::to_vec(record).expect("records serialize to JSON");
    context.appends.push(CLAIMS, body)
}

/// Follows the stream; never returns.
pub(super) async fn follow(context: Context) {
    let address = context.shared.settings.log_service.to_string();
    let log = Service::new(context.http.clone(), &address);
    loop {
        let next = context.claims.borrow().index.next();
        if let Err(error) = step(&context, &log, next).await {
            context.shared.telemetry.count("drumusher.log.read_failures", &[]);
            log::debug!("claims cannot be read: the log service {error}");
            sleep(RETRY_PAUSE).await;
        }
    }
}

async fn step(context: &Context, log: &Service, next: u64) -> Result<(), Error> {
    let records = match log.read(CLAIMS, next, MAX_READ_RECORDS, WAIT_MS).await? {
        Page::Records(records) => records,
        Page::Gone(first) => {
            context.claims.borrow_mut().index = Index::new(first);
            return Ok(());
        }
    };
    let retention = context.shared.settings.platform.retention_ms;
    let mut claims = context.claims.borrow_mut();
    for record in &records {
        claims.apply_record(record.offset, record.time_ms, &record.body);
    }
    claims.index.forget_before(clock::unix_ms().saturating_sub(retention));
    let held = claims.index.len() as u64;
    context.shared.telemetry.gauge("drumusher.claims", held);
    Ok(())
}
