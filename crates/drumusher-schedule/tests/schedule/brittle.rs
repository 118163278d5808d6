//! Backend servers that fall over when they have to reject too many requests in a second.

use drumusher_schedule::{
    ask::Outcome,
    event::Event,
    order::Order,
    server::Key,
    time::{MILLISECOND, SECOND},
};

use crate::support::{Harness, URGENT, ask, granted, policy};

/// A server that bears some rejections has room for fewer requests than slots, and rejects the others 5 ms after their
/// grants. Returns the most rejections in a second, and the number of requests that it ran in ten seconds.
fn most_rejections(bearable: u32, room: usize) -> (usize, usize) {
    let mut harness = Harness::new(policy(), 1, 16);
    harness.handle(Event::Brittle(Key(0), bearable));
    let (mut running, mut rejected, mut pending) = (Vec::new(), Vec::new(), Vec::new());
    let (mut next, mut ran) = (1, 0);
    for step in 0..2_000 {
        harness.now += 5 * MILLISECOND;
        let now = harness.now;
        let mut orders: Vec<Order> = Vec::new();
        for id in std::mem::take(&mut pending) {
            rejected.push(now);
            orders.extend(harness.handle(Event::Finish(id, Outcome::Overloaded, 0)));
        }
        for id in running.extract_if(.., |(until, _)| now >= *until).map(|(_, id)| id) {
            ran += 1;
            orders.extend(harness.handle(Event::Finish(id, Outcome::Done, 0)));
        }
        if step % 20 == 0 {
            orders.extend(harness.handle(Event::Brittle(Key(0), bearable)));
        }
        for _ in 0..2 {
            orders.extend(harness.ask(ask(next, URGENT, now)));
            next += 1;
        }
        orders.extend(harness.handle(Event::Tick));
        for (id, _) in granted(&orders) {
            match running.len() < room {
                true => running.push((now + 100 * MILLISECOND, id)),
                false => pending.push(id),
            }
        }
    }
    let within =
        |at: &u64| rejected.iter().filter(|other| (*at..at + SECOND).contains(other)).count();
    (rejected.iter().map(within).max().unwrap_or(0), ran)
}

#[test]
fn a_brittle_server_never_rejects_more_than_it_bears() {
    for bearable in [1, 2, 5] {
        for room in [1, 3, 16] {
            let (most, ran) = most_rejections(bearable, room);
            assert!(most <= bearable as usize, "{most} of {bearable}, room for {room}");
            assert!(ran > 40 * room.min(4), "{ran} ran, room for {room}");
        }
    }
}
