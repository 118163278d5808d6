//! DRAIN: a worker starts while the clock of its machine is ahead, the clock jumps back, the worker crashes and starts
//! again under its ID, and drains later.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use drumusher_adapter_stand_in::{Crash, Ending, Server, Store};

use crate::{
    Verdict,
    deployment::{Connection, DRAIN, Deployment, attempt_id, configuration},
    record::Record,
};

/// The only service.
const SERVICE: &str = "booking-api";
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(10);
/// How far the clock of the worker's machine is ahead: `x` of `clock_step`.
const AHEAD_MS: u64 = 2_400;
/// From the start of the worker until the clock of its machine jumps back.
const STEP_AFTER: Duration = Duration::from_millis(500);
/// From its start until its crash, and how long it is down.
const CRASH_AFTER: Duration = Duration::from_millis(800);
const DOWN: Duration = Duration::from_millis(500);
/// From its start until it says that it drains, and how long it serves on.
const DRAIN_AFTER: Duration = Duration::from_millis(5_000);
const SERVES_ON: Duration = Duration::from_millis(6_000);
/// A request that arrives this much after the bound was sent on after it in any case.
const TRANSIT: Duration = Duration::from_millis(50);

pub fn play(trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let deployment = Deployment::start(&configuration(7, &[SERVICE.to_string()]))?;
    let started = |id: &str| Server::start(id).map_err(|error| error.to_string());
    let subject = started("i-1")?;
    // One of four workers crashes: the largest share of `srv_crash`, and of `scale_in`, in the site file.
    let mut others = Vec::new();
    for id in ["i-2", "i-3", "i-4"] {
        let other = started(id)?;
        deployment.register(&other, SERVICE, "ready", Some(unix_ms() - 60_000));
        others.push(other);
    }
    thread::sleep(Duration::from_millis(4_000));

    let stop = Arc::new(AtomicBool::new(false));
    let statuses: Arc<Mutex<HashMap<u16, usize>>> = Arc::default();
    let clients = deployment.instances.iter().map(|instance| {
        let (address, stop, statuses) = (instance.frontend, stop.clone(), statuses.clone());
        thread::spawn(move || {
            let mut connection = None;
            while !stop.load(Ordering::Acquire) {
                let id = attempt_id();
                let answer = connection.take().map_or_else(|| Connection::open(address), Ok);
                let answer = answer.and_then(|mut open: Connection| {
                    let answer = open.get(&format!("/{SERVICE}/status"), &id, 1_500)?;
                    connection = Some(open);
                    Ok(answer)
                });
                let status = answer.map_or(0, |answer| answer.status);
                *statuses.lock().expect("no holder panics").entry(status).or_default() += 1;
                thread::sleep(PAUSE);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_millis(1_000));

    let start = Instant::now();
    let ahead = if trouble { AHEAD_MS } else { 0 };
    let born = unix_ms() + ahead;
    deployment.register(&subject, SERVICE, "ready", Some(born));
    record.now(&format!(
        "worker i-1 starts; the clock of its machine is {ahead} ms ahead, so its born is {born}"
    ));
    thread::sleep(STEP_AFTER.saturating_sub(start.elapsed()));
    if trouble {
        record.now("the clock of its machine jumps back");
    }
    thread::sleep(CRASH_AFTER.saturating_sub(start.elapsed()));
    record.now("worker i-1 crashes");
    subject.crash(&Crash {
        path: "/".into(),
        part: None,
        events: 0,
        after: Duration::ZERO,
        ending: Ending::Reset,
        down: DOWN,
        renamed: false,
        service: SERVICE.into(),
        // The case writes the entry itself.
        store: Store::start().map_err(|error| error.to_string())?,
    });
    let born = unix_ms();
    deployment.register(&subject, SERVICE, "ready", Some(born));
    record.now(&format!("it has started again under its ID, with born {born}"));
    thread::sleep(DRAIN_AFTER.saturating_sub(start.elapsed()));
    deployment.register(&subject, SERVICE, "draining", Some(born));
    let drained = Instant::now();
    record.now("the store has taken that i-1 is draining; it serves on");
    thread::sleep(SERVES_ON);
    stop.store(true, Ordering::Release);
    for client in clients {
        client.join().map_err(|_| "a client panicked".to_string())?;
    }
    let statuses = statuses.lock().expect("no holder panics");
    record.now(&format!("answers by status: {statuses:?}"));
    let runs = subject.runs();
    if runs.iter().all(|run| run.at < start) || others.iter().any(|other| other.runs().is_empty()) {
        return Err("the workers were not used".into());
    }
    let after = runs.iter().filter(|run| run.at > drained).count();
    let late: Vec<_> = runs.iter().filter(|run| run.at > drained + DRAIN + TRANSIT).collect();
    let last = runs.iter().map(|run| run.at).max();
    let last = last.map_or(0, |at| at.saturating_duration_since(drained).as_millis());
    record.line(&format!(
        "i-1: {} runs, {after} after it said that it drains, {} of these later than DrainMs; the last {last} ms after",
        runs.len(), late.len()
    ));
    for run in &late {
        record.detail(run.at, &format!("i-1 runs {}", run.id));
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
