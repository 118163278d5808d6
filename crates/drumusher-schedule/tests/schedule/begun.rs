//! Requests whose answer has begun: what is refused to new requests must not cut them.

use drumusher_schedule::{
    ask::{Ask, Entry, Outcome},
    event::Event,
};

use crate::support::{Harness, URGENT, ask, granted, policy};

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
