//! Responses whose backend server stops in them, in the head or later, are not taken as whole.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    ops::RangeInclusive,
    sync::mpsc,
    thread,
    time::Duration,
};

use drumusher::{
    process::clock,
    request::attempt::{self, AttemptRequest, Client},
    settings::Backend as Settings,
    upstream::{Conn, Error, Key, response::Part},
    version::Backend,
};
use futures_util::future::join_all;
use ntex::{http::Method, rt, time::Millis, util::Bytes};
use socket2::SockRef;

/// Longest wait for a part of a response, in milliseconds. Only keeps a test from hanging.
const PART_MS: u64 = 20_000;
/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 1_024;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
const INTERIM: &str = "HTTP/1.1 102 Processing\r\nX-Step: 1\r\n\r\n";
const EARLIER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nearlier";
const SIZED: &str = "HTTP/1.1 200 OK\r\nX-Own: kept\r\nContent-Length: 5\r\n\r\nwhole";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nX-Own: kept\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nX-Own: kept\r\n\r\nwhole";
const SIZED_1_0: &str = "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const BODY: &[u8] = b"whole";

/// How a server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
}

/// A server that sends a cut response on each connection: first nothing of it, then one byte more each time.
#[derive(Clone, Copy)]
struct Server {
    response: &'static str,
    /// What it sends first on a connection, as the response to a first request if `answers_twice`.
    before: &'static str,
    answers_twice: bool,
    /// Whether each byte is sent by itself.
    byte_by_byte: bool,
    ending: Ending,
}

impl Server {
    fn new(response: &'static str, ending: Ending) -> Self {
        Server { response, before: "", answers_twice: false, byte_by_byte: false, ending }
    }

    fn with_before(self, before: &'static str) -> Self {
        Server { before, answers_twice: before == EARLIER, ..self }
    }

    /// Whether its first `count` bytes look like a whole response: nothing shows that a body which ends with its
    /// connection was cut, unless the connection was reset.
    fn ends_body_at(&self, count: usize) -> bool {
        let is_unframed = self.response == UNFRAMED && self.ending == Ending::Close;
        is_unframed && count >= self.response.len() - BODY.len()
    }

    /// Starts the server, for one connection for each number of bytes.
    fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("the address of the listener");
        thread::spawn(move || {
            for count in 0..=self.response.len() {
                let (stream, _) = listener.accept().expect("a connection");
                self.serve(stream, count);
            }
        });
        address
    }

    /// Sends `count` bytes of the response.
    fn serve(&self, mut stream: TcpStream, count: usize) {
        stream.set_nodelay(true).expect("an option is set");
        read_request(&mut stream);
        let _ = stream.write_all(self.before.as_bytes());
        if self.answers_twice {
            read_request(&mut stream);
        }
        let bytes = &self.response.as_bytes()[..count];
        let step = if self.byte_by_byte { 1 } else { count.max(1) };
        let _ = bytes.chunks(step).try_for_each(|part| stream.write_all(part));
        if self.ending == Ending::Reset {
            // A reset discards what the other side has not received.
            thread::sleep(Duration::from_millis(1));
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option is set");
        }
    }
}

/// Reads a request without a body.
fn read_request(stream: &mut TcpStream) {
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    while !bytes.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) > 0 {
        bytes.push(byte[0]);
    }
}

fn run<T: 'static>(future: impl Future<Output = T> + 'static) -> T {
    rt::System::build().name("test").build(rt::DefaultRuntime).block_on(future)
}

/// Reads a response to its end. Returns its body.
async fn read(conn: &mut Conn) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    loop {
        match conn.next_part(clock::now() + PART_MS * 1_000, || false).await? {
            Part::Head(_) => {}
            Part::Data(bytes) => body.extend_from_slice(&bytes),
            Part::End => return Ok(body),
        }
    }
}

