//! Parts of prompts that backend servers have answered.

use drumusher::process::dispatch::Answered;
use drumusher_schedule::time::SECOND;

/// Number of the crash of `starts`, from 1, that is the first evidence; 0 for none.
fn first_evidence(answered: &mut Answered, starts: &[&str]) -> usize {
    let mut starts = starts.iter();
    let first = starts.position(|start| answered.record_crash(SECOND, "a", 7, start));
    first.map_or(0, |index| index + 1)
}

const STARTS: [&str; 6] = ["s1", "s2", "s3", "s4", "s5", "s6"];

#[test]
fn only_many_crashes_are_evidence_against_an_answered_part() {
    let mut answered = Answered::default();
    assert_eq!(first_evidence(&mut answered, &STARTS), 1, "never answered");
    answered.record_answer(SECOND, "a", &[7]);
    assert_eq!(first_evidence(&mut answered, &["s1"; 9]), 0, "one crash, reported by many");
    assert_eq!(first_evidence(&mut answered, &STARTS), 5);
    answered.record_answer(SECOND, "a", &[7]);
    assert_eq!(first_evidence(&mut answered, &STARTS), 5, "an answer resets the count");
}

#[test]
fn servers_that_crash_at_the_same_time_have_a_common_cause() {
    let mut answered = Answered::default();
    for (at, start) in [(0, "s1"), (1_000, "s1"), (30_000, "s2"), (200_000, "s3")] {
        answered.note_crash(SECOND + at, start);
    }
    assert!(answered.has_common_cause("s1") && answered.has_common_cause("s2"));
    assert!(!answered.has_common_cause("s3"));
    assert!(!answered.is_decided(SECOND + 40_000, SECOND));
    assert!(answered.is_decided(SECOND + 60_000, SECOND));
}

#[test]
fn answers_count_for_their_workspace_and_for_a_while() {
    let mut answered = Answered::default();
    answered.record_answer(0, "b", &[7]);
    assert_eq!(first_evidence(&mut answered, &STARTS), 1);
    answered.record_answer(0, "a", &[7]);
    assert!(answered.record_crash(601 * SECOND, "a", 7, "s1"));
}

#[test]
fn the_number_of_answered_parts_is_bounded_and_old_ones_go_first() {
    let mut answered = Answered::default();
    for part in 0..100_000 {
        answered.record_answer(part, "a", &[part]);
    }
    assert!(answered.record_crash(100_000, "a", 1, "s1"), "forgotten");
    assert!(!answered.record_crash(100_000, "a", 99_999, "s1"), "remembered");
}
