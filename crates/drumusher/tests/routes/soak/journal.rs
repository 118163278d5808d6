//! Record of what callers saw, and the guarantees that it violates.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
    time::Instant,
};

use drumusher_adapter_stand_in::{
    Server,
    server::{body, events},
};

use crate::{
    support::{Instance, Request, Response},
    uncertain_removals::removals_accepted,
};

/// Most backend servers that an idempotent request is sent to, by the configuration.
const MAX_RUNS: usize = 2;
/// Most violations that are reported; further ones add nothing new.
const MAX_REPORTED_VIOLATIONS: usize = 20;

/// The newest configuration version that an instance has served since it was started.
#[derive(Clone, Copy, Default)]
struct SeenVersion {
    starts: u32,
    version: u64,
}

/// The contents of the journal.
#[derive(Default)]
struct Inner {
    sent: BTreeMap<String, Request>,
    /// The instance that each request was sent to.
    receivers: BTreeMap<String, usize>,
    /// When each instance was paused, resumed, stopped or restarted, or its connections with others were
    /// disturbed or restored.
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

/// What all callers saw, and the injected faults that matter for its evaluation.
#[derive(Default)]
pub struct Journal {
    inner: Mutex<Inner>,
}

/// The name of the route that only this version of the configuration has.
pub fn route(version: u64) -> String {
    format!("version{version}")
}

/// Whether an instance has logged that a backend server is leaving.
pub fn knows_left(instance: &Instance, id: &str) -> bool {
    let server = format!("\"server\":\"{id}\"");
    let lines = instance.log();
    let leaves = |line: &str| line.contains(&server) && line.contains("\"leaving\":\"true\"");
    // The end of an entry may come together with the change before it.
    lines.lines().any(leaves) || removals_accepted(instance, id) > 0
}

/// A violation if a thread of the instance panicked.
pub fn find_panic(instance: &Instance) -> Option<String> {
    let lines = instance.log();
    let line = lines.lines().find(|line| line.contains("panicked"))?;
    Some(format!("an instance panicked: {line}"))
}

impl Journal {
    /// An empty journal, with the first version of the configuration.
    pub fn new() -> Journal {
        Journal { inner: Mutex::new(Inner { version: 1, ..Inner::default() }) }
    }

    fn with<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        change(&mut self.inner.lock().expect("no holder panics"))
    }

    /// Records that an instance is about to resume after a pause.
    pub fn record_resume(&self, instance: String) {
        self.with(|inner| inner.resumed_instances.push((instance, Instant::now())));
    }

    /// The instances that resumed after a pause, and when.
    pub fn resumed_instances(&self) -> Vec<(String, Instant)> {
        self.with(|inner| inner.resumed_instances.clone())
    }

    /// Records that a request is about to be sent to an instance.
    pub fn record_request(&self, request: &Request, at: usize) {
        self.with(|inner| {
            inner.sent.insert(request.id.clone(), request.clone());
            inner.receivers.insert(request.id.clone(), at);
        });
    }

    /// Records that an instance is paused, resumed, stopped or restarted, or that its connections with
    /// others are disturbed or restored.
    pub fn record_interruption(&self, at: usize) {
        self.with(|inner| inner.interruptions.entry(at).or_default().push(Instant::now()));
    }

    /// The sender of a request that arrived at a backend server: the instance, and the number of its
    /// interruptions before the arrival.
    pub fn sender(&self, id: &str, arrived: Instant) -> Option<(usize, usize)> {
        self.with(|inner| {
            let at = *inner.receivers.get(id)?;
            let interruptions = inner.interruptions.get(&at).into_iter().flatten();
            Some((at, interruptions.filter(|when| **when <= arrived).count()))
        })
    }

    /// Checks a response: complete or not, it has to be the one of this request.
    pub fn record_response(&self, request: &Request, response: &Response) {
        self.with(|inner| *inner.statuses.entry(response.status).or_default() += 1);
        let fault = match response.status {
            200 => check_success(request, response),
            408 | 421 | 429 | 503 => {
                self.with(|inner| inner.refused.insert(request.id.clone()));
                None
            }
            400..500 => Some("a valid request was rejected".to_string()),
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

    /// Records that an instance served the route that only `version` has. `starts` and `before` are what
    /// [`Journal::seen_version`] returned before the request was sent: the starts of its process and the
    /// newest version seen. An older version is a violation.
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

    /// How often an instance was started, and the newest version that it has served since the last start.
    pub fn seen_version(&self, instance: usize) -> (u32, u64) {
        self.with(|inner| {
            let starts = inner.starts.get(&instance).copied().unwrap_or(1);
            let seen_version = inner.seen_version.get(&instance).copied().unwrap_or_default();
            (starts, if seen_version.starts == starts { seen_version.version } else { 0 })
        })
    }

    /// Records that a fault begins.
    pub fn record_fault(&self) {
        self.with(|inner| inner.faults += 1);
    }

    /// Counts of faults, requests and statuses, in one line.
    pub fn summary(&self) -> String {
        self.with(|inner| {
            let (faults, sent) = (inner.faults, inner.sent.len());
            format!("{faults} faults, {sent} requests, responses by status {:?}", inner.statuses)
        })
    }

    /// Records that an instance is about to be restarted.
    pub fn record_restart(&self, instance: usize) {
        self.with(|inner| *inner.starts.entry(instance).or_insert(1) += 1);
    }

    /// Allocates the next version of the configuration.
    pub fn next_version(&self) -> u64 {
        self.with(|inner| {
            inner.version += 1;
            inner.version
        })
    }

    /// The newest version that was allocated.
    pub fn newest_version(&self) -> u64 {
        self.with(|inner| inner.version)
    }

    /// Records that a backend server left for good.
    pub fn record_departure(&self, id: &str) {
        self.with(|inner| inner.departed_servers.insert(id.to_string()));
    }

    /// The backend servers that left for good.
    pub fn departed_servers(&self) -> Vec<String> {
        self.with(|inner| inner.departed_servers.iter().cloned().collect())
    }

    /// Records a violation of a guarantee.
    pub fn record_violation(&self, what: String) {
        self.with(|inner| inner.violations.push(what));
    }

    /// The violations recorded so far and those found in the requests that the backend servers ran.
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
    /// Counts how often each request ran, and checks that each run is the request that the caller sent.
    fn count_runs(&mut self, servers: &[Server]) -> BTreeMap<String, usize> {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in servers.iter().flat_map(Server::runs) {
            // Requests of the test itself, such as its readiness checks, are not recorded.
            let Some(request) = self.sent.get(&run.id) else { continue };
            let received = &run.request;
            let unchanged =
                received.target == request.path && received.body == request.body.as_bytes();
            let workspace = received.header("drumusher-tenant");
            if !unchanged || received.method != request.method || workspace != Some("vanua") {
                let what =
                    format!("{} {} was changed on the way: {received:?}", request.path, run.id);
                self.violations.push(what);
            }
            *runs.entry(run.id).or_default() += 1;
        }
        runs
    }

    /// Checks that no request ran more often than its route allows, and none that was refused.
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

/// The fault of a response with status 200, as far as it arrived.
fn check_success(request: &Request, response: &Response) -> Option<String> {
    let stream = request.path == "/draft/" || request.path == "/talk/";
    let expected = if stream { events(&request.id) } else { body(&request.id) };
    let text = response.text();
    if response.header("drumusher-response-seal") != Some(&*format!("seal-{}", request.id)) {
        return Some("wrong response seal".into());
    }
    if !expected.starts_with(&text) {
        return Some("wrong body".into());
    }
    (response.complete && text != expected).then(|| "truncated body without an error".into())
}
