//! Entries of backend servers: malformed ones of other writers, and those of servers that restart under the
//! same ID.

use drumusher_adapter_stand_in::Fault;
use drumusher_bench::fleet::wait_for;

use crate::support::{DESK, Deployment, Request, configuration};

/// Keys and values that a faulty writer may leave in a table.
const MALFORMED: [(&[u8], &[u8]); 7] = [
    (b"x0", b"\xff\xfe\x00"),
    (b"\xff\xfe", b"{}"),
    (b"x1", b"[]"),
    (b"x2", br#"{"Service":"desk","Address":"127.0.0.1:1","Zone":"z","Slots":8,"State":"ready"}"#),
    (b"x 3", br#"{"Service":"desk","Address":"127.0.0.1:1","Zone":"z","Version":"v1","Slots":8,"State":"ready","WarmupLeftMs":0,"Sequence":1}"#),
    (b"x4", br#"{"availability_zone":"z","address":"127.0.0.1:1","capacity":4000000000}"#),
    (b"config", b"\xff"),
];

/// Guards against a record that is not valid UTF-8 stopping every reader of its table for good. Such a
/// record is skipped and logged, and the records after it are applied, whether they are read as changes or,
/// by an instance that starts, as a full table.
#[test]
fn malformed_entries_do_not_block_readers() {
    let mut deployment = Deployment::new(1);
    for topic in ["keyed.op", "keyed.servers", "keyed.instances"] {
        for (key, value) in MALFORMED {
            deployment.store.put_bytes(topic, key, value);
        }
    }
    deployment.store.put("keyed.op", "config", &configuration(2, "extra"));
    let serves = |deployment: &Deployment, instance: usize| {
        let response = deployment.send(instance, &Request::get("/extra/"));
        response.is_ok_and(|response| response.status == 200)
    };
    wait_for("the change after them is applied", || serves(&deployment, 0));
    deployment.add_instance("late");
    wait_for("an instance that starts reads the tables", || serves(&deployment, 1));
    let logged = || deployment.instances[0].log().matches("passed over").count() >= 8;
    wait_for("each skipped record is logged", logged);
}

/// The new entry of a restarted server may arrive before its old connections break, or they never break if
/// the server lost power. The new entry ends the requests that it ran, so that their callers do not wait
/// until the timeout.
#[test]
fn server_restart_ends_the_requests_it_ran() {
    let deployment = Deployment::new(1);
    let announce = |born: u64| {
        for id in ["d1", "d2"] {
            let entry = deployment.server(id).entry_started_at(DESK, "ready", born);
            deployment.store.put("keyed.servers", id, &entry);
        }
    };
    let is_logged = |born: u64| {
        let lines = deployment.instances[0].log();
        lines.matches(&format!("\"born\":\"{born}\"")).count() == 2
    };
    announce(1_000);
    wait_for("the first start of both servers is logged", || is_logged(1_000));
    for id in ["d1", "d2"] {
        deployment.server(id).set(Fault::Hang);
    }
    let request = Request::post("/book/", "a booking");
    std::thread::scope(|scope| {
        let waiting = scope.spawn(|| deployment.send(0, &request).expect("a response"));
        wait_for("the request runs", || deployment.runs(&request.id) == 1);
        announce(2_000);
        let response = waiting.join().expect("no caller panics");
        assert_eq!(response.status, 502, "an immediate error and not the 504 of a timeout");
    });
    for id in ["d1", "d2"] {
        deployment.server(id).set(Fault::None);
    }
    let after = Request::post("/book/", "another");
    assert_eq!(deployment.send(0, &after).expect("a response").status, 200);
}
