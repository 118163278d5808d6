//! Invalid input gets an error response or a closed connection; it causes no panic and affects no other request.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
};

use drumusher_bench::client;
use rstest::rstest;

use crate::support::{MODEL, assert_whole, fleet, send, stream};

/// Status and error code of a response.
fn code(status: u16, body: &str) -> (u16, String) {
    let parsed: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    (status, parsed["error"]["code"].as_str().unwrap_or("").to_string())
}

#[test]
fn each_invalid_request_has_its_error_response() {
    let fleet = fleet(&["suva"], 1, 1, "[limits]\nbody_bytes = 2048\n");
    let http = &fleet.instances[0].http;
    let large = format!("{{\"model\": \"{MODEL}\", \"prompt\": \"{}\"}}", "x".repeat(4_000));
    let two = format!(r#"{{"model": "{MODEL}", "prompt": "x", "n": 2}}"#);
    let cases = [
        ("/v1/completions", "urgent", "{", 400, "bad_request"),
        ("/v1/completions", "urgent", "[]", 400, "bad_request"),
        ("/v1/completions", "urgent", "{}", 400, "bad_request"),
        ("/v1/completions", "urgent", two.as_str(), 400, "bad_request"),
        ("/v1/completions", "urgent", r#"{"model": "x", "prompt": "x"}"#, 404, "unknown_model"),
        ("/v1/completions", "no-such", r#"{"model": "x", "prompt": "x"}"#, 400, "unknown_class"),
        ("/v1/completions", "urgent", large.as_str(), 413, "too_large"),
        ("/services/no-such/x", "urgent", "", 404, "unknown_service"),
        ("/no/such/path", "urgent", "", 404, "unknown_path"),
    ];
    for (path, class, body, status, expected) in cases {
        let response = send(http, path, class, &[], body).expect("a response");
        assert_eq!(code(response.status, &response.body), (status, expected.to_string()), "{body}");
        assert_eq!(response.json()["error"]["ran"], "no");
    }
    let long = "k".repeat(300);
    let key = [("idempotency-key", long.as_str())];
    let response = send(http, "/services/desk/x", "booking", &key, "").expect("a response");
    assert_eq!(response.status, 400);
    for headers in [vec![], vec![("authorization", "Bearer wrong")]] {
        let response = client::post(http, "/v1/completions", &headers, "{}").expect("a response");
        assert_eq!(code(response.status, &response.body), (401, "unauthorized".into()));
        let response = client::post(http, "/operator/query", &headers, "show config");
        assert_eq!(response.expect("a response").status, 401);
    }
    let response = fleet.ask(0, "show everything").expect("a response");
    assert_eq!(response.status, 400);
    assert!(response.body.contains("expected running, waiting"), "{}", response.body);
}

/// The port for peers closes connections that send invalid bytes, or nothing, in place of a handshake.
#[rstest]
#[case::garbage(b"GET / HTTP/1.1\r\n\r\n")]
#[case::excessive_length(b"\xff\xff\xff\xff")]
#[case::not_thrift(b"\x00\x00\x00\x04\xde\xad\xbe\xef")]
#[case::nothing(b"")]
fn the_peer_port_closes_invalid_connections(#[case] sent: &[u8]) {
    let fleet = fleet(&["suva"], 2, 1, "");
    let mut connection = TcpStream::connect(&fleet.instances[0].peer).expect("a connection");
    connection.write_all(sent).expect("the bytes are sent");
    let mut rest = Vec::new();
    // Returns when the instance closes.
    let _ = connection.read_to_end(&mut rest);
    assert!(rest.is_empty(), "{rest:?}");
    let response = stream(&fleet.instances[0].http, "urgent", "after", 3).expect("a response");
    assert_whole(&response, "after", 3);
}

/// Callers that send only part of a request get 4xx or a closed connection, and one that shuts down its sending side
/// gets a complete response or none; others are served meanwhile.
#[test]
fn slow_and_half_closed_callers_delay_no_one() {
    let settings = "[limits]\nbody_ms = 300\nheader_seconds = 1\n";
    let fleet = fleet(&["suva"], 1, 1, settings);
    let http = &fleet.instances[0].http;
    let mut headers_only = TcpStream::connect(http).expect("a connection");
    headers_only.write_all(b"POST /v1/completions HTTP/1.1\r\nhost: t\r\n").expect("sent");
    let mut half_body = TcpStream::connect(http).expect("a connection");
    let head = "POST /v1/completions HTTP/1.1\r\nhost: t\r\ncontent-length: 100\r\n\r\n{";
    half_body.write_all(head.as_bytes()).expect("sent");
    assert_whole(&stream(http, "urgent", "other", 3).expect("a response"), "other", 3);
    for connection in [&mut headers_only, &mut half_body] {
        let mut response = String::new();
        let _ = connection.read_to_string(&mut response);
        let refused = response.is_empty() || response.starts_with("HTTP/1.1 4");
        assert!(refused, "{response}");
    }
    let mut half_closed = crate::support::raw_stream(http, "half", 3);
    half_closed.shutdown(Shutdown::Write).expect("half closed");
    let mut response = String::new();
    let _ = half_closed.read_to_string(&mut response);
    let whole = response.starts_with("HTTP/1.1 200") && response.contains("[DONE]");
    assert!(whole || response.is_empty(), "a partial response: {response}");
    assert_whole(&stream(http, "urgent", "after", 3).expect("a response"), "after", 3);
}

/// Maximum number of bytes that a request may cost: a few limits of the instance, and what the buffers of both sides hold.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Guards against a caller that makes an instance run out of memory by a chunk-size line without end.
#[rstest]
#[case::completion("/v1/completions")]
#[case::service("/services/desk/x")]
#[case::statement("/operator/query")]
#[case::unknown_path("/no/such/path")]
fn endless_chunk_extension_is_given_up(#[case] path: &str) {
    let fleet = fleet(&["suva"], 1, 1, "");
    let http = &fleet.instances[0].http;
    let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4;");
    let sent = client::send_without_end(http, &head, "e").expect("a connection");
    assert!(sent <= MAX_BYTES, "{sent} bytes");
    let body = format!("{{\"model\": \"{MODEL}\", \"prompt\": \"x\"}}");
    let response = send(http, "/v1/completions", "urgent", &[], &body);
    assert_eq!(response.expect("a response").status, 200);
}
