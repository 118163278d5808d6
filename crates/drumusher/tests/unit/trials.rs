//! Trials of requests that are suspected of crashing servers.

use drumusher::process::dispatch::Trials;
use drumusher_log::quarantine::Digest;
use drumusher_schedule::server::Key;

/// Guards against a run without a trial that counts as one because the same request was on trial before without a
/// crash: a request beside it may have crashed the backend server.
#[test]
fn a_run_without_a_trial_is_not_mistaken_for_an_earlier_one() {
    let digest = Digest::from_wire(&[7; 16]).expect("a digest");
    let mut trials = Trials::default();
    trials.begin(1, vec![digest]);
    assert_eq!(trials.grant(1, Key(0)), Some(true));
    assert!(trials.end(0, 1));
    assert_eq!(
        trials.was_alone(1),
        Some(true),
        "its instance finds out later that the server crashed"
    );
    trials.forget(1);
    assert_eq!(trials.was_alone(1), None);
}
