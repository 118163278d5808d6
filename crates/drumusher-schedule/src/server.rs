//! What a dispatcher knows of one backend server, learned from its own grants and streams.

mod health;
mod pace;
mod rate;
mod window;

pub use health::Health;
pub use pace::{Sensitivity, Usual};

use std::collections::{HashMap, VecDeque};

use self::{
    pace::{ENOUGH_SAMPLES, Pace, mean},
    rate::Rate,
    window::{HISTORY, Sample},
};
use crate::{
    ask::Outcome,
    engine::Engine,
    outlier::Detector,
    time::{MILLISECOND, Micros, SECOND},
};

/// A backend server's place in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u16);

/// What is configured for a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Most requests given to it at once.
    pub slots: u32,
    /// Requests given to it at once before anything was learned.
    pub first_slots: u32,
    /// Whether the window is learned; otherwise it is `slots`.
    pub learned: bool,
    /// Its place in an order that all dispatchers of the pool share.
    pub rank: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options { slots: 64, first_slots: 16, learned: true, rank: 0 }
    }
}

/// Prefixes remembered per backend server.
const PREFIXES: usize = 1_024;
/// Assumed time to process one prompt token that is not cached.
const PROMPT_TOKEN: f64 = 30.0;

/// One backend server.
#[derive(Debug)]
pub struct Server {
    options: Options,
    limit: f64,
    running: u32,
    foreign: u32,
    history: VecDeque<(Micros, u32)>,
    full_until: Micros,
    /// Whether its last report said that it takes no more.
    says_full: bool,
    gap: f64,
    gap_samples: u32,
    first_token: f64,
    failures: u32,
    health: Health,
    /// When it was last found to be down.
    down_since: Micros,
    leaving: bool,
    /// What it takes a second, where that is limited.
    rate: Option<Rate>,
    adjusted: Micros,
    /// When attempts on it were last stopped for those in its own queue.
    relieved: Micros,
    /// The latest reports, oldest first.
    samples: VecDeque<Sample>,
    /// What it was seen to hold at most, and since when.
    ceiling: Option<(f64, Micros)>,
    prefixes: HashMap<u64, Micros>,
    /// What is believed of it as an engine.
    engine: Engine,
    outlier_detector: Detector,
    /// The kind of streams in which it was found slow last.
    slow_in: Sensitivity,
    /// By [`Kind`].
    paces: [Pace; Sensitivity::ALL.len()],
}

impl Server {
    /// A backend server of which nothing is known yet.
    pub fn new(options: Options) -> Self {
        Server {
            options,
            limit: f64::from(options.first_slots.min(options.slots)),
            running: 0,
            foreign: 0,
            history: VecDeque::with_capacity(HISTORY),
            full_until: 0,
            says_full: false,
            gap: 0.0,
            gap_samples: 0,
            first_token: 0.0,
            failures: 0,
            health: Health::Good,
            down_since: 0,
            leaving: false,
            rate: None,
            adjusted: 0,
            relieved: 0,
            samples: VecDeque::new(),
            ceiling: None,
            prefixes: HashMap::new(),
            engine: Engine::new(),
            outlier_detector: Detector::new(),
            slow_in: Sensitivity::Sensitive,
            paces: Default::default(),
        }
    }

    /// Takes a changed configuration; what was learned stays.
    pub fn configure(&mut self, options: Options) {
        self.options = options;
        let slots = f64::from(options.slots);
        self.limit = if options.learned { self.limit.min(slots) } else { slots };
        self.leaving = false;
    }

    /// Gives it no new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Limits the grants a second, or no longer does.
    pub fn limit(&mut self, now: Micros, per_second: Option<f64>) {
        match (&mut self.rate, per_second) {
            (Some(rate), Some(per_second)) => rate.set(now, per_second),
            (rate, per_second) => *rate = per_second.map(|per_second| Rate::new(now, per_second)),
        }
    }

    /// Grants a second to which it is limited.
    pub fn limited(&self) -> Option<f64> {
        self.rate.as_ref().map(Rate::per_second)
    }

    /// Requests a second that it takes while it is full, each of which holds its place for a time.
    pub fn drain_rate(&self, held: f64) -> f64 {
        let by_places = f64::from(self.window()) * SECOND as f64 / held;
        self.limited().map_or(by_places, |limit| limit.min(by_places))
    }

    /// Grants that its limit allows now.
    fn allowed(&self, now: Micros) -> u32 {
        self.rate.as_ref().map_or(u32::MAX, |rate| rate.saved(now) as u32)
    }

