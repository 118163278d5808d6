//! How a version of the configuration reaches all instances, over narrow links and through faults.

use std::{
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::Outage;
use drumusher_bench::fleet::{Mode, wait_for};
use rstest::rstest;

use crate::{
    support::{Deployment, Instance, configuration, large_configuration, size},
    transfer::{deployment, has_version, reads_store},
};

/// Environment variables with another number of instances and another size of the filler routes in bytes.
const INSTANCES_VARIABLE: &str = "DRUMUSHER_INSTANCES";
const BYTES_VARIABLE: &str = "DRUMUSHER_ROUTE_BYTES";
/// The same in CI.
const INSTANCES: usize = 8;
const ROUTE_BYTES: usize = 410_000;
/// Rate of the connections from other instances to each one, in bytes per second.
const LINK_BYTES_PER_SECOND: u64 = 1_250_000;
/// How long after a version is written the fault begins, and how long it lasts.
const FAULT_DELAY: Duration = Duration::from_millis(150);
const FAULT_TIME: Duration = Duration::from_secs(1);
/// One of this many instances is affected by a fault.
const AFFECTED: usize = 4;
/// Number of threads that look for the version, and the interval.
const WATCHERS: usize = 16;
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for a version. Only keeps the test from hanging; it is no performance bound.
const PATIENCE: Duration = Duration::from_secs(60);

/// What happens while a version spreads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Instances are killed and started again.
    Killed,
    /// No connections from other instances reach some of them.
    Cut,
    /// The readers lose the store, so that others read it.
    ReadersLoseStore,
    /// Another version follows at once.
    NextVersion,
}

/// The times from `since` until the instances have a version in force, in order; only of those that get it.
fn times_until_in_force(deployment: &Deployment, since: Instant, version: u64) -> Vec<Duration> {
    let watch = |thread: usize| {
        let mut waiting: Vec<&Instance> =
            deployment.instances.iter().skip(thread).step_by(WATCHERS).collect();
        let mut times = Vec::new();
        while !waiting.is_empty() && since.elapsed() < PATIENCE {
            waiting.retain(|instance| {
                let in_force = has_version(instance, version);
                times.extend(in_force.then(|| since.elapsed()));
                !in_force
            });
            thread::sleep(WATCH_INTERVAL);
        }
        times
    };
    let mut times: Vec<Duration> = thread::scope(|scope| {
        let watchers: Vec<_> =
            (0..WATCHERS).map(|thread| scope.spawn(move || watch(thread))).collect();
        watchers.into_iter().flat_map(|watcher| watcher.join().expect("no panic")).collect()
    });
    times.sort();
    times
}

/// The versions that an instance put into force, by start of its process.
fn versions(instance: &Instance) -> Vec<Vec<u64>> {
    let log = instance.log();
    let mut starts = vec![Vec::new()];
    for line in log.lines() {
        if line.contains(" serves ") && starts.last().is_some_and(|start| !start.is_empty()) {
            starts.push(Vec::new());
        }
        if !line.contains("\"configuration in force\"") {
            continue;
        }
        let version = line.split_once("\"version\":\"").and_then(|(_, rest)| rest.split_once('"'));
        let version = version.and_then(|(version, _)| version.parse().ok());
        starts.last_mut().expect("there is one").push(version.expect("a version"));
    }
    starts
}

/// Instances that are affected by a fault: no readers.
fn affected(deployment: &Deployment) -> Vec<usize> {
    let others = (0..deployment.instances.len())
        .filter(|at| !reads_store(&deployment.instances[*at]))
        .step_by(AFFECTED);
    others.collect()
}

fn inject(deployment: &mut Deployment, fault: Fault, version: u64) {
    thread::sleep(FAULT_DELAY);
    let affected = affected(deployment);
    let cut = |deployment: &Deployment, cut: bool| {
        for at in &affected {
            let relays = deployment.instances[*at].relays.as_ref().expect("relays");
            relays.peers.cut(cut);
        }
    };
    match fault {
        Fault::None => {}
        Fault::Killed => {
            affected.iter().for_each(|at| deployment.instances[*at].kill());
            thread::sleep(FAULT_TIME);
            affected.iter().for_each(|at| deployment.instances[*at].respawn());
        }
        Fault::Cut => {
            cut(deployment, true);
            thread::sleep(FAULT_TIME);
            cut(deployment, false);
        }
        Fault::ReadersLoseStore => {
            for reader in deployment.instances.iter().filter(|instance| reads_store(instance)) {
                reader.store_endpoint.set_outage(Outage::Unavailable);
            }
        }
        Fault::NextVersion => {
            let text = large_configuration(version + 1, "next", size(BYTES_VARIABLE, ROUTE_BYTES));
            deployment.store.put("keyed.op", "config", &text);
        }
    }
}

/// Every instance gets the newest version, and none returns to an older one.
#[rstest]
fn every_instance_gets_the_newest_version(
    #[values(Fault::None, Fault::Killed, Fault::Cut, Fault::ReadersLoseStore, Fault::NextVersion)]
    fault: Fault,
) {
    let instances = size(INSTANCES_VARIABLE, INSTANCES);
    let mut deployment = deployment(instances);
    let readers = |deployment: &Deployment| {
        deployment.instances.iter().filter(|instance| reads_store(instance)).count()
    };
    wait_for("four instances read the store", || readers(&deployment) == 4.min(instances));
    let relays = |deployment: &Deployment| -> u64 {
        let relays = deployment.instances.iter().filter_map(|instance| instance.relays.as_ref());
        relays.map(|relays| relays.peers.bytes()).sum()
    };
    let bytes = size(BYTES_VARIABLE, ROUTE_BYTES);
    deployment.store.put("keyed.op", "config", &configuration(2, ""));
    for instance in &deployment.instances {
        wait_for("the instance has the first version", || has_version(instance, 2));
        let relays = instance.relays.as_ref().expect("the instance has relays");
        relays.peers.set(Mode::Throttled(LINK_BYTES_PER_SECOND));
    }
    let before = relays(&deployment);
    let text = large_configuration(3, "extra", bytes);
    let since = Instant::now();
    deployment.store.put("keyed.op", "config", &text);
    inject(&mut deployment, fault, 3);
    let newest = if fault == Fault::NextVersion { 4 } else { 3 };
    let times = times_until_in_force(&deployment, since, newest);
    println!(
        "{instances} instances, {} bytes, {fault:?}: {} have the version, the first, half, the last after {:?}; \
         carried {:.1} times the text",
        text.len(),
        times.len(),
        [0, times.len() / 2, times.len().saturating_sub(1)].map(|at| times.get(at)),
        (relays(&deployment) - before) as f64 / text.len() as f64,
    );
    assert_eq!(times.len(), instances, "all have the newest version");
    for instance in &deployment.instances {
        for start in versions(instance) {
            assert!(start.is_sorted(), "an instance returned to an older version: {start:?}");
        }
    }
}
