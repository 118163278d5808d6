//! The order in which large updates are sent to peers, piece by piece.

use drumusher::process::peers::Uploads;
use drumusher_schedule::time::MILLISECOND;

/// Four connections with an upload in progress, and two that wait.
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
fn four_uploads_run_at_a_time() {
    let mut uploads = uploads();
    assert_eq!(uploads.request(1, 2, "second"), Some("second"), "an upload in progress continues");
    assert_eq!(uploads.next(1), None);
    uploads.finish(2);
    assert_eq!(uploads.next(1), Some((4, "waits")));
    assert_eq!(uploads.next(1), None);
}

/// A connection that repeats its request while it waits keeps one place in the queue, with its latest request.
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

/// A connection that closes, or stops requesting pieces for 250 ms, blocks no other one.
#[test]
fn an_idle_upload_is_abandoned() {
    let mut uploads = uploads();
    uploads.finish(4);
    assert_eq!(uploads.next(249 * MILLISECOND), None);
    assert_eq!(uploads.next(250 * MILLISECOND), Some((5, "waits")));
    assert_eq!(
        uploads.next(250 * MILLISECOND),
        None,
        "the closed connection does not wait any more"
    );
}
