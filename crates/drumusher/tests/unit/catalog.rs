//! Entries of backend servers while the store is available and during outages.

use std::collections::BTreeSet;

use drumusher::process::catalog::{
    Entries, Health, RECOVERY_GRACE, RELAY_TIMEOUT, Reports, Skipped,
};
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
        version: "v1".into(),
        spot: false,
        warm_up_ms: 0,
    }
}

/// A position in the first era.
fn at(offset: u64) -> Position {
    Position::new(1, offset)
}

fn ids(entries: &Entries) -> Vec<String> {
    entries.servers().map(|server| server.id.to_string()).collect()
}

fn entries() -> Entries {
    let mut entries = Entries::new();
    entries.put(server("a"));
    entries.put(server("b"));
    entries
}

/// An instance that reads the store itself, one removal at a time.
struct Reader {
    entries: Entries,
    end: u64,
}

impl Reader {
    fn new() -> Self {
        Reader { entries: entries(), end: 2 }
    }

    /// Reads the removal of an entry. Returns whether the removal is pending.
    fn remove(&mut self, id: &str, now: u64) -> bool {
        self.end += 1;
        self.entries.record_read(at(self.end), now);
        self.entries.remove(id, at(self.end))
    }

    /// Records a failed call.
    fn fail(&mut self, now: u64) {
        self.entries.health_mut().record_failure(now, now);
    }

    /// Records an answered call. Returns whether it ends an outage.
    fn succeed(&mut self, now: u64) -> bool {
        self.entries.health_mut().record_success(now, false)
    }
}

#[test]
fn a_removal_applies_at_once() {
    let mut reader = Reader::new();
    assert!(!reader.remove("a", 10));
    assert_eq!(ids(&reader.entries), ["b"]);
}

#[test]
fn a_removal_during_an_outage_is_pending_until_it_is_certain() {
    let mut reader = Reader::new();
    reader.fail(5);
    assert!(reader.remove("a", 10));
    assert!(reader.remove("b", 10));
    assert!(
        reader.entries.remove_confirmed(10 + 10 * RECOVERY_GRACE).is_empty(),
        "the store is still unavailable"
    );
    let back = 10 + 10 * RECOVERY_GRACE;
    assert!(reader.succeed(back));
    assert!(reader.entries.remove_confirmed(back + RECOVERY_GRACE - 1).is_empty());
    assert_eq!(ids(&reader.entries), ["a", "b"]);
    reader.entries.put(server("b"));
    assert_eq!(reader.entries.remove_confirmed(back + RECOVERY_GRACE), ["a"]);
    assert_eq!(ids(&reader.entries), ["b"]);
}

#[test]
fn a_removal_soon_after_an_outage_is_pending_too() {
    let mut reader = Reader::new();
    reader.fail(900);
    reader.succeed(1_000);
    assert!(reader.remove("a", 1_001));
    assert!(!reader.remove("b", 1_000 + RECOVERY_GRACE));
}

#[test]
fn entries_missing_from_a_whole_table_are_removed() {
    let mut entries = entries();
    entries.record_read(at(3), 10);
    entries.retain_listed(&BTreeSet::from(["b".to_string()]), at(3));
    assert_eq!(ids(&entries), ["b"]);
}

/// Removals that another instance confirms apply, even if the calls of this instance fail.
#[test]
fn removals_confirmed_by_another_instance_apply() {
    let mut reader = Reader::new();
    reader.fail(5);
    reader.entries.confirm(at(3));
    assert!(!reader.entries.remove("a", at(3)));
    assert_eq!(ids(&reader.entries), ["b"]);
    assert!(reader.entries.remove("b", at(4)), "it is after the confirmed position");
    reader.entries.confirm(at(4));
    assert_eq!(reader.entries.remove_confirmed(10), ["b"]);
}

/// A removal that another instance relays without confirmation is pending until an instance confirms it, or until this
/// instance reads it itself with the store available all the time.
#[rstest]
fn an_unconfirmed_removal_is_pending(#[values(false, true)] read: bool) {
    let mut entries = entries();
    entries.health_mut().record_success(5, false);
    entries.record_read(at(2), 5);
    assert!(entries.remove("a", at(3)));
    assert!(entries.remove_confirmed(10 * RECOVERY_GRACE).is_empty());
    let removed = if read {
        entries.record_read(at(3), 10 * RECOVERY_GRACE)
    } else {
        entries.confirm(at(3));
        entries.remove_confirmed(10 * RECOVERY_GRACE)
    };
    assert_eq!(removed, ["a"]);
}

