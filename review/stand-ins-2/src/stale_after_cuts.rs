//! CONFIG and DRAIN: the machines that read the platform's list are partitioned from the store without a reset, and a
//! moment later the configuration changes and a worker drains.

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

/// The service, and the prefix of the route that the new version adds to it.
const SERVICES: [&str; 2] = ["booking-api", "added"];
/// `ConfigApplyMs`.
const APPLY: Duration = Duration::from_millis(2_000);
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(10);
/// From the cut until the change.
const CHANGE_AFTER: Duration = Duration::from_millis(200);
/// How long the cut lasts: `for_s` of `core_cut`.
const CUT: Duration = Duration::from_millis(5_500);
/// How long the deployment is watched after the cut began.
const WATCH: Duration = Duration::from_millis(8_000);
/// A request that arrives this much after the bound was sent on after it in any case.
const TRANSIT: Duration = Duration::from_millis(50);

/// A request on the added route.
struct Sent {
    machine: String,
    at: Instant,
    status: u16,
}

pub fn play(trouble: bool, record: &mut Record) -> Result<Verdict, String> {
    let services: Vec<String> = SERVICES.map(String::from).to_vec();
    let deployment = Deployment::start(&configuration(7, &services[..1]))?;
    let mut workers = Vec::new();
    for (id, service) in [("i-1", 0), ("i-2", 0), ("i-3", 0), ("i-4", 0), ("i-5", 1)] {
        let worker = Server::start(id).map_err(|error| error.to_string())?;
        deployment.register(&worker, SERVICES[service], "ready", None);
        workers.push(worker);
    }
    let readers = || -> Vec<usize> {
        let all = 0..deployment.instances.len();
        all.filter(|at| deployment.instances[*at].reads_store()).collect()
    };
    wait("four machines read the store", || readers().len() == 4)?;
    thread::sleep(CONTACT);
    let readers = readers();
    let others: Vec<usize> =
        (0..deployment.instances.len()).filter(|at| !readers.contains(at)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients = others.iter().map(|at| {
        let instance = &deployment.instances[*at];
        let (machine, address) = (instance.name.clone(), instance.frontend);
        let (stop, sent) = (stop.clone(), sent.clone());
        thread::spawn(move || {
            let mut connection = None;
            for service in SERVICES.iter().cycle() {
                if stop.load(Ordering::Acquire) {
                    return;
                }
                let at = Instant::now();
                let answer = connection.take().map_or_else(|| Connection::open(address), Ok);
                let answer = answer.and_then(|mut open: Connection| {
                    let answer = open.get(&format!("/{service}/status"), &attempt_id(), 1_500)?;
                    connection = Some(open);
                    Ok(answer)
                });
                let status = answer.map_or(0, |answer| answer.status);
                if *service == SERVICES[1] {
                    let request = Sent { machine: machine.clone(), at, status };
                    sent.lock().expect("no holder panics").push(request);
                }
                thread::sleep(PAUSE);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_millis(4_000));
    let names = |machines: &[usize]| -> String {
        let names = machines.iter().map(|at| deployment.instances[*at].name.as_str());
        names.collect::<Vec<_>>().join(", ")
    };
    record.now(&format!("machines that read the platform's list: {}", names(&readers)));
    record.now(&format!("machines that are not touched, and get all requests: {}", names(&others)));
    let cut_at = Instant::now();
    if trouble {
        readers.iter().for_each(|at| deployment.instances[*at].store_path.hold(true));
        record
            .now("these readers are partitioned from the store: nothing passes, nothing is reset");
    }
    thread::sleep(CHANGE_AFTER);
    deployment.store.put("keyed.op", "config", &configuration(8, &services));
    deployment.register(&workers[0], SERVICES[0], "draining", None);
    let changed = Instant::now();
    record
        .now("the store has taken version 8, which adds a route, and that worker i-1 is draining");
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    readers.iter().for_each(|at| deployment.instances[*at].store_path.hold(false));
    thread::sleep(WATCH.saturating_sub(cut_at.elapsed()));
    stop.store(true, Ordering::Release);
    for client in clients {
        client.join().map_err(|_| "a client panicked".to_string())?;
    }
    let sent = sent.lock().expect("no holder panics");
    if sent.last().is_none_or(|request| request.status != 200) {
        return Err("the added route is not served at the end".into());
    }
    let mut late = 0;
    let mut by_machine: HashMap<&str, (usize, u128)> = HashMap::new();
    for request in sent.iter().filter(|request| request.status == 404 && request.at > changed) {
        let after = request.at - changed;
        let (count, last) = by_machine.entry(&request.machine).or_default();
        *last = (*last).max(after.as_millis());
        if after > APPLY {
            *count += 1;
            late += 1;
            record.detail(request.at, &format!("{} answers 404", request.machine));
        }
    }
    for (machine, (count, last)) in by_machine {
        record.line(&format!(
            "{machine}: last 404 on the added route {last} ms after the acknowledgement, {count} later than ConfigApplyMs"
        ));
    }
    let runs = workers[0].runs();
    let drained: Vec<_> = runs.iter().filter(|run| run.at > changed + DRAIN + TRANSIT).collect();
    let last = runs.iter().map(|run| run.at).max().unwrap_or(changed);
    record.line(&format!(
        "i-1: {} runs later than DrainMs; the last {} ms after it said that it drains",
        drained.len(),
        last.saturating_duration_since(changed).as_millis()
    ));
    Ok(if late + drained.len() > 0 { Verdict::Broken } else { Verdict::Held })
}
