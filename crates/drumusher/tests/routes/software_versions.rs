//! Backend servers of several software versions: what they write does not fit together, so that a stream goes on only at
//! the version that began it.

use std::{
    collections::BTreeSet,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Crash, Ending, Server};
use drumusher_bench::fleet::{Mode, wait_for};
use rstest::rstest;

use crate::support::{
    Deployment, Instance, MODEL, OPERATOR, Relays, Request, Response, configuration,
    operator_query, read_response,
};

/// Engines of each version.
const ENGINES: usize = 3;
const VERSIONS: [&str; 2] = ["v1", "v1.1"];
const STREAMS: usize = 24;
/// Number of events of a stream, and the time between two.
const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// When the trouble begins.
const TROUBLE_AT: Duration = Duration::from_millis(900);
/// How long a caller goes on taking its stream up, and the pause between two tries.
const CALLER_TIME: Duration = Duration::from_secs(8);
const CALLER_PAUSE: Duration = Duration::from_millis(150);
/// Minimum number of streams that an instance out of step is asked to take up.
const RESUMED: usize = 6;
/// How long callers turn to an instance before, and after, it is in step again.
const OUT_OF_STEP: Duration = Duration::from_millis(1_200);
/// Pause after the restart of an instance.
const RESTART_PAUSE: Duration = Duration::from_millis(700);

/// What happens to a deployment while streams run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// One engine of each version ends.
    OneEngineOfEach,
    /// All engines of the first version end.
    AllEnginesOfOne,
    /// One instance is killed.
    OneInstance,
    /// No instance reaches the store, and one is killed.
    StoreAndOneInstance,
    /// Three of four instances are killed.
    ThreeInstances,
    /// One instance reaches neither the store nor the others, and another one is killed.
    CutOffAndKill,
    /// Three instances are killed and started again, one after the other.
    RestartsInSeries,
    /// All instances are killed and started again at once, after the last engine of the first version left the list, if
    /// there is another one.
    AllInstances,
}

fn deploy(instances: usize, versions: &[&str]) -> Deployment {
    let mut deployment = Deployment::empty(true);
    for (at, version) in versions.iter().enumerate() {
        for number in 0..ENGINES {
            let id = format!("m{at}{number}");
            let server = Server::start(&id).expect("the server starts");
            server.set_version(version);
            server.set_pace(EVENTS, EVENT_INTERVAL);
            deployment.store.put("keyed.servers", &id, &server.entry(MODEL, "ready"));
            deployment.servers.push(server);
        }
    }
    for number in 0..instances {
        let store_endpoint = deployment.store.endpoint().expect("the store endpoint starts");
        deployment.add_instance_with(&format!("i{number}"), store_endpoint, OPERATOR);
    }
    let routes = configuration(1, "").replace("\"TimeoutMs\":3000", "\"TimeoutMs\":12000");
    deployment.store.put("keyed.op", "config", &routes);
    for at in 0..instances {
        wait_for("the instance is ready", || deployment.instances[at].ready());
        wait_for("all are listed", || {
            let listed = operator_query(&deployment.instances[at], "show instances");
            (0..instances).all(|other| listed.contains(&format!("\"i{other}\"")))
        });
    }
    deployment
}

/// A stream as its caller got it.
#[derive(Debug, Default)]
struct Received {
    numbers: Vec<u64>,
    versions: BTreeSet<String>,
    /// Whether the caller had to take it up.
    taken_up: bool,
}

impl Received {
    /// Adds the complete events of a response.
    fn add(&mut self, text: &str) {
        let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
        for event in complete.split("\n\n").filter(|event| !event.is_empty()) {
            let (number, data) = event.split_once('\n').expect("a number and data");
            self.numbers.push(number["id: ".len()..].parse().expect("a number"));
            let version = data.split(' ').nth(4).unwrap_or("v1");
            self.versions.insert(version.into());
        }
    }

    fn is_whole(&self) -> bool {
        self.numbers == (1..=EVENTS).collect::<Vec<_>>()
    }
}

/// Sends a request to an instance; `None` if it does not respond.
fn send(address: SocketAddr, request: &Request) -> Option<Response> {
    let mut conn = TcpStream::connect(address).ok()?;
    conn.set_read_timeout(Some(CALLER_TIME)).ok()?;
    conn.write_all(&request.bytes()).ok()?;
    read_response(&mut conn).ok()
}

