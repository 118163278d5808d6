//! Faults of backend servers: responses are complete, requests that must not be repeated run at most once,
//! and "not run" in a refusal is true.

use std::io::Write;

use drumusher_adapter_stand_in::{Fault, server::body};
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::support::{Deployment, Request, configuration, read_response};

/// Sets a fault on both backend servers of the plain service.
fn set_desk_fault(deployment: &Deployment, fault: Fault) {
    deployment.server("d1").set(fault);
    deployment.server("d2").set(fault);
}

/// A non-idempotent request runs at most once under any fault, and one that is refused with 503 never ran.
#[rstest]
#[case(Fault::Overloaded, 503, 0)]
#[case(Fault::Misdirected, 503, 0)]
#[case(Fault::Fails, 500, 1)]
#[case(Fault::Reset, 502, 1)]
#[case(Fault::Cut, 502, 1)]
#[case(Fault::Garbled, 502, 1)]
#[case(Fault::Unsigned, 502, 1)]
#[case(Fault::InvalidStatus, 502, 1)]
#[case(Fault::ShortLength, 502, 1)]
#[case(Fault::UnnamedChunks, 502, 1)]
#[case(Fault::UnframedReset, 502, 1)]
#[case(Fault::Hang, 504, 1)]
#[case(Fault::Unframed, 200, 1)]
#[case(Fault::Extra, 200, 1)]
#[case(Fault::Crossed, 200, 1)]
#[case(Fault::Slow, 200, 1)]
fn non_idempotent_request_runs_at_most_once(
    #[case] fault: Fault,
    #[case] status: u16,
    #[case] runs: usize,
) {
    let deployment = Deployment::new(1);
    set_desk_fault(&deployment, fault);
    let request = Request::post("/book/", "a booking");
    let response = deployment.send(0, &request).expect("a response");
    assert_eq!(response.status, status, "{}", response.text());
    assert_eq!(deployment.runs(&request.id), runs);
    assert!(response.complete);
    if status == 200 {
        assert_eq!(response.text(), body(&request.id));
    }
    if status == 503 {
        assert!(response.header("retry-after").is_some(), "a refusal has Retry-After");
    }
    if status > 500 {
        assert_eq!(
            response.header("drumusher-response-seal"),
            None,
            "an error of the instance has no seal"
        );
    }
}

/// When a backend server fails, an idempotent request is answered by the other one.
#[rstest]
#[case(Fault::Overloaded)]
#[case(Fault::Misdirected)]
#[case(Fault::Fails)]
#[case(Fault::Reset)]
#[case(Fault::Cut)]
#[case(Fault::Garbled)]
#[case(Fault::Unsigned)]
#[case(Fault::InvalidStatus)]
#[case(Fault::ShortLength)]
#[case(Fault::UnnamedChunks)]
#[case(Fault::UnframedReset)]
#[case(Fault::Hang)]
fn idempotent_request_is_retried_on_another_server(#[case] fault: Fault) {
    let deployment = Deployment::new(1);
    deployment.server("d1").set(fault);
    for _ in 0..6 {
        let request = Request::get("/read/");
        let response = deployment.send(0, &request).expect("a response");
        assert_eq!((response.status, response.text()), (200, body(&request.id)));
    }
}

/// When both backend servers answer with an error of their own, that response is forwarded unchanged.
#[test]
fn backend_error_is_forwarded_with_its_seal() {
    let deployment = Deployment::new(1);
    set_desk_fault(&deployment, Fault::Fails);
    let request = Request::get("/read/");
    let response = deployment.send(0, &request).expect("a response");
    assert_eq!((response.status, response.text().as_str()), (500, "failed"));
    assert_eq!(response.header("drumusher-response-seal"), Some(&*format!("seal-{}", request.id)));
}

/// Bytes after a complete response, and responses to earlier requests, never reach another request on the
/// same backend connection.
#[rstest]
#[case(Fault::Extra)]
#[case(Fault::Crossed)]
fn surplus_response_bytes_never_reach_another_request(#[case] fault: Fault) {
    let deployment = Deployment::new(1);
    set_desk_fault(&deployment, fault);
    for _ in 0..20 {
        let request = Request::post("/book/", "x");
        let response = deployment.send(0, &request).expect("a response");
        assert_eq!((response.status, response.text()), (200, body(&request.id)));
        assert_eq!(deployment.runs(&request.id), 1);
    }
}

/// A deployment with one server of the plain service, which has this fault.
fn deploy_one(fault: Fault) -> Deployment {
    let mut deployment = Deployment::empty(false);
    deployment.add_server("d1", "desk");
    deployment.add_server("m1", "model");
    deployment.add_instance("i0");
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    deployment.wait_serving();
    deployment.server("d1").set(fault);
    deployment
}

/// A late copy of a rejection is not taken for the response to another attempt of the same request.
#[test]
fn rejection_that_comes_again_rejects_no_later_attempt() {
    let deployment = deploy_one(Fault::RejectedAgain);
    for _ in 0..6 {
        let request = Request::post("/book/", "x");
        let response = deployment.send(0, &request).expect("a response");
        assert_eq!((response.status, response.text()), (200, body(&request.id)));
        assert_eq!(deployment.runs(&request.id), 1);
    }
}