/// An instance that has just begun to read the store learns nothing from an answer without changes about a removal that
/// was relayed unconfirmed. Guards against entries that lapsed in an outage that only the relaying reader saw.
#[test]
fn an_unchanged_table_confirms_removals_only_with_a_stable_store() {
    let mut entries = entries();
    assert!(entries.remove("a", at(3)));
    entries.health_mut().record_success(1_000, false);
    assert!(entries.record_unchanged(at(3), 1_000).is_empty());
    assert!(entries.remove_confirmed(1_000 + RECOVERY_GRACE - 1).is_empty());
    assert_eq!(entries.remove_confirmed(1_000 + RECOVERY_GRACE), ["a"]);
}

/// An instance that has just begun to read the store applies removals, but confirms none to others: the store may
/// have been unavailable before.
#[test]
fn removals_are_confirmed_only_with_a_stable_store() {
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
    assert_eq!(
        entries.confirmed(),
        at(3),
        "an idle instance makes only occasional calls and confirms nothing"
    );
}

/// Instances exchange removals and confirmed positions all the time, and an outage ends for each at another time. A
/// removal applies at all of them as soon as the first grace period is over, and never before. Guards against
/// uncertainty that circulates among instances.
#[test]
fn uncertainty_does_not_circulate() {
    const EXCHANGE_INTERVAL: u64 = RECOVERY_GRACE / 20;
    let returns = [0, 100_000, 300_000, 450_000].map(|late| 1_000_000 + late);
    let mut all: Vec<Entries> = returns.iter().map(|_| entries()).collect();
    for one in &mut all {
        one.health_mut().record_failure(500_000, 500_000);
    }
    let mut end = 2;
    let mut removed = None;
    for now in (returns[0]..returns[0] + 3 * RECOVERY_GRACE).step_by(EXCHANGE_INTERVAL as usize) {
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
            "applied too soon, at {now}"
        );
        if left == 0 {
            removed.get_or_insert(now);
        }
    }
    assert_eq!(removed, Some(returns[0] + RECOVERY_GRACE));
}

/// A failed call that lasted as long as the detection time may be due to an outage that is over, and is ignored. A
/// shorter one shows the current state, even if it began before another call was answered: the outage may have begun
/// while both were in flight or between them.
#[test]
fn a_failure_after_a_long_call_is_ignored() {
    let mut health = Health::new().with_detection_time(4_000_000);
    health.record_success(5_000_000, false);
    assert!(!health.record_failure(5_000_000, 9_000_000));
    assert!(!health.is_uncertain(9_000_000));
    assert!(health.is_stable(9_000_000));
    assert!(health.record_failure(4_999_999, 8_700_000));
    assert!(health.is_uncertain(8_700_000));
    assert!(!health.is_stable(8_700_000 + RECOVERY_GRACE));
}

/// An instance that begins to read because its readers reported an outage treats its first answer as the end of that
/// outage. Later answers, and a first one without such a report, cause no uncertainty.
#[rstest]
fn the_first_answer_after_idling_ends_a_reported_outage(#[values(false, true)] suspected: bool) {
    let mut health = Health::new();
    health.record_success(1_000, false);
    health.record_idle(2_000);
    assert_eq!(health.record_success(3_000, suspected), suspected);
    assert_eq!(health.is_uncertain(3_000), suspected);
    assert!(!health.record_success(4_000, true));
    assert!(!health.is_uncertain(3_000 + RECOVERY_GRACE));
}

/// A new reader confirms removals at once if one that has had the store says so after its first call. Guards against
/// removals that are held for two seconds because the other readers lost the store just after the new one began.
#[test]
fn a_new_reader_takes_over_stability_from_a_steady_one() {
    let mut health = Health::new();
    health.record_success(10_000_000, false);
    health.record_steady(9_999_999);
    assert!(!health.is_stable(10_500_000), "the report may be from before an outage");
    health.record_steady(10_250_000);
    assert!(health.is_stable(10_250_000));
    health.record_failure(11_000_000, 11_000_000);
    assert!(!health.is_stable(11_000_000));
    health.record_success(11_100_000, false);
    health.record_steady(11_200_000);
    assert!(!health.is_stable(11_200_000), "an own failure counts more than a report");
    assert!(health.is_stable(11_100_000 + RECOVERY_GRACE));
}

