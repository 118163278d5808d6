//! Entries of backend servers: from other writers, and of servers that start again under their names.

use drumusher_adapter_stand_in::Fault;
use drumusher_bench::fleet::wait_for;

use crate::support::{DESK, Deployment, Request, configuration};

/// What another writer may leave in a table, as key and value.
const FOREIGN: [(&[u8], &[u8]); 7] = [
    (b"x0", b"\xff\xfe\x00"),
    (b"\xff\xfe", b"{}"),
    (b"x1", b"[]"),
    (b"x2", br#"{"Service":"desk","Address":"127.0.0.1:1","Zone":"z","Slots":8,"State":"ready"}"#),
    (b"x 3", br#"{"Service":"desk","Address":"127.0.0.1:1","Zone":"z","Version":"v1","Slots":8,"State":"ready","WarmupLeftMs":0,"Sequence":1}"#),
    (b"x4", br#"{"availability_zone":"z","address":"127.0.0.1:1","capacity":4000000000}"#),
    (b"config", b"\xff"),
];

/// One record whose bytes were no text stopped every reader of its table for good. Now it names nothing, has a
/// line, and what comes after it is in force: read as a change and, by an instance that starts, as a whole.
#[test]
fn malformed_entries_do_not_block_readers() {
    let mut deployment = Deployment::new(1);
    for topic in ["keyed.op", "keyed.servers", "keyed.instances"] {
        for (key, value) in FOREIGN {
            deployment.store.put_bytes(topic, key, value);
        }
    }
    deployment.store.put("keyed.op", "config", &configuration(2, "extra"));
    let serves = |deployment: &Deployment, instance: usize| {
        let response = deployment.send(instance, &Request::get("/extra/"));
        response.is_ok_and(|response| response.status == 200)
    };
    wait_for("the change after them is in force", || serves(&deployment, 0));
    deployment.add_instance("late");
    wait_for("an instance that starts reads the tables", || serves(&deployment, 1));
    let logged = || deployment.instances[0].log().matches("passed over").count() >= 8;
    wait_for("each has its line", logged);
}

/// The entry of a server that starts again under its name may come before its connections break, or in place of
/// that if it lost power: then what it ran is over, and its clients need not wait for an end that never comes.
#[test]
fn server_restart_ends_the_requests_it_ran() {
    let deployment = Deployment::new(1);
    let announce = |born: u64| {
        for id in ["d1", "d2"] {
            let entry = deployment.server(id).entry_started_at(DESK, "ready", born);
            deployment.store.put("keyed.servers", id, &entry);
        }
    };
    let known = |born: u64| {
        let lines = deployment.instances[0].log();
        lines.matches(&format!("\"born\":\"{born}\"")).count() == 2
    };
    announce(1_000);
    wait_for("their first start is known", || known(1_000));
    for id in ["d1", "d2"] {
        deployment.server(id).set(Fault::Hang);
    }
    let request = Request::post("/book/", "a booking");
    std::thread::scope(|scope| {
        let waiting = scope.spawn(|| deployment.send(0, &request).expect("an answer"));
        wait_for("the booking runs", || deployment.runs(&request.id) == 1);
        announce(2_000);
        let response = waiting.join().expect("the call ends");
        assert_eq!(response.status, 502, "not 504, which only the end of its time brings");
    });
    for id in ["d1", "d2"] {
        deployment.server(id).set(Fault::None);
    }
    let after = Request::post("/book/", "another");
    assert_eq!(deployment.send(0, &after).expect("an answer").status, 200);
}
