//! The summary of all requests from log lines.

use drumusher::{explain::Cause, summary::Summary};
use proptest::prelude::*;

fn line(second: u32, message: &str, route: &str, facts: &str) -> String {
    format!(
        r#"{{"time":"2026-01-01T00:00:{second:02}.5+00:00","message":"{message}","attributes":{{"request":"a{second}","route":"{route}"{facts}}}}}"#
    )
}

#[test]
fn results_are_counted_by_route_and_second() {
    let attributes = r#","source":"m2","attempts":"2","expected_ms":"100","handed_ms":"300""#;
    let lines = [
        line(1, "request ended: delivered", "letters", attributes),
        format!("   1.5 i-1 {}", line(1, "request ended: caller gone", "letters", "")),
        line(2, "request ended: no_server", "answers", ""),
        line(2, "request turned away: no route", "", ""),
        line(2, "attempt ended: silent", "answers", ""),
        "no JSON".into(),
        "{}".into(),
    ];
    let summary = Summary::new(lines.iter().map(String::as_str));
    let letters = &summary.routes["letters"];
    assert_eq!((letters.total(), letters.retried, letters.cache_sourced), (2, 1, 1));
    assert_eq!(letters.ends[&Cause::CallerGone], 1);
    assert_eq!(
        summary.routes["answers"].ends[&Cause::NotRun],
        1,
        "the end of an attempt does not count"
    );
    let seconds: Vec<u32> = summary.seconds.values().map(|group| group.total()).collect();
    assert_eq!(seconds, [2, 2]);
    assert_eq!(summary.unread, 1);
    let text = summary.to_string();
    assert!(text.contains("expected in 100 ms, came in 300 ms"), "{text}");
}

proptest! {
    #[test]
    fn arbitrary_text_has_a_summary(text in "(.|\n){0,300}") {
        let _ = Summary::new(text.lines()).to_string();
    }
}
