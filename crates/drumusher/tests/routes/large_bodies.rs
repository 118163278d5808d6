//! Memory for bodies: what does not fit is refused or left at its backend server, so that the process stays within its
//! limit.

use std::{
    collections::VecDeque,
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{
    Fault,
    server::{PADDING, body},
};
use drumusher_bench::fleet::wait_for;
use rstest::rstest;
use socket2::{Domain, Socket, Type};

use crate::support::{Deployment, Request, Response, configuration, read_response};

/// The limit of the process, of which half is for bodies, and three quarters of that for large request bodies.
const MEMORY: &str = "[limits]\nmemory_mb = 64\n";
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Number of such bodies that fit.
const FITTING: usize = 6;

fn deploy() -> Deployment {
    deploy_with(MEMORY)
}

fn deploy_with(settings: &str) -> Deployment {
    let mut deployment = Deployment::empty(false);
    for (id, service) in [("d1", "desk"), ("d2", "desk"), ("m1", "model")] {
        deployment.add_server(id, service);
    }
    let store_endpoint = deployment.store.endpoint().expect("the store endpoint starts");
    deployment.add_instance_with("i0", store_endpoint, settings);
    let routes = configuration(1, "").replace("\"TimeoutMs\":3000", "\"TimeoutMs\":15000");
    let limit = format!("\"MaxBodyBytes\":{BODY_BYTES}");
    deployment.store.put("keyed.op", "config", &routes.replace("\"MaxBodyBytes\":5000", &limit));
    deployment.wait_serving();
    deployment
}

/// Bytes at the end of a request that are sent last.
const LAST_BYTES: usize = 16;

/// A large request of which all but the last bytes were sent, unless it was refused before.
struct Upload {
    request: Request,
    conn: TcpStream,
    rest: Vec<u8>,
}

impl Upload {
    fn begin(deployment: &Deployment, chunked: bool) -> Upload {
        let body = "x".repeat(BODY_BYTES);
        let mut request = Request::post("/book/", &body);
        if chunked {
            request.body = String::new();
            request = request.with("Transfer-Encoding", "chunked");
        }
        let mut bytes = request.bytes();
        if chunked {
            bytes.extend_from_slice(format!("{BODY_BYTES:x}\r\n{body}\r\n0\r\n\r\n").as_bytes());
        }
        let rest = bytes.split_off(bytes.len() - LAST_BYTES);
        let mut conn = deployment.connect(0).expect("a connection");
        let _ = conn.write_all(&bytes);
        Upload { request, conn, rest }
    }

    fn finish(mut self) -> Response {
        let _ = self.conn.write_all(&self.rest);
        read_response(&mut self.conn).expect("a response")
    }
}

fn reserved(deployment: &Deployment) -> f64 {
    deployment.instances[0].metric(&["drumusher_bodies_reserved"])
}

/// Requests whose bodies do not fit into memory are refused while they are sent, and the others are served. Small requests
/// still are, too.
#[rstest]
#[case::of_known_length(false)]
#[case::in_chunks(true)]
fn bodies_beyond_the_memory_are_refused(#[case] chunked: bool) {
    let deployment = deploy();
    let first: Vec<Upload> = (0..FITTING).map(|_| Upload::begin(&deployment, chunked)).collect();
    let expected = FITTING * (BODY_BYTES - LAST_BYTES);
    wait_for("they are being read", || reserved(&deployment) >= expected as f64);
    for _ in 0..FITTING {
        let upload = Upload::begin(&deployment, chunked);
        let id = upload.request.id.clone();
        let response = upload.finish();
        assert_eq!((response.status, response.complete), (503, true), "{}", response.text());
        assert!(response.text().contains(r#""ran":"no""#), "{}", response.text());
        assert!(response.header("retry-after").is_some());
        assert_eq!(deployment.runs(&id), 0);
    }
    let small = Request::post("/book/", "x");
    let response = deployment.send(0, &small).expect("a response");
    assert_eq!((response.status, response.text()), (200, body(&small.id)));
    for upload in first {
        let id = upload.request.id.clone();
        let response = upload.finish();
        assert_eq!((response.status, response.text()), (200, body(&id)));
        assert_eq!(deployment.runs(&id), 1);
    }
    wait_for("the memory is free again", || reserved(&deployment) == 0.0);
    let response = Upload::begin(&deployment, chunked).finish();
    assert_eq!(response.status, 200, "{}", response.text());
}

/// The limit of a process in which neither such a body nor a large response ever fits.
const LITTLE_MEMORY: &str = "[limits]\nmemory_mb = 8\n";

/// A body that can never fit is too large, so that its caller does not come back with it.
#[rstest]
#[case::of_known_length(false)]
#[case::in_chunks(true)]
fn body_that_never_fits_is_too_large(#[case] chunked: bool) {
    let deployment = deploy_with(LITTLE_MEMORY);
    let response = Upload::begin(&deployment, chunked).finish();
    assert_eq!((response.status, response.complete), (413, true), "{}", response.text());
    assert!(response.header("retry-after").is_none());
}

/// A response that can never fit fails at once, and is not counted against the backend server that sent it.
#[rstest]
#[case::of_known_length(Fault::None)]
#[case::that_ends_with_its_connection(Fault::Unframed)]
fn response_that_never_fits_is_no_failure_of_its_server(#[case] fault: Fault) {
    let deployment = deploy_with(LITTLE_MEMORY);
    for server in &deployment.servers {
        server.set_body_bytes(RESPONSE_BYTES);
        server.set(fault);
    }
    let request = Request::post("/book/", "x");
    let response = deployment.send(0, &request).expect("a response");
    assert_eq!((response.status, response.complete), (502, true), "{}", response.text());
    assert!(response.text().contains(r#""ran":"yes""#), "{}", response.text());
    assert_eq!(deployment.runs(&request.id), 1);
    let log = || deployment.instances[0].log();
    wait_for("the attempt is logged", || log().contains("attempt ended: no memory"));
    assert!(!log().contains("crash"), "no crash is suspected");
}

/// Memory is released when callers leave in the middle of their requests.
#[test]
fn memory_is_released_when_callers_leave() {
    let deployment = deploy();
    let uploads: Vec<Upload> = (0..FITTING).map(|_| Upload::begin(&deployment, false)).collect();
    wait_for("they are being read", || reserved(&deployment) >= (FITTING * BODY_BYTES) as f64);
    drop(uploads);
    wait_for("the memory is free again", || reserved(&deployment) == 0.0);
}

/// Length of a large response. The buffers of the operating system don't hold it.
const RESPONSE_BYTES: usize = 12 * 1024 * 1024;
/// Number of requests for such responses; two of these fit into memory.
const RESPONSES: usize = 6;
const MAX_RESERVED: f64 = 32.0 * 1024.0 * 1024.0;

fn large_body(id: &str) -> String {
    let body = body(id);
    let padding = PADDING.repeat(RESPONSE_BYTES - body.len());
    body + &padding
}

/// Responses that callers are slow to read stay within the memory, and each of them arrives whole.
#[rstest]
#[case::of_known_length(Fault::None)]
#[case::that_end_with_their_connection(Fault::Unframed)]
fn responses_beyond_the_memory_wait(#[case] fault: Fault) {
    let deployment = deploy();
    for server in &deployment.servers {
        server.set_body_bytes(RESPONSE_BYTES);
        server.set(fault);
    }
    let requests: Vec<Request> = (0..RESPONSES).map(|_| Request::post("/book/", "x")).collect();
    let send = |request: &Request| {
        let mut conn = deployment.connect(0).expect("a connection");
        conn.write_all(&request.bytes()).expect("the request is sent");
        conn
    };
    let conns: Vec<TcpStream> = requests.iter().map(send).collect();
    wait_for("a response waits for memory", || {
        deployment.instances[0].metric(&["drumusher_responses_held"]) > 0.0
    });
    assert!(reserved(&deployment) <= MAX_RESERVED);
    thread::scope(|scope| {
        for (request, mut conn) in requests.iter().zip(conns) {
            scope.spawn(move || {
                let response = read_response(&mut conn).expect("a response");
                assert_eq!((response.status, response.complete), (200, true));
                assert!(response.text() == large_body(&request.id), "the body is whole");
            });
        }
    });
    wait_for("the memory is free again", || reserved(&deployment) == 0.0);
}

/// A planned stop waits until a caller has read a large response.
#[rstest]
#[case::buffered("/book/")]
#[case::repeatable("/read/")]
fn responses_are_delivered_before_a_stop_ends(#[case] path: &str) {
    let mut deployment = deploy();
    deployment.servers.iter().for_each(|server| server.set_body_bytes(RESPONSE_BYTES));
    let request = Request::post(path, "x");
    let mut conn = deployment.connect(0).expect("a connection");
    conn.write_all(&request.bytes()).expect("the request is sent");
    wait_for("the request runs", || deployment.runs(&request.id) == 1);
    deployment.instances[0].signal("TERM");
    // Longer than a stop takes that waits for nothing.
    thread::sleep(Duration::from_millis(2_500));
    let response = read_response(&mut conn).expect("a response");
    assert_eq!((response.status, response.complete), (200, true));
    assert!(response.text() == large_body(&request.id), "the body is whole");
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
}

/// Step between the lengths of responses of which a part is left in the HTTP library's buffer, which is longer.
const LENGTH_STEP: usize = 16 * 1024;
/// How long the memory of a response is held at most that the buffers hold.
const HAND_OVER_TIME: Duration = Duration::from_millis(300);
/// Number of responses that are read after the stop began.
const HANDED_OVER: usize = 12;

/// A connection that receives little as long as nothing is read.
fn connect_slowly(deployment: &Deployment) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4 * 1024).expect("a small buffer");
    socket.connect(&deployment.instances[0].http_address.into()).expect("a connection");
    TcpStream::from(socket)
}

/// A planned stop waits for the rest of responses that were handed to the HTTP library before it began.
#[test]
fn handed_over_responses_are_delivered_before_a_stop_ends() {
    let mut deployment = deploy();
    let mut responses = VecDeque::new();
    // The longest responses that the buffers hold are those of which the library has a part.
    for length in (LENGTH_STEP..RESPONSE_BYTES).step_by(LENGTH_STEP) {
        deployment.servers.iter().for_each(|server| server.set_body_bytes(length));
        let request = Request::post("/book/", "x");
        let mut conn = connect_slowly(&deployment);
        conn.write_all(&request.bytes()).expect("the request is sent");
        wait_for("the request runs", || deployment.runs(&request.id) == 1);
        let since = Instant::now();
        while reserved(&deployment) > 0.0 && since.elapsed() < HAND_OVER_TIME {
            thread::sleep(Duration::from_millis(5));
        }
        if reserved(&deployment) > 0.0 {
            break;
        }
        responses.push_back((request, length, conn));
        if responses.len() > HANDED_OVER {
            responses.pop_front();
        }
    }
    wait_for("all are handed over", || reserved(&deployment) == 0.0);
    deployment.instances[0].signal("TERM");
    // Longer than a stop takes that waits for nothing.
    thread::sleep(Duration::from_millis(2_500));
    for (request, length, mut conn) in responses {
        let response = read_response(&mut conn).expect("a response");
        assert_eq!((response.status, response.complete), (200, true), "{length} bytes");
        assert_eq!(response.text().len(), length);
        assert!(response.text().starts_with(&body(&request.id)));
    }
    wait_for("the process ends", || deployment.instances[0].ended().is_some());
}
