//! Randomized soak test of streams that are taken up: callers take streams up after a break, while the first run goes on, and
//! at two instances at once, while releases, kills, stops, pauses, lost connections and crashes come in series and overlap.
//! What callers received is judged response by response, and over each chain of responses that one caller joined.
//!
//! | module | task |
//! |---|---|
//! | `caller` | begins streams and takes them up |
//! | `record` | records what callers received and judges it |
//! | `trouble` | draws troubles from a seed, and ends them |
//!
//! `cargo test -p drumusher --test routes -- order_soak::` runs the seeds of CI.
//! `DRUMUSHER_ORDER_SOAK=100..150 DRUMUSHER_ORDER_SOAK_SECONDS=12` runs other seeds, for this long each, and
//! `DRUMUSHER_ORDER_SOAK_INSTANCES=8` with another number of instances.

mod caller;
mod record;
mod trouble;

use std::{
    ops::Range,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Fault, Server};
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use self::{caller::Caller, record::Journal, trouble::Injector};
use crate::support::{Deployment, MODEL, OPERATOR, Request, configuration, operator_query, size};

/// Seeds that CI runs.
const CI_SEEDS: Range<u64> = 1..3;
/// Number of instances.
const INSTANCES: usize = 4;
/// Number of callers, and of backend servers of each service.
const CALLERS: u64 = 24;
const SERVERS: usize = FRAMINGS.len();
/// Slots of a backend server. Streams have to wait when some servers are gone.
const SLOTS: usize = 3;
/// Time for which troubles are injected, in seconds.
const TROUBLE_SECONDS: usize = 6;
/// Number of events of a stream, and the time between two.
const EVENTS: u64 = 30;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// The second service, which streams of its own route use.
const OTHER: &str = "other";
/// Paths of the routes whose streams may be taken up.
const PATHS: [&str; 2] = ["/talk/", "/draft/"];
/// How the backend servers delimit their streams.
const FRAMINGS: [Fault; 3] = [Fault::None, Fault::UnframedStream, Fault::SizedStream];

/// Whatever happens, a stream has each event once, in order, of one service and one software version, and none ends before its
/// last event.
#[rstest]
#[case::while_routes_stay(false)]
#[case::while_routes_move(true)]
fn streams_that_are_taken_up_stay_whole(#[case] routes_move: bool) {
    let seeds = match std::env::var("DRUMUSHER_ORDER_SOAK") {
        Ok(text) => {
            let (first, end) = text.split_once("..").expect("FIRST..END");
            first.parse().expect("a number")..end.parse().expect("a number")
        }
        Err(_) => CI_SEEDS,
    };
    let failed: Vec<u64> = seeds.filter(|seed| !run_seed(*seed, routes_move)).collect();
    assert!(failed.is_empty(), "streams were not whole with seeds {failed:?}");
}

/// Runs a seed and prints what it found. Returns whether all streams were in order.
fn run_seed(seed: u64, routes_move: bool) -> bool {
    let mut deployment = deploy(size("DRUMUSHER_ORDER_SOAK_INSTANCES", INSTANCES));
    let time = size("DRUMUSHER_ORDER_SOAK_SECONDS", TROUBLE_SECONDS);
    let relays = deployment.instances.iter().filter_map(|instance| instance.relays.as_ref());
    let addresses: Vec<_> = relays.map(|relays| relays.callers.address()).collect();
    let (journal, done) = (Journal::default(), AtomicBool::new(false));
    thread::scope(|scope| {
        for number in 0..CALLERS {
            let caller = Caller::new(seed, number, &addresses, &journal);
            let done = &done;
            scope.spawn(move || caller.run(done));
        }
        let since = Instant::now();
        let time = Duration::from_secs(time as u64);
        let mut injector = Injector::new(seed, &mut deployment, since + time / 3, routes_move);
        while since.elapsed() < time {
            injector.step();
        }
        injector.recover_all();
        done.store(true, Ordering::Release);
    });
    let violations = journal.violations(&deployment.servers);
    println!(
        "seed {seed}, routes move: {routes_move}: {}; out of order: {}",
        journal.summary(),
        violations.len()
    );
    violations.iter().for_each(|line| println!("  {line}"));
    if !violations.is_empty() {
        deployment.keep_logs();
    }
    assert!(journal.taken_up() > 0, "seed {seed}: no stream was taken up");
    violations.is_empty()
}

fn deploy(instances: usize) -> Deployment {
    let mut deployment = Deployment::empty(true);
    for (number, framing) in FRAMINGS.into_iter().enumerate() {
        for service in [MODEL, OTHER] {
            let server = start_server(&format!("{service}{number}"), framing, "v1");
            register(&deployment, &server, service, "ready");
            deployment.servers.push(server);
        }
    }
    for number in 0..instances {
        let store_endpoint = deployment.store.endpoint().expect("the store endpoint starts");
        deployment.add_instance_with(&format!("i{number}"), store_endpoint, OPERATOR);
    }
    deployment.store.put("keyed.op", "config", &routes(1, MODEL));
    for instance in &deployment.instances {
        wait_for("the instance is ready", || instance.ready());
        wait_for("all are listed", || {
            let listed = operator_query(instance, "show instances");
            (0..instances).all(|other| listed.contains(&format!("\"i{other}\"")))
        });
    }
    for path in PATHS {
        let response = deployment.send(0, &Request::get(path)).expect("a response");
        assert_eq!(response.status, 200, "{path}: {}", response.text());
    }
    deployment
}

fn start_server(id: &str, framing: Fault, version: &str) -> Server {
    let server = Server::start(id).expect("the server starts");
    server.set_version(version);
    server.set_pace(EVENTS, EVENT_INTERVAL);
    server.set(framing);
    server
}

fn register(deployment: &Deployment, server: &Server, service: &str, state: &str) {
    let entry = server.entry(service, state);
    let entry = entry.replace("\"Slots\":8", &format!("\"Slots\":{SLOTS}"));
    deployment.store.put("keyed.servers", &server.name(), &entry);
}

/// The configuration, in which the first path goes to `service`, and the second one to [`OTHER`].
fn routes(version: u64, service: &str) -> String {
    let model = format!(r#"{{"Name":"{MODEL}","MaxConns":50,"Engine":{{"Slots":8}}}}"#);
    let other = model.replace(MODEL, OTHER);
    let target = |service: &str, resumable: bool| {
        format!(
            r#""Service":"{service}","MaxAttempts":2,"TargetGapMs":200,"Resumable":{resumable}"#
        )
    };
    configuration(version, "")
        .replace("\"TimeoutMs\":3000", "\"TimeoutMs\":12000")
        .replace(&model, &format!("{model},{other}"))
        .replace(&target(MODEL, true), &target(service, true))
        .replace(&target(MODEL, false), &target(OTHER, true))
}
