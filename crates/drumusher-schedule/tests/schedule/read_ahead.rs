//! How many prompts an engine is given before it has prefilled earlier ones.

use drumusher_schedule::{
    ask::{Ask, Id, Outcome, Part},
    engine::Profile,
    event::{Event, Progress},
    order::Order,
    policy::{Class, Policy, Workspace},
    region, server,
    time::{MILLISECOND, Micros},
};
use rstest::rstest;

use crate::support::{Harness, ask, granted};

const TARGET: Micros = 1_200 * MILLISECOND;
pub const PROFILE: Profile =
    Profile { tokens: 100_000, token_bytes: 100_000, link_mbps: 200_000.0, event_tokens: 4 };
/// Takes 200 ms to prefill at the assumed 20 µs a token.
pub const LONG: u32 = 10_000;
pub const URGENT: u16 = 0;
pub const BULK: u16 = 1;
const BOUND: u16 = 2;

/// A pool with an engine in each of two regions. Requests of the class `BOUND` may run in the
/// first.
pub fn pool(profile: Option<Profile>) -> Harness {
    let mut classes = ["urgent", "bulk", "bound"].map(|name| {
        let tier = if name == "bulk" { 1 } else { 0 };
        Class::new(name, tier).with_first_token(TARGET).with_floor_every(0)
    });
    classes[usize::from(BOUND)].regions = region::Set::only([region::Key::new(0)].into_iter());
    let mut policy = Policy::new(classes.to_vec(), vec![Workspace::new("a")]);
    policy.settle = 0;
    let mut harness = Harness::new(policy, 0, 0);
    for key in 0..2 {
        let region = region::Key::new(usize::from(key));
        let options =
            server::Options { profile, region, first_slots: 64, ..server::Options::default() };
        harness.handle(Event::Server(server::Key(key), options));
    }
    harness
}

/// Asks for a request with a prompt that no other shares, and returns its engine if it is granted.
pub fn place(harness: &mut Harness, id: Id, class: u16, tokens: u32) -> Option<u16> {
    let parts = vec![Part { id: id as u64, tokens }];
    let request = Ask { parts, prompt: tokens, output: 40, ..ask(id, class, harness.now) };
    granted(&harness.ask(request)).first().map(|(_, server)| *server)
}

/// Reports the first event of a request, and returns the requests granted by that.
fn first_event(harness: &mut Harness, id: Id, elapsed: Micros) -> Vec<Id> {
    let progress = Progress { id, produced: 1, first_token: Some(elapsed), gap: 0 };
    granted(&harness.handle(Event::Progress(progress))).into_iter().map(|(id, _)| id).collect()
}

/// Guards against prompts that wait inside an engine although others would be more urgent, and
/// against a change in pools that do not know the sizes of their engines.
#[rstest]
#[case::known(Some(PROFILE), 4)]
#[case::unknown(None, 8)]
fn engines_get_a_limited_time_of_prompts(
    #[case] profile: Option<Profile>,
    #[case] expected: usize,
) {
    let mut harness = pool(profile);
    let placed = (1..=8).filter_map(|id| place(&mut harness, id, BULK, LONG));
    assert_eq!(placed.count(), expected);
}

/// Guards against a request that waits for the next tick after an engine has capacity again.
#[rstest]
#[case::first_event(false)]
#[case::end(true)]
fn a_waiting_request_is_granted_as_soon_as_an_engine_has_capacity(#[case] ends: bool) {
    let mut harness = pool(Some(PROFILE));
    (1..=4).for_each(|id| assert!(place(&mut harness, id, BULK, LONG).is_some()));
    assert_eq!(place(&mut harness, 5, BULK, LONG), None);
    assert!(harness.pool.waiting_by_tier().eq([(1, 1)]));
    harness.now += MILLISECOND;
    let after = if ends {
        let orders = harness.finish(1, Outcome::Failed);
        granted(&orders).into_iter().map(|(id, _)| id).collect()
    } else {
        first_event(&mut harness, 1, MILLISECOND)
    };
    assert_eq!(after, [5]);
    assert!(harness.pool.waiting_by_tier().eq([(1, 0)]), "the metric falls to 0");
}

/// Guards against urgent requests that wait at the dispatcher for prompts which engines prefill
/// after them.
#[test]
fn less_urgent_prompts_do_not_delay_urgent_requests() {
    let mut harness = pool(Some(PROFILE));
    (1..=4).for_each(|id| assert!(place(&mut harness, id, BULK, LONG).is_some()));
    assert!(place(&mut harness, 5, URGENT, LONG).is_some());
    assert_eq!(place(&mut harness, 6, BULK, LONG), None, "more urgent prompts do");
}

