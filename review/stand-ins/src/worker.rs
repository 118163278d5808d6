//! Workers as the users' pages describe them.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use drumusher_adapter_stand_in::{
    Store,
    http::{self, ConnectionAction, HttpServer, Request},
};
use serde_json::json;

use crate::record::Record;

/// A request that a worker began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub worker: String,
    /// Seconds since the start of the test.
    pub at: f64,
}

/// What all workers of a test share.
#[derive(Clone)]
pub struct Shared {
    pub record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    arrivals: Arc<Mutex<Vec<Run>>>,
}

/// A worker's state, for the code that answers its requests.
pub struct Context {
    pub id: String,
    pub slots: usize,
    pub shared: Shared,
    busy: AtomicUsize,
}

/// A slot that is taken until this is dropped.
pub struct Slot<'a>(&'a Context);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shared {
    pub fn new(record: &Record) -> Shared {
        Shared { record: record.clone(), runs: Arc::default(), arrivals: Arc::default() }
    }

    /// The runs of a request.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("no holder panics");
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }

    /// The arrivals of a request at any worker.
    pub fn arrivals(&self, id: &str) -> Vec<Run> {
        let arrivals = self.arrivals.lock().expect("no holder panics");
        arrivals.iter().filter(|arrival| arrival.id == id).cloned().collect()
    }
}

impl Context {
    /// Takes a slot if one is free.
    pub fn take_slot(&self) -> Option<Slot<'_>> {
        let taken = self.busy.fetch_update(Ordering::AcqRel, Ordering::Acquire, |busy| {
            (busy < self.slots).then_some(busy + 1)
        });
        taken.is_ok().then(|| Slot(self))
    }

    /// Records that a run begins.
    pub fn begin(&self, id: &str) {
        let at = self.shared.record.seconds();
        let run = Run { id: id.into(), worker: self.id.clone(), at };
        self.shared.runs.lock().expect("no holder panics").push(run);
        self.shared.record.line(format!("worker {} runs {id}", self.id));
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.shared.record.line(format!("worker {}: {}", self.id, text.as_ref()));
    }
}

/// The id of the client's attempt.
pub fn attempt(request: &Request) -> String {
    request.header("drumusher-attempt-id").unwrap_or("").to_string()
}

/// Turns a request away, as a worker does that is full.
pub fn shed(stream: &mut TcpStream, id: &str) -> io::Result<ConnectionAction> {
    let mut headers = vec![("Drumusher-Not-Executed", "1")];
    if !id.is_empty() {
        headers.push(("Drumusher-Attempt-Id", id));
    }
    http::respond(stream, 503, &headers, b"full")?;
    Ok(ConnectionAction::Keep)
}

/// Turns a health check away, as a worker does that is full. It has no attempt id to give back.
pub fn shed_health(context: &Context, stream: &mut TcpStream) -> io::Result<ConnectionAction> {
    let headers = [("Drumusher-Not-Executed", "1"), ("Drumusher-Instance-Id", context.id.as_str())];
    http::respond(stream, 503, &headers, b"full")?;
    Ok(ConnectionAction::Keep)
}

/// Answers a request that has run.
pub fn answer(stream: &mut TcpStream, id: &str, more: &[(&str, &str)]) -> io::Result<()> {
    let seal = format!("seal-{id}");
    let mut headers = vec![("Drumusher-Attempt-Id", id), ("Drumusher-Response-Seal", &seal)];
    headers.extend_from_slice(more);
    http::respond(stream, 200, &headers, format!("answer to {id}").as_bytes())
}

/// The head of a stream.
pub fn stream_head(stream: &mut TcpStream, id: &str, lines: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nDrumusher-Attempt-Id: {id}\r\nDrumusher-Response-Seal: seal-{id}\r\n\
         Content-Type: text/event-stream\r\n{lines}\r\n"
    );
    stream.write_all(head.as_bytes())
}

/// An event of a stream.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// Writes a chunk of a body.
pub fn chunk(stream: &mut TcpStream, bytes: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{bytes}\r\n", bytes.len()).as_bytes())
}

/// Number of the last event that the caller has.
pub fn last_event(request: &Request) -> u64 {
    request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Starts a worker, and writes its entry to the store. `handle` answers requests for work and for its health.
pub fn start<F>(
    store: &Store,
    shared: &Shared,
    (id, service, zone): (&str, &str, &str),
    slots: usize,
    handle: F,
) -> SocketAddr
where
    F: Fn(&Context, &Request, &mut TcpStream) -> io::Result<ConnectionAction>
        + Send
        + Sync
        + 'static,
{
    let context =
        Context { id: id.into(), slots, shared: shared.clone(), busy: AtomicUsize::new(0) };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let serve = move |request: &Request, stream: &mut TcpStream| match request.path() {
        "/drumusher/report" => report(&context, stream),
        "/drumusher/kv-list" => {
            let body = json!({"epoch": "e1", "NextToken": 1, "held": []});
            respond_json(stream, &body)
        }
        "/drumusher/kv-events" => {
            let wait = request.query("Wait-Ms").or(request.header("wait-ms"));
            let wait = wait.and_then(|text| text.parse().ok()).unwrap_or(0);
            thread::sleep(Duration::from_millis(wait));
            let body = json!({"epoch": "e1", "NextToken": 1, "lost": false, "events": []});
            respond_json(stream, &body)
        }
        _ => {
            let expected = request.header("drumusher-expected-instance");
            if expected.is_some_and(|expected| expected != context.id) {
                let headers = [("Drumusher-Instance-Id", context.id.as_str())];
                http::respond(stream, 421, &headers, b"")?;
                return Ok(ConnectionAction::Keep);
            }
            let attempt = attempt(request);
            if !attempt.is_empty() {
                let at = context.shared.record.seconds();
                let arrival = Run { id: attempt.clone(), worker: context.id.clone(), at };
                context.shared.arrivals.lock().expect("no holder panics").push(arrival);
                context.line(format!("{attempt} arrives"));
            }
            handle(&context, request, stream)
        }
    };
    let server = HttpServer::start(any, serve).expect("a worker starts");
    let entry = json!({
        "Service": service, "Address": server.address.to_string(), "Zone": zone, "Version": "v1",
        "Slots": slots, "State": "ready", "WarmupLeftMs": 0, "Stage": "unified",
        "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Sequence": 1
    });
    store.put("keyed.servers", id, &entry.to_string());
    server.address
}

/// Answers a health check well.
pub fn healthy(context: &Context, stream: &mut TcpStream) -> io::Result<ConnectionAction> {
    http::respond(stream, 200, &[("Drumusher-Instance-Id", context.id.as_str())], b"")?;
    Ok(ConnectionAction::Keep)
}

fn report(context: &Context, stream: &mut TcpStream) -> io::Result<ConnectionAction> {
    let active = context.busy.load(Ordering::Acquire);
    let body = json!({
        "Stage": "unified", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
        "Utilization": false, "Sequence": 0, "Queued": 0, "Active": active,
        "KvUsed": 1000 * active, "KvTotal": 532_839, "KvHandles": 0
    });
    respond_json(stream, &body)
}

fn respond_json(stream: &mut TcpStream, body: &serde_json::Value) -> io::Result<ConnectionAction> {
    let headers = [("Content-Type", "application/json")];
    http::respond(stream, 200, &headers, body.to_string().as_bytes())?;
    Ok(ConnectionAction::Keep)
}
