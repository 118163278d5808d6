//! Stand-in for a model engine: continuous batching with a step duration that grows with the batch, request
//! priorities, cancellation when the client disconnects, resumed generation, and a delayed load report.

use std::{
    cell::RefCell,
    collections::{HashSet, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use drumusher_platform::clock;
use ntex::{
    channel::mpsc,
    rt,
    time::{Millis, sleep},
    util::Bytes,
    web::{self, HttpRequest, HttpResponse, types},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{Routes, apply_switches, merge_switches, unavailable};

/// Prompt tokens that one step processes per sequence.
const PREFILL_PER_STEP: u32 = 512;
/// Interval at which the load is sampled for the delayed report.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Output tokens of a request without `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;

/// Behaviour of the engine and the faults it injects.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Switches {
    /// Duration of a step with a batch of one, in milliseconds.
    pub step_ms: f64,
    /// Fraction by which a step is longer with a full batch.
    pub batch_cost: f64,
    /// Maximum number of sequences in a batch.
    pub batch: usize,
    /// Factor by which the duration of a step is multiplied.
    pub slow: f64,
    /// Runs no steps.
    pub hang: bool,
    /// Refuses completions and load queries with status 503.
    pub full: bool,
    /// Reports the state `leaving`; it still serves requests.
    pub leaving: bool,
    /// Answers completions with status 500.
    pub fail: bool,
    /// Aborts each stream after this number of tokens; 0 for never.
    pub truncate_at: u32,
    /// Ends each stream cleanly but without its finish marker after this number of tokens; 0 for never.
    pub end_at: u32,
    /// Answers with the text and the request ID of another request.
    pub cross: bool,
    /// Sends each event twice.
    pub double: bool,
    /// Age of the load report in milliseconds.
    pub load_lag_ms: u64,
    /// Exits the process.
    pub crash: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Switches {
            step_ms: 4.0,
            batch_cost: 0.5,
            batch: 32,
            slow: 1.0,
            hang: false,
            full: false,
            leaving: false,
            fail: false,
            truncate_at: 0,
            end_at: 0,
            cross: false,
            double: false,
            load_lag_ms: 500,
            crash: false,
        }
    }
}

/// Counters of the engine, as `/stats` reports them.
#[derive(Clone, Debug, Default, Serialize)]
struct Stats {
    requests: u64,
    resumed: u64,
    finished: u64,
    cancelled: u64,
    tokens: u64,
    steps: u64,
}

struct Sequence {
    id: String,
    tag: String,
    chat: bool,
    priority: i64,
    prefill: u32,
    produced: u32,
    total: u32,
    sender: mpsc::Sender<Result<Bytes, std::io::Error>>,
}

#[derive(Default)]
struct Engine {
    switches: Switches,
    waiting: VecDeque<Sequence>,
    batch: Vec<Sequence>,
    stats: Stats,
    reports: VecDeque<(Instant, Value)>,
    cached: HashSet<String>,
    /// Wakes the steps when there is work again.
    work: Option<async_channel::Sender<()>>,
}

impl Engine {
    fn wake(&self) {
        // A full channel wakes them, too.
        let _ = self.work.as_ref().map(|work| work.try_send(()));
    }
}

#[derive(Clone, Default)]
struct State(Rc<RefCell<Engine>>);

/// Returns the HTTP routes of the engine and spawns its background tasks.
pub fn routes() -> Routes {
    let state = State::default();
    rt::spawn(run_steps(state.clone()));
    rt::spawn(sample_load(state.clone()));
    Box::new(move |config: &mut web::ServiceConfig| {
        config
            .state(state)
            .route("/v1/completions", web::post().to(text_completion))
            .route("/v1/chat/completions", web::post().to(chat_completion))
            .route("/load", web::get().to(load))
            .route("/stats", web::get().to(stats))
            .route("/switch", web::post().to(update_switches));
    })
}

async fn update_switches(state: types::State<State>, body: Bytes) -> HttpResponse {
    let switches = merge_switches(&state.0.borrow().switches, &body);
    apply_switches(switches, |switches: Switches| {
        if switches.crash {
            std::process::exit(1);
        }
        let mut engine = state.0.borrow_mut();
        engine.switches = switches;
        engine.wake();
    })
}

async fn stats(state: types::State<State>) -> HttpResponse {
    let engine = state.0.borrow();
    let mut stats = json!(engine.stats);
    stats["running"] = json!(engine.batch.len());
    stats["waiting"] = json!(engine.waiting.len());
    HttpResponse::Ok().json(&stats)
}

async fn load(state: types::State<State>) -> HttpResponse {
    let engine = state.0.borrow();
    if engine.switches.full {
        return unavailable();
    }
    let lag = Duration::from_millis(engine.switches.load_lag_ms);
    let delayed = engine.reports.iter().rev().find(|(at, _)| at.elapsed() >= lag);
    let report = delayed.or(engine.reports.front()).map(|(_, report)| report.clone());
    let mut report = report.unwrap_or_else(|| load_report(&engine));
    report["state"] = json!(if engine.switches.leaving { "leaving" } else { "live" });
    HttpResponse::Ok().json(&report)
}

fn load_report(engine: &Engine) -> Value {
    json!({
        "as_of_ms": clock::unix_ms(),
        "running": engine.batch.len(),
        "waiting": engine.waiting.len(),
        "kv_used": engine.batch.len(),
        "kv_total": engine.switches.batch,
        "step_ms": engine.switches.step_ms,
    })
}

async fn sample_load(state: State) {
    loop {
        {
            let mut engine = state.0.borrow_mut();
            let report = load_report(&engine);
            engine.reports.push_back((Instant::now(), report));
            if engine.reports.len() > 512 {
                engine.reports.pop_front();
            }
        }
        sleep(Millis(LOAD_SAMPLE_INTERVAL.as_millis() as u32)).await;
    }
}

async fn text_completion(
    request: HttpRequest,
    state: types::State<State>,
    body: Bytes,
) -> HttpResponse {
    enqueue(false, &request, &state, &body)
}

async fn chat_completion(
    request: HttpRequest,
    state: types::State<State>,
    body: Bytes,
) -> HttpResponse {
    enqueue(true, &request, &state, &body)
}

fn enqueue(chat: bool, request: &HttpRequest, state: &State, body: &[u8]) -> HttpResponse {
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return HttpResponse::BadRequest()
            .json(&json!({"error": {"message": "the body is not valid JSON"}}));
    };
    let mut engine = state.0.borrow_mut();
    if engine.switches.full {
        return unavailable();
    }
    if engine.switches.fail {
        return HttpResponse::InternalServerError().body("failed\n");
    }
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("");
    let (sender, receiver) = mpsc::channel();
    let sequence = sequence(&mut engine, id, chat, &body, sender);
    engine.stats.requests += 1;
    engine.stats.resumed += u64::from(sequence.produced > 0);
    let at = engine.waiting.iter().position(|other| other.priority > sequence.priority);
    let at = at.unwrap_or(engine.waiting.len());
    engine.waiting.insert(at, sequence);
    engine.wake();
    let echoed = if engine.switches.cross { "00000000000000000000000000000000" } else { id };
    let mut response = HttpResponse::Ok();
    response.set_header("X-Request-Id", echoed);
    response.content_type("text/event-stream").streaming(receiver)
}

