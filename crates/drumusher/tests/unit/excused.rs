//! Requests that were answered after crashes.

use drumusher::process::dispatch::Excused;
use drumusher_log::quarantine::Digest;
use drumusher_schedule::time::SECOND;

/// A request that was cleared of crashes at these times.
fn cleared(times: &[u64]) -> Excused {
    let mut excused = Excused::default();
    for at in times {
        excused.crashed(at * SECOND, Digest(1));
        excused.cleared(Digest(1));
    }
    excused
}

/// Occasions count for ten minutes after the latest one.
#[test]
fn occasions_are_forgotten_in_time() {
    let excused = cleared(&[0, 300]);
    assert_eq!(excused.count(899 * SECOND, Digest(1)), 2);
    assert_eq!(excused.count(900 * SECOND, Digest(1)), 0);
    assert_eq!(excused.count(0, Digest(2)), 0);
    assert_eq!(cleared(&[0, 300, 900]).count(900 * SECOND, Digest(1)), 1);
}

/// A popular request is running at each crash, and would run one at a time for minutes.
#[test]
fn many_answers_in_a_row_prove_a_request_innocent() {
    let mut excused = cleared(&[0, 1]);
    assert!((0..19).all(|_| !excused.answered(Digest(1))));
    excused.crashed(2 * SECOND, Digest(1));
    assert!((0..19).all(|_| !excused.answered(Digest(1))), "a crash begins a new row");
    assert_eq!(excused.count(2 * SECOND, Digest(1)), 2);
    assert!(excused.answered(Digest(1)));
    assert_eq!(excused.count(2 * SECOND, Digest(1)), 0);
}

/// Thousands of other requests do not displace the latest ones.
#[test]
fn a_flood_displaces_older_requests() {
    let mut excused = Excused::default();
    for number in 0..20_000u64 {
        excused.crashed(number, Digest(number.into()));
        excused.cleared(Digest(number.into()));
    }
    let known = (0..20_000u64).filter(|at| excused.count(20_000, Digest(u128::from(*at))) > 0);
    assert!(known.count() <= 4_096);
    assert_eq!(excused.count(20_000, Digest(19_999)), 1);
}
