//! Operators evacuate an availability zone: until they withdraw that, its backend servers get no new requests. Guards
//! against instances that do not know the record, or lose it with their processes or with the store.

use std::time::Duration;

use drumusher_adapter_stand_in::{Fault, Outage};
use drumusher_bench::fleet::wait_for;

use crate::{
    notices::{deploy, send_load},
    restore::restore,
    support::{DESK, Deployment, Request},
};

/// The zone that is evacuated. The other servers of these tests are in another one.
const ZONE: &str = "z";
/// Key of its evacuation.
const KEY: &str = "evacuate/z";
/// Requests that go to all servers when there are this many.
const RATE: u64 = 60;

/// Deploys three instances, with server 0 in the zone and two servers in another one.
fn deploy_zones() -> Deployment {
    let deployment = deploy(3, 3);
    for server in &deployment.servers[1..] {
        let zone = format!(r#""Zone":"{ZONE}""#);
        let entry = server.entry(DESK, "ready").replace(&zone, r#""Zone":"other""#);
        deployment.store.put("keyed.servers", &server.id, &entry);
    }
    deployment
}

/// Evacuates the zone, and waits until all instances know it.
fn evacuate(deployment: &Deployment) {
    deployment.store.put("keyed.op", KEY, "{}");
    wait_evacuated(deployment, 1.0);
}

fn wait_evacuated(deployment: &Deployment, zones: f64) {
    for instance in &deployment.instances {
        wait_for("the instance knows the evacuated zones", || {
            instance.metric(&["zones_evacuated"]) == zones
        });
    }
}

/// Sends requests for a time and returns how many of them reached the zone. All have to be served.
fn reached_zone(deployment: &Deployment, time: Duration) -> usize {
    let before = deployment.servers[0].arrivals().len();
    let statuses = send_load(deployment, RATE, time);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    deployment.servers[0].arrivals().len() - before
}

fn restart_all(deployment: &mut Deployment) {
    deployment.instances.iter().for_each(|instance| instance.signal("KILL"));
    for instance in &mut deployment.instances {
        wait_for("the process is gone", || instance.ended().is_some());
        instance.restart();
    }
    for at in 0..deployment.instances.len() {
        wait_for("the instance serves", || {
            let response = deployment.send(at, &Request::get("/read/"));
            response.is_ok_and(|response| response.status == 200)
        });
    }
}

/// The zone gets nothing from its evacuation to the withdrawal, through kills of all instances, an outage of the store,
/// and its return from a backup that lacks the evacuation.
#[test]
fn an_evacuated_zone_gets_no_requests_until_the_withdrawal() {
    let mut deployment = deploy_zones();
    assert!(reached_zone(&deployment, Duration::from_secs(1)) > 0);
    let snapshot = deployment.store.snapshot();
    evacuate(&deployment);
    assert_eq!(reached_zone(&deployment, Duration::from_secs(2)), 0);
    let before = deployment.servers[0].arrivals().len();
    restart_all(&mut deployment);
    wait_evacuated(&deployment, 1.0);
    assert_eq!(deployment.servers[0].arrivals().len(), before, "requests during the restart");
    deployment.store.set_outage(Outage::Reset);
    assert_eq!(reached_zone(&deployment, Duration::from_secs(2)), 0);
    deployment.store.set_outage(Outage::None);
    restore(&deployment, &snapshot);
    assert_eq!(reached_zone(&deployment, Duration::from_secs(3)), 0);
    deployment.store.remove("keyed.op", KEY);
    wait_evacuated(&deployment, 0.0);
    assert!(reached_zone(&deployment, Duration::from_secs(2)) > 0);
}

/// What runs in the zone when it is evacuated ends well.
#[test]
fn an_evacuation_cuts_no_running_request() {
    let deployment = deploy_zones();
    deployment.servers.iter().for_each(|server| server.set(Fault::Slow));
    std::thread::scope(|scope| {
        let load = scope.spawn(|| send_load(&deployment, RATE / 10, Duration::from_secs(2)));
        wait_for("a request runs in the zone", || !deployment.servers[0].arrivals().is_empty());
        evacuate(&deployment);
        let statuses = load.join().expect("the callers do not panic");
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    });
}

/// With every zone evacuated, requests are refused at once as not run, with a time to come back. A record for a zone
/// that is not there changes nothing.
#[test]
fn requests_are_refused_truthfully_while_all_zones_are_evacuated() {
    let deployment = deploy_zones();
    deployment.store.put("keyed.op", "evacuate/nowhere", "{}");
    wait_evacuated(&deployment, 1.0);
    assert!(reached_zone(&deployment, Duration::from_secs(1)) > 0);
    deployment.store.put("keyed.op", KEY, "[]");
    deployment.store.put("keyed.op", "evacuate/other", "not an object");
    wait_evacuated(&deployment, 3.0);
    let before: usize = deployment.servers.iter().map(|server| server.arrivals().len()).sum();
    let response = deployment.send(0, &Request::get("/read/")).expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some(), "no time to come back");
    let after: usize = deployment.servers.iter().map(|server| server.arrivals().len()).sum();
    assert_eq!(after, before);
}
