//! Instances among themselves: dispatchers that fall silent, and what one is told by another.

use std::io::Write;

use drumusher_adapter_stand_in::{Outage, server::body};
use drumusher_bench::fleet::wait_for;
use drumusher_schedule::rank::{self, Candidate, DEFAULT_CAPACITY};
use rstest::rstest;

use crate::support::{Call, DESK, Deployment, configuration, read};

/// An instance that is turned away from the store learns changes from the others, whichever it is
/// and however it is turned away.
#[rstest]
fn changes_are_passed_on_between_instances(
    #[values(0, 1, 2)] turned_away: usize,
    #[values(Outage::Unavailable, Outage::Unresponsive)] away: Outage,
) {
    let deployment = Deployment::new(3);
    wait_for("they know each other", || known(&deployment, 3));
    let door = &deployment.instances[turned_away].door;
    door.set_outage(away);
    wait_for("no call of before is under way", || {
        let reads =
            last_of(&deployment.instances[turned_away].lines(), "reads the store for others");
        let none_of_before = !door.failed_waits().is_empty() && door.under_way() == 0;
        !reads.contains("\"reads\":\"true\"") || none_of_before
    });
    deployment.store.put("keyed.op", "config", &configuration(9, "extra"));
    for at in 0..3 {
        wait_for("the change is in force there", || {
            let answer = deployment.call(at, &Call::get("/extra/"));
            answer.is_ok_and(|answer| answer.status == 200)
        });
    }
}

/// Whichever instance is frozen or killed, the others serve every request meanwhile.
#[test]
fn requests_are_served_beside_a_silent_instance() {
    let mut deployment = Deployment::new(3);
    wait_for("they know each other", || known(&deployment, 3));
    for frozen in 0..3 {
        deployment.instances[frozen].signal("STOP");
        for at in (0..3).filter(|at| *at != frozen) {
            for _ in 0..4 {
                let call = Call::post("/book/", "x");
                let answer = deployment.call(at, &call).expect("an answer");
                assert_eq!((answer.status, answer.text()), (200, body(&call.id)));
            }
        }
        deployment.instances[frozen].signal("CONT");
    }
    deployment.instances[0].signal("KILL");
    wait_for("it is gone", || deployment.instances[0].ended().is_some());
    for at in 1..3 {
        let call = Call::post("/book/", "x");
        let answer = deployment.call(at, &call).expect("an answer");
        assert_eq!((answer.status, answer.text()), (200, body(&call.id)));
    }
}

/// Whether so many instances are entered in the store.
fn known(deployment: &Deployment, count: usize) -> bool {
    let entered =
        |at: &usize| deployment.store.newest("keyed.instances", &format!("i{at}")).is_some();
    (0..count).filter(entered).count() == count
}

/// The same without any request, whose connections would carry the changes too: all but one of
/// those that read the store are turned away at once, and the one that is left tells them.
#[rstest]
fn those_that_read_the_store_tell_each_other(
    #[values(0, 3)] left: usize,
    #[values(Outage::Unavailable, Outage::Unresponsive)] away: Outage,
) {
    let deployment = Deployment::unconfigured(6);
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    for instance in &deployment.instances {
        wait_for("it is ready", || instance.ready());
    }
    // Four may read before all six are listed, and others later: those four by rank are to be awaited.
    let expected = four_by_rank();
    wait_for("four instances read the store", || readers(&deployment) == expected);
    let readers = expected;
    // Only who has seen the store for as long as lapsed entries may be missing can tell others that an end is none.
    wait_for("the one that is left confirms what it read", || {
        deployment.instances[readers[left]].metric(&["entries_confirmed"]) >= SERVERS
    });
    for at in readers.iter().filter(|at| **at != readers[left]) {
        deployment.instances[*at].door.set_outage(away);
    }
    for at in readers.iter().filter(|at| **at != readers[left]) {
        let door = &deployment.instances[*at].door;
        wait_for("no call of before is under way", || {
            !door.failed_waits().is_empty() && door.under_way() == 0
        });
    }
    deployment.store.put("keyed.op", "config", &configuration(9, "extra"));
    for instance in &deployment.instances {
        wait_for("the change is in force there", || instance.lines().contains("\"version\":\"9\""));
    }
    // The store is there for one of them, so that an entry that ends has not lapsed.
    deployment.store.remove("keyed.servers", "d1");
    for instance in &deployment.instances {
        let ended = || last_of(&instance.lines(), "server's entry ended");
        wait_for("the end is known there", || !ended().is_empty());
        assert!(ended().contains("\"held\":\"false\""), "{}", ended());
    }
}

