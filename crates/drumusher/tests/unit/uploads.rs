//! The order in which large updates are sent to peers, piece by piece.

use drumusher::process::peers::Uploads;
use drumusher_schedule::time::MILLISECOND;

/// Two connections with an upload in progress, and two that wait.
fn uploads() -> Uploads<u32, &'static str> {
    let mut uploads = Uploads::new();
    for conn in 0..2 {
        assert_eq!(uploads.request(0, conn, "first"), Some("first"));
    }
    for conn in 2..4 {
        assert_eq!(uploads.request(0, conn, "waits"), None);
    }
    uploads
}

#[test]
fn two_uploads_run_at_a_time() {
    let mut uploads = uploads();
    assert_eq!(uploads.request(1, 1, "second"), Some("second"), "an upload in progress continues");
    assert_eq!(uploads.next(1), None);
    uploads.finish(1);
    assert_eq!(uploads.next(1), Some((2, "waits")));
    assert_eq!(uploads.next(1), None);
}

/// A connection that repeats its request while it waits keeps one place in the queue, with its latest request.
#[test]
fn the_latest_request_counts() {
    let mut uploads = uploads();
    assert_eq!(uploads.request(1, 2, "again"), None);
    uploads.finish(0);
    uploads.finish(1);
    assert_eq!(uploads.next(1), Some((2, "again")));
    assert_eq!(uploads.next(1), Some((3, "waits")));
    assert_eq!(uploads.next(1), None);
}

/// A connection that closes, or stops requesting pieces for 250 ms, blocks no other one.
#[test]
fn an_idle_upload_is_abandoned() {
    let mut uploads = uploads();
    uploads.finish(2);
    assert_eq!(uploads.next(249 * MILLISECOND), None);
    assert_eq!(uploads.next(250 * MILLISECOND), Some((3, "waits")));
    assert_eq!(
        uploads.next(250 * MILLISECOND),
        None,
        "the closed connection does not wait any more"
    );
}

/// The requests of one connection for two tables do not replace each other.
#[test]
fn requests_for_two_tables_wait_both() {
    let mut uploads: Uploads<(u32, usize), &'static str> = Uploads::new();
    for conn in 1..3 {
        assert_eq!(uploads.request(0, (conn, 0), "runs"), Some("runs"));
    }
    assert_eq!(uploads.request(0, (3, 0), "configuration"), None);
    assert_eq!(uploads.request(0, (3, 1), "servers"), None);
    uploads.finish((1, 0));
    assert_eq!(uploads.next(0), Some(((3, 0), "configuration")));
    uploads.finish((3, 0));
    assert_eq!(uploads.next(0), Some(((3, 1), "servers")));
    uploads.drop_where(|(conn, _)| *conn == 3);
    assert_eq!(uploads.request(0, (4, 0), "next"), Some("next"));
}
