//! How long new requests wait when their dispatcher dies or freezes, and what a booking's claim
//! adds.

use std::{io, time::Instant};

use crate::{
    client,
    demo::{self, Processes},
    fleet::{Fleet, key, wait_for},
    load,
};

/// Rounds of each measurement.
const ROUNDS: usize = 6;
/// Bookings of each measurement.
const BOOKINGS: usize = 60;

/// Runs the measurements on separate processes and prints them.
///
/// # Errors
///
/// Any error of the operating system.
pub fn run() -> io::Result<()> {
    let mut fleet = demo::fleet(&["suva-hall"], 1)?;
    fleet.add_instance("suva-hall-2", "suva-hall")?;
    fleet.wait_ready();
    fleet.wait_converged();
    println!("| what | milliseconds, sorted |\n|---|---|");
    let killed: Vec<u128> = (0..ROUNDS).map(|_| lose(&mut fleet, "KILL")).collect();
    println!("| first token of a request sent when its dispatcher was killed | {} |", list(killed));
    let frozen: Vec<u128> = (0..ROUNDS).map(|_| lose(&mut fleet, "STOP")).collect();
    println!("| the same when it was frozen | {} |", list(frozen));
    let with: Vec<u128> = (0..BOOKINGS).map(|number| book(&fleet, Some(number))).collect();
    let without: Vec<u128> = (0..BOOKINGS).map(|_| book(&fleet, None)).collect();
    println!("| booking with a key (a claim) | {} |", quantiles(with));
    println!("| booking without a key | {} |", quantiles(without));
    Ok(())
}

/// Loses the dispatcher, sends a request through another instance, and brings it back.
fn lose(fleet: &mut Fleet<Processes>, signal: &str) -> u128 {
    let entry = 0;
    load::closed(&fleet.instances[entry].http, &key("vanua"), "urgent", (1, 2), 2);
    let names: Vec<String> = fleet.instances.iter().map(|i| i.name.clone()).collect();
    let rows = fleet.ask(entry, "show instances").expect("an answer").lines();
    let row = rows.iter().find(|row| row["dispatches"].to_string().contains("model:draft"));
    let name = row.and_then(|row| row["instance"].as_str()).unwrap_or_default();
    let lost = names.iter().position(|other| other == name).expect("a dispatcher");
    let entry = (0..names.len()).find(|number| *number != lost).expect("another one");
    load::closed(&fleet.instances[entry].http, &key("vanua"), "urgent", (1, 2), 2);
    fleet.instances[lost].signal(signal);
    let samples = load::closed(&fleet.instances[entry].http, &key("vanua"), "urgent", (1, 1), 2);
    if signal == "STOP" {
        fleet.instances[lost].signal("CONT");
    } else {
        fleet.instances[lost].kill();
        fleet.restart(lost).expect("it starts again");
    }
    fleet.wait_ready();
    wait_for("all answer", || {
        let rows = fleet.ask(entry, "show instances").map(|answer| answer.lines());
        rows.is_ok_and(|rows| rows.iter().all(|row| row["no_answer"].is_null()))
    });
    samples[0].first.map_or(u128::MAX, |time| time.as_millis())
}

fn book(fleet: &Fleet<Processes>, number: Option<usize>) -> u128 {
    let authorization = format!("Bearer {}", key("vanua"));
    let key = number.map(|number| format!("booking-{number}"));
    let mut headers =
        vec![("authorization", authorization.as_str()), ("drumusher-class", "booking")];
    headers.extend(key.as_deref().map(|key| ("idempotency-key", key)));
    let address = &fleet.instances[number.unwrap_or(0) % fleet.instances.len()].http;
    let since = Instant::now();
    let answer = client::post(address, "/services/desk/bookings", &headers, "{}");
    assert!(answer.is_ok_and(|answer| answer.status == 200), "a booking was not made");
    since.elapsed().as_millis()
}

fn list(mut times: Vec<u128>) -> String {
    times.sort_unstable();
    times.iter().map(u128::to_string).collect::<Vec<String>>().join(", ")
}

fn quantiles(mut times: Vec<u128>) -> String {
    times.sort_unstable();
    let at = |part: usize| times[(times.len() - 1) * part / 100];
    format!("p50 {}, p99 {}", at(50), at(99))
}
