//! Dividing the engines of a pool between patient and pressing requests.
//!
//! Streams that bear no long pause are late beside long prompts however short the queue is. So each
//! engine is on one side at a time. The sides get engines in proportion to the time that their
//! prompts take to read; the order of the engines is fixed, so that only those at the border ever
//! change sides and what the others keep stays useful.

use crate::time::{Micros, SECOND};

/// Time constant of the demand, in microseconds: short enough to follow a burst of some seconds.
const MEMORY: f64 = 2.0 * SECOND as f64;
/// What a microsecond of reading counts for the pressing side: its waits are to be shorter.
const PRESSING_WEIGHT: f64 = 1.6;
/// Demand of both sides together that is assumed before any was seen, so that the first requests
/// after a change of dispatcher do not throw the border about.
const PRIOR: f64 = 0.4 * SECOND as f64;
/// The border moves when the share that is due is further than this from it, in engines.
const MARGIN: f64 = 0.65;

/// Time spent on reading prompts lately, decayed.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    level: f64,
    at: Micros,
}

impl Demand {
    fn now(&self, now: Micros) -> f64 {
        self.level * (-(now.saturating_sub(self.at) as f64) / MEMORY).exp()
    }

    fn add(&mut self, now: Micros, time: f64) {
        self.level = self.now(now) + time;
        self.at = now;
    }
}

/// How many engines are on the patient side.
#[derive(Debug, Default)]
pub struct Border {
    patient: Demand,
    pressing: Demand,
    engines: usize,
}

impl Border {
    /// Nothing was asked yet.
    pub fn new() -> Self {
        Border::default()
    }

    /// A request whose prompt takes `time` microseconds to read was placed.
    pub fn note(&mut self, now: Micros, patient: bool, time: f64) {
        let side = if patient { &mut self.patient } else { &mut self.pressing };
        side.add(now, time);
    }

    /// How many of `all` engines are on the patient side. With fewer than two there are no sides.
    pub fn patient(&mut self, now: Micros, all: usize) -> usize {
        if all < 2 {
            return 0;
        }
        let patient = self.patient.now(now);
        let pressing = self.pressing.now(now) * PRESSING_WEIGHT;
        let due = all as f64 * (patient + PRIOR / 2.0) / (patient + pressing + PRIOR);
        if (due - self.engines as f64).abs() > MARGIN {
            self.engines = due.round() as usize;
        }
        self.engines = self.engines.clamp(1, all - 1);
        self.engines
    }
}
