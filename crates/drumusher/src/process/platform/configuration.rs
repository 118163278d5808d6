//! Following the configuration stream, passing records on, and writing snapshots.

use std::{
    collections::{HashMap, VecDeque},
    sync::Mutex,
};

use drumusher_log::{
    boot::{Boot, RawRecord},
    config::{Record, State, Verdict, apply},
};
use drumusher_platform::{
    Error,
    log::{Log, Page, Record as PlatformRecord, Service},
};
use drumusher_wire::peer;
use ntex::time::{Millis, sleep};

use super::Context;
use crate::process::peers;

/// The stream of the operators' commands.
pub const CONFIGURATION: &str = "config";
/// Most records in one read.
const PAGE: usize = 512;
/// How long a read waits for a record.
const WAIT_MS: u64 = 1_000;
/// Pause after a failure.
const AGAIN: Millis = Millis(150);
/// Records kept to pass on to other instances.
const RECENT: usize = 1_024;

/// The latest records, to pass on. Of the process, because the peers thread reads it.
static RECENT_RECORDS: Mutex<VecDeque<RawRecord>> = Mutex::new(VecDeque::new());

/// The records from `offset` on, if all of them are at hand.
pub fn recent_from(offset: u64) -> Option<peer::Records> {
    let recent = RECENT_RECORDS.lock().expect("no holder panics");
    let first = recent.front()?.offset;
    let start = usize::try_from(offset.checked_sub(first)?).ok()?;
    let rest: Vec<&RawRecord> = recent.iter().skip(start).collect();
    let joins = rest.first().is_some_and(|kept| kept.offset == offset);
    joins.then(|| {
        let bodies = rest.iter().map(|kept| kept.body.clone()).collect();
        let times = rest.iter().map(|kept| kept.time_ms as i64).collect();
        peer::Records::new(offset as i64, bodies, times)
    })
}

fn keep(kept: &RawRecord) {
    let mut recent = RECENT_RECORDS.lock().expect("no holder panics");
    let joins = recent.back().is_none_or(|last| last.offset + 1 == kept.offset);
    if !joins {
        recent.clear();
    }
    if recent.len() == RECENT {
        recent.pop_front();
    }
    recent.push_back(kept.clone());
}

/// The fold's state and who waits for a verdict.
#[derive(Default)]
pub(super) struct Follower {
    state: Option<State>,
    waiting: HashMap<String, async_channel::Sender<(u64, Verdict)>>,
}

impl Follower {
    /// Tells `reply` when the command with `nonce` is read back.
    pub(super) fn wait(&mut self, nonce: String, reply: async_channel::Sender<(u64, Verdict)>) {
        let known = self.state.as_ref().and_then(|state| state.command(&nonce));
        if let Some(command) = known {
            let _ = reply.try_send((command.offset, command.verdict.clone()));
            return;
        }
        self.waiting.retain(|_, reply| !reply.is_closed());
        self.waiting.insert(nonce, reply);
    }

    /// Folds records that join on. Returns whether the state changed.
    fn fold(&mut self, records: &[RawRecord]) -> bool {
        if self.state.is_none() && records.first().is_some_and(|first| first.offset == 0) {
            self.state = Some(State::new());
        }
        let Some(state) = &mut self.state else {
            return false;
        };
        let before = state.next;
        for kept in records {
            if kept.offset != state.next {
                continue;
            }
            apply(state, kept.offset, kept.time_ms, &kept.body);
            keep(kept);
        }
        if state.next == before {
            return false;
        }
        self.tell();
        true
    }

    /// Takes a whole state if it is newer.
    fn adopt(&mut self, state: State) -> bool {
        let newer = self.state.as_ref().is_none_or(|own| state.next > own.next);
        if newer {
            self.state = Some(state);
            self.tell();
        }
        newer
    }

    fn tell(&mut self) {
        let Some(state) = &self.state else {
            return;
        };
        self.waiting.retain(|nonce, reply| {
            let Some(command) = state.command(nonce) else {
                return true;
            };
            let _ = reply.try_send((command.offset, command.verdict.clone()));
            false
        });
    }
}

fn publish(context: &Context) {
    let state = context.configuration.borrow().state.clone();
    if let Some(state) = state {
        context.shared.publish(state);
        super::members::rebuild(context);
    }
}

/// Follows the stream, for ever.
pub(super) async fn follow(context: Context) {
    let address = context.shared.settings.log_service.to_string();
    let log = Service::new(context.http.clone(), &address);
    loop {
        let next = context.configuration.borrow().state.as_ref().map(|state| state.next);
        let done = match next {
            Some(next) => step(&context, &log, next).await,
            None => boot(&context, &log).await,
        };
        if let Err(error) = done {
            context.shared.telemetry.count("drumusher.log.read_failures", &[]);
            log::debug!("configuration cannot be read: the log service {error}");
            if next.is_none() {
                let _ = context.shared.peers.try_send(peers::Input::FetchConfiguration);
            }
            sleep(AGAIN).await;
        }
    }
}

