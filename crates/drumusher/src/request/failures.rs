//! The failed attempts of one request, and whether another attempt may follow. Without I/O.

use drumusher_schedule::{
    pool::OUTAGE_LIMIT,
    retry::backoff,
    time::{Micros, SECOND},
};

use super::attempt::Error;

/// Tokens that have to be delivered before a connection breaks, for the failures before it to be forgotten. A request
/// that crashes its engines gets a token or two from each attempt.
const MIN_PROGRESS_TOKENS: u32 = 32;
/// Failures without progress from which on an engine has to be steady before the request is sent there again.
const WATCHED_FAILURES: u32 = 2;
/// Shortest time for which an engine has to be steady; it doubles with each failure.
const MIN_STEADY_TIME: Micros = SECOND;
/// Doublings after which it exceeds [`OUTAGE_LIMIT`].
const MAX_DOUBLINGS: u32 = 6;
/// Multiple of that time over which the returns of several requests are spread: a request that crashes its engine is
/// then alone with few others that just returned.
const STEADY_TIME_SPREAD: f64 = 3.0;

/// The failures of a request since its response last made progress. Preempted attempts did not fail.
///
/// A broken connection is either an outage of the engine or the doing of this request, and counts. Outages come in series
/// though: from the second failure on the request stays away until an engine has been steady, so that the series is over
/// or the request is at fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failures {
    /// Failures that count against the bound on attempts.
    counted: u32,
    /// All failures, which determine the backoff.
    total: u32,
    /// Tokens delivered before the latest failure.
    produced: u32,
    outage: Option<Outage>,
    last_backoff: Micros,
    /// Whether the latest failure counts and the engine was not watched since.
    watch_due: bool,
    /// Number of times that the engine had to be steady.
    watched: u32,
}

/// The time during which a response that has begun gets no token, as the request sees it.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When the first attempt failed or the first grant was refused.
    since: Micros,
    /// Tokens delivered before it.
    produced: u32,
}

impl Failures {
    /// No failure yet.
    pub fn new() -> Self {
        Failures::default()
    }

    /// Records a failed attempt of a request that has delivered `produced` tokens. Returns whether the request is within
    /// its bounds: fewer than `attempts` failures without progress. Once the response has begun, attempts that the
    /// engine rejects are one outage however many they are, and are bounded by [`OUTAGE_LIMIT`] instead.
    pub fn record(&mut self, now: Micros, produced: u32, error: Error, attempts: u32) -> bool {
        if self.has_progressed(produced, error) {
            *self = Failures::default();
        }
        let is_outage = produced > 0 && self.total > 0 && error.is_rejection();
        self.counted += u32::from(!is_outage);
        self.watch_due |= !is_outage;
        self.total += 1;
        self.produced = produced;
        self.counted < attempts && (produced == 0 || self.is_within_limit(now, produced))
    }

    /// Records that no backend server was granted. Returns whether the request may ask again: a response that has begun
    /// would be lost.
    pub fn record_refusal(&mut self, now: Micros, produced: u32) -> bool {
        produced > 0 && self.is_within_limit(now, produced)
    }

    /// Whether the outage is not too long yet. It begins now if there were new tokens since the last one.
    fn is_within_limit(&mut self, now: Micros, produced: u32) -> bool {
        let lasting = self.outage.filter(|outage| outage.produced == produced);
        let outage = self.outage.insert(lasting.unwrap_or(Outage { since: now, produced }));
        now < outage.since + OUTAGE_LIMIT
    }

    /// Whether enough was delivered since the latest failure for it to be forgotten. A stall is not the fault of a
    /// request that got tokens before it; a broken connection may be, if they were few.
    fn has_progressed(&self, produced: u32, error: Error) -> bool {
        let delivered = produced.saturating_sub(self.produced);
        let stalled = matches!(error, Error::Stalled | Error::NoResponse);
        let required = if stalled { 1 } else { MIN_PROGRESS_TOKENS };
        delivered >= required
    }

    /// The pause before the next attempt, from a uniform `random` in `0.0..1.0`. The first retry goes to another backend
    /// server at once.
    pub fn next_backoff(&mut self, random: f64) -> Micros {
        if self.total < 2 {
            return 0;
        }
        self.last_backoff = backoff(self.last_backoff, random);
        self.last_backoff
    }

    /// How long the engine has to be steady before the next attempt, from a uniform `random` in `0.0..1.0`; `None` if
    /// the next attempt need not wait for that. The times differ between requests, so that one that crashes its engine
    /// does so while others are absent.
    pub fn next_steady_time(&mut self, random: f64) -> Option<Micros> {
        let due = std::mem::take(&mut self.watch_due) && self.produced > 0;
        if !due || self.counted < WATCHED_FAILURES {
            return None;
        }
        let shortest = MIN_STEADY_TIME << self.watched.min(MAX_DOUBLINGS);
        self.watched += 1;
        Some(shortest + (shortest as f64 * STEADY_TIME_SPREAD * random) as Micros)
    }

    /// Whether the engine may be down, so that it has to answer a query before a request that has delivered `produced`
    /// tokens is sent there.
    pub fn suspects_engine(&self, produced: u32) -> bool {
        produced > 0 && self.total > 0 && produced < self.produced + MIN_PROGRESS_TOKENS
    }

    /// When an outage becomes too long for a response that has delivered `produced` tokens; `None` if it has not begun
    /// or is in none.
    pub fn outage_limit(&self, produced: u32) -> Option<Micros> {
        let lasting = self.outage.filter(|outage| produced > 0 && outage.produced == produced);
        lasting.map(|outage| outage.since + OUTAGE_LIMIT)
    }
}
