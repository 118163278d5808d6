//! The requests a second that a backend server takes from this dispatcher, where it takes a limited number.

use crate::time::{MILLISECOND, Micros, SECOND};

/// Grants that came due within this are made together, beyond the one that is saved up in any case: decisions are made
/// at events, and twice within it at least.
const TOGETHER: Micros = 100 * MILLISECOND;

/// A limited rate of grants.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    per_second: f64,
    /// Grants that may be made at `at`.
    saved: f64,
    at: Micros,
}

impl Rate {
    /// A rate from now on. Nothing is saved up: another dispatcher may have used what came due until now.
    pub(super) fn new(now: Micros, per_second: f64) -> Self {
        Rate { per_second, saved: 0.0, at: now }
    }

    /// Changes the rate. At none nothing stays saved up, since it is others who grant then.
    pub(super) fn set(&mut self, now: Micros, per_second: f64) {
        let saved = if per_second > 0.0 { self.saved(now) } else { 0.0 };
        *self = Rate { per_second, saved, at: now };
        self.saved = self.saved.min(self.most());
    }

    /// Grants a second.
    pub(super) fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Grants that may be made now.
    pub(super) fn saved(&self, now: Micros) -> f64 {
        let passed = now.saturating_sub(self.at) as f64 / SECOND as f64;
        (self.saved + passed * self.per_second).min(self.most())
    }

    /// Counts a grant.
    pub(super) fn take(&mut self, now: Micros) {
        self.saved = (self.saved(now) - 1.0).max(0.0);
        self.at = now;
    }

    fn most(&self) -> f64 {
        1.0 + self.per_second * TOGETHER as f64 / SECOND as f64
    }
}
