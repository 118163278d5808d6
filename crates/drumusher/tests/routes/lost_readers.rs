//! The loss of all instances that read the store, at the same moment.

use std::{thread::sleep, time::Duration};

use drumusher_bench::fleet::{Mode, wait_for};

use crate::{
    membership::{expected_readers, expected_readers_among, readers, readers_among},
    support::{DESK, Deployment, Instance, MODEL, configuration},
};

/// How long a call of the first reader waits for a change, in milliseconds.
const WAIT_MS: u64 = 10_000;

/// The longest failed call to the store that an instance logged, in milliseconds; 0 if none failed.
fn longest_failed_call(instance: &Instance) -> u64 {
    let log = instance.log();
    let values = log.split("\"lasted_ms\":\"").skip(1).filter_map(|rest| rest.split('"').next());
    values.filter_map(|value| value.parse().ok()).max().unwrap_or(0)
}

/// Six instances, whose four readers are cut off from the store in silence while their calls wait for a change. The
/// others apply a change before those calls end. Guards against a route that gets 404, and keys and servers that are
/// still used, for as long as a reader does not notice that the store is silent.
#[test]
fn changes_are_applied_while_the_calls_of_cut_off_readers_wait() {
    let mut deployment = Deployment::empty(true);
    deployment.wait_ms = WAIT_MS;
    for (id, service) in [("d1", DESK), ("d2", DESK), ("m1", MODEL), ("m2", MODEL)] {
        deployment.add_server(id, service);
    }
    for number in 0..6 {
        deployment.add_instance(&format!("i{number}"));
    }
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    deployment.wait_serving();
    let cut = expected_readers();
    wait_for("four instances read the store", || readers(&deployment) == cut);
    let others: Vec<usize> = (0..6).filter(|at| !cut.contains(at)).collect();
    for at in &others {
        let endpoint = &deployment.instances[*at].store_endpoint;
        wait_for("no call of before is in flight", || endpoint.under_way() == 0);
    }
    // Ends the calls of before, some of which would soon end by themselves.
    deployment.store.put("keyed.instances", "another", "{}");
    deployment.store.put("keyed.quarantine", "another", "{}");
    deployment.store.put("keyed.servers", "m1", &deployment.server("m1").entry(MODEL, "ready"));
    deployment.store.put("keyed.op", "config", &configuration(2, ""));
    for instance in &deployment.instances {
        wait_for("the configuration is in force", || instance.log().contains("\"version\":\"2\""));
    }
    for at in &cut {
        let relays = deployment.instances[*at].relays.as_ref().expect("relays");
        relays.store.set(Mode::Stalled);
    }
    deployment.store.put("keyed.op", "config", &configuration(3, "extra"));
    for at in &others {
        // Requests would cause calls of their own to the store.
        let instance = &deployment.instances[*at];
        wait_for("the change is applied", || instance.log().contains("\"version\":\"3\""));
    }
    for at in &cut {
        let lasted_ms = longest_failed_call(&deployment.instances[*at]);
        assert!(lasted_ms < WAIT_MS, "a call of i{at} ended first: {lasted_ms} ms");
    }
}

/// Nine instances, whose four readers are killed at once. The others accept a removal right after it: the former readers
/// had the store, and the new ones have it. Guards against new requests for a server that has left, for as long as no new
/// reader has had the store for two seconds.
#[test]
fn removal_is_accepted_after_all_readers_are_killed() {
    const INSTANCES: usize = 9;
    let deployment = Deployment::new(INSTANCES);
    let killed = expected_readers_among(INSTANCES);
    wait_for("four instances read the store", || readers_among(&deployment, INSTANCES) == killed);
    for at in &killed {
        wait_for("the reader has had the store for long enough", || {
            deployment.instances[*at].metric(&["store_steady"]) >= 1.0
        });
    }
    // Several heartbeats later the others know that it has.
    sleep(Duration::from_secs(1));
    for at in &killed {
        deployment.instances[*at].signal("KILL");
    }
    deployment.store.remove("keyed.servers", "d2");
    for at in (0..INSTANCES).filter(|at| !killed.contains(at)) {
        let ended = || {
            let log = deployment.instances[at].log();
            let line = log.lines().find(|line| line.contains("server's entry ended"));
            line.map(str::to_string)
        };
        wait_for("the removal is logged", || ended().is_some());
        let line = ended().expect("the line");
        assert!(line.contains("\"held\":\"false\""), "i{at}: {line}");
    }
}
