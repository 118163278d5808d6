//! A request that was refused as not run has in fact not run.

use std::collections::BTreeSet;

use crate::support::{address_of, book, calls, fleet, join_all, says_not_run, spawn_each, switch};

/// Many callers send bookings while the log fails and recovers and the service loses responses: no booking that was
/// answered as not run has run.
#[test]
fn refused_bookings_never_run() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let log = fleet.log.to_string();
    let desk = address_of(&fleet, "suva-desk");
    let mut refused = BTreeSet::new();
    let mut ran = BTreeSet::new();
    let rounds = [
        ("", ""),
        (r#"{"down": true}"#, ""),
        (r#"{"down": false, "lose_every": 2}"#, ""),
        ("", r#"{"lose_answers": true}"#),
        (r#"{"read_only": true}"#, ""),
        (r#"{"read_only": false, "lose_every": 0}"#, r#"{"lose_answers": false}"#),
    ];
    for (round, (log_switches, service_switches)) in rounds.iter().enumerate() {
        [(&log, log_switches), (&desk, service_switches)]
            .iter()
            .filter(|(_, s)| !s.is_empty())
            .for_each(|(address, switches)| switch(address, switches));
        let addresses: Vec<String> =
            fleet.instances.iter().map(|instance| instance.http.clone()).collect();
        let responses = spawn_each(8, move |number| {
            let body = format!("booking {round}/{number}");
            let key = (number % 2 == 0).then(|| format!("key-{round}-{number}"));
            let address = &addresses[number % addresses.len()];
            (body.clone(), book(address, key.as_deref(), &body).expect("a response"))
        });
        for (body, response) in join_all(responses) {
            if says_not_run(&response) {
                refused.insert(body);
            } else if response.status == 200 {
                ran.insert(body);
            }
        }
    }
    let calls: Vec<String> = calls(&fleet, "suva").into_iter().map(|call| call.body).collect();
    let called: BTreeSet<String> = calls.iter().cloned().collect();
    assert!(!refused.is_empty() && !ran.is_empty(), "the test caused both refusals and runs");
    assert_eq!(refused.intersection(&called).next(), None, "a booking refused as not run has run");
    assert_eq!(ran.difference(&called).next(), None, "a booking answered with 200 has not run");
    assert_eq!(calls.len(), called.len(), "a booking ran twice");
}

/// If no server of a service can be reached, a request is refused with a `retry-after` header.
#[test]
fn a_request_for_an_unreachable_service_is_refused() {
    let mut fleet = fleet(&["suva"], 1, 1, "");
    for backend in fleet.backends.iter_mut().filter(|backend| backend.kind == "service") {
        backend.address = "127.0.0.1:1".parse().expect("an address");
    }
    fleet.publish().expect("the list is replaced");
    drumusher_bench::fleet::wait_for("the new address is known", || {
        let response = book(&fleet.instances[0].http, None, "late").expect("a response");
        response.status == 503
            && says_not_run(&response)
            && response.header("retry-after").is_some()
    });
}
