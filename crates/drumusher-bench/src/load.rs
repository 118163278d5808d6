//! Load generator for instances: open-loop arrivals per class, or closed-loop with a fixed number of concurrent
//! streams.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fmt::Write,
    rc::Rc,
    time::{Duration, Instant},
};

use drumusher_platform::tcp;
use hdrhistogram::Histogram;
use ntex::{
    SharedCfg,
    client::{Client, Connector},
    http::Payload,
    rt,
    time::{Millis, sleep},
    util::stream_recv,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use serde_json::json;

/// Connect and response timeout of a request.
const REQUEST_TIMEOUT: Millis = Millis(60_000);
/// Maximum number of connections of the client.
const MAX_CONNECTIONS: usize = 8_192;

/// Part of an open-loop load that belongs to one class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Mean arrival rate in requests per second.
    pub rate: f64,
    /// Maximum output tokens of a request. Requests ask for a uniformly distributed number between a third of it and
    /// all of it.
    pub tokens: u32,
    /// Target for the time to first token.
    pub target: Duration,
}

/// An open-loop load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Addresses of the instances, each `ip:port`.
    pub addresses: Vec<String>,
    /// API keys of the workspaces that send requests.
    pub keys: Vec<String>,
    /// Model that is requested.
    pub model: String,
    /// Classes of the requests.
    pub classes: Vec<Class>,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Random seed of arrival times and output lengths.
    pub seed: u64,
}

/// Results of an open-loop load for one class.
#[derive(Clone, Debug, Serialize)]
pub struct Results {
    /// Requests sent.
    pub sent: u64,
    /// Complete responses.
    pub whole: u64,
    /// Complete responses whose first token met the target.
    pub in_time: u64,
    /// Responses with status 429 or 503.
    pub refused: u64,
    /// Requests that were neither completed nor refused.
    pub failed: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Median time to first token, in milliseconds.
    pub first_p50_ms: f64,
    /// 99th percentile (99 of 100 requests) of the time to first token, in milliseconds.
    pub first_p99_ms: f64,
    /// Requests in time, as a percentage of those sent.
    pub attainment: f64,
    /// Requests in time per second.
    pub goodput: f64,
}

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Time to first token.
    pub first: Option<Duration>,
    /// Time until the response ended.
    pub total: Duration,
    /// Tokens received.
    pub tokens: u64,
    /// Whether the response was complete.
    pub whole: bool,
}

/// Creates an HTTP client for generating load.
///
/// # Panics
///
/// If the client cannot be built.
pub async fn client() -> Client {
    let connector =
        Connector::new().limit(MAX_CONNECTIONS).connector(tcp::connector(REQUEST_TIMEOUT));
    Client::builder()
        .connector::<()>(connector)
        .response_timeout(REQUEST_TIMEOUT)
        .build(SharedCfg::default())
        .await
        .expect("the options are valid")
}

/// Sends one streaming completion request and reads the response to its end.
pub async fn request(
    client: &Client,
    address: &str,
    key: &str,
    class: &str,
    model: &str,
    tokens: u32,
) -> Sample {
    let since = Instant::now();
    let body = json!({"model": model, "prompt": "load", "max_tokens": tokens, "stream": true});
    let sent = client
        .post(format!("http://{address}/v1/completions"))
        .bearer_auth(key)
        .header("drumusher-class", class)
        .send_json(&body)
        .await;
    let mut sample =
        Sample { status: 0, first: None, total: since.elapsed(), tokens: 0, whole: false };
    let Ok(response) = sent else {
        return sample;
    };
    sample.status = response.status().as_u16();
    if response.status().is_success() {
        read(response.take_payload(), since, &mut sample).await;
    }
    sample.total = since.elapsed();
    sample
}

/// Reads an event stream and records its first token, its tokens and whether it was complete.
async fn read(mut payload: Payload, since: Instant, sample: &mut Sample) {
    let mut tail = Vec::new();
    while let Some(Ok(chunk)) = stream_recv(&mut payload).await {
        let tokens = count(&chunk, b"\"token_index\"");
        if tokens > 0 && sample.first.is_none() {
            sample.first = Some(since.elapsed());
        }
        sample.tokens += tokens;
        tail.extend_from_slice(&chunk[chunk.len().saturating_sub(16)..]);
        let excess = tail.len().saturating_sub(16);
        tail.drain(..excess);
    }
    sample.whole = tail.ends_with(b"data: [DONE]\n\n");
    // The last event carries a token index but no token, only the finish reason.
    sample.tokens = sample.tokens.saturating_sub(u64::from(sample.whole));
}

fn count(bytes: &[u8], key: &[u8]) -> u64 {
    bytes.windows(key.len()).filter(|window| *window == key).count() as u64
}