fn sequence(
    engine: &mut Engine,
    id: &str,
    chat: bool,
    body: &Value,
    sender: mpsc::Sender<Result<Bytes, std::io::Error>>,
) -> Sequence {
    let prompt = prompt(body);
    let salt = body["cache_salt"].as_str().unwrap_or("");
    let tag = prompt.split_whitespace().next().unwrap_or("t");
    let prefix: String = prompt.chars().take(128).collect();
    let length = (prompt.len() / 4).max(1) as u32;
    let cached = !engine.cached.insert(format!("{salt}/{prefix}"));
    let produced = body["resume_from"].as_u64().unwrap_or(0) as u32;
    Sequence {
        id: id.to_string(),
        tag: if engine.switches.cross { "another" } else { tag }.to_string(),
        chat,
        priority: body["priority"].as_i64().unwrap_or(0),
        prefill: if cached { 1 } else { length } + produced,
        produced,
        total: body["max_tokens"].as_u64().map_or(DEFAULT_TOKENS, |n| n as u32),
        sender,
    }
}

fn prompt(body: &Value) -> String {
    if let Some(prompt) = body["prompt"].as_str() {
        return prompt.to_string();
    }
    let messages = body["messages"].as_array().into_iter().flatten();
    let contents = messages.filter_map(|message| message["content"].as_str());
    contents.collect::<Vec<&str>>().join(" ")
}

