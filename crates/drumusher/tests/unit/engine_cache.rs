//! The calls by which the cache of an engine is followed, and their times.

use drumusher::process::catalog::engine_cache::follower::{Call, Follower};
use drumusher_platform::engine::{Changes, Content, Position};
use drumusher_schedule::time::{Micros, SECOND};
use rstest::rstest;

/// Duration of a call.
const DURATION: Micros = SECOND / 100;
/// Time of the first call.
const START: Micros = 100 * SECOND;

fn position(epoch: &str, next: u64) -> Position {
    Position { epoch: epoch.into(), next }
}

/// A follower that has got the content at [`START`], and continues with change 7.
fn follower() -> Follower {
    let mut follower = Follower::new(None);
    assert_eq!(follower.next_call(START), Call::Content);
    follower.query_content(START);
    let changes = follower.apply_content(Content {
        position: position("e", 7),
        parts: Vec::new(),
        malformed: 0,
    });
    assert!(changes.complete);
    follower
}

fn changes(position: Position, lost: bool) -> Changes {
    Changes { position, lost, added: Vec::new(), removed: vec![1], malformed: 0 }
}

/// Guards against more than one call a second, each of which has the price of a health check.
#[test]
fn changes_are_queried_once_a_second() {
    let mut follower = follower();
    assert_eq!(follower.next_at(START, START + DURATION), START + SECOND);
    assert_eq!(follower.next_call(START + SECOND), Call::Changes(7));
    let (changes, gap) = follower.apply_changes(changes(position("e", 9), false));
    assert_eq!((changes.complete, changes.removed, gap), (false, vec![1], false));
    assert_eq!(follower.next_call(START + 9 * SECOND), Call::Changes(9));
}

/// Guards against missed changes, and against queries of the content that delay the engine more often than every five
/// seconds. Changes are queried meanwhile.
#[rstest]
#[case::lost(position("e", 9), true)]
#[case::restarted(position("f", 9), false)]
#[case::unknown_position(position("e", 6), false)]
fn gap_queries_the_content_every_five_seconds_at_most(#[case] at: Position, #[case] lost: bool) {
    let mut follower = follower();
    let next = at.next;
    assert!(follower.apply_changes(changes(at, lost)).1);
    assert_eq!(follower.next_call(START + 5 * SECOND - 1), Call::Changes(next));
    assert_eq!(follower.next_call(START + 5 * SECOND), Call::Content);
}

/// Guards against a pool that is followed again at once and has its engines list their caches once more.
#[test]
fn earlier_query_of_the_content_counts() {
    let follower = Follower::new(Some(START));
    assert_eq!(follower.next_call(START + SECOND), Call::None);
    assert_eq!(follower.next_at(START, START + DURATION), START + 5 * SECOND);
}

/// Guards against calls in close succession to an engine that rejects them.
#[test]
fn failed_calls_are_retried_after_one_to_eight_seconds() {
    let mut follower = follower();
    let ended = START + DURATION;
    let mut fail = || (follower.fail(), (follower.next_at(START, ended) - ended) / SECOND);
    let retries: Vec<(bool, u64)> = (0..5).map(|_| fail()).collect();
    assert_eq!(retries, [(true, 1), (false, 2), (false, 4), (false, 8), (false, 8)]);
    follower.apply_changes(changes(position("e", 7), false));
    assert_eq!(follower.next_at(START, ended), START + SECOND);
}
