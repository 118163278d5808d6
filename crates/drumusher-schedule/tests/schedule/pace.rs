//! Choice of an engine by how long the rest of an answer takes on it.

use std::collections::{HashMap, HashSet, VecDeque};

use drumusher_schedule::{
    ask::{Ask, Id, Outcome, Part},
    engine::Profile,
    event::{Event, Progress},
    order::Order,
    policy::{Class, Policy, Workspace},
    server::{self, Key},
    time::{MILLISECOND, Micros, SECOND},
};
use rstest::rstest;

use crate::support::{Harness, ask, granted};

const PROFILE: Profile =
    Profile { tokens: 500_000, token_bytes: 18_432, link_mbps: 740_000.0, event_tokens: 7 };
/// A class of short questions, with a small target for pauses.
const SHORT: u16 = 0;
/// A class of long summaries, with a large target for pauses.
const LONG: u16 = 1;
/// Shared by all requests here; engine 0 has it cached, and the others can transfer it.
const SHARED: Part = Part { id: 7, tokens: 2_000 };
/// Interval of progress reports on a stream.
const REPORT_INTERVAL: Micros = 300 * MILLISECOND;
/// ID of the first of the streams whose reports tell the engines' paces.
const FIRST_STREAM: Id = 1 << 64;

fn slack_policy() -> Policy {
    let class = |name, tier, first_token, token_gap| Class {
        first_token,
        token_gap: token_gap * MILLISECOND,
        ..Class::new(name, tier)
    };
    let short = class("short", 0, 1_200 * MILLISECOND, 200);
    let long = class("long", 2, 2 * SECOND, 800);
    let mut policy = Policy::new(vec![short, long], vec![Workspace::new("a")]);
    policy.settle = 0;
    policy.switches.sides = false;
    policy
}

/// A pool of engines with slack. Engine 0 has the shared part cached, so that it costs least unless
/// its pace is bad. One stream runs on each.
fn pool(policy: Policy, engines: u16) -> Harness {
    let mut harness = Harness::new(policy, 0, 0);
    for key in 0..engines {
        let options = server::Options {
            first_slots: 64,
            rank: u64::from(key),
            profile: Some(PROFILE),
            ..server::Options::default()
        };
        harness.handle(Event::Server(Key(key), options));
        let stream = ask(FIRST_STREAM + Id::from(key), LONG, harness.now);
        harness.handle(Event::Declare(Ask { produced: 1, ..stream }, Key(key)));
    }
    harness.handle(Event::CachedParts(Key(0), vec![SHARED.id]));
    harness
}

/// Passes time during which the stream of each engine reports events with the given gaps, in
/// milliseconds; 0 for none.
fn run(harness: &mut Harness, time: Micros, gaps: &[u64]) {
    let until = harness.now + time;
    while harness.now < until {
        harness.advance(REPORT_INTERVAL);
        for (key, gap) in gaps.iter().enumerate().filter(|(_, gap)| **gap > 0) {
            let gap = gap * MILLISECOND;
            report(harness, key as u16, (REPORT_INTERVAL / gap) as u32, gap);
        }
    }
}

/// Reports events of the stream that runs on an engine.
fn report(harness: &mut Harness, key: u16, events: u32, gap: Micros) {
    let id = FIRST_STREAM + Id::from(key);
    let running = harness.pool.running_request(id).expect("it runs");
    let produced = running.produced + events;
    harness.handle(Event::Progress(Progress { id, produced, first_token: None, gap }));
}

/// A request with an answer of `events` events by its hint, whose caller waits for `left`.
fn request(id: Id, class: u16, now: Micros, events: u32, left: Option<Micros>) -> Ask {
    Ask {
        parts: vec![SHARED, Part { id: 1_000 + id as u64, tokens: 500 }],
        prompt: SHARED.tokens + 500,
        output: events * PROFILE.event_tokens,
        deadline: left.map(|left| now + left),
        ..ask(id, class, now)
    }
}

/// Where a request is placed. It ends at once, so that it does not affect the next one.
fn place(harness: &mut Harness, request: Ask) -> u16 {
    let id = request.id;
    let server = granted(&harness.ask(request)).first().expect("there is a free slot").1;
    harness.finish(id, Outcome::Cancelled);
    server
}

fn pace_ms(harness: &Harness, key: u16) -> f64 {
    harness.pool.pace(harness.now, Key(key)).expect("there are samples") / MILLISECOND as f64
}

