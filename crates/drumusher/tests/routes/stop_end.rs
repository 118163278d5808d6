//! The end of a planned stop: it comes in time, and nothing that has arrived is lost in it.

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use drumusher_adapter_stand_in::Fault;
use drumusher_bench::fleet::wait_for;

use crate::support::{Deployment, Request, read_response};

/// Sends a request on a new connection.
fn begin(deployment: &Deployment, request: &Request) -> TcpStream {
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&request.bytes()).expect("the request is sent");
    conn
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
