//! Entries of other instances that one of them writes.

use drumusher::process::catalog::Arrivals;
use drumusher_schedule::time::{MILLISECOND, SECOND};

#[test]
fn hundreds_that_start_at_once_are_written_in_one_call() {
    let mut arrivals = Arrivals::new();
    let first = (0..295).filter(|n| arrivals.add(SECOND, format!("i{n}"), "entry".into())).count();
    assert_eq!(first, 1, "one call is begun");
    assert_eq!(arrivals.take(SECOND + 100 * MILLISECOND).len(), 295);
    assert!(arrivals.take(SECOND + 200 * MILLISECOND).is_empty());
}

#[test]
fn an_entry_is_not_written_again_before_it_can_be_read_back() {
    let mut arrivals = Arrivals::new();
    assert!(arrivals.add(SECOND, "i1".into(), "entry".into()));
    assert_eq!(arrivals.take(SECOND).len(), 1);
    assert!(!arrivals.add(SECOND + 250 * MILLISECOND, "i1".into(), "entry".into()));
    assert!(arrivals.take(SECOND + 300 * MILLISECOND).is_empty());
    assert!(
        arrivals.add(2 * SECOND, "i1".into(), "entry".into()),
        "it was lost, and is written again"
    );
}