/// Guards against long answers that are placed on an engine where they cannot end while their
/// callers wait, and against leaving slow engines unused by requests that have the time.
#[rstest]
#[case::little_time(30, Some(2_500), true, false)]
#[case::much_time(30, Some(8_000), true, true)]
#[case::unknown_time(30, None, true, true)]
#[case::short_answer(5, Some(2_500), true, true)]
#[case::switch_off(30, Some(2_500), false, true)]
fn a_long_answer_goes_where_it_can_end(
    #[case] events: u32,
    #[case] left_ms: Option<u64>,
    #[case] pace: bool,
    #[case] on_slow_engine: bool,
) {
    let mut policy = slack_policy();
    policy.switches.pace = pace;
    let mut harness = pool(policy, 3);
    run(&mut harness, 3 * SECOND, &[85, 35, 35]);
    let left = left_ms.map(|left| left * MILLISECOND);
    let request = request(1, LONG, harness.now, events, left);
    assert_eq!(place(&mut harness, request) == 0, on_slow_engine);
}

/// Guards against one mean for all engines, by which those with time factors of 0.7 and 1.7 look
/// alike, and against a slow engine that looks typical as soon as nothing runs there for a while.
#[test]
fn engines_of_different_speed_are_told_apart() {
    let mut harness = pool(slack_policy(), 3);
    run(&mut harness, 3 * SECOND, &[35, 35, 85]);
    for (key, gap) in [(0, 35.0), (1, 35.0), (2, 85.0)] {
        assert!((pace_ms(&harness, key) / gap - 1.0).abs() < 0.1, "{}", pace_ms(&harness, key));
    }
    run(&mut harness, 5 * SECOND, &[35, 35, 0]);
    assert!(pace_ms(&harness, 2) > 65.0, "{}", pace_ms(&harness, 2));
}

/// Guards against an engine that is left unused for seconds after a noisy neighbour slowed it for
/// 0.6 s, whether streams run there or not.
#[rstest]
#[case::streams_run(50)]
#[case::no_streams_run(0)]
fn an_engine_slowed_for_a_moment_is_used_again_soon(#[case] gap_after: u64) {
    let mut harness = pool(slack_policy(), 3);
    run(&mut harness, 10 * SECOND, &[50, 50, 50]);
    let tight = Some(1_750 * MILLISECOND);
    let before = request(1, LONG, harness.now, 25, tight);
    assert_eq!(place(&mut harness, before), 0);
    run(&mut harness, 600 * MILLISECOND, &[125, 50, 50]);
    let slowed = request(2, LONG, harness.now, 25, tight);
    assert_ne!(place(&mut harness, slowed), 0, "{}", pace_ms(&harness, 0));
    run(&mut harness, 1_500 * MILLISECOND, &[gap_after, 50, 50]);
    let after = request(3, LONG, harness.now, 25, tight);
    assert_eq!(place(&mut harness, after), 0, "{}", pace_ms(&harness, 0));
}

/// Guards against short questions on engines whose streams pause longer than their target, and
/// against keeping requests off that allow such pauses.
#[rstest]
#[case::short(SHORT, 250, false)]
#[case::short_on_an_engine_below_the_target(SHORT, 150, true)]
#[case::long(LONG, 250, true)]
fn short_questions_avoid_long_pauses(
    #[case] class: u16,
    #[case] gap: u64,
    #[case] on_slow_engine: bool,
) {
    let mut harness = pool(slack_policy(), 3);
    run(&mut harness, 3 * SECOND, &[gap, 100, 100]);
    let request = request(1, class, harness.now, 25, None);
    assert_eq!(place(&mut harness, request) == 0, on_slow_engine);
}

/// Guards against a dispatcher that places requests by paces that it does not know, and against a
/// pool without slack whose placements change.
#[rstest]
#[case::no_samples(&[], 1_200)]
#[case::no_slack(&[85, 35, 35], 600)]
fn without_samples_or_slack_placement_is_as_without_the_switch(
    #[case] gaps: &[u64],
    #[case] first_token_ms: u64,
) {
    let placements = |pace| {
        let mut policy = slack_policy();
        policy.switches.pace = pace;
        policy.classes[usize::from(SHORT)].first_token = first_token_ms * MILLISECOND;
        let mut harness = pool(policy, 3);
        run(&mut harness, 3 * SECOND, gaps);
        let asked = (0..60).map(|id| {
            let class = if id % 2 == 0 { SHORT } else { LONG };
            let request = request(id, class, harness.now, 60, Some(SECOND));
            granted(&harness.ask(request))
        });
        asked.collect::<Vec<_>>()
    };
    assert_eq!(placements(true), placements(false));
}