/// Receives a stream, and takes it up at the instance `next` when it is cut off. The caller may name the attempt that
/// began it.
fn receive(
    addresses: &[SocketAddr],
    number: usize,
    names_attempt: bool,
    next: impl Fn(usize) -> usize,
) -> Received {
    // Without the parts of its prompt a request may run on any engine.
    let first = Request::get(&format!("/talk/{number}")).without("Drumusher-Prompt-Prefix");
    let (began, mut at) = (Instant::now(), number % addresses.len());
    let mut received = Received::default();
    let mut request = first.clone();
    while began.elapsed() < CALLER_TIME && !received.is_whole() {
        let response = send(addresses[at], &request);
        if let Some(response) = response.filter(|response| response.status == 200) {
            received.add(&response.text());
        }
        at = next(at);
        let Some(last) = received.numbers.last() else { continue };
        received.taken_up |= !received.is_whole();
        let request_again = first.with_new_id().with("Last-Event-Id", &last.to_string());
        request = request_again;
        if names_attempt {
            request = request.with("Resumes", &first.id);
        }
        thread::sleep(CALLER_PAUSE);
    }
    received
}

fn end_engines(deployment: &Deployment, ends: impl Fn(&str) -> bool) {
    for server in deployment.servers.iter().filter(|server| ends(&server.id)) {
        let server = server.clone();
        let crash = Crash {
            path: "/".into(),
            part: None,
            events: 0,
            after: Duration::ZERO,
            ending: Ending::Closed,
            down: Duration::from_secs(60),
            renamed: false,
            service: MODEL.into(),
            store: deployment.store.clone(),
        };
        thread::spawn(move || server.crash(&crash));
    }
}

fn relays(instance: &Instance) -> &Relays {
    instance.relays.as_ref().expect("the instance has relays")
}

fn befall(deployment: &mut Deployment, trouble: Trouble) {
    match trouble {
        Trouble::OneEngineOfEach => end_engines(deployment, |id| id.ends_with('0')),
        Trouble::AllEnginesOfOne => end_engines(deployment, |id| id.starts_with("m0")),
        Trouble::OneInstance => deployment.instances[1].kill(),
        Trouble::StoreAndOneInstance => {
            deployment.instances.iter().for_each(|i| relays(i).store.set(Mode::Stalled));
            deployment.instances[1].kill();
        }
        Trouble::ThreeInstances => deployment.instances[1..].iter_mut().for_each(Instance::kill),
        Trouble::CutOffAndKill => {
            deployment.instances.iter().for_each(|i| relays(i).peers.set(Mode::Stalled));
            relays(&deployment.instances[0]).store.set(Mode::Stalled);
            deployment.instances[2].kill();
        }
        Trouble::AllInstances => {
            let versions = || deployment.store.newest("keyed.contacts", "versions/service:model");
            wait_for("the versions are in the store", || versions().is_some());
            if versions().is_some_and(|versions| versions.contains(VERSIONS[1])) {
                let first = deployment.servers.iter().filter(|server| server.id.starts_with("m0"));
                first.for_each(|server| deployment.store.remove("keyed.servers", &server.id));
            }
            deployment.instances.iter_mut().for_each(Instance::kill);
            deployment.instances.iter_mut().for_each(Instance::restart);
        }
        Trouble::RestartsInSeries => {
            for instance in &mut deployment.instances[1..] {
                instance.kill();
                instance.restart();
                thread::sleep(RESTART_PAUSE);
            }
        }
    }
}

/// Runs streams through a trouble. Returns what their callers got.
fn run(deployment: &mut Deployment, trouble: Trouble, names_attempt: bool) -> Vec<Received> {
    let addresses: Vec<SocketAddr> =
        deployment.instances.iter().map(|instance| instance.http_address).collect();
    // The caller of an instance that was killed turns to the one that is left or cut off, or to the next one.
    let next = |at: usize| match trouble {
        Trouble::ThreeInstances => 0,
        Trouble::CutOffAndKill => {
            if at == 2 {
                0
            } else {
                at
            }
        }
        _ => (at + 1) % addresses.len(),
    };
    thread::scope(|scope| {
        let (addresses, next) = (&addresses, &next);
        let callers: Vec<_> = (0..STREAMS)
            .map(|number| scope.spawn(move || receive(addresses, number, names_attempt, next)))
            .collect();
        thread::sleep(TROUBLE_AT);
        befall(deployment, trouble);
        callers.into_iter().map(|caller| caller.join().expect("a stream")).collect()
    })
}

