//! Refusal of requests that cannot end before their callers stop waiting.

use drumusher_schedule::{
    ask::{Ask, Id, Part},
    order::{Order, Refusal},
    policy::WorkspaceKey,
    time::{MILLISECOND, Micros, SECOND},
};
use rstest::rstest;

use crate::{
    read_ahead::{BULK, LONG, PROFILE, place, pool},
    support::{Harness, ask, granted},
};

/// A request with a prompt of 200 ms whose caller waits for the given time.
fn request(harness: &Harness, id: Id, workspace: u16, left: Micros) -> Ask {
    let parts = vec![Part { id: id as u64, tokens: LONG }];
    let (workspace, deadline) = (WorkspaceKey(workspace), Some(harness.now + left));
    let request = ask(id, BULK, harness.now);
    Ask { parts, prompt: LONG, output: 4, workspace, deadline, ..request }
}

/// A pool whose two engines have 400 ms of prompts each, and in which others wait.
fn busy_pool(waiting: u128) -> Harness {
    let mut harness = pool(Some(PROFILE));
    for id in 1..=4 + waiting {
        let request = request(&harness, id, 0, 60 * SECOND);
        harness.ask(request);
    }
    assert_eq!(harness.pool.waiting() as u128, waiting);
    harness
}

/// The refusals among some orders, with the time after which they may be sent again.
fn refusals(orders: &[Order]) -> Vec<(Id, Micros)> {
    let refusals = orders.iter().filter_map(|order| match order {
        Order::Refuse { id, refusal: Refusal::Unmeetable, retry_after, .. } => {
            Some((*id, *retry_after))
        }
        _ => None,
    });
    refusals.collect()
}

/// Guards against callers that wait in vain, and against refusals of what can still be served. Ten
/// requests wait, so a further one begins after some 1.4 s and ends after 1.6 s.
#[rstest]
#[case::too_little_time(1_200 * MILLISECOND, true)]
#[case::enough_time(2 * SECOND, false)]
fn requests_that_cannot_end_in_time_are_refused_at_once(
    #[case] left: Micros,
    #[case] expected: bool,
) {
    let mut harness = busy_pool(10);
    let request = request(&harness, 100, 0, left);
    assert_eq!(!refusals(&harness.ask(request)).is_empty(), expected);
}

/// Guards against a refusal of a request that nothing delays, however little time it has.
#[test]
fn nothing_is_refused_while_nothing_waits() {
    let mut harness = busy_pool(0);
    let request = request(&harness, 100, 0, MILLISECOND);
    assert!(refusals(&harness.ask(request)).is_empty());
}

/// Guards against the loss of an answer that has begun.
#[test]
fn requests_that_have_begun_are_not_refused() {
    let mut harness = busy_pool(10);
    let request = Ask { produced: 1, ..request(&harness, 100, 0, MILLISECOND) };
    assert!(refusals(&harness.ask(request)).is_empty());
    assert!(refusals(&harness.advance(100 * MILLISECOND)).is_empty());
}

/// Guards against a workspace that sends much and has the requests of others refused: theirs are
/// served before most of its own.
#[test]
fn the_queue_of_one_workspace_does_not_count_for_another() {
    let mut harness = busy_pool(100);
    let request = request(&harness, 200, 1, 2 * SECOND);
    assert!(refusals(&harness.ask(request)).is_empty());
}

/// Guards against waiting requests that hear nothing until their callers stop waiting.
#[test]
fn waiting_requests_are_refused_when_they_cannot_end_in_time_any_more() {
    let mut harness = pool(Some(PROFILE));
    (1..=2).for_each(|id| assert!(place(&mut harness, id, BULK, 5 * LONG).is_some()));
    let request = request(&harness, 100, 0, 700 * MILLISECOND);
    assert!(granted(&harness.ask(request)).is_empty(), "engines have prompts of a second");
    assert!(refusals(&harness.advance(450 * MILLISECOND)).is_empty());
    assert_eq!(refusals(&harness.advance(100 * MILLISECOND)).len(), 1);
}

/// Guards against refused callers that return all at once, or too late for an answer.
#[test]
fn refused_callers_return_at_different_times() {
    let mut harness = busy_pool(20);
    let mut times = Vec::new();
    for id in 100..120 {
        let request = request(&harness, id, 0, 2_000 * MILLISECOND);
        times.extend(refusals(&harness.ask(request)).into_iter().map(|(_, after)| after));
    }
    assert_eq!(times.len(), 20);
    assert!(times.iter().all(|after| *after <= 2 * SECOND / 3));
    let spread = times.iter().max().zip(times.iter().min()).map(|(last, first)| last - first);
    assert!(spread >= Some(100 * MILLISECOND), "{times:?}");
}
