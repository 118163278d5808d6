//! Backend servers with a rate limit.

use drumusher_schedule::{
    ask::Outcome,
    event::Event,
    order::{Order, Refusal},
    server::Key,
    time::{MILLISECOND, Micros, SECOND},
};
use rstest::rstest;

use crate::support::{BULK, Harness, URGENT, ask, granted, policy, preempted, refused};

/// Submits requests at a rate for some time, each answered after 20 ms. Returns the time and the
/// server of each grant.
fn submit_at_rate(harness: &mut Harness, per_second: u64, time: Micros) -> Vec<(Micros, Key)> {
    let (mut grants, mut running) = (Vec::new(), Vec::new());
    let end = harness.now + time;
    for id in 1.. {
        if harness.now >= end {
            return grants;
        }
        let mut orders = harness.ask(ask(id, URGENT, harness.now));
        orders.extend(harness.handle(Event::Tick));
        let due = running.extract_if(.., |(at, _): &mut (Micros, u128)| *at <= harness.now);
        for (_, id) in due.collect::<Vec<_>>() {
            orders.extend(harness.finish(id, Outcome::Done));
        }
        for (id, server) in granted(&orders) {
            grants.push((harness.now, Key(server)));
            running.push((harness.now + 20 * MILLISECOND, id));
        }
        harness.now += SECOND / per_second;
    }
    grants
}

/// The most grants of a server in any four seconds.
fn max_grants(grants: &[(Micros, Key)], key: Key) -> usize {
    let of_key = grants.iter().filter(|(_, granted)| *granted == key).map(|(at, _)| *at);
    let of_key: Vec<Micros> = of_key.collect();
    let counts = of_key.iter().map(|from| {
        let until = from + 4 * SECOND;
        of_key.iter().filter(|at| (*from..until).contains(*at)).count()
    });
    counts.max().unwrap_or(0)
}

/// A limited server gets at most its rate and hardly less, while another one takes the rest.
#[rstest]
#[case(0.0)]
#[case(0.2)]
#[case(1.4)]
#[case(3.7)]
#[case(25.0)]
fn a_rate_limit_is_kept_and_fully_used(#[case] limit: f64) {
    let mut harness = Harness::new(policy(), 2, 8);
    harness.handle(Event::RateLimit(Key(0), Some(limit)));
    let grants = submit_at_rate(&mut harness, 60, 20 * SECOND);
    let max_grants = max_grants(&grants, Key(0)) as f64;
    assert!(max_grants <= 1.5 * limit * 4.0 + 5.0, "{max_grants} in 4 s");
    let got = grants.iter().filter(|(_, key)| *key == Key(0)).count() as f64;
    assert!(got >= (limit * 20.0 * 0.9).floor() - 1.0, "{got} of {}", limit * 20.0);
    assert!(grants.len() >= 1_100, "the other one takes the rest: {}", grants.len());
}

/// A limit above the demand delays nothing, and lifting a limit takes effect at once.
#[test]
fn a_high_limit_and_a_lifted_one_delay_nothing() {
    let mut harness = Harness::new(policy(), 1, 8);
    harness.handle(Event::RateLimit(Key(0), Some(1_000.0)));
    assert!(submit_at_rate(&mut harness, 60, 5 * SECOND).len() >= 280);
    harness.handle(Event::RateLimit(Key(0), Some(0.0)));
    assert!(submit_at_rate(&mut harness, 60, 2 * SECOND).len() <= 1);
    let waiting = harness.pool.waiting();
    let freed = harness.handle(Event::RateLimit(Key(0), None));
    assert!(waiting == 0 || !granted(&freed).is_empty());
}

/// With a limit on all servers, the most urgent request goes first, and one that would wait too
/// long is refused at once, with a time that follows from the sum of the limits.
#[test]
fn with_all_servers_limited_a_request_that_would_wait_too_long_is_refused_at_once() {
    let mut policy = policy();
    policy.classes.iter_mut().for_each(|class| class.wait = 5 * SECOND);
    policy.classes.iter_mut().for_each(|class| class.floor_queue = 0);
    let mut harness = Harness::new(policy, 2, 8);
    (0..2).for_each(|key| drop(harness.handle(Event::RateLimit(Key(key), Some(1.0)))));
    let now = harness.now;
    for id in 1..=10 {
        assert_eq!(
            refused(&harness.ask(ask(id, URGENT, now))),
            [],
            "ten can wait 5 s at two per second"
        );
    }
    let orders = harness.ask(ask(11, URGENT, now));
    let Some(Order::Refuse { refusal, retry_after, .. }) = orders.first() else {
        panic!("{orders:?}");
    };
    assert_eq!(*refusal, Refusal::WaitBound);
    assert!((4 * SECOND..=7 * SECOND).contains(retry_after), "{retry_after}");
    harness.now += 1_100 * MILLISECOND;
    let first = granted(&harness.handle(Event::Tick));
    assert_eq!(first.len(), 2, "{first:?}");
}

/// Attempts on limited servers are not preempted for a higher tier, since that frees no capacity.
#[test]
fn attempts_on_rate_limited_servers_are_not_preempted() {
    let mut harness = Harness::new(policy(), 1, 4);
    let now = harness.now;
    (1..=2).for_each(|id| drop(harness.ask(ask(id, BULK, now))));
    harness.handle(Event::RateLimit(Key(0), Some(0.2)));
    harness.ask(ask(3, URGENT, now));
    harness.now += 3 * SECOND;
    assert_eq!(preempted(&harness.handle(Event::Tick)), []);
}
