//! Plays requests on engines that prefill one prompt at a time, in order of urgency.

use std::collections::{BTreeMap, BTreeSet};

use drumusher_schedule::{
    ask::{Ask, Id, Outcome, Part},
    engine::Profile,
    event::{Event, Progress},
    order::Order,
    policy::Policy,
    server,
    time::{MILLISECOND, Micros, SECOND},
};

use crate::support::Harness;

/// Tokens that an engine prefills in a millisecond, divided by its time factor.
const PREFILL_SPEED: f64 = 51.1;
/// Time factors of the engines, repeated.
const TIME_FACTORS: [f64; 3] = [1.0, 1.0, 1.3];
/// Copying a token takes this much of the time to prefill it.
const COPY_FRACTION: f64 = 0.24;
/// Time between two events of a stream.
const EVENT_GAP: Micros = 30 * MILLISECOND;
/// Time from the end of a prefill to the first event.
const STEP: Micros = 20 * MILLISECOND;
/// Entry instances report the first event at most this long after it came.
const REPORT_AGE: Micros = 50 * MILLISECOND;
/// Entry instances report running attempts this often.
const REPORT_INTERVAL: Micros = 500 * MILLISECOND;
/// What the configuration says of the engines.
const PROFILE: Profile =
    Profile { tokens: 624_908, token_bytes: 163_840, link_mbps: 280_000.0, event_tokens: 4 };

/// A request and what its caller gets.
#[derive(Clone, Debug)]
pub struct Call {
    pub ask: Ask,
    /// Events of the answer.
    pub events: u32,
    pub granted: Option<Micros>,
    /// Expected time from the grant to the first event.
    pub expected: Micros,
    pub first_event: Option<Micros>,
    pub ended: Option<Micros>,
    /// When it was refused, and after which time it may be sent again.
    pub refused: Option<(Micros, Micros)>,
}

impl Call {
    pub fn new(ask: Ask, events: u32) -> Self {
        Call {
            ask,
            events,
            granted: None,
            expected: 0,
            first_event: None,
            ended: None,
            refused: None,
        }
    }

    /// Whether the first event came within `target` after the request.
    pub fn is_in_time(&self, target: Micros) -> bool {
        self.first_event.is_some_and(|at| at <= self.ask.arrived + target)
    }
}

/// A prompt on an engine, with the urgency and the order of its grant.
type Place = (u8, u64, Id);

#[derive(Default)]
struct Engine {
    /// Prompts to prefill; the tokens left are known once the prefill begins.
    prompts: BTreeMap<Place, (Option<f64>, Option<u16>)>,
    cached: BTreeSet<u64>,
}

/// Engines, a pool and the calls that it was asked for.
pub struct Play {
    pub harness: Harness,
    pub calls: BTreeMap<Id, Call>,
    engines: Vec<Engine>,
    grants: u64,
    /// What entry instances report next.
    reports: BTreeMap<(Micros, u64), Event>,
}

impl Play {
    pub fn new(policy: Policy, engines: u16) -> Self {
        let mut harness = Harness::new(policy, 0, 0);
        for key in 0..engines {
            let profile = Some(PROFILE);
            let options =
                server::Options { first_slots: 64, profile, ..server::Options::default() };
            harness.handle(Event::Server(server::Key(key), options));
        }
        let engines = (0..engines).map(|_| Engine::default()).collect();
        Play { harness, calls: BTreeMap::new(), engines, grants: 0, reports: BTreeMap::new() }
    }

