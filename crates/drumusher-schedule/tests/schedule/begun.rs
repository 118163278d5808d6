//! Requests whose answer has begun: what is refused to new requests must not cut them.

use drumusher_schedule::{
    ask::{Ask, Entry, Outcome},
    event::{Event, Load},
    server::{Health, Key},
    time::SECOND,
};

use crate::support::{BULK, Harness, URGENT, ask, granted, policy, preempted, refused};

/// Guards against a stream that is cut when it breaks or is preempted, since its workspace has as many waiting requests
/// as it may have.
#[test]
fn an_answer_that_has_begun_is_not_refused_for_the_limit_of_its_workspace() {
    let mut policy = policy();
    policy.workspaces[0].queue = 1;
    let mut harness = Harness::new(policy, 1, 1);
    let now = harness.now;
    assert_eq!(granted(&harness.ask(ask(1, BULK, now))), [(1, 0)]);
    assert_eq!(refused(&harness.ask(ask(2, URGENT, now))), []);
    assert_eq!(refused(&harness.ask(ask(3, URGENT, now))), [3], "a new request is refused");
    harness.progress(1, 1, 0);
    let mut orders = harness.finish(1, Outcome::Preempted);
    orders.extend(harness.ask(ask(4, URGENT, now)));
    assert_eq!((granted(&orders), refused(&orders)), (vec![(2, 0)], vec![]));
    assert_eq!(refused(&harness.ask(Ask { produced: 1, ..ask(1, BULK, now) })), []);
}

/// Guards against a request that is lost with the first of two connections over which its entry instance asked.
#[test]
fn an_ask_over_a_new_connection_outlives_the_old_one() {
    let mut harness = Harness::new(policy(), 1, 1);
    let now = harness.now;
    assert_eq!(granted(&harness.ask(ask(1, URGENT, now))), [(1, 0)]);
    harness.ask(Ask { produced: 5, entry: Entry(1), ..ask(2, URGENT, now) });
    harness.ask(Ask { produced: 5, entry: Entry(2), ..ask(2, URGENT, now) });
    harness.handle(Event::EntryGone(Entry(1)));
    assert_eq!(granted(&harness.finish(1, Outcome::Done)), [(2, 0)]);
    harness.handle(Event::EntryGone(Entry(2)));
    assert_eq!(harness.pool.running(), 0);
}

/// Guards against a request that asks again and gets no answer, since its dispatcher has granted it.
#[test]
fn a_request_that_asks_again_gets_its_grant_again() {
    let mut harness = Harness::new(policy(), 1, 2);
    let begun = |now| Ask { produced: 5, ..ask(1, URGENT, now) };
    let now = harness.now;
    assert_eq!(granted(&harness.ask(begun(now))), [(1, 0)]);
    assert_eq!(granted(&harness.ask(begun(now))), [(1, 0)]);
    assert_eq!(harness.pool.running(), 1);
    harness.progress(1, 6, 0);
    assert_eq!(granted(&harness.ask(begun(now))), [(1, 0)], "its attempt ended unnoticed");
    assert_eq!(harness.pool.running(), 1);
}

/// Guards against attempts that are preempted on a backend server that is down, which frees no slot.
#[test]
fn no_attempt_is_preempted_on_a_server_that_is_down() {
    let mut harness = Harness::new(policy(), 1, 4);
    let now = harness.now;
    harness.ask(ask(1, BULK, now));
    harness.ask(ask(2, URGENT, now));
    harness.ask(ask(3, URGENT, now));
    harness.progress(1, 1, 0);
    harness.now += 5 * SECOND;
    let mut orders = Vec::new();
    for id in [2, 3, 2] {
        orders.extend(harness.finish(id, Outcome::Failed));
        orders.extend(harness.ask(Ask { produced: 8, ..ask(id, URGENT, now) }));
    }
    let (_, server) = harness.pool.servers().next().expect("there is one");
    assert!(matches!(server.health(), Health::Down(..)));
    assert_eq!(preempted(&orders), []);
}

/// Guards against an answer that began elsewhere and is refused like a new request, since its dispatcher kept an ask
/// from before it began.
#[test]
fn an_answer_that_began_elsewhere_waits_like_one_that_has_begun() {
    let mut harness = Harness::new(policy(), 1, 1);
    let now = harness.now;
    assert_eq!(granted(&harness.ask(ask(1, URGENT, now))), [(1, 0)]);
    harness.progress(1, 1, 0);
    harness.ask(ask(2, URGENT, now));
    harness.ask(Ask { produced: 5, entry: Entry(2), ..ask(2, URGENT, now) });
    let mut orders = Vec::new();
    for produced in 2..60 {
        harness.progress(1, produced, 0);
        orders.extend(harness.advance(SECOND));
    }
    assert_eq!(refused(&orders), []);
    assert_eq!(granted(&harness.finish(1, Outcome::Done)), [(2, 0)]);
}

/// Guards against an attempt that is declared while its dispatcher still has it as waiting, and is granted again.
#[test]
fn a_declared_attempt_no_longer_waits() {
    let mut harness = Harness::new(policy(), 2, 1);
    let now = harness.now;
    assert_eq!(granted(&harness.ask(ask(1, URGENT, now))).len(), 1);
    assert_eq!(granted(&harness.ask(ask(2, URGENT, now))).len(), 1);
    harness.ask(ask(3, URGENT, now));
    harness.handle(Event::Declare(Ask { entry: Entry(2), ..ask(3, URGENT, now) }, Key(1)));
    assert_eq!((harness.pool.waiting(), harness.pool.running()), (0, 3));
    assert_eq!(granted(&harness.finish(1, Outcome::Done)), []);
    harness.finish(3, Outcome::Done);
    assert_eq!(harness.pool.running(), 1);
}

/// Guards against a preemption that is lost with the connection of its entry instance and counts as under way for as
/// long as the attempt runs, so that another urgent request gets no slot.
#[test]
fn a_repeated_grant_is_not_being_preempted() {
    let mut harness = Harness::new(policy(), 1, 1);
    let now = harness.now;
    assert_eq!(granted(&harness.ask(ask(1, BULK, now))), [(1, 0)]);
    harness.now += SECOND / 2;
    assert_eq!(preempted(&harness.ask(ask(2, URGENT, now))), [1]);
    let mut orders = harness.ask(Ask { entry: Entry(2), ..ask(1, BULK, now) });
    orders.extend(harness.advance(SECOND / 10));
    assert_eq!(granted(&orders), [(2, 0)], "the slot is free for the urgent request");
}

/// Guards against attempts that are preempted on a backend server that is down for requests that wait in its own queue.
#[test]
fn no_attempt_is_preempted_for_the_queue_of_a_server_that_is_down() {
    let mut harness = Harness::new(policy(), 1, 4);
    let now = harness.now;
    harness.ask(ask(1, BULK, now));
    for id in 2..=4 {
        harness.ask(ask(id, URGENT, now));
    }
    harness.progress(1, 1, 0);
    harness.progress(4, 0, 0);
    harness.now += 4 * SECOND;
    for id in [2, 3, 2] {
        harness.finish(id, Outcome::Failed);
        harness.ask(Ask { produced: 8, ..ask(id, URGENT, now) });
    }
    let (_, server) = harness.pool.servers().next().expect("there is one");
    assert!(matches!(server.health(), Health::Down(..)));
    let (server, as_of) = (Key(0), harness.now);
    harness.handle(Event::Load(Load { server, as_of, running: 2, waiting: 1, full: None }));
    assert_eq!(preempted(&harness.advance(SECOND / 10)), []);
}
