//! Backend servers that pause for a while, and the requests that wait for them.

use drumusher_schedule::{
    ask::{Ask, Outcome},
    event::{Event, Load},
    policy::Policy,
    server::{Health, Key},
    time::{MILLISECOND, SECOND},
};

use rstest::rstest;

use crate::support::{BULK, Harness, URGENT, ask, granted, policy, refused};

/// Streams that one pause breaks.
const STREAMS: u128 = 16;
/// Longest time until the first probe of a backend server that works again.
const FIRST_PROBE: u64 = SECOND;

fn health(harness: &Harness, server: u16) -> Health {
    let mut servers = harness.pool.servers();
    servers.find(|(key, _)| *key == Key(server)).expect("there is one").1.health()
}

/// Starts streams and breaks all of them at once; each is submitted again immediately. Returns the
/// requests granted again.
fn break_streams(harness: &mut Harness) -> Vec<u128> {
    let now = harness.now;
    for id in 0..STREAMS {
        assert_eq!(granted(&harness.ask(ask(id, URGENT, now))).len(), 1);
        harness.progress(id, 1, 0);
    }
    harness.now += 5 * SECOND;
    let mut orders = Vec::new();
    for id in 0..STREAMS {
        orders.extend(harness.finish(id, Outcome::Failed));
        orders.extend(harness.ask(Ask { produced: 8, ..ask(id, URGENT, now) }));
    }
    orders.extend(harness.advance(50 * MILLISECOND));
    assert_eq!(refused(&orders), Vec::<u128>::new());
    granted(&orders).into_iter().map(|(id, _)| id).collect()
}

/// Guards against a backoff that doubles with each stream that one pause breaks.
#[test]
fn streams_broken_by_one_pause_count_as_one_failure() {
    let mut harness = Harness::new(policy(), 1, STREAMS as u32);
    let regranted = break_streams(&mut harness);
    let mut orders = Vec::new();
    for id in regranted {
        orders.extend(harness.finish(id, Outcome::Done));
    }
    orders.extend(harness.advance(FIRST_PROBE));
    assert_eq!(refused(&orders), Vec::<u128>::new());
    assert!(!granted(&orders).is_empty(), "{:?}", health(&harness, 0));
}

/// Guards against a backend server that stays down while an attempt on it produces tokens, so that
/// other requests wait until that attempt ends.
#[test]
fn tokens_after_the_pause_end_the_outage() {
    let mut harness = Harness::new(policy(), 1, STREAMS as u32);
    let regranted = break_streams(&mut harness);
    let [first] = regranted[..] else { panic!("{regranted:?}") };
    harness.progress(first, 9, 5 * MILLISECOND);
    assert!(
        matches!(health(&harness, 0), Health::Down(..)),
        "the tokens may be from before the failures"
    );
    harness.advance(FIRST_PROBE);
    let orders = harness.progress(first, 10, 5 * MILLISECOND);
    assert_eq!(granted(&orders).len(), STREAMS as usize - 1);
    assert_eq!(health(&harness, 0), Health::Good);
}

/// Guards against attempts that began before an outage and lengthen its pauses when they end late.
#[test]
fn attempts_from_before_an_outage_do_not_lengthen_it() {
    let mut harness = Harness::new(policy(), 1, 4);
    let now = harness.now;
    for id in 0..4 {
        harness.ask(ask(id, URGENT, now));
    }
    harness.finish(0, Outcome::ConnectFailed);
    harness.finish(1, Outcome::ConnectFailed);
    let Health::Down(until, pause) = health(&harness, 0) else {
        panic!("{:?}", health(&harness, 0));
    };
    harness.now += 100 * MILLISECOND;
    harness.finish(2, Outcome::Failed);
    harness.finish(3, Outcome::Failed);
    assert_eq!(health(&harness, 0), Health::Down(until, pause));
    harness.now = until;
    let now = harness.now;
    assert_eq!(granted(&harness.ask(ask(9, URGENT, now))), [(9, 0)], "the probe");
    harness.finish(9, Outcome::ConnectFailed);
    assert_eq!(health(&harness, 0), Health::Down(now + 2 * pause, 2 * pause));
}

/// A pool whose only backend server failed so many probes that new requests are refused, and when it went down.
fn long_outage(policy: Policy, outcome: Outcome) -> (Harness, u64) {
    let mut harness = Harness::new(policy, 1, 4);
    for id in 0..2 {
        let now = harness.now;
        harness.ask(ask(id, URGENT, now));
        harness.finish(id, outcome);
    }
    let began = harness.now;
    let mut down_for = health(&harness, 0).down_for().expect("it failed twice");
    for id in 2..5 {
        harness.ask(ask(id, URGENT, harness.now));
        harness.advance(down_for + 100 * MILLISECOND);
        harness.finish(id, outcome);
        down_for = health(&harness, 0).down_for().expect("it failed each probe");
    }
    assert!(down_for > 2 * SECOND, "{down_for}");
    (harness, began)
}

