//! Bounds on the failed attempts of one request.

use drumusher::request::{attempt::Error, failures::Failures};
use drumusher_schedule::time::{MILLISECOND, SECOND};
use rstest::rstest;

const ATTEMPTS: u32 = 4;

/// Number of equal failures, `interval` apart, that a request which has delivered `produced` tokens outlives.
fn outlived(produced: u32, error: Error, interval: u64) -> u32 {
    let mut failures = Failures::new();
    let still_allowed =
        |number: &u32| failures.record(u64::from(*number) * interval, produced, error, ATTEMPTS);
    (0..1_000).take_while(still_allowed).count() as u32
}

/// Guards against a begun response that is cut because one outage of its engine rejects several attempts, and against
/// one that waits for ever.
#[rstest]
fn rejections_of_a_begun_response_are_bounded_by_time(
    #[values(Error::NotSent, Error::Full, Error::NoResponse, Error::Failed(500))] error: Error,
) {
    assert_eq!(outlived(100, error, SECOND), 60);
}

/// Guards against a request that breaks or crashes its engines, or never got a token, and is sent without a bound.
#[rstest]
#[case::broken(100, Error::Broken)]
#[case::crashed(100, Error::Closed)]
#[case::stalled(100, Error::Stalled)]
#[case::mismatched(100, Error::Mismatched)]
#[case::rejected_before_it_began(0, Error::NotSent)]
#[case::failed_before_it_began(0, Error::Failed(500))]
fn other_failures_are_bounded_by_number(#[case] produced: u32, #[case] error: Error) {
    assert_eq!(outlived(produced, error, MILLISECOND), ATTEMPTS - 1);
}

/// Guards against a request whose crashes of its engine are forgotten because the engine rejects attempts while it
/// restarts.
#[test]
fn crashes_count_across_rejections() {
    let mut failures = Failures::new();
    for crash in 1..=u64::from(ATTEMPTS) {
        let now = crash * SECOND;
        let allowed = failures.record(now, 100, Error::Closed, ATTEMPTS);
        assert_eq!(allowed, crash < u64::from(ATTEMPTS));
        if allowed {
            assert!(failures.record(now + 1, 100, Error::NotSent, ATTEMPTS));
        }
    }
}

/// Guards against failures that are held against a response which got on since.
#[test]
fn progress_forgets_earlier_failures() {
    let mut failures = Failures::new();
    for round in 0..20 {
        assert!(failures.record(round * SECOND, 40 * round as u32, Error::Broken, ATTEMPTS));
        assert_eq!(failures.next_backoff(0.5), 0);
    }
}

/// Guards against a request that is sent back to its engine at once after it broke there repeatedly, and against a
/// response that waits for a steady engine before it has to.
#[test]
fn an_engine_has_to_be_steady_for_longer_after_each_failure() {
    let mut failures = Failures::new();
    failures.record(0, 100, Error::Broken, 100);
    assert_eq!(failures.next_steady_time(0.0), None);
    for shortest in [1, 2, 4, 8] {
        failures.record(SECOND, 100, Error::Broken, 100);
        assert!(failures.record(SECOND, 100, Error::NotSent, 100));
        assert_eq!(failures.next_steady_time(0.0), Some(shortest * SECOND));
        assert_eq!(failures.next_steady_time(0.0), None, "it was steady");
    }
}

/// Guards against a response that is given up although it got a token lately, and against one that waits for ever.
#[test]
fn a_begun_response_is_refused_a_minute_after_its_last_token() {
    let mut failures = Failures::new();
    assert_eq!(failures.outage_limit(100), None);
    assert!(failures.record_refusal(0, 100));
    assert!(failures.record_refusal(59 * SECOND, 100));
    assert!(!failures.record_refusal(60 * SECOND, 100));
    assert_eq!(failures.outage_limit(100), Some(60 * SECOND));
    assert_eq!(failures.outage_limit(101), None);
    assert!(failures.record_refusal(60 * SECOND, 101));
    assert_eq!(failures.outage_limit(101), Some(120 * SECOND));
    assert!(!failures.record_refusal(0, 0), "a new request is refused at once");
}

/// Guards against outages that are measured together although the response got on between them: each is short.
#[test]
fn short_outages_far_apart_are_outlived() {
    let mut failures = Failures::new();
    for round in 0..4 {
        let (now, produced) = (u64::from(round) * 25 * SECOND, 100 + 20 * round);
        assert!(failures.record(now, produced, Error::NotSent, ATTEMPTS), "outage {round}");
        assert!(failures.record(now + SECOND, produced, Error::NotSent, ATTEMPTS));
    }
}
