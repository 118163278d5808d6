//! Streams that run while their dispatcher changes.

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpStream,
    time::Duration,
};

use drumusher_adapter_stand_in::Server;
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::support::{Deployment, MODEL, Request, configuration};

/// Number of events of a stream, and the time between two. A stream outlasts what happens meanwhile.
const EVENTS: u64 = 200;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
const INSTANCES: usize = 4;
/// Streams that run at the same time.
const STREAMS: usize = 16;

/// A deployment whose streams outlast what happens meanwhile.
fn deploy(servers: &[(&str, &str)]) -> Deployment {
    let mut deployment = Deployment::empty(false);
    servers.iter().for_each(|(id, version)| add_server(&mut deployment, id, version));
    for number in 0..INSTANCES {
        deployment.add_instance(&format!("i{number}"));
    }
    let routes = configuration(1, "").replace("\"TimeoutMs\":3000", "\"TimeoutMs\":12000");
    deployment.store.put("keyed.op", "config", &routes);
    for instance in &deployment.instances {
        wait_for("the instance is ready", || instance.ready());
    }
    deployment
}

fn add_server(deployment: &mut Deployment, id: &str, version: &str) {
    let server = Server::start(id).expect("the server starts");
    server.set_version(version);
    server.set_pace(EVENTS, EVENT_INTERVAL);
    deployment.store.put("keyed.servers", id, &server.entry(MODEL, "ready"));
    deployment.servers.push(server);
}

fn stream(path: &str) -> Request {
    Request::get(path).without("Drumusher-Prompt-Prefix")
}

/// Waits until an instance has logged a line that fits.
fn wait_logged(deployment: &Deployment, instance: usize, fits: impl Fn(&str) -> bool) -> String {
    let mut found = None;
    wait_for(&format!("instance {instance} logs it"), || {
        let log = deployment.instances[instance].log();
        found = log.lines().find(|line| fits(line)).map(str::to_string);
        found.is_some()
    });
    found.expect("the line was found")
}

/// Whether a line says that a server is no longer in use. An instance that is not certain of it keeps the server for a while.
fn is_removal(line: &str, id: &str) -> bool {
    let ended = line.contains("server's entry ended") && line.contains("\"held\":\"false\"");
    let removed = ended || line.contains("removed servers that are still missing");
    removed && line.contains(&format!("\"{id}\""))
}

/// The instance whose dispatcher grants a stream that a caller begins at an instance. Its earlier messages to that one have
/// arrived by then.
fn dispatcher(deployment: &Deployment, entry: usize) -> usize {
    let (request, mut lines) = begin(deployment, entry, "/draft/");
    assert!(lines.any(|line| line == "id: 1"), "the stream begins");
    drop(lines);
    let line = wait_logged(deployment, entry, |line| {
        line.contains("request ended") && line.contains(&request.id)
    });
    let granted = (0..INSTANCES).find(|at| line.contains(&format!("\"dispatcher\":\"i{at}\"")));
    granted.unwrap_or_else(|| panic!("no dispatcher in {line}"))
}

type Lines = std::iter::MapWhile<
    std::io::Lines<BufReader<TcpStream>>,
    fn(std::io::Result<String>) -> Option<String>,
>;

/// Begins a stream at an instance. Returns its request and the lines of the response.
fn begin(deployment: &Deployment, entry: usize, path: &str) -> (Request, Lines) {
    let request = stream(path);
    let mut conn = deployment.connect(entry).expect("a connection");
    conn.write_all(&request.bytes()).expect("the request is sent");
    (request, BufReader::new(conn).lines().map_while(Result::ok))
}

/// The dispatcher of all instances, once they agree on it.
fn common_dispatcher(deployment: &Deployment) -> usize {
    let mut found = Vec::new();
    wait_for("the instances have the same dispatcher", || {
        found = (0..INSTANCES).map(|at| dispatcher(deployment, at)).collect();
        found.iter().all(|at| *at == found[0])
    });
    found[0]
}