/// Guards against a stream that is cut midway because its backend server is down for longer than its class waits, and
/// against one that waits for ever. It probes a backend server that takes no connection every two seconds. New requests
/// are refused at once with the time to retry.
#[test]
fn an_answer_that_has_begun_outlives_an_outage_of_a_minute() {
    let mut policy = policy();
    policy.classes[usize::from(URGENT)].wait = 10 * SECOND;
    let (mut harness, began) = long_outage(policy, Outcome::ConnectFailed);
    while harness.now < began + 60 * SECOND {
        let now = harness.now;
        assert_eq!(refused(&harness.ask(ask(10, URGENT, now))), [10]);
        let mut orders = harness.ask(Ask { produced: 8, ..ask(11, URGENT, now) });
        orders.extend(harness.advance(2_100 * MILLISECOND));
        assert_eq!((granted(&orders), refused(&orders)), (vec![(11, 0)], vec![]));
        harness.finish(11, Outcome::ConnectFailed);
    }
    harness.now = began + 65 * SECOND;
    let now = harness.now;
    assert_eq!(refused(&harness.ask(Ask { produced: 8, ..ask(11, URGENT, now) })), [11]);
}

/// Guards against a backend server that stays down after an early probe got tokens, until the whole pause is over.
#[test]
fn tokens_of_an_early_probe_end_the_outage() {
    let (mut harness, _) = long_outage(policy(), Outcome::ConnectFailed);
    let now = harness.now;
    harness.ask(Ask { produced: 8, ..ask(11, URGENT, now) });
    assert_eq!(granted(&harness.advance(2_100 * MILLISECOND)), [(11, 0)]);
    harness.progress(11, 9, 5 * MILLISECOND);
    assert_eq!(health(&harness, 0), Health::Good);
    let now = harness.now;
    assert_eq!(granted(&harness.ask(ask(12, URGENT, now))), [(12, 0)]);
}

/// Guards against a begun request that fails a backend server each time it arrives there, and arrives more often than a
/// new one would.
#[test]
fn a_backend_server_that_fails_requests_is_probed_after_its_whole_pause() {
    let (mut harness, began) = long_outage(policy(), Outcome::Failed);
    let mut probes = 0;
    let now = harness.now;
    harness.ask(Ask { produced: 8, ..ask(11, URGENT, now) });
    while harness.now < began + 60 * SECOND {
        if !granted(&harness.advance(50 * MILLISECOND)).is_empty() {
            probes += 1;
            harness.finish(11, Outcome::Failed);
            let now = harness.now;
            harness.ask(Ask { produced: 8, ..ask(11, URGENT, now) });
        }
    }
    assert_eq!(probes, 4, "after 4, 8, 15 and 15 seconds");
}

/// Guards against new requests that are refused for seconds after their backend server is back.
#[test]
fn a_backend_server_that_answers_queries_again_is_probed_at_once() {
    let (mut harness, _) = long_outage(policy(), Outcome::ConnectFailed);
    let load = |harness: &Harness| {
        Event::Load(Load { server: Key(0), as_of: harness.now, running: 0, waiting: 0, full: None })
    };
    harness.handle(load(&harness));
    let now = harness.now;
    assert_eq!(
        refused(&harness.ask(ask(10, URGENT, now))),
        [10],
        "it answered queries all the time"
    );
    harness.handle(Event::Unreachable(Key(0)));
    assert_eq!(refused(&harness.ask(ask(11, URGENT, now))), [11], "it is not back");
    harness.handle(load(&harness));
    assert_eq!(granted(&harness.ask(ask(12, URGENT, now))), [(12, 0)]);
    let orders = harness.ask(ask(13, URGENT, now));
    assert_eq!((granted(&orders), refused(&orders)), (vec![], vec![]), "it waits for the probe");
}

