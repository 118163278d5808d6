//! Engines of different partitions are not compared with each other.

use std::collections::{BTreeMap, BTreeSet};

use drumusher_schedule::{
    ask::{Ask, Outcome, Part},
    event::{Event, Progress},
    policy::Policy,
    server::{Health, Key, Options},
    time::{MILLISECOND, Micros},
};
use rstest::rstest;

use crate::support::{BULK, Harness, URGENT, ask, granted, policy};

const ENGINES: u16 = 8;
/// Tokens of a prompt.
const PROMPT: u32 = 5_000;
/// Time to prefill one: too long for the delay-sensitive streams beside it.
const PREFILL_TIME: Micros = 120 * MILLISECOND;
/// Gap targets of the classes.
const SENSITIVE_GAP: Micros = 150 * MILLISECOND;
const TOLERANT_GAP: Micros = 600 * MILLISECOND;

fn partitioned_policy() -> Policy {
    let mut policy = policy();
    policy.classes[usize::from(URGENT)].token_gap = SENSITIVE_GAP;
    policy.classes[usize::from(BULK)].token_gap = TOLERANT_GAP;
    policy
}

/// A pool whose engines have distinct ranks, by which they are partitioned.
fn partitioned_harness() -> Harness {
    partitioned_harness_with(partitioned_policy())
}

fn partitioned_harness_with(policy: Policy) -> Harness {
    let mut harness = Harness::new(policy, ENGINES, 16);
    for key in 0..ENGINES {
        let options =
            Options { slots: 16, first_slots: 16, rank: u64::from(key), ..Options::default() };
        harness.handle(Event::Server(Key(key), options));
    }
    harness
}

/// All prompts have the same length, so that the time to prefill a token is the same everywhere.
fn prompt(id: u128, class: u16, now: Micros) -> Ask {
    let parts = vec![Part { id: id as u64, tokens: PROMPT }];
    Ask { prompt: PROMPT, parts, ..ask(id, class, now) }
}

/// Observations of a run.
#[derive(Default)]
struct Observed {
    /// Streams by tolerance and engine.
    streams: BTreeMap<(bool, u16), usize>,
    /// Engines that were slow at any time.
    slow: BTreeSet<u16>,
}

/// Runs streams of both kinds for some seconds, so many that two engines serve the delay-tolerant
/// ones; `gap_of` returns the mean token gap of a stream by its tolerance and engine.
fn run(harness: &mut Harness, from: u128, gap_of: impl Fn(bool, u16) -> Micros) -> Observed {
    let mut observed = Observed::default();
    for round in from..from + 12 {
        let now = harness.now;
        let mut grants = Vec::new();
        for id in round * 20..round * 20 + 18 {
            let tolerant = id % 20 < 4;
            let class = if tolerant { BULK } else { URGENT };
            let orders = harness.ask(prompt(id, class, now));
            grants.extend(granted(&orders).into_iter().map(|(id, server)| (id, server, tolerant)));
        }
        for report in 1..8 {
            harness.advance(100 * MILLISECOND);
            for (id, server, tolerant) in &grants {
                let first_token = (report == 1).then_some(PREFILL_TIME);
                let gap = gap_of(*tolerant, *server);
                harness.handle(Event::Progress(Progress {
                    id: *id,
                    produced: report,
                    first_token,
                    gap,
                }));
            }
            let servers = harness.pool.servers();
            let slow = servers.filter(|(_, s)| matches!(s.health(), Health::Slow(_)));
            observed.slow.extend(slow.map(|(key, _)| key.0));
        }
        for (id, server, tolerant) in grants {
            *observed.streams.entry((tolerant, server)).or_default() += 1;
            harness.finish(id, Outcome::Done);
        }
    }
    observed
}