/// A stream goes on only at the version that began it, whoever takes it up, and whatever happens meanwhile. At least half
/// of those that are taken up go on while servers of their version are left.
#[rstest]
fn stream_goes_on_only_at_the_version_that_began_it(
    #[values(
        Trouble::OneEngineOfEach,
        Trouble::AllEnginesOfOne,
        Trouble::OneInstance,
        Trouble::ThreeInstances,
        Trouble::CutOffAndKill,
        Trouble::RestartsInSeries,
        Trouble::AllInstances
    )]
    trouble: Trouble,
    #[values(true, false)] names_attempt: bool,
) {
    let instances = if trouble == Trouble::OneEngineOfEach { 3 } else { 4 };
    let mut deployment = deploy(instances, &VERSIONS);
    let received = run(&mut deployment, trouble, names_attempt);
    let mixed = received.iter().filter(|stream| stream.versions.len() > 1).count();
    let taken_up: Vec<&Received> = received.iter().filter(|stream| stream.taken_up).collect();
    let went_on = taken_up.iter().filter(|stream| stream.is_whole()).count();
    let whole = received.iter().filter(|stream| stream.is_whole()).count();
    println!(
        "{trouble:?}: {whole} whole, {mixed} of two versions, {went_on} of {} went on",
        taken_up.len()
    );
    assert_eq!(mixed, 0, "{trouble:?}: streams of two versions");
    for stream in &received {
        let in_order = (1..).zip(&stream.numbers).all(|(due, number)| due == *number);
        assert!(in_order, "events are missing or come twice: {stream:?}");
    }
    if names_attempt && trouble == Trouble::AllInstances {
        // The engines of the first version are no longer listed.
        let second = received.iter().filter(|stream| stream.versions.contains(VERSIONS[1]));
        let second: Vec<&Received> = second.filter(|stream| stream.taken_up).collect();
        let went_on = second.iter().filter(|stream| stream.is_whole()).count();
        assert!(went_on * 2 >= second.len(), "{went_on} of {} went on", second.len());
        assert!(!second.is_empty(), "streams of the second version were taken up");
    } else if names_attempt && trouble != Trouble::AllEnginesOfOne {
        assert!(went_on * 2 >= taken_up.len(), "{went_on} of {} went on", taken_up.len());
    }
}

/// With one version, all streams go on, by their instance and by their callers.
#[rstest]
#[case(Trouble::OneEngineOfEach)]
#[case(Trouble::OneInstance)]
#[case(Trouble::AllInstances)]
#[case(Trouble::StoreAndOneInstance)]
fn all_streams_of_a_single_version_go_on(
    #[case] trouble: Trouble,
    #[values(true, false)] names_attempt: bool,
) {
    let mut deployment = deploy(4, &VERSIONS[..1]);
    let received = run(&mut deployment, trouble, names_attempt);
    let whole = received.iter().filter(|stream| stream.is_whole()).count();
    assert_eq!(whole, STREAMS, "{trouble:?}");
}

/// A stream that waits for a backend server is not given to one of a version that was added meanwhile.
#[test]
fn stream_that_waits_during_a_release_goes_on_at_the_version_that_began_it() {
    let mut deployment = Deployment::empty(false);
    let servers = VERSIONS.map(|version| {
        let server = Server::start(&format!("m-{version}")).expect("the server starts");
        server.set_version(version);
        server.set_pace(EVENTS, EVENT_INTERVAL);
        server
    });
    let list = |deployment: &Deployment, server: &Server| {
        let entry = server.entry(MODEL, "ready").replace("\"Slots\":8", "\"Slots\":1");
        deployment.store.put("keyed.servers", &server.id, &entry);
    };
    list(&deployment, &servers[0]);
    let store_endpoint = deployment.store.endpoint().expect("the store endpoint starts");
    deployment.add_instance_with("i0", store_endpoint, OPERATOR);
    let routes = configuration(1, "").replace("\"TimeoutMs\":3000", "\"TimeoutMs\":12000");
    deployment.store.put("keyed.op", "config", &routes);
    wait_for("the instance is ready", || deployment.instances[0].ready());
    let stream = |path: &str| Request::get(path).without("Drumusher-Prompt-Prefix");
    let runs_at = |server: &Server, path: &str| {
        server.runs().iter().filter(|run| run.request.path() == path).count()
    };
    thread::scope(|scope| {
        let deployment = &deployment;
        scope.spawn(|| deployment.send(0, &stream("/talk/running")).expect("a response"));
        wait_for("the server is full", || runs_at(&servers[0], "/talk/running") == 1);
        let resumed = stream("/talk/resumed").with("Last-Event-Id", "5");
        let resumed = scope.spawn(move || deployment.send(0, &resumed).expect("a response"));
        wait_for("the stream waits", || {
            operator_query(&deployment.instances[0], "show waiting").contains("model")
        });
        list(deployment, &servers[1]);
        scope.spawn(|| deployment.send(0, &stream("/talk/new")).expect("a response"));
        wait_for("the added server is in use", || runs_at(&servers[1], "/talk/new") == 1);
        let response = resumed.join().expect("a response");
        assert_eq!(response.status, 200, "{}", response.text());
    });
    assert_eq!(servers.each_ref().map(|server| runs_at(server, "/talk/resumed")), [1, 0]);
}

