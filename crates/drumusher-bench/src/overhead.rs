//! What an instance adds to an engine's own latency, and what a stream costs it.

use std::{fmt::Write, io, net::TcpStream};

use crate::{
    client,
    demo::{self, Processes},
    fleet::{Fleet, key, wait_for},
    load::{self, Sample},
};

/// Streams at once in the three measurements.
const STREAMS: [usize; 3] = [1, 64, 512];
/// Tokens of each answer.
const TOKENS: u32 = 64;
/// Requests for each stream.
const EACH: usize = 6;
/// Least requests of a measurement.
const LEAST: usize = 150;
/// Streams held open for the measurement of memory.
const OPEN: [usize; 3] = [256, 512, 1_024];

/// Runs the measurements on separate processes and prints them.
///
/// # Errors
///
/// Any error of the operating system.
pub fn run() -> io::Result<()> {
    let fleet = demo::fleet(&["suva-hall"], 1)?;
    let engine = fleet.backends[0].address.to_string();
    let wide = r#"{"batch": 4096, "batch_cost": 0.0, "step_ms": 4.0}"#;
    client::post(&engine, "/switch", &[], wide)?;
    fleet.command(0, "create engine suva-hall-engine-0 slots = 4096");
    let local = dispatcher(&fleet)?;
    let idle: Vec<u64> = fleet.instances.iter().filter_map(|i| i.resident_kb()).collect();
    println!("resident memory of an idle instance: {idle:?} kB\n");
    // Once before, so that windows and connections are there.
    let most = STREAMS[STREAMS.len() - 1];
    for instance in &fleet.instances {
        load::closed(&instance.http, &key("vanua"), "urgent", (most, 2 * most), TOKENS);
    }
    print!("{}", latency(&fleet, &engine, local));
    print!("{}", memory(&fleet, &engine, local)?);
    Ok(())
}

/// Makes an instance the dispatcher by use, and returns its number.
fn dispatcher(fleet: &Fleet<Processes>) -> io::Result<usize> {
    load::closed(&fleet.instances[0].http, &key("vanua"), "urgent", (1, 3), 3);
    let rows = fleet.ask(0, "show instances")?.lines();
    let row = rows.iter().find(|row| row["dispatches"].to_string().contains("model:draft"));
    let name = row.and_then(|row| row["instance"].as_str()).unwrap_or_default().to_string();
    let found = fleet.instances.iter().position(|instance| instance.name == name);
    found.ok_or_else(|| io::Error::other("nobody dispatches"))
}

fn latency(fleet: &Fleet<Processes>, engine: &str, local: usize) -> String {
    let remote = 1 - local;
    let ways = [
        ("engine itself", engine.to_string(), None),
        ("local grant", fleet.instances[local].http.clone(), Some(local)),
        ("remote grant", fleet.instances[remote].http.clone(), Some(remote)),
    ];
    let mut text = String::from(
        "| streams | way | first token p50 ms | p99 ms | whole answer p50 ms | added to p50 ms | \
         whole | tokens/s | tokens per core-second |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    for streams in STREAMS {
        let mut direct = 0.0;
        for (way, address, instance) in &ways {
            let before = instance.and_then(|at| fleet.instances[at].cpu_seconds());
            let since = std::time::Instant::now();
            let requests = (streams * EACH).max(LEAST);
            let samples =
                load::closed(address, &key("vanua"), "urgent", (streams, requests), TOKENS);
            let seconds = since.elapsed().as_secs_f64();
            let after = instance.and_then(|at| fleet.instances[at].cpu_seconds());
            let used = before.zip(after).map(|(before, after)| after - before);
            let figures = Figures::new(&samples);
            if instance.is_none() {
                direct = figures.total_p50;
            }
            let tokens: u64 = samples.iter().map(|sample| sample.tokens).sum();
            let per_core =
                used.map_or("-".into(), |used| format!("{:.0}", tokens as f64 / used.max(0.01)));
            let _ = writeln!(
                text,
                "| {streams} | {way} | {:.2} | {:.2} | {:.2} | {:.2} | {}/{} | {:.0} | {per_core} |",
                figures.first_p50,
                figures.first_p99,
                figures.total_p50,
                figures.total_p50 - direct,
                figures.whole,
                samples.len(),
                tokens as f64 / seconds,
            );
        }
    }
    text
}

struct Figures {
    first_p50: f64,
    first_p99: f64,
    total_p50: f64,
    whole: usize,
}

impl Figures {
    fn new(samples: &[Sample]) -> Self {
        let (mut first, mut total) = (load::histogram(), load::histogram());
        for sample in samples.iter().filter(|sample| sample.whole) {
            first.saturating_record(sample.first.unwrap_or_default().as_micros() as u64);
            total.saturating_record(sample.total.as_micros() as u64);
        }
        let at = |histogram: &hdrhistogram::Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        Figures {
            first_p50: at(&first, 0.5),
            first_p99: at(&first, 0.99),
            total_p50: at(&total, 0.5),
            whole: samples.iter().filter(|sample| sample.whole).count(),
        }
    }
}

/// Memory by open streams, at an entry that is not the dispatcher.
fn memory(fleet: &Fleet<Processes>, engine: &str, local: usize) -> io::Result<String> {
    let entry = &fleet.instances[1 - local];
    let mut text =
        String::from("\n| open streams | resident memory kB | dispatcher kB |\n|---|---|---|\n");
    client::post(engine, "/switch", &[], r#"{"step_ms": 30.0}"#)?;
    let mut open: Vec<TcpStream> = Vec::new();
    let mut note = |count: usize| {
        let (own, other) = (entry.resident_kb(), fleet.instances[local].resident_kb());
        let _ = writeln!(text, "| {count} | {} | {} |", own.unwrap_or(0), other.unwrap_or(0));
    };
    note(0);
    for count in OPEN {
        while open.len() < count {
            open.push(client::open_stream(&entry.http, &key("vanua"), "held", 100_000)?);
        }
        wait_for("the streams run", || {
            let stats = client::get(engine, "/stats", &[]).map(|answer| answer.json());
            stats.is_ok_and(|stats| stats["running"].as_u64() == Some(count as u64))
        });
        note(count);
    }
    Ok(text)
}
