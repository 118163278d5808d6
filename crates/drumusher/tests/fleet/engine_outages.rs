//! A stream that has begun outlives the outages of its engines, and a request that crashes its engines is stopped.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use drumusher_bench::{
    client::Response,
    fleet::{Fleet, Relay, wait_for},
    stand_in::{Kind, engine::answer},
};
use rstest::rstest;

use crate::support::{MODEL, dispatcher, engine_stat, join_all, spawn_each, stream, switch};

/// Length of the streams, in tokens.
const TOKENS: u32 = 1_500;
/// Tokens of each stream between two breaks of a series; fewer than those that forget a failure.
const FEW_TOKENS: u64 = 6;
/// Short limits for silent engines.
const SETTINGS: &str = "[backend]\nstall_ms = 1000\nfirst_byte_ms = 1000\n";
/// First word of the prompt of the request that crashes its engine.
const CRASH: &str = "crash";
/// How long a full engine stays full after its first rejection.
const FULL_TIME: Duration = Duration::from_secs(5);
/// Time after which a crashed engine is back.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Number of outages in a series.
const OUTAGES: usize = 8;
/// Length of an outage in a series, and time between two. A stream gets fewer tokens in it than forget a failure.
const OUTAGE_TIME: Duration = Duration::from_millis(400);

type Stream = JoinHandle<(String, Response)>;

/// What happens to connections after the running ones broke.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Next {
    Refused,
    Closed,
    Served,
    ClosedOnceRead,
    Status500,
    Status503,
    Silent,
}

/// Forwards connections to an engine, reading the beginning of each request.
#[derive(Default)]
struct Gate {
    /// Whether connections are closed once a request was read.
    closes: AtomicBool,
    /// Arrivals of the request that crashes its engine.
    arrivals: AtomicUsize,
    /// Whether the next arrival ends the engine.
    crashes: AtomicBool,
    /// Whether the engine ended and is not back.
    ended: AtomicBool,
    relay: OnceLock<Relay>,
}

/// An engine behind a relay and a gate.
struct Engine {
    address: String,
    gate: Arc<Gate>,
}

impl Gate {
    fn start(engine: SocketAddr) -> Arc<Gate> {
        let gate = Arc::new(Gate::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let _ = gate.relay.set(Relay::new(address).expect("the relay starts"));
        let shared = gate.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let gate = shared.clone();
                thread::spawn(move || gate.forward(client, engine));
            }
        });
        gate
    }

    fn relay(&self) -> &Relay {
        self.relay.get().expect("it was started")
    }

    fn forward(&self, mut client: TcpStream, engine: SocketAddr) {
        let Ok(mut target) = TcpStream::connect(engine) else { return };
        let (Ok(mut from), Ok(mut to)) = (target.try_clone(), client.try_clone()) else { return };
        thread::spawn(move || {
            let _ = std::io::copy(&mut from, &mut to);
            let _ = to.shutdown(Shutdown::Both);
        });
        let mut chunk = [0; 64 * 1024];
        while let Ok(length @ 1..) = client.read(&mut chunk) {
            let text = String::from_utf8_lossy(&chunk[..length]);
            if self.closes.load(Ordering::Acquire) {
                break;
            }
            if text.contains(&format!("\"{CRASH} tell\"")) {
                self.arrivals.fetch_add(1, Ordering::AcqRel);
                if self.crashes.load(Ordering::Acquire) {
                    self.crash();
                }
            }
            if target.write_all(&chunk[..length]).is_err() {
                break;
            }
        }
        let _ = client.shutdown(Shutdown::Both);
        let _ = target.shutdown(Shutdown::Both);
    }

    /// Ends the engine: all connections break, and the next ones are refused.
    fn crash(&self) {
        // Before the connections break, so that whoever sees one break knows that the engine ended.
        self.ended.store(true, Ordering::Release);
        self.relay().refuse(true).expect("it stops listening");
    }
}

