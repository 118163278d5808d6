//! Backend servers that stand still for a while, and what becomes of those who wait for them.

use drumusher_schedule::{
    ask::{Ask, Outcome},
    server::{Health, Key},
    time::{MILLISECOND, SECOND},
};

use crate::support::{BULK, Bench, URGENT, ask, granted, policy, refused};

/// Streams that a pause breaks.
const STREAMS: u128 = 16;
/// Longest pause before the first probe of a backend server that works again.
const FIRST_PROBE: u64 = SECOND;

fn health(bench: &Bench, server: u16) -> Health {
    let mut servers = bench.pool.servers();
    servers.find(|(key, _)| *key == Key(server)).expect("there is one").1.health()
}

/// Starts streams and breaks all of them at one moment, each of which asks again at once.
fn pause(bench: &mut Bench) -> Vec<u128> {
    let now = bench.now;
    for id in 0..STREAMS {
        assert_eq!(granted(&bench.ask(ask(id, URGENT, now))).len(), 1);
        bench.progress(id, 1, 0);
    }
    bench.now += 5 * SECOND;
    let mut orders = Vec::new();
    for id in 0..STREAMS {
        orders.extend(bench.finish(id, Outcome::Failed));
        orders.extend(bench.ask(Ask { produced: 8, ..ask(id, URGENT, now) }));
    }
    orders.extend(bench.pass(50 * MILLISECOND));
    assert_eq!(refused(&orders), Vec::<u128>::new());
    granted(&orders).into_iter().map(|(id, _)| id).collect()
}

/// Guards against a backoff that doubles with each stream that one pause breaks.
#[test]
fn streams_broken_by_one_pause_are_one_failure() {
    let mut bench = Bench::new(policy(), 1, STREAMS as u32);
    let granted_again = pause(&mut bench);
    let mut orders = Vec::new();
    for id in granted_again {
        orders.extend(bench.finish(id, Outcome::Done));
    }
    orders.extend(bench.pass(FIRST_PROBE));
    assert_eq!(refused(&orders), Vec::<u128>::new());
    assert!(!granted(&orders).is_empty(), "{:?}", health(&bench, 0));
}

/// Guards against a backend server that counts as down while an attempt on it brings tokens, so that
/// others wait until that one ends.
#[test]
fn tokens_after_the_pause_show_that_it_is_over() {
    let mut bench = Bench::new(policy(), 1, STREAMS as u32);
    let granted_again = pause(&mut bench);
    let [first] = granted_again[..] else { panic!("{granted_again:?}") };
    bench.progress(first, 9, 5 * MILLISECOND);
    assert!(matches!(health(&bench, 0), Health::Down(..)), "tokens of before the failures");
    bench.pass(FIRST_PROBE);
    let orders = bench.progress(first, 10, 5 * MILLISECOND);
    assert_eq!(granted(&orders).len(), STREAMS as usize - 1);
    assert_eq!(health(&bench, 0), Health::Good);
}

/// Guards against attempts that began before an outage and lengthen its pauses when they end late.
#[test]
fn attempts_from_before_an_outage_do_not_lengthen_it() {
    let mut bench = Bench::new(policy(), 1, 4);
    let now = bench.now;
    for id in 0..4 {
        bench.ask(ask(id, URGENT, now));
    }
    bench.finish(0, Outcome::ConnectFailed);
    bench.finish(1, Outcome::ConnectFailed);
    let Health::Down(until, pause) = health(&bench, 0) else {
        panic!("{:?}", health(&bench, 0));
    };
    bench.now += 100 * MILLISECOND;
    bench.finish(2, Outcome::Failed);
    bench.finish(3, Outcome::Failed);
    assert_eq!(health(&bench, 0), Health::Down(until, pause));
    bench.now = until;
    let now = bench.now;
    assert_eq!(granted(&bench.ask(ask(9, URGENT, now))), [(9, 0)], "the probe");
    bench.finish(9, Outcome::ConnectFailed);
    assert_eq!(health(&bench, 0), Health::Down(now + 2 * pause, 2 * pause));
}