/// An instance that is gone for good is taken off the list; one whose entry was dropped although it is
/// there enters itself again.
#[test]
fn instances_that_are_gone_are_forgotten() {
    let mut deployment = Deployment::unconfigured(3);
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    wait_for("they know each other", || known(&deployment, 3));
    deployment.instances[2].signal("KILL");
    wait_for("it is gone", || deployment.instances[2].ended().is_some());
    wait_for("it is off the list", || deployment.store.newest("keyed.instances", "i2").is_none());
    assert!(known(&deployment, 2));
    deployment.instances[2].restart();
    wait_for("it is back", || known(&deployment, 3));
    deployment.store.remove("keyed.instances", "i1");
    wait_for("it enters itself again", || known(&deployment, 3));
}

/// An instance that cannot write to the store is entered by another one that reads it.
#[test]
fn an_instance_is_entered_by_another() {
    let mut deployment = Deployment::new(1);
    wait_for("the first one entered itself", || known(&deployment, 1));
    let door = deployment.store.endpoint().expect("a way to the store");
    door.set_read_only();
    deployment.add_instance_with("i1", door, "");
    wait_for("it is entered", || known(&deployment, 2));
}

/// An instance that restarts where it was finds its entry and writes nothing.
#[test]
fn a_restart_writes_nothing() {
    let mut deployment = Deployment::new(2);
    wait_for("they know each other", || known(&deployment, 2));
    let entered = deployment.store.newest("keyed.instances", "i1");
    deployment.instances[1].signal("KILL");
    wait_for("it is gone", || deployment.instances[1].ended().is_some());
    let before = deployment.instances[1].door.appends();
    deployment.instances[1].restart();
    wait_for("it serves", || {
        deployment.call(1, &Call::get("/read/")).is_ok_and(|answer| answer.status == 200)
    });
    assert_eq!(deployment.instances[1].door.appends(), before);
    assert_eq!(deployment.store.newest("keyed.instances", "i1"), entered);
}

/// A request that comes while an instance starts waits for the configuration.
#[test]
fn a_starting_instance_refuses_nothing() {
    let mut deployment = Deployment::empty(false);
    deployment.add_server("d1", DESK);
    let door = deployment.store.endpoint().expect("a way to the store");
    deployment.add_instance_with("i0", door, "[start]\nwait_ms = 45000\n");
    let call = Call::get("/read/").with("Drumusher-Deadline-Ms", "600000");
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&call.bytes()).expect("sent");
    assert!(!deployment.instances[0].ready(), "nothing is in force yet");
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    let answer = read(&mut conn).expect("an answer");
    assert_eq!((answer.status, answer.text()), (200, body(&call.id)));
}

/// The records of backend servers that a deployment of tests begins with.
const SERVERS: f64 = 4.0;

/// The places of the instances, of six, that read the store now.
pub fn readers(deployment: &Deployment) -> Vec<usize> {
    let reads = |at: &usize| {
        let line = last_of(&deployment.instances[*at].lines(), "reads the store for others");
        line.contains("\"reads\":\"true\"")
    };
    (0..6).filter(reads).collect()
}

/// The places of the four of six instances that read the store once all are listed.
pub fn four_by_rank() -> Vec<usize> {
    let names: Vec<String> = (0..6).map(|at| format!("i{at}")).collect();
    let candidates = names.iter().map(|name| Candidate { name, capacity: DEFAULT_CAPACITY });
    let ranked = rank::order("store", candidates);
    let first = ranked.into_iter().take(4);
    let mut places: Vec<usize> =
        first.filter_map(|name| names.iter().position(|other| other == name)).collect();
    places.sort_unstable();
    places
}

/// The last log line that contains a text.
fn last_of(lines: &str, text: &str) -> String {
    lines.lines().rev().find(|line| line.contains(text)).unwrap_or("").to_string()
}
