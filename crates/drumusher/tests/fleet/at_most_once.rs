//! A request that is not idempotent, such as a booking, runs at most once.

use std::collections::BTreeMap;

use drumusher_bench::fleet::{Fleet, wait_for};
use rstest::rstest;

use crate::support::{address_of, book, calls, fleet, join_all, says_not_run, spawn_each, switch};

/// How often the service in the zone `suva` ran each request body.
fn runs_by_body(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for call in calls(fleet, "suva") {
        *counts.entry(call.body).or_default() += 1;
    }
    counts
}

/// Three bookings, each sent several times through every instance at once, with a log and a service that are slow or
/// lose responses.
#[rstest]
#[case::healthy("{}", "{}")]
#[case::lost_appends(r#"{"lose_every": 2}"#, "{}")]
#[case::slow_log(r#"{"slow_ms": 80}"#, "{}")]
#[case::lost_calls("{}", r#"{"lose_answers": true}"#)]
#[case::lost_appends_and_calls(
    r#"{"lose_every": 3, "slow_ms": 30}"#,
    r#"{"lose_answers": true, "delay_ms": 50}"#
)]
fn a_key_runs_once_through_all_instances(
    #[case] log_switches: &str,
    #[case] service_switches: &str,
) {
    let fleet = fleet(&["suva"], 3, 1, "");
    switch(&fleet.log.to_string(), log_switches);
    switch(&address_of(&fleet, "suva-desk"), service_switches);
    let addresses: Vec<String> = fleet.instances.iter().map(|i| i.http.clone()).collect();
    let responses = spawn_each(18, move |number| {
        let booking = number % 3;
        let address = &addresses[(number / 3) % addresses.len()];
        let key = format!("key-{booking}");
        book(address, Some(&key), &format!("booking {booking}")).expect("a response")
    });
    let responses = join_all(responses);
    let counts = runs_by_body(&fleet);
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
    assert_eq!(counts.len(), 3, "each booking ran: the log was available");
    for response in &responses {
        assert!(
            matches!(response.status, 200 | 409 | 502),
            "{} {}",
            response.status,
            response.body
        );
    }
}

/// The instance that claimed a booking is killed during the call: a retry through another instance gets
/// `outcome_unknown`, and the booking does not run again.
#[test]
fn a_booking_of_a_killed_claimant_is_not_run_again() {
    let mut fleet = fleet(&["suva"], 2, 1, "");
    switch(&address_of(&fleet, "suva-desk"), r#"{"delay_ms": 400}"#);
    let http = fleet.instances[0].http.clone();
    let first = spawn_each(1, move |_| book(&http, Some("b-1"), "booking"));
    wait_for("the call runs", || !calls(&fleet, "suva").is_empty());
    fleet.instances[0].kill();
    fleet.instances[0].listed = false;
    fleet.publish().expect("the list is replaced");
    drop(join_all(first));
    let http = fleet.instances[1].http.clone();
    let repeat = || book(&http, Some("b-1"), "booking").expect("a response");
    wait_for("the claimant is known to have ended", || {
        let response = repeat();
        assert_eq!(response.status, 409, "{}", response.body);
        response.json()["error"]["code"] == "outcome_unknown"
    });
    assert_eq!(runs_by_body(&fleet).values().sum::<usize>(), 1);
}

/// The claimant is stopped by a signal after its claim and before it sends the call (as closely as a test can time
/// this from outside), and continues after other instances got the same bookings: each booking runs once.
#[test]
fn a_stopped_claimant_runs_nothing_twice_when_it_continues() {
    let fleet = fleet(&["suva"], 3, 1, "");
    switch(&fleet.log.to_string(), r#"{"slow_ms": 60}"#);
    let addresses: Vec<String> = fleet.instances.iter().map(|i| i.http.clone()).collect();
    let paused = spawn_each(4, {
        let http = addresses[0].clone();
        move |number| book(&http, Some(&format!("key-{number}")), &format!("booking {number}"))
    });
    let log = fleet.log.to_string();
    wait_for("a claim is in the log", || {
        let stats = drumusher_bench::client::get(&log, "/stats", &[]).expect("the log").json();
        stats["next"]["claims"].as_u64().is_some_and(|next| next > 0)
    });
    fleet.instances[0].signal("STOP");
    let others = spawn_each(8, move |number| {
        let booking = number / 2;
        let http = &addresses[1 + number % 2];
        book(http, Some(&format!("key-{booking}")), &format!("booking {booking}"))
    });
    let others = join_all(others);
    fleet.instances[0].signal("CONT");
    let own = join_all(paused);
    let counts = runs_by_body(&fleet);
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
    for response in others.iter().chain(&own).flatten() {
        if says_not_run(response) {
            continue;
        }
        assert!(
            matches!(response.status, 200 | 409 | 502),
            "{} {}",
            response.status,
            response.body
        );
    }
}

/// Without an idempotency key a call is sent once, even if the service loses the response.
#[test]
fn a_call_without_a_key_is_sent_once() {
    let fleet = fleet(&["suva", "nadi"], 1, 1, "");
    for zone in ["suva", "nadi"] {
        switch(&address_of(&fleet, &format!("{zone}-desk")), r#"{"lose_answers": true}"#);
    }
    let response = book(&fleet.instances[0].http, None, "booking").expect("a response");
    assert_eq!(response.status, 502, "{}", response.body);
    assert_eq!(response.json()["error"]["ran"], "unknown");
    assert_eq!(calls(&fleet, "suva").len() + calls(&fleet, "nadi").len(), 1);
}

/// While the log is down a booking with a key is refused as not run; it runs when it is retried after the log is back.
#[test]
fn a_booking_refused_while_the_log_is_down_can_be_retried() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let log = fleet.log.to_string();
    switch(&log, r#"{"down": true}"#);
    let http = &fleet.instances[0].http;
    let refused = book(http, Some("b-1"), "booking").expect("a response");
    assert_eq!((refused.status, says_not_run(&refused)), (503, true), "{}", refused.body);
    assert_eq!(calls(&fleet, "suva").len(), 0);
    switch(&log, r#"{"down": false}"#);
    wait_for("the booking runs", || {
        let response = book(http, Some("b-1"), "booking").expect("a response");
        response.status == 200
    });
    assert_eq!(calls(&fleet, "suva").len(), 1);
}

/// An idempotency key that was used for another request is refused with 422.
#[test]
fn a_key_is_refused_for_another_request() {
    let fleet = fleet(&["suva"], 1, 1, "");
    let http = &fleet.instances[0].http;
    assert_eq!(book(http, Some("b-1"), "one").expect("a response").status, 200);
    let other = book(http, Some("b-1"), "two").expect("a response");
    assert_eq!((other.status, says_not_run(&other)), (422, true), "{}", other.body);
    assert_eq!(calls(&fleet, "suva").len(), 1);
}

/// The instance that ran a booking replays the stored response, even before it has read the end of the call from the
/// log.
#[test]
fn the_claimant_replays_its_response_without_the_log() {
    let fleet = fleet(&["suva"], 1, 1, "");
    let http = &fleet.instances[0].http;
    let first = book(http, Some("b-1"), "booking").expect("a response");
    switch(&fleet.log.to_string(), r#"{"down": true}"#);
    let again = book(http, Some("b-1"), "booking").expect("a response");
    assert_eq!((again.status, &again.body), (200, &first.body));
    assert_eq!(calls(&fleet, "suva").len(), 1);
}
