//! The failed attempts of one request, and whether another attempt may follow. Without I/O.

use drumusher_schedule::{
    retry::backoff,
    time::{Micros, SECOND},
};

use super::attempt::Error;

/// Tokens that have to be delivered before a connection breaks, for the failures before it to be forgotten. A request
/// that crashes its engines gets a token or two from each attempt.
const MIN_PROGRESS_TOKENS: u32 = 32;
/// How long a response that has begun outlives rejected attempts without a new token. An engine that restarts loads its
/// model for tens of seconds.
const OUTAGE_LIMIT: Micros = 60 * SECOND;

/// The failures of a request since its response last made progress. Preempted attempts did not fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failures {
    /// Failures that count against the bound on attempts.
    counted: u32,
    /// All failures, which determine the backoff.
    total: u32,
    /// When the first of them was recorded.
    since: Micros,
    /// Tokens delivered before the latest failure.
    produced: u32,
    last_backoff: Micros,
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
        if self.total == 0 {
            self.since = now;
        }
        let is_outage = produced > 0 && self.total > 0 && error.is_rejection();
        self.counted += u32::from(!is_outage);
        self.total += 1;
        self.produced = produced;
        self.counted < attempts && (produced == 0 || now < self.since + OUTAGE_LIMIT)
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
}
