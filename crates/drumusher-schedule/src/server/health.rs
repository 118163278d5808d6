//! Health of a backend server: when it counts as slow, failing or down, and the probes after which
//! it is healthy again.

use super::{
    Server,
    gap::{Baseline, Sensitivity},
};
use crate::{
    outlier::Detector,
    time::{MILLISECOND, Micros, SECOND},
};

/// Consecutive failures after which a backend server is down.
const FAILURES_TO_DOWN: u32 = 2;
/// Shortest pause before the probe of a backend server that is down.
const MIN_DOWN_PAUSE: Micros = 500 * MILLISECOND;
/// Longest pause before the probe of a backend server that is down.
const MAX_DOWN_PAUSE: Micros = 15 * SECOND;
/// Longest pause before such a probe while callers wait for the rest of an answer.
const MAX_URGENT_PAUSE: Micros = 2 * SECOND;
/// Pause before the first probe of a slow or failing backend server, and between probes.
const PROBE_PAUSE: Micros = SECOND;
/// A probe that has been due for this long may use a request of the highest tier.
const PROBE_OVERDUE_AFTER: Micros = 5 * SECOND;
/// A backend server is slow above this multiple of the pool's median token gap.
const SLOW_FACTOR: f64 = 2.5;
/// A slow backend server is healthy again below this multiple of the median.
const RECOVERY_FACTOR: f64 = 1.6;

/// Health of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Healthy.
    Good,
    /// Its token gaps are much longer than the pool's: one probe from the given time on.
    Slow(Micros),
    /// It fails a much larger share of its requests than the pool: one probe from the given time
    /// on.
    Erring(Micros),
    /// It failed repeatedly: no request until the given time, then one probe. The second value is
    /// the pause.
    Down(Micros, Micros),
}

/// How soon a backend server that is down is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// After its whole pause.
    Normal,
    /// After [`MAX_URGENT_PAUSE`] at most if it refuses connections, so that a probe does no harm: callers wait for the
    /// rest of an answer that has begun.
    Begun,
}

impl Health {
    /// The name in logs and for operators.
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

    /// Consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether one repeatable request may be sent as a probe.
    pub fn may_probe(&self, now: Micros, urgency: Urgency) -> bool {
        let idle = !self.leaving && self.running == 0;
        let due = match (self.health, urgency) {
            (Health::Down(until, pause), Urgency::Begun) if self.unconnected => {
                now >= until - pause.saturating_sub(MAX_URGENT_PAUSE)
            }
            _ => self.probe_due(now).is_some(),
        };
        due && idle && self.grants_allowed(now) > 0
    }

    /// Whether a probe is overdue, so that even a request of the highest tier may be used for it.
    pub fn probe_overdue(&self, now: Micros) -> bool {
        self.probe_due(now).is_some_and(|due| now >= due + PROBE_OVERDUE_AFTER)
    }

    /// When its next probe is or was due; `None` if it needs none.
    pub fn next_probe(&self) -> Option<Micros> {
        match self.health {
            Health::Good => None,
            Health::Slow(due) | Health::Erring(due) | Health::Down(due, _) => Some(due),
        }
    }

    /// When its probe became due, if it is due at `now`.
    fn probe_due(&self, now: Micros) -> Option<Micros> {
        self.next_probe().filter(|due| now >= *due)
    }

    /// Schedules the next probe of a slow or failing backend server, since a request was just sent
    /// to it.
    pub(super) fn schedule_probe(&mut self, now: Micros) {
        if let Health::Slow(due) | Health::Erring(due) = &mut self.health {
            *due = now + PROBE_PAUSE;
        }
    }

    /// Records that a probe was granted: tokens that it reports from now on end the outage, also if the probe was early.
    pub fn note_probe(&mut self, now: Micros) {
        if let Health::Down(until, _) = &mut self.health {
            *until = now.min(*until);
        }
    }

    /// Records that it answered a request.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        if let Health::Down(..) = self.health {
            self.health = Health::Good;
        }
    }

    /// Records that it produced tokens. Reports lag, so reports that arrive before the pause is
    /// over may show tokens from before the failures and do not count.
    pub(super) fn end_outage(&mut self, now: Micros) {
        if let Health::Down(until, _) = self.health
            && now >= until
        {
            self.health = Health::Good;
        }
    }

    /// Records that a query for its load had no answer.
    pub fn note_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// Records that it answered a query for its load. If it is down and did not answer the query before, it is back and
    /// its probe is due.
    pub fn note_reachable(&mut self, now: Micros) {
        if !std::mem::take(&mut self.unreachable) {
            return;
        }
        if let Health::Down(until, _) = self.health {
            self.health = Health::Down(until.min(now), MIN_DOWN_PAUSE);
        }
    }

    /// When it went down, if it is down.
    pub fn down_from(&self) -> Option<Micros> {
        matches!(self.health, Health::Down(..)).then_some(self.down_from)
    }

    /// Records that it failed a request, which did not reach it if it was `unconnected`.
    pub(super) fn record_failure(&mut self, now: Micros, unconnected: bool) {
        self.failures += 1;
        self.unconnected = unconnected;
        let pause = match self.health {
            Health::Down(_, pause) => (pause * 2).min(MAX_DOWN_PAUSE),
            _ if self.failures < FAILURES_TO_DOWN => return,
            _ => MIN_DOWN_PAUSE,
        };
        if self.down_from().is_none() {
            self.down_from = now;
        }
        self.health = Health::Down(now + pause, pause);
        self.down_since = now;
        self.gap_samples = 0;
        self.token_gaps = Default::default();
    }

    /// Whether an attempt was running when the backend server went down. Its failure belongs to the
    /// same outage: only attempts granted later show whether the outage lasts.
    pub(super) fn is_part_of_outage(&self, granted: Micros) -> bool {
        matches!(self.health, Health::Down(..)) && granted <= self.down_since
    }

    /// Fraction of requests that failed recently, if there were enough.
    pub fn failure_rate(&self, now: Micros) -> Option<f64> {
        self.outlier_detector.failure_rate(now)
    }

    /// Compares its failure rate with the pool's median; `can_spare` tells whether the pool can do
    /// without it.
    pub fn update_outlier(&mut self, now: Micros, median: f64, can_spare: bool) {
        match self.health {
            Health::Good if can_spare && self.outlier_detector.is_outlier(now, median) => {
                self.health = Health::Erring(now + PROBE_PAUSE);
            }
            Health::Erring(_) if self.outlier_detector.has_recovered() => {
                self.health = Health::Good;
                self.outlier_detector = Detector::new();
            }
            _ => {}
        }
    }

    /// Compares its token gaps in streams of one sensitivity with the pool's baseline. Returns
    /// whether it has just become slow.
    pub fn check_slow(
        &mut self,
        now: Micros,
        sensitivity: Sensitivity,
        baseline: Baseline,
    ) -> bool {
        let Some(gap) = self.recent_gap(now, sensitivity) else {
            return false;
        };
        let threshold = (baseline.median + MILLISECOND as f64).max(baseline.acceptable);
        match self.health {
            Health::Good if gap > baseline.median * SLOW_FACTOR && gap > threshold => {
                self.health = Health::Slow(now + PROBE_PAUSE);
                self.slow_sensitivity = sensitivity;
                true
            }
            Health::Slow(_) if sensitivity != self.slow_sensitivity => false,
            Health::Slow(_)
                if gap < baseline.median * RECOVERY_FACTOR || gap < baseline.acceptable =>
            {
                self.health = Health::Good;
                false
            }
            _ => false,
        }
    }
}
