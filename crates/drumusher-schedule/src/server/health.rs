//! Whether a backend server is fit for work: what makes it slow, erring or down, and the probes that
//! make it good again.

use super::{
    Server,
    pace::{Sensitivity, Usual},
};
use crate::{
    outlier::Detector,
    time::{MILLISECOND, Micros, SECOND},
};

/// Failures in a row before a backend server counts as down.
const FAILURES_TO_DOWN: u32 = 2;
/// Shortest pause after a failure.
const DOWN_PAUSE: Micros = 500 * MILLISECOND;
/// Longest pause after failures.
const DOWN_PAUSE_MOST: Micros = 15 * SECOND;
/// Pause before a slow backend server is tried, and between two trials.
const PROBE_PAUSE: Micros = SECOND;
/// A probe that found no request of a lower tier for so long takes one of the highest.
const PROBE_ANYWAY: Micros = 5 * SECOND;
/// A backend server is slow at this many times the pool's median gap…
const SLOW_FACTOR: f64 = 2.5;
/// …and good again at this many times.
const GOOD_FACTOR: f64 = 1.6;

/// Whether a backend server is fit for work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// It is.
    Good,
    /// Its streams are much slower than the pool's: one probe from the given time on.
    Slow(Micros),
    /// It fails far more of its requests than the pool: one probe from the given time on.
    Erring(Micros),
    /// It failed: nothing until the given time, then one probe. The second value is the pause.
    Down(Micros, Micros),
}

impl Health {
    /// Its word in logs and for operators.
    pub const fn word(self) -> &'static str {
        match self {
            Health::Good => "good",
            Health::Slow(_) => "slow",
            Health::Erring(_) => "erring",
            Health::Down(..) => "down",
        }
    }

    /// The pause before its next probe, if it is down.
    pub const fn down_for(self) -> Option<Micros> {
        match self {
            Health::Down(_, pause) => Some(pause),
            _ => None,
        }
    }
}

impl Server {
    /// Its health.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether one repeatable request may be sent to try it.
    pub fn may_probe(&self, now: Micros) -> bool {
        let idle = !self.leaving && self.running == 0;
        self.probe_due(now).is_some() && idle && self.allowed(now) > 0
    }

    /// Whether a probe is overdue, so that even a request of the highest tier may be it.
    pub fn probe_overdue(&self, now: Micros) -> bool {
        self.probe_due(now).is_some_and(|due| now >= due + PROBE_ANYWAY)
    }

    /// Since when, or from when on, a probe is due; `None` if it needs none.
    pub fn next_probe(&self) -> Option<Micros> {
        match self.health {
            Health::Good => None,
            Health::Slow(due) | Health::Erring(due) | Health::Down(due, _) => Some(due),
        }
    }

    /// Since when a probe is due.
    fn probe_due(&self, now: Micros) -> Option<Micros> {
        self.next_probe().filter(|due| now >= *due)
    }

    /// A probe was sent to it, if it needs any: the next one is due later.
    pub(super) fn probed(&mut self, now: Micros) {
        if let Health::Slow(due) | Health::Erring(due) = &mut self.health {
            *due = now + PROBE_PAUSE;
        }
    }

    /// It answered a request.
    pub(super) fn succeed(&mut self) {
        self.failures = 0;
        if let Health::Down(..) = self.health {
            self.health = Health::Good;
        }
    }

    /// It produced tokens. Reports lag, so that those that come before the pause is over may tell
    /// of tokens from before the failures.
    pub(super) fn end_outage(&mut self, now: Micros) {
        if let Health::Down(until, _) = self.health
            && now >= until
        {
            self.health = Health::Good;
        }
    }

    /// It failed a request.
    pub(super) fn fail(&mut self, now: Micros) {
        self.failures += 1;
        let pause = match self.health {
            Health::Down(_, pause) => (pause * 2).min(DOWN_PAUSE_MOST),
            _ if self.failures < FAILURES_TO_DOWN => return,
            _ => DOWN_PAUSE,
        };
        self.health = Health::Down(now + pause, pause);
        self.down_since = now;
        self.gap_samples = 0;
        self.paces = Default::default();
    }

    /// Whether an attempt was under way when the backend server went down. Its failure belongs to
    /// the same outage: only attempts granted later tell whether that lasts.
    pub(super) fn is_part_of_outage(&self, granted: Micros) -> bool {
        matches!(self.health, Health::Down(..)) && granted <= self.down_since
    }

    /// The share of requests that failed lately, when there were enough.
    pub fn failure_rate(&self, now: Micros) -> Option<f64> {
        self.outlier_detector.failure_rate(now)
    }

    /// Compares it with the pool's median share of failures; `spare` tells whether the pool can do
    /// without it.
    pub fn compare(&mut self, now: Micros, median: f64, spare: bool) {
        match self.health {
            Health::Good if spare && self.outlier_detector.is_outlier(now, median) => {
                self.health = Health::Erring(now + PROBE_PAUSE);
            }
            Health::Erring(_) if self.outlier_detector.has_recovered() => {
                self.health = Health::Good;
                self.outlier_detector = Detector::new();
            }
            _ => {}
        }
    }

    /// Compares its streams of a kind with what is usual. Returns whether it has just become slow.
    pub fn judge(&mut self, now: Micros, sensitivity: Sensitivity, usual: Usual) -> bool {
        let Some(gap) = self.pace(now, sensitivity) else {
            return false;
        };
        let least = (usual.median + MILLISECOND as f64).max(usual.borne);
        match self.health {
            Health::Good if gap > usual.median * SLOW_FACTOR && gap > least => {
                self.health = Health::Slow(now + PROBE_PAUSE);
                self.slow_in = sensitivity;
                true
            }
            Health::Slow(_) if sensitivity != self.slow_in => false,
            Health::Slow(_) if gap < usual.median * GOOD_FACTOR || gap < usual.borne => {
                self.health = Health::Good;
                false
            }
            _ => false,
        }
    }
}
