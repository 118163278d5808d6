//! Planned stops: requests in flight are completed as far as time allows.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use drumusher_adapter_stand_in::{
    Fault,
    server::{Notice, body, event, events},
};
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::support::{Deployment, Request, read_response};

/// Number of streams that end late in a stop, and the pause between two of them.
const LATE_STREAMS: usize = 32;
const LATE_SPREAD: Duration = Duration::from_millis(13);
/// Number of their events, and the time between two.
const LATE_EVENTS: u64 = 320;
const LATE_INTERVAL: Duration = Duration::from_millis(12);
/// Time in which a request that was sent has been read.
const SETTLE: Duration = Duration::from_millis(300);

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

/// Two instances whose backend servers accept so few requests per second that further ones wait.
fn limited_deployment(path: &str, limit: &str) -> Deployment {
    let deployment = Deployment::with_long_timeouts(2);
    deployment.servers.iter().for_each(|server| server.announce(Notice::limit(limit)));
    wait_for("a request waits until its deadline", || {
        let request = Request::post(path, "x").with("Drumusher-Deadline-Ms", "300");
        deployment.send(0, &request).expect("a response").status == 503
    });
    deployment
}

/// Sends a request on a new connection.
fn begin(deployment: &Deployment, instance: usize, request: &Request) -> TcpStream {
    let mut conn = deployment.connect(instance).expect("a connection");
    conn.write_all(&request.bytes()).expect("the request is sent");
    conn
}

/// A request that waits for a backend server when its instance stops is refused before the process ends: it did not run,
/// and its caller hears when to come back.
#[rstest]
#[case::stream("/draft/")]
#[case::resumable_stream("/talk/")]
#[case::booking("/book/")]
#[case::repeatable("/read/")]
fn waiting_requests_are_refused_before_a_stop_ends(#[case] path: &str) {
    let mut deployment = limited_deployment(path, "0.001");
    let waiting: Vec<Request> = (0..6).map(|_| Request::post(path, "x")).collect();
    let conns: Vec<TcpStream> = waiting.iter().map(|r| begin(&deployment, 0, r)).collect();
    thread::sleep(SETTLE);
    deployment.instances[0].signal("TERM");
    for (request, mut conn) in waiting.iter().zip(conns) {
        let response = read_response(&mut conn).expect("a response");
        assert_eq!((response.status, response.complete), (503, true), "{}", response.text());
        assert!(response.text().contains(r#""ran":"no""#), "{}", response.text());
        assert!(response.header("retry-after").is_some());
        assert_eq!(deployment.runs(&request.id), 0);
    }
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
    assert!(deployment.instances[0].ended().expect("the process has ended").success());
}

/// A request whose body does not arrive is refused before the process ends, as it did not run. Guards against bodies that
/// are awaited until the process is gone.
#[test]
fn unfinished_uploads_are_refused_before_a_stop_ends() {
    let mut deployment = Deployment::with_long_timeouts(1);
    let request = Request::post("/book/", "unfinished");
    let mut bytes = request.bytes();
    let rest = bytes.split_off(bytes.len() - 1);
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&bytes).expect("most of the request is sent");
    thread::sleep(SETTLE);
    deployment.instances[0].signal("TERM");
    let response = read_response(&mut conn).expect("a response");
    assert_eq!((response.status, response.complete), (503, true), "{}", response.text());
    assert!(response.text().contains(r#""ran":"no""#), "{}", response.text());
    let _ = conn.write_all(&rest);
    assert_eq!(deployment.runs(&request.id), 0);
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
}

/// A request that waits when its instance stops is served if a backend server accepts it in time.
#[test]
fn waiting_requests_are_served_during_a_stop() {
    let deployment = limited_deployment("/draft/", "0.5");
    let request = Request::post("/draft/", "x");
    let mut conn = begin(&deployment, 0, &request);
    thread::sleep(SETTLE);
    deployment.instances[0].signal("TERM");
    let response = read_response(&mut conn).expect("a response");
    assert_eq!((response.status, response.complete), (200, true), "{}", response.text());
    assert_eq!(response.text(), events(&request.id));
}

/// Streams that end after idle connections are closed arrive with their ends.
#[test]
fn streams_that_end_late_in_a_stop_are_whole() {
    let deployment = Deployment::with_long_timeouts(1);
    for id in ["m1", "m2"] {
        deployment.server(id).set_pace(LATE_EVENTS, LATE_INTERVAL);
    }
    let requests: Vec<Request> = (0..LATE_STREAMS).map(|_| Request::post("/draft/", "x")).collect();
    let send = |request: &Request| {
        thread::sleep(LATE_SPREAD);
        begin(&deployment, 0, request)
    };
    let conns: Vec<TcpStream> = requests.iter().map(send).collect();
    wait_for("all run", || requests.iter().all(|request| deployment.runs(&request.id) == 1));
    deployment.instances[0].signal("TERM");
    for (request, mut conn) in requests.iter().zip(conns) {
        let response = read_response(&mut conn).expect("a response");
        let whole: String = (1..=LATE_EVENTS).map(|number| event(&request.id, number)).collect();
        assert!(response.text() == whole, "{}", response.text());
        assert_eq!((response.status, response.complete), (200, true));
    }
}

/// A request that is not finished in time, here because of SIGINT, is cut: the process ends and logs it.
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
    deployment.instances[0].signal("INT");
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
    let log = deployment.instances[0].log();
    assert!(log.contains("requests cut: 1"));
    let names = |line: &str| line.contains(&request.id) && line.contains("cut by the stop");
    assert!(log.lines().any(names), "the request that is cut is named");
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
