//! Notices that backend servers gave in their answers to this instance: a rate limit for all instances together, a rest
//! during which this instance sends them nothing, or that they are leaving.
//!
//! Notices belong to one run of a backend server, identified by its start time. They are checked last before anything
//! is sent to the server, and override the store's entry and the grant. Dispatchers get them too, and schedule by
//! them.

mod limit;

pub use limit::Limit;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
};

use drumusher_platform::dialect::Notice;
use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};

use crate::version::{Backend, Directory, Pool};

/// A limit that is still announced is reported to the dispatcher again after this time.
const REPORT_INTERVAL: Micros = 250 * MILLISECOND;
/// A rest whose end moves by no more than this is not reported again.
const REST_TOLERANCE: Micros = 50 * MILLISECOND;
/// How long the record of an unlisted backend server is kept: its entry may expire and return while the store is
/// unavailable.
const UNLISTED_RETENTION: Micros = 600 * SECOND;
/// Maximum number of records: several times the number of backend servers that are supported.
const MAX_RECORDS: usize = 8_192;

/// The notices of one run of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Its pool.
    pub pool: Pool,
    /// Its name.
    pub server: Arc<str>,
    /// Start time of its process, in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
    /// The rate limit for all instances together.
    pub limit: Limit,
    /// Since when it is known to be leaving.
    pub leaving: Option<Micros>,
    /// How many rejections in a second it bears, and when it last said so.
    pub brittle: Option<(u32, Micros)>,
    /// Start and end of the rest that it asked for.
    pub rest: Option<(Micros, Micros)>,
    /// When an answer was last recorded.
    last_heard: Micros,
    /// When its dispatcher was last sent a report.
    reported: Micros,
    /// Whether it gave a notice that cannot be parsed.
    unclear: bool,
}

/// Why a request must not be sent to a backend server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The backend server is leaving.
    Leaving,
    /// It asked this instance for a rest, with this many microseconds left.
    Resting(Micros),
    /// It has a rate limit, and the grant was not counted against it.
    Limited,
}

impl Withheld {
    /// The word for the reason in logs and metrics.
    pub const fn word(self) -> &'static str {
        match self {
            Withheld::Leaving => "leaving",
            Withheld::Resting(_) => "resting",
            Withheld::Limited => "limited",
        }
    }
}

/// What the dispatcher of a grant knew of the rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownLimit {
    /// Whether the grant was counted against the limit.
    pub limited: bool,
    /// When the request was sent whose answer lifted the limit, on the clock of this process.
    pub lifted: Option<Micros>,
}

/// An answer with the notice of its backend server.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// The pool of the request.
    pub pool: &'a Pool,
    /// The backend server that answered.
    pub server: &'a Backend,
    /// When the request was sent; 0 if unknown.
    pub sent: Micros,
    /// What its dispatcher knew of the limit.
    pub known_limit: KnownLimit,
    /// The notice.
    pub notice: &'a Notice,
}

/// The numbers of backend servers with notices in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// With a limit.
    pub limited: usize,
    /// Leaving.
    pub leaving: usize,
    /// Resting from requests of this instance.
    pub resting: usize,
}

/// The notices of all backend servers.
#[derive(Debug, Default)]
pub struct Notices {
    records: Mutex<HashMap<Arc<str>, Record>>,
    /// The number of records. It is usually 0, and then no lock is taken.
    len: AtomicUsize,
}

impl Notices {
    /// Records the notice of an answer that arrived now. Returns the record if it is to be reported to the dispatcher.
    pub fn record_answer(&self, now: Micros, answer: &Answer<'_>) -> Option<Record> {
        let Answer { pool, server, .. } = *answer;
        let has_content = *answer.notice != Notice::default() || answer.known_limit.limited;
        if !has_content && self.len.load(Ordering::Acquire) == 0 {
            return None;
        }
        let mut records = self.lock();
        if !has_content && !records.contains_key(&server.name) {
            return None;
        }
        let record =
            records.entry(server.name.clone()).or_insert_with(|| Record::new(pool, server));
        if record.started_ms > server.started_ms {
            return None;
        }
        if record.started_ms < server.started_ms {
            *record = Record::new(pool, server);
        }
        let reported = record.update(now, answer).then(|| record.clone());
        if records.len() > MAX_RECORDS {
            let oldest = records.values().min_by_key(|record| record.last_heard);
            let oldest = oldest.map(|record| record.server.clone());
            oldest.and_then(|oldest| records.remove(&oldest));
        }
        self.len.store(records.len(), Ordering::Release);
        reported
    }

