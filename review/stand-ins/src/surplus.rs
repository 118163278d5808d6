//! A worker's extra answer arrives late, in the place of the answer due next on its connection.
//!
//! Two workers of the booking desk, of which one hands out extra answers: at most one of 40 of its answers has one.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use drumusher_adapter_stand_in::http::ConnectionAction;

use crate::{
    Verdict,
    client::{Answer, Request},
    configuration, confirm_route,
    deployment::Deployment,
    desk_service,
    record::Record,
    trouble, worker,
};

const SLOTS: usize = 6;
const ROUNDS: usize = 3;
/// Ordinary requests before each round.
const ORDINARY: usize = 110;
/// Answers of a worker for each extra one: a share of 0.025.
const ANSWERS_PER_EXTRA: usize = 40;
const CALM: Duration = Duration::from_millis(3_500);
/// Requests that fill the workers, and the one that is checked, are told by a header of theirs.
const PART: &str = "X-Part";

/// The state of the worker that hands out extra answers.
#[derive(Default)]
struct Extras {
    answers: AtomicUsize,
    sent: AtomicUsize,
    /// The refusals of which a copy is still to come: the request's id, if it had one, by connection.
    due: Mutex<BTreeMap<SocketAddr, String>>,
}

impl Extras {
    /// Counts an answer.
    fn count(&self) {
        self.answers.fetch_add(1, Ordering::AcqRel);
    }

    /// Notes that a refusal was sent over a connection, and that its copy may follow.
    fn note(&self, peer: SocketAddr, id: &str) {
        self.due.lock().expect("no holder panics").insert(peer, id.into());
    }

    /// Sends the copy of a refusal that is due on a connection.
    fn send(&self, context: &worker::Context, stream: &mut TcpStream) -> io::Result<()> {
        let peer = stream.peer_addr()?;
        let Some(id) = self.due.lock().expect("no holder panics").remove(&peer) else {
            return Ok(());
        };
        let allowed = self.answers.load(Ordering::Acquire) / ANSWERS_PER_EXTRA;
        if !trouble() || self.sent.load(Ordering::Acquire) >= allowed {
            return Ok(());
        }
        self.sent.fetch_add(1, Ordering::AcqRel);
        let what = if id.is_empty() { "a health check" } else { &id };
        context.line(format!(
            "its extra answer to {what} comes late, in the place of the answer due next"
        ));
        if id.is_empty() {
            return worker::shed_health(context, stream).map(drop);
        }
        worker::shed(stream, &id).map(drop)
    }
}

fn text(answer: &io::Result<Answer>) -> String {
    answer.as_ref().map_or_else(ToString::to_string, Answer::text)
}

fn confirm(id: &str, part: &str) -> Request {
    Request::new("POST", "/puxa403/2f", id, 4_000).with(PART, part).with_body(b"book a crew")
}

/// Sends ordinary requests one after the other.
fn send_ordinary(deployment: &Deployment, round: usize) {
    let to = deployment.instances[0].clients;
    for number in 0..ORDINARY {
        let id = format!("{:016x}", 0x10_0000 * (round + 1) + number);
        if let Err(error) = confirm(&id, "ordinary").send(to) {
            deployment.record.line(format!("ordinary {id}: {error}"));
        }
    }
    deployment.record.line(format!("{ORDINARY} ordinary requests were sent"));
}

/// Fills all slots of both workers.
fn fill(deployment: &Deployment, round: usize) -> Vec<thread::JoinHandle<()>> {
    let to = deployment.instances[0].clients;
    let clients = (0..2 * SLOTS).map(|number| {
        let record = deployment.record.clone();
        thread::spawn(move || {
            let id = format!("{:016x}", 0xf0_0000 + 0x100 * round + number);
            let answer = confirm(&id, "fill").send(to);
            record.line(format!("client of {id}: {}", text(&answer)));
        })
    });
    clients.collect()
}

/// The rules that a checked request broke.
fn check(
    shared: &worker::Shared,
    request: &Request,
    answer: &io::Result<Answer>,
) -> Option<String> {
    let runs = shared.runs(&request.id);
    if runs.len() > 1 {
        let where_ran: Vec<String> =
            runs.iter().map(|run| format!("{} at {:.3} s", run.worker, run.at)).collect();
        return Some(format!("TWICE: {} ran at {}", request.id, where_ran.join(" and ")));
    }
    let status = answer.as_ref().ok().and_then(|answer| answer.status);
    let promises = matches!(status, Some(408 | 421 | 429 | 503));
    (promises && !runs.is_empty())
        .then(|| format!("REFUSED: {} got {} and has run", request.id, status.unwrap_or(0)))
}

fn verdict(broken: &[String]) -> Verdict {
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken.join("; ")) }
}

fn deploy(record: &Record) -> Option<Deployment> {
    let mut deployment = Deployment::new(record);
    let routes = [confirm_route(2)];
    deployment.store.put("keyed.op", "config", &configuration(&routes, &[desk_service()]));
    for (name, zone) in [("edge-1", "suva-hall"), ("edge-2", "nausori-hall")] {
        deployment.start(name, zone);
    }
    deployment.wait_ready().then_some(deployment)
}

