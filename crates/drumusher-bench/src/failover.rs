//! Time to first token of new requests when their dispatcher is killed or suspended, and the latency that the claim of
//! an idempotency key adds.

use std::{io, time::Instant};

use crate::{
    client,
    demo::{self, Processes},
    fleet::{Fleet, key, wait_for},
    load,
};

/// Number of failovers per kind of failure.
const ROUNDS: usize = 6;
/// Number of bookings with and without an idempotency key.
const BOOKINGS: usize = 60;

/// Runs the measurements on a fleet of processes and prints a table.
///
/// # Errors
///
/// Any I/O error of starting or querying processes.
pub fn run() -> io::Result<()> {
    let mut fleet = demo::fleet(&["suva-hall"], 1)?;
    fleet.add_instance("suva-hall-2", "suva-hall")?;
    fleet.wait_ready();
    fleet.wait_converged();
    println!("| measurement | milliseconds, sorted |\n|---|---|");
    let killed: Vec<u128> = (0..ROUNDS).map(|_| fail_dispatcher(&mut fleet, "KILL")).collect();
    println!("| time to first token after the dispatcher was killed | {} |", list(killed));
    let stopped: Vec<u128> = (0..ROUNDS).map(|_| fail_dispatcher(&mut fleet, "STOP")).collect();
    println!("| time to first token after it was suspended | {} |", list(stopped));
    let with: Vec<u128> = (0..BOOKINGS).map(|number| book(&fleet, Some(number))).collect();
    let without: Vec<u128> = (0..BOOKINGS).map(|_| book(&fleet, None)).collect();
    println!("| booking with an idempotency key (a claim) | {} |", quantiles(with));
    println!("| booking without an idempotency key | {} |", quantiles(without));
    Ok(())
}

/// Sends the dispatcher a signal (`KILL` or `STOP`) and a request to another instance, and recovers the dispatcher.
/// Returns the time to first token in milliseconds, or the maximum if there was no token.
fn fail_dispatcher(fleet: &mut Fleet<Processes>, signal: &str) -> u128 {
    let entry = 0;
    load::closed(&fleet.instances[entry].http, &key("vanua"), "urgent", (1, 2), 2);
    let names: Vec<String> = fleet.instances.iter().map(|i| i.name.clone()).collect();
    let rows = fleet.ask(entry, "show instances").expect("the instance responds").lines();
    let row = rows.iter().find(|row| row["dispatches"].to_string().contains("model:draft"));
    let name = row.and_then(|row| row["instance"].as_str()).unwrap_or_default();
    let dispatcher = names.iter().position(|other| other == name).expect("there is a dispatcher");
    let entry =
        (0..names.len()).find(|number| *number != dispatcher).expect("there is another instance");
    load::closed(&fleet.instances[entry].http, &key("vanua"), "urgent", (1, 2), 2);
    fleet.instances[dispatcher].signal(signal);
    let samples = load::closed(&fleet.instances[entry].http, &key("vanua"), "urgent", (1, 1), 2);
    if signal == "STOP" {
        fleet.instances[dispatcher].signal("CONT");
    } else {
        fleet.instances[dispatcher].kill();
        fleet.restart(dispatcher).expect("the instance restarts");
    }
    fleet.wait_ready();
    wait_for("all instances answer", || {
        let rows = fleet.ask(entry, "show instances").map(|answer| answer.lines());
        rows.is_ok_and(|rows| rows.iter().all(|row| row["no_answer"].is_null()))
    });
    samples[0].first.map_or(u128::MAX, |time| time.as_millis())
}

/// Sends a booking, with an idempotency key if `number` is given, and returns its latency in milliseconds.
fn book(fleet: &Fleet<Processes>, number: Option<usize>) -> u128 {
    let authorization = format!("Bearer {}", key("vanua"));
    let key = number.map(|number| format!("booking-{number}"));
    let mut headers =
        vec![("authorization", authorization.as_str()), ("drumusher-class", "booking")];
    headers.extend(key.as_deref().map(|key| ("idempotency-key", key)));
    let address = &fleet.instances[number.unwrap_or(0) % fleet.instances.len()].http;
    let since = Instant::now();
    let answer = client::post(address, "/services/desk/bookings", &headers, "{}");
    assert!(answer.is_ok_and(|answer| answer.status == 200), "the booking failed");
    since.elapsed().as_millis()
}

fn list(mut times: Vec<u128>) -> String {
    times.sort_unstable();
    times.iter().map(u128::to_string).collect::<Vec<String>>().join(", ")
}

fn quantiles(mut times: Vec<u128>) -> String {
    times.sort_unstable();
    let percentile = |percent: usize| times[(times.len() - 1) * percent / 100];
    format!("p50 {}, p99 {}", percentile(50), percentile(99))
}