/// A stream whose version is not known does not run, and the answer says so and when to come back.
#[rstest]
#[case::of_an_unknown_attempt(Some("ffffffffffffffff"))]
#[case::of_no_attempt(None)]
fn stream_of_an_unknown_version_is_not_run(#[case] resumes: Option<&str>) {
    let deployment = deploy(2, &VERSIONS);
    let mut request = Request::get("/talk/unknown").with("Last-Event-Id", "5");
    if let Some(attempt) = resumes {
        request = request.with("Resumes", attempt);
    }
    for at in 0..2 {
        let response = deployment.send(at, &request.with_new_id()).expect("a response");
        assert_eq!(response.status, 503, "{}", response.text());
        assert!(response.text().contains(r#""ran":"no""#), "{}", response.text());
        assert!(response.header("retry-after").is_some());
    }
    let runs = deployment.servers.iter().flat_map(Server::runs);
    assert_eq!(runs.filter(|run| run.request.path() == "/talk/unknown").count(), 0);
}

/// How an instance falls out of step with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// It reaches neither the store nor the others.
    CutOff,
    /// It does not reach the store.
    CutOffFromStore,
    /// It does not reach the others.
    CutOffFromPeers,
    /// Its process is paused.
    Paused,
}

impl Fault {
    fn begin(self, deployment: &Deployment, at: usize) {
        self.set(deployment, at, Mode::Stalled, "STOP");
    }

    fn end(self, deployment: &Deployment, at: usize) {
        self.set(deployment, at, Mode::Open, "CONT");
    }

    fn set(self, deployment: &Deployment, at: usize, mode: Mode, signal: &str) {
        let instance = &deployment.instances[at];
        if self == Fault::Paused {
            return instance.signal(signal);
        }
        if self != Fault::CutOffFromStore {
            // A connection of two instances goes through the relay of the one that accepts it.
            deployment.instances.iter().for_each(|i| relays(i).peers.set(mode));
        }
        if self != Fault::CutOffFromPeers {
            relays(instance).store.set(mode);
        }
    }
}

/// What happens to the added version while the instance is out of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Added {
    /// Its engines stay.
    Stays,
    /// Its engines are no longer listed.
    Leaves,
}

/// Begins a stream. Returns its connection, if its first events come from an engine of this version.
fn begin(address: SocketAddr, request: &Request, version: &str) -> Option<TcpStream> {
    let mut conn = TcpStream::connect(address).ok()?;
    conn.set_read_timeout(Some(CALLER_TIME)).ok()?;
    conn.write_all(&request.bytes()).ok()?;
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    while !String::from_utf8_lossy(&received).contains("id: 3\n") {
        let length = conn.read(&mut buffer).ok().filter(|length| *length > 0)?;
        received.extend_from_slice(&buffer[..length]);
    }
    String::from_utf8_lossy(&received).contains(&format!(" {version}")).then_some(conn)
}

/// Begins streams at an added version through the other instances.
fn begin_at_added(deployment: &Deployment) -> Vec<(Request, TcpStream)> {
    let mut begun = Vec::new();
    let mut number = 0;
    wait_for("streams begin at the added version", || {
        let callers: Vec<_> = (1..deployment.instances.len())
            .map(|at| {
                number += 1;
                let request = Request::get(&format!("/talk/{number}"));
                let request = request.without("Drumusher-Prompt-Prefix");
                let address = deployment.instances[at].http_address;
                thread::spawn(move || {
                    begin(address, &request, VERSIONS[1]).map(|conn| (request, conn))
                })
            })
            .collect();
        begun.extend(callers.into_iter().filter_map(|caller| caller.join().expect("a stream")));
        begun.len() >= RESUMED
    });
    begun
}

