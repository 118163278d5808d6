//! Registrations of instances that one of them writes for the others.

use drumusher::process::catalog::Registrations;
use drumusher_schedule::time::{MILLISECOND, SECOND};

#[test]
fn simultaneous_registrations_are_written_in_one_call() {
    let mut registrations = Registrations::new();
    let first =
        (0..295).filter(|n| registrations.add(SECOND, format!("i{n}"), "entry".into())).count();
    assert_eq!(first, 1, "only the first one starts a call");
    assert_eq!(registrations.take(SECOND + 100 * MILLISECOND).len(), 295);
    assert!(registrations.take(SECOND + 200 * MILLISECOND).is_empty());
}

#[test]
fn an_entry_is_not_written_again_before_it_can_be_read() {
    let mut registrations = Registrations::new();
    assert!(registrations.add(SECOND, "i1".into(), "entry".into()));
    assert_eq!(registrations.take(SECOND).len(), 1);
    assert!(!registrations.add(SECOND + 250 * MILLISECOND, "i1".into(), "entry".into()));
    assert!(registrations.take(SECOND + 300 * MILLISECOND).is_empty());
    assert!(
        registrations.add(2 * SECOND, "i1".into(), "entry".into()),
        "it was lost, and is written again"
    );
}
