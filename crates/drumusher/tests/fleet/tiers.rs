//! No higher-tier request is shed or preempted for a lower tier.

use drumusher_bench::fleet::wait_for;

use crate::support::{
    address_of, another_instance, assert_whole, dispatcher, engine_stat, fleet, join_all,
    spawn_each, stream, switch,
};

/// Urgent requests arrive at an engine that is full of summaries: all are served, and the summaries that were
/// preempted for them resume and complete.
#[test]
fn urgent_requests_preempt_summaries_and_nothing_is_lost() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let engine = address_of(&fleet, "suva-engine-0");
    switch(&engine, r#"{"batch": 16, "step_ms": 5.0}"#);
    let http = fleet.instances[0].http.clone();
    let summaries = spawn_each(24, move |number| {
        let tag = format!("summary{number}");
        let response = stream(&http, "summary", &tag, 800).expect("a response");
        assert_whole(&response, &tag, 800);
    });
    wait_for("the engine is full", || engine_stat(&engine, "running") >= 16);
    let http = fleet.instances[1].http.clone();
    let urgent = spawn_each(12, move |number| {
        let tag = format!("urgent{number}");
        let response = stream(&http, "urgent", &tag, 20).expect("a response");
        assert_whole(&response, &tag, 20);
    });
    join_all(urgent);
    assert_eq!(engine_stat(&engine, "finished"), 12, "the urgent ones did not wait for a summary");
    join_all(summaries);
}

/// Guards against urgent requests that are granted slots beyond the batch size of the engine and wait in its own
/// queue until summaries end.
#[test]
fn urgent_requests_preempt_summaries_although_the_window_exceeds_the_batch() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let engine = address_of(&fleet, "suva-engine-0");
    switch(&engine, r#"{"batch": 16, "step_ms": 5.0}"#);
    let http = fleet.instances[0].http.clone();
    let summaries = spawn_each(16, move |number| {
        let tag = format!("summary{number}");
        let response = stream(&http, "summary", &tag, 2_000).expect("a response");
        assert_whole(&response, &tag, 2_000);
    });
    wait_for("the engine is full", || engine_stat(&engine, "running") >= 16);
    wait_for("the window is wider", || {
        let rows = fleet.ask(0, "show engines").expect("a response").lines();
        rows.iter().any(|row| row["window"].as_u64() >= Some(20))
    });
    wait_for("the pace is shown", || {
        let rows = fleet.ask(0, "show engines").expect("a response").lines();
        rows.iter().any(|row| row["pace_ms"].as_f64() > Some(0.0))
    });
    let http = fleet.instances[1].http.clone();
    let urgent = spawn_each(4, move |number| {
        let tag = format!("urgent{number}");
        let response = stream(&http, "urgent", &tag, 20).expect("a response");
        assert_whole(&response, &tag, 20);
    });
    join_all(urgent);
    assert_eq!(engine_stat(&engine, "finished"), 4, "the urgent ones did not wait for a summary");
    join_all(summaries);
}

/// The dispatcher is killed meanwhile: its successor neither refuses nor preempts an urgent request.
#[test]
fn urgent_requests_survive_a_killed_dispatcher() {
    let mut fleet = fleet(&["suva"], 3, 1, "");
    let engine = address_of(&fleet, "suva-engine-0");
    switch(&engine, r#"{"batch": 8, "step_ms": 5.0}"#);
    let http = fleet.instances[0].http.clone();
    assert_whole(&stream(&http, "urgent", "first", 3).expect("a response"), "first", 3);
    let killed = dispatcher(&fleet, "model:draft");
    let other = another_instance(&fleet, killed);
    let http = fleet.instances[other].http.clone();
    let summaries = spawn_each(12, {
        let http = http.clone();
        move |number| {
            let tag = format!("summary{number}");
            let response = stream(&http, "summary", &tag, 200).expect("a response");
            assert_whole(&response, &tag, 200);
        }
    });
    wait_for("the engine is full", || engine_stat(&engine, "running") >= 8);
    let urgent = spawn_each(10, move |number| {
        let tag = format!("urgent{number}");
        let response = stream(&http, "urgent", &tag, 60).expect("a response");
        assert_whole(&response, &tag, 60);
    });
    fleet.instances[killed].kill();
    join_all(urgent);
    join_all(summaries);
}