    /// Why a granted request must not be sent to a backend server now, with the record to be reported to the
    /// dispatcher;
    /// `None` if it may be sent. `known_limit` is what the dispatcher knew.
    pub fn withheld(
        &self,
        now: Micros,
        server: &Backend,
        known_limit: KnownLimit,
    ) -> Option<(Withheld, Record)> {
        if self.len.load(Ordering::Acquire) == 0 {
            return None;
        }
        let mut records = self.lock();
        let record = records.get_mut(&server.name);
        let record = record.filter(|record| record.started_ms >= server.started_ms)?;
        record.learn_limit(known_limit);
        Some((record.withheld_reason(now, known_limit)?, record.clone()))
    }

    /// Whether a backend server announced that it is leaving.
    pub fn leaves(&self, server: &Backend) -> bool {
        let leaves =
            |record: &Record| record.leaving.is_some() && record.started_ms >= server.started_ms;
        self.len.load(Ordering::Acquire) > 0 && self.lock().get(&server.name).is_some_and(leaves)
    }

    /// All records in force for a pool, to be reported to a dispatcher that does not know them.
    pub fn in_force_for(&self, now: Micros, pool: &Pool) -> Vec<Record> {
        if self.len.load(Ordering::Acquire) == 0 {
            return Vec::new();
        }
        let records = self.lock();
        let of_pool = records.values().filter(|record| record.pool == *pool);
        of_pool.filter(|record| record.is_in_force(now)).cloned().collect()
    }

    /// All records in force, sorted by name.
    pub fn all_in_force(&self, now: Micros) -> Vec<Record> {
        let records = self.lock();
        let mut all: Vec<Record> =
            records.values().filter(|record| record.is_in_force(now)).cloned().collect();
        all.sort_by(|one, other| one.server.cmp(&other.server));
        all
    }

    /// The numbers of backend servers with notices in force.
    pub fn totals(&self, now: Micros) -> Totals {
        let mut sum = Totals::default();
        for record in self.lock().values() {
            sum.limited += usize::from(record.limit.rate().is_some());
            sum.leaving += usize::from(record.leaving.is_some());
            sum.resting += usize::from(record.is_resting(now));
        }
        sum
    }

    /// Removes the records of earlier runs of listed backend servers, and of servers that have long been unlisted.
    pub fn keep_listed(&self, now: Micros, directory: &Directory) {
        if self.len.load(Ordering::Acquire) == 0 {
            return;
        }
        let mut records = self.lock();
        records.retain(|name, record| match directory.backend(&record.pool, name) {
            Some(listed) => listed.started_ms <= record.started_ms,
            None => now < record.last_heard + UNLISTED_RETENTION,
        });
        self.len.store(records.len(), Ordering::Release);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Record>> {
        self.records.lock().expect("no holder panics")
    }
}

impl Record {
    fn new(pool: &Pool, server: &Backend) -> Self {
        Record {
            pool: pool.clone(),
            server: server.name.clone(),
            started_ms: server.started_ms,
            limit: Limit::default(),
            leaving: None,
            brittle: None,
            rest: None,
            last_heard: 0,
            reported: 0,
            unclear: false,
        }
    }

