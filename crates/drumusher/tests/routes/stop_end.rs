//! The end of a planned stop: it comes in time, and nothing that has arrived is lost in it.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Fault, server::body};
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::support::{Deployment, Request, read_response};

/// Time for which an instance accepts requests after a stop began, by the settings of the tests.
const ACCEPT_TIME: Duration = Duration::from_millis(300);
/// Time for which an instance that stops admits requests.
const ADMIT_TIME: Duration = Duration::from_secs(3);
/// Events of a stream that is too long to begin late in a stop, and the time between two.
const LONG_EVENTS: u64 = 250;
const LONG_INTERVAL: Duration = Duration::from_millis(20);

/// Sends a request on a new connection.
fn begin(deployment: &Deployment, request: &Request) -> TcpStream {
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&request.bytes()).expect("the request is sent");
    conn
}

/// Number of rounds of a test whose fault depends on the order of threads.
const ROUNDS: usize = 5;
/// Number of connections that are opened while a process stands still.
const NEW_CONNS: usize = 24;

/// Guards against connections that are accepted, but closed without a response, because nothing is in flight yet.
#[test]
fn requests_that_arrive_as_a_stop_ends_are_answered() {
    for _ in 0..ROUNDS {
        let mut deployment = Deployment::new(1);
        deployment.instances[0].signal("TERM");
        deployment.instances[0].signal("STOP");
        thread::sleep(ACCEPT_TIME);
        let requests: Vec<Request> = (0..NEW_CONNS).map(|_| Request::post("/book/", "x")).collect();
        let conns: Vec<TcpStream> = requests.iter().map(|r| begin(&deployment, r)).collect();
        thread::sleep(ACCEPT_TIME);
        deployment.instances[0].signal("CONT");
        for (request, mut conn) in requests.iter().zip(conns) {
            let response = read_response(&mut conn);
            let runs = deployment.runs(&request.id);
            let response = response.unwrap_or_else(|error| panic!("{error}, runs: {runs}"));
            assert!(matches!(response.status, 200 | 503), "{}", response.text());
            assert_eq!(runs, usize::from(response.status == 200), "{}", response.text());
        }
        wait_for("the process ends", || deployment.instances[0].ended().is_some());
    }
}

/// Guards against requests that are admitted too late to end in time, because the process noticed the signal late.
#[rstest]
#[case::stream("/draft/")]
#[case::resumable_stream("/talk/")]
fn stop_that_is_noticed_late_admits_no_more_requests(#[case] path: &str) {
    let mut deployment = Deployment::with_long_timeouts(1);
    for id in ["m1", "m2"] {
        deployment.server(id).set_pace(LONG_EVENTS, LONG_INTERVAL);
    }
    let mut conn = begin(&deployment, &Request::get("/read/"));
    read_response(&mut conn).expect("a response");
    let kept = Request::post(path, "x");
    let mut running = begin(&deployment, &kept);
    wait_for("a request runs", || deployment.runs(&kept.id) == 1);
    deployment.instances[0].signal("STOP");
    let since = Instant::now();
    deployment.instances[0].signal("TERM");
    thread::sleep(Duration::from_millis(800));
    deployment.instances[0].signal("CONT");
    let late = Request::post(path, "x");
    thread::sleep(ADMIT_TIME.saturating_sub(since.elapsed()) + Duration::from_millis(20));
    let mut late_conn = begin(&deployment, &late);
    let response = read_response(&mut late_conn);
    let runs = deployment.runs(&late.id);
    let response = response.expect("a response");
    assert!(response.complete, "cut after {} bytes, runs: {runs}", response.text().len());
    assert_eq!((response.status, runs), (503, 0), "{}", response.text());
    let response = read_response(&mut running).expect("a response");
    assert!(response.complete, "the request in flight is completed");
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
}

/// Guards against a second SIGTERM, as a supervisor may send it, that cuts what the first one lets end.
#[test]
fn repeated_term_signal_cuts_no_request() {
    let mut deployment = Deployment::new(1);
    deployment.servers.iter().for_each(|server| server.set(Fault::Slow));
    let request = Request::post("/book/", "x");
    let mut conn = begin(&deployment, &request);
    wait_for("the request runs", || deployment.runs(&request.id) == 1);
    for _ in 0..2 {
        deployment.instances[0].signal("TERM");
        wait_for("the instance is not ready", || !deployment.instances[0].ready());
    }
    let response = read_response(&mut conn).expect("a response");
    assert_eq!((response.status, response.complete), (200, true));
    let mut byte = [0];
    assert_eq!(conn.read(&mut byte).expect("an orderly close"), 0);
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
    assert!(deployment.instances[0].ended().expect("the process has ended").success());
}

/// Guards against a request whose body is complete only late in a stop, which is passed on and cut without a response: its
/// server works on it until the stop ends.
#[rstest]
#[case::booking("/book/")]
#[case::repeatable("/read/")]
#[case::stream("/draft/")]
fn request_that_is_complete_late_in_a_stop_is_refused(#[case] path: &str) {
    let mut deployment = Deployment::with_long_timeouts(1);
    deployment.servers.iter().for_each(|server| server.set(Fault::Hang));
    let request = Request::post(path, "unfinished");
    let mut bytes = request.bytes();
    let rest = bytes.split_off(bytes.len() - 1);
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&bytes).expect("most of the request is sent");
    deployment.instances[0].signal("TERM");
    thread::sleep(ADMIT_TIME + ACCEPT_TIME);
    // It may be refused already.
    let _ = conn.write_all(&rest);
    let response = read_response(&mut conn).expect("a response");
    assert_eq!((response.status, response.complete), (503, true), "{}", response.text());
    assert!(response.header("retry-after").is_some());
    assert_eq!(deployment.runs(&request.id), 0);
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
}

/// A request that is complete late in a stop is served if it ends before the stop does, at its deadline at the latest.
#[test]
fn request_with_a_short_deadline_is_served_late_in_a_stop() {
    let mut deployment = Deployment::with_long_timeouts(1);
    let request = Request::post("/book/", "late").with("Drumusher-Deadline-Ms", "5000");
    let mut bytes = request.bytes();
    let rest = bytes.split_off(bytes.len() - 1);
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&bytes).expect("most of the request is sent");
    deployment.instances[0].signal("TERM");
    thread::sleep(ADMIT_TIME + ACCEPT_TIME);
    conn.write_all(&rest).expect("the rest of the request is sent");
    let response = read_response(&mut conn).expect("a response");
    assert_eq!((response.status, response.text()), (200, body(&request.id)));
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
}