/// A stream that runs at a server which is no longer listed is not granted another one by its next dispatcher, whose record
/// would name a version that sent nothing.
#[test]
fn stream_of_an_unlisted_server_stays_bound_to_its_version_when_its_dispatcher_ends() {
    let mut deployment = deploy(&[("m-v1", "v1")]);
    let first = common_dispatcher(&deployment);
    let entry = (first + 1) % INSTANCES;
    let (running, mut lines) = begin(&deployment, entry, "/talk/");
    assert!(lines.any(|line| line == "id: 1"), "the stream begins");
    add_server(&mut deployment, "m-v1.1", "v1.1");
    deployment.store.remove("keyed.servers", "m-v1");
    for at in 0..INSTANCES {
        wait_logged(&deployment, at, |line| line.contains("entry") && line.contains("m-v1.1"));
        wait_logged(&deployment, at, |line| is_removal(line, "m-v1"));
    }
    deployment.instances[first].kill();
    wait_for("the stream has another dispatcher", || dispatcher(&deployment, entry) != first);
    for at in (0..INSTANCES).filter(|at| *at != first) {
        let resumed = stream("/talk/").with("Last-Event-Id", "1").with("Resumes", &running.id);
        let response = deployment.send(at, &resumed).expect("a response");
        assert!(!response.text().contains("v1.1"), "instance {at}: {}", response.text());
    }
}

/// A dispatcher that stood still grants streams that run elsewhere by then. What it granted binds none of them.
#[test]
fn late_grant_of_a_paused_dispatcher_binds_no_stream() {
    let servers = [("m0", "v1"), ("m1", "v1.1"), ("m2", "v1"), ("m3", "v1.1")];
    let deployment = deploy(&servers);
    let first = common_dispatcher(&deployment);
    let (entry, other) = ((first + 1) % INSTANCES, (first + 2) % INSTANCES);
    deployment.instances[first].signal("STOP");
    let begun: Vec<_> = (0..STREAMS).map(|_| begin(&deployment, entry, "/talk/")).collect();
    let versions: Vec<_> = begun
        .into_iter()
        .map(|(request, mut lines)| {
            let event = lines.find(|line| line.starts_with("data: ")).expect("an event");
            (request, event.contains("v1.1"), lines)
        })
        .collect();
    deployment.instances[first].signal("CONT");
    for at in [entry, other] {
        wait_for("it dispatches again", || dispatcher(&deployment, at) == first);
    }
    let joined: Vec<&str> = versions
        .iter()
        .filter_map(|(request, is_second, _)| {
            let last = (EVENTS - 1).to_string();
            let resumed = stream("/talk/").with("Last-Event-Id", &last);
            let resumed = resumed.with("Resumes", &request.id);
            let response = deployment.send(other, &resumed).expect("a response");
            let joins = response.status == 200 && response.text().contains("v1.1") != *is_second;
            joins.then_some(&*request.id)
        })
        .collect();
    assert!(joined.is_empty(), "{} of {STREAMS} streams are of two versions", joined.len());
}

/// A stream whose route moves to another service is not joined with what a server of that one writes.
#[rstest]
fn stream_of_a_route_that_moved_is_not_joined_with_another_service(
    #[values(true, false)] names_attempt: bool,
    #[values("v1", "v2")] other_version: &str,
) {
    let mut deployment = deploy(&[("m-v1", "v1")]);
    let server = Server::start("other").expect("the server starts");
    server.set_version(other_version);
    server.set_pace(EVENTS, EVENT_INTERVAL);
    deployment.store.put("keyed.servers", "other", &server.entry("other", "ready"));
    deployment.servers.push(server);
    common_dispatcher(&deployment);
    let (running, mut lines) = begin(&deployment, 0, "/talk/");
    assert!(lines.any(|line| line == "id: 1"), "the stream begins");
    let model = format!(r#"{{"Name":"{MODEL}","MaxConns":50,"Engine":{{"Slots":8}}}}"#);
    let moved = configuration(2, "moved")
        .replace(&model, &format!("{model},{}", model.replace(MODEL, "other")))
        .replace(&format!("\"Service\":\"{MODEL}\""), "\"Service\":\"other\"");
    deployment.store.put("keyed.op", "config", &moved);
    for at in 0..INSTANCES {
        wait_for("the route has moved", || {
            deployment
                .send(at, &Request::get("/moved/"))
                .is_ok_and(|response| response.status != 404)
        });
        let mut resumed = stream("/talk/").with("Last-Event-Id", "190");
        if names_attempt {
            resumed = resumed.with("Resumes", &running.id);
        }
        let response = deployment.send(at, &resumed).expect("a response");
        assert_eq!(response.status, 503, "instance {at}: {}", response.text());
    }
}
