//! What counts as cached after an attempt that ended before its first event.

use std::sync::Arc;

use drumusher_schedule::{
    ask::{Ask, Id, Outcome, Part},
    engine::{Engine, Profile},
    event::Event,
    policy::{Class, Policy, Workspace},
    pool::Pool,
    server::{Key, Options},
    time::{MILLISECOND, Micros, SECOND},
};
use rstest::rstest;

use crate::support::{Harness, ask};

const PROFILE: Profile =
    Profile { tokens: 500_000, token_bytes: 100_000, link_mbps: 200_000.0, event_tokens: 4 };
/// Shared by all requests; 200 ms to prefill before anything is learned.
const SHARED: Part = Part { id: 7, tokens: 10_000 };
/// Long after the prefill of a request began, and before its end.
const BEGUN: Micros = 100 * MILLISECOND;

/// A pool with slack of some engines.
fn pool(engines: u16) -> Harness {
    let class = Class::new("long", 0).with_first_token(2 * SECOND);
    let policy = Policy::new(vec![class], vec![Workspace::new("a")]);
    let now = 100 * SECOND;
    let mut harness = Harness { pool: Pool::new(Arc::new(policy), now), now };
    for key in 0..engines {
        let options = Options { profile: Some(PROFILE), ..Options::default() };
        harness.handle(Event::Server(Key(key), options));
    }
    harness
}

fn request(id: Id, now: Micros) -> Ask {
    let own = Part { id: 1_000 + id as u64, tokens: 1_000 };
    Ask { parts: vec![SHARED, own], prompt: 11_000, ..ask(id, 0, now) }
}

fn place(harness: &mut Harness, id: Id) {
    harness.ask(request(id, harness.now));
    assert!(harness.pool.running_request(id).is_some(), "there is room");
}

fn engine(harness: &Harness) -> &Engine {
    harness.pool.server_at(Key(0)).expect("it was added").engine()
}

/// Guards against forgetting parts that an engine goes on prefilling after the entry instance of
/// their request was lost: they were prefilled again elsewhere. And against believing parts that an
/// engine never had.
#[rstest]
#[case::entry_lost(BEGUN, Outcome::Cancelled, true)]
#[case::at_once(0, Outcome::Cancelled, false)]
#[case::refused(BEGUN, Outcome::ConnectFailed, false)]
#[case::broken(BEGUN, Outcome::Failed, false)]
fn a_begun_prefill_stays_unless_the_engine_failed(
    #[case] after: Micros,
    #[case] outcome: Outcome,
    #[case] kept: bool,
) {
    let mut harness = pool(1);
    place(&mut harness, 1);
    harness.now += after;
    harness.finish(1, outcome);
    assert_eq!(engine(&harness).has_cached(SHARED.id), kept);
}

/// Guards against deleting a part that another request is still prefilling.
#[rstest]
#[case(Outcome::Cancelled)]
#[case(Outcome::Failed)]
fn a_part_that_another_request_has_there_stays(#[case] outcome: Outcome) {
    let mut harness = pool(1);
    place(&mut harness, 1);
    place(&mut harness, 2);
    harness.finish(1, outcome);
    assert!(engine(&harness).has_cached(SHARED.id));
    assert!(!engine(&harness).has_cached(1_001), "only the ended request had it");
}

/// Guards against offering a part for copying before it is complete, and against waiting for a
/// first event that nobody reports any more.
#[test]
fn a_part_is_complete_at_its_expected_time() {
    let mut harness = pool(1);
    place(&mut harness, 1);
    let first = request(2, harness.now);
    let prompt = drumusher_schedule::engine::Prompt {
        parts: &first.parts,
        tokens: first.prompt,
        tolerant: false,
        tightest_gap: 0,
    };
    harness.now += BEGUN;
    harness.finish(1, Outcome::Cancelled);
    let transferable = |harness: &Harness| engine(harness).transferable(harness.now, &prompt).0;
    assert_eq!(transferable(&harness), 0);
    harness.now += 110 * MILLISECOND;
    assert_eq!(transferable(&harness), SHARED.tokens);
}

/// Guards against placing requests by a cache that a crash has emptied.
#[test]
fn an_engine_that_is_down_has_nothing_cached() {
    let mut harness = pool(1);
    place(&mut harness, 1);
    harness.progress(1, 1, 0);
    place(&mut harness, 2);
    place(&mut harness, 3);
    harness.finish(1, Outcome::Failed);
    assert!(engine(&harness).has_cached(SHARED.id), "one broken stream is no crash");
    harness.finish(2, Outcome::Failed);
    assert!(!engine(&harness).has_cached(SHARED.id));
}