/// A new reader whose first call is answered soon after the last report of a steady one confirms removals at once, also
/// if that one is gone. Guards against removals that are held for two seconds because all readers were killed together.
#[rstest]
#[case::just_heard(10_000_000, true)]
#[case::heard_within_the_limit(8_500_001, true)]
#[case::heard_too_long_ago(8_500_000, false)]
#[case::never_heard(0, false)]
fn a_new_reader_continues_what_a_lost_one_observed(#[case] heard: u64, #[case] stable: bool) {
    const NOW: u64 = 10_000_000;
    let mut health = Health::new();
    health.record_success(NOW, false);
    health.take_over(NOW, heard);
    assert_eq!(health.is_stable(NOW), stable);
    assert!(health.is_stable(NOW + RECOVERY_GRACE));
}

/// Only the first call continues it, and only without any sign of an outage.
#[rstest]
#[case::suspected_outage(None, true, 2_000_000)]
#[case::own_failure(Some(1_500_000), false, 2_000_000)]
#[case::later_call(None, false, 1_000_000)]
fn stability_is_not_taken_over_after_an_outage(
    #[case] failed_at: Option<u64>,
    #[case] suspected: bool,
    #[case] first_answer: u64,
) {
    const NOW: u64 = 2_000_000;
    let mut health = Health::new();
    if let Some(failed_at) = failed_at {
        health.record_failure(failed_at, failed_at);
    }
    health.record_success(first_answer, suspected);
    health.record_success(NOW, suspected);
    health.take_over(NOW, NOW);
    assert!(!health.is_stable(NOW));
}

/// A suspected outage was none if a reader then reports that it has had the store. Guards against removals that are
/// held for two seconds beside such a reader, and against entries dropped on a report of before.
#[test]
fn a_report_of_a_steady_reader_ends_a_suspicion() {
    let mut health = Health::new();
    assert!(health.record_success(5_000, true));
    health.record_steady(4_999);
    assert!(health.is_uncertain(5_001), "the report is from before");
    health.record_steady(5_000);
    assert!(!health.is_uncertain(5_001));
}

/// What this instance has seen itself is no suspicion: another reader's report does not end it.
#[rstest]
fn a_report_of_a_steady_reader_does_not_end_an_own_outage(#[values(false, true)] restored: bool) {
    let mut health = Health::new();
    if restored {
        assert!(health.record_success(1_000, true));
        health.record_restore(2_000);
    } else {
        health.record_failure(1_000, 1_000);
        assert!(health.record_success(2_000, true));
    }
    health.record_steady(3_000);
    assert!(health.is_uncertain(2_000 + RECOVERY_GRACE - 1));
    assert!(!health.is_uncertain(2_000 + RECOVERY_GRACE));
}

/// An outage is suspected if readers report it, unless one that has had the store is heard from, whoever spoke last.
#[test]
fn reports_of_an_outage_are_refuted_by_a_steady_reader() {
    const T: u64 = 10 * RELAY_TIMEOUT;
    let suggest = |outage, steady, now| Reports { outage, steady }.suggest_outage(now);
    assert!(!suggest(0, 0, T), "nobody reported one");
    assert!(suggest(T, 0, T), "earlier versions report no more than that");
    assert!(!suggest(T, T - 1, T), "a report that comes last");
    assert!(!suggest(T - 1, T, T));
    assert!(!suggest(T, T - RELAY_TIMEOUT + 1, T));
    assert!(suggest(T, T - RELAY_TIMEOUT, T), "the steady reader is not heard from any more");
    assert!(suggest(T, T, T + RELAY_TIMEOUT), "it fell silent just after the report");
    assert!(!suggest(T, T + RELAY_TIMEOUT + 1, 3 * T), "it was heard well after the report");
}

/// Guards against a suspicion that stays refuted by a report which its reader took back, as after a pause.
#[test]
fn a_report_that_is_taken_back_refutes_no_suspicion() {
    let mut health = Health::new();
    assert!(health.record_success(5_000, true));
    health.record_steady(6_000);
    assert!(!health.is_uncertain(6_500));
    health.record_steady(0);
    assert!(health.is_uncertain(7_000));
}

/// An earlier failure is forgotten while updates are relayed, once the readers would have detected the outage too.
#[test]
fn a_failure_is_forgotten_while_idle() {
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
    /// No entry is removed while the store is unavailable or within the grace period after its return, and all
    /// removals apply in the end.
    #[test]
    fn no_entry_is_removed_while_uncertain(steps in proptest::collection::vec((step(), 0_u64..RECOVERY_GRACE), 1..80)) {
        let mut reader = Reader { entries: Entries::new(), end: 0 };
        let (mut now, mut unavailable, mut returned) = (1_000_u64, false, None::<u64>);
        for (step, pause) in steps {
            now += pause;
            let before = ids(&reader.entries);
            let uncertain = unavailable || returned.is_some_and(|returned| now < returned + RECOVERY_GRACE);
            match step {
                Step::Put(id) => { reader.entries.put(server(&id.to_string())); }
                Step::End(id) => { reader.remove(&id.to_string(), now); }
                Step::Fail => { reader.fail(now); unavailable = true; }
                Step::Answer => {
                    if reader.succeed(now) { returned = Some(now); }
                    unavailable = false;
                }
                Step::Release => { reader.entries.remove_confirmed(now); }
            }
            if uncertain {
                prop_assert!(before.iter().all(|id| ids(&reader.entries).contains(id)));
            }
        }
        reader.succeed(now);
        for id in 0..4 { reader.remove(&id.to_string(), now + RECOVERY_GRACE); }
        reader.entries.remove_confirmed(now + 2 * RECOVERY_GRACE);
        prop_assert!(ids(&reader.entries).is_empty());
    }
}

