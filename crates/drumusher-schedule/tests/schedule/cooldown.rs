//! Cooldowns: backend servers that asked to get no requests from one entry instance for a while.

use drumusher_schedule::{
    ask::{Ask, Entry},
    event::Event,
    order::{Order, Refusal},
    server::Key,
    time::{MILLISECOND, Micros, SECOND},
};

use crate::support::{Harness, URGENT, ask, granted, policy, refused};

fn ask_from(entry: u32, id: u128, now: Micros) -> Ask {
    Ask { entry: Entry(entry), ..ask(id, URGENT, now) }
}

/// Other entry instances are not affected; the entry instance gets other servers, and all of them
/// after the cooldown.
#[test]
fn a_cooldown_affects_only_its_entry_and_ends() {
    let mut harness = Harness::new(policy(), 2, 4);
    let now = harness.now;
    harness.handle(Event::Cooldown(Entry(1), Key(0), now + 3 * SECOND));
    for id in 1..=4 {
        assert_eq!(granted(&harness.ask(ask_from(1, id, now))), [(id, 1)]);
    }
    assert_eq!(granted(&harness.ask(ask_from(1, 5, now))), [], "the other one is full");
    assert_eq!(
        granted(&harness.ask(ask_from(2, 6, now))),
        [(6, 0)],
        "it goes before one that has no slot"
    );
    harness.now += 3 * SECOND;
    assert_eq!(granted(&harness.handle(Event::Tick)), [(5, 0)]);
}

/// Of two ends, the later one holds.
#[test]
fn the_later_end_of_two_cooldowns_holds() {
    let mut harness = Harness::new(policy(), 1, 4);
    let now = harness.now;
    harness.handle(Event::Cooldown(Entry(1), Key(0), now + 2 * SECOND));
    harness.handle(Event::Cooldown(Entry(1), Key(0), now + SECOND));
    harness.ask(ask_from(1, 1, now));
    harness.now += 1_500 * MILLISECOND;
    assert_eq!(granted(&harness.handle(Event::Tick)), []);
    harness.now += 600 * MILLISECOND;
    assert_eq!(granted(&harness.handle(Event::Tick)), [(1, 0)]);
}

/// If all servers are in cooldown for an entry instance for longer than its requests may wait, they
/// are refused at once with the remaining time, including those already waiting. Other entry
/// instances are served.
#[test]
fn with_all_servers_in_cooldown_requests_are_refused_with_the_remaining_time() {
    let mut policy = policy();
    policy.classes.iter_mut().for_each(|class| class.wait = 2 * SECOND);
    let mut harness = Harness::new(policy, 2, 1);
    let now = harness.now;
    harness.ask(ask_from(2, 1, now));
    harness.ask(ask_from(2, 2, now));
    assert_eq!(granted(&harness.ask(ask_from(1, 3, now))), []);
    for key in 0..2 {
        harness.handle(Event::Cooldown(Entry(1), Key(key), now + 4 * SECOND + u64::from(key)));
    }
    harness.now += 100 * MILLISECOND;
    assert_eq!(refused(&harness.handle(Event::Tick)), [3]);
    let now = harness.now;
    let orders = harness.ask(ask_from(1, 4, now));
    let Some(Order::Refuse { refusal: Refusal::NoServer, retry_after, .. }) = orders.first() else {
        panic!("{orders:?}");
    };
    assert_eq!(*retry_after, 3_900 * MILLISECOND);
    assert_eq!(refused(&harness.ask(ask_from(2, 5, now))), []);
}

/// The cooldowns of an entry instance that is gone are removed.
#[test]
fn an_entry_that_is_gone_leaves_no_cooldown() {
    let mut harness = Harness::new(policy(), 1, 4);
    let now = harness.now;
    harness.handle(Event::Cooldown(Entry(1), Key(0), now + 60 * SECOND));
    harness.handle(Event::EntryGone(Entry(1)));
    assert_eq!(granted(&harness.ask(ask_from(1, 1, now))), [(1, 0)]);
}
