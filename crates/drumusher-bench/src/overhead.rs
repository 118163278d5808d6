//! Latency that an instance adds to that of an engine, and CPU time and memory that streams cost it.

use std::{fmt::Write, io, net::TcpStream};

use crate::{
    client,
    demo::{self, Processes},
    fleet::{Fleet, key, wait_for},
    load::{self, Sample},
};

/// Numbers of concurrent streams in the latency measurements.
const STREAMS: [usize; 3] = [1, 64, 512];
/// Output tokens per request.
const TOKENS: u32 = 64;
/// Requests per stream.
const REQUESTS_PER_STREAM: usize = 6;
/// Minimum number of requests per measurement.
const MIN_REQUESTS: usize = 150;
/// Numbers of open streams in the memory measurement.
const OPEN_STREAMS: [usize; 3] = [256, 512, 1_024];

/// Runs the measurements on a fleet of processes and prints tables.
///
/// # Errors
///
/// Any I/O error of starting or querying processes.
pub fn run() -> io::Result<()> {
    let fleet = demo::fleet(&["suva-hall"], 1)?;
    let engine = fleet.backends[0].address.to_string();
    let large_batch = r#"{"batch": 4096, "batch_cost": 0.0, "step_ms": 4.0}"#;
    client::post(&engine, "/switch", &[], large_batch)?;
    fleet.command(0, "create engine suva-hall-engine-0 slots = 4096");
    let local = dispatcher(&fleet)?;
    let idle: Vec<u64> = fleet.instances.iter().filter_map(|i| i.resident_kb()).collect();
    println!("resident memory of an idle instance: {idle:?} kB\n");
    // Warm-up, so that concurrency windows have grown and connections are open.
    let max_streams = STREAMS[STREAMS.len() - 1];
    for instance in &fleet.instances {
        load::closed(
            &instance.http,
            &key("vanua"),
            "urgent",
            (max_streams, 2 * max_streams),
            TOKENS,
        );
    }
    print!("{}", latency(&fleet, &engine, local));
    print!("{}", memory(&fleet, &engine, local)?);
    Ok(())
}

/// Sends requests so that an instance becomes the dispatcher, and returns its index.
fn dispatcher(fleet: &Fleet<Processes>) -> io::Result<usize> {
    load::closed(&fleet.instances[0].http, &key("vanua"), "urgent", (1, 3), 3);
    let rows = fleet.ask(0, "show instances")?.lines();
    let row = rows.iter().find(|row| row["dispatches"].to_string().contains("model:draft"));
    let name = row.and_then(|row| row["instance"].as_str()).unwrap_or_default().to_string();
    let found = fleet.instances.iter().position(|instance| instance.name == name);
    found.ok_or_else(|| io::Error::other("no instance is the dispatcher"))
}

/// Latency and CPU time of requests to the engine and through either instance, as a table in Markdown.
fn latency(fleet: &Fleet<Processes>, engine: &str, local: usize) -> String {
    let remote = 1 - local;
    let routes = [
        ("engine directly", engine.to_string(), None),
        ("local grant", fleet.instances[local].http.clone(), Some(local)),
        ("remote grant", fleet.instances[remote].http.clone(), Some(remote)),
    ];
    let mut text = String::from(
        "| streams | route | first token p50 ms | p99 ms | total p50 ms | added to p50 ms | \
         complete | tokens/s | tokens per core-second |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    for streams in STREAMS {
        let mut direct_p50 = 0.0;
        for (route, address, instance) in &routes {
            let before = instance.and_then(|at| fleet.instances[at].cpu_seconds());
            let since = std::time::Instant::now();
            let requests = (streams * REQUESTS_PER_STREAM).max(MIN_REQUESTS);
            let samples =
                load::closed(address, &key("vanua"), "urgent", (streams, requests), TOKENS);
            let seconds = since.elapsed().as_secs_f64();
            let after = instance.and_then(|at| fleet.instances[at].cpu_seconds());
            let used = before.zip(after).map(|(before, after)| after - before);
            let latencies = Latencies::new(&samples);
            if instance.is_none() {
                direct_p50 = latencies.total_p50;
            }
            let tokens: u64 = samples.iter().map(|sample| sample.tokens).sum();
            let per_core =
                used.map_or("-".into(), |used| format!("{:.0}", tokens as f64 / used.max(0.01)));
            let _ = writeln!(
                text,
                "| {streams} | {route} | {:.2} | {:.2} | {:.2} | {:.2} | {}/{} | {:.0} | {per_core} |",
                latencies.first_p50,
                latencies.first_p99,
                latencies.total_p50,
                latencies.total_p50 - direct_p50,
                latencies.whole,
                samples.len(),
                tokens as f64 / seconds,
            );
        }
    }
    text
}

/// Latency percentiles of complete responses, in milliseconds, and their number.
struct Latencies {
    first_p50: f64,
    first_p99: f64,
    total_p50: f64,
    whole: usize,
}

impl Latencies {
    fn new(samples: &[Sample]) -> Self {
        let (mut first, mut total) = (load::histogram(), load::histogram());
        for sample in samples.iter().filter(|sample| sample.whole) {
            first.saturating_record(sample.first.unwrap_or_default().as_micros() as u64);
            total.saturating_record(sample.total.as_micros() as u64);
        }
        let at = |histogram: &hdrhistogram::Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        Latencies {
            first_p50: at(&first, 0.5),
            first_p99: at(&first, 0.99),
            total_p50: at(&total, 0.5),
            whole: samples.iter().filter(|sample| sample.whole).count(),
        }
    }
}

/// Resident memory by the number of open streams, of the entry and of the dispatcher, which is the other instance, as a
/// table in Markdown.
fn memory(fleet: &Fleet<Processes>, engine: &str, local: usize) -> io::Result<String> {
    let entry = &fleet.instances[1 - local];
    let mut text = String::from("\n| open streams | entry kB | dispatcher kB |\n|---|---|---|\n");
    client::post(engine, "/switch", &[], r#"{"step_ms": 30.0}"#)?;
    let mut streams: Vec<TcpStream> = Vec::new();
    let mut write_row = |count: usize| {
        let (entry, dispatcher) = (entry.resident_kb(), fleet.instances[local].resident_kb());
        let _ =
            writeln!(text, "| {count} | {} | {} |", entry.unwrap_or(0), dispatcher.unwrap_or(0));
    };
    write_row(0);
    for count in OPEN_STREAMS {
        while streams.len() < count {
            streams.push(client::open_stream(&entry.http, &key("vanua"), "held", 100_000)?);
        }
        wait_for("all streams run on the engine", || {
            let stats = client::get(engine, "/stats", &[]).map(|answer| answer.json());
            stats.is_ok_and(|stats| stats["running"].as_u64() == Some(count as u64))
        });
        write_row(count);
    }
    Ok(text)
}
