//! What lagging load reports say of an engine's room.

use drumusher_schedule::{
    ask::{Ask, Outcome},
    event::{Event, Load},
    server::Key,
    time::{MILLISECOND, Micros, SECOND},
};

use crate::support::{BULK, Bench, URGENT, ask, granted, policy, stopped};

/// How much older than their reading reports are.
const LAG: Micros = 500 * MILLISECOND;
/// Places of the engine.
const PLACES: u32 = 4;

fn report(bench: &mut Bench, running: u32, waiting: u32) -> Vec<(u128, u16)> {
    let as_of = bench.now - LAG;
    let load = Load { server: Key(0), as_of, running, waiting, full: None };
    granted(&bench.tell(Event::Load(load)))
}

fn window(bench: &Bench) -> u32 {
    bench.pool.server_at(Key(0)).expect("there is one").window()
}

/// Guards against grants of an earlier dispatcher that count twice, as declared and as others' work,
/// until reports are newer than the change of dispatchers.
#[test]
fn declared_grants_are_not_counted_as_work_of_others() {
    let mut bench = Bench::new(policy(), 1, PLACES);
    let now = bench.now;
    for id in 0..2 {
        bench.tell(Event::Declare(ask(id, URGENT, now), Key(0)));
    }
    report(&mut bench, 2, 0);
    for id in 2..4 {
        assert_eq!(granted(&bench.ask(ask(id, URGENT, now))), [(id, 0)]);
    }
    // One that the other dispatcher granted and nobody declared takes a place.
    bench.finish(0, Outcome::Done);
    report(&mut bench, 3, 0);
    assert_eq!(granted(&bench.ask(ask(4, URGENT, now))), []);
}

/// Guards against a new dispatcher that grants nothing until reports are newer than the change,
/// since the requests of a dispatcher that is gone look like others' work.
#[test]
fn a_new_dispatcher_grants_before_reports_show_the_change() {
    let mut bench = Bench::new(policy(), 1, PLACES);
    report(&mut bench, PLACES, 0);
    let now = bench.now;
    let migrated = Ask { migrated: true, ..ask(1, URGENT, now) };
    assert_eq!(granted(&bench.ask(migrated)), [(1, 0)]);
    bench.pass(50 * MILLISECOND);
    report(&mut bench, PLACES, 0);
    let now = bench.now;
    assert_eq!(granted(&bench.ask(ask(2, URGENT, now))), [(2, 0)]);
    // What a report shows from after the change is others' work.
    bench.pass(LAG);
    report(&mut bench, PLACES + 2, 0);
    let now = bench.now;
    assert_eq!(granted(&bench.ask(ask(3, URGENT, now))), []);
}

/// Guards against an engine that is taken for one of a single place since two reports caught it
/// between the ends of its requests and the beginning of those that wait.
#[test]
fn reports_between_two_batches_do_not_narrow_the_window() {
    let mut bench = Bench::new(policy(), 1, PLACES);
    for (running, waiting) in [(4, 4), (0, 4), (0, 4), (4, 4), (1, 3), (1, 3)] {
        report(&mut bench, running, waiting);
        bench.pass(50 * MILLISECOND);
    }
    assert_eq!(window(&bench), PLACES);
}

/// Guards against one report that is read twice and counts as two.
#[test]
fn a_report_that_is_read_again_shows_nothing_new() {
    let mut bench = Bench::new(policy(), 1, PLACES);
    report(&mut bench, 1, 3);
    bench.now += MILLISECOND;
    let as_of = bench.now - LAG - MILLISECOND;
    let load = Load { server: Key(0), as_of, running: 1, waiting: 3, full: None };
    bench.tell(Event::Load(load));
    assert_eq!(window(&bench), PLACES);
}

/// Guards against urgent requests that wait inside an engine for the end of lower ones, since the
/// window was wider than what it runs at once.
#[test]
fn lower_ones_are_stopped_for_those_that_wait_inside_an_engine() {
    let mut bench = Bench::new(policy(), 1, 8);
    let now = bench.now;
    for id in 0..u128::from(PLACES) {
        bench.ask(ask(id, BULK, now));
        bench.progress(id, 1, 0);
    }
    for id in 10..12 {
        assert_eq!(granted(&bench.ask(ask(id, URGENT, now))), [(id, 0)]);
        bench.progress(id, 0, 0);
    }
    bench.pass(LAG);
    let load = |bench: &Bench, waiting| Load {
        server: Key(0),
        as_of: bench.now,
        running: PLACES,
        waiting,
        full: None,
    };
    let waits = load(&bench, 2);
    bench.tell(Event::Load(waits));
    assert_eq!(stopped(&bench.pass(100 * MILLISECOND)), [], "they can still be in time");
    let orders = bench.pass(300 * MILLISECOND);
    assert_eq!(stopped(&orders), [3, 2], "the latest of the lowest tier");
    assert_eq!(stopped(&bench.pass(100 * MILLISECOND)), [], "the report is from before");
    for id in [2, 3] {
        bench.finish(id, Outcome::Preempted);
    }
    for id in 10..12 {
        bench.progress(id, 1, 0);
    }
    let waits = load(&bench, 2);
    bench.tell(Event::Load(waits));
    assert_eq!(stopped(&bench.pass(100 * MILLISECOND)), [], "they have begun");
}

/// An engine that keeps others waiting beside the same number running holds no more than that.
#[test]
fn a_crowd_beside_the_same_number_shows_what_an_engine_holds() {
    let mut bench = Bench::new(policy(), 1, PLACES);
    for _ in 0..2 {
        report(&mut bench, 2, 3);
        bench.pass(50 * MILLISECOND);
    }
    assert_eq!(window(&bench), 2);
    // It held more before; that is forgotten.
    let mut bench = Bench::new(policy(), 1, PLACES);
    report(&mut bench, 4, 0);
    for _ in 0..6 {
        bench.pass(SECOND);
        report(&mut bench, 2, 3);
    }
    assert_eq!(window(&bench), 2);
}