    /// Updates the record from an answer. Returns whether it is to be reported to the dispatcher.
    fn update(&mut self, now: Micros, answer: &Answer<'_>) -> bool {
        let notice = answer.notice;
        self.last_heard = now;
        let mut changed = self.update_limit(now, answer.sent, notice);
        if notice.leaving && self.leaving.is_none() {
            self.leaving = Some(now);
            self.log("a backend server says that it leaves");
            changed = true;
        }
        changed |= self.update_brittle(now, notice);
        if let Some(rest) = notice.rest_ms.filter(|rest| *rest > 0) {
            changed |= self.update_rest(now, now + rest * MILLISECOND);
        }
        if notice.malformed && !std::mem::replace(&mut self.unclear, true) {
            self.log("a backend server gave a notice that cannot be read");
        }
        // A grant counted against a limit shows that another instance knows one. If the answer announces none, that is
        // reported.
        let concerns_limit =
            notice.limit.is_some() || answer.known_limit.limited && !notice.malformed;
        let due =
            (concerns_limit || notice.brittle.is_some()) && now >= self.reported + REPORT_INTERVAL;
        if changed || due {
            self.reported = now;
        }
        changed || due
    }

    fn update_limit(&mut self, now: Micros, sent: Micros, notice: &Notice) -> bool {
        let changed = match notice.limit {
            Some(rate) => self.limit.announce(now, rate),
            None if notice.malformed => false,
            None => self.limit.lift(sent),
        };
        match self.limit.rate() {
            Some(_) if changed => self.log("a backend server names a limit"),
            None if changed => self.log("a backend server lifted its limit"),
            _ => {}
        }
        changed
    }

    fn update_brittle(&mut self, now: Micros, notice: &Notice) -> bool {
        let before = self.brittle.map(|(bearable, _)| bearable);
        if !notice.malformed {
            self.brittle = notice.brittle.map(|bearable| (bearable, now));
        }
        let changed = notice.brittle.is_some() && notice.brittle != before;
        if changed {
            self.log("a backend server says that it is brittle");
        }
        changed
    }

    /// Applies what the dispatcher of a grant knew of the limit from other instances.
    fn learn_limit(&mut self, known_limit: KnownLimit) {
        if known_limit.lifted.is_some_and(|lifted| self.limit.lift(lifted)) {
            self.log("other instances reported that a backend server lifted its limit");
        }
    }

    /// Records a rest until `until`. Of two overlapping rests the later end counts. Returns whether it is to be
    /// reported.
    fn update_rest(&mut self, now: Micros, until: Micros) -> bool {
        match &mut self.rest {
            Some((_, end)) if now < *end => {
                let is_new = until > *end + REST_TOLERANCE;
                *end = until.max(*end);
                is_new
            }
            _ => {
                self.rest = Some((now, until));
                self.log("a backend server asks for rest");
                true
            }
        }
    }

    fn is_resting(&self, now: Micros) -> bool {
        self.rest.is_some_and(|(_, until)| now < until)
    }

    fn is_in_force(&self, now: Micros) -> bool {
        let announced = self.limit.rate().is_some() || self.leaving.is_some();
        announced || self.brittle.is_some() || self.is_resting(now)
    }

    /// Why a request whose dispatcher had this knowledge of the limit must not be sent now.
    fn withheld_reason(&self, now: Micros, known_limit: KnownLimit) -> Option<Withheld> {
        if self.leaving.is_some() {
            return Some(Withheld::Leaving);
        }
        if let Some((_, until)) = self.rest.filter(|(_, until)| now < *until) {
            return Some(Withheld::Resting(until - now));
        }
        let allowed = known_limit.limited || self.limit.allows(known_limit.lifted);
        (!allowed).then_some(Withheld::Limited)
    }

    fn log(&self, what: &str) {
        let rest = self.rest.map_or(0, |(since, until)| (until - since) / MILLISECOND);
        let limit = self.limit.rate().map_or(-1.0, |rate| rate.per_second());
        log::info!(
            server = &*self.server, pool = self.pool.to_string().as_str(), limit = limit,
            leaving = self.leaving.is_some(), rest_ms = rest,
            brittle = self.brittle.map_or(-1, |(bearable, _)| i64::from(bearable));
            "{what}"
        );
    }
}
