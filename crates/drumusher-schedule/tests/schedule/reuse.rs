//! Counts of how prompts were obtained.

use drumusher_schedule::{
    ask::{Ask, Id, Outcome, Part},
    engine::Profile,
    event::Event,
    policy::{Class, Policy, Workspace},
    reuse::How,
    server::Key,
    time::SECOND,
};
use rstest::rstest;

use crate::support::{Harness, ask, engine_pool, granted};

const PROFILE: Profile =
    Profile { tokens: 500_000, token_bytes: 100_000, link_mbps: 200_000.0, event_tokens: 4 };
const OWN: u32 = 1_000;

fn request(id: Id, shared: u32, harness: &Harness) -> Ask {
    let parts = vec![Part { id: 7, tokens: shared }, Part { id: 1_000 + id as u64, tokens: OWN }];
    Ask { parts, prompt: shared + OWN, ..ask(id, 0, harness.now) }
}

/// What happened to the engine that had the shared part before another one had to be used.
#[derive(Clone, Copy, PartialEq)]
enum Before {
    Nothing,
    Prefilled,
    Prefilling,
    Crashed,
    CrashedLongAgo,
}

/// Guards against a count that hides why prompts are prefilled again: each reason needs another
/// remedy.
#[rstest]
#[case::new(Before::Nothing, 10_000, &[], How::FirstRead)]
#[case::there(Before::Prefilled, 10_000, &[], How::Copied)]
#[case::copies_off(Before::Prefilled, 10_000, &["sources"], How::HolderBusy)]
#[case::short(Before::Prefilled, 200, &[], How::TooShort)]
#[case::incomplete(Before::Prefilling, 10_000, &["await_copies"], How::ReadingElsewhere)]
#[case::crashed(Before::Crashed, 10_000, &[], How::HolderDown)]
#[case::forgotten(Before::CrashedLongAgo, 10_000, &[], How::FirstRead)]
fn the_reason_of_a_prefill_is_counted(
    #[case] before: Before,
    #[case] shared: u32,
    #[case] off: &[&str],
    #[case] expected: How,
) {
    let mut harness = engine_pool(PROFILE, 2, off);
    let mut holder = None;
    if before != Before::Nothing {
        let orders = harness.ask(request(1, shared, &harness));
        holder = Some(Key(granted(&orders)[0].1));
    }
    if !matches!(before, Before::Nothing | Before::Prefilling) {
        harness.progress(1, 1, 0);
        harness.finish(1, Outcome::Done);
    }
    if matches!(before, Before::Crashed | Before::CrashedLongAgo) {
        for id in [2, 3] {
            let to_holder = Ask { parts: Vec::new(), ..request(id, shared, &harness) };
            harness.handle(Event::Declare(to_holder, holder.expect("it was chosen")));
            harness.finish(id, Outcome::ConnectFailed);
        }
    }
    if before == Before::CrashedLongAgo {
        harness.advance(11 * SECOND);
    }
    harness.pool.take_prompt_tokens();
    // Anti-affinity keeps the request off the holder, but allows copies from there.
    let anti_affinity = holder.into_iter().collect();
    let orders = harness.ask(Ask { anti_affinity, ..request(9, shared, &harness) });
    assert_eq!(granted(&orders).len(), 1, "there is room");
    let counts = harness.pool.take_prompt_tokens();
    let first_read = if expected == How::FirstRead { shared + OWN } else { OWN };
    assert_eq!(counts.get(How::FirstRead), u64::from(first_read), "{counts:?}");
    if expected != How::FirstRead {
        assert_eq!(counts.get(expected), u64::from(shared), "{counts:?}");
    }
}

/// Guards against counting a part as prefilled where the engine had it.
#[test]
fn cached_tokens_are_counted() {
    let class = Class::new("long", 0).with_first_token(2 * SECOND);
    let policy = Policy::new(vec![class], vec![Workspace::new("a")]);
    let mut harness = Harness::new(policy, 1, 16);
    for id in [1, 2] {
        harness.ask(request(id, 10_000, &harness));
        harness.progress(id, 1, 0);
        harness.finish(id, Outcome::Done);
    }
    let counts = harness.pool.take_prompt_tokens();
    assert_eq!((counts.get(How::Cached), counts.get(How::FirstRead)), (10_000, 12_000));
}
