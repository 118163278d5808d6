//! How far another instance has followed the store.

use drumusher::process::peers::Replica;
use drumusher_log::position::Position;
use drumusher_schedule::time::{MILLISECOND, SECOND};

fn ends(offsets: [u64; 4]) -> [Position; 4] {
    offsets.map(|offset| Position::new(1, offset))
}

/// A heartbeat that was sent before the tables arrived does not have them told again.
#[test]
fn what_is_under_way_is_not_told_again() {
    let mut replica = Replica::new();
    replica.report(ends([0, 0, 295, 0]));
    assert_eq!(replica.expected(SECOND), ends([0, 0, 295, 0]));
    replica.record_sent(SECOND, ends([3, 169, 295, 0]));
    replica.report(ends([0, 0, 295, 0]));
    assert_eq!(replica.expected(SECOND + 250 * MILLISECOND), ends([3, 169, 295, 0]));
}

/// What was told and did not arrive is told again.
#[test]
fn what_was_lost_is_told_again() {
    let mut replica = Replica::new();
    replica.report(ends([1, 1, 1, 0]));
    replica.record_sent(SECOND, ends([2, 1, 1, 0]));
    replica.record_sent(SECOND + 900 * MILLISECOND, ends([2, 1, 1, 0]));
    replica.report(ends([1, 1, 1, 0]));
    assert_eq!(replica.expected(2 * SECOND), ends([1, 1, 1, 0]));
}

/// It may know more from elsewhere than it was told here.
#[test]
fn what_it_knows_from_elsewhere_counts() {
    let mut replica = Replica::new();
    replica.record_sent(SECOND, ends([2, 5, 1, 0]));
    replica.report(ends([7, 1, 1, 0]));
    assert_eq!(replica.expected(SECOND), ends([7, 5, 1, 0]));
}

/// Heartbeats of an instance that is told by another one do not make it one to be told here.
#[test]
fn only_one_that_asks_is_told() {
    let mut replica = Replica::new();
    replica.report(ends([0, 0, 0, 0]));
    assert!(!replica.is_subscribed());
    replica.subscribe(true);
    assert!(replica.is_subscribed());
    assert!(!replica.receives_large_updates(), "it fetches what is long");
    replica.subscribe(false);
    assert!(replica.receives_large_updates(), "an earlier version does not");
}
