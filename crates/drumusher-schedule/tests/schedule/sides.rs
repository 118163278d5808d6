//! Engines that do different work are not measured by each other.

use std::collections::{BTreeMap, BTreeSet};

use drumusher_schedule::{
    ask::{Ask, Outcome, Part},
    event::{Event, Progress},
    policy::Policy,
    server::{Health, Key, Options, Zone},
    time::{MILLISECOND, Micros},
};
use rstest::rstest;

use crate::support::{BULK, Bench, URGENT, ask, granted, policy};

const ENGINES: u16 = 8;
/// Tokens of a prompt.
const PROMPT: u32 = 5_000;
/// Time to read one: too long for the pressing streams beside it.
const READING: Micros = 120 * MILLISECOND;
/// What the classes bear between two events.
const PRESSING_GAP: Micros = 150 * MILLISECOND;
const PATIENT_GAP: Micros = 600 * MILLISECOND;

fn divided() -> Policy {
    let mut policy = policy();
    policy.classes[usize::from(URGENT)].token_gap = PRESSING_GAP;
    policy.classes[usize::from(BULK)].token_gap = PATIENT_GAP;
    policy
}

/// A pool whose engines have an order, by which they are divided.
fn divided_bench() -> Bench {
    divided_bench_of(divided())
}

fn divided_bench_of(policy: Policy) -> Bench {
    let mut bench = Bench::new(policy, ENGINES, 16);
    for key in 0..ENGINES {
        let options =
            Options { slots: 16, first_slots: 16, rank: u64::from(key), ..Options::default() };
        bench.tell(Event::Server(Key(key), options));
    }
    bench
}

/// All prompts are as long, so that the time to read a token is the same everywhere.
fn prompt(id: u128, class: u16, now: Micros) -> Ask {
    let parts = vec![Part { id: id as u64, tokens: PROMPT }];
    Ask { prompt: PROMPT, parts, ..ask(id, class, now) }
}

/// What a run showed.
#[derive(Default)]
struct Seen {
    /// Streams by whether they are patient, and by engine.
    streams: BTreeMap<(bool, u16), usize>,
    /// Engines that were taken for slow at any time.
    slow: BTreeSet<u16>,
}

/// Runs streams of both kinds for some seconds, so many that two engines serve the patient ones; `gap`
/// tells the mean pause of a stream by whether it is patient and by its engine.
fn run(bench: &mut Bench, from: u128, gap: impl Fn(bool, u16) -> Micros) -> Seen {
    let mut seen = Seen::default();
    for round in from..from + 12 {
        let now = bench.now;
        let mut grants = Vec::new();
        for id in round * 20..round * 20 + 18 {
            let patient = id % 20 < 4;
            let class = if patient { BULK } else { URGENT };
            let orders = bench.ask(prompt(id, class, now));
            grants.extend(granted(&orders).into_iter().map(|(id, server)| (id, server, patient)));
        }
        for report in 1..8 {
            bench.pass(100 * MILLISECOND);
            for (id, server, patient) in &grants {
                let first_token = (report == 1).then_some(READING);
                let gap = gap(*patient, *server);
                bench.tell(Event::Progress(Progress {
                    id: *id,
                    produced: report,
                    first_token,
                    gap,
                }));
            }
            let servers = bench.pool.servers();
            let slow = servers.filter(|(_, s)| matches!(s.health(), Health::Slow(_)));
            seen.slow.extend(slow.map(|(key, _)| key.0));
        }
        for (id, server, patient) in grants {
            *seen.streams.entry((patient, server)).or_default() += 1;
            bench.finish(id, Outcome::Done);
        }
    }
    seen
}

/// Long prompts beside them make the pauses of patient streams longer; their engines are not slow.
#[test]
fn pauses_that_patient_streams_bear_are_not_slow() {
    let mut bench = divided_bench();
    let usual = |patient, _| if patient { 120 * MILLISECOND } else { 30 * MILLISECOND };
    let seen = run(&mut bench, 0, usual);
    assert_eq!(seen.slow, BTreeSet::new());
}

/// Classes are kept apart if the prompts of one delay the streams of the other too long, and only
/// then: whatever their targets are to each other.
#[rstest]
#[case::long_prompts(PROMPT, 225 * MILLISECOND, true)]
#[case::short_prompts(500, 225 * MILLISECOND, false)]
#[case::long_prompts_of_equal_pauses(PROMPT, PRESSING_GAP, false)]
fn classes_are_kept_apart_by_the_harm(
    #[case] tokens: u32,
    #[case] bulk_gap: Micros,
    #[case] apart: bool,
) {
    let mut policy = divided();
    policy.classes[usize::from(BULK)].token_gap = bulk_gap;
    let mut bench = divided_bench_of(policy);
    for id in 0..40 {
        let (class, tokens) = if id % 2 == 0 { (URGENT, 100) } else { (BULK, tokens) };
        let parts = vec![Part { id: id as u64, tokens }];
        let now = bench.now;
        bench.ask(Ask { prompt: tokens, parts, ..ask(id, class, now) });
        bench.pass(50 * MILLISECOND);
    }
    let patient = bench.pool.each_running().filter(|running| running.patient).count();
    assert_eq!(patient > 0, apart);
}

