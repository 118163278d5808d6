//! Backend servers that take a limited number of requests a second.

use drumusher_schedule::{
    ask::Outcome,
    event::Event,
    order::{Order, Refusal},
    server::Key,
    time::{MILLISECOND, Micros, SECOND},
};
use rstest::rstest;

use crate::support::{BULK, Bench, URGENT, ask, granted, policy, refused, stopped};

/// Asks for a time at a rate, each answered after a while. Returns who was granted where, and when.
fn ask_at(bench: &mut Bench, per_second: u64, time: Micros) -> Vec<(Micros, Key)> {
    let (mut grants, mut running) = (Vec::new(), Vec::new());
    let end = bench.now + time;
    for id in 1.. {
        if bench.now >= end {
            return grants;
        }
        let mut orders = bench.ask(ask(id, URGENT, bench.now));
        orders.extend(bench.tell(Event::Tick));
        let due = running.extract_if(.., |(at, _): &mut (Micros, u128)| *at <= bench.now);
        for (_, id) in due.collect::<Vec<_>>() {
            orders.extend(bench.finish(id, Outcome::Done));
        }
        for (id, server) in granted(&orders) {
            grants.push((bench.now, Key(server)));
            running.push((bench.now + 20 * MILLISECOND, id));
        }
        bench.now += SECOND / per_second;
    }
    grants
}

/// The most grants of a server in any four seconds.
fn most(grants: &[(Micros, Key)], key: Key) -> usize {
    let of_key = grants.iter().filter(|(_, granted)| *granted == key).map(|(at, _)| *at);
    let of_key: Vec<Micros> = of_key.collect();
    let counts = of_key.iter().map(|from| {
        let until = from + 4 * SECOND;
        of_key.iter().filter(|at| (*from..until).contains(*at)).count()
    });
    counts.max().unwrap_or(0)
}

/// It gets what it takes, no more and hardly less, while another one takes the rest.
#[rstest]
#[case(0.0)]
#[case(0.2)]
#[case(1.4)]
#[case(3.7)]
#[case(25.0)]
fn a_limit_is_kept_and_used_in_full(#[case] limit: f64) {
    let mut bench = Bench::new(policy(), 2, 8);
    bench.tell(Event::RateLimit(Key(0), Some(limit)));
    let grants = ask_at(&mut bench, 60, 20 * SECOND);
    let most = most(&grants, Key(0)) as f64;
    assert!(most <= 1.5 * limit * 4.0 + 5.0, "{most} in 4 s");
    let got = grants.iter().filter(|(_, key)| *key == Key(0)).count() as f64;
    assert!(got >= (limit * 20.0 * 0.9).floor() - 1.0, "{got} of {}", limit * 20.0);
    assert!(grants.len() >= 1_100, "the other one takes the rest: {}", grants.len());
}

/// Limits beyond what comes hold up nothing, and one that ends is over at once.
#[test]
fn a_high_limit_and_an_ended_one_hold_up_nothing() {
    let mut bench = Bench::new(policy(), 1, 8);
    bench.tell(Event::RateLimit(Key(0), Some(1_000.0)));
    assert!(ask_at(&mut bench, 60, 5 * SECOND).len() >= 280);
    bench.tell(Event::RateLimit(Key(0), Some(0.0)));
    assert!(ask_at(&mut bench, 60, 2 * SECOND).len() <= 1);
    let waiting = bench.pool.waiting();
    let freed = bench.tell(Event::RateLimit(Key(0), None));
    assert!(waiting == 0 || !granted(&freed).is_empty());
}

/// All servers are limited: who is most pressing goes first, and who would wait too long is told so at once, with a time
/// that follows from the sum of the limits.
#[test]
fn where_all_are_limited_who_waits_too_long_is_told_at_once() {
    let mut policy = policy();
    policy.classes.iter_mut().for_each(|class| class.wait = 5 * SECOND);
    policy.classes.iter_mut().for_each(|class| class.floor_queue = 0);
    let mut bench = Bench::new(policy, 2, 8);
    (0..2).for_each(|key| drop(bench.tell(Event::RateLimit(Key(key), Some(1.0)))));
    let now = bench.now;
    for id in 1..=10 {
        assert_eq!(
            refused(&bench.ask(ask(id, URGENT, now))),
            [],
            "ten can wait 5 s at two a second"
        );
    }
    let orders = bench.ask(ask(11, URGENT, now));
    let Some(Order::Refuse { refusal, retry_after, .. }) = orders.first() else {
        panic!("{orders:?}");
    };
    assert_eq!(*refusal, Refusal::WaitBound);
    assert!((4 * SECOND..=7 * SECOND).contains(retry_after), "{retry_after}");
    bench.now += 1_100 * MILLISECOND;
    let first = granted(&bench.tell(Event::Tick));
    assert_eq!(first.len(), 2, "{first:?}");
}

/// What runs on limited servers is not stopped for a higher tier, since that makes no room.
#[test]
fn nothing_is_stopped_where_that_makes_no_room() {
    let mut bench = Bench::new(policy(), 1, 4);
    let now = bench.now;
    (1..=2).for_each(|id| drop(bench.ask(ask(id, BULK, now))));
    bench.tell(Event::RateLimit(Key(0), Some(0.2)));
    bench.ask(ask(3, URGENT, now));
    bench.now += 3 * SECOND;
    assert_eq!(stopped(&bench.tell(Event::Tick)), []);
}
