//! A stream that has begun is not cut while its backend server works again after each fault.

use std::thread::JoinHandle;

use drumusher_bench::{
    client::Response,
    fleet::{Fleet, Relay, wait_for},
    stand_in::engine::answer,
};
use rstest::rstest;

use crate::support::{
    address_of, assert_whole, dispatcher, engine_stat, fleet, join_all, spawn_each, stream, switch,
};

/// Length of the streams, in tokens.
const TOKENS: u32 = 1_500;
/// Concurrency window of an engine before anything was learned of it, in requests.
const SLOTS: usize = 16;
/// A short stall timeout, so that attempts fail soon after their engine stops.
const SETTINGS: &str = "[backend]\nstall_ms = 1000\n";
/// A window wider than the batch of the engine, however long its steps take: the dispatcher preempts for the requests
/// that wait in the engine's own queue.
const WIDE_WINDOW: &str = "[decisions]\noff = [\"windows\"]\n";
/// Step time with which a full batch neither widens nor narrows the window, in milliseconds.
const STEADY_STEP_MS: f64 = 26.0;

/// One instance and one engine, with the step time of the engine.
fn one_engine(step_ms: f64, settings: &str) -> (Fleet, String) {
    let fleet = fleet(&["suva"], 1, 1, settings);
    let engine = address_of(&fleet, "suva-engine-0");
    switch(&engine, &format!(r#"{{"batch": {SLOTS}, "step_ms": {step_ms}}}"#));
    (fleet, engine)
}

/// Starts streams of one class. Returns the threads that read them.
fn start(
    fleet: &Fleet,
    class: &'static str,
    count: usize,
    tokens: u32,
) -> Vec<JoinHandle<(String, u32, Response)>> {
    let http = fleet.instances[0].http.clone();
    spawn_each(count, move |number| {
        let tag = format!("{class}{number}");
        let response = stream(&http, class, &tag, tokens).expect("a response");
        (tag, tokens, response)
    })
}

/// Asserts that streams are whole. Prints for each other one its last event, the decisions on it and its log lines.
fn assert_all_whole(fleet: &Fleet, streams: Vec<JoinHandle<(String, u32, Response)>>) {
    let mut cut = Vec::new();
    for (tag, tokens, response) in join_all(streams) {
        let whole = response.streamed_text() == answer(&tag, tokens);
        if response.status != 200 || !whole || !response.body.ends_with("data: [DONE]\n\n") {
            let events = response.body.matches("\"token_index\"").count();
            let last = response.body.trim_end().rsplit("\n\n").next().unwrap_or("");
            let trace = trace(fleet, &response);
            let broken = response.broken;
            cut.push(format!("{tag}: {events} events, broken: {broken}, last {last}\n{trace}"));
        }
    }
    assert!(cut.is_empty(), "{}", cut.join("\n"));
}

/// The decisions on a request, and the log lines about it.
fn trace(fleet: &Fleet, response: &Response) -> String {
    let id = response.header("x-request-id").unwrap_or("none").to_string();
    let rows = fleet.ask(0, &format!("show request {id}")).expect("a response").lines();
    let steps = rows.iter().map(|row| format!("{} {}", row["time_ms"], row["what"]));
    let lines = fleet.instances[0].lines();
    let logged = lines.lines().filter(|line| line.contains(&id) && line.contains("ended"));
    steps.chain(logged.map(String::from)).collect::<Vec<String>>().join("\n")
}

/// Number of attempts that failed.
fn failed_attempts(fleet: &Fleet) -> usize {
    fleet.instances[0].lines().matches("attempt ended").count()
}

/// Pauses the engine until the attempts of `count` streams failed, and waits until all run again with new tokens.
fn pause(fleet: &Fleet, engine: &str, count: usize) {
    let before = failed_attempts(fleet);
    switch(engine, r#"{"hang": true}"#);
    wait_for("the attempts failed", || failed_attempts(fleet) >= before + count);
    let tokens = engine_stat(engine, "tokens");
    switch(engine, r#"{"hang": false}"#);
    wait_for("the streams go on", || {
        let progress = engine_stat(engine, "tokens") > tokens + 20 * count as u64;
        progress && engine_stat(engine, "running") == count as u64 || ended(fleet) > 0
    });
}

/// Number of requests that ended without a complete response.
fn ended(fleet: &Fleet) -> usize {
    fleet.instances[0].lines().matches("request ended").count()
}

/// Guards against a bound on the attempts of a request that counts those which brought tokens.
#[rstest]
#[case::as_many_as_attempts(4)]
#[case::many(20)]
fn a_stream_that_goes_on_after_each_pause_is_whole(#[case] pauses: usize) {
    let (fleet, engine) = one_engine(20.0, "[backend]\nstall_ms = 300\n");
    let streams = start(&fleet, "summary", 1, TOKENS);
    wait_for("the stream runs", || engine_stat(&engine, "tokens") > 20);
    for _ in 0..pauses {
        pause(&fleet, &engine, 1);
    }
    switch(&engine, r#"{"step_ms": 1.0}"#);
    assert_all_whole(&fleet, streams);
}

/// Guards against preemptions that count as attempts, so that fewer failures than usual end a request that was
/// preempted.
#[test]
fn a_stream_that_was_preempted_survives_as_many_pauses_as_others() {
    let (fleet, engine) = one_engine(20.0, &format!("{SETTINGS}{WIDE_WINDOW}"));
    let mut streams = start(&fleet, "urgent", SLOTS - 1, TOKENS);
    wait_for("the urgent streams run", || engine_stat(&engine, "running") == SLOTS as u64 - 1);
    streams.extend(start(&fleet, "summary", 1, TOKENS));
    wait_for("all streams run", || engine_stat(&engine, "running") == SLOTS as u64);
    for preemptions in 1..=2 {
        assert_all_whole(&fleet, start(&fleet, "urgent", 1, 2));
        wait_for("the summary goes on", || {
            let resumed = engine_stat(&engine, "resumed") == preemptions;
            resumed && engine_stat(&engine, "running") == SLOTS as u64
        });
        let tokens = engine_stat(&engine, "tokens");
        wait_for("all have new tokens", || {
            engine_stat(&engine, "tokens") > tokens + 4 * SLOTS as u64
        });
    }
    for _ in 0..2 {
        pause(&fleet, &engine, SLOTS);
    }
    switch(&engine, r#"{"step_ms": 1.0}"#);
    assert_all_whole(&fleet, streams);
}

/// Guards against an entry that gives up on a stream that has begun and waits for a slot, which its dispatcher lets
/// wait for longer than its class allows.
#[test]
fn a_stream_that_has_begun_may_wait_long_for_its_next_slot() {
    let (fleet, engine) = one_engine(STEADY_STEP_MS, SETTINGS);
    fleet.command(0, "create class digest tier = 2 first_token = 10s wait = 1s");
    let mut streams = start(&fleet, "urgent", SLOTS - 1, TOKENS);
    wait_for("the urgent streams run", || engine_stat(&engine, "running") == SLOTS as u64 - 1);
    streams.extend(start(&fleet, "digest", 1, TOKENS));
    wait_for("all streams run", || engine_stat(&engine, "running") == SLOTS as u64);
    streams.extend(start(&fleet, "urgent", 1, TOKENS));
    wait_for("the digest was stopped", || engine_stat(&engine, "cancelled") == 1);
    // Longer than the class's wait bound and the grace of the dispatcher.
    let steps = engine_stat(&engine, "steps");
    wait_for("the digest has waited", || engine_stat(&engine, "steps") > steps + 400);
    switch(&engine, r#"{"step_ms": 1.0}"#);
    assert_all_whole(&fleet, streams);
}

/// Guards against a stream that never returns to an availability zone that refused it once.
#[test]
fn a_stream_returns_to_a_zone_that_refused_it() {
    let mut fleet = fleet(&["suva", "nadi"], 1, 1, SETTINGS);
    let (own, other) = (address_of(&fleet, "suva-engine-0"), address_of(&fleet, "nadi-engine-0"));
    set_leaving(&mut fleet, "suva-engine-0", true);
    wait_for("requests go to the other zone", || reached_by_request(&fleet, &other));
    switch(&other, r#"{"step_ms": 20.0}"#);
    let streams = start(&fleet, "urgent", 1, TOKENS);
    wait_for("the stream runs in the other zone", || engine_stat(&other, "running") > 0);
    set_leaving(&mut fleet, "suva-engine-0", false);
    wait_for("requests go to their own zone", || reached_by_request(&fleet, &own));
    // Each attempt there ends without a new token from now on.
    switch(&other, r#"{"truncate_at": 1}"#);
    assert_all_whole(&fleet, streams);
    assert_eq!(engine_stat(&own, "resumed"), 1);
}

/// Sets whether the member lists report a backend server as leaving.
fn set_leaving(fleet: &mut Fleet, name: &str, leaving: bool) {
    let backend = fleet.backends.iter_mut().find(|backend| backend.name == name);
    backend.expect("a backend server of that name").leaving = leaving;
    fleet.publish().expect("the member lists are updated");
}

/// Whether a request to instance 0 reaches an engine.
fn reached_by_request(fleet: &Fleet, engine: &str) -> bool {
    let before = engine_stat(engine, "requests");
    assert_all_whole(fleet, start(fleet, "urgent", 1, 2));
    engine_stat(engine, "requests") > before
}

/// Streams of both classes, in turn, at instances that are named by their index.
fn start_mixed(
    fleet: &Fleet,
    instances: &[usize],
    count: usize,
) -> Vec<JoinHandle<(String, u32, Response)>> {
    let addresses: Vec<String> =
        instances.iter().map(|number| fleet.instances[*number].http.clone()).collect();
    spawn_each(count, move |number| {
        let tag = format!("t{number}");
        let class = ["urgent", "summary"][number % 2];
        let http = &addresses[number % addresses.len()];
        let response = stream(http, class, &tag, TOKENS).expect("a response");
        (tag, TOKENS, response)
    })
}

/// Sum of a counter over engines.
fn sum(engines: &[String], what: &str) -> u64 {
    engines.iter().map(|engine| engine_stat(engine, what)).sum()
}

/// Number of log lines with a text, over all instances.
fn logged(fleet: &Fleet, text: &str) -> usize {
    fleet.instances.iter().map(|instance| instance.lines().matches(text).count()).sum()
}

/// Pauses engines until each of their attempts failed, and waits until they produce tokens again. Runs `meanwhile` while
/// they are paused.
fn pause_all(fleet: &Fleet, engines: &[String], meanwhile: impl FnOnce()) {
    let (before, running) = (logged(fleet, "attempt ended"), sum(engines, "running") as usize);
    engines.iter().for_each(|engine| switch(engine, r#"{"hang": true}"#));
    meanwhile();
    wait_for("attempts failed", || {
        logged(fleet, "attempt ended") >= before + running.div_ceil(2).max(1)
    });
    let tokens = sum(engines, "tokens");
    engines.iter().for_each(|engine| switch(engine, r#"{"hang": false}"#));
    wait_for("the streams go on", || sum(engines, "tokens") > tokens + 20 * running as u64);
}

/// Two engines with slow steps, and their addresses.
fn two_engines(instances: usize) -> (Fleet, Vec<String>) {
    let fleet = fleet(&["suva"], instances, 2, SETTINGS);
    let engines: Vec<String> =
        (0..2).map(|number| address_of(&fleet, &format!("suva-engine-{number}"))).collect();
    for engine in &engines {
        switch(engine, &format!(r#"{{"batch": {SLOTS}, "step_ms": 20.0}}"#));
    }
    (fleet, engines)
}

/// Guards against pauses of all engines in series that leave no stream whole.
#[test]
fn many_streams_survive_a_series_of_pauses() {
    let (fleet, engines) = two_engines(1);
    let streams = start_mixed(&fleet, &[0], 24);
    wait_for("all streams run", || sum(&engines, "running") == 24);
    for _ in 0..5 {
        pause_all(&fleet, &engines, || {});
    }
    engines.iter().for_each(|engine| switch(engine, r#"{"step_ms": 1.0}"#));
    assert_all_whole(&fleet, streams);
}

/// Guards against streams that are lost if their dispatcher is paused or killed while their engines are paused.
#[rstest]
#[case::paused(false)]
#[case::killed(true)]
fn streams_survive_pauses_and_a_lost_dispatcher(#[case] kill: bool) {
    let (mut fleet, engines) = two_engines(3);
    let http = fleet.instances[0].http.clone();
    assert_eq!(stream(&http, "urgent", "first", 3).expect("a response").status, 200);
    let lost = dispatcher(&fleet, "model:draft");
    let entries: Vec<usize> = (0..3).filter(|number| *number != lost).collect();
    let streams = start_mixed(&fleet, &entries, 24);
    wait_for("all streams run", || sum(&engines, "running") == 24);
    pause_all(&fleet, &engines, || {});
    if kill {
        let before = logged(&fleet, "attempt ended");
        engines.iter().for_each(|engine| switch(engine, r#"{"hang": true}"#));
        wait_for("an attempt failed", || logged(&fleet, "attempt ended") > before);
        fleet.instances[lost].kill();
        let tokens = sum(&engines, "tokens");
        engines.iter().for_each(|engine| switch(engine, r#"{"hang": false}"#));
        wait_for("the streams go on", || sum(&engines, "tokens") > tokens + 480);
    } else {
        pause_all(&fleet, &engines, || {
            let before = logged(&fleet, "attempt ended");
            fleet.instances[lost].signal("STOP");
            wait_for("an attempt failed", || logged(&fleet, "attempt ended") > before);
            fleet.instances[lost].signal("CONT");
        });
    }
    pause_all(&fleet, &engines, || {});
    engines.iter().for_each(|engine| switch(engine, r#"{"step_ms": 1.0}"#));
    for (tag, tokens, response) in join_all(streams) {
        assert_whole(&response, &tag, tokens);
    }
}

/// Guards against a bound on failures that is lost: an engine that never gets on ends a request after `attempts`
/// failures, and so does a request that breaks its connection after a token each time.
#[rstest]
#[case::never_gets_on(false)]
#[case::breaks_after_a_token(true)]
fn a_request_that_does_not_get_on_is_given_up(#[case] a_token_each_time: bool) {
    let (fleet, engine) = one_engine(20.0, SETTINGS);
    let mut limit = 1;
    switch(&engine, &format!(r#"{{"truncate_at": {limit}}}"#));
    let streams = start(&fleet, "urgent", 1, TOKENS);
    wait_for("the request is given up", || {
        if a_token_each_time && failed_attempts(&fleet) >= limit {
            limit += 1;
            switch(&engine, &format!(r#"{{"truncate_at": {limit}}}"#));
        }
        ended(&fleet) == 1
    });
    assert_eq!(failed_attempts(&fleet), 4, "{}", fleet.instances[0].lines());
    let (tag, _, response) = join_all(streams).remove(0);
    let text = response.streamed_text();
    assert!(!text.is_empty() && answer(&tag, 4).starts_with(&text), "{}", response.body);
    assert!(response.body.contains("incomplete"), "{}", response.body);
}

/// How an engine rejects attempts at once.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rejects {
    /// It closes its connections.
    Closes,
    /// It answers with status 500.
    Fails,
}

/// Guards against a stream that is cut because its only engine rejected the attempts to go on for a while.
#[rstest]
#[case::closes(Rejects::Closes)]
#[case::fails(Rejects::Fails)]
fn a_stream_survives_an_engine_that_rejects_attempts_for_a_while(#[case] rejects: Rejects) {
    let (mut fleet, engine) = one_engine(20.0, SETTINGS);
    let relay = Relay::new(engine.parse().expect("an address")).expect("the relay starts");
    let backend = fleet.backends.iter_mut().find(|backend| backend.name == "suva-engine-0");
    backend.expect("the engine").address = relay.address();
    fleet.publish().expect("the member lists are updated");
    wait_for("requests go through the relay", || {
        let before = relay.bytes();
        reached_by_request(&fleet, &engine) && relay.bytes() > before + 500
    });
    let streams = start(&fleet, "urgent", 1, TOKENS);
    let tokens = engine_stat(&engine, "tokens");
    wait_for("the stream runs", || engine_stat(&engine, "tokens") > tokens + 60);
    if rejects == Rejects::Fails {
        switch(&engine, r#"{"fail": true}"#);
    }
    // The running attempts break, and the next ones are rejected.
    relay.cut(true);
    relay.cut(rejects == Rejects::Closes);
    let before = failed_attempts(&fleet);
    wait_for("several attempts were rejected", || {
        failed_attempts(&fleet) >= before + 4 || ended(&fleet) > 0
    });
    relay.cut(false);
    switch(&engine, r#"{"fail": false, "step_ms": 1.0}"#);
    assert_all_whole(&fleet, streams);
}

/// Guards against a stream that is cut because several attempts to go on ended before their first token, although its
/// engine works again.
#[test]
fn a_stream_survives_attempts_that_end_before_their_first_token() {
    let settings = "[backend]\nstall_ms = 300\nfirst_byte_ms = 300\n";
    let (fleet, engine) = one_engine(20.0, settings);
    let streams = start(&fleet, "urgent", 1, TOKENS);
    wait_for("the stream runs", || engine_stat(&engine, "tokens") > 60);
    switch(&engine, r#"{"hang": true}"#);
    wait_for("several attempts failed", || failed_attempts(&fleet) >= 5 || ended(&fleet) > 0);
    switch(&engine, r#"{"hang": false, "step_ms": 1.0}"#);
    assert_all_whole(&fleet, streams);
}
