//! Changes that an engine reports of its cache. They correct the dispatcher's model of the engine.

use drumusher_schedule::{
    ask::Part,
    engine::{Engine, Prompt},
    event::Changes,
    time::{MILLISECOND, SECOND},
};
use rstest::rstest;

const PARTS: [Part; 2] = [Part { id: 1, tokens: 500 }, Part { id: 2, tokens: 4_500 }];

fn prompt() -> Prompt<'static> {
    Prompt { parts: &PARTS, tokens: 6_000, tolerant: true, tightest_gap: 100 * MILLISECOND }
}

/// An engine with a running request; `started` if that has had its first event.
fn busy_engine(started: bool) -> Engine {
    let mut engine = Engine::new();
    engine.start(SECOND, 1, &prompt(), engine.prefill(&prompt(), 0, 0));
    if started {
        engine.first_event(1, 100 * MILLISECOND);
    }
    engine
}

fn removal() -> Changes {
    Changes { removed: vec![1, 2], ..Changes::default() }
}

fn empty_content() -> Changes {
    Changes { complete: true, ..Changes::default() }
}

/// Guards against a late report that deletes what a request placed after the removal has cached
/// again.
#[rstest]
fn removal_of_parts_in_use_is_ignored(
    #[values(false, true)] started: bool,
    #[values(removal(), empty_content())] changes: Changes,
) {
    let mut engine = busy_engine(started);
    engine.apply_changes(2 * SECOND, &changes);
    assert_eq!(engine.uncached_tokens(&prompt()), 1_000);
}

/// Guards against a model that keeps what the engine has evicted.
#[rstest]
fn removed_parts_are_gone_once_no_request_uses_them(
    #[values(removal(), empty_content())] changes: Changes,
) {
    let mut engine = busy_engine(true);
    engine.end(1, true);
    assert!(engine.has_cached(1) && engine.has_cached(2));
    engine.apply_changes(2 * SECOND, &changes);
    assert_eq!(engine.uncached_tokens(&prompt()), 6_000);
}

/// Guards against parts that are prefilled again although an engine, as it reports, has them.
#[test]
fn added_parts_can_be_copied() {
    let mut engine = busy_engine(false);
    assert_eq!(engine.transferable(2 * SECOND, &prompt()).0, 0);
    engine.apply_changes(2 * SECOND, &Changes { added: PARTS.to_vec(), ..Changes::default() });
    assert_eq!(engine.transferable(2 * SECOND, &prompt()).0, 5_000);
}

/// Guards against parts of an earlier content that stay beside a new one.
#[test]
fn whole_content_replaces_the_earlier_one() {
    let mut engine = Engine::new();
    let whole = |part: usize| Changes { complete: true, added: vec![PARTS[part]], removed: vec![] };
    engine.apply_changes(SECOND, &whole(0));
    engine.apply_changes(2 * SECOND, &whole(1));
    assert_eq!((engine.has_cached(1), engine.has_cached(2)), (false, true));
}
