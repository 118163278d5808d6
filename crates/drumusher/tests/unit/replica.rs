//! Tracking of which records another instance has.

use drumusher::process::peers::Replica;
use drumusher_log::position::Position;
use drumusher_schedule::time::{MILLISECOND, SECOND};

fn ends(offsets: [u64; 4]) -> [Position; 4] {
    offsets.map(|offset| Position::new(1, offset))
}

/// A heartbeat that was sent before an update arrived doesn't cause a second update.
#[test]
fn records_in_flight_are_not_sent_again() {
    let mut replica = Replica::new();
    replica.report(ends([0, 0, 295, 0]));
    assert_eq!(replica.expected(SECOND), ends([0, 0, 295, 0]));
    replica.record_sent(SECOND, ends([3, 169, 295, 0]));
    replica.report(ends([0, 0, 295, 0]));
    assert_eq!(replica.expected(SECOND + 250 * MILLISECOND), ends([3, 169, 295, 0]));
}

/// Records that were sent and did not arrive are sent again.
#[test]
fn lost_records_are_sent_again() {
    let mut replica = Replica::new();
    replica.report(ends([1, 1, 1, 0]));
    replica.record_sent(SECOND, ends([2, 1, 1, 0]));
    replica.record_sent(SECOND + 900 * MILLISECOND, ends([2, 1, 1, 0]));
    replica.report(ends([1, 1, 1, 0]));
    assert_eq!(replica.expected(2 * SECOND), ends([1, 1, 1, 0]));
}

/// The other instance may have later records from another source.
#[test]
fn records_from_other_sources_count() {
    let mut replica = Replica::new();
    replica.record_sent(SECOND, ends([2, 5, 1, 0]));
    replica.report(ends([7, 1, 1, 0]));
    assert_eq!(replica.expected(SECOND), ends([7, 5, 1, 0]));
}

/// Heartbeats of an instance don't subscribe it; it may get its updates from another one.
#[test]
fn an_instance_is_subscribed_only_on_request() {
    let mut replica = Replica::new();
    replica.report(ends([0, 0, 0, 0]));
    assert!(!replica.is_subscribed());
    replica.subscribe(true);
    assert!(replica.is_subscribed());
    assert!(!replica.receives_large_updates(), "it fetches large updates itself");
    replica.subscribe(false);
    assert!(replica.receives_large_updates(), "an earlier version does not fetch");
}
