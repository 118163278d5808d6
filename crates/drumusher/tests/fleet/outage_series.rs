//! Responses that have begun outlive outages of their engines that come in series, drawn from a seed.
//!
//! | variable | meaning |
//! |---|---|
//! | `DRUMUSHER_OUTAGES=1000..1050` | plays these seeds instead of those of CI |
//! | `DRUMUSHER_OUTAGE_SERIES="refused 5000 500, reset 0 300"` | plays this series, as kind, length and gap in milliseconds, on all engines |
//! | `DRUMUSHER_OUTAGE_NEW=1` | sends a new request every 0.2 s meanwhile, and prints how they ended |

use std::{
    collections::HashSet,
    env,
    io::{self, Read, Write},
    net::TcpStream,
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use drumusher_bench::{
    client::Response,
    fleet::{self, Backend, Fleet, Mode, Relay, wait_for},
    stand_in::engine::answer,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde_json::json;

use crate::support::{MODEL, address_of, engine_stat, fleet, join_all, spawn_each, stream, switch};

/// Seeds that CI plays; their series are short.
const CI_SEEDS: [u64; 4] = [43, 46, 51, 66];
/// Environment variable with other seeds, as `FIRST..END`.
const SEEDS_VARIABLE: &str = "DRUMUSHER_OUTAGES";
/// Environment variable with a series to play instead of drawn ones.
const SERIES_VARIABLE: &str = "DRUMUSHER_OUTAGE_SERIES";
/// Environment variable that turns new requests on.
const NEW_VARIABLE: &str = "DRUMUSHER_OUTAGE_NEW";
/// Short limits of an attempt.
const SHORT_LIMITS: &str = "[backend]\nstall_ms = 500\nfirst_byte_ms = 500\n";
/// Length of an outage, in milliseconds.
const LENGTH_MS: Range<u64> = 100..10_000;
/// Time between two outages, in milliseconds.
const GAP_MS: Range<u64> = 100..5_000;
/// Probability that an outage begins during the one before.
const OVERLAP_PROBABILITY: f64 = 0.2;
/// Probability that an outage affects all engines.
const ALL_PROBABILITY: f64 = 0.6;
/// Tokens that a stream has beyond those of the series.
const EXTRA_TOKENS: u64 = 500;
/// How long a connection may be silent before the test gives its response up.
const READ_TIMEOUT: Duration = Duration::from_secs(120);
/// Time between two new requests.
const NEW_INTERVAL: Duration = Duration::from_millis(200);
/// How long new requests are sent after the last outage.
const NEW_AFTER: Duration = Duration::from_secs(15);

/// What happens to an engine or an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Kind {
    /// Nothing listens on the engine's port.
    Refused,
    /// Connections are accepted and closed.
    Closed,
    /// All connections are closed once.
    ClosedOnce,
    /// All connections are reset once.
    ResetOnce,
    /// No byte reaches the engine.
    StalledToEngine,
    /// No byte comes from the engine.
    StalledFromEngine,
    /// No byte passes.
    Stalled,
    /// The engine runs no steps.
    Hang,
    /// The engine answers with status 500.
    Fail,
    /// The engine answers with status 503.
    Full,
    /// Connections are closed once a request was read.
    ClosedOnData,
    /// The engine is not in the member list, and its streams go on.
    Gone,
    /// The engine is not in the member list, and nothing listens on its port.
    Removed,
    /// The engine's process ends, and is at first full when it is back.
    Restart,
    /// An instance is killed and restarted.
    InstanceKilled,
    /// An instance is suspended.
    InstancePaused,
}

/// All kinds, with the names that [`SERIES_VARIABLE`] uses.
const KINDS: [(Kind, &str); 16] = [
    (Kind::Refused, "refused"),
    (Kind::Closed, "closed"),
    (Kind::ClosedOnce, "closed-once"),
    (Kind::ResetOnce, "reset"),
    (Kind::StalledToEngine, "stalled-to"),
    (Kind::StalledFromEngine, "stalled-from"),
    (Kind::Stalled, "stalled"),
    (Kind::Hang, "hang"),
    (Kind::Fail, "fail"),
    (Kind::Full, "full"),
    (Kind::ClosedOnData, "closed-on-data"),
    (Kind::Gone, "gone"),
    (Kind::Removed, "removed"),
    (Kind::Restart, "restart"),
    (Kind::InstanceKilled, "instance-killed"),
    (Kind::InstancePaused, "instance-paused"),
];

impl Kind {
    fn name(self) -> &'static str {
        KINDS.iter().find(|(kind, _)| *kind == self).expect("all kinds have names").1
    }

    fn is_of_instance(self) -> bool {
        matches!(self, Kind::InstanceKilled | Kind::InstancePaused)
    }

    /// Whether it has no duration.
    fn is_momentary(self) -> bool {
        matches!(self, Kind::ClosedOnce | Kind::ResetOnce)
    }

    /// Whether running attempts have to be broken for it to affect them.
    fn breaks_running(self) -> bool {
        matches!(self, Kind::ResetOnce | Kind::Fail | Kind::Full | Kind::ClosedOnData)
    }
}

