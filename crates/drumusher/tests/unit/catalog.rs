//! Entries of backend servers while the store is there and away.

use std::collections::BTreeSet;

use drumusher::process::catalog::{Entries, LAPSE, Passed};
use drumusher_platform::{catalog::Table, routing::Server};
use proptest::prelude::*;

fn server(id: &str) -> Server {
    Server {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: "z".into(),
        slots: 1,
        leaving: false,
        born_ms: None,
        spot: false,
    }
}

fn ids(entries: &Entries) -> Vec<String> {
    entries.servers().map(|server| server.id.clone()).collect()
}

fn entries() -> Entries {
    let mut entries = Entries::new();
    entries.put(server("a"));
    entries.put(server("b"));
    entries
}

#[test]
fn an_entry_that_ends_is_gone_at_once() {
    let mut entries = entries();
    assert!(!entries.end("a", 10));
    assert_eq!(ids(&entries), ["b"]);
}

#[test]
fn an_entry_that_ends_while_the_store_was_away_is_held_until_it_is_certain() {
    let mut entries = entries();
    assert!(entries.store_failed());
    assert!(entries.end("a", 10));
    assert!(entries.end("b", 10));
    assert!(entries.release(10 + 10 * LAPSE).is_empty(), "the store is still away");
    assert!(entries.store_answered(1_000));
    assert!(entries.release(1_000 + LAPSE - 1).is_empty());
    assert_eq!(ids(&entries), ["a", "b"]);
    entries.put(server("b"));
    assert_eq!(entries.release(1_000 + LAPSE), ["a"]);
    assert_eq!(ids(&entries), ["b"]);
}

#[test]
fn an_end_told_soon_after_the_return_is_held_too() {
    let mut entries = entries();
    entries.store_failed();
    entries.store_answered(1_000);
    assert!(entries.end("a", 1_001));
    assert!(!entries.end("b", 1_000 + LAPSE));
}

#[test]
fn what_a_whole_table_does_not_have_ended() {
    let mut entries = entries();
    entries.only(&BTreeSet::from(["b".to_string()]), 10);
    assert_eq!(ids(&entries), ["b"]);
}

#[test]
fn what_another_instance_read_without_doubt_is_believed() {
    let mut entries = entries();
    entries.store_failed();
    entries.trust();
    assert!(!entries.end("a", 10));
    assert_eq!(ids(&entries), ["b"]);
}

#[derive(Clone, Debug)]
enum Step {
    Put(u8),
    End(u8),
    Fail,
    Answer,
    Release,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u8..4).prop_map(Step::Put),
        (0_u8..4).prop_map(Step::End),
        Just(Step::Fail),
        Just(Step::Answer),
        Just(Step::Release),
    ]
}

proptest! {
    /// No entry is dropped while the store is away or within the time for lapsed ones after its
    /// return; and none that ended before stays for ever.
    #[test]
    fn nothing_is_dropped_while_in_doubt(steps in proptest::collection::vec((step(), 0_u64..LAPSE), 1..80)) {
        let mut entries = Entries::new();
        let (mut now, mut away, mut returned) = (1_000_u64, false, None::<u64>);
        for (step, pause) in steps {
            now += pause;
            let before = ids(&entries);
            let doubtful = away || returned.is_some_and(|returned| now < returned + LAPSE);
            match step {
                Step::Put(id) => { entries.put(server(&id.to_string())); }
                Step::End(id) => { entries.end(&id.to_string(), now); }
                Step::Fail => { entries.store_failed(); away = true; }
                Step::Answer => {
                    if entries.store_answered(now) { returned = Some(now); }
                    away = false;
                }
                Step::Release => { entries.release(now); }
            }
            if doubtful {
                prop_assert!(before.iter().all(|id| ids(&entries).contains(id)));
            }
        }
        entries.store_answered(now);
        for id in 0..4 { entries.end(&id.to_string(), now + LAPSE); }
        entries.release(now + 2 * LAPSE);
        prop_assert!(ids(&entries).is_empty());
    }
}

/// An entry that says what is known is told apart from one that says something new, so that a table
/// read again does not fill the log.
#[test]
fn an_entry_read_again_says_nothing_new() {
    let mut entries = Entries::new();
    assert!(entries.put(server("a")));
    assert!(!entries.put(server("a")));
    let leaving = Server { leaving: true, ..server("a") };
    assert!(entries.put(leaving));
}

/// A server that starts again keeps its name. What its earlier start wrote and came late says nothing.
#[test]
fn an_entry_of_an_earlier_start_changes_nothing() {
    let born = |born_ms, leaving| Server { born_ms: Some(born_ms), leaving, ..server("a") };
    let mut entries = Entries::new();
    assert!(entries.put(born(1_000, false)));
    assert!(entries.put(born(2_000, false)), "a later start is new");
    assert!(!entries.put(born(1_000, true)));
    assert!(
        !entries.put(server("a")),
        "one that does not tell its start is older than one that does"
    );
    let known: Vec<Option<u64>> = entries.servers().map(|server| server.born_ms).collect();
    assert_eq!(known, [Some(2_000)]);
}

/// A table is read many times; an entry that cannot be understood has a line in the log once.
#[test]
fn an_entry_is_passed_over_with_one_line() {
    let mut passed = Passed::new();
    assert!(passed.note(Table::Servers, "a", "[]"));
    assert!(!passed.note(Table::Servers, "a", "[]"));
    assert!(passed.note(Table::Servers, "a", "{}"), "it changed");
    assert!(passed.note(Table::Instances, "a", "{}"), "it is another table");
    (0..10_000).for_each(|n| assert!(passed.note(Table::Servers, &format!("k{n}"), "")));
}
