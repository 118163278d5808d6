//! Quarantine of requests that crash backend servers.

use drumusher_log::quarantine::{Crash, Digest, MAX_RECORDS, Record, Table, Verdict};
use rstest::rstest;

fn crash(start: &str, alone: bool, at_ms: u64) -> Crash<'static> {
    Crash { start: start.into(), alone, at_ms, workspace: "w", route: "r", part: false }
}

/// A table in which a request was running at crashes of these starts, on trial or not.
fn table(digest: Digest, ends: &[(&str, bool)]) -> Table {
    let mut table = Table::new();
    for (start, alone) in ends {
        table.record_crash(digest, crash(start, *alone, 1_000));
    }
    table
}

#[rstest]
#[case(&[], Verdict::Free)]
#[case(&[("a", false)], Verdict::Free)]
#[case(&[("a", false), ("a", false)], Verdict::Free)]
#[case(&[("a", false), ("b", false)], Verdict::Trial)]
#[case(&[("a", false), ("b", false), ("c", false), ("d", false), ("e", false)], Verdict::Trial)]
#[case(&[("a", false), ("b", false), ("c", true)], Verdict::Trial)]
#[case(&[("a", false), ("b", false), ("c", true), ("d", true)], Verdict::Held)]
fn crashes_beside_others_lead_to_a_trial_and_crashes_on_trial_to_a_hold(
    #[case] ends: &[(&str, bool)],
    #[case] verdict: Verdict,
) {
    assert_eq!(table(Digest(1), ends).verdict(Digest(1)), verdict);
    assert_eq!(table(Digest(1), ends).verdict(Digest(2)), Verdict::Free);
}

/// A request that some servers answer remains on trial after it crashed one there.
#[test]
fn an_answer_does_not_end_the_trial_of_a_request_that_crashed_a_server_on_trial() {
    let mut table = table(Digest(1), &[("a", false), ("b", false), ("c", true)]);
    assert!(table.clear_answered(Digest(1)), "the crashes beside others are cleared");
    assert_eq!(table.verdict(Digest(1)), Verdict::Trial);
    table.record_crash(Digest(1), crash("d", true, 2_000));
    assert_eq!(table.verdict(Digest(1)), Verdict::Held);
}

/// Clearing a request requires a write to the store even if the store is not known to have its record. Otherwise a
/// record that was written but not read back yet returned, and the request was a suspect again at all instances
/// although it had been answered.
#[test]
fn clearing_a_request_reports_whether_it_was_known() {
    let mut table = table(Digest(1), &[("a", false), ("b", false), ("c", false)]);
    assert!(table.clear(Digest(1)), "the store is told");
    assert_eq!(table.verdict(Digest(1)), Verdict::Free);
    assert!(!table.clear(Digest(1)), "nothing is known of it any more");
}

/// Two instances that note different crashes of a request, and read each other's record, have the same record.
#[test]
fn records_of_two_instances_are_merged() {
    let of = |ends| table(Digest(1), ends);
    let (mut one, mut two) = (of(&[("a", false), ("b", false)]), of(&[("b", true), ("c", true)]));
    let (first, second) =
        (one.get(Digest(1)).cloned().expect("it is"), two.get(Digest(1)).cloned().expect("it is"));
    one.merge(Digest(1), second);
    two.merge(Digest(1), first);
    for table in [&one, &two] {
        let record = table.get(Digest(1)).expect("it is known");
        assert_eq!((record.ends.len(), record.verdict()), (3, Verdict::Held));
    }
}

/// A whole table of the store drops the records it no longer has, but not those that were never written there.
#[test]
fn unwritten_records_survive_a_whole_table() {
    let mut table = table(Digest(1), &[("a", false)]);
    table.merge(Digest(2), Record::default());
    table.retain_listed(&Default::default());
    assert!(table.get(Digest(1)).is_some() && table.get(Digest(2)).is_none());
}