/// One outage of a series.
#[derive(Clone, Debug, PartialEq)]
struct Outage {
    kind: Kind,
    /// Engines, or the one instance.
    targets: Vec<usize>,
    begin_ms: u64,
    end_ms: u64,
}

/// What a seed plays.
#[derive(Clone, Debug)]
struct Plan {
    instances: usize,
    engines: usize,
    streams: usize,
    step_ms: u64,
    short_limits: bool,
    outages: Vec<Outage>,
}

impl Plan {
    fn draw(seed: u64) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut plan = Plan {
            instances: rng.random_range(1..=3),
            engines: rng.random_range(1..=2),
            streams: rng.random_range(4..=16),
            step_ms: rng.random_range(10..=25),
            short_limits: rng.random_bool(0.5),
            outages: Vec::new(),
        };
        if let Ok(series) = env::var(SERIES_VARIABLE) {
            plan.outages = parse_series(&series, plan.engines);
            return plan;
        }
        let mut at = 0;
        for _ in 0..rng.random_range(1..=8) {
            let kind = KINDS.choose(&mut rng).expect("there are kinds").0;
            // The streams of a killed instance end, so at least one other has to remain.
            let kind = match kind {
                Kind::InstanceKilled if plan.instances == 1 => Kind::InstancePaused,
                kind => kind,
            };
            let targets = if kind.is_of_instance() {
                vec![rng.random_range(0..plan.instances)]
            } else if rng.random_bool(ALL_PROBABILITY) {
                (0..plan.engines).collect()
            } else {
                vec![rng.random_range(0..plan.engines)]
            };
            let length = rng.random_range(LENGTH_MS);
            let length = if kind.is_momentary() { 0 } else { length };
            plan.outages.push(Outage { kind, targets, begin_ms: at, end_ms: at + length });
            let gap = rng.random_range(GAP_MS);
            at += if rng.random_bool(OVERLAP_PROBABILITY) { length / 2 } else { length + gap };
        }
        plan
    }

    fn end_ms(&self) -> u64 {
        self.outages.iter().map(|outage| outage.end_ms).max().unwrap_or(0)
    }

    fn describe(&self) -> String {
        let limits = if self.short_limits { "short" } else { "default" };
        let outages = self.outages.iter().map(|outage| {
            let Outage { kind, targets, begin_ms, end_ms } = outage;
            format!("{} {targets:?} {begin_ms}..{end_ms}", kind.name())
        });
        format!(
            "{} instances, {} engines, {} streams, step {} ms, {limits} limits: {}",
            self.instances,
            self.engines,
            self.streams,
            self.step_ms,
            outages.collect::<Vec<String>>().join("; ")
        )
    }
}

/// Parses a series, `KIND LENGTH GAP, ...`, whose outages affect all engines or instance 0. With a negative gap the next
/// outage begins during the one before.
fn parse_series(text: &str, engines: usize) -> Vec<Outage> {
    let mut at: u64 = 0;
    let parse = |part: &str| {
        let words: Vec<&str> = part.split_whitespace().collect();
        let [name, length, gap] = words[..] else { panic!("KIND LENGTH GAP: {part}") };
        let kind = KINDS.iter().find(|(_, other)| *other == name).expect("a kind").0;
        let length = length.parse::<u64>().expect("a number");
        let (begin_ms, end_ms) = (at, at + length);
        at = end_ms.saturating_add_signed(gap.parse().expect("a number"));
        let targets = if kind.is_of_instance() { vec![0] } else { (0..engines).collect() };
        Outage { kind, targets, begin_ms, end_ms }
    };
    text.split(',').map(parse).collect()
}

