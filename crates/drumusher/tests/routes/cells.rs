//! Services with so many backend servers that they are divided between dispatchers.

use std::{collections::BTreeMap, time::Duration};

use drumusher_bench::fleet::wait_for;

use crate::{
    notices::send_load,
    support::{DESK, Deployment, OPERATOR, Request, configuration, operator_query},
};

/// More servers than one dispatcher decides for.
const SERVERS: usize = 600;
/// Servers of the larger zone, which are all that a dispatcher may hold.
const MAX_CELL: usize = 400;
/// Requests per second of all callers together.
const RATE: u64 = 60;

/// Whether a server is in the zone `far`; the others are in the zone of the instances.
fn is_far(number: usize) -> bool {
    number.is_multiple_of(3)
}

/// Three instances and many servers.
fn deploy() -> Deployment {
    let mut deployment = Deployment::empty(false);
    (0..SERVERS).for_each(|number| deployment.add_server(&format!("d{number}"), DESK));
    for (number, server) in deployment.servers.iter().enumerate().filter(|(n, _)| is_far(*n)) {
        let entry = server.entry(DESK, "ready").replace(r#""Zone":"z""#, r#""Zone":"far""#);
        deployment.store.put("keyed.servers", &format!("d{number}"), &entry);
    }
    for number in 0..3 {
        let endpoint = deployment.store.endpoint().expect("the store endpoint starts");
        deployment.add_instance_with(&format!("i{number}"), endpoint, OPERATOR);
    }
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    for at in 0..3 {
        wait_for("the instance serves", || {
            let response = deployment.send(at, &Request::get("/read/"));
            response.is_ok_and(|response| response.status == 200)
        });
    }
    deployment
}

/// All requests are served, also while each instance is lost in turn, and no dispatcher holds the state of all servers.
#[test]
fn requests_to_a_divided_service_are_served() {
    let mut deployment = deploy();
    for at in 0..deployment.instances.len() {
        let statuses = send_load(&deployment, RATE, Duration::from_secs(2));
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        deployment.instances[at].signal("KILL");
        wait_for("the process is gone", || deployment.instances[at].ended().is_some());
        deployment.instances[at].restart();
        wait_for("the instance serves", || {
            let response = deployment.send(at, &Request::get("/read/"));
            response.is_ok_and(|response| response.status == 200)
        });
    }
    for instance in &deployment.instances {
        let mut servers: BTreeMap<String, usize> = BTreeMap::new();
        for row in operator_query(instance, "show services").lines() {
            let pool = row.split_once(r#""pool":""#).and_then(|(_, rest)| rest.split_once('"'));
            let Some((pool, _)) = pool else { continue };
            *servers.entry(pool.into()).or_default() += 1;
        }
        let small =
            |(pool, count): (&String, &usize)| pool.starts_with("cell:") && *count <= MAX_CELL;
        assert!(!servers.is_empty() && servers.iter().all(small), "{servers:?}");
    }
}

/// Requests whose own zone has no server that accepts them go to another one.
#[test]
fn requests_overflow_to_another_zone() {
    let deployment = deploy();
    for server in deployment.servers.iter().enumerate().filter(|(n, _)| !is_far(*n)) {
        let (number, server) = server;
        let entry = server.entry(DESK, "draining");
        deployment.store.put("keyed.servers", &format!("d{number}"), &entry);
    }
    let near = || -> usize {
        let near = deployment.servers.iter().enumerate().filter(|(n, _)| !is_far(*n));
        near.map(|(_, server)| server.arrivals().len()).sum()
    };
    wait_for("the far zone serves alone", || {
        let before = near();
        let statuses = send_load(&deployment, RATE, Duration::from_secs(1));
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        near() == before
    });
}
