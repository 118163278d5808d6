//! Delays before calls to the store are repeated after a failure.

use drumusher::process::catalog::Backoff;

/// The delays of a task whose calls all fail, in milliseconds.
fn pauses(urgent: bool, count: usize) -> Vec<u32> {
    let mut backoff = Backoff::new();
    (0..count).map(|_| backoff.next(urgent).0).collect()
}

#[test]
fn readers_retry_soon() {
    assert_eq!(pauses(true, 5), [60, 120, 240, 400, 400]);
}

/// In an outage of eight seconds an instance that is no reader makes four calls. Shorter delays made it nine.
#[test]
fn other_instances_retry_rarely() {
    assert_eq!(pauses(false, 4), [1_600, 3_200, 3_200, 3_200]);
}

/// An instance that becomes a reader during an outage continues with the delays of a reader.
#[test]
fn a_new_reader_retries_soon() {
    let mut backoff = Backoff::new();
    backoff.next(false);
    assert_eq!(backoff.next(true).0, 400);
    backoff.reset();
    assert_eq!(backoff.next(true).0, 60);
}
