//! Scanning of event streams (SSE): only complete events pass, each token once, and none is lost.

use drumusher::request::sse::{Error, Scanner};
use proptest::prelude::*;
use rstest::rstest;

fn event(index: u32, text: &str, finish: &str) -> String {
    let text = serde_json::to_string(text).expect("a text");
    format!(
        "data: {{\"choices\":[{{\"finish_reason\":{finish},\"index\":0,\"text\":{text}}}],\
         \"token_index\":{index}}}\n\n"
    )
}

fn events(from: u32, texts: &[String]) -> String {
    let numbered = (from..).zip(&texts[from as usize..]);
    numbered.map(|(index, text)| event(index, text, "null")).collect()
}

fn end(tokens: usize) -> String {
    format!("{}data: [DONE]\n\n", event(tokens as u32, "", "\"stop\""))
}

fn texts() -> impl Strategy<Value = Vec<String>> {
    proptest::collection::vec("[ -~äöü\\n\"\\\\]{1,12}", 1..30)
}

proptest! {
    /// The result doesn't depend on the chunks in which the stream arrives.
    #[test]
    fn chunk_boundaries_do_not_matter(texts in texts(), size in 1usize..80) {
        let stream = events(0, &texts) + &end(texts.len());
        let mut scanner = Scanner::new();
        let mut output = Vec::new();
        for piece in stream.as_bytes().chunks(size) {
            output.extend_from_slice(&scanner.push(piece).expect("a valid stream").bytes);
        }
        prop_assert_eq!(String::from_utf8_lossy(&output), stream);
        prop_assert_eq!(scanner.text(), texts.concat());
        prop_assert_eq!(scanner.delivered() as usize, texts.len());
        prop_assert!(scanner.finished() && scanner.done());
        prop_assert_eq!(scanner.finish_reason(), "stop");
    }

    /// An attempt breaks off anywhere, and the next one resumes there or a few tokens before. Each token passes once.
    #[test]
    fn repeated_tokens_are_removed(texts in texts(), cut in 0usize..2_000, overlap in 0u32..4) {
        let first = events(0, &texts);
        let cut = cut.min(first.len());
        let mut scanner = Scanner::new();
        let mut output = scanner.push(&first.as_bytes()[..cut]).expect("proper").bytes.to_vec();
        scanner.restart();
        let from = scanner.delivered().saturating_sub(overlap);
        let second = events(from, &texts) + &end(texts.len());
        output.extend_from_slice(&scanner.push(second.as_bytes()).expect("proper").bytes);
        let whole = events(0, &texts) + &end(texts.len());
        prop_assert_eq!(String::from_utf8_lossy(&output), whole);
        prop_assert_eq!(scanner.text(), texts.concat());
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(pieces in proptest::collection::vec(
        proptest::collection::vec(any::<u8>(), 0..64), 0..16,
    )) {
        let mut scanner = Scanner::new();
        for piece in pieces {
            let _ = scanner.push(&piece);
        }
        prop_assert!(!scanner.finished());
    }
}

#[test]
fn a_gap_is_an_error() {
    let mut scanner = Scanner::new();
    let stream = event(0, "a", "null") + &event(2, "c", "null");
    assert_eq!(scanner.push(stream.as_bytes()), Err(Error::Gap));
    assert_eq!(scanner.delivered(), 1);
}

/// Comments don't pass, and neither does `[DONE]` without a finish reason, since that response is incomplete.
#[rstest]
#[case::done_alone("data: [DONE]\n\n")]
#[case::comment(": keep-alive\n\n")]
fn events_outside_the_response_are_withheld(#[case] event: &str) {
    let mut scanner = Scanner::new();
    let piece = scanner.push(event.as_bytes()).expect("valid");
    assert!(piece.bytes.is_empty());
    assert!(!scanner.finished());
}

#[test]
fn an_event_without_end_is_an_error() {
    let mut scanner = Scanner::new();
    let endless = vec![b'x'; 1_100_000];
    assert_eq!(scanner.push(&endless), Err(Error::Malformed));
}