/// Guards against a cut response that is passed on as whole, with an empty or a short body.
async fn check_connection(server: Server) {
    let (response, ending) = (server.response, server.ending);
    let address = server.start();
    let mut checked = 0;
    for count in 0..=response.len() {
        let mut conn = Conn::connect(address, Millis(10_000)).await.expect("a connection");
        if server.answers_twice {
            conn.send(Some(Key::new("a")), REQUEST, &Bytes::new(), false).expect("sent");
            assert_eq!(read(&mut conn).await.as_deref(), Ok(&b"earlier"[..]));
            // A response that arrives while the request still counts as being sent ends its connection.
            if !conn.finish() {
                continue;
            }
        }
        checked += 1;
        conn.send(Some(Key::new("b")), REQUEST, &Bytes::new(), false).expect("sent");
        match read(&mut conn).await {
            Ok(body) if count == response.len() => assert_eq!(body, BODY),
            Ok(body) => assert!(server.ends_body_at(count), "{count} bytes are whole: {body:?}"),
            Err(error) => {
                let is_whole = count == response.len() && ending == Ending::Close;
                assert!(!is_whole && error == Error::Closed, "{count} bytes: {error:?}");
            }
        }
    }
    assert!(checked > response.len() / 2, "{checked} responses were checked");
}

/// Guards against a cut response of a service that the product's own interface passes on as whole, and against an interim
/// response that is taken for the final one.
async fn check_service(server: Server) {
    let (response, ending) = (server.response, server.ending);
    let backend = backend(server.start());
    let client = Client::new(&settings());
    for count in 0..=response.len() {
        let is_whole = count == response.len();
        match call(&client, &backend).await {
            Ok((status, body)) if is_whole => assert_eq!((status, &body[..]), (200, BODY)),
            Ok((_, body)) => {
                assert!(server.ends_body_at(count), "{count} bytes are whole: {body:?}");
            }
            Err(error) => {
                assert!(!is_whole || ending == Ending::Reset, "{count} bytes: {error:?}");
            }
        }
    }
}

/// Guards against a response without a length that is passed on as whole although its server ended the connection, with or
/// without a reset, while the request was still being sent.
async fn check_unsent_requests(ending: Ending) {
    let sizes: Vec<usize> = LONG_BODY_BYTES.step_by(LONG_BODY_STEP).collect();
    for sizes in sizes.chunks(CONCURRENT_UPLOADS) {
        join_all(sizes.iter().map(|size| check_unsent_request(*size, ending))).await;
    }
}

async fn check_unsent_request(size: usize, ending: Ending) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("the address of the listener");
    let (finish, finished) = mpsc::channel::<()>();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_request(&mut stream);
        stream.write_all(UNFRAMED.as_bytes()).expect("the response is sent");
        if ending == Ending::Reset {
            let linger = Some(Duration::ZERO);
            SockRef::from(&stream).set_linger(linger).expect("an option is set");
            return 0;
        }
        stream.shutdown(Shutdown::Write).expect("one side is closed");
        let _ = finished.recv();
        let (mut received, mut buffer) = (0, vec![0; 1 << 16]);
        while let Ok(count @ 1..) = stream.read(&mut buffer) {
            received += count;
        }
        received
    });
    let mut conn = Conn::connect(address, Millis(10_000)).await.expect("a connection");
    let body = Bytes::from(vec![b'x'; size]);
    conn.send(Some(Key::new("a")), REQUEST, &body, false).expect("sent");
    let response = read(&mut conn).await;
    drop(conn);
    drop(finish);
    // The runtime closes the connection.
    let received = rt::spawn_blocking(move || server.join()).await.expect("the thread pool runs");
    let received = received.expect("the server does not panic");
    match response {
        Ok(_) => assert_eq!(received, size, "a whole response to a part of the request"),
        Err(error) => assert_eq!(error, Error::Closed),
    }
}

/// Length of a request body that the buffers of a connection hold, while its server reads nothing, in bytes.
const HELD_BODY_BYTES: usize = 1024 * 1024;
/// Time after its last byte in which a server resets the connection, in milliseconds. The first one is with the close.
const RESET_DELAYS_MS: [u64; 4] = [0, 2, 20, 200];

/// Guards against a response without a length that is passed on as whole because its server closed its side of the connection
/// first, and reset it only when it had not read the rest of the request.
async fn check_reset_after_close(delay_ms: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("the address of the listener");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_request(&mut stream);
        stream.write_all(UNFRAMED.as_bytes()).expect("the response is sent");
        stream.shutdown(Shutdown::Write).expect("one side is closed");
        thread::sleep(Duration::from_millis(delay_ms));
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option is set");
    });
    let mut conn = Conn::connect(address, Millis(10_000)).await.expect("a connection");
    let body = Bytes::from(vec![b'x'; HELD_BODY_BYTES]);
    conn.send(Some(Key::new("a")), REQUEST, &body, false).expect("sent");
    let response = read(&mut conn).await;
    server.join().expect("the server does not panic");
    assert_eq!(response, Err(Error::Closed), "reset after {delay_ms} ms");
}