/// A late copy of a rejected health check, which has no ID, is not taken for the response to a request.
#[test]
fn rejection_of_a_health_check_rejects_no_request() {
    let deployment = deploy_one(Fault::HealthRejectedAgain);
    for _ in 0..3 {
        // The first one is so slow that the server is checked.
        for _ in 0..2 {
            let request = Request::post("/book/", "x");
            let response = deployment.send(0, &request).expect("a response");
            assert_eq!((response.status, response.text()), (200, body(&request.id)));
            assert_eq!(deployment.runs(&request.id), 1);
        }
    }
}

/// A backend server that refuses connections makes no request fail.
#[test]
fn unreachable_server_fails_no_request() {
    let deployment = Deployment::new(1);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let entry = deployment.server("d1").entry("desk", "ready");
    let own = deployment.server("d1").address.to_string();
    deployment.store.put("keyed.servers", "d0", &entry.replace(&own, &address.to_string()));
    for _ in 0..12 {
        let request = Request::post("/book/", "x");
        let response = deployment.send(0, &request).expect("a response");
        assert_eq!((response.status, response.text()), (200, body(&request.id)));
    }
}

/// A caller sends many requests on one persistent connection, and each gets its own response.
#[test]
fn caller_connection_is_reused() {
    let deployment = Deployment::new(1);
    let mut conn = deployment.connect(0).expect("a connection");
    for _ in 0..30 {
        let request = Request::get("/read/");
        conn.write_all(&request.bytes()).expect("the request is sent");
        let response = read_response(&mut conn).expect("a response");
        assert_eq!((response.status, response.text()), (200, body(&request.id)));
    }
}

/// When a caller disconnects, the connection to the backend server that runs its request is closed.
#[test]
fn caller_disconnect_closes_the_backend_connection() {
    let deployment = Deployment::new(1);
    set_desk_fault(&deployment, Fault::Hang);
    let request = Request::post("/book/", "x");
    disconnect_while_running(&deployment, &request);
    wait_for("the server sees the disconnect", || {
        deployment.server("d1").client_disconnects() + deployment.server("d2").client_disconnects()
            == 1
    });
}

/// The deadline of a caller is kept: a final response comes although the backend server stays silent, and
/// it says that the request may have run.
#[test]
fn request_is_answered_at_its_deadline() {
    let deployment = Deployment::new(1);
    set_desk_fault(&deployment, Fault::Hang);
    let request = Request::post("/book/", "x").with("Drumusher-Deadline-Ms", "400");
    let response = deployment.send(0, &request).expect("a response");
    assert_eq!(response.status, 504);
    assert!(response.text().contains("\"ran\":\"unknown\""), "{}", response.text());
}

/// A caller that disconnects before a response is logged.
#[test]
fn caller_disconnect_is_logged() {
    let deployment = Deployment::new(1);
    set_desk_fault(&deployment, Fault::Hang);
    let request = Request::post("/book/", "x");
    disconnect_while_running(&deployment, &request);
    wait_for("the disconnect is logged", || {
        let lines = deployment.instances[0].log();
        lines.lines().any(|line| line.contains("caller gone") && line.contains(&request.id))
    });
}

/// Changes of a backend server's health to down and back to good are logged with their cause.
#[test]
fn server_health_changes_are_logged() {
    let deployment = Deployment::new(1);
    let logged = |word: &str| {
        let line = format!("backend server is {word}");
        let lines = deployment.instances[0].log();
        lines.lines().any(|l| l.contains(&line) && l.contains("d1") && l.contains("failing"))
    };
    deployment.server("d1").set(Fault::Reset);
    wait_for("the server is logged as down", || {
        let _ = deployment.send(0, &Request::get("/read/"));
        logged("down")
    });
    deployment.server("d1").set(Fault::None);
    wait_for("the server is logged as good", || {
        let _ = deployment.send(0, &Request::get("/read/"));
        logged("good")
    });
}

/// Sends a request and closes the connection once a backend server runs the request.
fn disconnect_while_running(deployment: &Deployment, request: &Request) {
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&request.bytes()).expect("the request is sent");
    wait_for("the request runs", || deployment.runs(&request.id) == 1);
}

/// Number of requests beside a server that answers without end.
const REQUESTS: usize = 24;
/// Bytes that one response without end may cost: what the instance reads before it gives up, and what the buffers of both
/// sides of a connection take.
const MAX_ENDLESS_BYTES: usize = 8 * 1024 * 1024;

/// A response whose interim responses or trailers have no end costs little, and its request is served elsewhere.
#[rstest]
#[case(Fault::EndlessInterim)]
#[case(Fault::EndlessTrailers)]
fn response_without_end_is_given_up_soon(#[case] fault: Fault) {
    let deployment = Deployment::new(1);
    deployment.server("d1").set(fault);
    let mut served = 0;
    for _ in 0..REQUESTS {
        let response = deployment.send(0, &Request::get("/read/")).expect("a response");
        served += usize::from(response.status == 200);
    }
    let server = deployment.server("d1");
    let (sent, runs) = (server.endless_bytes(), server.runs().len());
    println!("{fault:?}: {served} served, {runs} runs with {sent} bytes without end");
    assert_eq!(served, REQUESTS);
    assert!(sent <= runs * MAX_ENDLESS_BYTES, "{sent} bytes in {runs} runs");
}
