//! Notices of backend servers (leaving, rate limits, rest periods): how an instance stores them, and which grants it
//! withholds because of them.

use std::{sync::Arc, time::Instant};

use drumusher::{
    process::notices::{Answer, KnownLimit, Limit, Notices, Record, Withheld},
    version::{Backend, Directory, Pool},
};
use drumusher_platform::dialect::{Notice, Rate};
use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};
use rstest::rstest;

/// A time of the process clock.
const NOW: Micros = 1_000 * SECOND;
/// A grant by a dispatcher that knows of no limit.
const UNAWARE: KnownLimit = KnownLimit { limited: false, lifted: None };
/// A grant that its dispatcher counted against a limit.
const COUNTED: KnownLimit = KnownLimit { limited: true, lifted: None };

fn pool() -> Pool {
    Pool::Service("desk".into())
}

fn server(name: &str, started_ms: Option<u64>) -> Backend {
    Backend {
        name: name.into(),
        area: "r".into(),
        address: "127.0.0.1:1".into(),
        slots: 8,
        leaving: false,
        started_ms,
        availability_zone: "z".into(),
        version: "v1".into(),
        spot: false,
        warm_at: 0,
        evacuated: false,
    }
}

fn limit(milli: u32) -> Notice {
    Notice { limit: Some(Rate(milli)), ..Notice::default() }
}

fn leaving() -> Notice {
    Notice { leaving: true, ..Notice::default() }
}

fn rest(rest_ms: u64) -> Notice {
    Notice { rest_ms: Some(rest_ms), ..Notice::default() }
}

/// Records a response to a request that was sent 20 ms before, on a grant by a dispatcher that knew of no limit.
fn record_response(
    notices: &Notices,
    at: Micros,
    server: &Backend,
    notice: Notice,
) -> Option<Record> {
    record_response_on_grant(notices, at, server, (at - 20 * MILLISECOND, UNAWARE), notice)
}

/// Records a response to a request that was sent at `sent` on a grant with `known_limit`.
fn record_response_on_grant(
    notices: &Notices,
    at: Micros,
    server: &Backend,
    (sent, known_limit): (Micros, KnownLimit),
    notice: Notice,
) -> Option<Record> {
    notices.record_answer(at, &Answer { pool: &pool(), server, sent, known_limit, notice: &notice })
}

/// Why a request must not be sent to the server now, if so.
fn withheld_reason(
    notices: &Notices,
    at: Micros,
    server: &Backend,
    known_limit: KnownLimit,
) -> Option<Withheld> {
    notices.withheld(at, server, known_limit).map(|(reason, _)| reason)
}

/// A response without a notice is not stored.
#[test]
fn a_response_without_notice_is_not_stored() {
    let notices = Notices::default();
    assert!(record_response(&notices, NOW, &server("a", None), Notice::default()).is_none());
    assert!(notices.all_in_force(NOW).is_empty());
    assert_eq!(withheld_reason(&notices, NOW, &server("a", None), UNAWARE), None);
}

/// A server that is leaving gets no more requests, whatever its later responses say, until it restarts.
#[test]
fn a_leaving_server_stays_so_until_it_restarts() {
    let (notices, old, new) = (Notices::default(), server("a", Some(7)), server("a", Some(8)));
    assert!(
        record_response(&notices, NOW, &old, leaving()).is_some(),
        "the dispatcher is notified"
    );
    record_response(&notices, NOW + SECOND, &old, Notice::default());
    assert_eq!(
        withheld_reason(&notices, NOW + 600 * SECOND, &old, COUNTED),
        Some(Withheld::Leaving)
    );
    assert_eq!(withheld_reason(&notices, NOW, &new, UNAWARE), None);
    record_response(&notices, NOW + SECOND, &new, limit(1_000));
    assert_eq!(withheld_reason(&notices, NOW + SECOND, &new, COUNTED), None);
    assert!(
        record_response(&notices, NOW + 2 * SECOND, &old, leaving()).is_none(),
        "the notice is from before the restart"
    );
    assert_eq!(withheld_reason(&notices, NOW + 2 * SECOND, &new, COUNTED), None);
}

