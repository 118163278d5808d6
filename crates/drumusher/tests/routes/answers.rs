//! Whole answers, at most once, and refusals that are true, whatever a backend server does.

use std::io::Write;

use drumusher_adapter_stand_in::{Fault, server::body};
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::support::{Call, Deployment, read};

/// Sets a fault at both backend servers of the plain service.
fn set_desks(deployment: &Deployment, fault: Fault) {
    deployment.server("d1").set(fault);
    deployment.server("d2").set(fault);
}

/// A request that may not be repeated runs at most once whatever happens, and what says "not run"
/// is true.
#[rstest]
#[case(Fault::Overloaded, 503, 0)]
#[case(Fault::Misdirected, 503, 0)]
#[case(Fault::Fails, 500, 1)]
#[case(Fault::Reset, 502, 1)]
#[case(Fault::Cut, 502, 1)]
#[case(Fault::Garbled, 502, 1)]
#[case(Fault::Unsigned, 502, 1)]
#[case(Fault::UnframedReset, 502, 1)]
#[case(Fault::Hang, 504, 1)]
#[case(Fault::Unframed, 200, 1)]
#[case(Fault::Extra, 200, 1)]
#[case(Fault::Crossed, 200, 1)]
#[case(Fault::Slow, 200, 1)]
fn a_booking_runs_at_most_once(#[case] fault: Fault, #[case] status: u16, #[case] runs: usize) {
    let deployment = Deployment::new(1);
    set_desks(&deployment, fault);
    let call = Call::post("/book/", "a booking");
    let answer = deployment.call(0, &call).expect("an answer");
    assert_eq!(answer.status, status, "{}", answer.text());
    assert_eq!(deployment.runs(&call.id), runs);
    assert!(answer.whole);
    if status == 200 {
        assert_eq!(answer.text(), body(&call.id));
    }
    if status == 503 {
        assert!(answer.header("retry-after").is_some(), "tells when to come back");
    }
    if status > 500 {
        assert_eq!(answer.header("drumusher-response-seal"), None, "no one's signature");
    }
}

/// A repeatable request is answered by another backend server when one fails.
#[rstest]
#[case(Fault::Overloaded)]
#[case(Fault::Misdirected)]
#[case(Fault::Fails)]
#[case(Fault::Reset)]
#[case(Fault::Cut)]
#[case(Fault::Garbled)]
#[case(Fault::Unsigned)]
#[case(Fault::UnframedReset)]
#[case(Fault::Hang)]
fn a_repeatable_request_goes_elsewhere(#[case] fault: Fault) {
    let deployment = Deployment::new(1);
    deployment.server("d1").set(fault);
    for _ in 0..6 {
        let call = Call::get("/read/");
        let answer = deployment.call(0, &call).expect("an answer");
        assert_eq!((answer.status, answer.text()), (200, body(&call.id)));
    }
}

/// Both backend servers fail with an answer of their own: it is delivered as it is.
#[test]
fn a_failure_is_delivered_with_its_signature() {
    let deployment = Deployment::new(1);
    set_desks(&deployment, Fault::Fails);
    let call = Call::get("/read/");
    let answer = deployment.call(0, &call).expect("an answer");
    assert_eq!((answer.status, answer.text().as_str()), (500, "failed"));
    assert_eq!(answer.header("drumusher-response-seal"), Some(&*format!("seal-{}", call.id)));
}

/// Bytes after a whole answer, and answers to earlier requests, never reach another request on the
/// connection to the backend server.
#[rstest]
#[case(Fault::Extra)]
#[case(Fault::Crossed)]
fn surplus_bytes_belong_to_nobody(#[case] fault: Fault) {
    let deployment = Deployment::new(1);
    set_desks(&deployment, fault);
    for _ in 0..20 {
        let call = Call::post("/book/", "x");
        let answer = deployment.call(0, &call).expect("an answer");
        assert_eq!((answer.status, answer.text()), (200, body(&call.id)));
        assert_eq!(deployment.runs(&call.id), 1);
    }
}

/// A backend server that cannot be connected to costs no request.
#[test]
fn a_server_that_is_gone_costs_no_booking() {
    let deployment = Deployment::new(1);
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = nobody.local_addr().expect("its address");
    drop(nobody);
    let entry = deployment.server("d1").entry("desk", "ready");
    let own = deployment.server("d1").address.to_string();
    deployment.store.put("keyed.servers", "d0", &entry.replace(&own, &address.to_string()));
    for _ in 0..12 {
        let call = Call::post("/book/", "x");
        let answer = deployment.call(0, &call).expect("an answer");
        assert_eq!((answer.status, answer.text()), (200, body(&call.id)));
    }
}

/// Many requests on one kept connection of a caller, and connections to backend servers that are
/// kept: far fewer connections than requests.
#[test]
fn connections_are_kept() {
    let deployment = Deployment::new(1);
    let mut conn = deployment.connect(0).expect("a connection");
    for _ in 0..30 {
        let call = Call::get("/read/");
        conn.write_all(&call.bytes()).expect("sent");
        let answer = read(&mut conn).expect("an answer");
        assert_eq!((answer.status, answer.text()), (200, body(&call.id)));
    }
}

/// A caller that goes away frees the backend server at once.
#[test]
fn a_caller_that_is_gone_stops_the_work() {
    let deployment = Deployment::new(1);
    set_desks(&deployment, Fault::Hang);
    let call = Call::post("/book/", "x");
    leave_while_it_runs(&deployment, &call);
    wait_for("the server sees the close", || {
        deployment.server("d1").client_disconnects() + deployment.server("d2").client_disconnects()
            == 1
    });
}

/// The deadline that a caller names is kept: the final answer comes although the backend server
/// says nothing, and says that the request may have run.
#[test]
fn a_final_answer_comes_at_the_deadline() {
    let deployment = Deployment::new(1);
    set_desks(&deployment, Fault::Hang);
    let call = Call::post("/book/", "x").with("Drumusher-Deadline-Ms", "400");
    let answer = deployment.call(0, &call).expect("an answer");
    assert_eq!(answer.status, 504);
    assert!(answer.text().contains("\"ran\":\"unknown\""), "{}", answer.text());
}

/// A caller that leaves before there is an answer has its line in the log.
#[test]
fn a_caller_that_leaves_is_told() {
    let deployment = Deployment::new(1);
    set_desks(&deployment, Fault::Hang);
    let call = Call::post("/book/", "x");
    leave_while_it_runs(&deployment, &call);
    wait_for("its line is written", || {
        let lines = deployment.instances[0].lines();
        lines.lines().any(|line| line.contains("caller gone") && line.contains(&call.id))
    });
}

/// What is believed of a backend server that fails, and that it is well again, is told with what led to
/// it.
#[test]
fn the_health_of_a_server_is_told() {
    let deployment = Deployment::new(1);
    let told = |word: &str| {
        let line = format!("backend server is {word}");
        let lines = deployment.instances[0].lines();
        lines.lines().any(|l| l.contains(&line) && l.contains("d1") && l.contains("failing"))
    };
    deployment.server("d1").set(Fault::Reset);
    wait_for("it is told to be down", || {
        let _ = deployment.call(0, &Call::get("/read/"));
        told("down")
    });
    deployment.server("d1").set(Fault::None);
    wait_for("it is told to be good", || {
        let _ = deployment.call(0, &Call::get("/read/"));
        told("good")
    });
}

/// Sends a request and closes its connection once a backend server runs it.
fn leave_while_it_runs(deployment: &Deployment, call: &Call) {
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&call.bytes()).expect("sent");
    wait_for("it runs", || deployment.runs(&call.id) == 1);
}
