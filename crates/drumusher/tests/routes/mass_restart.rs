//! Service after all instances were killed at once.
//!
//! Guards against instances that read the whole table of instances from the store when they start: what the store has to
//! send then grows with the square of their number, its answers come too late, and the calls that replace those given up
//! on keep it busy for good.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::Outage;
use drumusher_bench::fleet::{Mode, wait_for};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

use crate::support::{DESK, Deployment, Request, configuration, size};

/// Environment variables with another number of instances, of entries of backend servers, and another rate of the store.
const INSTANCES_VARIABLE: &str = "DRUMUSHER_INSTANCES";
const SERVERS_VARIABLE: &str = "DRUMUSHER_SERVERS";
const STORE_RATE_VARIABLE: &str = "DRUMUSHER_STORE_RATE";
/// Number of instances in CI.
const INSTANCES: usize = 40;
/// Number of entries of backend servers in CI.
const SERVERS: usize = 100;
/// Rate of the store in CI, in bytes per second. All whole tables of instances together would take 2.5 s.
const STORE_RATE: usize = 132_000;
/// Seed of the entries.
const SEED: u64 = 1;
/// Rate of the connections from other instances to each one, in bytes per second.
const LINK_BYTES_PER_SECOND: u64 = 2_500_000;
/// Number of backend servers that run.
const RUNNING: usize = 4;
/// How long the store stays unavailable after the start.
const OUTAGE_TIME: Duration = Duration::from_secs(3);
/// Pause between two requests to an instance that does not serve yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of threads that send such requests.
const PROBES: usize = 64;
/// Held by the test that runs: each has many processes.
static TURN: Mutex<()> = Mutex::new(());
/// Longest wait for service. Only keeps the test from hanging; it is no performance bound.
const PATIENCE: Duration = Duration::from_secs(60);

fn run_alone() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Registered instances behind relays, with `servers` entries of a service that gets no requests.
fn deploy(instances: usize, servers: usize) -> Deployment {
    let mut deployment = Deployment::empty(true);
    for number in 0..RUNNING {
        deployment.add_server(&format!("d{number}"), DESK);
    }
    let entry = deployment.servers[0].entry("idle", "ready");
    let mut random = StdRng::seed_from_u64(SEED);
    for _ in 0..servers {
        let id = format!("i-{:010x}", random.random::<u64>() >> 24);
        let [a, b, c]: [u8; 3] = random.random();
        let address = format!("10.{a}.{b}.{c}:{}", random.random_range(1_024..u16::MAX));
        let entry = entry.replace(&deployment.servers[0].address.to_string(), &address);
        deployment.store.put("keyed.servers", &id, &entry);
    }
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    for number in 0..instances {
        deployment.add_instance(&format!("i{number}"));
    }
    wait_for("all instances are registered", || {
        listed(&deployment, "keyed.instances").len() == instances
    });
    wait_for_contacts(&deployment);
    deployment
}

/// The instances that have an entry in a topic of the store.
fn listed(deployment: &Deployment, topic: &str) -> Vec<usize> {
    let is_listed = |at: &usize| deployment.store.newest(topic, &format!("i{at}")).is_some();
    (0..deployment.instances.len()).filter(is_listed).collect()
}

/// The instances that a starting instance turns to.
fn contacts(deployment: &Deployment) -> Vec<usize> {
    listed(deployment, "keyed.contacts")
}

fn wait_for_contacts(deployment: &Deployment) {
    wait_for("the readers are known to starting instances", || contacts(deployment).len() >= 4);
}

/// The times from `since` until these instances serve, in order; only of those that do.
fn times_to_serve(deployment: &Deployment, instances: &[usize], since: Instant) -> Vec<Duration> {
    let probe = |thread: usize| {
        let mut waiting: Vec<usize> =
            instances.iter().skip(thread).step_by(PROBES).copied().collect();
        let mut times = Vec::new();
        while !waiting.is_empty() && since.elapsed() < PATIENCE {
            waiting.retain(|at| {
                let response = deployment.send(*at, &Request::get("/read/"));
                let serves = response.is_ok_and(|response| response.status == 200);
                times.extend(serves.then(|| since.elapsed()));
                !serves
            });
            thread::sleep(PROBE_INTERVAL);
        }
        times
    };
    let mut times: Vec<Duration> = thread::scope(|scope| {
        let probes: Vec<_> = (0..PROBES).map(|thread| scope.spawn(move || probe(thread))).collect();
        probes.into_iter().flat_map(|probe| probe.join().expect("no probe panics")).collect()
    });
    times.sort();
    times
}

