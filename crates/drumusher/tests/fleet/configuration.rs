//! An accepted configuration change takes effect at all instances within seconds and is never reverted.

use drumusher_bench::fleet::{Fleet, wait_for};
use serde_json::Value;

use crate::support::{fleet, join_all, spawn_each, switch};

fn class_wait(fleet: &Fleet, instance: usize, class: &str) -> Option<u64> {
    let statement = format!("show classes where class = {class}");
    let rows = fleet.ask(instance, &statement).expect("a response").lines();
    rows.first()?["wait_ms"].as_u64()
}

#[test]
fn a_command_is_in_force_everywhere_when_accepted() {
    let fleet = fleet(&["suva", "nadi"], 2, 1, "");
    let response = fleet.ask(1, "set class summary wait = 12s").expect("a response").lines();
    assert_eq!(response[0]["answer"], "accepted", "{response:?}");
    assert_eq!(response[0]["in_force"], response[0]["instances"], "{response:?}");
    assert_eq!(response[0]["instances"], 4);
    for instance in 0..4 {
        assert_eq!(class_wait(&fleet, instance, "summary"), Some(12_000));
    }
}

/// Operators send concurrent commands through all instances, conditional on the same version: each round accepts
/// exactly one, answers the others with a conflict, and leaves all instances with the same configuration.
#[test]
fn of_concurrent_conditional_commands_one_is_accepted() {
    let fleet = fleet(&["suva"], 3, 1, "");
    for round in 0..4 {
        let rows = fleet.ask(0, "show classes where class = summary").expect("a response").lines();
        let version = rows[0]["version"].clone();
        let addresses: Vec<String> = fleet.instances.iter().map(|i| i.http.clone()).collect();
        let responses = join_all(spawn_each(6, move |number| {
            let wait = 1_000 * (1 + round) + number;
            let statement = format!("set class summary wait = {wait} if version {version}");
            crate::support::run_statement(&addresses[number % 3], &statement)
        }));
        let count = |kind: &str| responses.iter().filter(|a| a["answer"] == kind).count();
        assert_eq!((count("accepted"), count("conflict")), (1, 5), "{responses:?}");
        fleet.wait_converged();
        let waits: Vec<Option<u64>> =
            (0..3).map(|instance| class_wait(&fleet, instance, "summary")).collect();
        assert!(waits.windows(2).all(|pair| pair[0] == pair[1]), "{waits:?}");
    }
}

/// An instance that cannot reach the platform gets new configuration records from its peers.
#[test]
fn an_instance_cut_off_from_the_platform_gets_commands_from_peers() {
    let fleet = fleet(&["suva"], 3, 1, "");
    for instance in 0..3 {
        // Instances connect to each other on first use.
        crate::support::complete(&fleet, instance, "urgent", "use", 2).expect("a response");
    }
    fleet.instances[2].cut_platform(true);
    fleet.command(0, "set class summary wait = 17s");
    wait_for("the instance has the command", || class_wait(&fleet, 2, "summary") == Some(17_000));
}

/// A command whose append succeeded but lost its response takes effect once and is accepted.
#[test]
fn lost_append_responses_do_not_duplicate_commands() {
    let fleet = fleet(&["suva"], 2, 1, "");
    switch(&fleet.log.to_string(), r#"{"lose_every": 2}"#);
    for number in 0..6 {
        fleet.command(number % 2, &format!("create class extra-{number}"));
    }
    let rows = fleet.ask(0, "show log where kind = class").expect("a response").lines();
    let names: Vec<&Value> = rows.iter().map(|row| &row["name"]).collect();
    let extra = names.iter().filter(|name| name.to_string().contains("extra")).count();
    assert_eq!(extra, 6, "{names:?}");
}

/// While the log is down a command is answered with `unknown`; retried with the same nonce after the log is back, it
/// takes effect once.
#[test]
fn a_command_with_unknown_outcome_can_be_retried() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let log = fleet.log.to_string();
    switch(&log, r#"{"down": true}"#);
    let address = fleet.instances[0].http.clone();
    let unknown = crate::support::run_statement(&address, "create class later");
    assert_eq!(unknown["answer"], "unknown", "{unknown}");
    let nonce = unknown["nonce"].as_str().expect("a nonce").to_string();
    switch(&log, r#"{"down": false}"#);
    let again = crate::support::run_statement_with_nonce(&address, "create class later", &nonce);
    assert_eq!(again["answer"], "accepted", "{again}");
    let rows = fleet.ask(1, "show log where name = later").expect("a response").lines();
    assert_eq!(rows.len(), 1, "{rows:?}");
}

/// After the log has dropped its oldest records a restarted instance restores the state from the snapshot and the
/// records after it.
#[test]
fn a_restarted_instance_boots_from_a_snapshot() {
    let mut fleet = fleet(&["suva"], 2, 1, "snapshot_every = 5\n");
    let log = fleet.log.to_string();
    for number in 0..12 {
        fleet.command(0, &format!("create class extra-{number}"));
    }
    wait_for("a snapshot is in the log", || {
        let settings = fleet.instances[0].lines();
        assert!(!settings.contains("panicked"));
        let stats = drumusher_bench::client::get(&log, "/stats", &[]).expect("the log").json();
        let commands = fleet.ask(0, "show log").expect("a response").lines().len() as u64;
        stats["next"]["config"].as_u64().is_some_and(|next| next > commands)
    });
    switch(&log, r#"{"keep": 3}"#);
    for number in 12..16 {
        fleet.command(1, &format!("create class extra-{number}"));
    }
    fleet.instances[1].kill();
    fleet.restart(1).expect("the instance restarts");
    fleet.wait_ready();
    fleet.wait_converged();
    let rows = fleet.ask(1, "show classes").expect("a response").lines();
    assert_eq!(rows.len(), 3 + 16, "{rows:?}");
}

/// A restarted instance that cannot reach the log takes the configuration from a peer.
#[test]
fn a_restarted_instance_boots_from_a_peer_without_the_log() {
    let mut fleet = fleet(&["suva"], 2, 1, "");
    fleet.command(0, "set class summary wait = 13s");
    fleet.instances[1].kill();
    fleet.instances[1].log.cut(true);
    fleet.restart(1).expect("the instance restarts");
    fleet.wait_ready();
    assert_eq!(class_wait(&fleet, 1, "summary"), Some(13_000));
}

/// After a key rotation the old key is refused and the new one accepted; later statements and log lines show neither
/// the new key nor its digest.
#[test]
fn a_rotated_key_is_in_force_and_shown_once() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let response = fleet.ask(0, "rotate key vanua").expect("a response").lines();
    let key = response[0]["key"].as_str().expect("a key").to_string();
    let http = &fleet.instances[1].http;
    let with_key = |key: &str| {
        let authorization = format!("Bearer {key}");
        let headers = [("authorization", authorization.as_str())];
        drumusher_bench::client::get(http, "/v1/models", &headers).expect("a response").status
    };
    assert_eq!(with_key(&key), 200);
    assert_eq!(with_key(&drumusher_bench::fleet::key("vanua")), 401);
    let mut shown = String::new();
    for statement in ["show log", "show workspaces", "show config", "show instances"] {
        shown.push_str(&fleet.ask(0, statement).expect("a response").body);
    }
    fleet.instances.iter().for_each(|instance| shown.push_str(&instance.lines()));
    let digest = hex::encode(drumusher::version::digest(&key));
    assert!(!shown.contains(&key) && !shown.contains(&digest));
}
