//! What backend servers last said of themselves in their answers to this instance: a limit for all instances together,
//! a rest that this one is to give them, or that they leave.
//!
//! It is kept by the start of a backend server, and is the last thing that is looked at before anything is sent there,
//! whatever the store's record or a grant says. The dispatcher plans by the same, which it is told.

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

/// A dispatcher is told again that a limit is named after this, so that it knows that it still is.
const TOLD_EVERY: Micros = 250 * MILLISECOND;
/// A rest whose end moves by less is not told again.
const SAME_END: Micros = 50 * MILLISECOND;
/// How long a backend server is remembered that is no longer listed. Its entry may lapse and come back while the store is
/// away.
const REMEMBERED: Micros = 600 * SECOND;
/// Most backend servers of which something is known; some times as many as are served at most.
const MOST: usize = 8_192;

/// What one start of a backend server said.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Its pool.
    pub pool: Pool,
    /// Its name.
    pub server: Arc<str>,
    /// When it started, in Unix milliseconds, if that is known.
    pub started_ms: Option<u64>,
    /// The limit for all instances together.
    pub limit: Limit,
    /// Since when it is known to leave.
    pub leaving: Option<Micros>,
    /// Since when it asked for a rest, and its end.
    pub rest: Option<(Micros, Micros)>,
    /// When it said something last.
    heard: Micros,
    /// When its dispatcher was told last.
    told: Micros,
    /// Whether it says what cannot be read.
    unclear: bool,
}

/// Why nothing may be sent to a backend server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// It is leaving.
    Leaving,
    /// It wants a rest from this instance, for so much longer.
    Resting(Micros),
    /// It takes a limited number of requests, and the grant was not counted among them.
    Limited,
}

impl Withheld {
    /// Its word in logs and metrics.
    pub const fn word(self) -> &'static str {
        match self {
            Withheld::Leaving => "leaving",
            Withheld::Resting(_) => "resting",
            Withheld::Limited => "limited",
        }
    }
}

/// What the dispatcher of a grant knew of the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// Whether the grant was counted among those that the limit allows.
    pub limited: bool,
    /// When a request was sent whose answer lifted the limit, on the own clock.
    pub lifted: Option<Micros>,
}

/// An answer, as far as it says something of its backend server.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// The pool of the request.
    pub pool: &'a Pool,
    /// The backend server that answers.
    pub server: &'a Backend,
    /// When the request was sent; 0 if that is not known.
    pub sent: Micros,
    /// What its grant was based on.
    pub basis: Basis,
    /// What is said.
    pub notice: &'a Notice,
}

/// How many backend servers have something in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Of those with a limit.
    pub limited: usize,
    /// Of those that leave.
    pub leaving: usize,
    /// Of those at rest for this instance.
    pub resting: usize,
}

/// What backend servers said of themselves.
#[derive(Debug, Default)]
pub struct Notices {
    records: Mutex<HashMap<Arc<str>, Record>>,
    /// How many records there are. Most of the time none, which costs no lock.
    len: AtomicUsize,
}