/// Bytes that the relays in front of the instances have carried between them.
fn carried(deployment: &Deployment) -> Vec<u64> {
    let relays = deployment.instances.iter().filter_map(|instance| instance.relays.as_ref());
    relays.map(|relays| relays.peers.bytes()).collect()
}

/// Which instances are started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    All,
    /// All but those that a starting instance turns to.
    NoContacts,
    /// All, while the store is unavailable.
    StoreAway,
}

/// The instances that are started again.
fn restarted(deployment: &Deployment, restart: Restart) -> Vec<usize> {
    let contacts = contacts(deployment);
    let all = 0..deployment.instances.len();
    all.filter(|at| restart != Restart::NoContacts || !contacts.contains(at)).collect()
}

fn set_store_outage(deployment: &Deployment, outage: Outage) {
    deployment.store.set_outage(outage);
    for instance in &deployment.instances {
        instance.store_endpoint.set_outage(outage);
    }
}

#[rstest]
fn instances_serve_again_after_all_were_killed(
    #[values(Restart::All, Restart::NoContacts, Restart::StoreAway)] restart: Restart,
) {
    let _alone = run_alone();
    let instances = size(INSTANCES_VARIABLE, INSTANCES);
    let servers = size(SERVERS_VARIABLE, SERVERS);
    let mut deployment = deploy(instances, servers);
    let all: Vec<usize> = (0..instances).collect();
    let first = times_to_serve(&deployment, &all, Instant::now());
    assert_eq!(first.len(), instances, "all serve before they are killed");
    for instance in &deployment.instances {
        let relays = instance.relays.as_ref().expect("the instance has relays");
        relays.peers.set(Mode::Throttled(LINK_BYTES_PER_SECOND));
    }
    deployment.instances.iter_mut().for_each(|instance| instance.kill());
    let restarted = restarted(&deployment, restart);
    deployment.store.limit_read_rate(size(STORE_RATE_VARIABLE, STORE_RATE) as u64);
    let before = carried(&deployment);
    let (reads, read_bytes) = (deployment.store.reads(), deployment.store.read_bytes());
    if restart == Restart::StoreAway {
        set_store_outage(&deployment, Outage::Unavailable);
    }
    let mut since = Instant::now();
    restarted.iter().for_each(|at| deployment.instances[*at].respawn());
    if restart == Restart::StoreAway {
        thread::sleep(OUTAGE_TIME);
        set_store_outage(&deployment, Outage::None);
        since = Instant::now();
    }
    let times = times_to_serve(&deployment, &restarted, since);
    let after = carried(&deployment);
    let mut sent: Vec<u64> = after.iter().zip(&before).map(|(now, then)| now - then).collect();
    sent.sort();
    println!(
        "{instances} instances, {servers} servers, {restart:?}: {} of {} serve, the first, a quarter, half, the last \
         after {:?}; {} reads of the store, {} bytes; {} bytes between instances, {} at the busiest",
        times.len(),
        restarted.len(),
        [0, times.len() / 4, times.len() / 2, times.len().saturating_sub(1)]
            .map(|at| times.get(at)),
        deployment.store.reads() - reads,
        deployment.store.read_bytes() - read_bytes,
        sent.iter().sum::<u64>(),
        sent[sent.len() - 1],
    );
    assert_eq!(times.len(), restarted.len(), "all serve again");
}

/// A store that returns from an older copy may have no contacts.
#[test]
fn lost_contacts_are_listed_again() {
    let _alone = run_alone();
    let deployment = deploy(INSTANCES, 0);
    for at in contacts(&deployment) {
        deployment.store.remove("keyed.contacts", &format!("i{at}"));
    }
    wait_for_contacts(&deployment);
}