/// Guards against streams that an instance out of step takes up at the only version that it knows.
#[rstest]
#[case::cut_off(Fault::CutOff, Added::Stays)]
#[case::cut_off(Fault::CutOff, Added::Leaves)]
#[case::cut_off_from_store(Fault::CutOffFromStore, Added::Stays)]
#[case::cut_off_from_store(Fault::CutOffFromStore, Added::Leaves)]
#[case::cut_off_from_peers(Fault::CutOffFromPeers, Added::Stays)]
#[case::cut_off_from_peers(Fault::CutOffFromPeers, Added::Leaves)]
#[case::paused(Fault::Paused, Added::Stays)]
#[case::paused(Fault::Paused, Added::Leaves)]
fn instance_out_of_step_does_not_join_streams_of_an_added_version(
    #[case] fault: Fault,
    #[case] added: Added,
    #[values(true, false)] names_attempt: bool,
) {
    let mut deployment = deploy(5, &VERSIONS[..1]);
    fault.begin(&deployment, 0);
    for number in 0..ENGINES {
        let server = Server::start(&format!("m1{number}")).expect("the server starts");
        server.set_version(VERSIONS[1]);
        server.set_pace(EVENTS, EVENT_INTERVAL);
        deployment.store.put("keyed.servers", &server.id, &server.entry(MODEL, "ready"));
        deployment.servers.push(server);
    }
    let begun = begin_at_added(&deployment);
    if added == Added::Leaves {
        let servers = deployment.servers[ENGINES..].iter();
        servers.for_each(|server| deployment.store.remove("keyed.servers", &server.id));
    }
    let healed = AtomicBool::new(false);
    let answers: Vec<Response> = thread::scope(|scope| {
        let (address, healed) = (deployment.instances[0].http_address, &healed);
        let callers: Vec<_> = begun
            .iter()
            .map(|(first, _)| {
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    loop {
                        let last_try = healed.load(Ordering::Acquire);
                        let mut request = first.with_new_id().with("Last-Event-Id", "3");
                        if names_attempt {
                            request = request.with("Resumes", &first.id);
                        }
                        answers.extend(send(address, &request));
                        if last_try || answers.last().is_some_and(|answer| answer.status == 200) {
                            return answers;
                        }
                        thread::sleep(CALLER_PAUSE);
                    }
                })
            })
            .collect();
        thread::sleep(OUT_OF_STEP);
        fault.end(&deployment, 0);
        thread::sleep(OUT_OF_STEP);
        healed.store(true, Ordering::Release);
        callers.into_iter().flat_map(|caller| caller.join().expect("answers")).collect()
    });
    let count = |status| answers.iter().filter(|answer| answer.status == status).count();
    let mut joined = 0;
    for answer in &answers {
        let mut received = Received::default();
        if answer.status == 200 {
            received.add(&answer.text());
        }
        joined += usize::from(received.versions.contains(VERSIONS[0]));
    }
    println!("{} answers, {} taken up, {joined} joined", answers.len(), count(200));
    assert_eq!(joined, 0, "{fault:?}, {added:?}: streams of two versions");
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert!(answer.text().contains(r#""ran":"no""#), "{}", answer.text());
        assert!(answer.header("retry-after").is_some());
    }
}

/// Guards against a stream that goes on at another service, to which its route was moved, since that has the same version.
#[test]
fn stream_does_not_go_on_at_another_service() {
    const OTHER: &str = "other";
    let deployment = deploy(2, &VERSIONS[..1]);
    let server = Server::start("other").expect("the server starts");
    server.set_pace(EVENTS, EVENT_INTERVAL);
    deployment.store.put("keyed.servers", &server.id, &server.entry(OTHER, "ready"));
    let talk = |path: &str| Request::get(path).without("Drumusher-Prompt-Prefix");
    let first = talk("/talk/begun");
    let begun = begin(deployment.instances[0].http_address, &first, "token");
    assert!(begun.is_some(), "the stream begins");
    let routes = configuration(2, "").replace("\"TimeoutMs\":3000", "\"TimeoutMs\":12000");
    let (before, after) = routes.split_once("\"Name\":\"talk\"").expect("the route");
    let after = after.replacen("\"Service\":\"model\"", "\"Service\":\"other\"", 1);
    let service = r#""Services":[{"Name":"other","MaxConns":50,"Engine":{"Slots":8}},"#;
    let after = after.replace("\"Services\":[", service);
    deployment.store.put("keyed.op", "config", &format!("{before}\"Name\":\"talk\"{after}"));
    let runs = |path: &str| server.runs().iter().filter(|run| run.request.path() == path).count();
    for at in 0..2 {
        wait_for("the route is moved", || {
            let path = format!("/talk/new{at}");
            let _ = begin(deployment.instances[at].http_address, &talk(&path), "token");
            runs(&path) > 0
        });
        let resumed = first.with_new_id().with("Last-Event-Id", "3").with("Resumes", &first.id);
        let response = deployment.send(at, &resumed).expect("a response");
        assert_eq!(runs("/talk/begun"), 0, "{}", response.status);
        assert_eq!(response.status, 503, "{}", response.text());
    }
}
