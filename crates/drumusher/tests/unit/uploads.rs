//! Whose pieces are sent next.

use drumusher::process::peers::Uploads;
use drumusher_schedule::time::MILLISECOND;

/// Uploads in which the first four connections have a slot and two more wait.
fn uploads() -> Uploads<&'static str> {
    let mut uploads = Uploads::new();
    for conn in 0..4 {
        assert_eq!(uploads.request(0, conn, "first"), Some("first"));
    }
    for conn in 4..6 {
        assert_eq!(uploads.request(0, conn, "waits"), None);
    }
    uploads
}

#[test]
fn a_few_are_served_at_once() {
    let mut uploads = uploads();
    assert_eq!(uploads.request(1, 2, "second"), Some("second"), "one that is served goes on");
    assert_eq!(uploads.next(1), None);
    uploads.finish(2);
    assert_eq!(uploads.next(1), Some((4, "waits")));
    assert_eq!(uploads.next(1), None);
}

/// A connection that asks again while it waits has one place, with its latest request.
#[test]
fn the_latest_request_counts() {
    let mut uploads = uploads();
    assert_eq!(uploads.request(1, 4, "again"), None);
    uploads.finish(0);
    uploads.finish(1);
    assert_eq!(uploads.next(1), Some((4, "again")));
    assert_eq!(uploads.next(1), Some((5, "waits")));
    assert_eq!(uploads.next(1), None);
}

/// One that went away, or says no more, holds nobody up.
#[test]
fn a_turn_is_not_held_for_ever() {
    let mut uploads = uploads();
    uploads.finish(4);
    assert_eq!(uploads.next(249 * MILLISECOND), None);
    assert_eq!(uploads.next(250 * MILLISECOND), Some((5, "waits")));
    assert_eq!(
        uploads.next(250 * MILLISECOND),
        None,
        "the one that was gone does not wait any more"
    );
}
