//! Outlier detection: tells a backend server that fails part of its requests from one whose error
//! responses are the requests' own fault.
//!
//! Some requests fail wherever they run, so a failure rate says nothing by itself: it is compared
//! with the median of the pool. A backend server far above the median gets only probes until
//! several of them succeed in a row. A failure can also come from the network path between an
//! instance and the backend server; the dispatcher hears of the failures of all instances, so that
//! one bad path among many changes the rate little.

use crate::time::{Micros, SECOND};

/// Time constant of the decay of outcomes, in microseconds: faults last some seconds.
const DECAY_TIME: f64 = 4.0 * SECOND as f64;
/// Minimum number of outcomes, after decay, for a failure rate to be meaningful.
const MIN_OUTCOMES: f64 = 8.0;
/// How far an outlier's failure rate exceeds the pool's median, besides [`MAX_DEVIATIONS`]. The highest
/// rate of errors that are the requests' own fault is 0.14 in the known request classes.
const MARGIN: f64 = 0.15;
/// Standard deviations of a failure rate that are attributed to chance: one sample in forty exceeds
/// it.
const MAX_DEVIATIONS: f64 = 2.0;
/// Lower bound of the median in the standard deviation, so that the first failure in a pool without
/// failures is not an outlier.
const MIN_MEDIAN: f64 = 0.05;
/// Consecutive successful probes after which an outlier is healthy again. A backend server that
/// fails 45 in 100 requests passes with a probability of one in eleven.
const RECOVERY_SUCCESSES: u32 = 4;
/// At most one backend server in this many is treated as an outlier: when more fail, the fault is
/// elsewhere, and the others could not carry the load.
pub const MIN_SERVERS_PER_OUTLIER: usize = 3;

/// Recent outcomes of one backend server, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    failed: f64,
    total: f64,
    updated: Micros,
    /// Consecutive successes since the last failure.
    successes: u32,
}

impl Detector {
    /// A detector without outcomes.
    pub fn new() -> Self {
        Detector::default()
    }

    /// Records an outcome.
    pub fn record(&mut self, now: Micros, failed: bool) {
        let decay = self.decay(now);
        self.failed = self.failed * decay + f64::from(u8::from(failed));
        self.total = self.total * decay + 1.0;
        self.updated = now;
        self.successes = if failed { 0 } else { self.successes.saturating_add(1) };
    }

    /// Factor by which the recorded outcomes have decayed.
    fn decay(&self, now: Micros) -> f64 {
        (-(now.saturating_sub(self.updated) as f64) / DECAY_TIME).exp()
    }

    /// Fraction of requests that failed, if there were enough recent outcomes.
    pub fn failure_rate(&self, now: Micros) -> Option<f64> {
        let enough = self.total * self.decay(now) >= MIN_OUTCOMES;
        enough.then(|| self.failed / self.total)
    }

    /// Whether the backend server is an outlier in a pool with this median failure rate.
    pub fn is_outlier(&self, now: Micros, median: f64) -> bool {
        let outcomes = self.total * self.decay(now);
        let expected = median.clamp(MIN_MEDIAN, 1.0);
        let deviation = (expected * (1.0 - expected) / outcomes.max(1.0)).sqrt();
        let bound = median + MARGIN + MAX_DEVIATIONS * deviation;
        self.failure_rate(now).is_some_and(|rate| rate > bound)
    }

    /// Whether an outlier had enough successes in a row to count as healthy.
    pub fn has_recovered(&self) -> bool {
        self.successes >= RECOVERY_SUCCESSES
    }
}

/// Median over the backend servers of a pool; 0 for an empty pool.
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    // Takes the lower middle value: of two backend servers, the better one is the reference.
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}
