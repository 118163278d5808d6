//! Communication among instances: dispatchers that fail, changes that one instance gets from another, and
//! the list of instances.

use std::io::Write;

use drumusher_adapter_stand_in::{Outage, server::body};
use drumusher_bench::fleet::wait_for;
use drumusher_schedule::rank::{self, Candidate, DEFAULT_CAPACITY};
use rstest::rstest;

use crate::support::{DESK, Deployment, Request, configuration, read_response};

/// An instance without access to the store gets changes from the other instances, whichever instance it is
/// and however the store fails for it.
#[rstest]
fn changes_reach_an_instance_without_the_store(
    #[values(0, 1, 2)] turned_away: usize,
    #[values(Outage::Unavailable, Outage::Unresponsive)] outage: Outage,
) {
    let deployment = Deployment::new(3);
    wait_for("all instances are registered", || all_registered(&deployment, 3));
    let store_endpoint = &deployment.instances[turned_away].store_endpoint;
    store_endpoint.set_outage(outage);
    wait_for("no older call is in flight", || {
        let reads = last_of(&deployment.instances[turned_away].log(), "reads the store for others");
        let no_older_call =
            !store_endpoint.failed_waits().is_empty() && store_endpoint.under_way() == 0;
        !reads.contains("\"reads\":\"true\"") || no_older_call
    });
    deployment.store.put("keyed.op", "config", &configuration(9, "extra"));
    for at in 0..3 {
        wait_for("the change is applied", || {
            let response = deployment.send(at, &Request::get("/extra/"));
            response.is_ok_and(|response| response.status == 200)
        });
    }
}

/// While any one instance is paused, or one is killed, the others serve every request.
#[test]
fn requests_are_served_while_another_instance_is_down() {
    let mut deployment = Deployment::new(3);
    wait_for("all instances are registered", || all_registered(&deployment, 3));
    for frozen in 0..3 {
        deployment.instances[frozen].signal("STOP");
        for at in (0..3).filter(|at| *at != frozen) {
            for _ in 0..4 {
                let request = Request::post("/book/", "x");
                let response = deployment.send(at, &request).expect("a response");
                assert_eq!((response.status, response.text()), (200, body(&request.id)));
            }
        }
        deployment.instances[frozen].signal("CONT");
    }
    deployment.instances[0].signal("KILL");
    wait_for("the process is gone", || deployment.instances[0].ended().is_some());
    for at in 1..3 {
        let request = Request::post("/book/", "x");
        let response = deployment.send(at, &request).expect("a response");
        assert_eq!((response.status, response.text()), (200, body(&request.id)));
    }
}

/// Whether the first `count` instances are registered in the store.
pub fn all_registered(deployment: &Deployment, count: usize) -> bool {
    let entered =
        |at: &usize| deployment.store.newest("keyed.instances", &format!("i{at}")).is_some();
    (0..count).filter(entered).count() == count
}

/// All readers but one lose the store at once, and the remaining reader sends changes to all others. No
/// requests are sent, since the connections for them would carry changes too.
#[rstest]
fn remaining_reader_propagates_changes(
    #[values(0, 3)] left: usize,
    #[values(Outage::Unavailable, Outage::Unresponsive)] outage: Outage,
) {
    let deployment = Deployment::unconfigured(6);
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    for instance in &deployment.instances {
        wait_for("the instance is ready", || instance.ready());
    }
    // Before all six instances are listed, other instances than the first four by rank may be readers.
    let expected = expected_readers();
    wait_for("four instances read the store", || readers(&deployment) == expected);
    let readers = expected;
    // Only a reader that has had the store for as long as lapsed entries may be missing can confirm
    // removals to others.
    wait_for("the remaining reader confirms the server entries", || {
        deployment.instances[readers[left]].metric(&["entries_confirmed"]) >= SERVER_RECORDS
    });
    for at in readers.iter().filter(|at| **at != readers[left]) {
        deployment.instances[*at].store_endpoint.set_outage(outage);
    }
    for at in readers.iter().filter(|at| **at != readers[left]) {
        let store_endpoint = &deployment.instances[*at].store_endpoint;
        wait_for("no older call is in flight", || {
            !store_endpoint.failed_waits().is_empty() && store_endpoint.under_way() == 0
        });
    }
    deployment.store.put("keyed.op", "config", &configuration(9, "extra"));
    for instance in &deployment.instances {
        wait_for("the change is applied", || instance.log().contains("\"version\":\"9\""));
    }
    // One reader still has the store, so a removed entry has not lapsed.
    deployment.store.remove("keyed.servers", "d1");
    for instance in &deployment.instances {
        let ended = || last_of(&instance.log(), "server's entry ended");
        wait_for("the removal is logged", || !ended().is_empty());
        assert!(ended().contains("\"held\":\"false\""), "{}", ended());
    }
}

