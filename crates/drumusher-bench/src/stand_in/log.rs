//! Stand-in for the platform's log service: streams with offsets and retention, and injected outages, delays and
//! lost responses.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use drumusher_platform::clock;
use ntex::{
    channel::mpsc,
    time::{Millis, sleep},
    util::Bytes,
    web::{self, HttpResponse, types},
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Routes, apply_switches, merge_switches, unavailable};

/// Behaviour of the log service and the faults it injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Switches {
    /// Answers appends and reads with status 503.
    pub down: bool,
    /// Refuses appends; reads still work.
    pub read_only: bool,
    /// Delay before each append or read is processed, in milliseconds.
    pub slow_ms: u64,
    /// Replaces the response of every n-th append by status 503 although the append took effect; 0 for never.
    pub lose_every: u64,
    /// Number of records retained per stream; 0 for all.
    pub keep: usize,
}

struct Record {
    time_ms: u64,
    body: String,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: Vec<Record>,
    /// Notified of the next append.
    readers: Vec<mpsc::Sender<()>>,
}

#[derive(Default)]
struct Log {
    switches: Switches,
    streams: HashMap<String, Stream>,
    appends: u64,
}

#[derive(Clone, Default)]
struct State(Rc<RefCell<Log>>);

#[derive(Deserialize)]
struct Append {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct Read {
    from: u64,
    max: usize,
    wait_ms: u64,
}

/// Returns the HTTP routes of the log service.
pub fn routes() -> Routes {
    let state = State::default();
    Box::new(move |config: &mut web::ServiceConfig| {
        config
            .state(state)
            .state(types::JsonConfig::default().limit(64 * 1024 * 1024))
            .route("/streams/{name}/records", web::post().to(append))
            .route("/streams/{name}/records", web::get().to(read))
            .route("/stats", web::get().to(stats))
            .route("/switch", web::post().to(update_switches));
    })
}

async fn update_switches(state: types::State<State>, body: Bytes) -> HttpResponse {
    let switches = merge_switches(&state.0.borrow().switches, &body);
    apply_switches(switches, |switches| state.0.borrow_mut().switches = switches)
}

async fn stats(state: types::State<State>) -> HttpResponse {
    let log = state.0.borrow();
    let next = |stream: &Stream| stream.first + stream.records.len() as u64;
    let streams: HashMap<&String, u64> =
        log.streams.iter().map(|(name, stream)| (name, next(stream))).collect();
    HttpResponse::Ok().json(&json!({"appends": log.appends, "next": streams}))
}

async fn append(
    state: types::State<State>,
    name: types::Path<String>,
    body: types::Json<Append>,
) -> HttpResponse {
    delay(&state).await;
    let valid = body.records.iter().all(|record| STANDARD.decode(record).is_ok());
    if !valid {
        return HttpResponse::BadRequest().body("records must be encoded in base64\n");
    }
    let mut log = state.0.borrow_mut();
    let switches = log.switches.clone();
    if switches.down || switches.read_only {
        return unavailable();
    }
    log.appends += 1;
    let lost = switches.lose_every > 0 && log.appends.is_multiple_of(switches.lose_every);
    let stream = log.streams.entry(name.into_inner()).or_default();
    let first = stream.first + stream.records.len() as u64;
    let time_ms = clock::unix_ms();
    let records = body.into_inner().records.into_iter().map(|body| Record { time_ms, body });
    stream.records.extend(records);
    if switches.keep > 0 && stream.records.len() > switches.keep {
        let expired = stream.records.len() - switches.keep;
        stream.records.drain(..expired);
        stream.first += expired as u64;
    }
    for reader in stream.readers.drain(..) {
        let _ = reader.send(());
    }
    if lost {
        return unavailable();
    }
    let next = stream.first + stream.records.len() as u64;
    HttpResponse::Ok().json(&json!({"first": first, "next": next}))
}

async fn read(
    state: types::State<State>,
    name: types::Path<String>,
    query: types::Query<Read>,
) -> HttpResponse {
    delay(&state).await;
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        if state.0.borrow().switches.down {
            return unavailable();
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let (response, empty, appended) = page(&state, &name, &query);
        if !empty || left.is_zero() {
            return response;
        }
        let _ = ntex::time::timeout(Millis(left.as_millis().max(1) as u32), appended.recv()).await;
    }
}

/// Returns the response with a page of records, whether the page is empty, and a receiver that is notified of the
/// next append.
fn page(state: &State, name: &str, query: &Read) -> (HttpResponse, bool, mpsc::Receiver<()>) {
    let mut log = state.0.borrow_mut();
    let stream = log.streams.entry(name.to_string()).or_default();
    let (sender, appended) = mpsc::channel();
    stream.readers.retain(|reader| !reader.is_closed());
    stream.readers.push(sender);
    if query.from < stream.first {
        let gone = HttpResponse::Gone().json(&json!({"first": stream.first}));
        return (gone, false, appended);
    }
    let skip = (query.from - stream.first) as usize;
    let numbered = stream.records.iter().enumerate().skip(skip).take(query.max);
    let records: Vec<serde_json::Value> = numbered
        .map(|(at, record)| {
            let offset = stream.first + at as u64;
            json!({"offset": offset, "time_ms": record.time_ms, "body": record.body})
        })
        .collect();
    let next = stream.first + stream.records.len() as u64;
    let empty = records.is_empty();
    let body = json!({"first": stream.first, "next": next, "records": records});
    (HttpResponse::Ok().json(&body), empty, appended)
}

async fn delay(state: &State) {
    let delay_ms = state.0.borrow().switches.slow_ms;
    if delay_ms > 0 {
        sleep(Millis(delay_ms as u32)).await;
    }
}
