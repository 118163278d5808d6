//! Isolation of workspaces: none delays another's requests beyond what its class and priority allow.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use drumusher_bench::{
    client,
    fleet::{self, Fleet, wait_for},
};
use serde_json::json;

use crate::support::{MODEL, address_of, engine_stat, fleet, join_all, spawn_each, switch};

fn ask(address: &str, workspace: &str, class: &str) -> client::Response {
    let authorization = format!("Bearer {}", fleet::key(workspace));
    let headers = [("authorization", authorization.as_str()), ("drumusher-class", class)];
    let body = json!({"model": MODEL, "prompt": "x", "max_tokens": 10}).to_string();
    client::post(address, "/v1/completions", &headers, &body).expect("a response")
}

fn complete(address: &str, workspace: &str, class: &str) -> u16 {
    ask(address, workspace, class).status
}

/// How many other requests were granted while the request waited at its dispatchers.
fn granted_before(fleet: &Fleet, response: &client::Response) -> u64 {
    let id = response.header("x-request-id").expect("a request ID");
    let steps = fleet.ask(0, &format!("show request {id}")).expect("a response").lines();
    let others = steps.iter().filter_map(|step| {
        let (before, _) = step["what"].as_str()?.split_once(" other grants")?;
        before.rsplit(' ').next()?.parse::<u64>().ok()
    });
    let others: Vec<u64> = others.collect();
    assert!(!others.is_empty(), "no grant is known: {steps:?}");
    others.iter().sum()
}

/// How often instances logged that their process had been paused.
fn pauses(fleet: &Fleet) -> usize {
    let lines = fleet.instances.iter().map(|instance| instance.lines());
    lines.map(|lines| lines.matches("the process did not run").count()).sum()
}

/// One workspace floods its class; each request of another one waits for a few requests of the flood, not for all of
/// it. Guards against a dispatcher that serves the flood first.
///
/// While one instance is paused the other goes on serving the flood, so the bound on requests that finish first holds
/// only without a pause. The bound on those that a dispatcher grants first always holds.
#[test]
fn a_flood_does_not_delay_another_workspace() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let engine = address_of(&fleet, "suva-engine-0");
    switch(&engine, r#"{"batch": 4, "step_ms": 4.0}"#);
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<String> = fleet.instances.iter().map(|i| i.http.clone()).collect();
    let flood = spawn_each(60, {
        let (stop, addresses) = (stop.clone(), addresses.clone());
        move |number| {
            let mut served = 0;
            while !stop.load(Ordering::Acquire) {
                let status = complete(&addresses[number % 2], "hizlikosu", "urgent");
                served += u32::from(status == 200);
            }
            served
        }
    });
    wait_for("the flood has begun", || engine_stat(&engine, "finished") > 100);
    for number in 0..10 {
        let (before, paused_before) = (engine_stat(&engine, "finished"), pauses(&fleet));
        let response = ask(&addresses[number % 2], "vanua", "urgent");
        let passed = engine_stat(&engine, "finished") - before;
        assert_eq!(response.status, 200, "{}", response.body);
        let granted = granted_before(&fleet, &response);
        assert!(granted < 40, "{granted} requests of the flood were granted before a waiting one");
        let paused = pauses(&fleet) > paused_before;
        assert!(
            passed < 40 || paused,
            "{passed} requests of the flood finished before one of another workspace"
        );
    }
    stop.store(true, Ordering::Release);
    assert!(join_all(flood).into_iter().sum::<u32>() > 100);
}

/// A workspace that exceeds its concurrency and queue limits gets 429; another workspace is served.
#[test]
fn limits_of_a_workspace_apply_to_it_alone() {
    let fleet = fleet(&["suva"], 1, 1, "");
    fleet.command(0, "set workspace hizlikosu concurrency = 1 queue = 1");
    let engine = address_of(&fleet, "suva-engine-0");
    switch(&engine, r#"{"hang": true}"#);
    let http = fleet.instances[0].http.clone();
    let held = spawn_each(6, {
        let http = http.clone();
        move |_| complete(&http, "hizlikosu", "urgent")
    });
    wait_for("one request runs", || {
        engine_stat(&engine, "waiting") + engine_stat(&engine, "running") == 1
    });
    let refused = || {
        let rows = fleet.ask(0, "show waiting").expect("a response").lines();
        rows.len() == 1
    };
    wait_for("one request waits and the others are refused", refused);
    switch(&engine, r#"{"hang": false}"#);
    assert_eq!(complete(&http, "vanua", "urgent"), 200);
    let mut statuses = join_all(held);
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 429, 429, 429, 429]);
}

/// A disconnected caller frees its slot: the next request of its workspace, which has a concurrency limit of 1, is
/// served.
#[test]
fn a_disconnected_caller_frees_its_slot() {
    let fleet = fleet(&["suva"], 2, 1, "");
    fleet.command(0, "set workspace vanua concurrency = 1");
    let engine = address_of(&fleet, "suva-engine-0");
    for instance in &fleet.instances {
        let before = engine_stat(&engine, "tokens");
        let caller = crate::support::raw_stream(&instance.http, "gone", 100_000);
        wait_for("the stream runs", || engine_stat(&engine, "tokens") > before + 5);
        drop(caller);
        assert_eq!(complete(&instance.http, "vanua", "urgent"), 200);
    }
}