    /// Plays calls, in the order of their arrival, until the given time.
    pub fn run(&mut self, calls: Vec<Call>, until: Micros) {
        let mut calls = calls.into_iter().peekable();
        while self.harness.now < until {
            self.harness.now += MILLISECOND;
            let now = self.harness.now;
            while let Some(call) = calls.next_if(|call| call.ask.arrived <= now) {
                self.calls.insert(call.ask.id, call.clone());
                self.handle(Event::Ask(call.ask));
            }
            while let Some(report) = self.reports.first_entry().filter(|r| r.key().0 <= now) {
                let report = report.remove();
                self.handle(report);
            }
            (0..self.engines.len()).for_each(|engine| self.prefill(engine));
            if now.is_multiple_of(50 * MILLISECOND) {
                self.handle(Event::Tick);
            }
            if now.is_multiple_of(REPORT_INTERVAL) {
                let running: Vec<Id> = self.harness.pool.iter_running().map(|r| r.ask.id).collect();
                running.into_iter().for_each(|id| self.progress(id, None));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.harness.now;
        for order in self.harness.handle(event) {
            match order {
                Order::Grant { id, server, source, urgency, expected, .. } => {
                    let Some(call) = self.calls.get_mut(&id) else { continue };
                    (call.granted, call.expected) = (Some(now), expected);
                    let tier = self.harness.pool.running_request(id).map_or(0, |r| r.tier);
                    let place = (urgency.unwrap_or(tier), self.grants, id);
                    self.grants += 1;
                    let engine = &mut self.engines[usize::from(server.0)];
                    engine.prompts.insert(place, (None, source.map(|key| key.0)));
                    self.progress(id, None);
                }
                Order::Refuse { id, retry_after, .. } => {
                    if let Some(call) = self.calls.get_mut(&id) {
                        call.refused = Some((now, retry_after));
                    }
                }
                Order::Preempt { .. } => panic!("the driver has no preemption"),
            }
        }
    }

    fn progress(&mut self, id: Id, first_token: Option<Micros>) {
        let has_begun = self
            .calls
            .get(&id)
            .is_some_and(|call| call.first_event.is_some_and(|at| at <= self.harness.now));
        let (produced, gap) = if has_begun { (1, EVENT_GAP) } else { (0, 0) };
        self.handle(Event::Progress(Progress { id, produced, first_token, gap }));
    }

    /// Prefills for a millisecond on one engine.
    fn prefill(&mut self, number: usize) {
        let now = self.harness.now;
        let factor = TIME_FACTORS[number % TIME_FACTORS.len()];
        let mut budget = PREFILL_SPEED / factor;
        while let Some((place, (left, source))) = self.engines[number].prompts.pop_first() {
            let id = place.2;
            let Call { ask, events, .. } = self.calls[&id].clone();
            let left = left.unwrap_or_else(|| self.tokens_to_prefill(number, &ask, source));
            if left > budget {
                self.engines[number].prompts.insert(place, (Some(left - budget), source));
                return;
            }
            budget -= left;
            self.engines[number].cached.extend(ask.parts.iter().map(|part| part.id));
            let call = self.calls.get_mut(&id).expect("it was asked for");
            let first = now + STEP;
            let end = first + EVENT_GAP * Micros::from(events);
            (call.first_event, call.ended) = (Some(first), Some(end));
            let elapsed = first - call.granted.expect("it was granted");
            let report = Progress { id, produced: 1, first_token: Some(elapsed), gap: 0 };
            let reported = first + (id as u64 * 7 * MILLISECOND) % REPORT_AGE;
            self.reports.insert((reported, id as u64), Event::Progress(report));
            let finish = Event::Finish(id, Outcome::Done, events);
            self.reports.insert((end.max(reported + 1), id as u64), finish);
        }
    }

    /// Tokens of a prompt that are not cached. Copied ones count by the time that a copy takes.
    fn tokens_to_prefill(&self, number: usize, ask: &Ask, source: Option<u16>) -> f64 {
        let cached = |engine: usize| {
            let parts =
                ask.parts.iter().take_while(|p| self.engines[engine].cached.contains(&p.id));
            parts.map(|part| part.tokens).sum::<u32>()
        };
        let own = cached(number);
        let copied = source.map_or(0, |key| cached(usize::from(key)).saturating_sub(own));
        f64::from(ask.prompt - own - copied) + f64::from(copied) * COPY_FRACTION
    }
}

/// A sequence of numbers that look random.
pub struct Draw(pub u64);

impl Draw {
    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    /// A part with one of `variants` contents, of those that begin with `first`.
    pub fn part(&mut self, first: u64, variants: u64, tokens: u32) -> Part {
        Part { id: first + self.below(variants), tokens }
    }
}

/// The time that a play begins.
pub const START: Micros = 100 * SECOND;
