//! The model of an engine, and the partition of engines between delay-tolerant and delay-sensitive
//! requests.

use drumusher_schedule::{
    ask::{Id, Part},
    engine::{Engine, Prefill, Prompt},
    partition::Partition,
    time::{MILLISECOND, Micros, SECOND},
};
use proptest::prelude::*;

const SHARED: [Part; 2] = [Part { id: 1, tokens: 500 }, Part { id: 2, tokens: 4_500 }];

fn prompt(parts: &[Part], tolerant: bool) -> Prompt<'_> {
    Prompt { parts, tokens: 6_000, tolerant, tightest_gap: 100 * MILLISECOND }
}

fn prefill(engine: &Engine, prompt: &Prompt<'_>, cached_elsewhere: u32) -> Prefill {
    engine.prefill(prompt, cached_elsewhere, 0)
}

/// Places a request without any transfer from another engine.
fn start(engine: &mut Engine, now: Micros, id: Id, prompt: &Prompt<'_>) {
    engine.start(now, id, prompt, engine.prefill(prompt, 0, 0));
}

#[test]
fn only_parts_before_the_first_uncached_one_count_as_cached() {
    let mut engine = Engine::new();
    let whole = prompt(&SHARED, true);
    assert_eq!(engine.uncached_tokens(&whole), 6_000);
    start(&mut engine, SECOND, 1, &whole);
    assert_eq!(engine.uncached_tokens(&whole), 1_000);
    let other = [Part { id: 9, tokens: 10 }, SHARED[1]];
    assert_eq!(engine.uncached_tokens(&prompt(&other, true)), 6_000);
}

#[test]
fn queue_time_covers_all_pending_prompts() {
    let mut engine = Engine::new();
    start(&mut engine, SECOND, 1, &prompt(&[], true));
    let wait = engine.queue_time(SECOND);
    assert_eq!(wait as f64, 6_000.0 * engine.token_time());
    start(&mut engine, SECOND, 2, &prompt(&[], true));
    assert_eq!(engine.queue_time(SECOND), 2 * wait);
    engine.first_event(1, wait);
    engine.first_event(2, 2 * wait);
    assert_eq!(engine.queue_time(SECOND), 0);
}

#[test]
fn token_time_is_learned_from_prompts_that_did_not_queue() {
    let mut engine = Engine::new();
    for id in 0..100 {
        let now = SECOND * (id as u64 + 1);
        start(&mut engine, now, id, &prompt(&[], true));
        engine.first_event(id, 60 * MILLISECOND);
        engine.end(id, true);
    }
    assert!((engine.token_time() - 10.0).abs() < 0.5, "{}", engine.token_time());
}

#[test]
fn an_engine_with_overdue_first_events_attracts_no_more_requests() {
    let (mut silent, other) = (Engine::new(), Engine::new());
    start(&mut silent, SECOND, 1, &prompt(&SHARED, true));
    let candidate = prompt(&SHARED, true);
    let cost = |engine: &Engine, now| {
        engine.cost(now, &candidate, prefill(engine, &candidate, 5_000), true)
    };
    assert!(cost(&silent, SECOND) < cost(&other, SECOND), "it has the prompt cached");
    assert!(cost(&silent, 5 * SECOND) > cost(&other, 5 * SECOND), "but its first event is overdue");
    silent.first_event(1, 4 * SECOND);
    assert_eq!(silent.queue_time(5 * SECOND), 0);
}

#[test]
fn an_engine_with_the_prompt_cached_costs_less_even_when_busier() {
    let (mut cache_holder, other) = (Engine::new(), Engine::new());
    start(&mut cache_holder, SECOND, 1, &prompt(&SHARED, true));
    let candidate = prompt(&SHARED, true);
    let cost =
        |engine: &Engine| engine.cost(SECOND, &candidate, prefill(engine, &candidate, 5_000), true);
    assert!(cost(&cache_holder) < cost(&other));
}

#[test]
fn delay_tolerant_prompts_avoid_delay_sensitive_streams() {
    let (mut sensitive, free) = (Engine::new(), Engine::new());
    for id in 0..5 {
        start(
            &mut sensitive,
            SECOND,
            id,
            &Prompt { parts: &[], tokens: 100, ..prompt(&[], false) },
        );
        sensitive.first_event(id, MILLISECOND);
    }
    let candidate = prompt(&[], true);
    let cost =
        |engine: &Engine| engine.cost(SECOND, &candidate, prefill(engine, &candidate, 0), true);
    assert!(cost(&free) < cost(&sensitive));
    for id in 0..5 {
        sensitive.end(id, false);
    }
    assert!((cost(&free) - cost(&sensitive)).abs() < 1.0);
}

