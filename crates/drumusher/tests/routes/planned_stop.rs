//! Planned stops: requests in flight are completed as far as time allows.

use std::io::{Read, Write};

use drumusher_adapter_stand_in::{
    Fault,
    server::{body, events},
};
use drumusher_bench::fleet::wait_for;

use crate::support::{Deployment, Request, read_response};

/// Requests in flight are completed, and the process exits with success.
#[test]
fn requests_in_flight_complete_on_a_planned_stop() {
    let mut deployment = Deployment::new(1);
    for id in ["d1", "d2"] {
        deployment.server(id).set(Fault::Slow);
    }
    let booking = Request::post("/book/", "x");
    let stream = Request::post("/draft/", "x");
    let mut conns = Vec::new();
    for request in [&booking, &stream] {
        let mut conn = deployment.connect(0).expect("a connection");
        conn.write_all(&request.bytes()).expect("the request is sent");
        wait_for("the request runs", || deployment.runs(&request.id) == 1);
        conns.push(conn);
    }
    deployment.instances[0].signal("TERM");
    wait_for("the instance is not ready", || !deployment.instances[0].ready());
    let response = read_response(&mut conns[0]).expect("a response");
    assert_eq!((response.status, response.text()), (200, body(&booking.id)));
    let response = read_response(&mut conns[1]).expect("a response");
    assert_eq!((response.complete, response.text()), (true, events(&stream.id)));
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
    assert!(deployment.instances[0].ended().expect("the process has ended").success());
}

/// A request that arrives while the instance stops is served with `Connection: close`, and an idle
/// connection is closed.
#[test]
fn stopping_instance_closes_connections() {
    let mut deployment = Deployment::new(1);
    let mut idle = deployment.connect(0).expect("a connection");
    idle.write_all(&Request::get("/read/").bytes()).expect("the request is sent");
    assert_eq!(read_response(&mut idle).expect("a response").status, 200);
    // A request in flight keeps the process running.
    for id in ["m1", "m2"] {
        deployment.server(id).set(Fault::Hang);
    }
    let mut in_flight = deployment.connect(0).expect("a connection");
    let request = Request::post("/draft/", "x");
    in_flight.write_all(&request.bytes()).expect("the request is sent");
    wait_for("the request runs", || deployment.runs(&request.id) == 1);
    deployment.instances[0].signal("TERM");
    wait_for("the instance is not ready", || !deployment.instances[0].ready());
    let response = deployment.send(0, &Request::get("/read/")).expect("a response");
    assert_eq!(response.status, 200);
    assert_eq!(response.header("connection"), Some("close"));
    let mut byte = [0];
    assert_eq!(idle.read(&mut byte).expect("an orderly close"), 0);
    let response = read_response(&mut in_flight).expect("a response at the timeout of the route");
    assert_eq!(response.status, 504);
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
}

/// A request that is not finished in time, here by a second signal, is cut: the process ends and logs it.
#[test]
fn unfinished_requests_are_cut_and_logged() {
    let mut deployment = Deployment::new(1);
    for id in ["m1", "m2"] {
        deployment.server(id).set(Fault::Hang);
    }
    let request = Request::post("/draft/", "x");
    let mut in_flight = deployment.connect(0).expect("a connection");
    in_flight.write_all(&request.bytes()).expect("the request is sent");
    wait_for("the request runs", || deployment.runs(&request.id) == 1);
    deployment.instances[0].signal("TERM");
    wait_for("the instance is not ready", || !deployment.instances[0].ready());
    deployment.instances[0].signal("TERM");
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
    assert!(deployment.instances[0].log().contains("requests cut: 1"));
    assert!(read_response(&mut in_flight).is_err(), "a cut request gets no response");
}

/// On a hangup signal the settings file is read and checked again, and the instance goes on, even if the
/// file is invalid.
#[test]
fn hangup_signal_reloads_settings_without_interruption() {
    let mut deployment = Deployment::new(1);
    deployment.instances[0].signal("HUP");
    wait_for("the reload is logged", || {
        deployment.instances[0].log().contains("settings read again")
    });
    std::fs::write(deployment.settings(0), "[instance]\nname = 5\n").expect("written");
    deployment.instances[0].signal("HUP");
    wait_for("the invalid setting is logged", || {
        deployment.instances[0].log().contains("instance.name: takes a text")
    });
    let request = Request::get("/read/");
    assert_eq!(deployment.send(0, &request).expect("a response").status, 200);
    assert!(deployment.instances[0].ended().is_none());
}
