//! What a dispatcher knows of one backend server, learned from its own grants and streams.

use std::collections::{HashMap, VecDeque};

use crate::{
    ask::Outcome,
    engine::Engine,
    event::Load,
    outlier::Tally,
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

/// Whether a backend server is fit for work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// It is.
    Good,
    /// Its streams are much slower than the pool's: one probe from the given time on.
    Slow(Micros),
    /// It fails far more of its requests than the pool: one probe from the given time on.
    Erring(Micros),
    /// It failed: nothing until the given time, then one probe. The second value is the pause.
    Down(Micros, Micros),
}

/// What a stream bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// No long pauses between events.
    Pressing,
    /// Long pauses.
    Patient,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 2] = [Kind::Pressing, Kind::Patient];
}

/// The pauses between the tokens of a backend server's streams of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    gap: f64,
    samples: u32,
    at: Micros,
}

impl Pace {
    fn note(&mut self, now: Micros, gap: Micros) {
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

impl Health {
    /// Its word in logs and for operators.
    pub const fn word(self) -> &'static str {
        match self {
            Health::Good => "good",
            Health::Slow(_) => "slow",
            Health::Erring(_) => "erring",
            Health::Down(..) => "down",
        }
    }
}

/// Weight of a new sample in the running means.
const SMOOTHING: f64 = 0.2;
/// Samples before a mean is compared with the pool's.
const ENOUGH_SAMPLES: u32 = 6;
/// Failures in a row before a backend server counts as down.
const FAILURES_TO_DOWN: u32 = 2;
/// Shortest pause after a failure.
const DOWN_PAUSE: Micros = 500 * MILLISECOND;
/// Longest pause after failures.
const DOWN_PAUSE_MOST: Micros = 15 * SECOND;
/// How long the pace of streams is believed after the last one reported on it.
const PACE_FOR: Micros = 4 * SECOND;
/// Pause before a slow backend server is tried, and between two trials.
const PROBE_PAUSE: Micros = SECOND;
/// A probe that found no request of a lower tier for so long takes one of the highest.
const PROBE_ANYWAY: Micros = 5 * SECOND;
/// Time between two changes of the window.
const ADJUST_EVERY: Micros = 100 * MILLISECOND;
/// How long a refusal for lack of room is believed.
const FULL_FOR: Micros = 200 * MILLISECOND;
/// Fewest requests waiting in a backend server for it to count as crowded…
const CROWDED_LEAST: u32 = 2;
/// …and the part of those running that must wait.
const CROWDED_PART: u32 = 8;
/// How long a backend server is believed to hold no more than it was seen to.
const CEILING_FOR: Micros = 30 * SECOND;
/// How many changes of the number of own grants are remembered, to compare with a lagging report.
const HISTORY: usize = 128;
/// Prefixes remembered per backend server.
const PREFIXES: usize = 1_024;
/// Assumed time to process one prompt token that is not cached.
const PROMPT_TOKEN: f64 = 30.0;
/// A backend server is slow at this many times the pool's median gap…
const SLOW_FACTOR: f64 = 2.5;
/// …and good again at this many times.
const GOOD_FACTOR: f64 = 1.6;

/// One backend server.
#[derive(Debug)]
pub struct Server {
    options: Options,
    limit: f64,
    running: u32,
    foreign: u32,
    history: VecDeque<(Micros, u32)>,
    full_until: Micros,
    gap: f64,
    gap_samples: u32,
    first_token: f64,
    failures: u32,
    health: Health,
    leaving: bool,
    adjusted: Micros,
    /// Requests running in the last report, if others waited.
    crowded: Option<u32>,
    /// What it was seen to hold at most, and since when.
    ceiling: Option<(f64, Micros)>,
    prefixes: HashMap<u64, Micros>,
    /// What is believed of it as an engine.
    engine: Engine,
    tally: Tally,
    /// The kind of streams in which it was found slow last.
    slow_in: Kind,
    /// By [`Kind`].
    paces: [Pace; Kind::ALL.len()],
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
            gap: 0.0,
            gap_samples: 0,
            first_token: 0.0,
            failures: 0,
            health: Health::Good,
            leaving: false,
            adjusted: 0,
            crowded: None,
            ceiling: None,
            prefixes: HashMap::new(),
            engine: Engine::new(),
            tally: Tally::new(),
            slow_in: Kind::Pressing,
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

    /// Its place in the order of the pool.
    pub fn rank(&self) -> u64 {
        self.options.rank
    }

    /// Whether it is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Its health.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Own grants running on it.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// The learned window, in requests.
    pub fn window(&self) -> u32 {
        self.limit as u32
    }

