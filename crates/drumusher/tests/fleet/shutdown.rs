//! A graceful shutdown breaks off no request in flight.

use std::{io::Read, net::TcpListener, thread, time::Duration};

use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::support::{
    address_of, another_instance, assert_whole, call_slowly, calls, dispatcher, engine_stat, fleet,
    join_all, spawn_each, stream, switch,
};

/// An instance gets SIGTERM while it relays streams, as the dispatcher or as an instance that only received them.
#[rstest]
#[case::dispatcher(true)]
#[case::entry(false)]
fn streams_complete_across_a_shutdown(#[case] stop_dispatcher: bool) {
    let mut fleet = fleet(&["suva"], 3, 1, "");
    let engine = address_of(&fleet, "suva-engine-0");
    let http = fleet.instances[0].http.clone();
    assert_whole(&stream(&http, "urgent", "first", 3).expect("a response"), "first", 3);
    // Slow enough that no stream ends before all of them run.
    switch(&engine, r#"{"slow": 25.0}"#);
    let dispatcher = dispatcher(&fleet, "model:draft");
    let stopping = if stop_dispatcher { dispatcher } else { another_instance(&fleet, dispatcher) };
    let addresses: Vec<String> = fleet.instances.iter().map(|i| i.http.clone()).collect();
    let streams = spawn_each(9, move |number| {
        let tag = format!("t{number}");
        let http = &addresses[number % addresses.len()];
        assert_whole(&stream(http, "urgent", &tag, 250).expect("a response"), &tag, 250);
    });
    wait_for("all streams run", || engine_stat(&engine, "running") == 9);
    fleet.instances[stopping].signal("TERM");
    switch(&engine, r#"{"slow": 1.0}"#);
    let other = another_instance(&fleet, stopping);
    for number in 0..5 {
        let tag = format!("new{number}");
        let http = &fleet.instances[other].http;
        assert_whole(&stream(http, "urgent", &tag, 4).expect("a response"), &tag, 4);
    }
    join_all(streams);
    wait_for("the instance ends", || fleet.instances[stopping].ended().is_some());
    let status = fleet.instances[stopping].ended();
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

/// An instance that shuts down reports that it is not ready, and still serves a request that the load balancer sends.
#[test]
fn a_stopping_instance_serves_late_requests() {
    let fleet = fleet(&["suva"], 2, 1, "[telemetry]\nlevel = \"info\"\n");
    let http = fleet.instances[0].http.clone();
    let held = spawn_each(1, {
        let http = http.clone();
        move |_| {
            assert_whole(&stream(&http, "urgent", "held", 300).expect("a response"), "held", 300);
        }
    });
    let engine = address_of(&fleet, "suva-engine-0");
    wait_for("the stream runs", || engine_stat(&engine, "running") == 1);
    fleet.instances[0].signal("TERM");
    wait_for("the instance reports that it is not ready", || {
        let response = drumusher_bench::client::get(&http, "/health/ready", &[]);
        response.is_ok_and(|response| response.status == 503)
    });
    assert_whole(&stream(&http, "urgent", "late", 5).expect("a response"), "late", 5);
    join_all(held);
}

/// SIGINT during a shutdown ends the process at once, with a failure status and a log line that has the number of broken
/// requests.
#[test]
fn a_second_signal_ends_at_once_and_logs_broken_requests() {
    let mut fleet = fleet(&["suva"], 1, 1, "");
    let http = fleet.instances[0].http.clone();
    let held = spawn_each(1, move |_| stream(&http, "urgent", "held", 100_000).is_ok());
    let engine = address_of(&fleet, "suva-engine-0");
    wait_for("the stream runs", || engine_stat(&engine, "running") == 1);
    fleet.instances[0].signal("TERM");
    wait_for("the first signal is noticed", || fleet.instances[0].lines().contains("stopping"));
    fleet.instances[0].signal("INT");
    wait_for("the instance ends", || fleet.instances[0].ended().is_some());
    let status = fleet.instances[0].ended();
    assert!(status.is_some_and(|status| !status.success()), "{status:?}");
    assert!(fleet.instances[0].lines().contains("requests cut: 1"));
    join_all(held);
}

/// Length of a large response. The buffers of the operating system don't hold it where the caller's is small.
const RESPONSE_BYTES: usize = 7 * 1024 * 1024;

/// A shutdown waits until a caller that reads slowly has the whole response.
#[test]
fn a_large_response_is_delivered_before_a_shutdown_ends() {
    let mut fleet = fleet(&["suva"], 1, 1, "");
    let desk = address_of(&fleet, "suva-desk");
    switch(&desk, &format!(r#"{{"pad_bytes": {RESPONSE_BYTES}}}"#));
    let mut conn = call_slowly(&fleet.instances[0].http);
    wait_for("the call has run", || !calls(&fleet, "suva").is_empty());
    fleet.instances[0].signal("TERM");
    // Longer than a shutdown takes that waits for nothing.
    thread::sleep(Duration::from_millis(3_000));
    let mut response = Vec::new();
    conn.read_to_end(&mut response).expect("a response");
    assert!(response.starts_with(b"HTTP/1.1 200"));
    assert!(response.ends_with(b"}"), "the body of {} bytes is whole", response.len());
    wait_for("the instance ends", || fleet.instances[0].ended().is_some());
}

/// Guards against a process that outlasts the time of its shutdown, here because a collector of traces is silent.
#[test]
fn a_shutdown_with_a_silent_collector_ends_at_its_time_limit() {
    let collector = TcpListener::bind("127.0.0.1:0").expect("a port");
    let settings = format!(
        "[stop]\naccept_ms = 200\nlongest_seconds = 3\n\
         [telemetry]\nsample_every = 1\notlp = \"http://{}\"\n",
        collector.local_addr().expect("an address")
    );
    let mut fleet = fleet(&["suva"], 1, 1, &settings);
    let http = fleet.instances[0].http.clone();
    assert_whole(&stream(&http, "urgent", "first", 3).expect("a response"), "first", 3);
    fleet.instances[0].signal("TERM");
    wait_for("the instance ends", || fleet.instances[0].ended().is_some());
    let status = fleet.instances[0].ended();
    assert!(status.is_some_and(|status| !status.success()), "{status:?}");
    assert!(fleet.instances[0].lines().contains("the time limit is reached"));
}

/// Guards against requests that are admitted on open connections so late in a shutdown that they are cut.
#[test]
fn a_shutdown_admits_no_requests_that_it_would_cut() {
    let settings = "[stop]\naccept_ms = 200\nlongest_seconds = 4\n";
    let mut fleet = fleet(&["suva"], 2, 1, settings);
    let http = fleet.instances[0].http.clone();
    let engine = address_of(&fleet, "suva-engine-0");
    let held = spawn_each(1, {
        let http = http.clone();
        move |_| stream(&http, "urgent", "held", 100_000).is_ok()
    });
    wait_for("the stream runs", || engine_stat(&engine, "running") == 1);
    fleet.instances[0].signal("TERM");
    wait_for("a request is refused", || {
        let response = stream(&http, "urgent", "late", 5).expect("a response");
        assert!(response.status == 503 || response.body.contains("[DONE]"), "not cut");
        response.status == 503
    });
    wait_for("the instance ends", || fleet.instances[0].ended().is_some());
    join_all(held);
}
