//! The way of a request: passed on unchanged, or turned away with a clear answer.

use drumusher_adapter_stand_in::server::{body, events};
use rstest::rstest;

use crate::support::{Call, Deployment, KEY};

/// Requests of each kind are served, and backend servers get what the caller sent and what the
/// instance adds, but not the key or headers that are for instances to set.
#[test]
fn requests_of_each_kind_are_passed_on_unchanged() {
    let deployment = Deployment::new(1);
    let call = Call::post("/book/a/b?c=d", "a booking")
        .with("X-Own", "kept")
        .with("Connection", "X-Hop")
        .with("X-Hop", "one connection only")
        .with("Drumusher-Tenant", "forged")
        .with("Drumusher-Retention", "forged");
    let answer = deployment.call(0, &call).expect("an answer");
    assert_eq!((answer.status, answer.text()), (200, body(&call.id)));
    assert_eq!(answer.header("drumusher-response-seal"), Some(&*format!("seal-{}", call.id)));
    assert_eq!(answer.header("x-own"), Some("kept"));
    let runs = deployment.servers.iter().flat_map(|server| server.runs());
    let run = runs.into_iter().find(|run| run.id == call.id).expect("it ran");
    let request = run.request;
    assert_eq!((request.method.as_str(), request.target.as_str()), ("POST", "/book/a/b?c=d"));
    assert_eq!(request.body, b"a booking");
    assert_eq!(request.header("x-own"), Some("kept"));
    assert_eq!(request.header("drumusher-tenant"), Some("vanua"));
    assert_eq!(request.header("host"), Some("host.example"));
    for absent in ["api-key", "x-hop", "drumusher-retention", "connection"] {
        assert_eq!(request.header(absent), None, "{absent}");
    }
    let deadline: u64 = request.header("drumusher-deadline-ms").expect("it").parse().expect("ms");
    assert!(deadline <= 3_000, "not more than the route allows: {deadline}");

    let call = Call::post("/draft/x/", "a prompt");
    let answer = deployment.call(0, &call).expect("an answer");
    assert_eq!((answer.status, answer.text()), (200, events(&call.id)));
    assert!(answer.whole);
}

/// A body in chunks reaches the backend server whole.
#[test]
fn a_body_in_chunks_is_passed_on() {
    use std::io::Write;
    let deployment = Deployment::new(1);
    let call = Call::post("/book/", "").with("Transfer-Encoding", "chunked");
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&call.bytes()).expect("sent");
    conn.write_all(b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n").expect("sent");
    let answer = crate::support::read(&mut conn).expect("an answer");
    assert_eq!(answer.status, 200);
    let runs = deployment.servers.iter().flat_map(|server| server.runs());
    let run = runs.into_iter().find(|run| run.id == call.id).expect("it ran");
    assert_eq!(run.request.body, b"abcdefg");
}

/// What cannot be served is answered with the status that says why, and reaches no backend server.
#[rstest]
#[case::no_route(Call::get("/nowhere/"), 404)]
#[case::other_host(Call { path: "/reader/".into(), ..Call::get("/read/") }, 404)]
#[case::no_key(Call::get("/read/").without("Api-Key"), 401)]
#[case::wrong_key(Call::get("/read/").without("Api-Key").with("Api-Key", "wrong"), 401)]
#[case::long_body(Call::post("/book/", &"x".repeat(5_001)), 413)]
#[case::long_head(Call::get("/read/").with("X-Long", &"x".repeat(2_100)), 431)]
#[case::no_identity(Call { id: String::new(), ..Call::get("/read/") }, 400)]
#[case::wrong_number(Call::get("/read/").with("Drumusher-Deadline-Ms", "soon"), 400)]
fn bad_requests_are_turned_away(#[case] call: Call, #[case] status: u16) {
    let deployment = Deployment::new(1);
    let answer = deployment.call(0, &call).expect("an answer");
    assert_eq!(answer.status, status, "{}", answer.text());
    assert!(answer.whole);
    assert_eq!(deployment.runs(&call.id), 0);
}

/// A public route needs no key; where a known one comes, the workspace is told.
#[test]
fn a_public_route_needs_no_key() {
    let deployment = Deployment::new(1);
    let call = Call::get("/open/").without("Api-Key");
    assert_eq!(deployment.call(0, &call).expect("an answer").status, 200);
    let call = call.with("Api-Key", KEY);
    assert_eq!(deployment.call(0, &call).expect("an answer").status, 200);
}

/// Before a configuration came the instance is not ready, and says when to come back.
#[test]
fn without_a_configuration_nothing_is_refused_for_good() {
    let deployment = Deployment::unconfigured(1);
    drumusher_bench::fleet::wait_for("it listens", || deployment.connect(0).is_ok());
    let answer = deployment.call(0, &Call::get("/read/")).expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(!deployment.instances[0].ready());
}

/// Every log line is a JSON object with a level and a message, and a request's line has its id.
#[test]
fn every_log_line_is_json_and_requests_have_theirs() {
    let deployment = Deployment::new(1);
    let call = Call::get("/read/");
    assert_eq!(deployment.call(0, &call).expect("an answer").status, 200);
    let told = || deployment.instances[0].lines().contains(&call.id);
    drumusher_bench::fleet::wait_for("its line is written", told);
    for line in deployment.instances[0].lines().lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("a JSON object");
        assert!(line["level"].is_string() && line["message"].is_string(), "{line}");
    }
    let metrics = deployment.instances[0].metrics();
    assert!(metrics.contains("drumusher_requests"), "{metrics}");
}
