//! Engines that do different work are not measured by each other.

use std::collections::{BTreeMap, BTreeSet};

use drumusher_schedule::{
    ask::{Ask, Outcome, Part},
    event::{Event, Progress},
    policy::Policy,
    server::{Health, Key, Options},
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
const SENSITIVE_GAP: Micros = 150 * MILLISECOND;
const TOLERANT_GAP: Micros = 600 * MILLISECOND;

fn divided() -> Policy {
    let mut policy = policy();
    policy.classes[usize::from(URGENT)].token_gap = SENSITIVE_GAP;
    policy.classes[usize::from(BULK)].token_gap = TOLERANT_GAP;
    policy
}

/// A pool whose engines have an order, by which they are divided.
fn divided_bench() -> Bench {
    divided_bench_of(divided())
}

fn divided_bench_of(policy: Policy) -> Bench {
    let mut bench = Bench::new(policy, ENGINES, 16);
    for key in 0..ENGINES {
        let options = Options { slots: 16, first_slots: 16, rank: u64::from(key), learned: true };
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
            let tolerant = id % 20 < 4;
            let class = if tolerant { BULK } else { URGENT };
            let orders = bench.ask(prompt(id, class, now));
            grants.extend(granted(&orders).into_iter().map(|(id, server)| (id, server, tolerant)));
        }
        for report in 1..8 {
            bench.pass(100 * MILLISECOND);
            for (id, server, tolerant) in &grants {
                let first_token = (report == 1).then_some(READING);
                let gap = gap(*tolerant, *server);
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
        for (id, server, tolerant) in grants {
            *seen.streams.entry((tolerant, server)).or_default() += 1;
            bench.finish(id, Outcome::Done);
        }
    }
    seen
}

/// Long prompts beside them make the pauses of patient streams longer; their engines are not slow.
#[test]
fn pauses_that_patient_streams_bear_are_not_slow() {
    let mut bench = divided_bench();
    let usual = |tolerant, _| if tolerant { 120 * MILLISECOND } else { 30 * MILLISECOND };
    let seen = run(&mut bench, 0, usual);
    assert_eq!(seen.slow, BTreeSet::new());
}

/// Classes are kept apart if the prompts of one delay the streams of the other too long, and only
/// then: whatever their targets are to each other.
#[rstest]
#[case::long_prompts(PROMPT, 225 * MILLISECOND, true)]
#[case::short_prompts(500, 225 * MILLISECOND, false)]
#[case::long_prompts_of_equal_pauses(PROMPT, SENSITIVE_GAP, false)]
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
    let tolerant = bench.pool.iter_running().filter(|running| running.tolerant).count();
    assert_eq!(tolerant > 0, apart);
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
    let (tolerant, pause) = (true, 550 * MILLISECOND);
    let mut bench = divided_bench();
    let usual = |tolerant| if tolerant { 100 * MILLISECOND } else { 30 * MILLISECOND };
    let seen = run(&mut bench, 0, |tolerant, _| usual(tolerant));
    let streams = |server: &u16| seen.streams.get(&(tolerant, *server)).copied();
    let busiest = (0..ENGINES).max_by_key(streams).expect("there are engines");
    let of = |p: bool, server| if server == busiest && p == tolerant { pause } else { usual(p) };
    let seen = run(&mut bench, 100, of);
    assert_eq!(seen.slow, BTreeSet::new());
}

/// An engine that is slow among its like is found on either side.
#[rstest]
#[case::sensitive(false, 160 * MILLISECOND)]
#[case::tolerant(true, 700 * MILLISECOND)]
fn an_engine_that_is_slow_among_its_like_is_found(#[case] tolerant: bool, #[case] pause: Micros) {
    let mut bench = divided_bench();
    let usual = |tolerant| if tolerant { 100 * MILLISECOND } else { 30 * MILLISECOND };
    let seen = run(&mut bench, 0, |tolerant, _| usual(tolerant));
    let streams = |server: &u16| seen.streams.get(&(tolerant, *server)).copied();
    let victim = (0..ENGINES).max_by_key(streams).expect("there are engines");
    let seen = run(&mut bench, 100, |p, server| if server == victim { pause } else { usual(p) });
    assert!(seen.slow.contains(&victim), "{:?}", seen.slow);
}
