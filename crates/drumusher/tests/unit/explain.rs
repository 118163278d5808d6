//! The explanation of a single request from log lines.

use drumusher::explain::{Cause, Explanation};
use proptest::prelude::*;
use rstest::rstest;

fn line(time: &str, message: &str, request: &str) -> String {
    format!(
        r#"{{"time":"{time}","level":"INFO","message":"{message}","attributes":{{"request":"{request}","server":"s1","attempt":"1"}}}}"#
    )
}

#[rstest]
#[case("request ended: delivered", Cause::Delivered)]
#[case("request ended: caller gone", Cause::CallerGone)]
#[case("request ended: backend_failed", Cause::BackendFailed)]
#[case("request ended: timed_out", Cause::TimedOut)]
#[case("request ended: broken off", Cause::BrokenOff)]
#[case("request ended: no_server", Cause::NotRun)]
#[case("request ended: wait_bound", Cause::NotRun)]
#[case("request turned away: no route", Cause::TurnedAway)]
#[case("attempt ended: closed", Cause::Unknown)]
fn the_cause_follows_from_the_last_line(#[case] message: &str, #[case] cause: Cause) {
    let lines = [line("2", message, "a"), line("1", "attempt ended: silent", "a")];
    let explanation = Explanation::new("a", lines.iter().map(String::as_str));
    assert_eq!((explanation.cause, explanation.steps.len()), (cause, 2));
    assert_eq!(explanation.steps[0].time, "1", "steps are sorted by time");
}

#[test]
fn lines_of_other_requests_and_programs_are_ignored() {
    let lines = [line("1", "request ended: delivered", "b"), "no JSON".into(), "{}".into()];
    let explanation = Explanation::new("a", lines.iter().map(String::as_str));
    assert!(explanation.steps.is_empty());
    assert_eq!((explanation.cause, explanation.unread), (Cause::Unknown, 1));
    assert!(explanation.to_string().contains("1 lines could not be read"));
}

proptest! {
    #[test]
    fn arbitrary_text_causes_no_panic(text in "(.|\n){0,300}") {
        let explanation = Explanation::new("a", text.lines());
        let _ = (explanation.to_string(), explanation.to_json());
    }
}

#[test]
fn a_delivered_failure_is_reported_as_one() {
    let line = line("1", "request ended: delivered", "a")
        .replace("\"attempt\":\"1\"", "\"status\":\"500\"");
    assert_eq!(Explanation::new("a", [line.as_str()].into_iter()).cause, Cause::FailureDelivered);
}