    /// Mean time between tokens in microseconds, when enough was seen.
    pub fn known_gap(&self) -> Option<f64> {
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
        self.window().saturating_sub(self.running + self.foreign)
    }

    /// Whether one repeatable request may be sent to try it.
    pub fn may_probe(&self, now: Micros) -> bool {
        self.probe_due(now).is_some() && !self.leaving && self.running == 0
    }

    /// Whether a probe is overdue, so that even a request of the highest tier may be it.
    pub fn probe_overdue(&self, now: Micros) -> bool {
        self.probe_due(now).is_some_and(|due| now >= due + PROBE_ANYWAY)
    }

    /// Since when, or from when on, a probe is due; `None` if it needs none.
    pub fn next_probe(&self) -> Option<Micros> {
        match self.health {
            Health::Good => None,
            Health::Slow(due) | Health::Erring(due) | Health::Down(due, _) => Some(due),
        }
    }

    /// Since when a probe is due.
    fn probe_due(&self, now: Micros) -> Option<Micros> {
        self.next_probe().filter(|due| now >= *due)
    }

    /// Mean time between tokens in microseconds, of however few samples.
    pub fn seen_gap(&self) -> Option<f64> {
        (self.gap_samples > 0).then_some(self.gap)
    }

    /// Expected microseconds to the first token for a prompt, for comparing backend servers. One
    /// of which nothing was seen is taken for as fast as the others, `usual` between tokens.
    pub fn cost(&self, prompt: u32, prefix: u64, usual: f64) -> f64 {
        let occupied = f64::from(self.running + self.foreign);
        let step = self.seen_gap().unwrap_or(usual).max(MILLISECOND as f64);
        let cached = prefix != 0 && self.prefixes.contains_key(&prefix);
        let prompt_time = if cached { 0.0 } else { f64::from(prompt) * PROMPT_TOKEN };
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
        self.note(now);
        if let Health::Slow(due) | Health::Erring(due) = &mut self.health {
            *due = now + PROBE_PAUSE;
        }
        if prefix == 0 {
            return;
        }
        self.prefixes.insert(prefix, now);
        if self.prefixes.len() > PREFIXES {
            let middle = self.prefixes.values().copied().sum::<Micros>() / PREFIXES as Micros;
            self.prefixes.retain(|_, used| *used >= middle);
        }
    }

    /// Counts the end of a grant.
    pub fn end(&mut self, now: Micros, outcome: Outcome) {
        self.running = self.running.saturating_sub(1);
        self.note(now);
        match outcome {
            Outcome::Done | Outcome::Failed | Outcome::Erred => {
                self.tally.note(now, outcome != Outcome::Done);
            }
            Outcome::Cancelled | Outcome::Preempted | Outcome::Full => {}
        }
        match outcome {
            // One that answers is there, whatever it answers.
            Outcome::Done | Outcome::Erred => self.succeed(),
            Outcome::Failed => self.fail(now),
            Outcome::Full => {
                self.full_until = now + FULL_FOR;
                if self.options.learned {
                    self.limit = (self.limit - 1.0).max(1.0);
                }
            }
            Outcome::Cancelled | Outcome::Preempted => {}
        }
    }

    fn succeed(&mut self) {
        self.failures = 0;
        if let Health::Down(..) = self.health {
            self.health = Health::Good;
        }
    }

    fn fail(&mut self, now: Micros) {
        self.failures += 1;
        if self.failures < FAILURES_TO_DOWN {
            return;
        }
        let pause = match self.health {
            Health::Down(_, pause) => (pause * 2).min(DOWN_PAUSE_MOST),
            _ => DOWN_PAUSE,
        };
        self.health = Health::Down(now + pause, pause);
        self.gap_samples = 0;
        self.paces = Default::default();
    }

