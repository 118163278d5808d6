//! Helpers shared by the fleet tests.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread::{self, JoinHandle},
};

use drumusher_bench::{
    client::{self, Response},
    fleet::{self, Fleet, key},
    stand_in::{Kind, engine, service::Call},
};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// Model that the engines of a test fleet serve.
pub const MODEL: &str = "draft";
/// Service of a test fleet that is no inference engine.
pub const SERVICE: &str = "desk";

/// Starts a fleet with `instances` instances, `engines` engines and one server of the plain service in each of the
/// availability zones `zones`, and waits until all instances are ready and have the same configuration.
/// `settings` is TOML that is added to the settings of each instance.
pub fn fleet(zones: &[&str], instances: usize, engines: usize, settings: &str) -> Fleet {
    let mut fleet = Fleet::new(env!("CARGO_BIN_EXE_drumusher")).expect("the stand-ins start");
    fleet = fleet.with_settings(settings);
    for zone in zones {
        for number in 0..engines {
            let name = format!("{zone}-engine-{number}");
            fleet.add_backend(Kind::Engine, &name, zone, MODEL).expect("an engine starts");
        }
        let name = format!("{zone}-desk");
        fleet.add_backend(Kind::Service, &name, zone, SERVICE).expect("a service starts");
        for number in 0..instances {
            fleet.add_instance(&format!("{zone}-{number}"), zone).expect("an instance starts");
        }
    }
    fleet.wait_ready();
    fleet.configure();
    fleet.wait_converged();
    fleet
}

/// Requests a completion of `tokens` tokens whose prompt begins with `tag` at the instance with the index `instance`.
pub fn complete(
    fleet: &Fleet,
    instance: usize,
    class: &str,
    tag: &str,
    tokens: u32,
) -> io::Result<Response> {
    let body = json!({"model": MODEL, "prompt": format!("{tag} tell"), "max_tokens": tokens});
    send(&fleet.instances[instance].http, "/v1/completions", class, &[], &body.to_string())
}

/// Requests a streamed completion of `tokens` tokens whose prompt begins with `tag`, and reads it to its end.
pub fn stream(address: &str, class: &str, tag: &str, tokens: u32) -> io::Result<Response> {
    let prompt = format!("{tag} tell");
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true});
    send(address, "/v1/completions", class, &[], &body.to_string())
}

/// Sends a booking to the plain service, with `key` as its idempotency key if there is one.
pub fn book(address: &str, key: Option<&str>, body: &str) -> io::Result<Response> {
    let extra: Vec<(&str, &str)> = key.iter().map(|key| ("idempotency-key", *key)).collect();
    send(address, &format!("/services/{SERVICE}/bookings"), "booking", &extra, body)
}

/// Sends a request of the workspace `vanua`.
pub fn send(
    address: &str,
    path: &str,
    class: &str,
    extra: &[(&str, &str)],
    body: &str,
) -> io::Result<Response> {
    let authorization = format!("Bearer {}", fleet::key("vanua"));
    let mut headers = vec![
        ("authorization", authorization.as_str()),
        ("drumusher-class", class),
        ("content-type", "application/json"),
    ];
    headers.extend_from_slice(extra);
    client::post(address, path, &headers, body)
}

/// Calls `send` with each of `0..count` on a thread of its own. Returns the threads in that order, for `join_all`.
pub fn spawn_each<T: Send + 'static>(
    count: usize,
    send: impl Fn(usize) -> T + Send + Sync + 'static,
) -> Vec<JoinHandle<T>> {
    let send = Arc::new(send);
    let start = |number| {
        let send = send.clone();
        thread::spawn(move || send(number))
    };
    (0..count).map(start).collect()
}

/// Joins the threads and returns their results in order.
pub fn join_all<T>(threads: Vec<JoinHandle<T>>) -> Vec<T> {
    threads.into_iter().map(|thread| thread.join().expect("the thread ends")).collect()
}

/// Sets the fault switches, a JSON object, of the stand-in at `address`.
pub fn switch(address: &str, switches: &str) {
    let response =
        client::post(address, "/switch", &[], switches).expect("a response of the stand-in");
    assert_eq!(response.status, 200, "{}", response.body);
}

