//! State of one backend server, learned from this dispatcher's own grants and streams.

mod brittle;
mod gap;
mod health;
mod rate;
mod window;

pub use gap::{Baseline, Sensitivity};
pub use health::{Health, Urgency};

use std::collections::{HashMap, VecDeque};

use self::{
    brittle::Brittle,
    gap::{MIN_SAMPLES, TokenGap, moving_average},
    rate::Limiter,
    window::Sample,
};
use crate::{
    ask::Outcome,
    engine::{Engine, Profile},
    outlier::Detector,
    region,
    time::{MILLISECOND, Micros, SECOND},
    version,
};

/// Index of a backend server in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u16);

/// Configuration of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Maximum requests given to it at once.
    pub slots: u32,
    /// Requests given to it at once before anything is learned.
    pub first_slots: u32,
    /// Whether the concurrency window is learned; otherwise it is `slots`.
    pub learned: bool,
    /// Sort key in an order that all dispatchers of the pool share.
    pub rank: u64,
    /// Its region.
    pub region: region::Key,
    /// Its software version.
    pub version: version::Key,
    /// What the configuration says of the engine; `None` if it is none, or if nothing is known.
    pub profile: Option<Profile>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            slots: 64,
            first_slots: 16,
            learned: true,
            rank: 0,
            region: region::Key::UNKNOWN,
            version: version::Key::default(),
            profile: None,
        }
    }
}

/// Maximum prefixes remembered per backend server.
const MAX_PREFIXES: usize = 1_024;
/// Assumed time to prefill one prompt token that is not cached, in microseconds.
const PROMPT_TOKEN_TIME: f64 = 30.0;

/// One backend server.
#[derive(Debug)]
pub struct Server {
    options: Options,
    window: f64,
    running: u32,
    foreign: u32,
    history: VecDeque<(Micros, u32)>,
    full_until: Micros,
    /// Whether its last report said that it accepts no more requests.
    reported_full: bool,
    gap: f64,
    gap_samples: u32,
    first_token: f64,
    failures: u32,
    health: Health,
    /// When its current outage began.
    down_from: Micros,
    /// When it last failed in that outage.
    down_since: Micros,
    /// Whether no connection was made for the latest failed request.
    unconnected: bool,
    /// Whether the latest query for its load had no answer.
    unreachable: bool,
    leaving: bool,
    /// Rate limit of grants, if there is one.
    limiter: Option<Limiter>,
    /// What it said of its being brittle, if it did.
    brittle: Option<Brittle>,
    window_adjusted: Micros,
    /// When attempts were last preempted for requests in its own queue.
    queue_preempted: Micros,
    /// The latest load reports, oldest first.
    samples: VecDeque<Sample>,
    /// The most requests that it was seen to run at once, and when that was seen.
    ceiling: Option<(f64, Micros)>,
    prefixes: HashMap<u64, Micros>,
    /// Prompt cache and prefill state, if it is an engine.
    engine: Engine,
    outlier_detector: Detector,
    /// The kind of streams by which it was last found slow.
    slow_sensitivity: Sensitivity,
    /// Indexed by [`Sensitivity`].
    token_gaps: [TokenGap; Sensitivity::ALL.len()],
}

impl Server {
    /// A backend server of which nothing is known yet.
    pub fn new(options: Options) -> Self {
        Server {
            options,
            window: f64::from(options.first_slots.min(options.slots)),
            running: 0,
            foreign: 0,
            history: VecDeque::new(),
            full_until: 0,
            reported_full: false,
            gap: 0.0,
            gap_samples: 0,
            first_token: 0.0,
            failures: 0,
            health: Health::Good,
            down_from: 0,
            down_since: 0,
            unconnected: false,
            unreachable: false,
            leaving: false,
            limiter: None,
            brittle: None,
            window_adjusted: 0,
            queue_preempted: 0,
            samples: VecDeque::new(),
            ceiling: None,
            prefixes: HashMap::new(),
            engine: Engine::new(),
            outlier_detector: Detector::new(),
            slow_sensitivity: Sensitivity::Sensitive,
            token_gaps: Default::default(),
        }
    }

    /// Applies a changed configuration; what was learned stays.
    pub fn configure(&mut self, options: Options) {
        self.options = options;
        let slots = f64::from(options.slots);
        self.window = if options.learned { self.window.min(slots) } else { slots };
        self.leaving = false;
    }

    /// Gives it no new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Sets the rate limit of grants; `None` lifts it.
    pub fn set_rate_limit(&mut self, now: Micros, per_second: Option<f64>) {
        match (&mut self.limiter, per_second) {
            (Some(limiter), Some(per_second)) => limiter.set_rate(now, per_second),
            (limiter, per_second) => {
                *limiter = per_second.map(|per_second| Limiter::new(now, per_second))
            }
        }
    }

    /// Rate limit in grants per second, if there is one.
    pub fn rate_limit(&self) -> Option<f64> {
        self.limiter.as_ref().map(Limiter::per_second)
    }

    /// Requests per second that it accepts while full, if each occupies a slot for `hold_time`
    /// microseconds.
    pub fn drain_rate(&self, hold_time: f64) -> f64 {
        let by_slots = f64::from(self.window()) * SECOND as f64 / hold_time;
        self.rate_limit().map_or(by_slots, |limit| limit.min(by_slots))
    }

