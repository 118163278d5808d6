//! Ends of backend servers' entries, and for how long they are doubted after the store was away.
//!
//! Callers of two small deployments had requests reach backend servers that had left more than two seconds
//! before. The store had been away for 4.3 s; three seconds after its return a server left. Ends of entries are
//! doubted for two seconds after a return, since entries that lapsed are written again in that time; but each
//! instance told the others what it had read together with its own doubt, and who was told began the two seconds
//! anew and told on in turn. With a configuration every half second the doubt went round among those that read
//! the store for fourteen seconds, up to the next outage, and every end was held back. The evidence were lines
//! with the teller of each doubt and the age of the doubted outage: one word from each reader to each other for
//! every configuration, at an age that never rose above 500 ms, while none of their own calls failed.
//!
//! The same lines showed calls that had begun during the outage and failed up to ten seconds after it, which
//! counted as a new outage.

use drumusher_adapter_stand_in::Outage;
use drumusher_bench::fleet::wait_for;

use crate::{
    membership::{expected_readers, readers},
    support::{Deployment, Instance, configuration},
};

/// How often an instance took it for true that the entry of a backend server ended.
pub fn removals_accepted(instance: &Instance, server: &str) -> usize {
    let at_once = |line: &str| {
        line.contains("server's entry ended")
            && line.contains(&format!("\"server\":\"{server}\""))
            && line.contains("\"held\":\"false\"")
    };
    let later = |line: &str| line.contains("still missing") && line.contains(server);
    instance.log().lines().filter(|line| at_once(line) || later(line)).count()
}

/// Waits for a condition while configurations come, each as soon as the one before is in force.
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

/// Configurations that keep coming do not keep doubt alive: the end of a server that is not back after an
/// outage is believed, and so is one that comes later.
#[test]
fn removals_are_accepted_while_configurations_change() {
    let deployment = Deployment::new(4);
    for instance in &deployment.instances {
        instance.store_endpoint.set_outage(Outage::Reset);
    }
    for instance in &deployment.instances {
        wait_for("the outage is known", || instance.log().contains("what is in force stays"));
    }
    deployment.store.remove("keyed.servers", "d2");
    for instance in &deployment.instances {
        instance.store_endpoint.set_outage(Outage::None);
    }
    let mut version = 1;
    let gone = |server: &str| {
        deployment.instances.iter().all(|instance| removals_accepted(instance, server) > 0)
    };
    let plain = |version| configuration(version, "");
    let what = "the missing server is gone";
    wait_while_reconfiguring(&deployment, &mut version, plain, what, || gone("d2"));
    deployment.store.remove("keyed.servers", "m2");
    let what = "the one that left later is gone";
    wait_while_reconfiguring(&deployment, &mut version, plain, what, || gone("m2"));
}

/// A call about the instances waits longer than others. That it got no answer tells of an outage that is over, if
/// there was one, of which others have told: an end that is read after it is believed at once.
#[test]
fn unanswered_older_call_does_not_hold_removals() {
    let deployment = Deployment::new(1);
    let instance = &deployment.instances[0];
    wait_for("it entered itself", || deployment.store.newest("keyed.instances", "i0").is_some());
    instance.store_endpoint.silence_topic("keyed.instances");
    // The call under way is answered, the next one is not, and those after it are.
    let calls = instance.store_endpoint.calls_about("keyed.instances");
    deployment.store.put("keyed.instances", "another", "{}");
    wait_for("a call is under way that gets no answer", || {
        instance.store_endpoint.calls_about("keyed.instances") > calls
    });
    instance.store_endpoint.silence_topic("");
    let failed = || instance.metric(&["store_failures", "instances"]);
    let before = failed();
    wait_for("a silent call is given up", || failed() > before);
    deployment.store.remove("keyed.servers", "d2");
    let ended = || {
        let lines = instance.log();
        lines.lines().rev().find(|line| line.contains("server's entry ended")).map(str::to_string)
    };
    wait_for("the end is known", || ended().is_some());
    let line = ended().expect("it was there");
    assert!(line.contains("\"held\":\"false\""), "{line}");
}

/// All four that read the store get no answers, and say so. The two that they told read it by themselves then, and
/// are answered at once, as when the store is just back: entries that ended meanwhile may have lapsed, and are held.
/// Without that, such instances took all servers for gone whose entries were not back yet.
#[test]
fn new_readers_hold_removals_after_the_former_readers_lose_the_store() {
    let deployment = Deployment::unconfigured(6);
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    deployment.wait_serving();
    wait_for("four instances read the store", || readers(&deployment) == expected_readers());
    // One that read it for a moment at the start may have a long call under way. It has the store by itself until that ends,
    // and believes what it is told there.
    for at in (0..6).filter(|at| !expected_readers().contains(at)) {
        let store_endpoint = &deployment.instances[at].store_endpoint;
        wait_for("no call of before is under way", || store_endpoint.under_way() == 0);
    }
    for at in expected_readers() {
        deployment.instances[at].store_endpoint.set_outage(Outage::Reset);
    }
    for at in expected_readers() {
        let instance = &deployment.instances[at];
        wait_for("the outage is known", || instance.log().contains("what is in force stays"));
    }
    deployment.store.remove("keyed.servers", "d2");
    for at in (0..6).filter(|at| !expected_readers().contains(at)) {
        let ended = || {
            let lines = deployment.instances[at].log();
            let line = lines.lines().find(|line| line.contains("server's entry ended"));
            line.map(str::to_string)
        };
        wait_for("the end is known", || ended().is_some());
        let line = ended().expect("it was there");
        assert!(line.contains("\"held\":\"true\""), "{line}");
    }
}