/// A leaving server is remembered while its entry is missing, in case the entry is written again as if the server were
/// ready. It is forgotten after a long time without an entry.
#[test]
fn a_leaving_server_is_remembered_while_its_entry_is_missing() {
    let (notices, server) = (Notices::default(), server("a", None));
    record_response(&notices, NOW, &server, leaving());
    notices.keep_listed(NOW + 60 * SECOND, &Directory::default());
    assert_eq!(
        withheld_reason(&notices, NOW + 60 * SECOND, &server, UNAWARE),
        Some(Withheld::Leaving)
    );
    notices.keep_listed(NOW + 3_600 * SECOND, &Directory::default());
    assert!(notices.all_in_force(NOW).is_empty(), "it is forgotten after an hour without an entry");
}

/// A rest period lasts as long as the server asked for; of two the one that ends later applies.
#[rstest]
#[case(&[3_000], 3_000)]
#[case(&[250], 250)]
#[case(&[0], 0)]
#[case(&[3_000, 1_000], 3_000)]
#[case(&[1_000, 3_000], 3_000)]
#[case(&[86_400_000], 86_400_000)]
fn a_rest_period_lasts_as_asked_for(#[case] rests: &[u64], #[case] holds_ms: u64) {
    let (notices, server) = (Notices::default(), server("a", None));
    for rest_ms in rests {
        record_response(&notices, NOW, &server, rest(*rest_ms));
    }
    let end = NOW + holds_ms * MILLISECOND;
    let before = withheld_reason(&notices, end - 1, &server, COUNTED);
    assert_eq!(before, (holds_ms > 0).then_some(Withheld::Resting(1)));
    assert_eq!(withheld_reason(&notices, end, &server, UNAWARE), None);
}

/// A grant that was not counted against a known limit is withheld, unless its dispatcher knows that the limit has been
/// lifted since.
#[test]
fn a_limit_permits_counted_grants() {
    let (notices, server) = (Notices::default(), server("a", None));
    record_response(&notices, NOW, &server, limit(1_400));
    assert_eq!(withheld_reason(&notices, NOW, &server, UNAWARE), Some(Withheld::Limited));
    assert_eq!(withheld_reason(&notices, NOW, &server, COUNTED), None);
    let before = KnownLimit { limited: false, lifted: Some(NOW - SECOND) };
    assert_eq!(withheld_reason(&notices, NOW, &server, before), Some(Withheld::Limited));
    let after = KnownLimit { limited: false, lifted: Some(NOW + 2 * SECOND) };
    assert_eq!(withheld_reason(&notices, NOW + 3 * SECOND, &server, after), None);
    assert!(notices.all_in_force(NOW + 3 * SECOND).is_empty(), "the instance knows it from now on");
}

/// A response without a limit lifts a known one, unless its request was sent before or just after the limit was
/// announced, since responses may arrive out of order. A malformed notice lifts nothing.
#[rstest]
#[case(Notice::default(), NOW - SECOND, false)]
#[case(Notice::default(), NOW + 500 * MILLISECOND, false)]
#[case(Notice::default(), NOW + 1_500 * MILLISECOND, true)]
#[case(Notice { malformed: true, ..Notice::default() }, NOW + 1_500 * MILLISECOND, false)]
fn what_lifts_a_limit(#[case] notice: Notice, #[case] sent: Micros, #[case] lifted: bool) {
    let (notices, server) = (Notices::default(), server("a", None));
    record_response(&notices, NOW, &server, limit(0));
    let reported =
        record_response_on_grant(&notices, NOW + 2 * SECOND, &server, (sent, COUNTED), notice);
    assert_eq!(withheld_reason(&notices, NOW + 2 * SECOND, &server, UNAWARE).is_none(), lifted);
    assert!(!lifted || reported.is_some_and(|record| record.limit.lifted() == Some(sent)));
}