    fn note(&mut self, now: Micros) {
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, self.running));
    }

    /// Own grants that ran at `as_of`.
    fn running_at(&self, as_of: Micros) -> u32 {
        let before = self.history.iter().rev().find(|(at, _)| *at <= as_of);
        match (before, self.history.front()) {
            (Some((_, running)), _) => *running,
            (None, Some((_, oldest))) => *oldest,
            (None, None) => self.running,
        }
    }

    /// Takes a lagging report: what it shows beyond the own grants of that time is others' work.
    pub fn report(&mut self, load: &Load, now: Micros) {
        let reported = load.running + load.waiting;
        self.foreign = reported.saturating_sub(self.running_at(load.as_of));
        if load.full {
            self.full_until = now + FULL_FOR;
        }
        self.bound(load, now);
    }

    /// Two reports in a row with a crowd waiting beside the same number running show how many it
    /// holds. A single one may have caught requests between two steps, and a number that changes
    /// is not its limit.
    fn bound(&mut self, load: &Load, now: Micros) {
        if !self.options.learned {
            return;
        }
        let crowded = load.waiting >= CROWDED_LEAST.max(load.running / CROWDED_PART);
        let before = std::mem::replace(&mut self.crowded, crowded.then_some(load.running));
        let (true, Some(before)) = (crowded, before) else {
            return;
        };
        if before.abs_diff(load.running) > load.running / CROWDED_PART {
            return;
        }
        let held = f64::from(before.max(load.running).max(1));
        self.ceiling = Some((held, now));
        self.limit = self.limit.min(held);
    }

    /// Learns from a stream: time to the first token and mean time between tokens.
    pub fn learn(
        &mut self,
        now: Micros,
        kind: Kind,
        first_token: Option<Micros>,
        gap: Micros,
        target: Micros,
    ) {
        if let Some(first) = first_token {
            self.first_token = mean(self.first_token, first as f64);
        }
        if gap == 0 {
            return;
        }
        // A backend server that produces tokens is not down, whatever became of one request.
        self.failures = 0;
        self.gap = if self.gap_samples == 0 { gap as f64 } else { mean(self.gap, gap as f64) };
        self.gap_samples = self.gap_samples.saturating_add(1);
        self.paces[kind as usize].note(now, gap);
        self.adjust(now, target as f64);
    }

    /// Widens the window while it is used and the gap is well within the target, narrows it above.
    fn adjust(&mut self, now: Micros, target: f64) {
        if !self.options.learned || now < self.adjusted + ADJUST_EVERY {
            return;
        }
        let used = f64::from(self.running) + 1.0 >= self.limit;
        if self.gap > target * 0.95 {
            self.limit = (self.limit * 0.9).max(1.0);
        } else if self.gap < target * 0.8 && used {
            let part = if self.gap < target * 0.5 { 0.25 } else { 0.05 };
            let wider = self.limit + 1.0 + self.limit * part;
            self.limit = wider.min(self.most(now));
        } else {
            return;
        }
        self.adjusted = now;
    }

    /// The widest window: as configured, and for a while no wider than what it was seen to hold.
    fn most(&self, now: Micros) -> f64 {
        let slots = f64::from(self.options.slots);
        match self.ceiling {
            Some((held, since)) if now < since + CEILING_FOR => held.min(slots),
            _ => slots,
        }
    }

    /// The share of requests that failed lately, when there were enough.
    pub fn failing(&self, now: Micros) -> Option<f64> {
        self.tally.share(now)
    }

    /// Compares it with the pool's median share of failures; `spare` tells whether the pool can do
    /// without it.
    pub fn compare(&mut self, now: Micros, median: f64, spare: bool) {
        match self.health {
            Health::Good if spare && self.tally.stands_out(now, median) => {
                self.health = Health::Erring(now + PROBE_PAUSE);
            }
            Health::Erring(_) if self.tally.passed() => {
                self.health = Health::Good;
                self.tally = Tally::new();
            }
            _ => {}
        }
    }

    /// Mean time between the tokens of its streams of a kind, in microseconds, if enough was seen
    /// lately.
    pub fn pace(&self, now: Micros, kind: Kind) -> Option<f64> {
        let pace = &self.paces[kind as usize];
        let known = pace.samples >= ENOUGH_SAMPLES && now <= pace.at + PACE_FOR;
        known.then_some(pace.gap)
    }

    /// Compares its streams of a kind with what is usual. Returns whether it has just become slow.
    pub fn judge(&mut self, now: Micros, kind: Kind, usual: Usual) -> bool {
        let Some(gap) = self.pace(now, kind) else {
            return false;
        };
        let least = (usual.median + MILLISECOND as f64).max(usual.borne);
        match self.health {
            Health::Good if gap > usual.median * SLOW_FACTOR && gap > least => {
                self.health = Health::Slow(now + PROBE_PAUSE);
                self.slow_in = kind;
                true
            }
            Health::Slow(_) if kind != self.slow_in => false,
            Health::Slow(_) if gap < usual.median * GOOD_FACTOR || gap < usual.borne => {
                self.health = Health::Good;
                false
            }
            _ => false,
        }
    }
}

fn mean(old: f64, sample: f64) -> f64 {
    if old == 0.0 {
        return sample;
    }
    old + (sample - old) * SMOOTHING
}
