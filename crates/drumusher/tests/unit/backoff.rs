//! Pauses after calls to the store that failed.

use drumusher::process::catalog::Backoff;

/// The pauses of a task whose calls all fail, in milliseconds.
fn pauses(urgent: bool, count: usize) -> Vec<u32> {
    let mut backoff = Backoff::new();
    (0..count).map(|_| backoff.next(urgent).0).collect()
}

#[test]
fn those_that_read_for_others_find_out_soon() {
    assert_eq!(pauses(true, 5), [60, 120, 240, 400, 400]);
}

/// In an outage of eight seconds an instance that is told makes four calls; it made nine.
#[test]
fn those_that_are_told_ask_rarely() {
    assert_eq!(pauses(false, 4), [1_600, 3_200, 3_200, 3_200]);
}

/// An instance that becomes a reader in the middle of an outage asks as often as the others do.
#[test]
fn a_new_reader_does_not_wait_for_long() {
    let mut backoff = Backoff::new();
    backoff.next(false);
    assert_eq!(backoff.next(true).0, 400);
    backoff.reset();
    assert_eq!(backoff.next(true).0, 60);
}