/// Both workers are full and turn health checks away. One of them sends a refusal again, which has no id since the
/// health check has none.
pub fn refusal_of_probe(record: &Record) -> Verdict {
    let shared = worker::Shared::new(record);
    let Some(deployment) = deploy(record) else {
        return Verdict::NotRun("the instances are not ready".into());
    };
    for (id, zone, is_garbling) in
        [("i-02d9e6b4", "suva-hall", true), ("i-02d9e6b5", "nausori-hall", false)]
    {
        let extras = Arc::new(Extras::default());
        let fills = AtomicUsize::new(0);
        let name = (id, "booking-api", zone);
        worker::start(&deployment.store, &shared, name, SLOTS, move |context, request, stream| {
            if request.path() == "/health" {
                extras.count();
                let Some(_slot) = context.take_slot() else {
                    context.line("turns a health check away: full");
                    if is_garbling {
                        extras.note(stream.peer_addr()?, "");
                    }
                    return worker::shed_health(context, stream);
                };
                return worker::healthy(context, stream);
            }
            let attempt = worker::attempt(request);
            extras.send(context, stream)?;
            extras.count();
            let Some(_slot) = context.take_slot() else { return worker::shed(stream, &attempt) };
            context.begin(&attempt);
            let is_fill = request.header("x-part") == Some("fill");
            let is_first = is_fill && fills.fetch_add(1, Ordering::AcqRel).is_multiple_of(SLOTS);
            let work = match (is_fill, is_garbling, is_first) {
                (false, ..) => 5,
                (true, true, true) => 650,
                (true, true, false) => 1_000,
                (true, false, _) => 850,
            };
            thread::sleep(Duration::from_millis(work));
            if is_garbling && is_first {
                worker::answer(stream, &attempt, &[("Connection", "close")])?;
                return Ok(ConnectionAction::Close);
            }
            worker::answer(stream, &attempt, &[])?;
            Ok(ConnectionAction::Keep)
        });
    }
    thread::sleep(CALM);
    let to = deployment.instances[0].clients;
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        send_ordinary(&deployment, round);
        let clients = fill(&deployment, round);
        thread::sleep(Duration::from_millis(700));
        let request = confirm(&format!("{:016x}", 0xc0 + round), "checked");
        record.line(format!("client sends {}", request.id));
        let answer = request.send(to);
        record.line(format!("client of {}: {}", request.id, text(&answer)));
        clients.into_iter().for_each(|client| drop(client.join()));
        thread::sleep(Duration::from_millis(1_500));
        broken.extend(check(&shared, &request, &answer));
    }
    verdict(&broken)
}

/// One worker is full but for a slot that a new connection takes for a moment, and turns a request away. It comes again to
/// the same worker, since the other one is full, and the refusal is sent again.
pub fn refusal_of_same_request(record: &Record) -> Verdict {
    let shared = worker::Shared::new(record);
    let Some(deployment) = deploy(record) else {
        return Verdict::NotRun("the instances are not ready".into());
    };
    for (id, zone, is_garbling) in
        [("i-02d9e6b4", "suva-hall", true), ("i-02d9e6b5", "nausori-hall", false)]
    {
        let extras = Arc::new(Extras::default());
        let fills = AtomicUsize::new(0);
        let name = (id, "booking-api", zone);
        worker::start(&deployment.store, &shared, name, SLOTS, move |context, request, stream| {
            if request.path() == "/health" {
                return worker::healthy(context, stream);
            }
            let attempt = worker::attempt(request);
            let is_checked = request.header("x-part") == Some("checked");
            if is_checked && is_garbling && shared_arrivals(context, &attempt) == 1 {
                context
                    .line(format!("turns {attempt} away: its new connection holds the last slot"));
                extras.count();
                extras.note(stream.peer_addr()?, &attempt);
                return worker::shed(stream, &attempt);
            }
            extras.send(context, stream)?;
            extras.count();
            let Some(_slot) = context.take_slot() else { return worker::shed(stream, &attempt) };
            context.begin(&attempt);
            let is_fill = request.header("x-part") == Some("fill");
            let is_first = is_fill && fills.fetch_add(1, Ordering::AcqRel).is_multiple_of(SLOTS);
            let work = match (is_fill, is_garbling, is_first) {
                (false, ..) => 5,
                (true, true, true) => 100,
                (true, ..) => 1_200,
            };
            thread::sleep(Duration::from_millis(work));
            if is_garbling && is_first {
                worker::answer(stream, &attempt, &[("Connection", "close")])?;
                return Ok(ConnectionAction::Close);
            }
            worker::answer(stream, &attempt, &[])?;
            Ok(ConnectionAction::Keep)
        });
    }
    thread::sleep(CALM);
    let to = deployment.instances[0].clients;
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        send_ordinary(&deployment, round);
        // No connection to a worker is used for a request of this kind after it has rested for a second.
        thread::sleep(Duration::from_millis(1_200));
        let clients = fill(&deployment, round);
        thread::sleep(Duration::from_millis(300));
        let request = confirm(&format!("{:016x}", 0xc0 + round), "checked");
        record.line(format!("client sends {}", request.id));
        let answer = request.send(to);
        record.line(format!("client of {}: {}", request.id, text(&answer)));
        clients.into_iter().for_each(|client| drop(client.join()));
        thread::sleep(Duration::from_millis(1_500));
        broken.extend(check(&shared, &request, &answer));
    }
    verdict(&broken)
}

/// How often a request has arrived at any worker.
fn shared_arrivals(context: &worker::Context, id: &str) -> usize {
    context.shared.arrivals(id).len()
}
