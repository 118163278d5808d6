//! Backend servers that want a rest from one entry.

use drumusher_schedule::{
    ask::{Ask, Entry},
    event::Event,
    order::{Order, Refusal},
    server::Key,
    time::{MILLISECOND, Micros, SECOND},
};

use crate::support::{Bench, URGENT, ask, granted, policy, refused};

fn ask_by(entry: u32, id: u128, now: Micros) -> Ask {
    Ask { entry: Entry(entry), ..ask(id, URGENT, now) }
}

/// Others go on, the entry gets other servers, and everything after the rest.
#[test]
fn it_binds_its_entry_and_ends() {
    let mut bench = Bench::new(policy(), 2, 4);
    let now = bench.now;
    bench.tell(Event::Cooldown(Entry(1), Key(0), now + 3 * SECOND));
    for id in 1..=4 {
        assert_eq!(granted(&bench.ask(ask_by(1, id, now))), [(id, 1)]);
    }
    assert_eq!(granted(&bench.ask(ask_by(1, 5, now))), [], "the other one is full");
    assert_eq!(
        granted(&bench.ask(ask_by(2, 6, now))),
        [(6, 0)],
        "it goes before one that has no place"
    );
    bench.now += 3 * SECOND;
    assert_eq!(granted(&bench.tell(Event::Tick)), [(5, 0)]);
}

/// Of two ends the later one holds.
#[test]
fn the_later_end_holds() {
    let mut bench = Bench::new(policy(), 1, 4);
    let now = bench.now;
    bench.tell(Event::Cooldown(Entry(1), Key(0), now + 2 * SECOND));
    bench.tell(Event::Cooldown(Entry(1), Key(0), now + SECOND));
    bench.ask(ask_by(1, 1, now));
    bench.now += 1_500 * MILLISECOND;
    assert_eq!(granted(&bench.tell(Event::Tick)), []);
    bench.now += 600 * MILLISECOND;
    assert_eq!(granted(&bench.tell(Event::Tick)), [(1, 0)]);
}

/// All servers rest from one entry for longer than its requests may wait: they are refused at once, also those that wait
/// already, with the time that is left. Others are served.
#[test]
fn where_all_rest_the_entry_is_refused_with_the_time_left() {
    let mut policy = policy();
    policy.classes.iter_mut().for_each(|class| class.wait = 2 * SECOND);
    let mut bench = Bench::new(policy, 2, 1);
    let now = bench.now;
    bench.ask(ask_by(2, 1, now));
    bench.ask(ask_by(2, 2, now));
    assert_eq!(granted(&bench.ask(ask_by(1, 3, now))), []);
    for key in 0..2 {
        bench.tell(Event::Cooldown(Entry(1), Key(key), now + 4 * SECOND + u64::from(key)));
    }
    bench.now += 100 * MILLISECOND;
    assert_eq!(refused(&bench.tell(Event::Tick)), [3]);
    let now = bench.now;
    let orders = bench.ask(ask_by(1, 4, now));
    let Some(Order::Refuse { refusal: Refusal::NoServer, retry_after, .. }) = orders.first() else {
        panic!("{orders:?}");
    };
    assert_eq!(*retry_after, 3_900 * MILLISECOND);
    assert_eq!(refused(&bench.ask(ask_by(2, 5, now))), []);
}

/// An entry that is gone is forgotten with its rests.
#[test]
fn an_entry_that_is_gone_leaves_no_rest() {
    let mut bench = Bench::new(policy(), 1, 4);
    let now = bench.now;
    bench.tell(Event::Cooldown(Entry(1), Key(0), now + 60 * SECOND));
    bench.tell(Event::EntryGone(Entry(1)));
    assert_eq!(granted(&bench.ask(ask_by(1, 1, now))), [(1, 0)]);
}
