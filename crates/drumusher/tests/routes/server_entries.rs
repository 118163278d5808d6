//! Entries of backend servers: malformed ones of other writers, and those of servers that restart under the
//! same ID.

use drumusher_adapter_stand_in::Fault;
use drumusher_bench::fleet::wait_for;

use crate::support::{DESK, Deployment, MODEL, Request, configuration};

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

/// The entry of a server at this address, with other fields replaced.
fn entry_at(address: &str) -> String {
    format!(
        r#"{{"Service":"{DESK}","Address":"{address}","Zone":"z","Version":"v1","Slots":8,"State":"ready","WarmupLeftMs":0,"Sequence":1,"born":5}}"#
    )
}

/// Odd values, none of which describes a server or an instance.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str| format!("{}{}", open.repeat(4_000), close.repeat(4_000));
    let valid = entry_at("127.0.0.1:1");
    let replaced = |part: &str, other: &str| {
        assert!(valid.contains(part));
        valid.replace(part, other)
    };
    let texts = [
        nested("[", "]"),
        nested(r#"{"a":"#, "}"),
        nested("[", ""),
        replaced(r#""born":5"#, r#""born":1e400"#),
        replaced(r#""Slots":8"#, r#""Slots":18446744073709551616"#),
        replaced(r#""Slots":8"#, r#""Slots":8,"Slots":9"#),
        replaced(r#""Sequence":1"#, r#""Sequence":-1"#),
        replaced("127.0.0.1:1", "127.0.0.1:70000"),
        replaced("127.0.0.1:1", r"\udcff"),
        replaced(r#""Zone":"z""#, &format!(r#""Zone":{}"#, nested("[", "]"))),
        format!("\u{feff}{valid}"),
        "\0".repeat(9_000),
    ];
    let mut values: Vec<Vec<u8>> = texts.into_iter().map(String::into_bytes).collect();
    values.push(vec![0xff; 500]);
    values
}

fn add_service_route(deployment: &Deployment, version: u64) {
    let name = format!("v{version}");
    deployment.store.put("keyed.op", "config", &configuration(version, &name));
    for at in 0..deployment.instances.len() {
        wait_for("the change of the configuration is in force", || {
            let response = deployment.send(at, &Request::get(&format!("/{name}/")));
            response.is_ok_and(|response| response.status == 200)
        });
    }
}

fn wait_until_listed(deployment: &Deployment, servers: usize) {
    for instance in &deployment.instances {
        let listed = || instance.metric(&["servers_listed"]) == servers as f64;
        wait_for("the instance knows the servers", listed);
    }
}

fn assert_all_served(deployment: &mut Deployment, requests: usize) {
    for at in 0..deployment.instances.len() {
        for path in ["/read/", "/book/", "/talk/"] {
            for _ in 0..requests {
                let request =
                    if path == "/book/" { Request::post(path, "b") } else { Request::get(path) };
                let response = deployment.send(at, &request).expect("a response");
                assert_eq!(response.status, 200, "{path} at instance {at}: {}", response.text());
            }
        }
        assert!(deployment.instances[at].ended().is_none(), "instance {at} ended");
    }
}

/// Guards against instances that end, or do not follow a table any more, because of what another writer left in it.
#[test]
fn thousands_of_odd_entries_end_no_instance_and_stop_no_update() {
    let mut deployment = Deployment::new(5);
    let values = odd_values();
    let keys: [&[u8]; 6] = [b"", b"\xff\xfe", b"\0", b"a\nb", b"evacuate/", &[b'k'; 240]];
    for topic in ["keyed.op", "keyed.servers", "keyed.instances", "keyed.quarantine"] {
        for key in keys {
            deployment.store.put_bytes(topic, key, &values[0]);
        }
        for number in 0..2_000 {
            let key = match number % 3 {
                0 => format!("odd-{number}").into_bytes(),
                1 => [b"\xff".as_slice(), number.to_string().as_bytes()].concat(),
                _ => format!("{number:032x}").into_bytes(),
            };
            deployment.store.put_bytes(topic, &key, &values[number % values.len()]);
        }
    }
    add_service_route(&deployment, 2);
    deployment.add_server("d3", DESK);
    deployment.add_server("m3", MODEL);
    for name in ["late-1", "late-2", "late-3"] {
        deployment.add_instance(name);
    }
    deployment.wait_serving();
    add_service_route(&deployment, 3);
    wait_until_listed(&deployment, 6);
    assert_all_served(&mut deployment, 10);
    assert!(deployment.instances.iter().all(|instance| instance.starts == 1));
}

/// Guards against a table that gets too long to be relayed: instances that do not read the store themselves would
/// never know it.
#[test]
fn huge_entries_do_not_keep_the_table_from_other_instances() {
    let mut deployment = Deployment::unconfigured(0);
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    let huge = "x".repeat(262_000);
    for number in 0..80 {
        deployment.store.put("keyed.servers", &format!("odd-{number}"), &huge);
    }
    for number in 0..7 {
        deployment.add_instance(&format!("i{number}"));
    }
    wait_until_listed(&deployment, 4);
    deployment.add_server("d3", DESK);
    wait_until_listed(&deployment, 5);
    add_service_route(&deployment, 2);
    assert_all_served(&mut deployment, 5);
}

/// Guards against a log that grows with each change of a malformed entry, or with each read of a table that holds many.
#[test]
fn malformed_entries_do_not_flood_the_log() {
    let deployment = Deployment::new(1);
    for number in 0..1_500 {
        let value = format!("[{number}");
        deployment.store.put("keyed.instances", &format!("odd-{number}"), &value);
        deployment.store.put("keyed.servers", "odd", &value);
        deployment.store.put("keyed.op", "config", &value);
        deployment.store.put("keyed.quarantine", &format!("{:032x}", number % 7), &value);
    }
    for version in 2..12 {
        deployment.store.put("keyed.instances", "odd-x", &format!("[{version}"));
        add_service_route(&deployment, version);
    }
    let counted =
        || deployment.instances[0].metric(&["entries_passed_over", "instances"]) >= 1_500.0;
    wait_for("all entries are counted", counted);
    let log = deployment.instances[0].log();
    let lines = log.lines().filter(|line| line.contains("\"ERROR\"")).count();
    assert!((1..=400).contains(&lines), "{lines} lines");
}

/// Guards against an entry that no later one of the same server replaces, since it names a start in the far future.
#[test]
fn an_entry_with_a_start_in_the_future_is_replaced_by_the_right_one() {
    let deployment = Deployment::new(1);
    let future = entry_at("127.0.0.1:1").replace(r#""born":5"#, r#""born":18446744073709551615"#);
    for id in ["d1", "d2"] {
        deployment.store.put("keyed.servers", id, &future);
        deployment.store.put("keyed.servers", id, &future.replace("ready", "draining"));
        let entry = deployment.server(id).entry_started_at(DESK, "ready", 1_000);
        deployment.store.put("keyed.servers", id, &entry);
    }
    wait_for("the right entries are used", || {
        let responses = (0..20).map(|_| deployment.send(0, &Request::get("/open/")));
        responses.into_iter().all(|response| response.is_ok_and(|response| response.status == 200))
    });
}

/// Guards against requests that are lost to an entry that reads well and names an address where no server of it is.
#[test]
fn entries_at_odd_addresses_cost_no_request() {
    let mut deployment = Deployment::new(2);
    let served = deployment.server("d1").address.to_string();
    let fixed = ["127.0.0.1:1", "0.0.0.0:1", "224.0.0.1:80", "[::1]:1"].map(String::from);
    for (number, address) in fixed.into_iter().chain([served]).enumerate() {
        put_odd_server(&deployment, number, &address);
        assert_all_served(&mut deployment, 20);
        deployment.store.remove("keyed.servers", &format!("odd-{number}"));
    }
}

/// Another process listens at the address, so that whether a request ran is unknown: one that may not be repeated is
/// told so.
#[test]
fn entries_at_addresses_of_other_processes_cost_no_repeatable_request() {
    let mut deployment = Deployment::new(2);
    let own = deployment.instances[0].http_address.to_string();
    let status = deployment.instances[1].status_address.to_string();
    let store = deployment.store.address.to_string();
    for (number, address) in [own, status, store].into_iter().enumerate() {
        put_odd_server(&deployment, number, &address);
        for at in 0..2 {
            for _ in 0..20 {
                let read = deployment.send(at, &Request::get("/read/")).expect("a response");
                assert_eq!(read.status, 200, "at {address}: {}", read.text());
                let book = Request::post("/book/", "b");
                let response = deployment.send(at, &book).expect("a response");
                let unknown = response.text().contains(r#""ran":"unknown""#);
                assert!(response.status == 200 || unknown, "{}", response.text());
                assert!(deployment.runs(&book.id) <= 1, "it ran twice");
            }
            assert!(deployment.instances[at].ended().is_none(), "instance {at} ended");
        }
        deployment.store.remove("keyed.servers", &format!("odd-{number}"));
    }
}

fn put_odd_server(deployment: &Deployment, number: usize, address: &str) {
    deployment.store.put("keyed.servers", &format!("odd-{number}"), &entry_at(address));
    add_service_route(deployment, number as u64 + 2);
}
