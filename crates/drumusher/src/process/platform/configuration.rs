//! Follows the configuration stream, keeps its latest records for other instances, and writes snapshots.

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

/// Stream of operators' commands.
pub const CONFIGURATION: &str = "config";
/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 512;
/// Long-poll wait of a read, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// Pause after a failed read.
const RETRY_PAUSE: Millis = Millis(150);
/// Number of latest records kept for other instances.
const MAX_RECENT_RECORDS: usize = 1_024;

/// Latest records, for other instances. A static, because the peers thread reads it as well.
static RECENT_RECORDS: Mutex<VecDeque<RawRecord>> = Mutex::new(VecDeque::new());

/// The records from `offset` on, if all of them are still kept.
pub fn recent_from(offset: u64) -> Option<peer::Records> {
    let recent = RECENT_RECORDS.lock().expect("no holder panics");
    let first = recent.front()?.offset;
    let start = usize::try_from(offset.checked_sub(first)?).ok()?;
    let rest: Vec<&RawRecord> = recent.iter().skip(start).collect();
    let contiguous = rest.first().is_some_and(|kept| kept.offset == offset);
    contiguous.then(|| {
        let bodies = rest.iter().map(|kept| kept.body.clone()).collect();
        let times = rest.iter().map(|kept| kept.time_ms as i64).collect();
        peer::Records::new(offset as i64, bodies, times)
    })
}

fn remember(kept: &RawRecord) {
    let mut recent = RECENT_RECORDS.lock().expect("no holder panics");
    let contiguous = recent.back().is_none_or(|last| last.offset + 1 == kept.offset);
    if !contiguous {
        recent.clear();
    }
    if recent.len() == MAX_RECENT_RECORDS {
        recent.pop_front();
    }
    recent.push_back(kept.clone());
}

/// The state built from the stream, and the commands that wait for a verdict.
#[derive(Default)]
pub(super) struct Follower {
    state: Option<State>,
    waiting: HashMap<String, async_channel::Sender<(u64, Verdict)>>,
}

impl Follower {
    /// Sends the offset and verdict of the command with `nonce` to `reply` once it is read back from the
    /// stream.
    pub(super) fn notify_when_read(
        &mut self,
        nonce: String,
        reply: async_channel::Sender<(u64, Verdict)>,
    ) {
        let known = self.state.as_ref().and_then(|state| state.command(&nonce));
        if let Some(command) = known {
            let _ = reply.try_send((command.offset, command.verdict.clone()));
            return;
        }
        self.waiting.retain(|_, reply| !reply.is_closed());
        self.waiting.insert(nonce, reply);
    }

    /// Applies the records that continue the state. Returns whether the state changed.
    fn apply_records(&mut self, records: &[RawRecord]) -> bool {
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
            remember(kept);
        }
        if state.next == before {
            return false;
        }
        self.notify_waiting();
        true
    }

    /// Replaces the state by `state` if that is newer. Returns whether it was.
    fn adopt(&mut self, state: State) -> bool {
        let newer = self.state.as_ref().is_none_or(|own| state.next > own.next);
        if newer {
            self.state = Some(state);
            self.notify_waiting();
        }
        newer
    }

    fn notify_waiting(&mut self) {
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

/// Follows the stream; never returns.
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
            log::debug!("the configuration cannot be read: the log service {error}");
            if next.is_none() {
                let _ = context.shared.peers.try_send(peers::Input::FetchConfiguration);
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}

async fn step(context: &Context, log: &Service, next: u64) -> Result<(), Error> {
    match log.read(CONFIGURATION, next, MAX_READ_RECORDS, WAIT_MS).await? {
        Page::Records(records) => {
            let records: Vec<RawRecord> = records.into_iter().map(kept).collect();
            let changed = context.configuration.borrow_mut().apply_records(&records);
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
        log::warn!(
            "the oldest records of the configuration stream are gone and it holds no usable snapshot"
        );
        return Err(Error::Malformed("no usable snapshot".into()));
    };
    let adopted = context.configuration.borrow_mut().adopt(state);
    if adopted {
        publish(context);
    }
    Ok(())
}

/// Rebuilds the state from all records from the oldest available one, `first`, to the end of the stream.
async fn read_all(context: &Context, log: &Service, first: u64) -> Result<Option<State>, Error> {
    let mut boot = Boot::new(first);
    let own = context.configuration.borrow().state.clone();
    if let Some(state) = own {
        boot.offer(state);
    }
    let mut next = first;
    loop {
        let Page::Records(records) = log.read(CONFIGURATION, next, MAX_READ_RECORDS, 0).await?
        else {
            return Err(Error::Malformed("records expired while they were read".into()));
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

/// Applies records relayed by another instance. Those that do not continue the state are ignored: the log
/// will bring them.
pub(super) fn relayed(context: &Context, records: peer::Records) {
    let first = records.first.max(0) as u64;
    let offsets = first..;
    let bodies = records.bodies.into_iter().zip(records.times);
    let kept_records = offsets.zip(bodies).map(|(offset, (body, time))| RawRecord {
        offset,
        time_ms: time.max(0) as u64,
        body,
    });
    let records: Vec<RawRecord> = kept_records.collect();
    let changed = context.configuration.borrow_mut().apply_records(&records);
    if changed {
        context.shared.telemetry.count("drumusher.config.relayed", &[]);
        publish(context);
    }
}

/// Adopts a whole state offered by another instance, if it is newer.
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

/// Appends a snapshot whenever enough records have come since the last one. Several instances may do so at
/// once; a duplicate or late snapshot does no harm.
pub(super) async fn write_snapshots(context: Context) {
    let every = context.shared.settings.platform.snapshot_every;
    let mut last = 0;
    loop {
        // A random pause makes it likely that one instance writes its snapshot before the others check.
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

/// Offset of the latest snapshot among the kept records.
fn latest_snapshot() -> Option<u64> {
    let recent = RECENT_RECORDS.lock().expect("no holder panics");
    let mut snapshots =
        recent.iter().rev().filter(|kept| kept.body.starts_with(br#"{"record":"snapshot""#));
    snapshots.next().map(|kept| kept.offset)
}