/// While only one kind of class is asked for, no engine is kept free for the other.
#[test]
fn one_kind_alone_uses_all_engines() {
    let mut bench = divided_bench();
    let now = bench.now;
    let orders = (0..8).flat_map(|id| bench.ask(prompt(id, URGENT, now))).collect::<Vec<_>>();
    let used: BTreeSet<u16> = granted(&orders).into_iter().map(|(_, server)| server).collect();
    assert_eq!(used.len(), usize::from(ENGINES));
}

/// An engine whose streams are within their targets is not slow, whatever the others need: it has
/// more to read.
#[test]
fn a_patient_engine_within_the_targets_is_not_slow() {
    let (patient, pause) = (true, 550 * MILLISECOND);
    let mut bench = divided_bench();
    let usual = |patient| if patient { 100 * MILLISECOND } else { 30 * MILLISECOND };
    let seen = run(&mut bench, 0, |patient, _| usual(patient));
    let streams = |server: &u16| seen.streams.get(&(patient, *server)).copied();
    let busiest = (0..ENGINES).max_by_key(streams).expect("there are engines");
    let of = |p: bool, server| if server == busiest && p == patient { pause } else { usual(p) };
    let seen = run(&mut bench, 100, of);
    assert_eq!(seen.slow, BTreeSet::new());
}

/// An engine that is slow among its like is found on either side.
#[rstest]
#[case::pressing(false, 160 * MILLISECOND)]
#[case::patient(true, 700 * MILLISECOND)]
fn an_engine_that_is_slow_among_its_like_is_found(#[case] patient: bool, #[case] pause: Micros) {
    let mut bench = divided_bench();
    let usual = |patient| if patient { 100 * MILLISECOND } else { 30 * MILLISECOND };
    let seen = run(&mut bench, 0, |patient, _| usual(patient));
    let streams = |server: &u16| seen.streams.get(&(patient, *server)).copied();
    let victim = (0..ENGINES).max_by_key(streams).expect("there are engines");
    let seen = run(&mut bench, 100, |p, server| if server == victim { pause } else { usual(p) });
    assert!(seen.slow.contains(&victim), "{:?}", seen.slow);
}

/// Engines of two availability zones; the first half is in the first.
fn zoned_bench(policy: Policy) -> Bench {
    let mut bench = Bench::new(policy, ENGINES, 16);
    for key in 0..ENGINES {
        let zone = Some(zone_of(key));
        let options =
            Options { slots: 16, first_slots: 16, rank: u64::from(key), zone, learned: true };
        bench.tell(Event::Server(Key(key), options));
    }
    bench
}

fn zone_of(key: u16) -> Zone {
    Zone::of(if key < ENGINES / 2 { "a" } else { "b" })
}

/// A stream that may not go on elsewhere runs in its entry's zone as long as that costs it little;
/// one that may goes wherever it costs least.
#[rstest]
#[case::not_resumable(false)]
#[case::resumable(true)]
fn a_stream_that_may_not_be_resumed_stays_in_its_zone(#[case] repeatable: bool) {
    let mut bench = zoned_bench(policy());
    let mut crossed = 0;
    for id in 0..32 {
        let now = bench.now;
        let entry = zone_of((id % 2) as u16 * (ENGINES - 1));
        let ask = Ask { repeatable, zone: Some(entry), ..prompt(id, URGENT, now) };
        let server = granted(&bench.ask(ask))[0].1;
        crossed += usize::from(zone_of(server) != entry);
        bench.progress(id, 1, 0);
        bench.finish(id, Outcome::Done);
    }
    assert_eq!(crossed > 0, repeatable, "{crossed} of 32 crossed");
}

/// A zone whose engines all wait for long prompts gives its streams away.
#[test]
fn a_stream_leaves_its_zone_when_it_would_wait() {
    let mut bench = zoned_bench(policy());
    let now = bench.now;
    let entry = Some(zone_of(0));
    let of_zone = |id| Ask { repeatable: false, zone: entry, ..prompt(id, URGENT, now) };
    let servers: BTreeSet<u16> =
        (0..64).flat_map(|id| granted(&bench.ask(of_zone(id)))).map(|(_, server)| server).collect();
    assert!(servers.iter().any(|server| Some(zone_of(*server)) != entry), "{servers:?}");
}

/// The sides of the border are in each zone, so that no class has to leave its own.
#[test]
fn each_zone_has_engines_on_both_sides() {
    let mut bench = zoned_bench(divided());
    let placed = |bench: &mut Bench, id: u128, class| {
        let now = bench.now;
        let orders = bench.ask(prompt(id, class, now));
        bench.tell(Event::Progress(Progress {
            id,
            produced: 1,
            first_token: Some(READING),
            gap: 0,
        }));
        granted(&orders)[0].1
    };
    let mut sides: BTreeMap<u16, BTreeSet<Zone>> = BTreeMap::new();
    for id in 0..64 {
        let class = if id % 2 == 0 { URGENT } else { BULK };
        let server = placed(&mut bench, id, class);
        if id >= 16 {
            sides.entry(class).or_default().insert(zone_of(server));
        }
        bench.finish(id, Outcome::Done);
        bench.pass(100 * MILLISECOND);
    }
    let both = BTreeSet::from([zone_of(0), zone_of(ENGINES - 1)]);
    assert_eq!(sides, BTreeMap::from([(URGENT, both.clone()), (BULK, both)]));
}