/// If a dispatcher counted a grant against a limit that this instance doesn't know, a response without a limit is
/// reported to that dispatcher.
#[test]
fn a_missing_limit_is_reported_to_the_dispatcher() {
    let (notices, server) = (Notices::default(), server("a", None));
    let reported = record_response_on_grant(
        &notices,
        NOW,
        &server,
        (NOW - SECOND, COUNTED),
        Notice::default(),
    );
    assert_eq!(reported.and_then(|record| record.limit.lifted()), Some(NOW - SECOND));
}

/// A limit that a thousand responses repeat within a second is reported at most four times.
#[test]
fn reports_of_an_unchanged_limit_are_rate_limited() {
    let (notices, server) = (Notices::default(), server("a", None));
    let reported = (0..1_000).filter(|at| {
        record_response(&notices, NOW + at * MILLISECOND, &server, limit(5_000)).is_some()
    });
    assert!(reported.count() <= 4);
    let changed = record_response(&notices, NOW + SECOND, &server, limit(200));
    assert!(changed.is_some(), "a change is reported at once");
}

/// The number of stored notices is bounded; the oldest are dropped first.
#[test]
fn stored_notices_are_bounded() {
    let notices = Notices::default();
    for number in 0..20_000 {
        record_response(&notices, NOW + number, &server(&format!("s{number}"), None), leaving());
    }
    let known = notices.in_force_for(NOW, &pool());
    assert!(known.len() <= 8_192, "{}", known.len());
    assert!(notices.leaves(&server("s19999", None)));
    assert!(notices.in_force_for(NOW, &Pool::Service(Arc::from("other"))).is_empty());
}

/// Of announcements and lifts of a limit the one with the latest time applies, whatever the order of their arrival.
#[rstest]
#[case(true)]
#[case(false)]
fn the_latest_limit_applies_in_any_order(#[case] in_order: bool) {
    let mut known = Limit::default();
    let mut words = [(NOW, Rate(1_000)), (NOW + SECOND, Rate(2_000))];
    if !in_order {
        words.reverse();
    }
    for (at, rate) in words {
        known.announce(at, rate);
    }
    assert_eq!(known.rate(), Some(Rate(2_000)));
    assert!(known.lift(NOW + 3 * SECOND));
    assert!(!known.announce(NOW + 2 * SECOND, Rate(500)), "it is older than the lift");
    assert_eq!(known.rate(), None);
    assert!(known.announce(NOW + 4 * SECOND, Rate(500)));
}

/// Prints the cost of recording a response and of looking up a server, with notices of 0, 1 and 1,000 servers. Notices
/// add both costs to each request. For meaningful figures run it in release mode with `--nocapture`.
#[test]
fn cost_of_recording_and_lookup_is_printed() {
    const ROUNDS: u64 = 100_000;
    for servers in [0, 1, 1_000] {
        let notices = Notices::default();
        for number in 0..servers {
            record_response(&notices, NOW, &server(&format!("s{number}"), None), limit(5_000));
        }
        let (one, notice) = (server("s0", None), limit(5_000));
        let notice = if servers == 0 { Notice::default() } else { notice };
        let start = Instant::now();
        for round in 0..ROUNDS {
            record_response(&notices, NOW + round, &one, notice);
        }
        let recording = start.elapsed();
        let start = Instant::now();
        let free = (0..ROUNDS)
            .filter(|round| withheld_reason(&notices, NOW + round, &one, COUNTED).is_none());
        assert_eq!(free.count() as u64, ROUNDS);
        println!(
            "{servers} servers: {recording:?} to record, {:?} to look up, {ROUNDS} times",
            start.elapsed()
        );
    }
}
