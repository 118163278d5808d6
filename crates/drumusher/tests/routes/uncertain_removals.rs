//! Removals of backend servers' entries, and how long they stay uncertain after an outage of the store.
//!
//! For two seconds after an outage a removal is held, since entries that lapsed meanwhile are written again
//! in that time. These tests guard against a failure in which servers still got requests more than two
//! seconds after they had left: the store had been away for 4.3 s, and a server left three seconds after
//! its return. Each reader sent what it had read to the other instances together with its own uncertainty;
//! a receiver started the two seconds again and passed it on. With a new configuration every half second
//! the uncertainty circulated among the readers for fourteen seconds, up to the next outage, and all
//! removals were held. In the logs the reported age of the outage never rose above 500 ms although no call
//! of these readers failed.
//!
//! The second cause was calls that had begun during the outage and failed up to ten seconds after it: each
//! counted as a new outage.

use drumusher_adapter_stand_in::Outage;
use drumusher_bench::fleet::wait_for;

use crate::{
    membership::{all_registered, expected_readers, readers},
    support::{Deployment, Instance, configuration},
};

/// Number of times that an instance logged the removal of a backend server's entry as certain, at once or
/// after holding it.
pub fn removals_accepted(instance: &Instance, server: &str) -> usize {
    let at_once = |line: &str| {
        line.contains("server's entry ended")
            && line.contains(&format!("\"server\":\"{server}\""))
            && line.contains("\"held\":\"false\"")
    };
    let later = |line: &str| line.contains("still missing") && line.contains(server);
    instance.log().lines().filter(|line| at_once(line) || later(line)).count()
}

/// Waits for a condition while writing new configurations, each as soon as all instances applied the one
/// before.
pub fn wait_while_reconfiguring(
    deployment: &Deployment,
    version: &mut u64,
    configuration: impl Fn(u64) -> String,
    what: &str,
    condition: impl Fn() -> bool,
) {
    wait_for(what, || {
        let in_force = format!("\"version\":\"{version}\"");
        if deployment.instances.iter().all(|instance| instance.log().contains(&in_force)) {
            *version += 1;
            deployment.store.put("keyed.op", "config", &configuration(*version));
        }
        condition()
    });
}

/// A steady flow of configurations does not prolong the uncertainty: the removal of a server that does not
/// come back after an outage is accepted, and so is a later removal.
#[test]
fn removals_are_accepted_while_configurations_change() {
    let deployment = Deployment::new(4);
    for instance in &deployment.instances {
        instance.store_endpoint.set_outage(Outage::Reset);
    }
    for instance in &deployment.instances {
        wait_for("the outage is logged", || instance.log().contains("what is in force stays"));
    }
    deployment.store.remove("keyed.servers", "d2");
    for instance in &deployment.instances {
        instance.store_endpoint.set_outage(Outage::None);
    }
    let mut version = 1;
    let removal_accepted = |server: &str| {
        deployment.instances.iter().all(|instance| removals_accepted(instance, server) > 0)
    };
    let plain = |version| configuration(version, "");
    let what = "the removal of the missing server is accepted";
    wait_while_reconfiguring(&deployment, &mut version, plain, what, || removal_accepted("d2"));
    deployment.store.remove("keyed.servers", "m2");
    let what = "the later removal is accepted";
    wait_while_reconfiguring(&deployment, &mut version, plain, what, || removal_accepted("m2"));
}

