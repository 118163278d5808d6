//! ORDER and MIXED: workers that drain end while they still send streams, of which a few have no length.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deployment::{Connection, DRAIN, Deployment, attempt_id, configuration},
    record::Record,
    worker::{EVENTS, Worker, event},
};

/// The service.
const SERVICE: &str = "drafting-llm";
/// Number of its workers, as in `vpt-dispatch`.
const WORKERS: usize = 18;
/// Number of these that drain and end: `scale_in` with a share of 0.13.
const LEAVING: usize = 2;
/// Streams that are begun at each machine on each of the two routes.
const STREAMS: usize = 40;
/// Pause between two of them.
const PAUSE: Duration = Duration::from_millis(5);
/// From the beginning of the streams until the worker says that it drains.
const DRAIN_AFTER: Duration = Duration::from_millis(500);
/// How much longer than DrainMs the worker serves on: "a little longer".
const LONGER: Duration = Duration::from_millis(500);

/// What a client got of a stream.
struct Got {
    id: String,
    route: &'static str,
    machine: String,
    status: u16,
    /// Whether the answer came to its end in the protocol.
    complete: bool,
    body: Vec<u8>,
}

pub fn play(trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let deployment = Deployment::start(&streaming(&configuration(7, &[SERVICE.to_string()])))?;
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        let worker = Worker::start(&format!("i-{number}"))?;
        deployment.register_at(&worker.id, worker.address, SERVICE, "ready", None);
        workers.push(worker);
    }
    thread::sleep(Duration::from_millis(4_000));
    let begun = Instant::now();
    let mut clients = Vec::new();
    for _ in 0..STREAMS {
        for instance in &deployment.instances {
            for route in ["draft", "talk"] {
                let (machine, address) = (instance.name.clone(), instance.frontend);
                clients.push(thread::spawn(move || {
                    let id = attempt_id();
                    let answer = Connection::open(address)
                        .and_then(|mut open| open.stream(&format!("/{route}/x"), &id, 15_000));
                    let (status, complete, body) = answer.unwrap_or((0, false, Vec::new()));
                    Got { id, route, machine, status, complete, body }
                }));
            }
        }
        thread::sleep(PAUSE);
    }
    record.now(&format!("{} streams of {EVENTS} events begin at {WORKERS} workers", clients.len()));
    thread::sleep(DRAIN_AFTER);
    for worker in &workers[..LEAVING] {
        deployment.register_at(&worker.id, worker.address, SERVICE, "draining", None);
    }
    record.now("the store has taken that i-1 and i-2 are draining");
    thread::sleep(DRAIN + LONGER);
    if trouble {
        workers[..LEAVING].iter_mut().for_each(Worker::end);
        record.now("i-1 and i-2 have ended; the operating system closes their connections");
    }
    let got: Vec<Got> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    record.now(&format!(
        "all streams have ended, {} ms after they began",
        begun.elapsed().as_millis()
    ));
    let whole: String = (1..=EVENTS).map(event).collect();
    let (mut complete, mut short, mut broken_off) = (0, 0, 0);
    for stream in &got {
        let events = stream.body.windows(2).filter(|bytes| bytes == b"\n\n").count();
        let text = format!(
            "{} on /{}/ through {}: status {}, {events} events, {}",
            stream.id,
            stream.route,
            stream.machine,
            stream.status,
            if stream.complete { "ended as complete" } else { "broken off" }
        );
        if stream.body != whole.as_bytes() {
            record.detail(Instant::now(), &text);
        }
        match (stream.status, stream.complete, stream.body == whole.as_bytes()) {
            (200, true, true) => complete += 1,
            (200, true, false) => short += 1,
            _ => broken_off += 1,
        }
    }
    record.line(&format!(
        "{complete} streams are whole, {broken_off} are broken off or failed, {short} end as complete without all events"
    ));
    if complete == 0 {
        return Err("no stream was served".into());
    }
    Ok(if short > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Adds a streaming route that may not be resumed, and one that may.
fn streaming(configuration: &str) -> String {
    let route = |name: &str, resumable: bool| {
        format!(
            r#"{{"Name":"r-{name}","Host":"host.example","PathPrefix":"/{name}/","RouteType":"streaming","TimeoutMs":15000,"TargetLatencyMs":2000,"Priority":2,"Service":"{SERVICE}","MaxAttempts":2,"Public":false,"Resumable":{resumable},"TargetGapMs":600}},"#
        )
    };
    let routes = route("draft", false) + &route("talk", true);
    configuration.replacen("\"Routes\":[", &format!("\"Routes\":[{routes}"), 1)
}
