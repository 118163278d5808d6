//! What callers saw, and which promises it breaks.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
    time::Instant,
};

use drumusher_adapter_stand_in::{
    Server,
    server::{body, events},
};

use crate::support::{Answer, Call, Instance};

/// Backend servers that a request which may be repeated goes to at most, by the configuration.
const MOST_RUNS: usize = 2;
/// Broken promises that are told; more say nothing new.
const TOLD: usize = 20;

/// What an instance has shown of its configuration since it was started.
#[derive(Clone, Copy, Default)]
struct Shown {
    starts: u32,
    version: u64,
}

/// What the journal holds.
#[derive(Default)]
struct Inner {
    sent: BTreeMap<String, Call>,
    /// At which instance each request was sent.
    taken: BTreeMap<String, usize>,
    /// When each instance was paused, went on, ended, or had its connections with others disturbed or mended.
    interrupted: BTreeMap<usize, Vec<Instant>>,
    promised: BTreeSet<String>,
    shown: BTreeMap<usize, Shown>,
    starts: BTreeMap<usize, u32>,
    left: BTreeSet<String>,
    version: u64,
    answers: BTreeMap<u16, usize>,
    thawed: Vec<(String, Instant)>,
    faults: usize,
    broken: Vec<String>,
}

/// What all callers saw, and what the disturber did that matters for it.
#[derive(Default)]
pub struct Journal {
    inner: Mutex<Inner>,
}

/// The route that only a version of the configuration has.
pub fn route(version: u64) -> String {
    format!("version{version}")
}

/// Whether an instance has written that a backend server leaves.
pub fn knows_left(instance: &Instance, id: &str) -> bool {
    let server = format!("\"server\":\"{id}\"");
    let lines = instance.lines();
    lines.lines().any(|line| line.contains(&server) && line.contains("\"leaving\":\"true\""))
}

/// A line if a thread of the instance panicked.
pub fn panicked(instance: &Instance) -> Option<String> {
    let lines = instance.lines();
    let line = lines.lines().find(|line| line.contains("panicked"))?;
    Some(format!("an instance panicked: {line}"))
}

impl Journal {
    /// Nothing was seen yet, with the first version in force.
    pub fn new() -> Journal {
        Journal { inner: Mutex::new(Inner { version: 1, ..Inner::default() }) }
    }