/// Guards against one pause that makes its backend server an outlier, which then needs several
/// successful probes in a row.
#[test]
fn a_pause_does_not_make_an_outlier() {
    let mut harness = Harness::new(policy(), 4, 32);
    let now = harness.now;
    for id in 0..4 * STREAMS {
        assert_eq!(granted(&harness.ask(ask(id, URGENT, now))).len(), 1);
    }
    let running = harness.pool.iter_running().map(|running| (running.ask.id, running.server));
    let running: Vec<(u128, Key)> = running.collect();
    for (id, server) in running {
        let outcome = if server == Key(0) { Outcome::Failed } else { Outcome::Done };
        harness.finish(id, outcome);
    }
    harness.advance(FIRST_PROBE);
    let now = harness.now;
    let probe = granted(&harness.ask(ask(100, BULK, now)));
    assert_eq!(probe, [(100, 0)], "{:?}", health(&harness, 0));
    harness.finish(100, Outcome::Done);
    harness.advance(100 * MILLISECOND);
    assert_eq!(health(&harness, 0), Health::Good);
}

/// Longest wait of the class in the tests of waiting.
const WAIT: u64 = 2 * SECOND;

/// A pool whose two slots are taken for long, with a waiting stream that broke midway.
fn full_pool_with_broken_stream() -> Harness {
    let mut policy = policy();
    policy.classes[usize::from(URGENT)].wait = WAIT;
    let mut harness = Harness::new(policy, 1, 2);
    let now = harness.now;
    for id in 0..2 {
        assert_eq!(granted(&harness.ask(ask(id, URGENT, now))).len(), 1);
        harness.progress(id, 1, 0);
    }
    assert_eq!(refused(&harness.ask(Ask { produced: 68, ..ask(10, URGENT, now) })), []);
    harness
}

/// Guards against a stream that is cut midway because it waited as long as a new request may.
#[test]
fn an_answer_that_has_begun_may_wait_longer_than_its_class_allows() {
    let mut harness = full_pool_with_broken_stream();
    let now = harness.now;
    harness.ask(ask(11, URGENT, now));
    assert_eq!(refused(&harness.advance(2 * WAIT)), [11], "a new request is refused");
    assert_eq!(granted(&harness.finish(0, Outcome::Done)), [(10, 0)]);
}

/// Guards against a stream that is cut midway to keep the queue of its tier short.
#[test]
fn an_answer_that_has_begun_is_not_shed_for_new_ones() {
    let mut harness = full_pool_with_broken_stream();
    let mut orders = Vec::new();
    for id in 11..211 {
        let now = harness.now;
        orders.extend(harness.ask(ask(id, URGENT, now)));
        orders.extend(harness.ask(Ask { produced: 1, ..ask(1_000 + id, URGENT, now) }));
    }
    let refused = refused(&orders);
    assert!(!refused.is_empty(), "the queue is too long");
    assert!(refused.iter().all(|id| (11..211).contains(id)), "{refused:?}");
}

/// Time at which a pool whose only server refuses every attempt first refuses one of twelve begun streams, since its
/// connections broke; at most a minute. Each stream asks again at once. Also returns the pauses before the probes.
fn first_refusal_of_begun_streams(wait: u64) -> (Option<u64>, Vec<u64>) {
    let mut policy = policy();
    policy.classes[usize::from(URGENT)].wait = wait;
    let mut harness = Harness::new(policy, 1, STREAMS as u32);
    let start = harness.now;
    for id in 0..12 {
        assert_eq!(granted(&harness.ask(ask(id, URGENT, start))).len(), 1);
        harness.progress(id, 1, 0);
    }
    let begun = |id| Ask { produced: 100, ..ask(id, URGENT, start) };
    let mut failed: Vec<u128> = (0..12).collect();
    let mut pauses = Vec::new();
    while harness.now < start + 60 * SECOND {
        let mut orders = Vec::new();
        for id in std::mem::take(&mut failed) {
            orders.extend(harness.finish(id, Outcome::Failed));
            orders.extend(harness.ask(begun(id)));
        }
        if let Some(pause) = health(&harness, 0).down_for()
            && pauses.last() != Some(&pause)
        {
            pauses.push(pause);
        }
        orders.extend(harness.advance(50 * MILLISECOND));
        if !refused(&orders).is_empty() {
            return (Some(harness.now - start), pauses);
        }
        failed = granted(&orders).into_iter().map(|(id, _)| id).collect();
    }
    (None, pauses)
}

/// Guards against begun streams that are refused, and so cut, while an outage may still end within a minute.
#[rstest]
#[case::five_seconds(5 * SECOND)]
#[case::ten_seconds(10 * SECOND)]
#[case::thirty_seconds(30 * SECOND)]
fn begun_streams_are_not_refused_in_an_outage_of_a_minute(#[case] wait: u64) {
    let (refused_at, pauses) = first_refusal_of_begun_streams(wait);
    assert_eq!(refused_at, None, "pauses {pauses:?}");
}
