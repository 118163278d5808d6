//! The cache of an engine, bounded by its memory.

use drumusher_schedule::{
    ask::{Ask, Id, Outcome, Part},
    engine::{Profile, cache::Cache},
    event::Event,
    order::Order,
    server::Key,
    time::Micros,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{Harness, ask, engine_pool};

const PROFILE: Profile =
    Profile { tokens: 100_000, token_bytes: 100_000, link_mbps: 200_000.0, event_tokens: 4 };
const SHARED: Part = Part { id: 7, tokens: 10_000 };

fn part(id: u64, tokens: u32) -> Part {
    Part { id, tokens }
}

fn place(cache: &mut Cache, now: Micros, id: Id, parts: &[Part]) {
    let tokens = parts.iter().map(|part| part.tokens).sum();
    cache.place(now, id, parts, tokens, |_| now);
}

fn bounded(tokens: u64) -> Cache {
    let mut cache = Cache::default();
    cache.set_capacity(Some(tokens));
    cache
}

/// Guards against believing parts that the engine evicted, and against evicting those in use.
#[test]
fn the_least_recently_used_parts_are_evicted() {
    let mut cache = bounded(100);
    place(&mut cache, 1, 1, &[part(1, 40), part(2, 20)]);
    place(&mut cache, 2, 2, &[part(3, 30)]);
    cache.end(3, 2);
    cache.end(4, 1);
    place(&mut cache, 5, 3, &[part(4, 20)]);
    assert!(!cache.contains(3), "it was used least recently");
    assert!(cache.contains(1) && cache.contains(2) && cache.contains(4));
    place(&mut cache, 6, 4, &[part(5, 30)]);
    assert!(cache.contains(1) && !cache.contains(2), "of one prompt the last part goes first");
    place(&mut cache, 7, 5, &[part(6, 90)]);
    assert!(!cache.contains(1));
    assert!([4, 5, 6].iter().all(|part| cache.contains(*part)), "running requests have them");
}

/// Guards against a model that leaves no memory for the answers of running requests.
#[test]
fn output_takes_memory_until_its_request_ends() {
    let mut cache = bounded(100);
    place(&mut cache, 1, 1, &[part(1, 40)]);
    cache.end(2, 1);
    place(&mut cache, 3, 2, &[part(2, 50)]);
    cache.record_output(2, 10);
    assert!(cache.contains(1));
    assert_eq!((cache.tokens(), cache.held_tokens()), (100, 60));
    cache.record_output(2, 11);
    assert!(!cache.contains(1));
    cache.end(4, 2);
    assert_eq!((cache.tokens(), cache.held_tokens()), (50, 0));
}

/// Guards against a late report that removes what a request placed since has there.
#[test]
fn reports_correct_the_model_except_for_parts_in_use() {
    let mut cache = bounded(1_000);
    place(&mut cache, 1, 1, &[part(1, 40), part(2, 20)]);
    cache.add_reported(2, part(3, 30));
    cache.remove_reported(1);
    assert!(cache.contains(1) && cache.is_complete(2, 3));
    cache.replace_reported(3, &[part(4, 10)]);
    assert!(cache.contains(1) && cache.contains(2) && cache.contains(4) && !cache.contains(3));
    cache.end(4, 1);
    cache.remove_reported(1);
    assert!(!cache.contains(1));
    assert_eq!(cache.tokens(), 30);
}

proptest! {
    /// The sums stay right and the memory is exceeded by running requests alone, whatever happens.
    #[test]
    fn sums_agree_with_the_parts(
        steps in proptest::collection::vec((0_u8..7, 0_u64..8, 0_u128..5, 0_u32..60), 1..200),
    ) {
        let mut cache = bounded(150);
        for (at, (step, id, request, tokens)) in steps.into_iter().enumerate() {
            let now = at as Micros;
            match step {
                0 | 1 => cache.place(now, request, &[part(id, 30), part(id + 8, 20)], 60, |_| now),
                2 => cache.end(now, request),
                3 => cache.record_output(request, u64::from(tokens)),
                4 => cache.add_reported(now, part(id, 30)),
                5 => cache.remove_reported(id),
                _ => cache.complete(now, part(id + 8, 20)),
            }
            let sum: u64 =
                cache.iter().map(|(part, _)| if part < 8 { 30 } else { 20 }).sum();
            prop_assert!(sum <= cache.tokens() && cache.held_tokens() <= cache.tokens());
            prop_assert!(cache.tokens() <= 150.max(cache.held_tokens()));
        }
        for request in 0..5 {
            cache.end(1_000, request);
        }
        let sum: u64 = cache.iter().map(|(part, _)| if part < 8 { 30 } else { 20 }).sum();
        prop_assert_eq!((cache.tokens(), cache.held_tokens()), (sum, 0));
    }
}

fn request(id: Id, own: u32, now: Micros) -> Ask {
    let parts = vec![SHARED, part(1_000 + id as u64, own)];
    Ask { parts, prompt: SHARED.tokens + own, ..ask(id, 0, now) }
}

/// A pool with slack of two engines, without the mechanisms of other parts.
fn pool(off: &[&str]) -> Harness {
    engine_pool(PROFILE, 2, off)
}

fn placement(orders: &[Order]) -> Option<(Key, Option<Key>)> {
    orders.iter().find_map(|order| match order {
        Order::Grant { server, source, .. } => Some((*server, *source)),
        _ => None,
    })
}

/// Guards against losing what only a draining engine has cached; and against copying from an engine
/// that is gone.
#[rstest]
#[case::draining(&[], None, true)]
#[case::idle(&[], Some(Outcome::Done), false)]
#[case::gone(&[], Some(Outcome::Failed), false)]
#[case::switched_off(&["memory"], None, false)]
fn parts_are_copied_from_engines_that_leave_but_still_serve(
    #[case] off: &[&str],
    #[case] end: Option<Outcome>,
    #[case] copied: bool,
) {
    let mut harness = pool(off);
    let now = harness.now;
    let (holder, _) = placement(&harness.ask(request(1, 1_000, now))).expect("there is room");
    harness.progress(1, 1, 0);
    harness.handle(Event::Leave(holder));
    if let Some(outcome) = end {
        harness.finish(1, outcome);
    }
    let (server, source) = placement(&harness.ask(request(2, 1_000, now))).expect("there is room");
    assert_ne!(server, holder);
    assert_eq!(source, copied.then_some(holder));
}

/// Guards against placing a request by a part that its engine had to evict.
#[test]
fn a_request_with_a_long_answer_evicts_parts_of_its_engine() {
    let mut harness = pool(&[]);
    let now = harness.now;
    let (holder, _) = placement(&harness.ask(request(1, 1_000, now))).expect("there is room");
    harness.progress(1, 1, 0);
    harness.finish(1, Outcome::Done);
    let (server, _) = placement(&harness.ask(request(2, 1_000, now))).expect("there is room");
    assert_eq!(server, holder, "it has the shared part");
    harness.progress(2, 1, 0);
    let cached = |harness: &Harness, part| {
        harness.pool.server_at(holder).is_some_and(|server| server.engine().has_cached(part))
    };
    assert!(cached(&harness, 1_001));
    harness.progress(2, 23_000, 0);
    assert!(!cached(&harness, 1_001), "4 tokens an event take the memory of the first request");
    assert!(cached(&harness, SHARED.id), "it is in use");
}