/// The faults of one engine at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Faults {
    refuse: bool,
    cut: bool,
    mode: Mode,
    hang: bool,
    fail: bool,
    full: bool,
    gone: bool,
}

/// One engine behind its relay.
struct Engine {
    address: String,
    relay: Relay,
    backend: Backend,
    faults: Faults,
}

/// The running fleet of a plan.
struct Play {
    fleet: Fleet,
    engines: Vec<Engine>,
    /// Instances that were killed at some time.
    killed: HashSet<usize>,
    active: Vec<Outage>,
    since: Instant,
}

impl Play {
    fn new(plan: &Plan) -> Play {
        let settings = if plan.short_limits { SHORT_LIMITS } else { "" };
        let mut fleet = fleet(&["suva"], plan.instances, plan.engines, settings);
        let mut engines = Vec::new();
        for number in 0..plan.engines {
            let name = format!("suva-engine-{number}");
            let address = address_of(&fleet, &name);
            switch(&address, &json!({"batch": 16, "step_ms": plan.step_ms}).to_string());
            let relay = Relay::new(address.parse().expect("an address")).expect("the relay starts");
            let backend = fleet.backends.iter_mut().find(|backend| backend.name == name);
            let backend = backend.expect("the engine");
            backend.address = relay.address();
            let backend = backend.clone();
            engines.push(Engine { address, relay, backend, faults: Faults::default() });
        }
        fleet.publish().expect("the member lists are updated");
        let (active, killed, since) = (Vec::new(), HashSet::new(), Instant::now());
        let play = Play { fleet, engines, killed, active, since };
        for (number, instance) in play.fleet.instances.iter().enumerate() {
            wait_for("requests go through the relays", || {
                let before: Vec<u64> = play.engines.iter().map(|e| e.relay.bytes()).collect();
                let tag = format!("first{number}");
                let response = stream(&instance.http, "urgent", &tag, 4);
                let now = play.engines.iter().map(|e| e.relay.bytes());
                let relayed = now.zip(before).any(|(now, before)| now > before + 500);
                relayed && response.is_ok_and(|response| response.status == 200)
            });
        }
        play
    }

    fn now_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    /// Begins and ends the outages of a plan.
    fn run(&mut self, plan: &Plan) {
        self.since = Instant::now();
        let mut events: Vec<(u64, bool, usize)> = Vec::new();
        for (number, outage) in plan.outages.iter().enumerate() {
            events.push((outage.begin_ms, true, number));
            events.push((outage.end_ms, false, number));
            // The second half of a restart.
            events.push((outage.begin_ms.midpoint(outage.end_ms), false, usize::MAX));
        }
        events.sort_by_key(|(at, ..)| *at);
        for (at, begins, number) in events {
            let due = Duration::from_millis(at);
            thread::sleep(due.saturating_sub(self.since.elapsed()));
            let Some(outage) = plan.outages.get(number) else {
                self.apply();
                continue;
            };
            println!(
                "  {} ms: {} {} {:?}",
                self.now_ms(),
                if begins { "begin" } else { "end" },
                outage.kind.name(),
                outage.targets
            );
            if outage.kind.is_of_instance() {
                self.change_instance(outage.kind, outage.targets[0], begins);
            } else if begins {
                self.active.push(outage.clone());
                self.apply();
                self.break_connections(outage);
            } else {
                self.active.retain(|other| other != outage);
                self.apply();
            }
        }
    }

    fn change_instance(&mut self, kind: Kind, number: usize, begins: bool) {
        match (kind, begins) {
            (Kind::InstanceKilled, true) => {
                self.killed.insert(number);
                self.fleet.instances[number].kill();
            }
            (Kind::InstanceKilled, false) => {
                self.fleet.restart(number).expect("the instance restarts");
            }
            (_, true) => self.fleet.instances[number].signal("STOP"),
            (_, false) => self.fleet.instances[number].signal("CONT"),
        }
    }

