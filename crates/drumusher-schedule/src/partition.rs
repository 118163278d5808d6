//! Partition of a pool's engines between delay-tolerant and delay-sensitive requests.
//!
//! Streams with a small token gap target miss it beside long prompts, however short the queue is.
//! So each engine serves one of the two kinds of request at a time. The kinds get engines in
//! proportion to the time that their prompts take to prefill. The order of the engines is fixed, so
//! that only those at the boundary ever change, and the prompt caches of the others stay useful.

use crate::time::{Micros, SECOND};

/// Time constant of the demand's decay, in microseconds: short enough to follow a burst of some
/// seconds.
const DECAY_TIME: f64 = 2.0 * SECOND as f64;
/// Weight of the prefill time of delay-sensitive prompts: their waits should be shorter.
const SENSITIVE_WEIGHT: f64 = 1.6;
/// Demand of both kinds together that is assumed before any was seen, in microseconds, so that the
/// first requests after a change of dispatcher do not swing the boundary.
const PRIOR_DEMAND: f64 = 0.4 * SECOND as f64;
/// The boundary moves when its target is further away than this, in engines.
const HYSTERESIS: f64 = 0.65;

/// Recent prefill time, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    level: f64,
    updated: Micros,
}

impl Demand {
    fn level_at(&self, now: Micros) -> f64 {
        self.level * (-(now.saturating_sub(self.updated) as f64) / DECAY_TIME).exp()
    }

    fn add(&mut self, now: Micros, time: f64) {
        self.level = self.level_at(now) + time;
        self.updated = now;
    }
}

/// The number of engines for delay-tolerant requests.
#[derive(Debug, Default)]
pub struct Partition {
    tolerant: Demand,
    sensitive: Demand,
    engines: usize,
}

impl Partition {
    /// A partition without any demand yet.
    pub fn new() -> Self {
        Partition::default()
    }

    /// Records that a request was placed whose prompt takes `time` microseconds to prefill.
    pub fn record(&mut self, now: Micros, tolerant: bool, time: f64) {
        let demand = if tolerant { &mut self.tolerant } else { &mut self.sensitive };
        demand.add(now, time);
    }

    /// How many engines the recent requests keep busy with their prompts.
    pub fn busy_engines(&self, now: Micros) -> f64 {
        (self.tolerant.level_at(now) + self.sensitive.level_at(now)) / DECAY_TIME
    }

    /// How many of `total` engines serve delay-tolerant requests. Fewer than two engines are not
    /// partitioned.
    pub fn tolerant_engines(&mut self, now: Micros, total: usize) -> usize {
        if total < 2 {
            return 0;
        }
        let tolerant = self.tolerant.level_at(now);
        let sensitive = self.sensitive.level_at(now) * SENSITIVE_WEIGHT;
        let target =
            total as f64 * (tolerant + PRIOR_DEMAND / 2.0) / (tolerant + sensitive + PRIOR_DEMAND);
        if (target - self.engines as f64).abs() > HYSTERESIS {
            self.engines = target.round() as usize;
        }
        self.engines = self.engines.clamp(1, total - 1);
        self.engines
    }
}
