//! Rate limiter for grants to a backend server that accepts a limited number of requests per second
//! from this dispatcher.

use crate::time::{MILLISECOND, Micros, SECOND};

/// Grants that become due within this time may be made together, on top of the one that may always
/// be saved up. Decisions are only made at events, of which there are at least two in this time.
const BURST_TIME: Micros = 100 * MILLISECOND;

/// A token bucket for grants.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limiter {
    per_second: f64,
    /// Grants available at `at`.
    available: f64,
    updated: Micros,
}

impl Limiter {
    /// A limiter from now on. It starts empty: another dispatcher may have used what became due
    /// until now.
    pub(super) fn new(now: Micros, per_second: f64) -> Self {
        Limiter { per_second, available: 0.0, updated: now }
    }

    /// Changes the rate. A rate of zero empties the bucket, since other dispatchers grant in the
    /// meantime.
    pub(super) fn set_rate(&mut self, now: Micros, per_second: f64) {
        let available = if per_second > 0.0 { self.available(now) } else { 0.0 };
        *self = Limiter { per_second, available, updated: now };
        self.available = self.available.min(self.burst());
    }

    /// Grants per second.
    pub(super) fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Grants available now.
    pub(super) fn available(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.updated) as f64 / SECOND as f64;
        (self.available + elapsed * self.per_second).min(self.burst())
    }

    /// Takes one grant.
    pub(super) fn take(&mut self, now: Micros) {
        self.available = (self.available(now) - 1.0).max(0.0);
        self.updated = now;
    }

    fn burst(&self) -> f64 {
        1.0 + self.per_second * BURST_TIME as f64 / SECOND as f64
    }
}