impl Engine {
    /// Breaks the running connections, and treats the next ones as told.
    fn fail(&self, next: Next) {
        let relay = self.gate.relay();
        match next {
            Next::Refused => relay.refuse(true).expect("it stops listening"),
            Next::Closed => relay.cut(true),
            Next::ClosedOnceRead => self.gate.closes.store(true, Ordering::Release),
            Next::Status500 => switch(&self.address, r#"{"fail": true}"#),
            Next::Status503 => switch(&self.address, r#"{"full": true}"#),
            Next::Silent => switch(&self.address, r#"{"hang": true}"#),
            Next::Served => {}
        }
        relay.reset();
    }

    fn recover(&self, next: Next) {
        let relay = self.gate.relay();
        match next {
            Next::Refused => relay.refuse(false).expect("it listens"),
            Next::Closed => relay.cut(false),
            Next::ClosedOnceRead => self.gate.closes.store(false, Ordering::Release),
            _ => switch(&self.address, r#"{"fail": false, "full": false, "hang": false}"#),
        }
    }
}

/// A fleet whose engines are behind relays.
fn fleet_behind_relays(instances: usize, engines: usize) -> (Fleet, Vec<Engine>) {
    let mut fleet = Fleet::new(env!("CARGO_BIN_EXE_drumusher")).expect("the stand-ins start");
    fleet = fleet.with_settings(SETTINGS);
    let mut all = Vec::new();
    for number in 0..engines {
        let name = format!("engine-{number}");
        let address =
            fleet.add_backend(Kind::Engine, &name, "suva", MODEL).expect("an engine starts");
        let gate = Gate::start(address);
        fleet.backends[number].address = gate.relay().address();
        let address = address.to_string();
        switch(&address, r#"{"step_ms": 20.0}"#);
        all.push(Engine { address, gate });
    }
    for number in 0..instances {
        fleet.add_instance(&format!("suva-{number}"), "suva").expect("an instance starts");
    }
    fleet.wait_ready();
    fleet.configure();
    fleet.wait_converged();
    (fleet, all)
}

/// Starts streams of both classes, in turn, at all instances but `spared`.
fn start(fleet: &Fleet, count: usize, spared: Option<usize>) -> Vec<Stream> {
    let entries = (0..fleet.instances.len()).filter(|number| Some(*number) != spared);
    let entries: Vec<String> = entries.map(|number| fleet.instances[number].http.clone()).collect();
    spawn_each(count, move |number| {
        let tag = format!("t{number}");
        let class = ["urgent", "summary"][number % 2];
        let http = &entries[number % entries.len()];
        let response = stream(http, class, &tag, TOKENS).expect("a response");
        (tag, response)
    })
}

fn sum(engines: &[Engine], what: &str) -> u64 {
    engines.iter().map(|engine| engine_stat(&engine.address, what)).sum()
}

fn logged(fleet: &Fleet, text: &str) -> usize {
    fleet.instances.iter().map(|instance| instance.lines().matches(text).count()).sum()
}

/// Waits until `count` streams run and have `tokens` tokens each on average, or one was cut.
fn wait_for_tokens(fleet: &Fleet, engines: &[Engine], count: usize, tokens: u64) {
    wait_for("the streams run", || {
        sum(engines, "running") == count as u64 || logged(fleet, "request ended") > 0
    });
    let before = sum(engines, "tokens");
    wait_for("the streams have tokens", || {
        sum(engines, "tokens") >= before + tokens * count as u64
            || logged(fleet, "request ended") > 0
    });
}

/// Lets the engines finish soon, and asserts that the streams are whole. Prints the log of the instances otherwise.
fn assert_all_whole(fleet: &Fleet, engines: &[Engine], streams: Vec<Stream>) {
    engines.iter().for_each(|engine| switch(&engine.address, r#"{"step_ms": 1.0}"#));
    let (whole, cut) = join(streams);
    let lines: Vec<String> = fleet.instances.iter().map(|instance| instance.lines()).collect();
    let all = whole + cut.len();
    println!("OUTCOME whole {whole} of {all}");
    if !cut.is_empty() || std::env::var_os("SHOW_LINES").is_some() {
        println!("{}", lines.join("\n"));
    }
    assert!(cut.is_empty(), "{whole} of {all} whole\n{}", cut.join("\n"));
}

/// Number of whole streams, and the ends of the others.
fn join(streams: Vec<Stream>) -> (usize, Vec<String>) {
    let (mut whole, mut cut) = (0, Vec::new());
    for (tag, response) in join_all(streams) {
        if response.streamed_text() == answer(&tag, TOKENS)
            && response.body.ends_with("data: [DONE]\n\n")
        {
            whole += 1;
            continue;
        }
        let events = response.body.matches("\"token_index\"").count();
        let last = response.body.trim_end().rsplit("\n\n").next().unwrap_or("").to_string();
        cut.push(format!("{tag}: {events} tokens, {last}"));
    }
    (whole, cut)
}

/// Breaks the engines until `rejected` attempts failed beside those that were running, and waits for tokens.
fn outage(fleet: &Fleet, engines: &[Engine], count: usize, next: Next, rejected: usize) {
    let before = logged(fleet, "attempt ended");
    engines.iter().for_each(|engine| engine.fail(next));
    wait_for("attempts failed", || {
        logged(fleet, "attempt ended") >= before + count + rejected
            || logged(fleet, "request ended") > 0
    });
    if next == Next::Status503 && rejected > 0 {
        thread::sleep(FULL_TIME);
    }
    engines.iter().for_each(|engine| engine.recover(next));
    wait_for_tokens(fleet, engines, count, FEW_TOKENS);
}

/// Guards against a stream that is cut in one outage, which lasts for several probes.
#[rstest]
fn streams_outlive_an_outage(
    #[values(
        Next::Refused,
        Next::Closed,
        Next::Served,
        Next::ClosedOnceRead,
        Next::Status500,
        Next::Status503,
        Next::Silent
    )]
    next: Next,
    #[values(1, 12)] count: usize,
    #[values(1, 2)] engine_count: usize,
) {
    let (fleet, engines) = fleet_behind_relays(1, engine_count);
    let streams = start(&fleet, count, None);
    wait_for_tokens(&fleet, &engines, count, 40);
    let rejected = match next {
        Next::Served => 0,
        // Its load reports withhold further attempts.
        Next::Status503 => engine_count.min(count),
        _ => 5 * engine_count,
    };
    outage(&fleet, &engines, count, next, rejected);
    assert_all_whole(&fleet, &engines, streams);
}

/// Guards against streams that are cut because they wait for a probe of an engine that refused several.
#[rstest]
#[case::two(2)]
#[case::three(3)]
#[case::four(4)]
#[case::five(5)]
#[case::six(6)]
fn streams_outlive_refused_probes(#[case] probes: usize) {
    let (fleet, engines) = fleet_behind_relays(1, 1);
    let streams = start(&fleet, 12, None);
    wait_for_tokens(&fleet, &engines, 12, 40);
    engines[0].fail(Next::Refused);
    // All attempts broke, and one was rejected before the engine counted as down.
    let failed = 12 + 1 + probes;
    wait_for("probes failed", || {
        logged(&fleet, "attempt ended") >= failed || logged(&fleet, "request ended") > 0
    });
    engines[0].recover(Next::Refused);
    wait_for_tokens(&fleet, &engines, 12, FEW_TOKENS);
    assert_all_whole(&fleet, &engines, streams);
}

/// Guards against streams that are cut by a series of outages with few tokens between them.
#[rstest]
fn streams_outlive_a_series(
    #[values(
        Next::Refused,
        Next::Closed,
        Next::Served,
        Next::ClosedOnceRead,
        Next::Status500,
        Next::Status503,
        Next::Silent
    )]
    next: Next,
    #[values(1, 12)] count: usize,
    #[values(1, 2)] engine_count: usize,
) {
    let (fleet, engines) = fleet_behind_relays(1, engine_count);
    let streams = start(&fleet, count, None);
    wait_for_tokens(&fleet, &engines, count, 40);
    for _ in 0..OUTAGES {
        engines.iter().for_each(|engine| engine.fail(next));
        thread::sleep(OUTAGE_TIME);
        engines.iter().for_each(|engine| engine.recover(next));
        thread::sleep(OUTAGE_TIME);
    }
    assert_all_whole(&fleet, &engines, streams);
}

/// Guards against streams that are cut because the member lists miss their engine for a while.
#[rstest]
#[case::same_name("engine-0")]
#[case::another_name("engine-9")]
fn streams_outlive_a_removal_of_their_engine(#[case] name: &str) {
    let (mut fleet, engines) = fleet_behind_relays(1, 1);
    let streams = start(&fleet, 12, None);
    wait_for_tokens(&fleet, &engines, 12, 40);
    let mut backend = fleet.backends.remove(0);
    fleet.publish().expect("the member lists are updated");
    wait_for("the engine is not listed", || {
        let response = stream(&fleet.instances[0].http, "urgent", "new", 2);
        response.expect("a response").status != 200
    });
    engines[0].fail(Next::Refused);
    wait_for("the attempts broke", || logged(&fleet, "attempt ended") >= 12);
    backend.name = name.into();
    fleet.backends.push(backend);
    engines[0].recover(Next::Refused);
    fleet.publish().expect("the member lists are updated");
    wait_for_tokens(&fleet, &engines, 12, FEW_TOKENS);
    assert_all_whole(&fleet, &engines, streams);
}

/// Guards against streams that are cut because their dispatcher is killed in an outage.
#[test]
fn streams_outlive_an_outage_and_their_dispatcher() {
    let (mut fleet, engines) = fleet_behind_relays(3, 1);
    let http = fleet.instances[0].http.clone();
    assert_eq!(stream(&http, "urgent", "first", 3).expect("a response").status, 200);
    let lost = dispatcher(&fleet, "model:draft");
    let streams = start(&fleet, 12, Some(lost));
    wait_for_tokens(&fleet, &engines, 12, 40);
    engines[0].fail(Next::Refused);
    wait_for("probes failed", || logged(&fleet, "attempt ended") >= 14);
    fleet.instances[lost].kill();
    let before = logged(&fleet, "attempt ended");
    wait_for("probes of another dispatcher failed", || {
        logged(&fleet, "attempt ended") >= before + 3 || logged(&fleet, "request ended") > 0
    });
    engines[0].recover(Next::Refused);
    wait_for_tokens(&fleet, &engines, 12, FEW_TOKENS);
    assert_all_whole(&fleet, &engines, streams);
}

/// Guards against a begun request that crashes its engine each time without a bound. Prints how many of the streams
/// beside it are whole.
#[rstest]
fn a_begun_request_that_crashes_its_engines_is_stopped(
    #[values(1, 3)] instances: usize,
    #[values(1, 2)] engine_count: usize,
    #[values(0, 6)] innocent: usize,
) {
    let (fleet, engines) = fleet_behind_relays(instances, engine_count);
    let streams = start(&fleet, innocent, None);
    let http = fleet.instances[0].http.clone();
    let crashing =
        thread::spawn(move || stream(&http, "urgent", CRASH, TOKENS).expect("a response"));
    wait_for_tokens(&fleet, &engines, innocent + 1, 40);
    let arrivals = || -> usize {
        engines.iter().map(|engine| engine.gate.arrivals.load(Ordering::Acquire)).sum()
    };
    assert_eq!(arrivals(), 1);
    let mut restarting: Vec<Option<Instant>> = vec![None; engine_count];
    for engine in &engines {
        engine.gate.crashes.store(true, Ordering::Release);
        if engine.gate.arrivals.load(Ordering::Acquire) > 0 {
            engine.gate.crash();
        }
    }
    wait_for("the crashing request is stopped", || {
        for (engine, since) in engines.iter().zip(&mut restarting) {
            if !engine.gate.ended.load(Ordering::Acquire) {
                continue;
            }
            if since.get_or_insert_with(Instant::now).elapsed() >= RESTART_TIME {
                *since = None;
                engine.gate.ended.store(false, Ordering::Release);
                engine.gate.relay().refuse(false).expect("it listens");
            }
        }
        crashing.is_finished()
    });
    for engine in &engines {
        if engine.gate.ended.load(Ordering::Acquire) {
            engine.gate.relay().refuse(false).expect("it listens");
        }
        switch(&engine.address, r#"{"step_ms": 1.0}"#);
    }
    let response = crashing.join().expect("the thread ends");
    let (whole, cut) = join(streams);
    println!(
        "OUTCOME arrivals {}, innocent streams whole {whole} of {innocent}\n{}",
        arrivals(),
        cut.join("\n")
    );
    if std::env::var_os("SHOW_LINES").is_some() {
        fleet.instances.iter().for_each(|instance| println!("{}", instance.lines()));
    }
    assert!(response.body.contains("incomplete"), "{}", response.body);
    assert!(arrivals() <= 4, "{} arrivals", arrivals());
}

/// Streams at an instance for a caller that waits for longer than 60 s for the next token.
fn patient_stream(http: &str, tag: &str) -> Response {
    let prompt = format!("{tag} tell");
    let body =
        serde_json::json!({"model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": true});
    crate::outage_series::exchange(http, "urgent", &body.to_string()).expect("a response")
}

/// Starts one such stream.
fn start_patient(fleet: &Fleet) -> Vec<Stream> {
    let http = fleet.instances[0].http.clone();
    spawn_each(1, move |_| ("t0".to_string(), patient_stream(&http, "t0")))
}

/// The engine that runs the only stream, other than those in `except`.
fn running_engine(engines: &[Engine], except: &[usize]) -> Option<usize> {
    (0..engines.len()).find(|number| {
        !except.contains(number) && engine_stat(&engines[*number].address, "running") == 1
    })
}

/// Guards against a stream that waits for an engine that does not come back while another one is idle.
#[test]
fn a_stream_goes_on_at_a_third_engine_after_two_were_lost() {
    let (fleet, engines) = fleet_behind_relays(1, 3);
    let streams = start_patient(&fleet);
    wait_for_tokens(&fleet, &engines, 1, 40);
    let first = running_engine(&engines, &[]).expect("an engine runs it");
    engines[first].fail(Next::Refused);
    let mut second = None;
    wait_for("another engine runs it", || {
        second = running_engine(&engines, &[first]);
        second.is_some()
    });
    let second = second.expect("it was found");
    thread::sleep(Duration::from_millis(100));
    engines[second].fail(Next::Refused);
    let since = Instant::now();
    while running_engine(&engines, &[first, second]).is_none()
        && logged(&fleet, "request ended") == 0
        && since.elapsed() < Duration::from_secs(100)
    {
        thread::sleep(Duration::from_millis(50));
    }
    let waited = since.elapsed();
    println!("OUTCOME the third engine was used, or the stream ended, after {waited:?}");
    assert_all_whole(&fleet, &engines, streams);
    assert!(waited < Duration::from_secs(10), "{waited:?}");
}

/// Guards against a stream that is cut because its engine answers the query for its load slowly, as over a long way.
#[test]
fn a_stream_outlives_a_break_of_a_slow_link() {
    let (mut fleet, engines) = {
        let mut fleet = Fleet::new(env!("CARGO_BIN_EXE_drumusher")).expect("the stand-ins start");
        let address =
            fleet.add_backend(Kind::Engine, "engine-0", "suva", MODEL).expect("an engine starts");
        let gate = Gate::start(address);
        fleet.backends[0].address = gate.relay().address();
        let address = address.to_string();
        switch(&address, r#"{"step_ms": 20.0}"#);
        (fleet, vec![Engine { address, gate }])
    };
    fleet.add_instance("suva-0", "suva").expect("an instance starts");
    fleet.wait_ready();
    fleet.configure();
    fleet.wait_converged();
    let streams = start_patient(&fleet);
    wait_for_tokens(&fleet, &engines, 1, 40);
    let relay = engines[0].gate.relay();
    relay.set(drumusher_bench::fleet::Mode::Delayed(Duration::from_millis(600)));
    thread::sleep(Duration::from_secs(3));
    relay.reset();
    let since = Instant::now();
    let before = engine_stat(&engines[0].address, "tokens");
    while engine_stat(&engines[0].address, "tokens") < before + 100
        && logged(&fleet, "request ended") == 0
        && since.elapsed() < Duration::from_secs(100)
    {
        thread::sleep(Duration::from_millis(50));
    }
    println!("OUTCOME it went on, or ended, after {:?}", since.elapsed());
    assert_all_whole(&fleet, &engines, streams);
}

/// Counts the arrivals of a begun request that its engine answers with status 500 each time, as a proxy does whose
/// engine crashes.
#[test]
fn a_begun_request_that_fails_with_a_status_arrives_seldom() {
    let (fleet, engines) = fleet_behind_relays(1, 1);
    let http = fleet.instances[0].http.clone();
    let crashing = thread::spawn(move || patient_stream(&http, CRASH));
    wait_for_tokens(&fleet, &engines, 1, 40);
    let since = Instant::now();
    engines[0].fail(Next::Status500);
    while !crashing.is_finished() && since.elapsed() < Duration::from_secs(100) {
        thread::sleep(Duration::from_millis(50));
    }
    let arrivals = engines[0].gate.arrivals.load(Ordering::Acquire);
    println!("OUTCOME arrivals {arrivals} in {:?}", since.elapsed());
    assert!(arrivals <= 12, "{arrivals} arrivals");
}

/// Guards against crashing requests that excuse one another.
#[rstest]
#[case::two(2)]
#[case::four(4)]
fn begun_requests_that_crash_the_same_engine_are_stopped(#[case] count: usize) {
    let (fleet, engines) = fleet_behind_relays(1, 1);
    let http = fleet.instances[0].http.clone();
    let crashing = spawn_each(count, move |_| patient_stream(&http, CRASH));
    wait_for_tokens(&fleet, &engines, count, 40);
    let engine = &engines[0];
    engine.gate.crashes.store(true, Ordering::Release);
    engine.gate.crash();
    let (since, mut ended) = (Instant::now(), Instant::now());
    while !crashing.iter().all(JoinHandle::is_finished)
        && since.elapsed() < Duration::from_secs(150)
    {
        if !engine.gate.ended.load(Ordering::Acquire) {
            ended = Instant::now();
        } else if ended.elapsed() >= RESTART_TIME {
            engine.gate.ended.store(false, Ordering::Release);
            engine.gate.relay().refuse(false).expect("it listens");
            ended = Instant::now();
        }
        thread::sleep(Duration::from_millis(5));
    }
    let arrivals = engine.gate.arrivals.load(Ordering::Acquire);
    println!("OUTCOME {count} requests, arrivals {arrivals} in {:?}", since.elapsed());
    assert!(arrivals <= 4 * count, "{arrivals} arrivals");
}