/// Address of the backend server called `name`.
pub fn address_of(fleet: &Fleet, name: &str) -> String {
    let backend = fleet.backends.iter().find(|backend| backend.name == name);
    backend.expect("a backend server of that name").address.to_string()
}

/// Value of a counter in the statistics of an engine.
pub fn engine_stat(address: &str, what: &str) -> u64 {
    let stats = client::get(address, "/stats", &[]).expect("a response of the engine").json();
    stats[what].as_u64().expect("a counter of the engine")
}

/// Calls that the plain service of an availability zone has run.
pub fn calls(fleet: &Fleet, zone: &str) -> Vec<Call> {
    let address = address_of(fleet, &format!("{zone}-desk"));
    let response = client::get(&address, "/calls", &[]).expect("a response of the service");
    serde_json::from_str(&response.body).expect("calls")
}

/// Index of the instance that dispatches a pool, according to instance 0.
pub fn dispatcher(fleet: &Fleet, pool: &str) -> usize {
    let rows = fleet.ask(0, "show instances").expect("a response").lines();
    let dispatches = |row: &&Value| {
        let pools = row["dispatches"].as_array();
        pools.is_some_and(|pools| pools.contains(&json!(pool)))
    };
    let row = rows.iter().find(dispatches).unwrap_or_else(|| panic!("no dispatcher: {rows:?}"));
    let name = row["instance"].as_str().expect("a name").to_string();
    fleet
        .instances
        .iter()
        .position(|instance| instance.name == name)
        .expect("an instance of the fleet")
}

/// Index of an instance other than `other`.
pub fn another_instance(fleet: &Fleet, other: usize) -> usize {
    (0..fleet.instances.len()).find(|number| *number != other).expect("a second instance")
}

/// Whether a response claims that the request was not run.
pub fn says_not_run(response: &Response) -> bool {
    response.json()["error"]["ran"] == "no"
}

/// Asserts that a streamed response is complete and is the one for `tag`.
pub fn assert_whole(response: &Response, tag: &str, tokens: u32) {
    assert_eq!(response.status, 200, "{}", response.body);
    let last = response.body.trim_end().rsplit("\n\n").next().unwrap_or_default();
    let end = format!("{tag} ends with {last}, broken: {}", response.broken);
    assert_eq!(response.streamed_text(), engine::answer(tag, tokens), "{end}");
    assert!(response.body.ends_with("data: [DONE]\n\n"), "{}", response.body);
}

/// Size of the receive buffer of a caller that is slow to read, in bytes.
const SMALL_BUFFER: usize = 4 * 1024;

/// Calls the service and does not read the response, of which little is received for that reason.
pub fn call_slowly(address: &str) -> TcpStream {
    let address: SocketAddr = address.parse().expect("an address");
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(SMALL_BUFFER).expect("a small buffer");
    socket.connect(&address.into()).expect("a connection");
    let mut conn = TcpStream::from(socket);
    let head = format!(
        "GET /services/{SERVICE}/bookings HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {}\r\n\
         drumusher-class: booking\r\nconnection: close\r\n\r\n",
        key("vanua")
    );
    conn.write_all(head.as_bytes()).expect("the request is sent");
    conn
}

/// Sends a streamed request and returns its connection, for tests that close it before the response ends.
pub fn raw_stream(address: &str, tag: &str, tokens: u32) -> TcpStream {
    client::open_stream(address, &fleet::key("vanua"), tag, tokens).expect("the instance accepts")
}

/// Runs an operator's statement and returns the first line of the response.
pub fn run_statement(address: &str, statement: &str) -> Value {
    run_statement_with_nonce(address, statement, "")
}

/// Like `run_statement`, as a retry with the nonce of an earlier attempt.
pub fn run_statement_with_nonce(address: &str, statement: &str, nonce: &str) -> Value {
    let authorization = format!("Bearer {}", fleet::OPERATOR_KEY);
    let mut headers = vec![("authorization", authorization.as_str())];
    if !nonce.is_empty() {
        headers.push(("drumusher-nonce", nonce));
    }
    let response =
        client::post(address, "/operator/query", &headers, statement).expect("a response");
    response.lines().first().cloned().unwrap_or_else(|| panic!("{}", response.body))
}
