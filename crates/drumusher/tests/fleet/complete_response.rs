//! Each caller receives the complete response to its own request, even if engines truncate, duplicate, delay or mix up
//! theirs.

use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::support::{
    address_of, another_instance, assert_whole, complete, dispatcher, engine_stat, fleet, join_all,
    spawn_each, stream, switch,
};

/// One of two engines is faulty; every response is complete and belongs to its request.
#[rstest]
#[case::truncated(r#"{"truncate_at": 7}"#)]
#[case::ended_early(r#"{"end_at": 7}"#)]
#[case::duplicated(r#"{"double": true}"#)]
#[case::mixed_up(r#"{"cross": true}"#)]
#[case::failing(r#"{"fail": true}"#)]
#[case::full(r#"{"full": true}"#)]
#[case::slow(r#"{"slow": 8.0}"#)]
fn responses_are_complete_beside_a_faulty_engine(#[case] switches: &str) {
    let fleet = fleet(&["suva"], 2, 2, "");
    switch(&address_of(&fleet, "suva-engine-0"), switches);
    for instance in &fleet.instances {
        let http = instance.http.clone();
        let responses = spawn_each(12, move |number| {
            let tag = format!("t{number}");
            (tag.clone(), stream(&http, "urgent", &tag, 25).expect("a response"))
        });
        for (tag, response) in join_all(responses) {
            assert_whole(&response, &tag, 25);
        }
    }
    let response = complete(&fleet, 0, "urgent", "plain", 25).expect("a response");
    assert_eq!(response.status, 200, "{}", response.body);
}

/// An engine hangs in the middle of streams: each of its streams resumes on the other engine after the last delivered
/// token. The engines are slow until then, so that no stream ends before.
#[test]
fn streams_resume_elsewhere_when_an_engine_hangs() {
    let fleet = fleet(&["suva"], 2, 2, "[backend]\nstall_ms = 1000\n");
    let engines = [0, 1].map(|number| address_of(&fleet, &format!("suva-engine-{number}")));
    for engine in &engines {
        switch(engine, r#"{"slow": 25.0}"#);
    }
    let http = fleet.instances[0].http.clone();
    let responses = spawn_each(8, move |number| {
        let tag = format!("t{number}");
        (tag.clone(), stream(&http, "urgent", &tag, 120).expect("a response"))
    });
    let [hanging, other] = &engines;
    wait_for("all streams run", || {
        engine_stat(hanging, "running") + engine_stat(other, "running") == 8
    });
    let running = engine_stat(hanging, "running");
    assert!(running > 0, "the engine has some streams");
    // Each step produces one token for each stream; the first two steps may process prompts.
    let before = engine_stat(hanging, "tokens");
    wait_for("each stream has tokens", || engine_stat(hanging, "tokens") >= before + 3 * running);
    switch(hanging, r#"{"hang": true}"#);
    switch(other, r#"{"slow": 1.0}"#);
    for (tag, response) in join_all(responses) {
        assert_whole(&response, &tag, 120);
    }
    let resumed = engine_stat(other, "resumed");
    assert!(resumed >= running, "{resumed} of {running} streams were resumed elsewhere");
}

/// The dispatcher is stopped by a signal and continues later: no stream breaks, the next instance in rank dispatches
/// new requests, and nothing fails after the old dispatcher continues.
#[test]
fn streams_and_new_requests_survive_a_paused_dispatcher() {
    let fleet = fleet(&["suva"], 3, 2, "");
    let http = fleet.instances[0].http.clone();
    assert_whole(&stream(&http, "urgent", "first", 3).expect("a response"), "first", 3);
    let paused = dispatcher(&fleet, "model:draft");
    let http = fleet.instances[another_instance(&fleet, paused)].http.clone();
    let long = spawn_each(6, {
        let http = http.clone();
        move |number| {
            let tag = format!("long{number}");
            assert_whole(&stream(&http, "urgent", &tag, 300).expect("a response"), &tag, 300);
        }
    });
    let engine = address_of(&fleet, "suva-engine-0");
    wait_for("streams run", || engine_stat(&engine, "tokens") > 20);
    fleet.instances[paused].signal("STOP");
    for number in 0..4 {
        let tag = format!("frozen{number}");
        assert_whole(&stream(&http, "urgent", &tag, 5).expect("a response"), &tag, 5);
    }
    fleet.instances[paused].signal("CONT");
    for number in 0..4 {
        let tag = format!("thawed{number}");
        assert_whole(&stream(&http, "urgent", &tag, 5).expect("a response"), &tag, 5);
    }
    join_all(long);
}

/// If the caller disconnects, the request at the engine is cancelled.
#[test]
fn a_disconnected_caller_cancels_the_request_at_the_engine() {
    let fleet = fleet(&["suva"], 1, 1, "");
    let engine = address_of(&fleet, "suva-engine-0");
    let caller = crate::support::raw_stream(&fleet.instances[0].http, "gone", 5_000);
    wait_for("the stream runs", || engine_stat(&engine, "tokens") > 5);
    drop(caller);
    wait_for("the engine cancelled it", || engine_stat(&engine, "cancelled") == 1);
    assert!(engine_stat(&engine, "tokens") < 5_000);
}

/// No timer breaks off a stream that lasts long.
#[test]
fn a_long_stream_completes_in_one_attempt() {
    let fleet = fleet(&["suva"], 1, 1, "");
    let engine = address_of(&fleet, "suva-engine-0");
    let response = stream(&fleet.instances[0].http, "urgent", "long", 4_000).expect("a response");
    assert_whole(&response, "long", 4_000);
    assert_eq!(engine_stat(&engine, "requests"), 1, "one attempt");
}