/// A workspace with thousands of forged requests that were running at crashes evicts only records of its own, and
/// none of a request that is held back.
#[test]
fn a_flood_evicts_no_records_of_other_workspaces() {
    let mut table = table(Digest(1), &[("a", false), ("b", false), ("c", true), ("d", true)]);
    let other = Crash { workspace: "other", ..crash("a", false, 1) };
    table.record_crash(Digest(2), other);
    for number in 0..20_000 {
        let crash = Crash { workspace: "flood", ..crash("a", false, 2_000 + number as u64) };
        table.record_crash(Digest(100 + number), crash);
    }
    assert_eq!(table.len(), MAX_RECORDS);
    assert_eq!(table.verdict(Digest(1)), Verdict::Held);
    assert!(table.get(Digest(2)).is_some());
}

#[rstest]
#[case(&[("a", false)], 10 * 60_000)]
#[case(&[("a", false), ("b", false), ("c", true), ("d", true)], 60 * 60_000)]
fn a_record_expires_after_its_latest_crash(
    #[case] ends: &[(&str, bool)],
    #[case] retention_ms: u64,
) {
    let table = table(Digest(1), ends);
    assert_eq!(table.expired(1_000 + retention_ms), Vec::new());
    assert_eq!(table.expired(1_001 + retention_ms), vec![Digest(1)]);
}

#[rstest]
#[case("000000000000000000000000000000ff", Some(Digest(255)))]
#[case("ff", None)]
#[case("+00000000000000000000000000000ff", None)]
fn a_digest_is_parsed_from_its_hexadecimal_form(
    #[case] text: &str,
    #[case] digest: Option<Digest>,
) {
    assert_eq!(Digest::parse(text), digest);
}

/// A table in which parts were suspected at these crashes.
fn part_table(parts: &[(u128, &[(&str, bool)])]) -> Table {
    let mut table = Table::new();
    for (digest, ends) in parts {
        for (start, alone) in *ends {
            let crash = Crash { part: true, ..crash(start, *alone, 1_000) };
            table.record_crash(Digest(*digest), crash);
        }
    }
    table
}

#[rstest]
#[case::one_crash(&[("a", false)], Verdict::Free)]
#[case::two_crashes(&[("a", false), ("b", false)], Verdict::Trial)]
#[case::two_on_trial(&[("a", true), ("b", true)], Verdict::Trial)]
#[case::three_on_trial(&[("a", true), ("b", true), ("c", true)], Verdict::Held)]
fn parts_are_held_back_after_three_crashes_on_trial(
    #[case] ends: &[(&str, bool)],
    #[case] verdict: Verdict,
) {
    let table = part_table(&[(1, ends)]);
    assert!(table.has_parts());
    assert_eq!(table.verdict(Digest(1)), verdict);
}

#[test]
fn crashes_that_a_held_part_explains_are_no_evidence_against_others() {
    let deadly: &[(&str, bool)] = &[("a", false), ("b", true), ("c", true), ("d", true)];
    let beside: &[(&str, bool)] = &[("b", true), ("c", true), ("d", true)];
    let other: &[(&str, bool)] = &[("c", true), ("d", true), ("x", false), ("y", false)];
    let mut table = part_table(&[(1, beside), (2, deadly), (3, other)]);
    table.record_crash(Digest(4), crash("b", true, 1_000));
    table.record_crash(Digest(4), crash("c", true, 1_000));
    assert_eq!(table.verdict(Digest(2)), Verdict::Held);
    assert_eq!(table.verdict(Digest(1)), Verdict::Free);
    assert_eq!(table.verdict(Digest(3)), Verdict::Trial, "crashes that nothing explains remain");
    assert_eq!(table.verdict(Digest(4)), Verdict::Free, "requests too");
    assert_eq!(table.held_count(), 1);
    assert!(table.clear(Digest(2)), "an answer clears it");
    assert_eq!(table.verdict(Digest(1)), Verdict::Held, "the crashes need another cause");
}

#[test]
fn a_record_of_a_part_survives_the_store() {
    let table = part_table(&[(1, &[("a", true), ("b", true)])]);
    let text = serde_json::to_string(table.get(Digest(1)).expect("a record")).expect("JSON");
    let record: Record = serde_json::from_str(&text).expect("a record");
    assert!(record.part);
    let whole = part_table(&[]).get(Digest(1)).cloned().unwrap_or_default();
    assert!(!serde_json::to_string(&whole).expect("JSON").contains("part"));
}