/// Text of token `index` of a completion whose prompt begins with `tag`.
pub fn token(tag: &str, index: u32) -> String {
    format!("{tag}.{index} ")
}

/// Complete text of `total` tokens that the engine generates for a prompt that begins with `tag`.
pub fn answer(tag: &str, total: u32) -> String {
    (0..total).map(|index| token(tag, index)).collect()
}

/// Runs steps while there is work. The timers of the async runtime are too coarse for steps of a few milliseconds, so a
/// dedicated thread sleeps until each step is due.
async fn run_steps(state: State) {
    let (timer_sender, timer_receiver) = async_channel::bounded::<Instant>(1);
    let (elapsed_sender, elapsed_receiver) = async_channel::bounded(1);
    std::thread::spawn(move || {
        while let Ok(due) = timer_receiver.recv_blocking() {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if elapsed_sender.send_blocking(()).is_err() {
                return;
            }
        }
    });
    let (sender, work) = async_channel::bounded(1);
    state.0.borrow_mut().work = Some(sender);
    let mut due = Instant::now();
    loop {
        let Some(duration) = step(&state) else {
            let _ = work.recv().await;
            continue;
        };
        due = (due + duration).max(Instant::now());
        let _ = timer_sender.send(due).await;
        let _ = elapsed_receiver.recv().await;
    }
}

/// Runs one step for the whole batch and returns its duration; `None` if there is no work.
fn step(state: &State) -> Option<Duration> {
    let mut engine = state.0.borrow_mut();
    let engine = &mut *engine;
    let switches = engine.switches.clone();
    if switches.hang {
        return None;
    }
    let before = engine.batch.len() + engine.waiting.len();
    engine.batch.retain(|sequence| !sequence.sender.is_closed());
    engine.waiting.retain(|sequence| !sequence.sender.is_closed());
    engine.stats.cancelled += (before - engine.batch.len() - engine.waiting.len()) as u64;
    while engine.batch.len() < switches.batch {
        let Some(sequence) = engine.waiting.pop_front() else { break };
        engine.batch.push(sequence);
    }
    if engine.batch.is_empty() {
        return None;
    }
    engine.stats.steps += 1;
    let occupancy = engine.batch.len() as f64 / switches.batch as f64;
    let stats = &mut engine.stats;
    engine.batch.retain_mut(|sequence| advance(sequence, &switches, stats));
    let duration_ms = switches.step_ms * (1.0 + switches.batch_cost * occupancy) * switches.slow;
    Some(Duration::from_secs_f64(duration_ms / 1_000.0))
}

/// Advances one sequence by a step. Returns whether it continues.
fn advance(sequence: &mut Sequence, switches: &Switches, stats: &mut Stats) -> bool {
    if sequence.prefill > 0 {
        sequence.prefill = sequence.prefill.saturating_sub(PREFILL_PER_STEP);
        if sequence.prefill > 0 {
            return true;
        }
    }
    if sequence.produced >= sequence.total {
        let last = event(sequence, "", Some("stop"));
        let _ = sequence.sender.send(Ok(Bytes::from(format!("{last}data: [DONE]\n\n"))));
        stats.finished += 1;
        return false;
    }
    if switches.end_at > 0 && sequence.produced >= switches.end_at {
        return false;
    }
    if switches.truncate_at > 0 && sequence.produced >= switches.truncate_at {
        let aborted = std::io::Error::other("truncated");
        let _ = sequence.sender.send(Err(aborted));
        return false;
    }
    let text = token(&sequence.tag, sequence.produced);
    let event = event(sequence, &text, None);
    let repeats = if switches.double { 2 } else { 1 };
    let _ = sequence.sender.send(Ok(Bytes::from(event.repeat(repeats))));
    sequence.produced += 1;
    stats.tokens += 1;
    true
}

fn event(sequence: &Sequence, text: &str, finish: Option<&str>) -> String {
    let choice = if sequence.chat {
        json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
    } else {
        json!({"index": 0, "text": text, "finish_reason": finish})
    };
    let body = json!({"id": sequence.id, "choices": [choice], "token_index": sequence.produced});
    format!("data: {body}\n\n")
}