/// Guards against an engine without samples that looks infinitely fast or slow, and against one
/// that keeps a bad pace for which there are no reports any more.
#[test]
fn an_engine_without_samples_has_the_typical_pace() {
    let mut harness = pool(slack_policy(), 4);
    run(&mut harness, 3 * SECOND, &[50, 60, 200]);
    assert!((pace_ms(&harness, 3) - 60.0).abs() < 0.1, "{}", pace_ms(&harness, 3));
    run(&mut harness, 60 * SECOND, &[50, 60, 0]);
    assert!(pace_ms(&harness, 2) < 60.0 * 1.2, "{}", pace_ms(&harness, 2));
}

/// Guards against a new dispatcher that needs long to learn the paces, or that counts events of
/// which its predecessor heard.
#[test]
fn a_new_dispatcher_learns_paces_from_the_next_reports() {
    let mut harness = pool(slack_policy(), 3);
    let tight = Some(2_500 * MILLISECOND);
    let unknown = request(1, LONG, harness.now, 30, tight);
    assert_eq!(place(&mut harness, unknown), 0, "nothing is known yet");
    for (key, gap) in [(0, 150), (1, 35), (2, 35)] {
        report(&mut harness, key, 5_000, gap * MILLISECOND);
    }
    harness.advance(50 * MILLISECOND);
    let known = request(2, LONG, harness.now, 30, tight);
    assert_ne!(place(&mut harness, known), 0);
    run(&mut harness, 4_500 * MILLISECOND, &[35, 35, 35]);
    assert!(pace_ms(&harness, 0) < 40.0, "{}", pace_ms(&harness, 0));
}

/// Guards against a wrong hint that decides alone: the answer cannot be longer than what is usual
/// for the class allows, and other placements do not change.
#[rstest]
#[case::far_too_long(10_000)]
#[case::far_too_short(1)]
#[case::none(0)]
#[case::right(20)]
fn hints_that_are_far_off_cost_little(#[case] hint: u32) {
    let mut harness = pool(slack_policy(), 3);
    run(&mut harness, 3 * SECOND, &[85, 35, 35]);
    for id in 0..40 {
        let request = request(id, LONG, harness.now, 20, None);
        harness.ask(request);
        harness.handle(Event::Finish(id, Outcome::Done, 20));
    }
    let wrong = request(100, LONG, harness.now, hint, Some(9 * SECOND));
    assert_eq!(place(&mut harness, wrong), 0, "80 events of 85 ms end within 0.8 of 9 s");
    let next = request(101, LONG, harness.now, 20, Some(1_700 * MILLISECOND));
    assert_ne!(place(&mut harness, next), 0);
    let without_hint = request(102, LONG, harness.now, 0, Some(1_700 * MILLISECOND));
    assert_ne!(place(&mut harness, without_hint), 0, "the class has 20 events");
}

/// A simulated engine: prompts are prefilled in chunks, in steps that make a token for each stream.
struct Simulated {
    factor: f64,
    /// Until when a noisy neighbour slows it.
    slowed_until: Micros,
    step_end: f64,
    cached: HashSet<u64>,
    /// Requests with the tokens that are still to be prefilled.
    prompts: VecDeque<(Id, u32)>,
    streams: Vec<Id>,
}

/// A simulated request.
#[derive(Default)]
struct Simulation {
    parts: Vec<Part>,
    events: u32,
    granted: Micros,
    /// Expected time from the grant to the end.
    expected: f64,
    tokens: u32,
    reported_at: Micros,
    reported: u32,
}

impl Simulated {
    fn new(factor: f64, now: Micros) -> Self {
        Simulated {
            factor,
            slowed_until: 0,
            step_end: now as f64,
            cached: HashSet::new(),
            prompts: VecDeque::new(),
            streams: Vec::new(),
        }
    }

    fn start(&mut self, now: Micros, id: Id, parts: &[Part]) {
        let uncached = parts.iter().filter(|part| self.cached.insert(part.id));
        self.prompts.push_back((id, uncached.map(|part| part.tokens).sum()));
        self.step_end = self.step_end.max(now as f64);
    }

    /// Makes a step if the last one has ended. Returns the requests that got a token.
    fn step(&mut self, now: Micros) -> Option<Vec<Id>> {
        let idle = self.streams.is_empty() && self.prompts.is_empty();
        if idle || self.step_end > now as f64 {
            return None;
        }
        let noise = if self.step_end < self.slowed_until as f64 { 2.5 } else { 1.0 };
        let streams = self.streams.len() as f64;
        let mut chunk = 1_024;
        while let Some((id, left)) = self.prompts.front_mut() {
            let tokens = chunk.min(*left);
            chunk -= tokens;
            *left -= tokens;
            if *left > 0 {
                break;
            }
            self.streams.push(*id);
            self.prompts.pop_front();
        }
        let time = 2_600.0 + 120.0 * streams + f64::from(1_024 - chunk) / 0.0482;
        self.step_end += time * self.factor * noise;
        Some(self.streams.clone())
    }
}

