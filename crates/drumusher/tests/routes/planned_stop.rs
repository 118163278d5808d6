//! A planned stop cuts nothing.

use std::io::{Read, Write};

use drumusher_adapter_stand_in::{
    Fault,
    server::{body, events},
};
use drumusher_bench::fleet::wait_for;

use crate::support::{Deployment, Request, read_response};

/// What is in flight is finished, and the process ends by itself with success.
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
        conn.write_all(&request.bytes()).expect("sent");
        wait_for("it runs", || deployment.runs(&request.id) == 1);
        conns.push(conn);
    }
    deployment.instances[0].signal("TERM");
    wait_for("it is not ready", || !deployment.instances[0].ready());
    let response = read_response(&mut conns[0]).expect("an answer");
    assert_eq!((response.status, response.text()), (200, body(&booking.id)));
    let response = read_response(&mut conns[1]).expect("an answer");
    assert_eq!((response.complete, response.text()), (true, events(&stream.id)));
    wait_for("it ended", || deployment.instances[0].ended().is_some());
    assert!(deployment.instances[0].ended().expect("it ended").success());
}

/// A request that comes while the instance stops is served and asked to use another connection;
/// a connection that rests is closed.
#[test]
fn stopping_instance_closes_connections() {
    let mut deployment = Deployment::new(1);
    let mut resting = deployment.connect(0).expect("a connection");
    resting.write_all(&Request::get("/read/").bytes()).expect("sent");
    assert_eq!(read_response(&mut resting).expect("an answer").status, 200);
    // Something in flight keeps the process there.
    for id in ["m1", "m2"] {
        deployment.server(id).set(Fault::Hang);
    }
    let mut held = deployment.connect(0).expect("a connection");
    let request = Request::post("/draft/", "x");
    held.write_all(&request.bytes()).expect("sent");
    wait_for("it runs", || deployment.runs(&request.id) == 1);
    deployment.instances[0].signal("TERM");
    wait_for("it is not ready", || !deployment.instances[0].ready());
    let response = deployment.send(0, &Request::get("/read/")).expect("an answer");
    assert_eq!(response.status, 200);
    assert_eq!(response.header("connection"), Some("close"));
    let mut byte = [0];
    assert_eq!(resting.read(&mut byte).expect("an orderly close"), 0);
    let response = read_response(&mut held).expect("an answer at the route's time");
    assert_eq!(response.status, 504);
    wait_for("it ended", || deployment.instances[0].ended().is_some());
}

/// A request that is not finished in time is cut: the process ends by itself and says so.
#[test]
fn unfinished_requests_are_cut_and_logged() {
    let mut deployment = Deployment::new(1);
    for id in ["m1", "m2"] {
        deployment.server(id).set(Fault::Hang);
    }
    let request = Request::post("/draft/", "x");
    let mut held = deployment.connect(0).expect("a connection");
    held.write_all(&request.bytes()).expect("sent");
    wait_for("it runs", || deployment.runs(&request.id) == 1);
    deployment.instances[0].signal("TERM");
    wait_for("it is not ready", || !deployment.instances[0].ready());
    deployment.instances[0].signal("TERM");
    wait_for("it ended", || deployment.instances[0].ended().is_some());
    assert!(deployment.instances[0].log().contains("requests cut: 1"));
    assert!(read_response(&mut held).is_err(), "no answer that was made up");
}

/// A hang-up says that the settings file changed: it is read and checked, and nothing ends.
#[test]
fn hangup_signal_reloads_settings_without_interruption() {
    let mut deployment = Deployment::new(1);
    deployment.instances[0].signal("HUP");
    wait_for("it is told", || deployment.instances[0].log().contains("settings read again"));
    std::fs::write(deployment.settings(0), "[instance]\nname = 5\n").expect("written");
    deployment.instances[0].signal("HUP");
    wait_for("the fault is told", || {
        deployment.instances[0].log().contains("instance.name: takes a text")
    });
    let request = Request::get("/read/");
    assert_eq!(deployment.send(0, &request).expect("an answer").status, 200);
    assert!(deployment.instances[0].ended().is_none());
}
