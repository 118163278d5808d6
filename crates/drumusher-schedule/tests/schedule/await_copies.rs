//! Requests that wait for a copy of a part that an engine is prefilling.

use drumusher_schedule::{
    ask::{Ask, Id, Outcome, Part},
    engine::Profile,
    event::Event,
    order::Order,
    server::Key,
    time::{MILLISECOND, SECOND},
};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{Harness, ask, engine_pool};

const PROFILE: Profile =
    Profile { tokens: 500_000, token_bytes: 100_000, link_mbps: 200_000.0, event_tokens: 4 };
/// 200 ms to prefill before anything is learned, and 50 ms to copy.
const SHARED: Part = Part { id: 7, tokens: 10_000 };

fn request(id: Id, own: u32, harness: &Harness) -> Ask {
    let parts = vec![SHARED, Part { id: 1_000 + id as u64, tokens: own }];
    Ask { parts, prompt: SHARED.tokens + own, ..ask(id, 0, harness.now) }
}

fn pool(engines: u16, off: &[&str]) -> Harness {
    engine_pool(PROFILE, engines, off)
}

fn placement(orders: &[Order]) -> Option<(Id, Key, Option<Key>)> {
    orders.iter().find_map(|order| match order {
        Order::Grant { id, server, source, .. } => Some((*id, *server, *source)),
        _ => None,
    })
}

/// A pool whose first request has a long part of its own behind the shared one, and the engine on
/// which it is.
fn with_long_prompt(engines: u16, off: &[&str]) -> (Harness, Key) {
    let mut harness = pool(engines, off);
    let orders = harness.ask(request(1, 20_000, &harness));
    let (_, holder, _) = placement(&orders).expect("there is room");
    (harness, holder)
}

/// Guards against queueing for seconds behind a long prompt, or prefilling a shared part twice.
#[test]
fn a_request_starts_elsewhere_with_a_copy_as_soon_as_the_part_is_complete() {
    let (mut harness, holder) = with_long_prompt(2, &[]);
    assert_eq!(placement(&harness.ask(request(2, 1_000, &harness))), None);
    let other = ask(3, 0, harness.now);
    let orders = harness.ask(other);
    assert_eq!(placement(&orders).map(|(id, ..)| id), Some(3), "others are not held up");
    harness.now += 190 * MILLISECOND;
    assert_eq!(placement(&harness.handle(Event::Tick)), None, "it is not complete yet");
    harness.now += 15 * MILLISECOND;
    let (id, server, source) =
        placement(&harness.handle(Event::Tick)).expect("the part is complete");
    assert_eq!((id, source), (2, Some(holder)));
    assert_ne!(server, holder);
}

/// Guards against waiting longer than queueing takes, and against waiting without use.
#[rstest]
#[case::switched_off(2, 20_000, &["await_copies"])]
#[case::no_memory(2, 20_000, &["memory"])]
#[case::no_copies(2, 20_000, &["sources"])]
#[case::short_queue(2, 1_000, &[])]
#[case::no_other_engine(1, 20_000, &[])]
fn a_request_queues_where_that_is_as_good(
    #[case] engines: u16,
    #[case] own: u32,
    #[case] off: &[&str],
) {
    let mut harness = pool(engines, off);
    harness.ask(request(1, own, &harness));
    assert!(placement(&harness.ask(request(2, 1_000, &harness))).is_some());
}

/// Guards against waiting for a prefill that will never complete.
#[rstest]
#[case::ended(|_| Event::Finish(1, Outcome::Cancelled, 0))]
#[case::failed(|_| Event::Finish(1, Outcome::Failed, 0))]
#[case::leaving(Event::Leave)]
fn waiting_ends_with_the_prefill(#[case] event: fn(Key) -> Event) {
    let (mut harness, holder) = with_long_prompt(3, &[]);
    assert_eq!(placement(&harness.ask(request(2, 1_000, &harness))), None);
    let orders = harness.handle(event(holder));
    assert_eq!(placement(&orders).map(|(id, ..)| id), Some(2));
}

/// Guards against a request that is lost while it waits.
#[test]
fn a_request_that_waits_for_a_copy_can_be_withdrawn() {
    let (mut harness, _) = with_long_prompt(2, &[]);
    harness.ask(request(2, 1_000, &harness));
    assert!(harness.pool.is_waiting(2));
    harness.handle(Event::Withdraw(2));
    assert_eq!(harness.pool.waiting(), 0);
    assert!(harness.advance(SECOND).is_empty());
}

proptest! {
    /// While slots are free, no request waits for longer than the prefill of a part may take,
    /// whatever happens to the engines and requests.
    #[test]
    fn nobody_waits_for_ever(
        steps in proptest::collection::vec((0_u8..9, 0_u16..4, 0_u64..5, 0_u64..60), 1..150),
    ) {
        let mut harness = pool(4, &[]);
        for (at, (step, engine, shared, pause)) in steps.into_iter().enumerate() {
            harness.now += pause * MILLISECOND;
            let id = at as Id;
            let earlier = id.saturating_sub(u128::from(shared) + 1);
            match step {
                0..=3 => {
                    let parts = vec![
                        Part { id: shared, tokens: 10_000 },
                        Part { id: 1_000 + at as u64, tokens: 4_000 },
                    ];
                    harness.ask(Ask { parts, prompt: 14_000, ..ask(id, 0, harness.now) });
                }
                4 => drop(harness.progress(earlier, 1, 0)),
                5 => drop(harness.finish(earlier, Outcome::Done)),
                6 => drop(harness.finish(earlier, Outcome::Cancelled)),
                7 => drop(harness.finish(earlier, Outcome::Failed)),
                _ if engine > 0 => drop(harness.handle(Event::Leave(Key(engine)))),
                _ => drop(harness.handle(Event::Withdraw(earlier))),
            }
        }
        if harness.pool.free(harness.now) > 0 {
            harness.advance(SECOND);
            prop_assert!(harness.pool.free(harness.now) == 0 || harness.pool.waiting() == 0);
        }
    }
}
