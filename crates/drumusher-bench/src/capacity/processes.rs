//! Cost of the control plane on an idle instance, by the number of instances in the fleet.

use std::{
    fmt::Write,
    io,
    time::{Duration, Instant},
};

use crate::{
    demo::{Processes, build_drumusher},
    fleet::{Fleet, key, wait_for},
    load,
    stand_in::Kind,
};

/// Instances in the three measurements.
const SIZES: [usize; 3] = [2, 4, 8];
/// Time for which each fleet is observed.
const OBSERVATION: Duration = Duration::from_secs(6);
/// Models, and thus pools, in each fleet: enough that every instance has connections to most others.
const MODELS: usize = 8;

/// Measures fleets of three sizes and returns a table in Markdown.
///
/// # Errors
///
/// Any I/O error of starting or querying processes.
pub fn measure() -> io::Result<String> {
    let mut text = String::from(
        "| instances | resident kB (mean) | % of a core (mean) | bytes/s to each other instance | \
         command in force everywhere, ms (p50, worst of 20) |\n|---|---|---|---|---|\n",
    );
    for size in SIZES {
        let fleet = fleet(size)?;
        // Requests through every instance establish the connections.
        for instance in &fleet.instances {
            load::closed(&instance.http, &key("vanua"), "urgent", (1, 2), 2);
        }
        let seconds: Vec<f64> = cpu_seconds(&fleet);
        let bytes: u64 = peer_bytes(&fleet);
        let since = Instant::now();
        wait_for("the observation ends", || since.elapsed() >= OBSERVATION);
        let observed = since.elapsed().as_secs_f64();
        let used: f64 =
            cpu_seconds(&fleet).iter().zip(&seconds).map(|(after, before)| after - before).sum();
        let sent = peer_bytes(&fleet) - bytes;
        let resident: u64 = fleet.instances.iter().filter_map(|i| i.resident_kb()).sum();
        let (median, worst) = command_latency(&fleet)?;
        let pairs = (size * (size - 1)) as f64;
        let _ = writeln!(
            text,
            "| {size} | {} | {:.2} | {:.0} | {median:.0}, {worst:.0} |",
            resident / size as u64,
            100.0 * used / observed / size as f64,
            sent as f64 / observed / pairs,
        );
    }
    Ok(text)
}

/// Starts a fleet in one availability zone with an engine for each model.
fn fleet(instances: usize) -> io::Result<Fleet<Processes>> {
    let mut fleet = Fleet::with_starter(build_drumusher()?, Processes::default())?;
    fleet = fleet.with_default_intervals();
    for number in 0..MODELS {
        let (name, model) = (format!("engine-{number}"), format!("model-{number}"));
        let serves = if number == 0 { "draft" } else { &model };
        fleet.add_backend(Kind::Engine, &name, "suva-hall", serves)?;
    }
    for number in 0..instances {
        fleet.add_instance(&format!("suva-{number}"), "suva-hall")?;
    }
    fleet.wait_ready();
    fleet.configure();
    fleet.wait_converged();
    Ok(fleet)
}

/// CPU time used by each instance, in seconds.
fn cpu_seconds(fleet: &Fleet<Processes>) -> Vec<f64> {
    fleet.instances.iter().filter_map(|instance| instance.cpu_seconds()).collect()
}

/// Bytes exchanged between all instances.
fn peer_bytes(fleet: &Fleet<Processes>) -> u64 {
    fleet.instances.iter().map(|instance| instance.peer_bytes()).sum()
}

/// Median and maximum latency in milliseconds of a command, whose response confirms that it is in force on all
/// instances.
///
/// # Errors
///
/// Any I/O error, or a response that doesn't confirm this.
fn command_latency(fleet: &Fleet<Processes>) -> io::Result<(f64, f64)> {
    let mut times = Vec::new();
    for number in 0..20 {
        let since = Instant::now();
        let instance = number % fleet.instances.len();
        let statement = format!("set class summary wait = {}", 10_000 + number);
        let answer = fleet.ask(instance, &statement)?.lines();
        let everywhere = answer.first().is_some_and(|row| row["in_force"] == row["instances"]);
        if !everywhere {
            return Err(io::Error::other(format!(
                "the command is not in force on all instances: {answer:?}"
            )));
        }
        times.push(since.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    Ok((times[times.len() / 2], times[times.len() - 1]))
}
