//! The pauses between the tokens of a backend server's streams.

use super::Server;
use crate::time::{Micros, SECOND};

/// Weight of a new sample in the running means.
const SMOOTHING: f64 = 0.2;
/// Samples before a mean is compared with the pool's.
pub(super) const ENOUGH_SAMPLES: u32 = 6;
/// How long the pace of streams is believed after the last one reported on it.
const PACE_FOR: Micros = 4 * SECOND;

/// What a stream bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sensitivity {
    /// No long pauses between events.
    Sensitive,
    /// Long pauses.
    Tolerant,
}

impl Sensitivity {
    /// All kinds.
    pub const ALL: [Sensitivity; 2] = [Sensitivity::Sensitive, Sensitivity::Tolerant];
}

/// The pauses between the tokens of a backend server's streams of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    gap: f64,
    samples: u32,
    at: Micros,
}

impl Pace {
    /// Takes the mean pause of a stream over a while.
    pub(super) fn note(&mut self, now: Micros, gap: Micros) {
        if now > self.at + PACE_FOR {
            *self = Pace::default();
        }
        self.gap = if self.samples == 0 { gap as f64 } else { mean(self.gap, gap as f64) };
        self.samples = self.samples.saturating_add(1);
        self.at = now;
    }
}

/// What is usual among the backend servers of a pool, in microseconds between tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// The median.
    pub median: f64,
    /// What is not slow in any case.
    pub borne: f64,
}

impl Server {
    /// Mean time between the tokens of its streams of a kind, in microseconds, if enough was seen
    /// lately.
    pub fn pace(&self, now: Micros, sensitivity: Sensitivity) -> Option<f64> {
        let pace = &self.paces[sensitivity as usize];
        let known = pace.samples >= ENOUGH_SAMPLES && now <= pace.at + PACE_FOR;
        known.then_some(pace.gap)
    }
}

/// The running mean after a sample.
pub(super) fn mean(old: f64, sample: f64) -> f64 {
    if old == 0.0 {
        return sample;
    }
    old + (sample - old) * SMOOTHING
}
