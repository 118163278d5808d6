//! The pace of an engine: the time between the events of its streams.
//!
//! Engines of one pool differ: some are slower by themselves, and others are slowed for a moment by
//! what runs beside them. A recent mean follows the present pace, and a slow mean identifies an
//! engine that is slow by itself. Without recent samples an engine ages to its slow mean, and
//! without any to the typical pace of its pool.

use super::{Engine, Prefill};
use crate::time::{Micros, SECOND};

/// Time constant of the recent mean, in microseconds. Noisy neighbours slow an engine for 0.6 s,
/// and this must not outlast them by much.
const RECENT_DECAY_TIME: f64 = 1.5 * SECOND as f64;
/// Time constant of the slow mean, in microseconds.
const SLOW_DECAY_TIME: f64 = 20.0 * SECOND as f64;
/// Weight of what is assumed without samples, in events: about one report of a stream.
const PRIOR_EVENTS: f64 = 4.0;
/// Bounds of the gap between events in a report, in microseconds. A gap beyond the upper one is a
/// stall of one stream, which ends by a retry and says nothing about the pace of the others.
const GAP_BOUNDS: (f64, f64) = (1.0, 2.0 * SECOND as f64);
/// Longest time that one report covers, in microseconds. Reports come every 300 ms or with the next
/// event after that; one that covers more is of a stream whose earlier reports went to another
/// dispatcher.
const MAX_REPORT_TIME: f64 = SECOND as f64;
/// Part of the time left, and of the target for pauses, that an answer may be expected to use. The
/// rest is for the error of the expectation.
const USABLE_FRACTION: f64 = 0.8;
/// Cost of an answer that ends too late, as a multiple of the time by which it does.
const LATE_END_WEIGHT: f64 = 2.0;
/// Most that pauses above the target cost, in microseconds of waiting.
const MAX_PAUSE_COST: f64 = SECOND as f64;

/// A mean gap between events that decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    /// Sum of the gaps, in microseconds.
    time: f64,
    /// Number of gaps.
    events: f64,
    updated: Micros,
}

/// Time between the events of an engine's streams, from the progress reports of entry instances.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    recent: Mean,
    slow: Mean,
}

/// What is known of an answer before its request is placed. It is the same for all engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// Events expected; at least 1.
    pub events: f64,
    /// How long its caller still waits, in microseconds; `None` if unknown.
    pub left: Option<f64>,
    /// Target for the time between events, in microseconds; 0 for none.
    pub pause_target: f64,
    /// Typical pace of the pool, in microseconds.
    pub typical: f64,
}

impl Mean {
    fn record(&mut self, now: Micros, gap: f64, events: f64, decay_time: f64) {
        let decay = self.decay(now, decay_time);
        self.time = self.time * decay + gap * events;
        self.events = self.events * decay + events;
        self.updated = self.updated.max(now);
    }

    fn decay(&self, now: Micros, decay_time: f64) -> f64 {
        (-(now.saturating_sub(self.updated) as f64) / decay_time).exp()
    }

    /// The mean, moved towards `prior` by the age and the small number of its samples.
    fn estimate(&self, now: Micros, prior: f64, decay_time: f64) -> f64 {
        if self.events <= 0.0 {
            return prior;
        }
        let trust = self.decay(now, decay_time) * self.events / (self.events + PRIOR_EVENTS);
        prior + (self.time / self.events - prior) * trust
    }
}

impl Pace {
    /// Records a report: the mean gap between the `events` events since the previous one.
    pub fn record(&mut self, now: Micros, gap: Micros, events: u32) {
        if gap == 0 || events == 0 {
            return;
        }
        let gap = (gap as f64).clamp(GAP_BOUNDS.0, GAP_BOUNDS.1);
        let events = f64::from(events).min((MAX_REPORT_TIME / gap).max(1.0));
        self.recent.record(now, gap, events, RECENT_DECAY_TIME);
        self.slow.record(now, gap, events, SLOW_DECAY_TIME);
    }

    /// The slow mean, in microseconds, if it has samples from within its time constant.
    pub fn slow_mean(&self, now: Micros) -> Option<f64> {
        let age = now.saturating_sub(self.slow.updated) as f64;
        let is_known = self.slow.events >= PRIOR_EVENTS && age <= SLOW_DECAY_TIME;
        is_known.then(|| self.slow.time / self.slow.events)
    }

    /// The expected time between events, in microseconds, in a pool with this typical pace.
    pub fn expected(&self, now: Micros, typical: f64) -> f64 {
        let slow = self.slow.estimate(now, typical, SLOW_DECAY_TIME);
        self.recent.estimate(now, slow, RECENT_DECAY_TIME)
    }
}

impl Answer {
    /// Expected time between the events of the answer on an engine, in microseconds: the present
    /// one, and the delay of each event by the prompt. Each answer that an engine produces needs
    /// the prefill of one prompt, so its time is spread over the events of the answer.
    pub fn pace(&self, now: Micros, engine: &Engine, prefill: Prefill) -> f64 {
        engine.pace().expected(now, self.typical) + engine.prefill_time(prefill) / self.events
    }

    /// Cost of an engine for the rest of the answer, in microseconds of waiting: the time by which
    /// it would end too late, and pauses above the target.
    pub fn cost(&self, now: Micros, engine: &Engine, prefill: Prefill) -> f64 {
        let pace = self.pace(now, engine, prefill);
        let late = self.left.map_or(0.0, |left| {
            // The time to prefill a token is learned from first events, so this is the first one's.
            let first = engine.queue_time(now) as f64 + engine.prefill_time(prefill);
            (first + (self.events - 1.0) * pace - left * USABLE_FRACTION).max(0.0)
        });
        let pause = if self.pause_target > 0.0 {
            (pace - self.pause_target * USABLE_FRACTION).max(0.0) * self.events
        } else {
            0.0
        };
        late * LATE_END_WEIGHT + pause.min(MAX_PAUSE_COST)
    }
}
