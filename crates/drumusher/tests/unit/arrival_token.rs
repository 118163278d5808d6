//! Arrival tokens, with which a retry keeps its place in the queue.

use drumusher::{
    process::clock,
    request::arrival_token::{issue, verify},
};
use proptest::prelude::*;
use rstest::rstest;

const SECRET: &str = "a secret of the fleet";

#[test]
fn a_valid_token_has_the_arrival_time() {
    let arrived = clock::unix_ms() - 5_000;
    let token = issue(SECRET, "vanua", "pickup", arrived);
    assert_eq!(verify(SECRET, "vanua", "pickup", &token), Some(arrived));
}

#[rstest]
#[case::other_secret("another secret", "vanua", "pickup", 1_000)]
#[case::other_workspace(SECRET, "hizlikosu", "pickup", 1_000)]
#[case::other_class(SECRET, "vanua", "bulk", 1_000)]
#[case::too_old(SECRET, "vanua", "pickup", 700_000)]
fn an_invalid_token_is_refused(
    #[case] secret: &str,
    #[case] workspace: &str,
    #[case] class: &str,
    #[case] age: u64,
) {
    let token = issue(secret, workspace, class, clock::unix_ms() - age);
    assert_eq!(verify(SECRET, "vanua", "pickup", &token), None);
}

#[test]
fn an_arrival_in_the_future_is_refused() {
    let token = issue(SECRET, "vanua", "pickup", clock::unix_ms() + 60_000);
    assert_eq!(verify(SECRET, "vanua", "pickup", &token), None);
}

proptest! {
    #[test]
    fn arbitrary_text_is_refused_without_a_panic(text in ".{0,80}") {
        prop_assert_eq!(verify(SECRET, "vanua", "pickup", &text), None);
    }
}
