//! Backend servers whose process is killed, so that the kernel closes their connections in order.

use std::{
    io::{Read, Write},
    thread,
    time::Duration,
};

use drumusher_adapter_stand_in::{Crash, Ending, Fault, Server, server::event};

use crate::support::{DESK, Deployment, MODEL, Request, configuration, read_response};

/// Number of events of a stream, and the time between two.
const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// A stream that ends with its connection does not end as complete where its server was killed between two events.
#[test]
fn stream_without_a_length_is_not_complete_when_its_server_is_killed_between_events() {
    let mut deployment = Deployment::empty(false);
    for id in ["m1", "m2"] {
        deployment.add_server(id, MODEL);
        deployment.server(id).set(Fault::UnframedStream);
        deployment.server(id).set_pace(EVENTS, EVENT_INTERVAL);
    }
    deployment.add_server("d1", DESK);
    deployment.add_instance("i0");
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    deployment.wait_serving();
    let request = Request::post("/talk/", "x");
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&request.bytes()).expect("the request is sent");
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains("id: 3\n") {
        let mut buffer = [0; 1_024];
        let length = conn.read(&mut buffer).expect("an event");
        assert_ne!(length, 0, "the stream goes on");
        received.extend_from_slice(&buffer[..length]);
    }
    let runs_it = |server: &Server| server.runs().iter().any(|run| run.id == request.id);
    let server = deployment.servers.iter().find(|server| runs_it(server)).expect("a server");
    let crash = Crash {
        path: "/".into(),
        part: None,
        events: 0,
        after: Duration::ZERO,
        ending: Ending::Closed,
        down: Duration::from_secs(60),
        renamed: false,
        service: MODEL.into(),
        store: deployment.store.clone(),
    };
    let server = server.clone();
    thread::spawn(move || server.crash(&crash));
    let response = read_response(&mut received.as_slice().chain(conn)).expect("a response");
    let whole: String = (1..=EVENTS).map(|number| event(&request.id, number)).collect();
    assert_eq!((response.status, response.text(), response.complete), (200, whole, true));
}
