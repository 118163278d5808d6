//! Requests that were answered after crashes.

use drumusher::process::dispatch::Excused;
use drumusher_log::quarantine::Digest;
use drumusher_schedule::time::SECOND;

/// Occasions count for ten minutes after the latest one.
#[test]
fn occasions_are_forgotten_in_time() {
    let mut excused = Excused::default();
    excused.add(0, Digest(1));
    excused.add(300 * SECOND, Digest(1));
    assert_eq!(excused.count(899 * SECOND, Digest(1)), 2);
    assert_eq!(excused.count(900 * SECOND, Digest(1)), 0);
    assert_eq!(excused.count(0, Digest(2)), 0);
}

/// Thousands of other requests do not displace the latest ones.
#[test]
fn a_flood_displaces_older_requests() {
    let mut excused = Excused::default();
    for number in 0..20_000u64 {
        excused.add(number, Digest(number.into()));
    }
    let known =
        (0..20_000u64).filter(|number| excused.count(20_000, Digest(u128::from(*number))) > 0);
    assert!(known.count() <= 4_096);
    assert_eq!(excused.count(20_000, Digest(19_999)), 1);
}