    /// Number of grants that the rate limit allows now.
    fn grants_allowed(&self, now: Micros) -> u32 {
        self.limiter.as_ref().map_or(u32::MAX, |limiter| limiter.available(now) as u32)
    }

    /// Sort key in the order that all dispatchers of the pool share.
    pub fn rank(&self) -> u64 {
        self.options.rank
    }

    /// Maximum requests given to it at once.
    pub fn slots(&self) -> u32 {
        self.options.slots
    }

    /// What the configuration says of it, if it is an engine.
    pub fn profile(&self) -> Option<Profile> {
        self.options.profile
    }

    /// Its region.
    pub fn region(&self) -> region::Key {
        self.options.region
    }

    /// Its software version.
    pub fn version(&self) -> version::Key {
        self.options.version
    }

    /// Whether it is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Grants of this dispatcher that run on it.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests on it that this dispatcher did not grant, according to its reports.
    pub fn foreign(&self) -> u32 {
        self.foreign
    }

    /// Mean time between tokens in microseconds, once there are enough samples.
    pub fn measured_gap(&self) -> Option<f64> {
        (self.gap_samples >= MIN_SAMPLES).then_some(self.gap)
    }

    /// Mean time from a grant to the first token in microseconds, once one was seen.
    pub fn known_first_token(&self) -> Option<f64> {
        (self.first_token > 0.0).then_some(self.first_token)
    }

    /// Free slots for ordinary work, as opposed to probes.
    pub fn free(&self, now: Micros) -> u32 {
        if self.leaving || self.health != Health::Good || now < self.full_until {
            return 0;
        }
        let places = self.window().saturating_sub(self.running + self.foreign);
        places.min(self.grants_allowed(now)).min(self.brittle_allowance(now))
    }

    /// Mean time between tokens in microseconds, however few samples there are.
    pub fn estimated_gap(&self) -> Option<f64> {
        (self.gap_samples > 0).then_some(self.gap)
    }

    /// Expected microseconds to the first token of a prompt, for comparing backend servers. One
    /// without samples is assumed to be as fast as the others, with a gap of `typical_gap` between
    /// tokens.
    pub fn cost(&self, prompt: u32, prefix: u64, typical_gap: f64) -> f64 {
        let occupied = f64::from(self.running + self.foreign);
        let step = self.estimated_gap().unwrap_or(typical_gap).max(MILLISECOND as f64);
        let prefill_time =
            if self.has_prefix(prefix) { 0.0 } else { f64::from(prompt) * PROMPT_TOKEN_TIME };
        step * (1.0 + 4.0 * occupied / self.window.max(1.0)) + prefill_time
    }

    /// Whether it received this prefix before.
    pub fn has_prefix(&self, prefix: u64) -> bool {
        prefix != 0 && self.prefixes.contains_key(&prefix)
    }

    /// Prompt cache and prefill state, if it is an engine.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Mutable access to [`Server::engine`], to record events.
    pub fn engine_mut(&mut self) -> &mut Engine {
        &mut self.engine
    }

    /// Records a grant.
    pub fn start(&mut self, now: Micros, prefix: u64) {
        self.running += 1;
        if let Some(limiter) = &mut self.limiter {
            limiter.take(now);
        }
        self.record_brittle_grant(now);
        self.record_running(now);
        self.schedule_probe(now);
        if prefix == 0 {
            return;
        }
        self.prefixes.insert(prefix, now);
        if self.prefixes.len() > MAX_PREFIXES {
            let mean_use = self.prefixes.values().copied().sum::<Micros>() / MAX_PREFIXES as Micros;
            self.prefixes.retain(|_, used| *used >= mean_use);
        }
    }

    /// Records the end of an attempt that was granted at `granted`.
    pub fn end(&mut self, now: Micros, granted: Micros, outcome: Outcome) {
        self.running = self.running.saturating_sub(1);
        self.record_running(now);
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
            // A backend server that answers is up, whatever it answers.
            Outcome::Done | Outcome::ErrorResponse => self.record_success(),
            Outcome::Failed => self.record_failure(now, false),
            Outcome::ConnectFailed => self.record_failure(now, true),
            Outcome::Overloaded => self.record_rejection(now),
            Outcome::Cancelled | Outcome::Preempted => {}
        }
    }

    /// Learns from a stream: time to the first token and mean time between tokens.
    pub fn record_stream(
        &mut self,
        now: Micros,
        sensitivity: Sensitivity,
        first_token: Option<Micros>,
        gap: Micros,
        target: Micros,
    ) {
        if let Some(first) = first_token {
            self.first_token = moving_average(self.first_token, first as f64);
        }
        if first_token.is_some() || gap > 0 {
            self.end_outage(now);
        }
        if gap == 0 {
            return;
        }
        // A backend server that produces tokens is not down, whatever happened to one request.
        self.failures = 0;
        self.gap =
            if self.gap_samples == 0 { gap as f64 } else { moving_average(self.gap, gap as f64) };
        self.gap_samples = self.gap_samples.saturating_add(1);
        self.token_gaps[sensitivity as usize].record(now, gap);
        self.adjust_window(now, target as f64);
    }
}
