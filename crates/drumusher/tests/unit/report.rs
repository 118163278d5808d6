//! What heartbeats say about the store.

use drumusher::process::{catalog::RELAY_TIMEOUT, peers::Report};
use drumusher_schedule::time::{MILLISECOND, SECOND};
use drumusher_wire::peer::Heartbeat;
use rstest::rstest;

const NOW: u64 = 100 * SECOND;
const CURRENT_MS: u64 = 1_000;

fn heartbeat(answered_ms_ago: Option<i64>) -> Heartbeat {
    Heartbeat::new(0, None, None, true, None, None, None, None, None, true, answered_ms_ago)
}

/// Guards against an instance that trusts a reader whose calls the store no longer answers, for as long as none of them
/// has failed: it served by an old configuration for up to four seconds.
#[rstest]
#[case::just_answered(0, 1_000)]
#[case::answered_a_while_ago(800, 200)]
fn records_of_a_reader_are_current_for_a_while_after_the_latest_answer(
    #[case] age_ms: i64,
    #[case] left_ms: u64,
) {
    let report = Report::new(&heartbeat(Some(age_ms)), NOW, CURRENT_MS);
    assert!(report.is_current(NOW + left_ms * MILLISECOND - 1));
    assert!(!report.is_current(NOW + left_ms * MILLISECOND));
}

/// A silent store and a silent reader are different things: the reader still says that it reads.
#[rstest]
#[case::just_expired(1_000)]
#[case::long_ago(3_700)]
#[case::beyond_all_ages(i64::MAX)]
fn a_reader_without_recent_answers_reads_but_is_not_current(#[case] age_ms: i64) {
    let report = Report::new(&heartbeat(Some(age_ms)), NOW, CURRENT_MS);
    assert!(report.reads && !report.is_current(NOW));
}

/// Where a change may take long to be in force, a reader that is not heard from any more is replaced as early as elsewhere.
#[test]
fn a_report_is_valid_for_the_relay_timeout_at_most() {
    let report = Report::new(&heartbeat(Some(0)), NOW, 60_000);
    assert!(report.is_current(NOW + RELAY_TIMEOUT - 1) && !report.is_current(NOW + RELAY_TIMEOUT));
}

/// Earlier versions of the program do not send the age of the latest answer.
#[test]
fn a_report_without_an_age_counts_from_the_heartbeat() {
    let report = Report::new(&heartbeat(None), NOW, CURRENT_MS);
    assert!(report.is_current(NOW) && !report.is_current(NOW + RELAY_TIMEOUT));
    let no_reader = Heartbeat { reads: None, ..heartbeat(None) };
    assert!(!Report::new(&no_reader, NOW, CURRENT_MS).is_current(NOW));
}
