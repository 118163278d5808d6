//! An accepted configuration is in force everywhere within seconds and never reverts.

use drumusher_bench::fleet::{Fleet, wait_for};
use serde_json::Value;

use crate::support::{all, at_once, fleet, switch};

fn class_wait(fleet: &Fleet, instance: usize, class: &str) -> Option<u64> {
    let statement = format!("show classes where class = {class}");
    let rows = fleet.ask(instance, &statement).expect("an answer").lines();
    rows.first()?["wait_ms"].as_u64()
}

#[test]
fn a_command_is_in_force_at_every_instance_when_it_is_answered() {
    let fleet = fleet(&["suva", "nadi"], 2, 1, "");
    let answer = fleet.ask(1, "set class summary wait = 12s").expect("an answer").lines();
    assert_eq!(answer[0]["answer"], "accepted", "{answer:?}");
    assert_eq!(answer[0]["in_force"], answer[0]["instances"], "{answer:?}");
    assert_eq!(answer[0]["instances"], 4);
    for instance in 0..4 {
        assert_eq!(class_wait(&fleet, instance, "summary"), Some(12_000));
    }
}

/// Operators race through all instances with conditions on the version: exactly one of each round
/// is accepted, the others are told who was first, and all instances agree.
#[test]
fn of_racing_operators_one_wins_and_the_others_are_told() {
    let fleet = fleet(&["suva"], 3, 1, "");
    for round in 0..4 {
        let rows = fleet.ask(0, "show classes where class = summary").expect("an answer").lines();
        let version = rows[0]["version"].clone();
        let addresses: Vec<String> = fleet.instances.iter().map(|i| i.http.clone()).collect();
        let answers = all(at_once(6, move |number| {
            let wait = 1_000 * (1 + round) + number;
            let statement = format!("set class summary wait = {wait} if version {version}");
            crate::support::operator(&addresses[number % 3], &statement)
        }));
        let count = |kind: &str| answers.iter().filter(|a| a["answer"] == kind).count();
        assert_eq!((count("accepted"), count("conflict")), (1, 5), "{answers:?}");
        fleet.wait_converged();
        let waits: Vec<Option<u64>> =
            (0..3).map(|instance| class_wait(&fleet, instance, "summary")).collect();
        assert!(waits.windows(2).all(|pair| pair[0] == pair[1]), "{waits:?}");
    }
}

/// An instance that cannot reach the platform gets new records from the others.
#[test]
fn an_instance_cut_from_the_platform_gets_commands_from_the_others() {
    let fleet = fleet(&["suva"], 3, 1, "");
    for instance in 0..3 {
        // Connections between instances are made by use.
        crate::support::complete(&fleet, instance, "urgent", "use", 2).expect("an answer");
    }
    fleet.instances[2].cut_platform(true);
    fleet.command(0, "set class summary wait = 17s");
    wait_for("the cut instance has it", || class_wait(&fleet, 2, "summary") == Some(17_000));
}

/// Appends whose answers are lost take effect once, and are answered truthfully.
#[test]
fn lost_answers_of_the_log_do_not_double_commands() {
    let fleet = fleet(&["suva"], 2, 1, "");
    switch(&fleet.log.to_string(), r#"{"lose_every": 2}"#);
    for number in 0..6 {
        fleet.command(number % 2, &format!("create class extra-{number}"));
    }
    let rows = fleet.ask(0, "show log where kind = class").expect("an answer").lines();
    let names: Vec<&Value> = rows.iter().map(|row| &row["name"]).collect();
    let extra = names.iter().filter(|name| name.to_string().contains("extra")).count();
    assert_eq!(extra, 6, "{names:?}");
}

/// The log is away: the operator is told that the fate is not known yet; asked again with the same
/// nonce once the log is back, the command takes effect once.
#[test]
fn a_command_whose_fate_is_not_known_can_be_asked_again() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let log = fleet.log.to_string();
    switch(&log, r#"{"down": true}"#);
    let address = fleet.instances[0].http.clone();
    let unknown = crate::support::operator(&address, "create class later");
    assert_eq!(unknown["answer"], "unknown", "{unknown}");
    let nonce = unknown["nonce"].as_str().expect("a nonce").to_string();
    switch(&log, r#"{"down": false}"#);
    let again = crate::support::operator_with_nonce(&address, "create class later", &nonce);
    assert_eq!(again["answer"], "accepted", "{again}");
    let rows = fleet.ask(1, "show log where name = later").expect("an answer").lines();
    assert_eq!(rows.len(), 1, "{rows:?}");
}

/// Old records are gone: an instance that starts anew finds the state in snapshot and tail, and no
/// instance ever shows an older one.
#[test]
fn a_new_instance_boots_after_the_oldest_records_are_gone() {
    let mut fleet = fleet(&["suva"], 2, 1, "snapshot_every = 5\n");
    let log = fleet.log.to_string();
    for number in 0..12 {
        fleet.command(0, &format!("create class extra-{number}"));
    }
    wait_for("a snapshot is in the log", || {
        let settings = fleet.instances[0].lines();
        assert!(!settings.contains("panicked"));
        let stats = drumusher_bench::client::get(&log, "/stats", &[]).expect("the log").json();
        let commands = fleet.ask(0, "show log").expect("an answer").lines().len() as u64;
        stats["next"]["config"].as_u64().is_some_and(|next| next > commands)
    });
    switch(&log, r#"{"keep": 3}"#);
    for number in 12..16 {
        fleet.command(1, &format!("create class extra-{number}"));
    }
    fleet.instances[1].kill();
    fleet.restart(1).expect("it starts again");
    fleet.wait_ready();
    fleet.wait_converged();
    let rows = fleet.ask(1, "show classes").expect("an answer").lines();
    assert_eq!(rows.len(), 3 + 16, "{rows:?}");
}

/// With the platform away a new instance takes its configuration from another one.
#[test]
fn a_new_instance_boots_from_a_peer_while_the_platform_is_away() {
    let mut fleet = fleet(&["suva"], 2, 1, "");
    fleet.command(0, "set class summary wait = 13s");
    fleet.instances[1].kill();
    fleet.instances[1].log.cut(true);
    fleet.restart(1).expect("it starts again");
    fleet.wait_ready();
    assert_eq!(class_wait(&fleet, 1, "summary"), Some(13_000));
}

/// Keys are rotated: the old one is refused, the new one is taken, and no answer shows a digest.
#[test]
fn a_rotated_key_is_in_force_and_told_once() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let answer = fleet.ask(0, "rotate key vanua").expect("an answer").lines();
    let key = answer[0]["key"].as_str().expect("a key").to_string();
    let http = &fleet.instances[1].http;
    let with_key = |key: &str| {
        let authorization = format!("Bearer {key}");
        let headers = [("authorization", authorization.as_str())];
        drumusher_bench::client::get(http, "/v1/models", &headers).expect("an answer").status
    };
    assert_eq!(with_key(&key), 200);
    assert_eq!(with_key(&drumusher_bench::fleet::key("vanua")), 401);
    let mut shown = String::new();
    for statement in ["show log", "show workspaces", "show config", "show instances"] {
        shown.push_str(&fleet.ask(0, statement).expect("an answer").body);
    }
    fleet.instances.iter().for_each(|instance| shown.push_str(&instance.lines()));
    let digest = hex::encode(drumusher::version::digest(&key));
    assert!(!shown.contains(&key) && !shown.contains(&digest));
}
