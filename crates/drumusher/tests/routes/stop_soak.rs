//! Randomized soak test of planned stops: callers keep using open connections until a process is gone, and stops, repeated
//! signals, reloads, changes of the configuration, pauses of servers and shortages of processor time come in series and
//! overlap. Each request that was sent around a stop has to end with a whole answer, unless it could not end in time.
//!
//! `cargo test -p drumusher --test routes -- stop_soak::` runs the seeds of CI.
//! `DRUMUSHER_STOP_SOAK=100..150 DRUMUSHER_STOP_SOAK_STOPS=12` runs other seeds, with this number of stops each, and
//! `DRUMUSHER_STOP_SOAK_INSTANCES=8` with another number of instances.

mod caller;
mod record;
mod stopper;

use std::{
    ops::Range,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use drumusher_adapter_stand_in::Server;

use self::{caller::Caller, record::Journal, stopper::Stopper};
use crate::support::{DESK, Deployment, MODEL, configuration, size};

/// Seeds that CI runs.
const CI_SEEDS: Range<u64> = 1..3;
/// Number of stops of each seed.
const STOPS: usize = 6;
/// Number of instances.
const INSTANCES: usize = 3;
/// Number of callers of each instance.
const CALLERS: u64 = 14;
/// Streams of the backend servers: number of events, and the time between two in milliseconds. Some streams outlast a stop.
const PACES: [(u64, u64); 4] = [(20, 40), (100, 40), (60, 60), (240, 40)];
/// Settings of a stop that accepts requests while the load balancer may send them.
const STOP_SETTINGS: &str = "accept_ms = 3000\nlongest_seconds = 8\n";

/// No request around a planned stop is lost, whatever comes with the stop.
#[test]
fn requests_around_stops_get_whole_answers() {
    let seeds = match std::env::var("DRUMUSHER_STOP_SOAK") {
        Ok(text) => {
            let (first, end) = text.split_once("..").expect("FIRST..END");
            first.parse().expect("a number")..end.parse().expect("a number")
        }
        Err(_) => CI_SEEDS,
    };
    let failed: Vec<u64> = seeds.filter(|seed| !run_seed(*seed)).collect();
    assert!(failed.is_empty(), "requests were lost with seeds {failed:?}");
}

/// Runs a seed and prints what it found. Returns whether no request was lost.
fn run_seed(seed: u64) -> bool {
    let mut deployment = deploy(size("DRUMUSHER_STOP_SOAK_INSTANCES", INSTANCES));
    let servers: Vec<Server> = deployment.servers.clone();
    let (journal, done) = (Journal::default(), AtomicBool::new(false));
    let addresses: Vec<_> = deployment.instances.iter().map(|i| i.http_address).collect();
    thread::scope(|scope| {
        for (at, address) in addresses.iter().enumerate() {
            for number in 0..CALLERS {
                let caller = Caller::new(seed, number, (at, *address), &journal);
                let done = &done;
                scope.spawn(move || caller.run(done));
            }
        }
        let mut stopper = Stopper::new(seed, &mut deployment, &journal);
        for _ in 0..size("DRUMUSHER_STOP_SOAK_STOPS", STOPS) {
            stopper.step();
        }
        stopper.finish();
        done.store(true, Ordering::Release);
    });
    let losses = journal.losses(&servers);
    println!("seed {seed}: {}; lost: {}", journal.summary(), losses.len());
    losses.iter().for_each(|loss| println!("  {loss}"));
    if !losses.is_empty() {
        deployment.keep_logs();
    }
    losses.is_empty()
}

fn deploy(instances: usize) -> Deployment {
    let mut deployment = Deployment::empty(false);
    for (number, (events, interval_ms)) in PACES.iter().enumerate() {
        let id = format!("m{number}");
        deployment.add_server(&id, MODEL);
        deployment.server(&id).set_pace(*events, Duration::from_millis(*interval_ms));
    }
    deployment.add_server("d0", DESK);
    deployment.add_server("d1", DESK);
    for number in 0..instances {
        let endpoint = deployment.store.endpoint().expect("the store endpoint starts");
        deployment.add_instance_with(&format!("i{number}"), endpoint, "");
        deployment.set_stop(number, STOP_SETTINGS);
    }
    let routes = stopper::with_long_timeouts(&configuration(1, ""));
    deployment.store.put("keyed.op", "config", &routes);
    deployment.wait_serving();
    deployment
}
