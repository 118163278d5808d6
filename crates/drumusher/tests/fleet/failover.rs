//! No request is lost when another instance takes over as dispatcher, and requests can be observed.

use std::time::Instant;

use drumusher_bench::fleet::wait_for;

use crate::support::{
    address_of, another_instance, assert_whole, dispatcher, engine_stat, fleet, join_all,
    spawn_each, stream,
};

/// The dispatcher is killed while requests run and wait: all get complete responses.
#[test]
fn requests_survive_a_killed_dispatcher() {
    let mut fleet = fleet(&["suva"], 3, 2, "");
    let http = fleet.instances[0].http.clone();
    assert_whole(&stream(&http, "urgent", "first", 3).expect("a response"), "first", 3);
    let killed = dispatcher(&fleet, "model:draft");
    let http = fleet.instances[another_instance(&fleet, killed)].http.clone();
    let responses = spawn_each(90, move |number| {
        let tag = format!("t{number}");
        assert_whole(&stream(&http, "urgent", &tag, 40).expect("a response"), &tag, 40);
    });
    let engine = address_of(&fleet, "suva-engine-0");
    wait_for("some requests run", || engine_stat(&engine, "running") > 5);
    let since = Instant::now();
    fleet.instances[killed].kill();
    join_all(responses);
    // Only printed, not asserted: docs/BENCHMARKS.md has the figure.
    println!("all completed {} ms after the dispatcher was killed", since.elapsed().as_millis());
    wait_for("another instance dispatches", || {
        let rows = fleet
            .ask(another_instance(&fleet, killed), "show instances")
            .expect("a response")
            .lines();
        rows.iter().any(|row| row["dispatches"].to_string().contains("model:draft"))
    });
}

/// The two instances of a zone are partitioned from each other and reconnected, twice: both serve requests all the
/// time.
#[test]
fn partitioned_instances_serve_requests() {
    let fleet = fleet(&["suva"], 2, 2, "");
    let names: Vec<String> = fleet.instances.iter().map(|i| i.name.clone()).collect();
    for cut in [true, false, true, false] {
        fleet.instances[0].cut_to(&names[1], cut);
        fleet.instances[1].cut_to(&names[0], cut);
        for (number, instance) in fleet.instances.iter().enumerate() {
            for round in 0..3 {
                let tag = format!("t{number}-{round}");
                let response = stream(&instance.http, "urgent", &tag, 5).expect("a response");
                assert_whole(&response, &tag, 5);
            }
        }
    }
}

/// `show request` returns the steps of a request with the reasons of the decisions, and the spans of its trace.
#[test]
fn the_steps_and_spans_of_a_request_can_be_queried() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let response = stream(&fleet.instances[1].http, "urgent", "why", 3).expect("a response");
    let id = response.header("x-request-id").expect("a request ID").to_string();
    let trace = response.header("drumusher-trace").expect("a trace").to_string();
    wait_for("the steps are known", || {
        let rows = fleet.ask(0, &format!("show request {id}")).expect("a response").lines();
        let text = rows.iter().map(|row| row["what"].to_string()).collect::<String>();
        text.contains("arrived in class urgent") && text.contains("granted suva-engine-0")
    });
    wait_for("the spans are known", || {
        let rows = fleet.ask(0, &format!("show request {trace}")).expect("a response").lines();
        let spans: Vec<String> = rows.iter().map(|row| row["span"].to_string()).collect();
        ["request", "ask", "attempt"].iter().all(|hop| spans.contains(&format!("\"{hop}\"")))
    });
}

/// At log level debug each request has a JSON log line with its ID, workspace and trace ID.
#[test]
fn a_request_is_logged() {
    let fleet = fleet(&["suva"], 1, 1, "[telemetry]\nlevel = \"debug\"");
    let response = stream(&fleet.instances[0].http, "urgent", "logged", 3).expect("a response");
    let id = response.header("x-request-id").expect("a request ID");
    let trace = response.header("drumusher-trace").expect("a trace");
    wait_for("the log line is written", || {
        let lines = fleet.instances[0].lines();
        let parsed = lines.lines().filter_map(|line| serde_json::from_str(line).ok());
        let mut attributes = parsed.map(|line: serde_json::Value| line["attributes"].clone());
        attributes.any(|of| {
            of["request_id"] == id && of["trace_id"] == trace && of["workspace"] == "vanua"
        })
    });
}

/// Spans go to the OTLP collector from the settings, and `/metrics` has the metrics.
#[test]
fn spans_and_metrics_are_exported() {
    let collector = drumusher_bench::stand_in::start(drumusher_bench::stand_in::Kind::Service);
    let collector = collector.expect("a collector").to_string();
    let settings = format!("[telemetry]\notlp = \"http://{collector}\"\n");
    let fleet = fleet(&["suva"], 1, 1, &settings);
    let http = &fleet.instances[0].http;
    assert_whole(&stream(http, "urgent", "seen", 3).expect("a response"), "seen", 3);
    wait_for("the spans are exported", || {
        let calls = drumusher_bench::client::get(&collector, "/calls", &[]).expect("calls");
        calls.body.contains("/v1/traces")
    });
    let metrics = drumusher_bench::client::get(http, "/metrics", &[]).expect("metrics").body;
    for name in [
        "drumusher_requests_total",
        "drumusher_tokens_total",
        "gen_ai_server_time_to_first_token_seconds",
        "drumusher_dispatch_orders_total",
    ] {
        assert!(metrics.contains(name), "{name} is not in {metrics}");
    }
}
