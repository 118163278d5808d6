//! Whose pieces are sent next.

use drumusher::process::peers::Turns;
use drumusher_schedule::time::MILLISECOND;

/// Turns of which the first four connections have one and two more wait.
fn turns() -> Turns<&'static str> {
    let mut turns = Turns::new();
    for conn in 0..4 {
        assert_eq!(turns.ask(0, conn, "first"), Some("first"));
    }
    for conn in 4..6 {
        assert_eq!(turns.ask(0, conn, "waits"), None);
    }
    turns
}

#[test]
fn a_few_are_served_at_once() {
    let mut turns = turns();
    assert_eq!(turns.ask(1, 2, "second"), Some("second"), "one that is served goes on");
    assert_eq!(turns.next(1), None);
    turns.end(2);
    assert_eq!(turns.next(1), Some((4, "waits")));
    assert_eq!(turns.next(1), None);
}

/// A connection that asks again while it waits has one place, with its latest request.
#[test]
fn the_latest_request_counts() {
    let mut turns = turns();
    assert_eq!(turns.ask(1, 4, "again"), None);
    turns.end(0);
    turns.end(1);
    assert_eq!(turns.next(1), Some((4, "again")));
    assert_eq!(turns.next(1), Some((5, "waits")));
    assert_eq!(turns.next(1), None);
}

/// One that went away, or says no more, holds nobody up.
#[test]
fn a_turn_is_not_held_for_ever() {
    let mut turns = turns();
    turns.end(4);
    assert_eq!(turns.next(249 * MILLISECOND), None);
    assert_eq!(turns.next(250 * MILLISECOND), Some((5, "waits")));
    assert_eq!(turns.next(250 * MILLISECOND), None, "the one that was gone does not wait any more");
}
