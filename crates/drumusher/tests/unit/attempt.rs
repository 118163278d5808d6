//! Sending of attempts to backend servers over HTTP.

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpListener,
    thread::{self, JoinHandle},
};

use drumusher::{
    request::attempt::{self, AttemptRequest, Client},
    settings::Backend as Settings,
    version::Backend,
};
use ntex::{http::Method, util::Bytes};

const BODY: &[u8] = b"a booking";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Starts a server that reads one request from each of `responses.len()` connections and closes it after sending the
/// response. Connections that end without a request do not count: a probe may come late, also one for a server whose port
/// this one got. Returns its address, and the thread that returns the bodies.
fn serve(responses: Vec<&'static [u8]>) -> (String, JoinHandle<Vec<Vec<u8>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let server = thread::spawn(move || {
        let answer = |response: &[u8]| {
            loop {
                let (connection, _) = listener.accept().expect("a connection");
                let mut reader = BufReader::new(connection);
                if let Some(body) = read_body(&mut reader) {
                    reader.get_mut().write_all(response).expect("the response is sent");
                    return body;
                }
            }
        };
        responses.into_iter().map(answer).collect()
    });
    (address, server)
}

/// Reads a request and returns its body; `None` if the connection ended before it.
fn read_body(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).expect("a line of the head") == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body");
    Some(body)
}

fn backend(address: &str) -> Backend {
    Backend {
        name: "e1".into(),
        area: "z".into(),
        address: address.into(),
        leaving: false,
        started_ms: None,
        availability_zone: "z".into(),
        version: "v1".into(),
        spot: false,
        warm_at: 0,
        evacuated: false,
        slots: 1,
    }
}

/// Sends a request. Returns the status of the response.
async fn send(address: &str, repeatable: bool) -> Result<u16, attempt::Error> {
    let settings = Settings {
        connect_ms: 10_000,
        first_byte_ms: 10_000,
        stall_ms: 10_000,
        attempts: 4,
        retry_share: 0.2,
    };
    let client = Client::new(&settings);
    let request = AttemptRequest {
        server: &backend(address),
        method: Method::POST,
        path: "/bookings",
        id: 1,
        traceparent: String::new(),
        headers: &[],
        body: Bytes::from_static(BODY),
        repeatable,
    };
    attempt::send(&client, request).await.map(|response| response.status())
}

/// Guards against a connection that ends after it took a request and counts as one that was never established, so that
/// a request that may not be repeated is sent again although it may have run.
#[ntex::test]
async fn a_request_that_was_received_counts_as_sent() {
    let (address, server) = serve(vec![b""]);
    let error = send(&address, false).await.expect_err("no response");
    assert_eq!(server.join().expect("the server ends"), [BODY]);
    assert!(!error.not_run(), "{error:?} although the server received the request");
}

/// Guards against an attempt that sends its request more than once, beyond every bound on retries.
#[ntex::test]
async fn a_repeatable_request_is_sent_once_by_an_attempt() {
    // The second response is for a second sending.
    let (address, _server) = serve(vec![b"", RESPONSE]);
    assert_eq!(send(&address, true).await, Err(attempt::Error::Closed));
}

/// Guards against a response that is lost when a connection that is not reused closes after it.
#[ntex::test]
async fn a_request_that_may_not_be_repeated_gets_its_response() {
    let (address, server) = serve(vec![RESPONSE]);
    assert_eq!(send(&address, false).await, Ok(200));
    assert_eq!(server.join().expect("the server ends"), [BODY]);
}