impl Simulation {
    /// Records a token. Returns the report, if one is due.
    fn add_token(&mut self, id: Id, now: Micros) -> Option<Progress> {
        self.tokens += 1;
        let produced = self.tokens / PROFILE.event_tokens;
        let new = produced - self.reported;
        let is_first = produced == 1 && new == 1;
        if new == 0 || !is_first && now < self.reported_at + REPORT_INTERVAL {
            return None;
        }
        let gap = if is_first { 0 } else { (now - self.reported_at) / u64::from(new) };
        (self.reported_at, self.reported) = (now, produced);
        Some(Progress { id, produced, first_token: is_first.then(|| now - self.granted), gap })
    }
}

/// A linear congruential generator, for the same load in each run.
fn draw(state: &mut u64) -> f64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*state >> 33) as f64 / (1_u64 << 31) as f64
}

/// Guards against an expected end that is far from the actual one, with engines of different speed
/// and a noisy neighbour every four seconds. The hints are right here, since the error of a wrong
/// one does not depend on the pace.
#[rstest]
#[case::light_load(20.0)]
#[case::half_load(40.0)]
#[case::heavy_load(60.0)]
#[case::overload(80.0)]
fn the_expected_end_is_close_to_the_actual_one(#[case] requests_per_second: f64) {
    let mut harness = pool(slack_policy(), 6);
    let start = harness.now;
    let factors = [0.7, 0.7, 1.7].into_iter().cycle().take(6);
    let mut engines: Vec<_> = factors.map(|factor| Simulated::new(factor, start)).collect();
    let mut requests: HashMap<Id, Simulation> = HashMap::new();
    let (mut state, mut orders, mut errors) = (1, Vec::new(), Vec::new());
    for id in 1..=20_000 {
        harness.now += MILLISECOND;
        let now = harness.now;
        if id % 50 == 0 {
            orders.extend(harness.handle(Event::Tick));
        }
        if id % 4_000 == 0 {
            let noisy = (draw(&mut state) * 6.0) as usize;
            engines[noisy].slowed_until = now + 600 * MILLISECOND;
        }
        if draw(&mut state) < requests_per_second / 1_000.0 {
            let is_short = draw(&mut state) < 0.5;
            let (class, own, mean) =
                if is_short { (SHORT, 1_110, 25.0) } else { (LONG, 3_720, 17.0) };
            // Most answers are shorter than the mean, and a few are four times as long.
            let events = (mean * (0.4 + 3.6 * draw(&mut state).powi(5))) as u32;
            let shared = Part { id: 100 + (draw(&mut state) * 12.0) as u64, tokens: 2_000 };
            let parts = vec![shared, Part { id: 1_000 + id as u64, tokens: own }];
            let prompt = shared.tokens + own;
            let asked = request(id, class, now, events, Some(8 * SECOND));
            requests
                .insert(id, Simulation { parts: parts.clone(), events, ..Simulation::default() });
            orders.extend(harness.ask(Ask { prompt, parts, ..asked }));
        }
        for order in std::mem::take(&mut orders) {
            let Order::Grant { id, server, expected, .. } = order else { continue };
            let request = requests.get_mut(&id).expect("it was asked for");
            let pace = harness.pool.pace(now, server).unwrap_or(0.0);
            request.granted = now;
            request.expected = expected as f64 + f64::from(request.events - 1) * pace;
            engines[usize::from(server.0)].start(now, id, &request.parts);
        }
        for engine in &mut engines {
            while let Some(streams) = engine.step(now) {
                let now = engine.step_end as Micros;
                for id in streams {
                    let request = requests.get_mut(&id).expect("it runs");
                    let report = request.add_token(id, now);
                    let report = report.map(|report| harness.handle(Event::Progress(report)));
                    orders.extend(report.into_iter().flatten());
                    if request.tokens < request.events * PROFILE.event_tokens {
                        continue;
                    }
                    let actual = (now - request.granted) as f64;
                    if now > start + 2 * SECOND {
                        errors.push((request.expected - actual).abs() / actual);
                    }
                    let finish = Event::Finish(id, Outcome::Done, request.events);
                    orders.extend(harness.handle(finish));
                    engine.streams.retain(|stream| *stream != id);
                }
            }
        }
    }
    assert!(errors.len() > 300, "{}", errors.len());
    errors.sort_by(f64::total_cmp);
    let median = errors[errors.len() / 2];
    println!("{requests_per_second} requests a second: median error {median:.3}");
    assert!(median < 0.25, "{median}");
}
