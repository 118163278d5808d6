//! Forwarding of requests: unchanged to a backend server, or rejected with a status that says why.

use drumusher_adapter_stand_in::server::{body, events};
use rstest::rstest;

use crate::support::{Deployment, KEY, Request};

/// Plain and streaming requests are served. Backend servers get what the caller sent and the headers that
/// the instance adds, but neither the API key nor hop-by-hop headers nor a caller's values of headers that
/// only instances set.
#[test]
fn requests_are_forwarded_unchanged() {
    let deployment = Deployment::new(1);
    let request = Request::post("/book/a/b?c=d", "a booking")
        .with("X-Own", "kept")
        .with("Connection", "X-Hop")
        .with("X-Hop", "one connection only")
        .with("Drumusher-Tenant", "forged")
        .with("Drumusher-Retention", "forged");
    let response = deployment.send(0, &request).expect("a response");
    assert_eq!((response.status, response.text()), (200, body(&request.id)));
    assert_eq!(response.header("drumusher-response-seal"), Some(&*format!("seal-{}", request.id)));
    assert_eq!(response.header("x-own"), Some("kept"));
    let runs = deployment.servers.iter().flat_map(|server| server.runs());
    let run = runs.into_iter().find(|run| run.id == request.id).expect("it ran");
    let received = run.request;
    assert_eq!((received.method.as_str(), received.target.as_str()), ("POST", "/book/a/b?c=d"));
    assert_eq!(received.body, b"a booking");
    assert_eq!(received.header("x-own"), Some("kept"));
    assert_eq!(received.header("drumusher-tenant"), Some("vanua"));
    assert_eq!(received.header("host"), Some("host.example"));
    for absent in ["api-key", "x-hop", "drumusher-retention", "connection"] {
        assert_eq!(received.header(absent), None, "{absent}");
    }
    let deadline: u64 = received
        .header("drumusher-deadline-ms")
        .expect("a deadline")
        .parse()
        .expect("milliseconds");
    assert!(deadline <= 3_000, "not more than the route allows: {deadline}");

    let request = Request::post("/draft/x/", "a prompt");
    let response = deployment.send(0, &request).expect("a response");
    assert_eq!((response.status, response.text()), (200, events(&request.id)));
    assert!(response.complete);
}

/// A chunked request body reaches the backend server completely.
#[test]
fn chunked_body_is_forwarded() {
    use std::io::Write;
    let deployment = Deployment::new(1);
    let request = Request::post("/book/", "").with("Transfer-Encoding", "chunked");
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&request.bytes()).expect("the request is sent");
    conn.write_all(b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n").expect("the request is sent");
    let response = crate::support::read_response(&mut conn).expect("a response");
    assert_eq!(response.status, 200);
    let runs = deployment.servers.iter().flat_map(|server| server.runs());
    let run = runs.into_iter().find(|run| run.id == request.id).expect("it ran");
    assert_eq!(run.request.body, b"abcdefg");
}

/// An invalid request is answered with the status that says why and reaches no backend server.
#[rstest]
#[case::no_route(Request::get("/nowhere/"), 404)]
#[case::other_host(Request { path: "/reader/".into(), ..Request::get("/read/") }, 404)]
#[case::no_key(Request::get("/read/").without("Api-Key"), 401)]
#[case::wrong_key(Request::get("/read/").without("Api-Key").with("Api-Key", "wrong"), 401)]
#[case::long_body(Request::post("/book/", &"x".repeat(5_001)), 413)]
#[case::long_head(Request::get("/read/").with("X-Long", &"x".repeat(2_100)), 431)]
#[case::no_identity(Request { id: String::new(), ..Request::get("/read/") }, 400)]
#[case::wrong_number(Request::get("/read/").with("Drumusher-Deadline-Ms", "soon"), 400)]
fn invalid_requests_are_rejected(#[case] request: Request, #[case] status: u16) {
    let deployment = Deployment::new(1);
    let response = deployment.send(0, &request).expect("a response");
    assert_eq!(response.status, status, "{}", response.text());
    assert!(response.complete);
    assert_eq!(deployment.runs(&request.id), 0);
}

/// A public route serves requests without an API key and with a known one.
#[test]
fn public_route_needs_no_key() {
    let deployment = Deployment::new(1);
    let request = Request::get("/open/").without("Api-Key");
    assert_eq!(deployment.send(0, &request).expect("a response").status, 200);
    let request = request.with("Api-Key", KEY);
    assert_eq!(deployment.send(0, &request).expect("a response").status, 200);
}

/// Without a configuration an instance is not ready and refuses requests with Retry-After.
#[test]
fn unconfigured_instance_refuses_with_retry_after() {
    let deployment = Deployment::unconfigured(1);
    drumusher_bench::fleet::wait_for("the instance listens", || deployment.connect(0).is_ok());
    let response = deployment.send(0, &Request::get("/read/")).expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(!deployment.instances[0].ready());
}

/// Every log line is a JSON object with a level and a message, and the line of a request has its ID.
#[test]
fn log_lines_are_json_and_include_requests() {
    let deployment = Deployment::new(1);
    let request = Request::get("/read/");
    assert_eq!(deployment.send(0, &request).expect("a response").status, 200);
    let logged = || deployment.instances[0].log().contains(&request.id);
    drumusher_bench::fleet::wait_for("the request is logged", logged);
    for line in deployment.instances[0].log().lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("a JSON object");
        assert!(line["level"].is_string() && line["message"].is_string(), "{line}");
    }
    let metrics = deployment.instances[0].metrics();
    assert!(metrics.contains("drumusher_requests"), "{metrics}");
}
