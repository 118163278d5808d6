//! DRAIN: the four machines that read the platform's list are killed at once, and a moment later
//! entries of workers go.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::Server;

use crate::{
    Verdict,
    deployment::{CONTACT, Connection, DRAIN, Deployment, attempt_id, configuration, wait},
    record::Record,
};

/// Number of services; each has four workers, of which one leaves: the largest share of `scale_in` in the site file.
const SERVICES: usize = 12;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(5);
/// Traffic before the trouble.
const BEFORE: Duration = Duration::from_millis(6_000);
/// From the kill until entries go.
const REMOVAL_AFTER: Duration = Duration::from_millis(100);
/// From the kill until the processes are started again.
const DOWN: Duration = Duration::from_millis(1_000);
/// How long the workers whose entries went go on serving.
const WATCH: Duration = Duration::from_millis(8_000);
/// A request that arrives this much after the bound was sent on after it in any case.
const TRANSIT: Duration = Duration::from_millis(50);

/// A request of a client.
struct Sent {
    machine: String,
    at: Instant,
    status: u16,
}

pub fn play(trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let services: Vec<String> = (1..=SERVICES).map(|number| format!("svc{number}")).collect();
    let mut deployment = Deployment::start(&configuration(7, &services))?;
    let (mut leaving, mut staying) = (Vec::new(), Vec::new());
    for service in &services {
        for name in ["a", "b", "c", "d"] {
            let worker =
                Server::start(&format!("i-{service}-{name}")).map_err(|e| e.to_string())?;
            deployment.register(&worker, service, "ready", None);
            if name == "a" { leaving.push(worker) } else { staying.push(worker) }
        }
    }
    record.now("9 machines and 48 workers of 12 services run");
    let readers = || -> Vec<usize> {
        let all = 0..deployment.instances.len();
        all.filter(|at| deployment.instances[*at].reads_store()).collect()
    };
    wait("four machines read the store", || readers().len() == 4)?;
    thread::sleep(CONTACT);
    let readers = readers();
    let others: Vec<usize> =
        (0..deployment.instances.len()).filter(|at| !readers.contains(at)).collect();

    // Clients of the machines that are not touched.
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, Sent>>> = Arc::default();
    let clients = others.iter().map(|at| {
        let (machine, address) =
            (deployment.instances[*at].name.clone(), deployment.instances[*at].frontend);
        let (stop, sent, services) = (stop.clone(), sent.clone(), services.clone());
        thread::spawn(move || {
            let mut connection = None;
            for service in services.iter().cycle() {
                if stop.load(Ordering::Acquire) {
                    return;
                }
                let (id, at) = (attempt_id(), Instant::now());
                let answer = connection.take().map_or_else(|| Connection::open(address), Ok);
                let answer = answer.and_then(|mut open: Connection| {
                    let answer = open.get(&format!("/{service}/status"), &id, 1_500)?;
                    connection = Some(open);
                    Ok(answer)
                });
                let status = answer.map_or(0, |answer| answer.status);
                let request = Sent { machine: machine.clone(), at, status };
                sent.lock().expect("no holder panics").insert(id, request);
                thread::sleep(PAUSE);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(BEFORE);
    let names = |machines: &[usize]| -> String {
        let names = machines.iter().map(|at| deployment.instances[*at].name.as_str());
        names.collect::<Vec<_>>().join(", ")
    };
    let (killed, untouched) = (names(&readers), names(&others));
    record.now(&format!("machines that read the platform's list: {killed}"));
    record.now(&format!("machines that are not touched, and get all requests: {untouched}"));
    let kill_at = Instant::now();
    if trouble {
        for at in &readers {
            deployment.instances[*at].kill();
        }
        record.now("these readers are killed");
    }
    thread::sleep(REMOVAL_AFTER.saturating_sub(kill_at.elapsed()));
    let mut gone_at = HashMap::new();
    for worker in &leaving {
        deployment.store.remove("keyed.servers", &worker.id);
        gone_at.insert(worker.id.clone(), Instant::now());
    }
    record.now("the store has no entry of one worker of each service any more; they serve on");
    thread::sleep(DOWN.saturating_sub(kill_at.elapsed()));
    if trouble {
        for at in &readers {
            deployment.instances[*at].restart()?;
        }
        record.now("the killed processes are started again");
    }
    thread::sleep((REMOVAL_AFTER + WATCH).saturating_sub(kill_at.elapsed()));
    stop.store(true, Ordering::Release);
    for client in clients {
        client.join().map_err(|_| "a client panicked".to_string())?;
    }
    let sent = sent.lock().expect("no holder panics");
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    sent.values().for_each(|request| *statuses.entry(request.status).or_default() += 1);
    record.now(&format!("{} requests, answers by status: {statuses:?}", sent.len()));
    if statuses.get(&200).copied().unwrap_or(0) * 2 < sent.len() {
        return Err("less than half of the requests were served".into());
    }
    let mut late = 0;
    for worker in &leaving {
        let gone = gone_at[&worker.id];
        let runs = worker.runs();
        let after = runs.iter().filter(|run| run.at > gone).count();
        let too_late: Vec<_> = runs.iter().filter(|run| run.at > gone + DRAIN + TRANSIT).collect();
        late += too_late.len();
        let last = runs
            .iter()
            .map(|run| run.at)
            .max()
            .map_or(0, |at| at.saturating_duration_since(gone).as_millis());
        record.line(&format!(
            "{}: {} runs, {after} after its entry went, {} of these later than DrainMs; the last {last} ms after",
            worker.id, runs.len(), too_late.len()
        ));
        for run in too_late {
            let Some(request) = sent.get(&run.id) else { continue };
            record.detail(
                run.at,
                &format!(
                    "{} runs {}, sent to {} at -{} ms, answered {}",
                    worker.id,
                    run.id,
                    request.machine,
                    run.at.saturating_duration_since(request.at).as_millis(),
                    request.status
                ),
            );
        }
    }
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