    fn break_connections(&self, outage: &Outage) {
        for number in &outage.targets {
            let Engine { relay, faults, .. } = &self.engines[*number];
            if outage.kind.breaks_running() {
                relay.reset();
            }
            if outage.kind == Kind::ClosedOnce && !faults.cut && !faults.refuse {
                relay.cut(true);
                relay.cut(false);
            }
        }
    }

    /// Applies the faults of the active outages to the engines.
    fn apply(&mut self) {
        for number in 0..self.engines.len() {
            let faults = self.faults(number);
            let engine = &mut self.engines[number];
            let before = std::mem::replace(&mut engine.faults, faults);
            if faults.refuse != before.refuse {
                engine.relay.refuse(faults.refuse).expect("the relay listens");
            }
            if !faults.refuse && (faults.cut != before.cut || before.refuse) {
                engine.relay.cut(faults.cut);
            }
            engine.relay.set(faults.mode);
            let Faults { hang, fail, full, .. } = faults;
            let switches = json!({"hang": hang, "fail": fail, "full": full});
            switch(&engine.address, &switches.to_string());
            if faults.gone != before.gone {
                if faults.gone {
                    let name = &engine.backend.name;
                    self.fleet.backends.retain(|backend| backend.name != *name);
                } else {
                    self.fleet.backends.push(engine.backend.clone());
                }
                self.fleet.publish().expect("the member lists are updated");
            }
        }
    }

    fn faults(&self, engine: usize) -> Faults {
        let mut faults = Faults::default();
        let now = self.now_ms();
        for outage in self.active.iter().filter(|outage| outage.targets.contains(&engine)) {
            match outage.kind {
                Kind::Refused => faults.refuse = true,
                Kind::Restart if now < outage.begin_ms.midpoint(outage.end_ms) => {
                    faults.refuse = true;
                }
                Kind::Full | Kind::Restart => faults.full = true,
                Kind::Closed => faults.cut = true,
                Kind::StalledToEngine => faults.mode = Mode::StalledToTarget,
                Kind::StalledFromEngine => faults.mode = Mode::StalledFromTarget,
                Kind::Stalled => faults.mode = Mode::Stalled,
                Kind::ClosedOnData => faults.mode = Mode::ClosedOnData,
                Kind::Hang => faults.hang = true,
                Kind::Fail => faults.fail = true,
                Kind::Gone => faults.gone = true,
                Kind::Removed => (faults.gone, faults.refuse) = (true, true),
                Kind::ClosedOnce | Kind::ResetOnce => {}
                Kind::InstanceKilled | Kind::InstancePaused => {}
            }
        }
        faults
    }

    fn sum(&self, what: &str) -> u64 {
        self.engines.iter().map(|engine| engine_stat(&engine.address, what)).sum()
    }

    /// Number of log lines with a text, over all instances.
    fn logged(&self, text: &str) -> usize {
        self.fleet.instances.iter().map(|i| i.lines().matches(text).count()).sum()
    }

    /// The decisions on a request and the log lines about it.
    fn trace(&self, entry: usize, id: &str) -> String {
        let rows = self.fleet.ask(entry, &format!("show request {id}"));
        let rows = rows.map(|response| response.lines()).unwrap_or_default();
        let steps = rows.iter().map(|row| format!("{} {}", row["time_ms"], row["what"]));
        let lines = self.fleet.instances[entry].lines();
        let logged = lines.lines().filter(|line| line.contains(id)).map(String::from);
        steps.chain(logged).collect::<Vec<String>>().join("\n    ")
    }
}

/// A completion, and what its caller got.
struct Call {
    tag: String,
    class: &'static str,
    streamed: bool,
    tokens: u32,
    entry: usize,
    response: io::Result<Response>,
    /// Last event of the body, and when it was read.
    last: String,
    ended_ms: u64,
}