#[test]
fn a_prompt_that_is_prefilled_soon_does_not_interfere() {
    let (mut sensitive, free) = (Engine::new(), Engine::new());
    for id in 0..5 {
        start(&mut sensitive, SECOND, id, &Prompt { tokens: 100, ..prompt(&[], false) });
        sensitive.first_event(id, MILLISECOND);
    }
    let extra_cost = |tokens| {
        let candidate = Prompt { tokens, ..prompt(&[], true) };
        let cost =
            |engine: &Engine| engine.cost(SECOND, &candidate, prefill(engine, &candidate, 0), true);
        cost(&sensitive) - cost(&free)
    };
    let stream_cost = 5.0 * MILLISECOND as f64;
    assert!((extra_cost(2_500) - stream_cost).abs() < 1.0, "50 of 100 ms");
    assert!(extra_cost(3_500) > stream_cost + 5.0 * 70.0 * MILLISECOND as f64, "70 of 100 ms");
}

#[test]
fn the_partition_follows_the_demand() {
    let mut partition = Partition::new();
    assert_eq!(partition.tolerant_engines(SECOND, 1), 0, "one engine is not partitioned");
    for _ in 0..100 {
        partition.record(SECOND, true, 1_000.0);
        partition.record(SECOND, false, 1_000.0);
    }
    let even = partition.tolerant_engines(SECOND, 10);
    assert!((3..=5).contains(&even), "{even}");
    for _ in 0..1_000 {
        partition.record(SECOND, true, 1_000.0);
    }
    assert_eq!(partition.tolerant_engines(SECOND, 10), 8, "the prior demand still has some effect");
    for _ in 0..9_000 {
        partition.record(SECOND, true, 1_000.0);
    }
    assert_eq!(
        partition.tolerant_engines(SECOND, 10),
        9,
        "one engine is always left for delay-sensitive requests"
    );
    for _ in 0..100 {
        partition.record(20 * SECOND, false, 1_000.0);
    }
    assert_eq!(
        partition.tolerant_engines(20 * SECOND, 10),
        4,
        "little demand moves the boundary a little"
    );
    for _ in 0..9_900 {
        partition.record(20 * SECOND, false, 1_000.0);
    }
    assert_eq!(partition.tolerant_engines(20 * SECOND, 10), 1, "old demand has decayed");
}

proptest! {
    /// Both partitions always have an engine, and the same demand yields the same partition.
    #[test]
    fn both_partitions_have_an_engine(
        all in 2_usize..200,
        samples in proptest::collection::vec((any::<bool>(), 1.0_f64..1e6, 0_u64..SECOND), 1..60),
    ) {
        let mut partition = Partition::new();
        let mut now = SECOND;
        for (tolerant, time, pause) in samples {
            now += pause;
            partition.record(now, tolerant, time);
            let engines = partition.tolerant_engines(now, all);
            prop_assert!(engines >= 1 && engines < all);
            prop_assert_eq!(partition.tolerant_engines(now, all), engines);
        }
    }
}

#[test]
fn a_prompt_prefilled_before_a_change_of_dispatcher_adds_no_queue_time() {
    let mut engine = Engine::new();
    start(&mut engine, SECOND, 1, &prompt(&SHARED, true));
    engine.mark_prefilled(1);
    assert_eq!(engine.queue_time(9 * SECOND), 0);
    assert_eq!(engine.uncached_tokens(&prompt(&SHARED, true)), 1_000, "but the prompt is cached");
}

#[test]
fn the_shared_part_is_the_longest_before_the_last_one() {
    assert_eq!(prompt(&SHARED, true).shared(), Some(SHARED[0]));
    let three = [SHARED[0], SHARED[1], Part { id: 3, tokens: 9_000 }];
    assert_eq!(prompt(&three, true).shared(), Some(SHARED[1]));
    assert_eq!(prompt(&[], true).shared(), None);
    assert_eq!(prompt(&SHARED[..1], true).shared(), None);
}
