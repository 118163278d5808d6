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

/// Two servers that crash at the same time, each while answering on the parts given with it.
fn crashed_together(answered: &mut Answered, at: u64, parts: [&[u64]; 2]) {
    for (start, parts) in ["s1", "s2"].iter().zip(parts) {
        answered.note_crash(at, start);
        answered.note_parts("a", parts, start);
    }
}

#[test]
fn a_part_that_was_never_answered_may_be_the_common_cause() {
    let mut answered = Answered::default();
    answered.record_answer(0, "a", &[1]);
    let now = 3 * SECOND;
    crashed_together(&mut answered, now, [&[1, 7, 8], &[1, 7, 9]]);
    let causes: Vec<u64> = [1, 7, 8, 9]
        .into_iter()
        .filter(|part| answered.is_common_cause(now, "a", *part, "s1"))
        .collect();
    assert_eq!(causes, [7], "1 was answered, 8 and 9 were in use on one of them");
    assert!(!answered.is_common_cause(now, "b", 7, "s1"), "of another workspace");
    answered.record_answer(now, "a", &[7]);
    assert!(!answered.is_common_cause(now, "a", 7, "s1"), "answered since");
}

#[test]
fn no_part_is_the_common_cause_before_others_were_answered() {
    let mut answered = Answered::default();
    crashed_together(&mut answered, SECOND, [&[7], &[7]]);
    assert!(!answered.is_common_cause(SECOND, "a", 7, "s1"), "no answer yet");
    answered.record_answer(SECOND, "a", &[1]);
    assert!(!answered.is_common_cause(2 * SECOND, "a", 7, "s1"), "answers for one second");
    assert!(answered.is_common_cause(4 * SECOND, "a", 7, "s1"));
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