    fn with<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        change(&mut self.inner.lock().expect("no holder panics"))
    }

    /// An instance is about to go on after a pause.
    pub fn thaws(&self, instance: String) {
        self.with(|inner| inner.thawed.push((instance, Instant::now())));
    }

    /// The instances that went on after a pause, and when.
    pub fn thawed(&self) -> Vec<(String, Instant)> {
        self.with(|inner| inner.thawed.clone())
    }

    /// A request is about to be sent to an instance.
    pub fn sends(&self, call: &Call, at: usize) {
        self.with(|inner| {
            inner.sent.insert(call.id.clone(), call.clone());
            inner.taken.insert(call.id.clone(), at);
        });
    }

    /// An instance is paused, goes on, ends, or its connections with others are disturbed or mended.
    pub fn interrupts(&self, at: usize) {
        self.with(|inner| inner.interrupted.entry(at).or_default().push(Instant::now()));
    }

    /// Who sent a request that arrived at a moment: its instance, and how often that was interrupted before.
    pub fn sender(&self, id: &str, arrived: Instant) -> Option<(usize, usize)> {
        self.with(|inner| {
            let at = *inner.taken.get(id)?;
            let interrupted = inner.interrupted.get(&at).into_iter().flatten();
            Some((at, interrupted.filter(|when| **when <= arrived).count()))
        })
    }

    /// An answer came: whole or not, it has to be this request's own.
    pub fn answered(&self, call: &Call, answer: &Answer) {
        self.with(|inner| *inner.answers.entry(answer.status).or_default() += 1);
        let fault = match answer.status {
            200 => wrong_success(call, answer),
            408 | 421 | 429 | 503 => {
                self.with(|inner| inner.promised.insert(call.id.clone()));
                None
            }
            400..500 => Some("a proper request was turned away".to_string()),
            _ => None,
        };
        if let Some(fault) = fault {
            let told = answer.text();
            self.breaks(format!("{} {}: {fault}: {} {told:?}", call.path, call.id, answer.status));
        }
    }

    /// An instance answered on the route that only `version` has; `starts` counts the starts of its
    /// process before the request was sent, `before` is what [`Journal::shown`] told then.
    pub fn shows(&self, instance: usize, starts: u32, before: u64, version: u64) {
        let older = self.with(|inner| {
            if inner.starts.get(&instance).copied().unwrap_or(1) != starts {
                return false;
            }
            let shown = inner.shown.entry(instance).or_default();
            if shown.starts != starts {
                *shown = Shown { starts, version: 0 };
            }
            shown.version = shown.version.max(version);
            version < before
        });
        if older {
            self.breaks(format!("instance {instance} went from version {before} to {version}"));
        }
    }

    /// How often an instance was started, and the newest version that it has shown since.
    pub fn shown(&self, instance: usize) -> (u32, u64) {
        self.with(|inner| {
            let starts = inner.starts.get(&instance).copied().unwrap_or(1);
            let shown = inner.shown.get(&instance).copied().unwrap_or_default();
            (starts, if shown.starts == starts { shown.version } else { 0 })
        })
    }

    /// A fault begins.
    pub fn disturbs(&self) {
        self.with(|inner| inner.faults += 1);
    }

    /// How much happened, in a line.
    pub fn summary(&self) -> String {
        self.with(|inner| {
            let (faults, sent) = (inner.faults, inner.sent.len());
            format!("{faults} faults, {sent} requests, answers by status {:?}", inner.answers)
        })
    }

    /// An instance is about to be started again.
    pub fn restarts(&self, instance: usize) {
        self.with(|inner| *inner.starts.entry(instance).or_insert(1) += 1);
    }

    /// The next version of the configuration.
    pub fn next_version(&self) -> u64 {
        self.with(|inner| {
            inner.version += 1;
            inner.version
        })
    }

    /// The newest version that was written.
    pub fn newest_version(&self) -> u64 {
        self.with(|inner| inner.version)
    }

    /// A backend server left for good.
    pub fn leaves(&self, id: &str) {
        self.with(|inner| inner.left.insert(id.to_string()));
    }

    /// The backend servers that left for good.
    pub fn left(&self) -> Vec<String> {
        self.with(|inner| inner.left.iter().cloned().collect())
    }

    /// Notes a broken promise.
    pub fn breaks(&self, what: String) {
        self.with(|inner| inner.broken.push(what));
    }

    /// The promises that were broken, by what the backend servers ran too.
    pub fn broken(&self, servers: &[Server]) -> Vec<String> {
        self.with(|inner| {
            let runs = inner.count_runs(servers);
            inner.compare_runs(runs);
            inner.broken.truncate(TOLD);
            inner.broken.clone()
        })
    }
}

impl Inner {
    /// How often each request ran. Each run has to be as the caller sent it.
    fn count_runs(&mut self, servers: &[Server]) -> BTreeMap<String, usize> {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in servers.iter().flat_map(Server::runs) {
            // Requests of the harness itself are not entered.
            let Some(call) = self.sent.get(&run.id) else { continue };
            let request = &run.request;
            let same = request.target == call.path && request.body == call.body.as_bytes();
            let workspace = request.header("drumusher-tenant");
            if !same || request.method != call.method || workspace != Some("vanua") {
                let what = format!("{} {} ran changed: {request:?}", call.path, run.id);
                self.broken.push(what);
            }
            *runs.entry(run.id).or_default() += 1;
        }
        runs
    }

    /// A request runs as often as its route allows, and not at all once it was refused.
    fn compare_runs(&mut self, runs: BTreeMap<String, usize>) {
        for (id, count) in runs {
            let call = &self.sent[&id];
            let repeatable = call.path != "/book/" && call.path != "/draft/";
            let most = if repeatable { MOST_RUNS } else { 1 };
            let path = call.path.clone();
            if count > most {
                self.broken.push(format!("{path} {id} ran {count} times"));
            }
            if self.promised.contains(&id) {
                self.broken.push(format!("{path} {id} ran although it was refused"));
            }
        }
    }
}

/// What is wrong with a success, as far as it came.
fn wrong_success(call: &Call, answer: &Answer) -> Option<String> {
    let stream = call.path == "/draft/" || call.path == "/talk/";
    let due = if stream { events(&call.id) } else { body(&call.id) };
    let text = answer.text();
    if answer.header("drumusher-response-seal") != Some(&*format!("seal-{}", call.id)) {
        return Some("it has another signature".into());
    }
    if !due.starts_with(&text) {
        return Some("it has other bytes".into());
    }
    (answer.whole && text != due).then(|| "a part looks whole".into())
}
