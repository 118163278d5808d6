//! Requests that have no end.

use drumusher_bench::client::send_without_end;
use rstest::rstest;

use crate::support::{Deployment, KEY, Request};

/// Maximum number of bytes that a request may cost: a few limits of the instance, and what the buffers of both sides hold.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// The servers of an instance for others than instances.
#[derive(Clone, Copy, Debug)]
enum Target {
    Callers,
    Status,
}

/// Guards against a caller that makes an instance run out of memory, and with it lose the requests of all others.
#[rstest]
#[case::request_line("", "GET /book/", "x")]
#[case::field("POST /book/ HTTP/1.1\r\n", "X-Field: ", "y")]
#[case::fields("POST /book/ HTTP/1.1\r\n", "", "X-Field: goes on\r\n")]
#[case::chunk_size("POST /book/ HTTP/1.1\r\n", "Transfer-Encoding: chunked\r\n\r\n", "0")]
#[case::chunk_extension("POST /book/ HTTP/1.1\r\n", "Transfer-Encoding: chunked\r\n\r\n4;", "e")]
#[case::chunk_extension_of_an_unknown_path(
    "POST /nothing/ HTTP/1.1\r\n",
    "Transfer-Encoding: chunked\r\n\r\n4;",
    "e"
)]
#[case::chunk_extension_of_a_statement(
    "POST /operator/query HTTP/1.1\r\n",
    "Transfer-Encoding: chunked\r\n\r\n4;",
    "e"
)]
#[case::chunks(
    "POST /book/ HTTP/1.1\r\n",
    "Transfer-Encoding: chunked\r\n\r\n",
    "20\r\nzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz\r\n"
)]
#[case::trailers(
    "POST /book/ HTTP/1.1\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0\r\n",
    "X-Field: on\r\n"
)]
fn endless_requests_are_given_up(
    #[case] line: &str,
    #[case] rest: &str,
    #[case] block: &str,
    #[values(Target::Callers, Target::Status)] target: Target,
) {
    let deployment = Deployment::new(1);
    let instance = &deployment.instances[0];
    let address = match target {
        Target::Callers => instance.http_address,
        Target::Status => instance.status_address,
    };
    let fields = format!("Host: host.example\r\nApi-Key: {KEY}\r\nDrumusher-Attempt-Id: e1\r\n");
    let head = if line.is_empty() { rest.into() } else { format!("{line}{fields}{rest}") };
    let sent = send_without_end(address, &head, block).expect("a connection");
    assert!(sent <= MAX_BYTES, "{sent} bytes");
    let response = deployment.send(0, &Request::post("/book/", "x")).expect("a response");
    assert_eq!(response.status, 200);
}