impl Notices {
    /// Takes what a backend server says of itself in an answer that came now. Returns what its dispatcher is to be told.
    pub fn hear(&self, now: Micros, answer: &Answer<'_>) -> Option<Record> {
        let Answer { pool, server, .. } = *answer;
        let says_something = *answer.notice != Notice::default() || answer.basis.limited;
        if !says_something && self.len.load(Ordering::Acquire) == 0 {
            return None;
        }
        let mut records = self.lock();
        if !says_something && !records.contains_key(&server.name) {
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
        let told = record.take(now, answer).then(|| record.clone());
        if records.len() > MOST {
            let oldest = records.values().min_by_key(|record| record.heard);
            let oldest = oldest.map(|record| record.server.clone());
            oldest.and_then(|oldest| records.remove(&oldest));
        }
        self.len.store(records.len(), Ordering::Release);
        told
    }

    /// Why a request that was granted on a basis may not be sent to a backend server now, with what the dispatcher of the
    /// grant is to be told.
    pub fn withheld(
        &self,
        now: Micros,
        server: &Backend,
        basis: Basis,
    ) -> Option<(Withheld, Record)> {
        if self.len.load(Ordering::Acquire) == 0 {
            return None;
        }
        let mut records = self.lock();
        let record = records.get_mut(&server.name);
        let record = record.filter(|record| record.started_ms >= server.started_ms)?;
        record.learn(basis);
        Some((record.withholds(now, basis)?, record.clone()))
    }

    /// Whether a backend server said that it leaves.
    pub fn leaves(&self, server: &Backend) -> bool {
        let leaves =
            |record: &Record| record.leaving.is_some() && record.started_ms >= server.started_ms;
        self.len.load(Ordering::Acquire) > 0 && self.lock().get(&server.name).is_some_and(leaves)
    }

    /// All that is in force of a pool, for a dispatcher that does not know it.
    pub fn of(&self, now: Micros, pool: &Pool) -> Vec<Record> {
        if self.len.load(Ordering::Acquire) == 0 {
            return Vec::new();
        }
        let records = self.lock();
        let of_pool = records.values().filter(|record| record.pool == *pool);
        of_pool.filter(|record| record.is_in_force(now)).cloned().collect()
    }

    /// All that is in force, by name.
    pub fn in_force(&self, now: Micros) -> Vec<Record> {
        let records = self.lock();
        let mut all: Vec<Record> =
            records.values().filter(|record| record.is_in_force(now)).cloned().collect();
        all.sort_by(|one, other| one.server.cmp(&other.server));
        all
    }

    /// How many backend servers have something in force.
    pub fn sum(&self, now: Micros) -> Sum {
        let mut sum = Sum::default();
        for record in self.lock().values() {
            sum.limited += usize::from(record.limit.rate().is_some());
            sum.leaving += usize::from(record.leaving.is_some());
            sum.resting += usize::from(record.rests(now));
        }
        sum
    }

    /// Forgets what starts said that are over, or have not been listed for long.
    pub fn keep_listed(&self, now: Micros, directory: &Directory) {
        if self.len.load(Ordering::Acquire) == 0 {
            return;
        }
        let mut records = self.lock();
        records.retain(|name, record| match directory.backend(&record.pool, name) {
            Some(listed) => listed.started_ms <= record.started_ms,
            None => now < record.heard + REMEMBERED,
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
            rest: None,
            heard: 0,
            told: 0,
            unclear: false,
        }
    }

    /// Takes what an answer said. Returns whether the dispatcher is to be told.
    fn take(&mut self, now: Micros, answer: &Answer<'_>) -> bool {
        let notice = answer.notice;
        self.heard = now;
        let mut changed = self.take_limit(now, answer.sent, notice);
        if notice.leaving && self.leaving.is_none() {
            self.leaving = Some(now);
            self.log("a backend server says that it leaves");
            changed = true;
        }
        if let Some(rest) = notice.rest_ms.filter(|rest| *rest > 0) {
            changed |= self.take_rest(now, now + rest * MILLISECOND);
        }
        if notice.malformed && !std::mem::replace(&mut self.unclear, true) {
            self.log("a backend server says of itself what cannot be read");
        }
        // Others may have heard a limit of which this instance knows nothing: they are told that it was not named.
        let is_named = notice.limit.is_some() || answer.basis.limited && !notice.malformed;
        let due = is_named && now >= self.told + TOLD_EVERY;
        if changed || due {
            self.told = now;
        }
        changed || due
    }

    fn take_limit(&mut self, now: Micros, sent: Micros, notice: &Notice) -> bool {
        let changed = match notice.limit {
            Some(rate) => self.limit.name(now, rate),
            None if notice.malformed => false,
            None => self.limit.lift(sent),
        };
        match self.limit.rate() {
            Some(_) if changed => self.log("a backend server names a limit"),
            None if changed => self.log("a backend server names no limit any more"),
            _ => {}
        }
        changed
    }

    /// Takes what the dispatcher of a grant heard of the limit from others.
    fn learn(&mut self, basis: Basis) {
        if basis.lifted.is_some_and(|lifted| self.limit.lift(lifted)) {
            self.log("others heard that a backend server names no limit any more");
        }
    }

    /// A rest ends when the later one of two ends. Returns whether that is new.
    fn take_rest(&mut self, now: Micros, until: Micros) -> bool {
        match &mut self.rest {
            Some((_, end)) if now < *end => {
                let is_new = until > *end + SAME_END;
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

    fn rests(&self, now: Micros) -> bool {
        self.rest.is_some_and(|(_, until)| now < until)
    }

    fn is_in_force(&self, now: Micros) -> bool {
        self.limit.rate().is_some() || self.leaving.is_some() || self.rests(now)
    }

    /// Why nothing that was granted on a basis may be sent now.
    fn withholds(&self, now: Micros, basis: Basis) -> Option<Withheld> {
        if self.leaving.is_some() {
            return Some(Withheld::Leaving);
        }
        if let Some((_, until)) = self.rest.filter(|(_, until)| now < *until) {
            return Some(Withheld::Resting(until - now));
        }
        let allowed = basis.limited || self.limit.allows(basis.lifted);
        (!allowed).then_some(Withheld::Limited)
    }

    fn log(&self, what: &str) {
        let rest = self.rest.map_or(0, |(since, until)| (until - since) / MILLISECOND);
        let limit = self.limit.rate().map_or(-1.0, |rate| rate.per_second());
        log::info!(
            server = &*self.server, pool = self.pool.to_string().as_str(), limit = limit,
            leaving = self.leaving.is_some(), rest_ms = rest;
            "{what}"
        );
    }
}
