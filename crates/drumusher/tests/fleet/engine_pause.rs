//! Engines that pause for a while break no stream and cause no refusal.

use drumusher_bench::fleet::{Fleet, wait_for};
use rstest::rstest;

use crate::support::{
    address_of, another_instance, assert_whole, dispatcher, engine_stat, fleet, join_all,
    spawn_each, stream, switch,
};

/// A short stall timeout, so that attempts fail soon after their engine stops.
const SETTINGS: &str = "[backend]\nstall_ms = 1000\n";
/// Length of each stream, in tokens.
const TOKENS: u32 = 1_500;
/// Concurrency window of an engine before anything was learned of it, in requests.
const INITIAL_SLOTS: usize = 16;
/// Streams for two engines; more than the retries that a class has accumulated at one instance.
const STREAMS: usize = 28;

/// Sets the fault switches of all engines.
fn switch_all(fleet: &Fleet, switches: &str) {
    for backend in fleet.backends.iter().filter(|backend| backend.kind == "engine") {
        switch(&backend.address.to_string(), switches);
    }
}

/// Health of each engine, as seen by the instances that have requests on it. An instance that dispatched only for a
/// moment keeps the health that it saw then.
fn health(fleet: &Fleet) -> Vec<String> {
    let rows = fleet.ask(0, "show engines").expect("a response").lines();
    let in_use = rows.iter().filter(|row| row["running"].as_u64() > Some(0));
    in_use.filter_map(|row| row["health"].as_str().map(String::from)).collect()
}

/// Pauses all engines until one of them is considered down.
fn pause(fleet: &Fleet) {
    switch_all(fleet, r#"{"hang": true}"#);
    wait_for("an engine is down", || health(fleet).iter().any(|health| health == "down"));
    switch_all(fleet, r#"{"hang": false}"#);
}

/// Guards against a pause that counts as one failure for each stream it breaks, so that the engine is considered down
/// for many seconds, and against a retry budget that one pause uses up.
#[rstest]
#[case::one_engine(3, 1, INITIAL_SLOTS, 1, &["urgent"])]
#[case::more_streams_than_accumulated_retries(1, 2, STREAMS, 1, &["urgent"])]
#[case::repeated_pauses(3, 2, STREAMS, 3, &["urgent", "summary"])]
fn streams_and_new_requests_survive_engine_pauses(
    #[case] instances: usize,
    #[case] engines: usize,
    #[case] count: usize,
    #[case] pauses: usize,
    #[case] classes: &'static [&'static str],
) {
    let fleet = fleet(&["suva"], instances, engines, SETTINGS);
    // 30 s for each stream, until the step time is reduced after the last pause.
    switch_all(&fleet, r#"{"batch": 16, "step_ms": 20.0}"#);
    let addresses: Vec<String> = fleet.instances.iter().map(|i| i.http.clone()).collect();
    let streams = spawn_each(count, {
        let addresses = addresses.clone();
        move |number| {
            let tag = format!("t{number}");
            let class = classes[number % classes.len()];
            let http = &addresses[number % addresses.len()];
            (tag.clone(), stream(http, class, &tag, TOKENS).expect("a response"))
        }
    });
    let engines: Vec<String> =
        (0..engines).map(|number| address_of(&fleet, &format!("suva-engine-{number}"))).collect();
    let running = || engines.iter().map(|engine| engine_stat(engine, "running")).sum::<u64>();
    wait_for("all streams run", || running() == count as u64);
    for _ in 1..pauses {
        pause(&fleet);
        wait_for("the engines are good", || health(&fleet).iter().all(|health| health == "good"));
    }
    pause(&fleet);
    switch_all(&fleet, r#"{"step_ms": 1.0}"#);
    for number in 0..10 {
        let tag = format!("new{number}");
        let http = &addresses[number % addresses.len()];
        assert_whole(&stream(http, "urgent", &tag, 4).expect("a response"), &tag, 4);
    }
    for (tag, response) in join_all(streams) {
        assert_whole(&response, &tag, TOKENS);
    }
}

/// Guards against an instance that was paused itself and mistakes the time in which it read nothing for a stall of the
/// engine.
#[test]
fn a_paused_instance_records_no_engine_failure() {
    let fleet = fleet(&["suva"], 2, 1, SETTINGS);
    switch_all(&fleet, r#"{"batch": 16, "step_ms": 20.0}"#);
    let http = fleet.instances[0].http.clone();
    assert_whole(&stream(&http, "urgent", "first", 3).expect("a response"), "first", 3);
    let paused = &fleet.instances[another_instance(&fleet, dispatcher(&fleet, "model:draft"))];
    let http = paused.http.clone();
    let streams = spawn_each(8, move |number| {
        let tag = format!("t{number}");
        (tag.clone(), stream(&http, "urgent", &tag, TOKENS).expect("a response"))
    });
    let engine = address_of(&fleet, "suva-engine-0");
    wait_for("all streams run", || engine_stat(&engine, "running") == 8);
    for _ in 0..3 {
        let before = engine_stat(&engine, "tokens");
        paused.signal("STOP");
        // 75 more tokens for each stream take the engine longer than the stall timeout.
        wait_for("the engine produces tokens", || engine_stat(&engine, "tokens") > before + 600);
        paused.signal("CONT");
        let before = engine_stat(&engine, "tokens");
        wait_for("the engine produces tokens", || engine_stat(&engine, "tokens") > before + 80);
    }
    switch_all(&fleet, r#"{"step_ms": 1.0}"#);
    for (tag, response) in join_all(streams) {
        assert_whole(&response, &tag, TOKENS);
    }
    let lines = paused.lines();
    let failed: Vec<&str> = lines.lines().filter(|line| line.contains("attempt ended")).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