/// Long prompts lengthen the gaps of the delay-tolerant streams beside them; that does not make
/// their engines slow.
#[test]
fn long_gaps_of_delay_tolerant_streams_are_not_slow() {
    let mut harness = partitioned_harness();
    let typical = |tolerant, _| if tolerant { 120 * MILLISECOND } else { 30 * MILLISECOND };
    let observed = run(&mut harness, 0, typical);
    assert_eq!(observed.slow, BTreeSet::new());
}

/// Classes are kept on different engines if and only if the prompts of one delay the streams of the
/// other too long, whatever the ratio of their targets.
#[rstest]
#[case::long_prompts(PROMPT, 225 * MILLISECOND, true)]
#[case::short_prompts(500, 225 * MILLISECOND, false)]
#[case::long_prompts_with_equal_gaps(PROMPT, SENSITIVE_GAP, false)]
fn classes_are_separated_only_if_their_prompts_interfere(
    #[case] tokens: u32,
    #[case] bulk_gap: Micros,
    #[case] separate: bool,
) {
    let mut policy = partitioned_policy();
    policy.classes[usize::from(BULK)].token_gap = bulk_gap;
    let mut harness = partitioned_harness_with(policy);
    for id in 0..40 {
        let (class, tokens) = if id % 2 == 0 { (URGENT, 100) } else { (BULK, tokens) };
        let parts = vec![Part { id: id as u64, tokens }];
        let now = harness.now;
        harness.ask(Ask { prompt: tokens, parts, ..ask(id, class, now) });
        harness.advance(50 * MILLISECOND);
    }
    let tolerant = harness.pool.iter_running().filter(|running| running.tolerant).count();
    assert_eq!(tolerant > 0, separate);
}

/// While only one kind of class has requests, no engine is kept free for the other.
#[test]
fn one_kind_of_request_alone_uses_all_engines() {
    let mut harness = partitioned_harness();
    let now = harness.now;
    let orders = (0..8).flat_map(|id| harness.ask(prompt(id, URGENT, now))).collect::<Vec<_>>();
    let used: BTreeSet<u16> = granted(&orders).into_iter().map(|(_, server)| server).collect();
    assert_eq!(used.len(), usize::from(ENGINES));
}

/// An engine whose streams are within their targets is not slow, even if the others are faster: it
/// has more to prefill.
#[test]
fn a_delay_tolerant_engine_within_its_targets_is_not_slow() {
    let (tolerant, gap) = (true, 550 * MILLISECOND);
    let mut harness = partitioned_harness();
    let typical = |tolerant| if tolerant { 100 * MILLISECOND } else { 30 * MILLISECOND };
    let observed = run(&mut harness, 0, |tolerant, _| typical(tolerant));
    let streams = |server: &u16| observed.streams.get(&(tolerant, *server)).copied();
    let busiest = (0..ENGINES).max_by_key(streams).expect("there are engines");
    let of = |p: bool, server| if server == busiest && p == tolerant { gap } else { typical(p) };
    let observed = run(&mut harness, 100, of);
    assert_eq!(observed.slow, BTreeSet::new());
}

/// An engine that is slow compared with those of its own partition is detected in either partition.
#[rstest]
#[case::sensitive(false, 160 * MILLISECOND)]
#[case::tolerant(true, 700 * MILLISECOND)]
fn a_slow_engine_is_detected_within_its_partition(#[case] tolerant: bool, #[case] gap: Micros) {
    let mut harness = partitioned_harness();
    let typical = |tolerant| if tolerant { 100 * MILLISECOND } else { 30 * MILLISECOND };
    let observed = run(&mut harness, 0, |tolerant, _| typical(tolerant));
    let streams = |server: &u16| observed.streams.get(&(tolerant, *server)).copied();
    let victim = (0..ENGINES).max_by_key(streams).expect("there are engines");
    let observed =
        run(&mut harness, 100, |p, server| if server == victim { gap } else { typical(p) });
    assert!(observed.slow.contains(&victim), "{:?}", observed.slow);
}
