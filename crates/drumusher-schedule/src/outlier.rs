//! Telling a backend server that fails part of its requests from one whose answers are rightly errors.
//!
//! Some requests fail wherever they run, so a share of failures says nothing by itself: it is compared
//! with the median of the pool. A backend server far above it gets only probes, and is good again
//! after some of them went well in a row. A failure can also come from the path between an instance
//! and the backend server; the dispatcher hears of the failures of all instances, so that one bad
//! path among many moves the share little.

use crate::time::{Micros, SECOND};

/// Time constant after which an outcome hardly counts any more: troubles last some seconds.
const MEMORY: f64 = 4.0 * SECOND as f64;
/// Outcomes, decayed, before a share means anything.
const ENOUGH: f64 = 8.0;
/// A backend server whose share of failures is further above the pool's median than this, and than
/// chance explains, is an outlier. The largest share of rightful errors of today's classes is 0.14.
const MARGIN: f64 = 0.15;
/// What chance explains, in standard deviations of a share: one trial in forty exceeds it.
const DEVIATIONS: f64 = 2.0;
/// The median counts as at least this when the deviation is worked out, so that a pool without
/// failures does not make the first one stand out.
const LEAST_MEDIAN: f64 = 0.05;
/// Probes that go well in a row make it good again. One that fails 45 in 100 passes with a chance of
/// one in eleven.
const PASSED: u32 = 4;
/// At most one backend server in so many is taken for an outlier: when more fail, the fault is
/// elsewhere, and the others could not carry the load.
pub const MOST_PART: usize = 3;

/// The latest outcomes of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    failed: f64,
    all: f64,
    at: Micros,
    /// Good outcomes since the last failure.
    passed: u32,
}

impl Tally {
    /// No outcomes yet.
    pub fn new() -> Self {
        Tally::default()
    }

    /// Counts an outcome.
    pub fn note(&mut self, now: Micros, failed: bool) {
        let kept = self.kept(now);
        self.failed = self.failed * kept + f64::from(u8::from(failed));
        self.all = self.all * kept + 1.0;
        self.at = now;
        self.passed = if failed { 0 } else { self.passed.saturating_add(1) };
    }

    /// The part of an outcome that still counts.
    fn kept(&self, now: Micros) -> f64 {
        (-(now.saturating_sub(self.at) as f64) / MEMORY).exp()
    }

    /// The share of failures, once there were enough outcomes lately.
    pub fn share(&self, now: Micros) -> Option<f64> {
        let enough = self.all * self.kept(now) >= ENOUGH;
        enough.then(|| self.failed / self.all)
    }

    /// Whether it is an outlier in a pool with this median.
    pub fn stands_out(&self, now: Micros, median: f64) -> bool {
        let outcomes = self.all * self.kept(now);
        let usual = median.clamp(LEAST_MEDIAN, 1.0);
        let deviation = (usual * (1.0 - usual) / outcomes.max(1.0)).sqrt();
        let bound = median + MARGIN + DEVIATIONS * deviation;
        self.share(now).is_some_and(|share| share > bound)
    }

    /// Whether so many outcomes in a row were good that an outlier counts as good again.
    pub fn passed(&self) -> bool {
        self.passed >= PASSED
    }
}

/// The median of what the backend servers of a pool show; 0 for an empty pool.
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    // The lower of two in the middle: with two backend servers the better one is the measure.
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}