/// Guards against requests that are preempted in an engine because its memory runs out, and against
/// a prompt larger than the memory left that waits for ever.
#[test]
fn the_memory_of_engines_limits_their_requests() {
    let mut harness = pool(Some(PROFILE));
    for id in 1..=2 {
        assert!(place(&mut harness, id, URGENT, 95_000).is_some());
        harness.now += 1_900 * MILLISECOND;
        assert_eq!(first_event(&mut harness, id, 1_900 * MILLISECOND), []);
    }
    for id in 3..=4 {
        assert!(place(&mut harness, id, URGENT, LONG).is_some(), "no prompt is pending");
    }
    assert_eq!(place(&mut harness, 5, URGENT, LONG), None);
    assert!(!granted(&harness.finish(1, Outcome::Done)).is_empty(), "the memory is free");
}

/// Guards against a round of grants that ends with a request whose engines are all full, although
/// others may run elsewhere. More requests are bound to the full engine than a round examines.
#[test]
fn requests_without_capacity_do_not_hold_up_others() {
    let mut harness = pool(Some(PROFILE));
    let mut waiting = 0;
    for id in 1..=100 {
        waiting += usize::from(place(&mut harness, id, BOUND, LONG).is_none());
    }
    assert_eq!(waiting, 98);
    for id in 101..=102 {
        assert_eq!(place(&mut harness, id, URGENT, LONG), Some(1));
    }
    assert_eq!(place(&mut harness, 103, BULK, LONG), None);
}

/// Guards against streams that continue after a failure and wait behind new requests, at the
/// dispatcher or inside an engine: their callers have less time left.
#[rstest]
#[case::begun(3, None)]
#[case::second_attempt(0, Some(server::Key(1)))]
fn streams_that_continue_are_before_new_requests(
    #[case] produced: u32,
    #[case] avoid: Option<server::Key>,
) {
    let mut harness = pool(Some(PROFILE));
    (1..=4).for_each(|id| assert!(place(&mut harness, id, URGENT, LONG).is_some()));
    for id in 5..=8 {
        assert_eq!(place(&mut harness, id, BULK, LONG), None);
    }
    let parts = vec![Part { id: 9, tokens: LONG }];
    let resumed = Ask { parts, prompt: LONG, produced, avoid, ..ask(9, BULK, harness.now) };
    assert_eq!(granted(&harness.ask(resumed)), [], "it is as urgent as those that engines have");
    let progress = Progress { id: 1, produced: 1, first_token: Some(MILLISECOND), gap: 0 };
    let orders = harness.handle(Event::Progress(progress));
    let urgencies = orders.iter().map(|order| match order {
        Order::Grant { id, urgency, .. } => (*id, *urgency),
        other => panic!("{other:?}"),
    });
    assert_eq!(urgencies.collect::<Vec<_>>(), [(9, Some(0))]);
}

/// Guards against an engine that is slower than expected and is given more and more: what it has
/// not prefilled in the expected time still counts.
#[test]
fn a_slow_engine_gets_no_more_than_it_prefills() {
    let mut harness = pool(Some(PROFILE));
    (1..=4).for_each(|id| assert!(place(&mut harness, id, BULK, LONG).is_some()));
    // The first prompt of each engine took all of the time expected for both.
    harness.now += 400 * MILLISECOND;
    first_event(&mut harness, 1, 400 * MILLISECOND);
    let wait = harness.pool.servers().map(|(_, server)| server.engine().wait(harness.now, 1));
    assert!(wait.max() >= Some(150 * MILLISECOND));
}

/// Guards against urgent requests that wait at the dispatcher because first events on all engines
/// are overdue, as in a burst on engines that are slower than expected.
#[test]
fn overdue_first_events_do_not_hold_urgent_requests_back() {
    let mut harness = pool(Some(PROFILE));
    for id in 1..=2 {
        assert!(place(&mut harness, id, URGENT, 1_000).is_some());
    }
    harness.now += 800 * MILLISECOND;
    assert!(place(&mut harness, 3, URGENT, 1_000).is_some());
}

/// Guards against equal urgencies in engines for all routes, where the priorities of workspaces make
/// the numbers of the tiers large.
#[test]
fn the_urgency_in_an_engine_is_the_rank_of_the_tier() {
    let classes = [16, 17, 34].map(|tier| Class::new("class", tier));
    let tiers = Policy::new(classes.to_vec(), Vec::new()).tiers();
    assert_eq!([16, 17, 34].map(|tier| tiers.rank(tier)), [0, 1, 2]);
}
