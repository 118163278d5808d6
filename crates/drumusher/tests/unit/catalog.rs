//! Entries of backend servers while the store is there and away.

use std::collections::BTreeSet;

use drumusher::process::catalog::{Entries, Health, RECOVERY_GRACE, Skipped};
use drumusher_log::position::Position;
use drumusher_platform::{catalog::Table, routing::Server};
use proptest::prelude::*;
use rstest::rstest;

fn server(id: &str) -> Server {
    Server {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: "z".into(),
        slots: 1,
        leaving: false,
        started_ms: None,
        spot: false,
    }
}

/// A place in the first era.
fn at(offset: u64) -> Position {
    Position::new(1, offset)
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

/// Ends that this instance reads itself, each in changes of its own.
struct Reads {
    entries: Entries,
    end: u64,
}

impl Reads {
    fn new() -> Self {
        Reads { entries: entries(), end: 2 }
    }

    /// Reads the end of an entry. Returns whether it is held back.
    fn end(&mut self, id: &str, now: u64) -> bool {
        self.end += 1;
        self.entries.record_read(at(self.end), now);
        self.entries.remove(id, at(self.end))
    }

    fn fail(&mut self, now: u64) {
        self.entries.health_mut().record_failure(now, now);
    }

    fn answer(&mut self, now: u64) -> bool {
        self.entries.health_mut().record_success(now, false)
    }
}

#[test]
fn an_entry_that_ends_is_gone_at_once() {
    let mut reads = Reads::new();
    assert!(!reads.end("a", 10));
    assert_eq!(ids(&reads.entries), ["b"]);
}

#[test]
fn an_entry_that_ends_while_the_store_was_away_is_held_until_it_is_certain() {
    let mut reads = Reads::new();
    reads.fail(5);
    assert!(reads.end("a", 10));
    assert!(reads.end("b", 10));
    assert!(
        reads.entries.remove_confirmed(10 + 10 * RECOVERY_GRACE).is_empty(),
        "the store is still away"
    );
    let back = 10 + 10 * RECOVERY_GRACE;
    assert!(reads.answer(back));
    assert!(reads.entries.remove_confirmed(back + RECOVERY_GRACE - 1).is_empty());
    assert_eq!(ids(&reads.entries), ["a", "b"]);
    reads.entries.put(server("b"));
    assert_eq!(reads.entries.remove_confirmed(back + RECOVERY_GRACE), ["a"]);
    assert_eq!(ids(&reads.entries), ["b"]);
}

#[test]
fn an_end_told_soon_after_the_return_is_held_too() {
    let mut reads = Reads::new();
    reads.fail(900);
    reads.answer(1_000);
    assert!(reads.end("a", 1_001));
    assert!(!reads.end("b", 1_000 + RECOVERY_GRACE));
}

#[test]
fn what_a_whole_table_does_not_have_ended() {
    let mut entries = entries();
    entries.record_read(at(3), 10);
    entries.retain_listed(&BTreeSet::from(["b".to_string()]), at(3));
    assert_eq!(ids(&entries), ["b"]);
}

/// What another instance confirms is believed, although the own calls fail.
#[test]
fn what_another_instance_confirms_is_believed() {
    let mut reads = Reads::new();
    reads.fail(5);
    reads.entries.confirm(at(3));
    assert!(!reads.entries.remove("a", at(3)));
    assert_eq!(ids(&reads.entries), ["b"]);
    assert!(reads.entries.remove("b", at(4)), "it is beyond what was confirmed");
    reads.entries.confirm(at(4));
    assert_eq!(reads.entries.remove_confirmed(10), ["b"]);
}

/// An end that another instance tells and does not confirm is held until somebody confirms it, or until it is
/// read here, where the store was there all the time.
#[rstest]
fn what_nobody_confirms_is_held(#[values(false, true)] read: bool) {
    let mut entries = entries();
    entries.health_mut().record_success(5, false);
    entries.record_read(at(2), 5);
    assert!(entries.remove("a", at(3)));
    assert!(entries.remove_confirmed(10 * RECOVERY_GRACE).is_empty());
    let gone = if read {
        entries.record_read(at(3), 10 * RECOVERY_GRACE)
    } else {
        entries.confirm(at(3));
        entries.remove_confirmed(10 * RECOVERY_GRACE)
    };
    assert_eq!(gone, ["a"]);
}

/// Who has just begun to see the store believes what it reads, but confirms nothing to others: the store may have
/// been away before.
#[test]
fn only_what_was_seen_steadily_is_confirmed() {
    let mut entries = entries();
    entries.health_mut().record_success(1_000, false);
    entries.record_read(at(3), 1_000);
    assert!(!entries.remove("a", at(3)));
    entries.remove_confirmed(1_000 + RECOVERY_GRACE - 1);
    assert_eq!(entries.confirmed(), Position::default());
    entries.remove_confirmed(1_000 + RECOVERY_GRACE);
    assert_eq!(entries.confirmed(), at(3));
    entries.health_mut().record_idle(1_000 + RECOVERY_GRACE);
    entries.record_read(at(4), 2 * RECOVERY_GRACE);
    assert_eq!(entries.confirmed(), at(3), "others tell, and the own calls are a chance one");
}

/// Instances that tell each other all the time what they read and confirmed, each with the own end of an outage:
/// an end is believed everywhere once the last doubt is over by its own time, and never before the first one is.
#[test]
fn doubt_does_not_go_round() {
    const TOLD_EVERY: u64 = RECOVERY_GRACE / 20;
    let returns = [0, 100_000, 300_000, 450_000].map(|late| 1_000_000 + late);
    let mut all: Vec<Entries> = returns.iter().map(|_| entries()).collect();
    for one in &mut all {
        one.health_mut().record_failure(500_000, 500_000);
    }
    let mut end = 2;
    let mut gone = None;
    for now in (returns[0]..returns[0] + 3 * RECOVERY_GRACE).step_by(TOLD_EVERY as usize) {
        end += 1;
        for (one, back) in all.iter_mut().zip(returns) {
            if now >= back {
                one.health_mut().record_success(now, false);
                one.record_read(at(end), now);
            }
            one.remove("a", at(end));
            one.remove_confirmed(now);
        }
        let confirmed = all.iter().map(Entries::confirmed).max().expect("there are some");
        all.iter_mut().for_each(|one| one.confirm(confirmed));
        all.iter_mut().for_each(|one| drop(one.remove_confirmed(now)));
        let left = all.iter().filter(|one| ids(one).contains(&"a".to_string())).count();
        assert!(
            left == all.len() || now >= returns[0] + RECOVERY_GRACE,
            "believed too soon, at {now}"
        );
        if left == 0 {
            gone.get_or_insert(now);
        }
    }
    assert_eq!(gone, Some(returns[0] + RECOVERY_GRACE));
}

/// A call that fails after it lasted longer than others do tells of the past; any other one tells of now, also one
/// that began before another was answered: both were under way when the store fell silent, or one was not.
#[test]
fn a_call_that_lasted_long_tells_nothing() {
    let mut health = Health::new().with_detection_time(4_000_000);
    health.record_success(5_000_000, false);
    assert!(!health.record_failure(5_000_000, 9_000_000));
    assert!(!health.is_uncertain(9_000_000));
    assert!(health.is_stable(9_000_000));
    assert!(health.record_failure(4_999_999, 8_700_000));
    assert!(health.is_uncertain(8_700_000));
    assert!(!health.is_stable(8_700_000 + RECOVERY_GRACE));
}

/// Who begins to read because those who told it get no answers doubts what it reads first; later answers, and a first
/// one without such a word, begin no doubt.
#[rstest]
fn what_is_read_after_a_rest_is_doubted_by_others_word(#[values(false, true)] suspected: bool) {
    let mut health = Health::new();
    health.record_success(1_000, false);
    health.record_idle(2_000);
    assert_eq!(health.record_success(3_000, suspected), suspected);
    assert_eq!(health.is_uncertain(3_000), suspected);
    assert!(!health.record_success(4_000, true));
    assert!(!health.is_uncertain(3_000 + RECOVERY_GRACE));
}

/// A failure of before is forgotten while others tell, once they would have found out too.
#[test]
fn a_failure_is_forgotten_while_others_tell() {
    let mut health = Health::new();
    health.record_failure(1_000, 1_000);
    health.record_idle(2_000_000);
    assert!(health.is_uncertain(2_000_000));
    health.record_idle(10_000_000);
    assert!(!health.is_uncertain(10_000_000));
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
    fn nothing_is_dropped_while_in_doubt(steps in proptest::collection::vec((step(), 0_u64..RECOVERY_GRACE), 1..80)) {
        let mut reads = Reads { entries: Entries::new(), end: 0 };
        let (mut now, mut away, mut returned) = (1_000_u64, false, None::<u64>);
        for (step, pause) in steps {
            now += pause;
            let before = ids(&reads.entries);
            let doubtful = away || returned.is_some_and(|returned| now < returned + RECOVERY_GRACE);
            match step {
                Step::Put(id) => { reads.entries.put(server(&id.to_string())); }
                Step::End(id) => { reads.end(&id.to_string(), now); }
                Step::Fail => { reads.fail(now); away = true; }
                Step::Answer => {
                    if reads.answer(now) { returned = Some(now); }
                    away = false;
                }
                Step::Release => { reads.entries.remove_confirmed(now); }
            }
            if doubtful {
                prop_assert!(before.iter().all(|id| ids(&reads.entries).contains(id)));
            }
        }
        reads.answer(now);
        for id in 0..4 { reads.end(&id.to_string(), now + RECOVERY_GRACE); }
        reads.entries.remove_confirmed(now + 2 * RECOVERY_GRACE);
        prop_assert!(ids(&reads.entries).is_empty());
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
    let born =
        |started_ms, leaving| Server { started_ms: Some(started_ms), leaving, ..server("a") };
    let mut entries = Entries::new();
    assert!(entries.put(born(1_000, false)));
    assert!(entries.put(born(2_000, false)), "a later start is new");
    assert!(!entries.put(born(1_000, true)));
    assert!(
        !entries.put(server("a")),
        "one that does not tell its start is older than one that does"
    );
    let known: Vec<Option<u64>> = entries.servers().map(|server| server.started_ms).collect();
    assert_eq!(known, [Some(2_000)]);
}

/// A table is read many times; an entry that cannot be understood has a line in the log once.
#[test]
fn an_entry_is_passed_over_with_one_line() {
    let mut skipped = Skipped::new();
    assert!(skipped.record(Table::Servers, "a", "[]"));
    assert!(!skipped.record(Table::Servers, "a", "[]"));
    assert!(skipped.record(Table::Servers, "a", "{}"), "it changed");
    assert!(skipped.record(Table::Instances, "a", "{}"), "it is another table");
    (0..10_000).for_each(|n| assert!(skipped.record(Table::Servers, &format!("k{n}"), "")));
}

/// What was confirmed before a restore says nothing of ends after it, although offsets are lower there.
#[test]
fn ends_after_a_restore_are_held() {
    let mut entries = entries();
    entries.health_mut().record_success(1_000, false);
    entries.record_read(at(40), 1_000 + RECOVERY_GRACE);
    entries.remove_confirmed(1_000 + RECOVERY_GRACE);
    let restored = 1_000 + 2 * RECOVERY_GRACE;
    entries.health_mut().record_restore(restored);
    let end = Position::new(2, 30);
    entries.record_read(end, restored);
    entries.retain_listed(&BTreeSet::from(["b".to_string()]), end);
    assert_eq!(ids(&entries), ["a", "b"]);
    assert!(entries.remove_confirmed(restored + RECOVERY_GRACE - 1).is_empty());
    assert_eq!(entries.confirmed(), at(40));
    assert_eq!(entries.remove_confirmed(restored + RECOVERY_GRACE), ["a"]);
    assert_eq!(entries.confirmed(), end);
}

/// The copy's entry of a backend server that leaves does not call it back; that of its next start does.
#[test]
fn a_copy_calls_no_leaving_server_back() {
    let mut entries = Entries::new();
    let born =
        |started_ms, leaving| Server { started_ms: Some(started_ms), leaving, ..server("a") };
    entries.put(born(1_000, true));
    entries.put_restored(born(1_000, false), 0);
    assert!(entries.servers().all(|server| server.leaving));
    entries.put_restored(born(2_000, false), 0);
    assert!(entries.servers().all(|server| !server.leaving));
}

/// The copy's entry of a backend server that had left does not bring it back, unless nobody ends it again.
#[rstest]
fn a_copy_revives_only_what_does_not_end_again(#[values(false, true)] ends: bool) {
    let mut reads = Reads::new();
    assert!(!reads.end("a", 10));
    let end = Position::new(2, 2);
    reads.entries.retain_listed(&BTreeSet::from(["a".to_string(), "b".to_string()]), end);
    reads.entries.put_restored(server("a"), 20);
    assert_eq!(ids(&reads.entries), ["b"]);
    assert!(!reads.entries.accept_restored(20 + RECOVERY_GRACE));
    if ends {
        reads.entries.remove("a", end.advance(1));
    }
    assert_eq!(reads.entries.accept_restored(20 + 10 * RECOVERY_GRACE), !ends);
    assert_eq!(ids(&reads.entries).contains(&"a".to_string()), !ends);
}

/// One that is written again after the return is there at once.
#[test]
fn what_is_written_after_a_restore_is_believed() {
    let mut reads = Reads::new();
    assert!(!reads.end("a", 10));
    reads.entries.put_restored(server("a"), 20);
    assert!(reads.entries.put(server("a")));
    assert_eq!(ids(&reads.entries), ["a", "b"]);
}
