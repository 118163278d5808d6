//! A planned stop cuts nothing.

use std::io::{Read, Write};

use drumusher_adapter_stand_in::{
    Fault,
    server::{body, events},
};
use drumusher_bench::fleet::wait_for;

use crate::support::{Call, Deployment, read};

/// What is in flight is finished, and the process ends by itself with success.
#[test]
fn requests_in_flight_are_finished() {
    let mut deployment = Deployment::new(1);
    for id in ["d1", "d2"] {
        deployment.server(id).set(Fault::Slow);
    }
    let booking = Call::post("/book/", "x");
    let stream = Call::post("/draft/", "x");
    let mut conns = Vec::new();
    for call in [&booking, &stream] {
        let mut conn = deployment.connect(0).expect("a connection");
        conn.write_all(&call.bytes()).expect("sent");
        wait_for("it runs", || deployment.runs(&call.id) == 1);
        conns.push(conn);
    }
    deployment.instances[0].signal("TERM");
    wait_for("it is not ready", || !deployment.instances[0].ready());
    let answer = read(&mut conns[0]).expect("an answer");
    assert_eq!((answer.status, answer.text()), (200, body(&booking.id)));
    let answer = read(&mut conns[1]).expect("an answer");
    assert_eq!((answer.whole, answer.text()), (true, events(&stream.id)));
    wait_for("it ended", || deployment.instances[0].ended().is_some());
    assert!(deployment.instances[0].ended().expect("it ended").success());
}

/// A request that comes while the instance stops is served and asked to use another connection;
/// a connection that rests is closed.
#[test]
fn callers_are_sent_elsewhere() {
    let mut deployment = Deployment::new(1);
    let mut resting = deployment.connect(0).expect("a connection");
    resting.write_all(&Call::get("/read/").bytes()).expect("sent");
    assert_eq!(read(&mut resting).expect("an answer").status, 200);
    // Something in flight keeps the process there.
    for id in ["m1", "m2"] {
        deployment.server(id).set(Fault::Hang);
    }
    let mut held = deployment.connect(0).expect("a connection");
    let call = Call::post("/draft/", "x");
    held.write_all(&call.bytes()).expect("sent");
    wait_for("it runs", || deployment.runs(&call.id) == 1);
    deployment.instances[0].signal("TERM");
    wait_for("it is not ready", || !deployment.instances[0].ready());
    let answer = deployment.call(0, &Call::get("/read/")).expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    let mut byte = [0];
    assert_eq!(resting.read(&mut byte).expect("an orderly close"), 0);
    let answer = read(&mut held).expect("an answer at the route's time");
    assert_eq!(answer.status, 504);
    wait_for("it ended", || deployment.instances[0].ended().is_some());
}

/// A request that is not finished in time is cut: the process ends by itself and says so.
#[test]
fn what_cannot_be_finished_is_cut_and_told() {
    let mut deployment = Deployment::new(1);
    for id in ["m1", "m2"] {
        deployment.server(id).set(Fault::Hang);
    }
    let call = Call::post("/draft/", "x");
    let mut held = deployment.connect(0).expect("a connection");
    held.write_all(&call.bytes()).expect("sent");
    wait_for("it runs", || deployment.runs(&call.id) == 1);
    deployment.instances[0].signal("TERM");
    wait_for("it is not ready", || !deployment.instances[0].ready());
    deployment.instances[0].signal("TERM");
    wait_for("it ended", || deployment.instances[0].ended().is_some());
    assert!(deployment.instances[0].lines().contains("requests cut: 1"));
    assert!(read(&mut held).is_err(), "no answer that was made up");
}

/// A hang-up says that the settings file changed: it is read and checked, and nothing ends.
#[test]
fn a_hangup_ends_nothing() {
    let mut deployment = Deployment::new(1);
    deployment.instances[0].signal("HUP");
    wait_for("it is told", || deployment.instances[0].lines().contains("settings read again"));
    std::fs::write(deployment.settings(0), "[instance]\nname = 5\n").expect("written");
    deployment.instances[0].signal("HUP");
    wait_for("the fault is told", || {
        deployment.instances[0].lines().contains("instance.name: takes a text")
    });
    let call = Call::get("/read/");
    assert_eq!(deployment.call(0, &call).expect("an answer").status, 200);
    assert!(deployment.instances[0].ended().is_none());
}
