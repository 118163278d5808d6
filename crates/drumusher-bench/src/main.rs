//! The `drumusher-bench` program.

use std::{env, net::TcpListener, process::ExitCode};

use drumusher_bench::{
    capacity, demo, failover, overhead,
    policy::{Decider, report, scenario},
    stand_in::{self, Kind},
};

const USAGE: &str = "\
Usage:
    drumusher-bench demo                 run a small fleet of processes and send requests
    drumusher-bench overhead             measure the latency and CPU time that an instance adds
    drumusher-bench failover             measure the latency of requests when a dispatcher fails
    drumusher-bench capacity             measure the growth of costs for docs/CAPACITY.md
    drumusher-bench policy [--ablate]    compare scheduling with baselines in virtual time
    drumusher-bench stand-in KIND [IP:PORT]
                                         serve a stand-in; KIND is engine, service, log or list";

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match arguments.as_slice() {
        ["demo"] => demo::run().map_err(|e| e.to_string()),
        ["overhead"] => overhead::run().map_err(|e| e.to_string()),
        ["failover"] => failover::run().map_err(|e| e.to_string()),
        ["capacity"] => capacity::run().map_err(|e| e.to_string()),
        ["policy"] => policy(&Decider::all()),
        ["policy", "--ablate"] => policy(&Decider::ablations()),
        ["memory", held, size] => capacity::memory::print(held, size),
        ["stand-in", kind] => stand_in(kind, "127.0.0.1:0"),
        ["stand-in", kind, address] => stand_in(kind, address),
        _ => Err(USAGE.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Runs all scenarios with each decider and prints the results.
fn policy(deciders: &[Decider]) -> Result<(), String> {
    let mut metrics = Vec::new();
    for scenario in scenario::all() {
        metrics.extend(deciders.iter().map(|decider| report::measure(&scenario, *decider)));
    }
    print!("{}", report::table(&metrics));
    Ok(())
}

/// Serves a stand-in until the process is terminated. Prints its address as the first line.
fn stand_in(kind: &str, address: &str) -> Result<(), String> {
    let kind = match kind {
        "engine" => Kind::Engine,
        "service" => Kind::Service,
        "log" => Kind::Log,
        "list" => Kind::List,
        other => return Err(format!("unknown kind of stand-in {other:?}")),
    };
    let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
    println!("{}", listener.local_addr().map_err(|e| e.to_string())?);
    stand_in::serve(kind, listener).map_err(|e| e.to_string())
}