/// Runs an open-loop load on the current thread and returns the results by class name. Blocks until all responses have
/// ended.
pub fn open(plan: &Plan) -> BTreeMap<String, Results> {
    let runtime = rt::System::build().name("load").build(rt::DefaultRuntime);
    let plan = plan.clone();
    runtime.block_on(async move {
        let client = client().await;
        let samples: Rc<RefCell<BTreeMap<String, Vec<Sample>>>> = Rc::default();
        let mut senders = Vec::new();
        for (number, class) in plan.classes.iter().enumerate() {
            let (plan, class) = (plan.clone(), class.clone());
            let send = send(plan, class, number as u64, client.clone(), samples.clone());
            senders.push(rt::spawn(send));
        }
        for sender in senders {
            let _ = sender.await;
        }
        let seconds = plan.duration.as_secs_f64();
        let samples = samples.borrow();
        let results = plan.classes.iter().map(|class| {
            let samples = samples.get(&class.name).map_or(&[][..], Vec::as_slice);
            (class.name.clone(), results(samples, class, seconds))
        });
        results.collect()
    })
}

/// Sends the requests of one class at random (Poisson) arrival times, regardless of earlier responses, and waits for
/// all responses.
async fn send(
    plan: Plan,
    class: Class,
    number: u64,
    client: Client,
    samples: Rc<RefCell<BTreeMap<String, Vec<Sample>>>>,
) {
    let mut random = StdRng::seed_from_u64(plan.seed + number);
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut pending = Vec::new();
    while due < plan.duration {
        let wait = due.saturating_sub(started.elapsed());
        if !wait.is_zero() {
            sleep(Millis(wait.as_millis().max(1) as u32)).await;
        }
        let address = plan.addresses[random.random_range(0..plan.addresses.len())].clone();
        let key = plan.keys[random.random_range(0..plan.keys.len())].clone();
        let tokens = random.random_range(class.tokens / 3..=class.tokens).max(1);
        let (client, class, model) = (client.clone(), class.clone(), plan.model.clone());
        let samples = samples.clone();
        pending.push(rt::spawn(async move {
            let sample = request(&client, &address, &key, &class.name, &model, tokens).await;
            samples.borrow_mut().entry(class.name).or_default().push(sample);
        }));
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / class.rate);
    }
    for request in pending {
        let _ = request.await;
    }
}

fn results(samples: &[Sample], class: &Class, seconds: f64) -> Results {
    let mut first = histogram();
    for time in samples.iter().filter_map(|sample| sample.first) {
        first.saturating_record(time.as_micros() as u64);
    }
    let count = |test: &dyn Fn(&&Sample) -> bool| samples.iter().filter(test).count() as u64;
    let whole = count(&|sample| sample.whole);
    let in_time =
        count(&|sample| sample.whole && sample.first.is_some_and(|time| time <= class.target));
    let refused = count(&|sample| matches!(sample.status, 429 | 503));
    let sent = samples.len() as u64;
    Results {
        sent,
        whole,
        in_time,
        refused,
        failed: sent - whole - refused,
        tokens: samples.iter().map(|sample| sample.tokens).sum(),
        first_p50_ms: first.value_at_quantile(0.5) as f64 / 1_000.0,
        first_p99_ms: first.value_at_quantile(0.99) as f64 / 1_000.0,
        attainment: 100.0 * in_time as f64 / sent.max(1) as f64,
        goodput: in_time as f64 / seconds,
    }
}

/// Creates a histogram of durations in microseconds, up to two minutes.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("the bounds are valid")
}

/// Runs a closed-loop load: keeps `streams` requests open concurrently until `requests` have been sent, and returns
/// their results. Blocks until all responses have ended.
pub fn closed(
    address: &str,
    key: &str,
    class: &str,
    (streams, requests): (usize, usize),
    tokens: u32,
) -> Vec<Sample> {
    let runtime = rt::System::build().name("load").build(rt::DefaultRuntime);
    let (address, key, class) = (address.to_string(), key.to_string(), class.to_string());
    runtime.block_on(async move {
        let client = client().await;
        let remaining = Rc::new(RefCell::new(requests));
        let samples: Rc<RefCell<Vec<Sample>>> = Rc::default();
        let mut tasks = Vec::new();
        for _ in 0..streams {
            let (client, remaining, samples) = (client.clone(), remaining.clone(), samples.clone());
            let (address, key, class) = (address.clone(), key.clone(), class.clone());
            tasks.push(rt::spawn(async move {
                while take(&remaining) {
                    let sample = request(&client, &address, &key, &class, "draft", tokens).await;
                    samples.borrow_mut().push(sample);
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        samples.take()
    })
}

/// Takes one of the remaining requests. Returns whether there was one.
fn take(remaining: &RefCell<usize>) -> bool {
    let mut remaining = remaining.borrow_mut();
    let available = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    available
}

/// Formats the results by class as a table in Markdown.
pub fn table(results: &BTreeMap<String, Results>) -> String {
    let mut text = String::from(
        "| class | sent | whole | in time | refused | failed | attainment % | goodput/s | first \
         token p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for (class, f) in results {
        let _ = writeln!(
            text,
            "| {class} | {} | {} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1} |",
            f.sent,
            f.whole,
            f.in_time,
            f.refused,
            f.failed,
            f.attainment,
            f.goodput,
            f.first_p50_ms,
            f.first_p99_ms
        );
    }
    text
}
