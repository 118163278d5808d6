//! What an idle instance spends on control, by the number of instances it talks to.

use std::{
    fmt::Write,
    io,
    time::{Duration, Instant},
};

use crate::{
    demo::{Processes, program},
    fleet::{Fleet, key, wait_for},
    load,
    stand_in::Kind,
};

/// Instances in the three measurements.
const SIZES: [usize; 3] = [2, 4, 8];
/// How long each fleet is watched.
const WATCH: Duration = Duration::from_secs(6);
/// Pools in each fleet, so that every instance has connections to most others.
const MODELS: usize = 8;

/// Measures fleets of three sizes.
///
/// # Errors
///
/// Any error of the operating system.
pub fn measure() -> io::Result<String> {
    let mut text = String::from(
        "| instances | resident kB (mean) | % of a core (mean) | bytes/s to each other instance | \
         command in force everywhere, ms (p50, worst of 20) |\n|---|---|---|---|---|\n",
    );
    for size in SIZES {
        let fleet = fleet(size)?;
        // Requests at every instance for every pool, so that connections are there.
        for instance in &fleet.instances {
            load::closed(&instance.http, &key("vanua"), "urgent", (1, 2), 2);
        }
        let seconds: Vec<f64> = processor(&fleet);
        let bytes: u64 = relayed(&fleet);
        let since = Instant::now();
        wait_for("the watch is over", || since.elapsed() >= WATCH);
        let watched = since.elapsed().as_secs_f64();
        let used: f64 =
            processor(&fleet).iter().zip(&seconds).map(|(after, before)| after - before).sum();
        let sent = relayed(&fleet) - bytes;
        let resident: u64 = fleet.instances.iter().filter_map(|i| i.resident_kb()).sum();
        let (middle, worst) = in_force(&fleet)?;
        let pairs = (size * (size - 1)) as f64;
        let _ = writeln!(
            text,
            "| {size} | {} | {:.2} | {:.0} | {middle:.0}, {worst:.0} |",
            resident / size as u64,
            100.0 * used / watched / size as f64,
            sent as f64 / watched / pairs,
        );
    }
    Ok(text)
}

fn fleet(instances: usize) -> io::Result<Fleet<Processes>> {
    let mut fleet = Fleet::with_starter(program()?, Processes::default())?;
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

fn processor(fleet: &Fleet<Processes>) -> Vec<f64> {
    fleet.instances.iter().filter_map(|instance| instance.cpu_seconds()).collect()
}

fn relayed(fleet: &Fleet<Processes>) -> u64 {
    fleet.instances.iter().map(|instance| instance.peer_bytes()).sum()
}

/// Milliseconds from a command to its answer, which says that it is in force everywhere.
fn in_force(fleet: &Fleet<Processes>) -> io::Result<(f64, f64)> {
    let mut times = Vec::new();
    for number in 0..20 {
        let since = Instant::now();
        let instance = number % fleet.instances.len();
        let statement = format!("set class summary wait = {}", 10_000 + number);
        let answer = fleet.ask(instance, &statement)?.lines();
        let everywhere = answer.first().is_some_and(|row| row["in_force"] == row["instances"]);
        if !everywhere {
            return Err(io::Error::other(format!("not in force everywhere: {answer:?}")));
        }
        times.push(since.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    Ok((times[times.len() / 2], times[times.len() - 1]))
}