async fn step(context: &Context, log: &Service, next: u64) -> Result<(), Error> {
    match log.read(CONFIGURATION, next, PAGE, WAIT_MS).await? {
        Page::Records(records) => {
            let records: Vec<RawRecord> = records.into_iter().map(kept).collect();
            let changed = context.configuration.borrow_mut().fold(&records);
            if changed {
                publish(context);
            }
        }
        Page::Gone(first) => {
            let state = read_all(context, log, first).await?;
            let adopted = state.is_some_and(|s| context.configuration.borrow_mut().adopt(s));
            if adopted {
                publish(context);
            }
        }
    }
    Ok(())
}

async fn boot(context: &Context, log: &Service) -> Result<(), Error> {
    let first = match log.read(CONFIGURATION, 0, 1, 0).await? {
        Page::Records(_) => 0,
        Page::Gone(first) => first,
    };
    let Some(state) = read_all(context, log, first).await? else {
        log::warn!("the log's oldest records are gone and it has no usable snapshot");
        return Err(Error::Malformed("no usable snapshot".into()));
    };
    let adopted = context.configuration.borrow_mut().adopt(state);
    if adopted {
        publish(context);
    }
    Ok(())
}

/// Reads from the oldest kept record to the end, and finds the state.
async fn read_all(context: &Context, log: &Service, first: u64) -> Result<Option<State>, Error> {
    let mut boot = Boot::new(first);
    let own = context.configuration.borrow().state.clone();
    if let Some(state) = own {
        boot.offer(state);
    }
    let mut next = first;
    loop {
        let Page::Records(records) = log.read(CONFIGURATION, next, PAGE, 0).await? else {
            return Err(Error::Malformed("records went while they were read".into()));
        };
        let Some(last) = records.last() else {
            return Ok(boot.finish());
        };
        next = last.offset + 1;
        for record in records {
            boot.push(kept(record));
        }
    }
}

fn kept(record: PlatformRecord) -> RawRecord {
    RawRecord { offset: record.offset, time_ms: record.time_ms, body: record.body }
}

/// Records that another instance passed on. Those that do not join on wait for the log.
pub(super) fn relayed(context: &Context, records: peer::Records) {
    let first = records.first.max(0) as u64;
    let offsets = first..;
    let bodies = records.bodies.into_iter().zip(records.times);
    let joined = offsets.zip(bodies).map(|(offset, (body, time))| RawRecord {
        offset,
        time_ms: time.max(0) as u64,
        body,
    });
    let records: Vec<RawRecord> = joined.collect();
    let changed = context.configuration.borrow_mut().fold(&records);
    if changed {
        context.shared.telemetry.count("drumusher.config.relayed", &[]);
        publish(context);
    }
}

/// A whole state that another instance offers.
pub(super) fn offered(context: &Context, snapshot: &[u8]) {
    let Ok(state) = serde_json::from_slice::<State>(snapshot) else {
        return;
    };
    let adopted = context.configuration.borrow_mut().adopt(state);
    if adopted {
        context.shared.telemetry.count("drumusher.config.offered", &[]);
        publish(context);
    }
}

/// Appends a snapshot whenever enough records came since the last one. Several instances may do
/// so at once; a duplicate or late one does no harm.
pub(super) async fn snapshots(context: Context) {
    let every = context.shared.settings.platform.snapshot_every;
    let mut last = 0;
    loop {
        // Instances take turns by chance, so that one is usually first.
        let pause = 500 + rand::random_range(0..1_500);
        sleep(Millis(pause)).await;
        let state = context.configuration.borrow().state.clone();
        let Some(state) = state else {
            continue;
        };
        let seen = latest_snapshot().unwrap_or(last);
        last = last.max(seen);
        if state.next < last + every {
            continue;
        }
        last = state.next;
        let record = Record::Snapshot { state: Box::new(state) };
        if let Ok(body) = serde_json::to_vec(&record) {
            context.appends.push(CONFIGURATION, body);
        }
    }
}

/// The offset of the latest snapshot among the recent records.
fn latest_snapshot() -> Option<u64> {
    let recent = RECENT_RECORDS.lock().expect("no holder panics");
    let mut snapshots =
        recent.iter().rev().filter(|kept| kept.body.starts_with(br#"{"record":"snapshot""#));
    snapshots.next().map(|kept| kept.offset)
}
