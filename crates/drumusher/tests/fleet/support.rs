//! Helpers of all fleet tests.

use std::{
    io,
    net::TcpStream,
    sync::Arc,
    thread::{self, JoinHandle},
};

use drumusher_bench::{
    client::{self, Response},
    fleet::{self, Fleet},
    stand_in::{Kind, engine, service::Call},
};
use serde_json::{Value, json};

/// The model that engines of test fleets serve.
pub const MODEL: &str = "draft";
/// The plain service of test fleets.
pub const SERVICE: &str = "desk";

/// A configured fleet: `zones` availability zones with `instances` instances, `engines` engines
/// and one service server each.
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

/// A completion of `tokens` tokens whose prompt begins with `tag`.
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

/// A streamed completion.
pub fn stream(address: &str, class: &str, tag: &str, tokens: u32) -> io::Result<Response> {
    let prompt = format!("{tag} tell");
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true});
    send(address, "/v1/completions", class, &[], &body.to_string())
}

/// A booking at the plain service.
pub fn book(address: &str, key: Option<&str>, body: &str) -> io::Result<Response> {
    let extra: Vec<(&str, &str)> = key.iter().map(|key| ("idempotency-key", *key)).collect();
    send(address, &format!("/services/{SERVICE}/bookings"), "booking", &extra, body)
}

/// A request of workspace `vanua`.
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

/// Sends `count` requests at once from as many threads and returns their answers in order.
pub fn at_once<T: Send + 'static>(
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

/// The answers of threads that were started before.
pub fn all<T>(threads: Vec<JoinHandle<T>>) -> Vec<T> {
    threads.into_iter().map(|thread| thread.join().expect("the thread ends")).collect()
}

/// Sets switches of a stand-in.
pub fn switch(address: &str, switches: &str) {
    let response = client::post(address, "/switch", &[], switches).expect("the stand-in answers");
    assert_eq!(response.status, 200, "{}", response.body);
}

/// The address of a backend server.
pub fn address_of(fleet: &Fleet, name: &str) -> String {
    let backend = fleet.backends.iter().find(|backend| backend.name == name);
    backend.expect("there is such a backend server").address.to_string()
}

/// A number that an engine counts.
pub fn counted(address: &str, what: &str) -> u64 {
    let stats = client::get(address, "/stats", &[]).expect("the engine answers").json();
    stats[what].as_u64().expect("the engine counts it")
}

/// The calls that the service of a zone ran.
pub fn calls(fleet: &Fleet, zone: &str) -> Vec<Call> {
    let address = address_of(fleet, &format!("{zone}-desk"));
    let response = client::get(&address, "/calls", &[]).expect("the service answers");
    serde_json::from_str(&response.body).expect("calls")
}

/// The instance that dispatches a pool, by the others' knowledge of it.
pub fn dispatcher(fleet: &Fleet, pool: &str) -> usize {
    let rows = fleet.ask(0, "show instances").expect("an answer").lines();
    let dispatches = |row: &&Value| {
        let pools = row["dispatches"].as_array();
        pools.is_some_and(|pools| pools.contains(&json!(pool)))
    };
    let row = rows.iter().find(dispatches).unwrap_or_else(|| panic!("nobody: {rows:?}"));
    let name = row["instance"].as_str().expect("a name").to_string();
    fleet.instances.iter().position(|instance| instance.name == name).expect("one of the fleet")
}

/// An instance that is not `other`.
pub fn another(fleet: &Fleet, other: usize) -> usize {
    (0..fleet.instances.len()).find(|number| *number != other).expect("there are two")
}

/// Whether an answer says truthfully or not that the request was not run.
pub fn says_not_run(response: &Response) -> bool {
    response.json()["error"]["ran"] == "no"
}

/// Checks a whole streamed answer.
pub fn assert_whole(response: &Response, tag: &str, tokens: u32) {
    assert_eq!(response.status, 200, "{}", response.body);
    assert_eq!(response.streamed_text(), engine::answer(tag, tokens));
    assert!(response.body.ends_with("data: [DONE]\n\n"), "{}", response.body);
}

/// A streamed request on a bare connection, to be dropped in the middle.
pub fn raw_stream(address: &str, tag: &str, tokens: u32) -> TcpStream {
    client::open_stream(address, &fleet::key("vanua"), tag, tokens).expect("the instance accepts")
}

/// An operator's statement and the first line of its answer.
pub fn operator(address: &str, statement: &str) -> Value {
    operator_with_nonce(address, statement, "")
}

/// The same with a nonce of an earlier attempt.
pub fn operator_with_nonce(address: &str, statement: &str, nonce: &str) -> Value {
    let authorization = format!("Bearer {}", fleet::OPERATOR_KEY);
    let mut headers = vec![("authorization", authorization.as_str())];
    if !nonce.is_empty() {
        headers.push(("drumusher-nonce", nonce));
    }
    let answer = client::post(address, "/operator/query", &headers, statement).expect("an answer");
    answer.lines().first().cloned().unwrap_or_else(|| panic!("{}", answer.body))
}