/// `put` returns whether an entry changes anything, so that reading a table again does not fill the log.
#[test]
fn an_unchanged_entry_is_no_change() {
    let mut entries = Entries::new();
    assert!(entries.put(server("a")));
    assert!(!entries.put(server("a")));
    let leaving = Server { leaving: true, ..server("a") };
    assert!(entries.put(leaving));
}

/// A server that restarts keeps its name. Entries from before its restart that arrive late are ignored.
#[test]
fn an_entry_from_before_a_restart_is_ignored() {
    let started_at =
        |started_ms, leaving| Server { started_ms: Some(started_ms), leaving, ..server("a") };
    let mut entries = Entries::new();
    assert!(entries.put(started_at(1_000, false)));
    assert!(entries.put(started_at(2_000, false)), "the server restarted");
    assert!(!entries.put(started_at(1_000, true)));
    assert!(
        !entries.put(server("a")),
        "an entry without a start time is older than one that has it"
    );
    let known: Vec<Option<u64>> = entries.servers().map(|server| server.started_ms).collect();
    assert_eq!(known, [Some(2_000)]);
}

/// An invalid entry is logged once, although its table is read many times.
#[test]
fn a_skipped_entry_is_logged_once() {
    let mut skipped = Skipped::new();
    assert!(skipped.record(Table::Servers, "a", "[]"));
    assert!(!skipped.record(Table::Servers, "a", "[]"));
    assert!(skipped.record(Table::Servers, "a", "{}"), "the value changed");
    assert!(skipped.record(Table::Instances, "a", "{}"), "it is another table");
    (0..10_000).for_each(|n| assert!(skipped.record(Table::Servers, &format!("k{n}"), "")));
}

/// A position that was confirmed before the store was restored doesn't confirm removals after that, although their
/// offsets are lower.
#[test]
fn removals_after_a_restore_are_pending() {
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

/// After a restore the backup's entry of a server that is leaving doesn't make it ready; one from after its restart
/// does.
#[test]
fn a_restored_entry_does_not_reset_leaving() {
    let mut entries = Entries::new();
    let started_at =
        |started_ms, leaving| Server { started_ms: Some(started_ms), leaving, ..server("a") };
    entries.put(started_at(1_000, true));
    entries.put_restored(started_at(1_000, false), 0);
    assert!(entries.servers().all(|server| server.leaving));
    entries.put_restored(started_at(2_000, false), 0);
    assert!(entries.servers().all(|server| !server.leaving));
}

/// The backup's entry of a removed server is accepted only if it isn't removed again within the time in which it would
/// expire.
#[rstest]
fn a_restored_entry_is_accepted_unless_removed_again(#[values(false, true)] removed_again: bool) {
    let mut reader = Reader::new();
    assert!(!reader.remove("a", 10));
    let end = Position::new(2, 2);
    reader.entries.retain_listed(&BTreeSet::from(["a".to_string(), "b".to_string()]), end);
    reader.entries.put_restored(server("a"), 20);
    assert_eq!(ids(&reader.entries), ["b"]);
    assert!(!reader.entries.accept_restored(20 + RECOVERY_GRACE));
    if removed_again {
        reader.entries.remove("a", end.advance(1));
    }
    assert_eq!(reader.entries.accept_restored(20 + 10 * RECOVERY_GRACE), !removed_again);
    assert_eq!(ids(&reader.entries).contains(&"a".to_string()), !removed_again);
}

/// An entry that its owner writes again after the restore is accepted at once.
#[test]
fn an_entry_written_after_a_restore_is_accepted() {
    let mut reader = Reader::new();
    assert!(!reader.remove("a", 10));
    reader.entries.put_restored(server("a"), 20);
    assert!(reader.entries.put(server("a")));
    assert_eq!(ids(&reader.entries), ["a", "b"]);
}