/// Guards against a stream that is cut midway although its class would bear the wait for the next
/// probe. A new request is told at once when to come back.
#[test]
fn an_answer_that_has_begun_waits_as_long_as_its_class_allows() {
    let mut policy = policy();
    policy.classes[usize::from(URGENT)].wait = 10 * SECOND;
    let mut bench = Bench::new(policy, 1, 4);
    for id in 0..2 {
        let now = bench.now;
        bench.ask(ask(id, URGENT, now));
        bench.finish(id, Outcome::ConnectFailed);
    }
    let mut down_for = health(&bench, 0).down_for().expect("it failed twice");
    for id in 2..5 {
        bench.ask(ask(id, URGENT, bench.now));
        bench.pass(down_for + 100 * MILLISECOND);
        bench.finish(id, Outcome::ConnectFailed);
        down_for = health(&bench, 0).down_for().expect("it failed each probe");
    }
    assert!(down_for > 2 * SECOND, "{down_for}");
    let now = bench.now;
    assert_eq!(refused(&bench.ask(ask(10, URGENT, now))), [10]);
    let begun = bench.ask(Ask { produced: 8, ..ask(11, URGENT, now) });
    assert_eq!(refused(&begun), Vec::<u128>::new());
    let orders = bench.pass(down_for + 100 * MILLISECOND);
    assert_eq!((granted(&orders), refused(&orders)), (vec![(11, 0)], vec![]));
    bench.finish(11, Outcome::ConnectFailed);
    let now = bench.now;
    let mut orders = bench.ask(Ask { produced: 8, ..ask(11, URGENT, now) });
    orders.extend(bench.pass(down_for * 2 + 100 * MILLISECOND));
    assert_eq!(granted(&orders), [(11, 0)], "eight seconds are within its bound");
    bench.finish(11, Outcome::ConnectFailed);
    let now = bench.now;
    let orders = bench.ask(Ask { produced: 8, ..ask(11, URGENT, now) });
    assert_eq!(refused(&orders), [11], "fifteen are not");
}

/// Guards against one pause that makes its backend server an outlier, which then has to pass
/// several probes in a row.
#[test]
fn a_pause_does_not_make_an_outlier() {
    let mut bench = Bench::new(policy(), 4, 32);
    let now = bench.now;
    for id in 0..4 * STREAMS {
        assert_eq!(granted(&bench.ask(ask(id, URGENT, now))).len(), 1);
    }
    let running = bench.pool.iter_running().map(|running| (running.ask.id, running.server));
    let running: Vec<(u128, Key)> = running.collect();
    for (id, server) in running {
        let outcome = if server == Key(0) { Outcome::Failed } else { Outcome::Done };
        bench.finish(id, outcome);
    }
    bench.pass(FIRST_PROBE);
    let now = bench.now;
    let probe = granted(&bench.ask(ask(100, BULK, now)));
    assert_eq!(probe, [(100, 0)], "{:?}", health(&bench, 0));
    bench.finish(100, Outcome::Done);
    bench.pass(100 * MILLISECOND);
    assert_eq!(health(&bench, 0), Health::Good);
}

/// Longest wait of the class of the tests on bounds of waiting.
const WAIT: u64 = 2 * SECOND;

/// A pool whose two places are taken for long, and which a stream that broke midway waits for.
fn full_with_one_begun() -> Bench {
    let mut policy = policy();
    policy.classes[usize::from(URGENT)].wait = WAIT;
    let mut bench = Bench::new(policy, 1, 2);
    let now = bench.now;
    for id in 0..2 {
        assert_eq!(granted(&bench.ask(ask(id, URGENT, now))).len(), 1);
        bench.progress(id, 1, 0);
    }
    assert_eq!(refused(&bench.ask(Ask { produced: 68, ..ask(10, URGENT, now) })), []);
    bench
}

/// Guards against a stream that is cut midway since it waited as long as a new request may.
#[test]
fn an_answer_that_has_begun_outlasts_the_wait_of_its_class() {
    let mut bench = full_with_one_begun();
    let now = bench.now;
    bench.ask(ask(11, URGENT, now));
    assert_eq!(refused(&bench.pass(2 * WAIT)), [11], "a new request comes back later");
    assert_eq!(granted(&bench.finish(0, Outcome::Done)), [(10, 0)]);
}

/// Guards against a stream that is cut midway to keep the queue of its tier short.
#[test]
fn an_answer_that_has_begun_is_not_shed_for_new_ones() {
    let mut bench = full_with_one_begun();
    let mut orders = Vec::new();
    for id in 11..211 {
        let now = bench.now;
        orders.extend(bench.ask(ask(id, URGENT, now)));
        orders.extend(bench.ask(Ask { produced: 1, ..ask(1_000 + id, URGENT, now) }));
    }
    let refused = refused(&orders);
    assert!(!refused.is_empty(), "the queue is too long");
    assert!(refused.iter().all(|id| (11..211).contains(id)), "{refused:?}");
}