/// Calls about the instances wait longer than others. One that gets no response points at most to an outage
/// that is over and that shorter calls would have noticed, so a removal that is read after it is accepted
/// at once.
#[test]
fn unanswered_older_call_does_not_hold_removals() {
    let deployment = Deployment::new(1);
    let instance = &deployment.instances[0];
    wait_for("the instance is registered", || {
        deployment.store.newest("keyed.instances", "i0").is_some()
    });
    instance.store_endpoint.silence_topic("keyed.instances");
    // The call in flight is answered, the next one is not, and those after it are.
    let calls = instance.store_endpoint.calls_about("keyed.instances");
    deployment.store.put("keyed.instances", "another", "{}");
    wait_for("a call that gets no response is in flight", || {
        instance.store_endpoint.calls_about("keyed.instances") > calls
    });
    instance.store_endpoint.silence_topic("");
    let failed = || instance.metric(&["store_failures", "instances"]);
    let before = failed();
    wait_for("the unanswered call times out", || failed() > before);
    deployment.store.remove("keyed.servers", "d2");
    let ended = || {
        let lines = instance.log();
        lines.lines().rev().find(|line| line.contains("server's entry ended")).map(str::to_string)
    };
    wait_for("the removal is logged", || ended().is_some());
    let line = ended().expect("the removal is in the log");
    assert!(line.contains("\"held\":\"false\""), "{line}");
}

/// All four readers lose the store and report it. The two other instances then read the store themselves
/// and get responses at once, as if it had just come back: entries that were removed meanwhile may have
/// lapsed, so their removal is held. Otherwise these instances would drop all servers whose entries are not
/// written again yet.
#[test]
fn new_readers_hold_removals_after_the_former_readers_lose_the_store() {
    let deployment = Deployment::unconfigured(6);
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    deployment.wait_serving();
    wait_for("four instances read the store", || readers(&deployment) == expected_readers());
    // An instance that was a reader for a moment at the start may have a long call in flight. Until that
    // ends it has its own access to the store and accepts the removals that it reads there.
    for at in (0..6).filter(|at| !expected_readers().contains(at)) {
        let store_endpoint = &deployment.instances[at].store_endpoint;
        wait_for("no older call is in flight", || store_endpoint.under_way() == 0);
    }
    for at in expected_readers() {
        deployment.instances[at].store_endpoint.set_outage(Outage::Reset);
    }
    for at in expected_readers() {
        let instance = &deployment.instances[at];
        wait_for("the outage is logged", || instance.log().contains("what is in force stays"));
    }
    deployment.store.remove("keyed.servers", "d2");
    for at in (0..6).filter(|at| !expected_readers().contains(at)) {
        let ended = || {
            let lines = deployment.instances[at].log();
            let line = lines.lines().find(|line| line.contains("server's entry ended"));
            line.map(str::to_string)
        };
        wait_for("the removal is logged", || ended().is_some());
        let line = ended().expect("the removal is in the log");
        assert!(line.contains("\"held\":\"true\""), "{line}");
    }
}

/// A removal that one reader relays while it is uncertain, and that no later record follows, is accepted once
/// the other reader has the store, even if the first one loses it before it can confirm anything. Guards
/// against a server that has left and gets requests for as long as nothing else changes.
#[test]
fn relayed_removal_is_accepted_without_later_changes() {
    let deployment = Deployment::new(2);
    wait_for("all instances are registered", || all_registered(&deployment, 2));
    let [receiver, relay] = [&deployment.instances[0], &deployment.instances[1]];
    relay.store_endpoint.set_outage(Outage::Reset);
    wait_for("the outage is logged", || relay.log().contains("what is in force stays"));
    receiver.store_endpoint.silence_topic("keyed.servers");
    let calls = receiver.store_endpoint.calls_about("keyed.servers");
    wait_for("a call that gets no response is in flight", || {
        receiver.store_endpoint.calls_about("keyed.servers") > calls
    });
    let returns = || relay.log().matches("the store answers again").count();
    let before = returns();
    relay.store_endpoint.set_outage(Outage::None);
    wait_for("the store answers the relay again", || returns() > before);
    deployment.store.remove("keyed.servers", "d1");
    wait_for("the relay reads the removal", || relay.log().contains("server's entry ended"));
    relay.store_endpoint.set_outage(Outage::Reset);
    wait_for("the removal is relayed", || receiver.log().contains("server's entry ended"));
    receiver.store_endpoint.silence_topic("");
    wait_for("the removal is accepted", || removals_accepted(receiver, "d1") > 0);
}
