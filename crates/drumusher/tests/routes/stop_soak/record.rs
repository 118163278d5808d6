//! What callers saw of their requests, and which of these were lost around a stop.

use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::Server;

/// Time that a stop may take.
const GRACE: Duration = Duration::from_secs(8);
/// A request that is still at work at its server this long after the signal may be cut.
const LAST_WORK: Duration = Duration::from_micros(6_666_667);
/// It may only if it was sent at most this long after the signal.
const LAST_SENT: Duration = Duration::from_secs(3);
/// A request that no server ran and whose connection ended this soon crossed the close.
const CROSSING: Duration = Duration::from_millis(200);
/// Timeout of the routes, less the time that an instance reserves for its final response.
const REQUEST_TIME: Duration = Duration::from_millis(14_950);
/// A stop is judged until this long after its time is over.
const AFTERMATH: Duration = Duration::from_secs(1);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a whole response of this status.
    Answered(u16),
    /// In the middle of a response with this status.
    Cut(u16),
    /// Without a response.
    Closed,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its ID.
    pub request: String,
    /// The index of the instance that it was sent to.
    pub instance: usize,
    /// When its last byte was sent.
    pub sent: Instant,
    /// When its response or its connection ended.
    pub ended: Instant,
    /// How it ended.
    pub ending: Ending,
}

/// What happens to all requests, and when which instance was stopped.
#[derive(Default)]
pub struct Journal {
    records: Mutex<Vec<Record>>,
    stops: Mutex<Vec<(usize, Instant)>>,
    killed: Mutex<Vec<usize>>,
}

impl Journal {
    /// Adds a request that has ended.
    pub fn add(&self, record: Record) {
        self.records.lock().expect("no holder panics").push(record);
    }

    /// Records that an instance is about to be stopped.
    pub fn record_stop(&self, instance: usize) {
        self.stops.lock().expect("no holder panics").push((instance, Instant::now()));
    }

    /// Records that the process of an instance outlasted its time and was killed.
    pub fn record_kill(&self, instance: usize) {
        self.killed.lock().expect("no holder panics").push(instance);
    }

    /// The number of requests by how they ended, and of stops and kills.
    pub fn summary(&self) -> String {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for record in self.records.lock().expect("no holder panics").iter() {
            *counts.entry(format!("{:?}", record.ending)).or_default() += 1;
        }
        let stops = self.stops.lock().expect("no holder panics").len();
        let killed = self.killed.lock().expect("no holder panics").len();
        format!("{stops} stops, {killed} killed, requests: {counts:?}")
    }

    /// The requests that were lost around stops, and the processes that did not end in time.
    pub fn losses(&self, servers: &[Server]) -> Vec<String> {
        let stops = self.stops.lock().expect("no holder panics");
        let killed = self.killed.lock().expect("no holder panics");
        let records = self.records.lock().expect("no holder panics");
        let lost = records.iter().filter_map(|record| {
            let stop = stops
                .iter()
                .rfind(|(instance, at)| *instance == record.instance && *at <= record.ended);
            let since = stop.map(|(_, at)| *at)?;
            is_lost(record, since, servers).then(|| {
                let sent = record.sent.checked_duration_since(since);
                let ended = record.ended - since;
                format!("sent {sent:?}, ended {ended:?} after the signal: {record:?}")
            })
        });
        let killed = killed.iter().map(|instance| format!("instance {instance} was killed"));
        lost.chain(killed).collect()
    }
}

/// Whether a request was lost around a stop that began at `since`.
fn is_lost(record: &Record, since: Instant, servers: &[Server]) -> bool {
    if matches!(record.ending, Ending::Answered(_)) || record.ended > since + GRACE + AFTERMATH {
        return false;
    }
    if record.ended >= record.sent + REQUEST_TIME {
        return false;
    }
    let works: Vec<(Instant, Instant)> =
        servers.iter().flat_map(|server| server.works(&record.request)).collect();
    let Some(last_work) = works.iter().map(|(_, ended)| *ended).max() else {
        return record.ended > record.sent + CROSSING;
    };
    let could_not_end = last_work >= since + LAST_WORK && record.sent <= since + LAST_SENT;
    !could_not_end
}