/// A response without a length is whole if its server read a long request first.
async fn check_close_after_long_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("the address of the listener");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_request(&mut stream);
        stream.read_exact(&mut vec![0; HELD_BODY_BYTES]).expect("the body arrives");
        stream.write_all(UNFRAMED.as_bytes()).expect("the response is sent");
    });
    let mut conn = Conn::connect(address, Millis(10_000)).await.expect("a connection");
    let body = Bytes::from(vec![b'x'; HELD_BODY_BYTES]);
    conn.send(Some(Key::new("a")), REQUEST, &body, false).expect("sent");
    assert_eq!(read(&mut conn).await.as_deref(), Ok(BODY));
}

/// Maximum number of bytes that a server without end sends before its connection ends: what is read before it is given up,
/// and what the buffers of both sides hold.
const MAX_ENDLESS_BYTES: usize = 16 * 1024 * 1024;
/// Time for which a connection is watched, in milliseconds. At the speed of the loopback interface, a server sends many
/// times the maximum in it.
const WATCHED_MS: u32 = 2_000;

/// Guards against a server that sends bytes without end to nobody, all of which are kept until the connection ends.
async fn check_endless_bytes_without_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("the address of the listener");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let (block, mut sent) = ([b'x'; 1 << 16], 0);
        while let Ok(count) = stream.write(&block) {
            sent += count;
        }
        sent
    });
    let conn = Conn::connect(address, Millis(10_000)).await.expect("a connection");
    assert!(!conn.is_closed_within(Millis(WATCHED_MS)).await);
    drop(conn);
    // The runtime closes the connection.
    let sent = rt::spawn_blocking(move || server.join()).await.expect("the thread pool runs");
    let sent = sent.expect("the server does not panic");
    assert!(sent <= MAX_ENDLESS_BYTES, "{sent} bytes");
}

/// All cases in one runtime: one that ends shuts down descriptors by their numbers, which another may have by then.
#[test]
fn cut_responses_are_not_whole() {
    run(async {
        check_endless_bytes_without_request().await;
        check_close_after_long_request().await;
        for delay_ms in RESET_DELAYS_MS {
            check_reset_after_close(delay_ms).await;
        }
        for ending in [Ending::Close, Ending::Reset] {
            check_unsent_requests(ending).await;
            for response in [SIZED, CHUNKED, UNFRAMED, SIZED_1_0] {
                for before in ["", INTERIM, EARLIER] {
                    for byte_by_byte in [false, true] {
                        let server = Server::new(response, ending).with_before(before);
                        let server = Server { byte_by_byte, ..server };
                        check_connection(server).await;
                        if before != EARLIER {
                            check_service(server).await;
                        }
                    }
                }
            }
        }
    });
}

/// Sizes of request bodies, in bytes. Of some of them the last bytes are left when the buffers of both sides are full.
const LONG_BODY_BYTES: RangeInclusive<usize> = 64 * 1024..=7 * 1024 * 1024;
const LONG_BODY_STEP: usize = 48 * 1024;
/// Number of these requests at the same time.
const CONCURRENT_UPLOADS: usize = 8;

fn settings() -> Settings {
    Settings {
        connect_ms: 10_000,
        first_byte_ms: 10_000,
        stall_ms: 10_000,
        attempts: 4,
        retry_share: 0.2,
    }
}

fn backend(address: SocketAddr) -> Backend {
    Backend {
        name: "e1".into(),
        area: "z".into(),
        address: address.to_string(),
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

/// Calls a service. Returns the status and the body of the response.
async fn call(client: &Client, server: &Backend) -> Result<(u16, Vec<u8>), attempt::Error> {
    let request = AttemptRequest {
        server,
        method: Method::GET,
        path: "/",
        id: 7,
        traceparent: String::new(),
        headers: &[],
        body: Bytes::new(),
        repeatable: false,
    };
    let mut response = attempt::send(client, request).await?;
    let body = response.read_body(MAX_BODY_BYTES, PART_MS).await?;
    Ok((response.status(), body.to_vec()))
}
