//! Parts of a prompt that one engine takes over from another.

use drumusher_schedule::{
    ask::{Ask, Outcome, Part},
    event::Event,
    order::Order,
    server::Key,
    time::Micros,
};

use crate::support::{BULK, Bench, ask, granted, policy};

/// Shared by all requests here; it takes long to read.
const SHARED: Part = Part { id: 7, tokens: 10_000 };
/// Tokens of a request's own part.
const OWN: u32 = 1_000;

/// A request that shares a part with the others and has `own` tokens of its own.
fn sharing(id: u128, own: u32, now: Micros) -> Ask {
    let parts = vec![SHARED, Part { id: 1_000 + id as u64, tokens: own }];
    Ask { parts, prompt: SHARED.tokens + own, ..ask(id, BULK, now) }
}

/// Where a request was placed, and from where it takes over what is kept.
fn placed(orders: &[Order]) -> Option<(Key, Option<Key>)> {
    orders.iter().find_map(|order| match order {
        Order::Grant { server, source, .. } => Some((*server, *source)),
        _ => None,
    })
}

/// A pool in which one engine has read the shared part, and has a long prompt to read now.
fn busy_keeper(engines: u16) -> (Bench, Key) {
    let mut bench = Bench::new(policy(), engines, 16);
    let now = bench.now;
    let orders = bench.ask(sharing(1, OWN, now));
    let keeper = Key(granted(&orders)[0].1);
    bench.progress(1, 1, 0);
    bench.finish(1, Outcome::Done);
    let orders = bench.ask(sharing(2, 60_000, now));
    assert_eq!(placed(&orders), Some((keeper, None)), "it keeps most of the prompt");
    (bench, keeper)
}

#[test]
fn a_free_engine_takes_over_what_a_busy_one_keeps() {
    let (mut bench, keeper) = busy_keeper(2);
    let now = bench.now;
    let orders = bench.ask(sharing(3, OWN, now));
    let (server, source) = placed(&orders).expect("there is room");
    assert_ne!(server, keeper);
    assert_eq!(source, Some(keeper));
}

#[test]
fn what_is_being_read_is_waited_for() {
    let mut bench = Bench::new(policy(), 2, 16);
    let now = bench.now;
    let first = placed(&bench.ask(sharing(1, OWN, now)));
    let second = placed(&bench.ask(sharing(2, OWN, now)));
    assert_eq!(second, first, "nothing can be taken over yet, and reading twice is waste");
}

#[test]
fn an_engine_that_leaves_or_failed_is_no_source() {
    let (mut bench, keeper) = busy_keeper(3);
    let now = bench.now;
    let avoiding = Ask { avoid: Some(keeper), ..sharing(3, OWN, now) };
    let (server, source) = placed(&bench.ask(avoiding)).expect("there is room");
    assert_ne!(server, keeper);
    assert_eq!(source, None);
    bench.tell(Event::Leave(keeper));
    let (_, source) = placed(&bench.ask(sharing(4, OWN, now))).expect("there is room");
    assert_ne!(source, Some(keeper));
}

#[test]
fn what_an_attempt_did_not_read_is_not_kept() {
    let mut bench = Bench::new(policy(), 2, 16);
    let now = bench.now;
    let orders = bench.ask(sharing(1, OWN, now));
    let keeper = Key(granted(&orders)[0].1);
    bench.finish(1, Outcome::Cancelled);
    let servers: Vec<_> = bench.pool.servers().collect();
    let (_, server) = servers.iter().find(|(key, _)| *key == keeper).expect("it is there");
    assert!(!server.engine().has_cached(SHARED.id));
}

/// Short parts are read again where they are placed: beginning to take them over takes as long.
#[test]
fn little_is_not_taken_over() {
    let mut bench = Bench::new(policy(), 2, 16);
    let now = bench.now;
    let small = Part { id: 9, tokens: 100 };
    let with_own = |id: u128, own: u32| Ask {
        parts: vec![small, Part { id: 100 + id as u64, tokens: own }],
        prompt: small.tokens + own,
        ..ask(id, BULK, now)
    };
    let keeper = Key(granted(&bench.ask(with_own(1, 50)))[0].1);
    bench.progress(1, 1, 0);
    bench.finish(1, Outcome::Done);
    let busy = placed(&bench.ask(with_own(2, 60_000)));
    assert_eq!(busy, Some((keeper, None)), "it keeps the part");
    let (server, source) = placed(&bench.ask(with_own(3, 50))).expect("there is room");
    assert_ne!(server, keeper, "it is busy");
    assert_eq!(source, None);
}
