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

use crate::support::{Instance, Request, Response};

/// Backend servers that a request which may be repeated goes to at most, by the configuration.
const MAX_RUNS: usize = 2;
/// Broken promises that are told; more say nothing new.
const MAX_REPORTED_VIOLATIONS: usize = 20;

/// What an instance has shown of its configuration since it was started.
#[derive(Clone, Copy, Default)]
struct SeenVersion {
    starts: u32,
    version: u64,
}

/// What the journal holds.
#[derive(Default)]
struct Inner {
    sent: BTreeMap<String, Request>,
    /// At which instance each request was sent.
    receivers: BTreeMap<String, usize>,
    /// When each instance was paused, went on, ended, or had its connections with others disturbed or mended.
    interruptions: BTreeMap<usize, Vec<Instant>>,
    refused: BTreeSet<String>,
    seen_version: BTreeMap<usize, SeenVersion>,
    starts: BTreeMap<usize, u32>,
    departed_servers: BTreeSet<String>,
    version: u64,
    statuses: BTreeMap<u16, usize>,
    resumed_instances: Vec<(String, Instant)>,
    faults: usize,
    violations: Vec<String>,
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
    let lines = instance.log();
    lines.lines().any(|line| line.contains(&server) && line.contains("\"leaving\":\"true\""))
}

/// A line if a thread of the instance panicked.
pub fn find_panic(instance: &Instance) -> Option<String> {
    let lines = instance.log();
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
    pub fn record_resume(&self, instance: String) {
        self.with(|inner| inner.resumed_instances.push((instance, Instant::now())));
    }

    /// The instances that went on after a pause, and when.
    pub fn resumed_instances(&self) -> Vec<(String, Instant)> {
        self.with(|inner| inner.resumed_instances.clone())
    }

    /// A request is about to be sent to an instance.
    pub fn record_request(&self, request: &Request, at: usize) {
        self.with(|inner| {
            inner.sent.insert(request.id.clone(), request.clone());
            inner.receivers.insert(request.id.clone(), at);
        });
    }

    /// An instance is paused, goes on, ends, or its connections with others are disturbed or mended.
    pub fn record_interruption(&self, at: usize) {
        self.with(|inner| inner.interruptions.entry(at).or_default().push(Instant::now()));
    }

    /// Who sent a request that arrived at a moment: its instance, and how often that was interrupted before.
    pub fn sender(&self, id: &str, arrived: Instant) -> Option<(usize, usize)> {
        self.with(|inner| {
            let at = *inner.receivers.get(id)?;
            let interruptions = inner.interruptions.get(&at).into_iter().flatten();
            Some((at, interruptions.filter(|when| **when <= arrived).count()))
        })
    }

    /// An answer came: whole or not, it has to be this request's own.
    pub fn record_response(&self, request: &Request, response: &Response) {
        self.with(|inner| *inner.statuses.entry(response.status).or_default() += 1);
        let fault = match response.status {
            200 => check_success(request, response),
            408 | 421 | 429 | 503 => {
                self.with(|inner| inner.refused.insert(request.id.clone()));
                None
            }
            400..500 => Some("a proper request was turned away".to_string()),
            _ => None,
        };
        if let Some(fault) = fault {
            let text = response.text();
            self.record_violation(format!(
                "{} {}: {fault}: {} {text:?}",
                request.path, request.id, response.status
            ));
        }
    }

    /// An instance answered on the route that only `version` has; `starts` counts the starts of its
    /// process before the request was sent, `before` is what [`Journal::shown`] text then.
    pub fn record_version(&self, instance: usize, starts: u32, before: u64, version: u64) {
        let older = self.with(|inner| {
            if inner.starts.get(&instance).copied().unwrap_or(1) != starts {
                return false;
            }
            let seen_version = inner.seen_version.entry(instance).or_default();
            if seen_version.starts != starts {
                *seen_version = SeenVersion { starts, version: 0 };
            }
            seen_version.version = seen_version.version.max(version);
            version < before
        });
        if older {
            self.record_violation(format!(
                "instance {instance} went from version {before} to {version}"
            ));
        }
    }

    /// How often an instance was started, and the newest version that it has shown since.
    pub fn seen_version(&self, instance: usize) -> (u32, u64) {
        self.with(|inner| {
            let starts = inner.starts.get(&instance).copied().unwrap_or(1);
            let seen_version = inner.seen_version.get(&instance).copied().unwrap_or_default();
            (starts, if seen_version.starts == starts { seen_version.version } else { 0 })
        })
    }

    /// A fault begins.
    pub fn record_fault(&self) {
        self.with(|inner| inner.faults += 1);
    }

    /// How much happened, in a line.
    pub fn summary(&self) -> String {
        self.with(|inner| {
            let (faults, sent) = (inner.faults, inner.sent.len());
            format!("{faults} faults, {sent} requests, answers by status {:?}", inner.statuses)
        })
    }

    /// An instance is about to be started again.
    pub fn record_restart(&self, instance: usize) {
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
    pub fn record_departure(&self, id: &str) {
        self.with(|inner| inner.departed_servers.insert(id.to_string()));
    }

    /// The backend servers that left for good.
    pub fn departed_servers(&self) -> Vec<String> {
        self.with(|inner| inner.departed_servers.iter().cloned().collect())
    }

    /// Notes a broken promise.
    pub fn record_violation(&self, what: String) {
        self.with(|inner| inner.violations.push(what));
    }

    /// The promises that were broken, by what the backend servers ran too.
    pub fn violations(&self, servers: &[Server]) -> Vec<String> {
        self.with(|inner| {
            let runs = inner.count_runs(servers);
            inner.check_run_counts(runs);
            inner.violations.truncate(MAX_REPORTED_VIOLATIONS);
            inner.violations.clone()
        })
    }
}

impl Inner {
    /// How often each request ran. Each run has to be as the caller sent it.
    fn count_runs(&mut self, servers: &[Server]) -> BTreeMap<String, usize> {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in servers.iter().flat_map(Server::runs) {
            // Requests of the harness itself are not entered.
            let Some(request) = self.sent.get(&run.id) else { continue };
            let received = &run.request;
            let same = received.target == request.path && received.body == request.body.as_bytes();
            let workspace = received.header("drumusher-tenant");
            if !same || received.method != request.method || workspace != Some("vanua") {
                let what = format!("{} {} ran changed: {received:?}", request.path, run.id);
                self.violations.push(what);
            }
            *runs.entry(run.id).or_default() += 1;
        }
        runs
    }

    /// A request runs as often as its route allows, and not at all once it was refused.
    fn check_run_counts(&mut self, runs: BTreeMap<String, usize>) {
        for (id, count) in runs {
            let request = &self.sent[&id];
            let repeatable = request.path != "/book/" && request.path != "/draft/";
            let most = if repeatable { MAX_RUNS } else { 1 };
            let path = request.path.clone();
            if count > most {
                self.violations.push(format!("{path} {id} ran {count} times"));
            }
            if self.refused.contains(&id) {
                self.violations.push(format!("{path} {id} ran although it was refused"));
            }
        }
    }
}

/// What is wrong with a success, as far as it came.
fn check_success(request: &Request, response: &Response) -> Option<String> {
    let stream = request.path == "/draft/" || request.path == "/talk/";
    let expected = if stream { events(&request.id) } else { body(&request.id) };
    let text = response.text();
    if response.header("drumusher-response-seal") != Some(&*format!("seal-{}", request.id)) {
        return Some("it has another signature".into());
    }
    if !expected.starts_with(&text) {
        return Some("it has other bytes".into());
    }
    (response.complete && text != expected).then(|| "a part looks whole".into())
}