impl Call {
    /// Sends the request and reads the response, however long it takes.
    fn send(&mut self, address: &str, since: Instant) {
        let prompt = format!("{} tell", self.tag);
        let body = json!({
            "model": MODEL, "prompt": prompt, "max_tokens": self.tokens, "stream": self.streamed
        });
        self.response = exchange(address, self.class, &body.to_string());
        self.ended_ms = since.elapsed().as_millis() as u64;
        if let Ok(response) = &self.response {
            self.last = response.body.trim_end().rsplit("\n\n").next().unwrap_or("").into();
        }
    }

    fn is_whole(&self) -> bool {
        let Ok(response) = &self.response else { return false };
        let expected = answer(&self.tag, self.tokens);
        if response.status != 200 {
            return false;
        }
        if self.streamed {
            let ended = response.body.ends_with("data: [DONE]\n\n");
            return ended && response.streamed_text() == expected;
        }
        response.json()["choices"][0]["text"] == json!(expected)
    }

    /// Error code that the caller got.
    fn code(&self) -> String {
        let Ok(response) = &self.response else { return "connection".into() };
        let text = self.last.strip_prefix("data: ").unwrap_or(&self.last);
        let error = serde_json::from_str::<serde_json::Value>(text).unwrap_or_default();
        let code = error["error"]["code"].as_str().unwrap_or("none");
        format!("{} {code}", response.status)
    }

    fn id(&self) -> &str {
        let response = self.response.as_ref().ok();
        response.and_then(|response| response.header("x-request-id")).unwrap_or("none")
    }
}

/// Sends a request on a connection of its own, without a limit on the whole response.
pub fn exchange(address: &str, class: &str, body: &str) -> io::Result<Response> {
    let mut connection = TcpStream::connect(address)?;
    connection.set_read_timeout(Some(READ_TIMEOUT))?;
    write!(
        connection,
        "POST /v1/completions HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\
         authorization: Bearer {}\r\ndrumusher-class: {class}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        fleet::key("vanua"),
        body.len()
    )?;
    let mut bytes = Vec::new();
    let broken = connection.read_to_end(&mut bytes).is_err();
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_string()))
        .collect();
    let chunked =
        headers.iter().any(|(name, value)| name == "transfer-encoding" && value == "chunked");
    let body = if chunked { join_chunks(body) } else { body.to_string() };
    Ok(Response { status: status.unwrap_or(0), headers, body, broken })
}

/// Decodes a chunked body, as far as it is complete.
fn join_chunks(mut rest: &str) -> String {
    let mut body = String::new();
    while let Some((size, tail)) = rest.split_once("\r\n") {
        let Some(size) = usize::from_str_radix(size, 16).ok().filter(|size| *size > 0) else {
            break;
        };
        let Some(chunk) = tail.get(..size) else { break };
        body.push_str(chunk);
        rest = tail.get(size + 2..).unwrap_or("");
    }
    body
}

/// Sends new requests until stopped. Returns for each when it was sent and how it ended.
fn send_new(addresses: Vec<String>, since: Instant, stop: &AtomicBool) -> Vec<(u64, u64, String)> {
    let mut threads = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let number = threads.len();
        let address = addresses[number % addresses.len()].clone();
        threads.push(thread::spawn(move || {
            let mut call = call(format!("new{number}"), "urgent", true, 2, 0);
            let sent = since.elapsed().as_millis() as u64;
            call.send(&address, since);
            let outcome = if call.is_whole() { "whole".into() } else { call.code() };
            (sent, call.ended_ms - sent, outcome)
        }));
        thread::sleep(NEW_INTERVAL);
    }
    join_all(threads)
}

fn call(tag: String, class: &'static str, streamed: bool, tokens: u32, entry: usize) -> Call {
    let response = Err(io::ErrorKind::NotConnected.into());
    Call { tag, class, streamed, tokens, entry, response, last: String::new(), ended_ms: 0 }
}

