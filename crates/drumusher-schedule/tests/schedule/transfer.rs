//! Transfer of cached prompt parts between engines.

use drumusher_schedule::{
    ask::{Ask, Outcome, Part},
    event::Event,
    order::Order,
    server::Key,
    time::Micros,
};

use crate::support::{BULK, Harness, ask, granted, policy};

/// Shared by all requests here; it takes long to prefill.
const SHARED: Part = Part { id: 7, tokens: 10_000 };
/// Tokens of a request's own part.
const OWN: u32 = 1_000;

/// A request that shares a part with the others and has `own` tokens of its own.
fn request_with_shared_part(id: u128, own: u32, now: Micros) -> Ask {
    let parts = vec![SHARED, Part { id: 1_000 + id as u64, tokens: own }];
    Ask { parts, prompt: SHARED.tokens + own, ..ask(id, BULK, now) }
}

/// Where a request was placed, and from which engine the cached part is transferred.
fn placement(orders: &[Order]) -> Option<(Key, Option<Key>)> {
    orders.iter().find_map(|order| match order {
        Order::Grant { server, source, .. } => Some((*server, *source)),
        _ => None,
    })
}

/// A pool in which one engine has the shared part cached and is busy with a long prompt.
fn pool_with_busy_cache(engines: u16) -> (Harness, Key) {
    let mut harness = Harness::new(policy(), engines, 16);
    let now = harness.now;
    let orders = harness.ask(request_with_shared_part(1, OWN, now));
    let cache_holder = Key(granted(&orders)[0].1);
    harness.progress(1, 1, 0);
    harness.finish(1, Outcome::Done);
    let orders = harness.ask(request_with_shared_part(2, 60_000, now));
    assert_eq!(placement(&orders), Some((cache_holder, None)), "it has most of the prompt cached");
    (harness, cache_holder)
}

#[test]
fn a_free_engine_transfers_what_a_busy_one_has_cached() {
    let (mut harness, cache_holder) = pool_with_busy_cache(2);
    let now = harness.now;
    let orders = harness.ask(request_with_shared_part(3, OWN, now));
    let (server, source) = placement(&orders).expect("there is room");
    assert_ne!(server, cache_holder);
    assert_eq!(source, Some(cache_holder));
}

#[test]
fn a_shared_part_that_is_being_prefilled_is_waited_for() {
    let mut harness = Harness::new(policy(), 2, 16);
    let now = harness.now;
    let first = placement(&harness.ask(request_with_shared_part(1, OWN, now)));
    let second = placement(&harness.ask(request_with_shared_part(2, OWN, now)));
    assert_eq!(second, first, "nothing can be transferred yet, and prefilling twice is waste");
}

#[test]
fn a_leaving_or_failed_engine_is_no_transfer_source() {
    let (mut harness, cache_holder) = pool_with_busy_cache(3);
    let now = harness.now;
    let avoiding = Ask { avoid: Some(cache_holder), ..request_with_shared_part(3, OWN, now) };
    let (server, source) = placement(&harness.ask(avoiding)).expect("there is room");
    assert_ne!(server, cache_holder);
    assert_eq!(source, None);
    harness.handle(Event::Leave(cache_holder));
    let (_, source) =
        placement(&harness.ask(request_with_shared_part(4, OWN, now))).expect("there is room");
    assert_ne!(source, Some(cache_holder));
}

#[test]
fn a_part_that_was_not_prefilled_is_not_cached() {
    let mut harness = Harness::new(policy(), 2, 16);
    let now = harness.now;
    let orders = harness.ask(request_with_shared_part(1, OWN, now));
    let cache_holder = Key(granted(&orders)[0].1);
    harness.finish(1, Outcome::Cancelled);
    let servers: Vec<_> = harness.pool.servers().collect();
    let (_, server) = servers.iter().find(|(key, _)| *key == cache_holder).expect("it is there");
    assert!(!server.engine().has_cached(SHARED.id));
}

/// Short parts are prefilled again where the request is placed: setting up a transfer takes as
/// long.
#[test]
fn short_parts_are_not_transferred() {
    let mut harness = Harness::new(policy(), 2, 16);
    let now = harness.now;
    let small = Part { id: 9, tokens: 100 };
    let with_own = |id: u128, own: u32| Ask {
        parts: vec![small, Part { id: 100 + id as u64, tokens: own }],
        prompt: small.tokens + own,
        ..ask(id, BULK, now)
    };
    let cache_holder = Key(granted(&harness.ask(with_own(1, 50)))[0].1);
    harness.progress(1, 1, 0);
    harness.finish(1, Outcome::Done);
    let busy = placement(&harness.ask(with_own(2, 60_000)));
    assert_eq!(busy, Some((cache_holder, None)), "it has the part cached");
    let (server, source) = placement(&harness.ask(with_own(3, 50))).expect("there is room");
    assert_ne!(server, cache_holder, "it is busy");
    assert_eq!(source, None);
}