/// An instance that is gone for good is removed from the list; a running instance whose entry was removed
/// registers itself again.
#[test]
fn dead_instances_are_removed_from_the_list() {
    let mut deployment = Deployment::unconfigured(3);
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    wait_for("all instances are registered", || all_registered(&deployment, 3));
    deployment.instances[2].signal("KILL");
    wait_for("the process is gone", || deployment.instances[2].ended().is_some());
    wait_for("the instance is removed from the list", || {
        deployment.store.newest("keyed.instances", "i2").is_none()
    });
    assert!(all_registered(&deployment, 2));
    deployment.instances[2].restart();
    wait_for("the restarted instance is registered", || all_registered(&deployment, 3));
    deployment.store.remove("keyed.instances", "i1");
    wait_for("the instance registers itself again", || all_registered(&deployment, 3));
}

/// An instance that cannot write to the store is registered by another one that reads it.
#[test]
fn read_only_instance_is_registered_by_another() {
    let mut deployment = Deployment::new(1);
    wait_for("the first instance is registered", || all_registered(&deployment, 1));
    let store_endpoint = deployment.store.endpoint().expect("the store endpoint starts");
    store_endpoint.set_read_only();
    deployment.add_instance_with("i1", store_endpoint, "");
    wait_for("the read-only instance is registered", || all_registered(&deployment, 2));
}

/// An instance that restarts at the same address finds its entry and writes nothing to the store.
#[test]
fn restart_reuses_the_instance_entry() {
    let mut deployment = Deployment::new(2);
    wait_for("all instances are registered", || all_registered(&deployment, 2));
    let entered = deployment.store.newest("keyed.instances", "i1");
    deployment.instances[1].signal("KILL");
    wait_for("the process is gone", || deployment.instances[1].ended().is_some());
    let before = deployment.instances[1].store_endpoint.appends();
    deployment.instances[1].restart();
    wait_for("the instance serves", || {
        deployment.send(1, &Request::get("/read/")).is_ok_and(|response| response.status == 200)
    });
    assert_eq!(deployment.instances[1].store_endpoint.appends(), before);
    assert_eq!(deployment.store.newest("keyed.instances", "i1"), entered);
}

/// A request that arrives while an instance starts waits for the configuration.
#[test]
fn request_waits_while_an_instance_starts() {
    let mut deployment = Deployment::empty(false);
    deployment.add_server("d1", DESK);
    let store_endpoint = deployment.store.endpoint().expect("the store endpoint starts");
    deployment.add_instance_with("i0", store_endpoint, "[start]\nwait_ms = 45000\n");
    let request = Request::get("/read/").with("Drumusher-Deadline-Ms", "600000");
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&request.bytes()).expect("the request is sent");
    assert!(!deployment.instances[0].ready(), "no configuration is applied yet");
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    let response = read_response(&mut conn).expect("a response");
    assert_eq!((response.status, response.text()), (200, body(&request.id)));
}

/// Backend server entries in the store of a new deployment.
const SERVER_RECORDS: f64 = 4.0;

/// Indexes of those of the six instances that are readers now.
pub fn readers(deployment: &Deployment) -> Vec<usize> {
    readers_among(deployment, 6)
}

/// Indexes of those of the first `count` instances that are readers now.
pub fn readers_among(deployment: &Deployment, count: usize) -> Vec<usize> {
    let reads = |at: &usize| {
        let line = last_of(&deployment.instances[*at].log(), "reads the store for others");
        line.contains("\"reads\":\"true\"")
    };
    (0..count).filter(reads).collect()
}

/// Indexes of the four of six instances that are the readers once all are listed.
pub fn expected_readers() -> Vec<usize> {
    expected_readers_among(6)
}

/// Indexes of the four of `count` instances that are the readers once all are listed.
pub fn expected_readers_among(count: usize) -> Vec<usize> {
    let names: Vec<String> = (0..count).map(|at| format!("i{at}")).collect();
    let candidates = names.iter().map(|name| Candidate { name, capacity: DEFAULT_CAPACITY });
    let ranked = rank::order("store", candidates);
    let first = ranked.into_iter().take(4);
    let mut places: Vec<usize> =
        first.filter_map(|name| names.iter().position(|other| other == name)).collect();
    places.sort_unstable();
    places
}

/// The last log line that contains a text, or an empty text.
fn last_of(lines: &str, text: &str) -> String {
    lines.lines().rev().find(|line| line.contains(text)).unwrap_or("").to_string()
}