/// Plays a seed. Returns what was cut.
fn run_seed(seed: u64) -> Vec<String> {
    let plan = Plan::draw(seed);
    println!("seed {seed}: {}", plan.describe());
    let mut play = Play::new(&plan);
    let tokens = (EXTRA_TOKENS + plan.end_ms() / plan.step_ms) as u32;
    let addresses: Vec<String> = play.fleet.instances.iter().map(|i| i.http.clone()).collect();
    let started = Instant::now();
    let calls = spawn_each(plan.streams, {
        let addresses = addresses.clone();
        move |number| {
            let entry = number % addresses.len();
            // Both classes at each instance, and each fourth response at once.
            let class = ["urgent", "summary"][number / addresses.len() % 2];
            let mut call = call(format!("t{number}"), class, number % 4 != 3, tokens, entry);
            call.send(&addresses[entry], started);
            call
        }
    });
    let before = play.sum("tokens");
    wait_for("all streams run", || {
        let running = play.sum("running") == plan.streams as u64;
        running && play.sum("tokens") > before + 5 * plan.streams as u64
    });
    let offset = started.elapsed().as_millis() as u64;
    let stop = Arc::new(AtomicBool::new(false));
    let prober = env::var(NEW_VARIABLE).is_ok().then(|| {
        let (addresses, stop, since) = (addresses.clone(), stop.clone(), Instant::now());
        thread::spawn(move || send_new(addresses, since, &stop))
    });
    play.run(&plan);
    let recovered = play.now_ms();
    let failed_before = play.logged("attempt ended");
    if prober.is_some() {
        thread::sleep(NEW_AFTER);
    }
    for engine in &play.engines {
        switch(&engine.address, r#"{"step_ms": 1.0}"#);
    }
    let calls = join_all(calls);
    let failed_after = play.logged("attempt ended") - failed_before;
    stop.store(true, Ordering::Release);
    play.fleet.wait_ready();
    if let Some(prober) = prober {
        let new = prober.join().expect("the thread ends");
        let since = |row: &&(u64, u64, String)| row.0 > recovered;
        let refused = |row: &&(u64, u64, String)| row.2 != "whole";
        let first = new.iter().filter(since).find(|row| row.2 == "whole");
        let last = new.iter().filter(since).rfind(refused).map(|row| row.0 + row.1 - recovered);
        let count = new.iter().filter(since).filter(refused).count();
        let during = new.iter().filter(|row| row.0 <= recovered).filter(refused).count();
        let slowest = new.iter().filter(since).map(|row| row.1).max().unwrap_or(0);
        println!(
            "  NEW: during the series {during} failed; after it {count} failed, the last {last:?} ms after; first whole sent {:?} ms after, took {:?} ms; slowest {slowest} ms; codes {:?}",
            first.map(|row| row.0 - recovered),
            first.map(|row| row.1),
            new.iter().map(|row| row.2.clone()).collect::<HashSet<String>>()
        );
    }
    let mut cut = Vec::new();
    let judged = calls.iter().filter(|call| !play.killed.contains(&call.entry));
    let count = judged.clone().count();
    for call in judged.filter(|call| !call.is_whole()) {
        let events = call.response.as_ref().map_or(0, |r| r.body.matches("token_index").count());
        cut.push(format!(
            "{} {} {} at instance {}: cut at {} ms, {} events of {}, {}, last {}\n    {}",
            call.tag,
            call.class,
            if call.streamed { "streamed" } else { "at once" },
            call.entry,
            call.ended_ms.saturating_sub(offset),
            events,
            call.tokens,
            call.code(),
            call.last.chars().take(300).collect::<String>(),
            play.trace(call.entry, call.id())
        ));
    }
    println!(
        "RESULT seed {seed}: {} whole, {} cut; {failed_after} failed attempts after the series; {}",
        count - cut.len(),
        cut.len(),
        plan.describe()
    );
    cut
}

/// Guards against responses that are cut by outages which end, and against callers who never get an end.
#[test]
fn begun_responses_outlive_series_of_outages() {
    let seeds: Vec<u64> = match env::var(SEEDS_VARIABLE) {
        Ok(text) => {
            let bounds = text.split_once("..").expect("FIRST..END");
            let number = |text: &str| text.parse::<u64>().expect("a number");
            (number(bounds.0)..number(bounds.1)).collect()
        }
        Err(_) => CI_SEEDS.to_vec(),
    };
    let mut failed = Vec::new();
    for seed in seeds {
        let cut = run_seed(seed);
        cut.iter().for_each(|line| println!("  CUT seed {seed} {line}"));
        if !cut.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "responses were cut with seeds {failed:?}");
}
