//! What lagging load reports show of an engine's capacity.

use drumusher_schedule::{
    ask::{Ask, Outcome, Part},
    event::{Event, Load},
    server::Key,
    time::{MILLISECOND, Micros, SECOND},
};

use crate::support::{BULK, Harness, URGENT, ask, granted, policy, preempted};

/// Age of a report when it is read.
const LAG: Micros = 500 * MILLISECOND;
/// Slots of the engine.
const SLOTS: u32 = 4;

fn report(harness: &mut Harness, running: u32, waiting: u32) -> Vec<(u128, u16)> {
    let as_of = harness.now - LAG;
    let load = Load { server: Key(0), as_of, running, waiting, full: None };
    granted(&harness.handle(Event::Load(load)))
}

fn window(harness: &Harness) -> u32 {
    harness.pool.server_at(Key(0)).expect("there is one").window()
}

/// Guards against grants of an earlier dispatcher that count twice, as declared and as foreign
/// requests, until reports are newer than the change of dispatchers.
#[test]
fn declared_grants_are_not_counted_as_foreign() {
    let mut harness = Harness::new(policy(), 1, SLOTS);
    let now = harness.now;
    for id in 0..2 {
        harness.handle(Event::Declare(ask(id, URGENT, now), Key(0)));
    }
    report(&mut harness, 2, 0);
    for id in 2..4 {
        assert_eq!(granted(&harness.ask(ask(id, URGENT, now))), [(id, 0)]);
    }
    // A grant of the other dispatcher that was not declared takes a slot.
    harness.finish(0, Outcome::Done);
    report(&mut harness, 3, 0);
    assert_eq!(granted(&harness.ask(ask(4, URGENT, now))), []);
}

/// Guards against a new dispatcher that grants nothing until reports are newer than the change,
/// because the requests of its predecessor look like foreign ones.
#[test]
fn a_new_dispatcher_grants_before_reports_show_the_change() {
    let mut harness = Harness::new(policy(), 1, SLOTS);
    report(&mut harness, SLOTS, 0);
    let now = harness.now;
    let migrated = Ask { migrated: true, ..ask(1, URGENT, now) };
    assert_eq!(granted(&harness.ask(migrated)), [(1, 0)]);
    harness.advance(50 * MILLISECOND);
    report(&mut harness, SLOTS, 0);
    let now = harness.now;
    assert_eq!(granted(&harness.ask(ask(2, URGENT, now))), [(2, 0)]);
    // Requests in a report from after the change are foreign.
    harness.advance(LAG);
    report(&mut harness, SLOTS + 2, 0);
    let now = harness.now;
    assert_eq!(granted(&harness.ask(ask(3, URGENT, now))), []);
}

/// Guards against an engine whose window is narrowed to one because two reports fell between the
/// end of its requests and the start of those in its queue.
#[test]
fn reports_between_two_batches_do_not_narrow_the_window() {
    let mut harness = Harness::new(policy(), 1, SLOTS);
    for (running, waiting) in [(4, 4), (0, 4), (0, 4), (4, 4), (1, 3), (1, 3)] {
        report(&mut harness, running, waiting);
        harness.advance(50 * MILLISECOND);
    }
    assert_eq!(window(&harness), SLOTS);
}

/// Guards against one report that is read twice and counts as two.
#[test]
fn a_report_that_is_read_twice_counts_once() {
    let mut harness = Harness::new(policy(), 1, SLOTS);
    report(&mut harness, 1, 3);
    harness.now += MILLISECOND;
    let as_of = harness.now - LAG - MILLISECOND;
    let load = Load { server: Key(0), as_of, running: 1, waiting: 3, full: None };
    harness.handle(Event::Load(load));
    assert_eq!(window(&harness), SLOTS);
}

/// Guards against urgent requests that wait inside an engine for the end of lower tiers, because
/// the window was wider than what it runs at once.
#[test]
fn lower_tiers_are_preempted_for_requests_in_the_queue_of_an_engine() {
    let mut harness = Harness::new(policy(), 1, 8);
    let now = harness.now;
    for id in 0..u128::from(SLOTS) {
        harness.ask(ask(id, BULK, now));
        harness.progress(id, 1, 0);
    }
    for id in 10..12 {
        assert_eq!(granted(&harness.ask(ask(id, URGENT, now))), [(id, 0)]);
        harness.progress(id, 0, 0);
    }
    harness.advance(LAG);
    let load = |harness: &Harness, waiting| Load {
        server: Key(0),
        as_of: harness.now,
        running: SLOTS,
        waiting,
        full: None,
    };
    let waits = load(&harness, 2);
    harness.handle(Event::Load(waits));
    assert_eq!(
        preempted(&harness.advance(100 * MILLISECOND)),
        [],
        "they can still meet their targets"
    );
    let orders = harness.advance(300 * MILLISECOND);
    assert_eq!(preempted(&orders), [3, 2], "the latest grants of the lowest tier");
    assert_eq!(
        preempted(&harness.advance(100 * MILLISECOND)),
        [],
        "the report is from before the preemption"
    );
    for id in [2, 3] {
        harness.finish(id, Outcome::Preempted);
    }
    for id in 10..12 {
        harness.progress(id, 1, 0);
    }
    let waits = load(&harness, 2);
    harness.handle(Event::Load(waits));
    assert_eq!(preempted(&harness.advance(100 * MILLISECOND)), [], "they have their first token");
}

/// The window is narrowed to the number that runs if requests wait beside the same number in two
/// reports.
#[test]
fn requests_queued_beside_a_constant_number_narrow_the_window() {
    let mut harness = Harness::new(policy(), 1, SLOTS);
    for _ in 0..2 {
        report(&mut harness, 2, 3);
        harness.advance(50 * MILLISECOND);
    }
    assert_eq!(window(&harness), 2);
    // It ran more before, which no longer counts.
    let mut harness = Harness::new(policy(), 1, SLOTS);
    report(&mut harness, 4, 0);
    for _ in 0..6 {
        harness.advance(SECOND);
        report(&mut harness, 2, 3);
    }
    assert_eq!(window(&harness), 2);
}

/// Guards against a pool that is sized by its slots alone: 160 prompts a second of 20 ms each keep 3.2 engines busy with
/// reading, however few of 128 slots they take. A pool of engines with so many slots was cut to a sixth, and served a third
/// of its requests in time.
#[test]
fn the_load_of_engines_includes_the_time_for_reading() {
    const PER_SECOND: u64 = 160;
    const TOKENS: u32 = 1_000;
    let mut harness = Harness::new(policy(), 30, 128);
    for number in 0..10 * PER_SECOND {
        harness.now += SECOND / PER_SECOND;
        let (id, now) = (u128::from(number + 1), harness.now);
        let parts = vec![Part { id: 1_000 + number, tokens: TOKENS }];
        harness.ask(Ask { parts, prompt: TOKENS, ..ask(id, BULK, now) });
        harness.progress(id, 1, 0);
        harness.finish(id, Outcome::Done);
    }
    let engines = f64::from(harness.pool.load(harness.now)) / 128.0;
    assert!((2.4..4.0).contains(&engines), "{engines} engines");
    harness.advance(20 * SECOND);
    assert!(harness.pool.load(harness.now) < 10, "nothing is read any more");
}
