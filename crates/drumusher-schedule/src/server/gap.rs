//! Token gaps of a backend server: the time between the tokens of its streams.

use super::Server;
use crate::time::{Micros, SECOND};

/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.2;
/// Samples before a mean is compared with the pool's.
pub(super) const MIN_SAMPLES: u32 = 6;
/// How long the mean gap stays valid after the last sample.
const GAP_TTL: Micros = 4 * SECOND;

/// How much a stream suffers from long gaps between its events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sensitivity {
    /// Misses its target when gaps are long.
    Sensitive,
    /// Has a target that allows long gaps.
    Tolerant,
}

impl Sensitivity {
    /// All values.
    pub const ALL: [Sensitivity; 2] = [Sensitivity::Sensitive, Sensitivity::Tolerant];
}

/// Mean token gap of a backend server's streams of one sensitivity.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenGap {
    gap: f64,
    samples: u32,
    updated: Micros,
}

impl TokenGap {
    /// Records the mean gap of a stream over one report interval.
    pub(super) fn record(&mut self, now: Micros, gap: Micros) {
        if now > self.updated + GAP_TTL {
            *self = TokenGap::default();
        }
        self.gap =
            if self.samples == 0 { gap as f64 } else { moving_average(self.gap, gap as f64) };
        self.samples = self.samples.saturating_add(1);
        self.updated = now;
    }
}

/// Reference for the token gaps of a pool's backend servers, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    /// The median.
    pub median: f64,
    /// A gap up to this is never slow.
    pub acceptable: f64,
}

impl Server {
    /// Mean time between the tokens of its streams of one sensitivity, in microseconds, if there
    /// are enough recent samples.
    pub fn recent_gap(&self, now: Micros, sensitivity: Sensitivity) -> Option<f64> {
        let token_gap = &self.token_gaps[sensitivity as usize];
        let is_known = token_gap.samples >= MIN_SAMPLES && now <= token_gap.updated + GAP_TTL;
        is_known.then_some(token_gap.gap)
    }
}

/// The exponential moving average after a sample.
pub(super) fn moving_average(old: f64, sample: f64) -> f64 {
    if old == 0.0 {
        return sample;
    }
    old + (sample - old) * SMOOTHING
}