    /// Its place in the order of the pool.
    pub fn rank(&self) -> u64 {
        self.options.rank
    }

    /// Whether it is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Own grants running on it.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests on it that this dispatcher did not grant, by its reports.
    pub fn foreign(&self) -> u32 {
        self.foreign
    }

    /// Mean time between tokens in microseconds, when enough was seen.
    pub fn measured_gap(&self) -> Option<f64> {
        (self.gap_samples >= ENOUGH_SAMPLES).then_some(self.gap)
    }

    /// Mean time from a grant to its first token in microseconds, when one was seen.
    pub fn known_first_token(&self) -> Option<f64> {
        (self.first_token > 0.0).then_some(self.first_token)
    }

    /// Places free for ordinary work.
    pub fn free(&self, now: Micros) -> u32 {
        if self.leaving || self.health != Health::Good || now < self.full_until {
            return 0;
        }
        self.window().saturating_sub(self.running + self.foreign).min(self.allowed(now))
    }

    /// Mean time between tokens in microseconds, of however few samples.
    pub fn estimated_gap(&self) -> Option<f64> {
        (self.gap_samples > 0).then_some(self.gap)
    }

    /// Expected microseconds to the first token for a prompt, for comparing backend servers. One
    /// of which nothing was seen is taken for as fast as the others, `usual` between tokens.
    pub fn cost(&self, prompt: u32, prefix: u64, usual: f64) -> f64 {
        let occupied = f64::from(self.running + self.foreign);
        let step = self.estimated_gap().unwrap_or(usual).max(MILLISECOND as f64);
        let prompt_time = if self.holds(prefix) { 0.0 } else { f64::from(prompt) * PROMPT_TOKEN };
        step * (1.0 + 4.0 * occupied / self.limit.max(1.0)) + prompt_time
    }

    /// Whether it was sent this prefix before.
    pub fn holds(&self, prefix: u64) -> bool {
        prefix != 0 && self.prefixes.contains_key(&prefix)
    }

    /// What is believed of it as an engine.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// The same, to be told of what happens.
    pub fn engine_mut(&mut self) -> &mut Engine {
        &mut self.engine
    }

    /// Counts a grant.
    pub fn start(&mut self, now: Micros, prefix: u64) {
        self.running += 1;
        if let Some(rate) = &mut self.rate {
            rate.take(now);
        }
        self.note(now);
        self.probed(now);
        if prefix == 0 {
            return;
        }
        self.prefixes.insert(prefix, now);
        if self.prefixes.len() > PREFIXES {
            let middle = self.prefixes.values().copied().sum::<Micros>() / PREFIXES as Micros;
            self.prefixes.retain(|_, used| *used >= middle);
        }
    }

    /// Counts the end of an attempt that was granted at `granted`.
    pub fn end(&mut self, now: Micros, granted: Micros, outcome: Outcome) {
        self.running = self.running.saturating_sub(1);
        self.note(now);
        let failed = matches!(outcome, Outcome::Failed | Outcome::ConnectFailed);
        if failed && self.is_part_of_outage(granted) {
            return;
        }
        match outcome {
            Outcome::Done | Outcome::Failed | Outcome::ErrorResponse | Outcome::ConnectFailed => {
                self.outlier_detector.record(now, outcome != Outcome::Done);
            }
            Outcome::Cancelled | Outcome::Preempted | Outcome::Overloaded => {}
        }
        match outcome {
            // One that answers is there, whatever it answers.
            Outcome::Done | Outcome::ErrorResponse => self.succeed(),
            Outcome::Failed | Outcome::ConnectFailed => self.fail(now),
            Outcome::Overloaded => self.refuse(now),
            Outcome::Cancelled | Outcome::Preempted => {}
        }
    }

    /// Learns from a stream: time to the first token and mean time between tokens.
    pub fn learn(
        &mut self,
        now: Micros,
        sensitivity: Sensitivity,
        first_token: Option<Micros>,
        gap: Micros,
        target: Micros,
    ) {
        if let Some(first) = first_token {
            self.first_token = mean(self.first_token, first as f64);
        }
        if first_token.is_some() || gap > 0 {
            self.end_outage(now);
        }
        if gap == 0 {
            return;
        }
        // A backend server that produces tokens is not down, whatever became of one request.
        self.failures = 0;
        self.gap = if self.gap_samples == 0 { gap as f64 } else { mean(self.gap, gap as f64) };
        self.gap_samples = self.gap_samples.saturating_add(1);
        self.paces[sensitivity as usize].note(now, gap);
        self.adjust(now, target as f64);
    }
}
