//! Detects that a backend server crashed while it ran a request, whether its connections were closed, reset or fell silent.
//!
//! What a crash looks like from here differs, but afterwards the server is gone: its host refuses connections, another
//! server answers at its address or is listed there, or it is listed with a later start. So a server at which an
//! attempt broke, was given up or waits in silence is watched for a time. A server that answers as before has not
//! crashed, and silence alone proves nothing. Its dispatcher hears of the suspicion when a connection breaks, or a probe is not answered.

use drumusher_log::quarantine::PROOF_TIME;
use drumusher_platform::dialect::Dialect;
use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};
use ntex::{
    rt,
    time::{Millis, sleep},
};

use super::{Exchange, Failure, path};
use crate::{
    process::{
        broker::{Break, Crash, Input},
        clock,
    },
    routed::{Handle, digest},
    upstream::{self, Probe, incarnation, tunnel},
    version::{Backend, Pool},
};

/// Timeout of a probe's connect. The host of a crashed server refuses the connection within one round trip; a host that
/// stays silent for longer than a connect may take proves nothing.
const PROBE_TIMEOUT: Millis = Millis(200);
/// Time within which the host of a killed process closes all of its sockets.
const EXIT_TIME: Millis = Millis(20);
/// Interval at which the directory is checked for a restart.
const WATCH_INTERVAL: Millis = Millis(100);
/// Pause before the second probe, doubled up to [`MAX_PROBE_PAUSE`].
const MIN_PROBE_PAUSE: Micros = 250 * MILLISECOND;
/// Longest pause between two probes.
const MAX_PROBE_PAUSE: Micros = SECOND;
/// Pause before the first probe of a server that is only silent: the path to it is checked at the same time.
const SILENT_PROBE_PAUSE: Micros = 200 * MILLISECOND;
/// A server that answers may be one that restarted under its name: its new entry is listed within this time.
const LISTING_TIME: Micros = SECOND;
/// A server may still run a request that was given up, and crash this much later.
const GIVEN_UP_TIME: Micros = 5 * SECOND;
/// A server that does not answer is watched for this long.
const MAX_WATCH_TIME: Micros = 60 * SECOND;

/// A backend server that may have crashed, with the attempts that ran there.
#[derive(Debug, Default)]
pub struct Watch {
    attempts: Vec<Crash>,
    /// Number of these that were reported as suspected crashes.
    suspected: usize,
    /// When the server first answered after the latest attempt.
    answered_at: Option<Micros>,
    /// Whether it fell silent, so that it may have restarted before it answered.
    was_silent: bool,
    /// When the latest of them was added. What the server sent before says nothing about a crash.
    added_at: Micros,
    /// Until when a crash of a server that answers again counts.
    until: Micros,
    probe_at: Micros,
}

impl<D: Dialect> Exchange<D> {
    /// Watches the backend server of a broken attempt for a crash, unless it was about to leave.
    pub(super) fn detect_crash(&self, backend: &Backend, failure: &Failure) {
        let Failure::Broken(error) = failure else { return };
        let now = clock::now();
        match error {
            upstream::Error::NoMemory => {}
            upstream::Error::TimedOut => self.watch(backend, now + GIVEN_UP_TIME, now, true),
            upstream::Error::Lost => self.watch(backend, now + LISTING_TIME, now, true),
            _ => self.watch(backend, now + LISTING_TIME, now, false),
        }
    }

    /// Watches the backend server of an attempt that has been silent since `since` for suspiciously long.
    pub(super) fn watch_silent(&self, since: Micros) {
        let now = clock::now();
        if self.watched.get() || now < since + self.suspicious_silence() {
            return;
        }
        if let Some(backend) = &self.backend {
            self.watch(backend, now + GIVEN_UP_TIME, now + SILENT_PROBE_PAUSE, true);
        }
    }

    fn watch(&self, backend: &Backend, until: Micros, probe_at: Micros, is_silent: bool) {
        if self.is_departing(backend) {
            return;
        }
        let is_new = !self.watched.replace(true);
        let mut watches = self.worker.watches.borrow_mut();
        let key = incarnation(backend);
        let begins = !watches.contains_key(&key);
        let watch = watches.entry(key).or_default();
        watch.added_at = clock::now();
        watch.until = watch.until.max(until);
        watch.was_silent |= is_silent;
        watch.probe_at = if begins { probe_at } else { watch.probe_at.min(probe_at) };
        if is_new {
            watch.attempts.push(self.suspected_crash(backend));
            watch.answered_at = None;
        }
        // A trial that is given up before its server answers has decided nothing.
        if !is_silent || self.isolated {
            suspect(watch, &self.worker);
        }
        if begins {
            let (worker, pool) = (self.worker.clone(), self.ticket.pool().clone());
            rt::spawn(watch_server(worker, pool, backend.clone(), self.tunnelled));
        }
    }

    /// Whether the backend server of the latest attempt has crashed by now. One that leaves may end after its last response.
    pub(super) async fn has_crashed(&self) -> bool {
        let Some(backend) = &self.backend else { return false };
        let is_listed = {
            let directory = self.worker.shared.directory.load();
            directory.backend(self.ticket.pool(), &backend.name).is_some()
        };
        if !is_listed || self.is_departing(backend) {
            return false;
        }
        self.backend_restarted() || self.is_refused(backend).await
    }

    /// Whether connections to a backend server are refused. One that is accepted is kept for another request.
    async fn is_refused(&self, backend: &Backend) -> bool {
        if self.tunnelled {
            let connected = tunnel::connect(&self.worker.shared, self.ticket.pool(), backend).await;
            return matches!(connected, Err(tunnel::Error::Refused));
        }
        let Ok(address) = backend.address.parse() else { return false };
        match upstream::probe(address, PROBE_TIMEOUT).await {
            Probe::Refused => true,
            Probe::Connected(conn) => {
                // Whoever waits for a body that is no stream waits for this, too.
                let is_stream = self.request.route_match.kind.streams();
                let is_closed = is_stream && conn.is_closed_within(EXIT_TIME).await;
                if !is_closed {
                    self.return_conn(backend, conn);
                }
                is_closed
            }
            Probe::Inconclusive => false,
        }
    }

    /// Whether a backend server said that it leaves, so that its end is planned.
    fn is_departing(&self, backend: &Backend) -> bool {
        let directory = self.worker.shared.directory.load();
        let listed = directory.backend(self.ticket.pool(), &backend.name);
        let leaving = listed.is_some_and(|listed| listed.leaving);
        leaving || self.worker.shared.notices.leaves(backend)
    }

    /// The crash that the latest attempt may have caused.
    fn suspected_crash(&self, backend: &Backend) -> Crash {
        Crash {
            id: self.ticket.id(),
            digest: self.digest,
            pool: self.ticket.pool().clone(),
            area: self.worker.shared.area.clone(),
            server: backend.name.clone(),
            started_ms: backend.started_ms,
            alone: self.isolated,
            workspace: self.request.route_match.workspace.clone().unwrap_or_else(|| "".into()),
            route: self.request.route_match.route.clone(),
            parts: self.suspected_parts(),
        }
    }

    /// The parts of the prompt that may have crashed the backend server: none once it has answered for
    /// [`PROOF_TIME`].
    fn suspected_parts(&self) -> Vec<u64> {
        let received_at = self.received_at.get();
        let answered = self.first_event_at.is_some_and(|at| received_at > at + PROOF_TIME);
        let parts = if answered { &[] } else { digest::shared_parts(self.ticket.parts()) };
        parts.iter().map(|part| part.id).collect()
    }
}

/// What is known of a watched server.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// It crashed.
    Crashed,
    /// It answers.
    Answers,
    /// It leaves as planned.
    Leaves,
    /// It may have crashed.
    Unknown,
}

/// Watches a backend server until it is known whether it crashed, and reports the attempts that ran there.
async fn watch_server<D: Dialect>(
    worker: Handle<D>,
    pool: Pool,
    backend: Backend,
    tunnelled: bool,
) {
    let give_up_at = clock::now() + MAX_WATCH_TIME;
    let mut pause = MIN_PROBE_PAUSE;
    loop {
        let mut finding = listing(&worker, &pool, &backend);
        if finding == Finding::Unknown && begin_probe(&worker, &backend, &mut pause) {
            finding = probe_server(&worker, &pool, &backend, tunnelled).await;
            if finding == Finding::Unknown {
                report_suspicion(&worker, &backend);
            }
        }
        if finding == Finding::Crashed {
            return report_crash(&worker, &backend);
        }
        report_survival(&worker, &backend, finding == Finding::Answers);
        if finding == Finding::Leaves || is_over(&worker, &backend, give_up_at) {
            worker.watches.borrow_mut().remove(&incarnation(&backend));
            return;
        }
        sleep(WATCH_INTERVAL).await;
    }
}

fn is_over<D: Dialect>(worker: &Handle<D>, backend: &Backend, give_up_at: Micros) -> bool {
    let now = clock::now();
    let over = |watch: &Watch| {
        let survived = watch.answered_at.is_some() && watch.suspected == 0;
        now >= give_up_at || survived && now >= watch.until
    };
    worker.watches.borrow().get(&incarnation(backend)).is_none_or(over)
}

/// What the directory tells of a watched server.
fn listing<D: Dialect>(worker: &Handle<D>, pool: &Pool, backend: &Backend) -> Finding {
    let directory = worker.shared.directory.load();
    let listed = directory.backend(pool, &backend.name);
    let restarted = listed.is_some_and(|listed| listed.started_ms > backend.started_ms);
    match listed {
        _ if restarted || directory.is_replaced(pool, backend) => Finding::Crashed,
        Some(listed) if listed.leaving => Finding::Leaves,
        _ => Finding::Unknown,
    }
}

/// Whether a probe is due. None is needed while other requests hear the server.
fn begin_probe<D: Dialect>(worker: &Handle<D>, backend: &Backend, pause: &mut Micros) -> bool {
    let now = clock::now();
    let mut watches = worker.watches.borrow_mut();
    let Some(watch) = watches.get_mut(&incarnation(backend)) else { return false };
    if now < watch.probe_at {
        return false;
    }
    watch.probe_at = now + *pause;
    *pause = (*pause * 2).min(MAX_PROBE_PAUSE);
    true
}

/// Reports the crash of a watched server during the attempts that ran there.
fn report_crash<D: Dialect>(worker: &Handle<D>, backend: &Backend) {
    let watch = worker.watches.borrow_mut().remove(&incarnation(backend)).unwrap_or_default();
    for crash in watch.attempts {
        log::info!(
            server = &*crash.server, route = &*crash.route;
            "a backend server crashed while it ran a request"
        );
        worker.shared.broker.send(Input::Crash(Box::new(crash)));
    }
}

/// Reports the attempts at a watched server that does not answer as suspected crashes.
fn report_suspicion<D: Dialect>(worker: &Handle<D>, backend: &Backend) {
    let mut watches = worker.watches.borrow_mut();
    if let Some(watch) = watches.get_mut(&incarnation(backend)) {
        suspect(watch, worker);
    }
}

fn suspect<D: Dialect>(watch: &mut Watch, worker: &Handle<D>) {
    for attempt in &watch.attempts[watch.suspected..] {
        let suspicion = Break { attempt: attempt.clone(), survived: false };
        worker.shared.broker.send(Input::Break(Box::new(suspicion)));
    }
    (watch.suspected, watch.answered_at) = (watch.attempts.len(), None);
}

/// Reports that a watched server answers; if it was silent, once a restart under the same name would be listed. It may
/// still run attempts that were given up.
fn report_survival<D: Dialect>(worker: &Handle<D>, backend: &Backend, answers: bool) {
    let now = clock::now();
    let mut watches = worker.watches.borrow_mut();
    let Some(watch) = watches.get_mut(&incarnation(backend)) else { return };
    if answers {
        watch.answered_at.get_or_insert(now);
    }
    let listing_time = if watch.was_silent { LISTING_TIME } else { 0 };
    let survived = watch.answered_at.is_some_and(|at| now >= at + listing_time);
    if survived
        && std::mem::take(&mut watch.suspected) > 0
        && let Some(attempt) = watch.attempts.first()
    {
        let survival = Break { attempt: attempt.clone(), survived: true };
        worker.shared.broker.send(Input::Break(Box::new(survival)));
    }
}

/// Probes a watched server. It has crashed if another server answers in its place, or if its host refuses connections
/// of this instance and of another one: a lost path may refuse them too. If no other instance can be asked, the refusal
/// here counts alone.
async fn probe_server<D: Dialect>(
    worker: &Handle<D>,
    pool: &Pool,
    backend: &Backend,
    tunnelled: bool,
) -> Finding {
    let watch =
        worker.watches.borrow().get(&incarnation(backend)).map(|w| (w.added_at, w.was_silent));
    let (added_at, was_silent) = watch.unzip();
    let paths = &worker.shared.paths;
    if added_at.is_some_and(|at| paths.was_heard_after(at, backend)) {
        return Finding::Answers;
    }
    let reached = if tunnelled { Reached::Refused } else { reach(worker, pool, backend).await };
    match reached {
        Reached::Answered => return Finding::Answers,
        Reached::Other => return Finding::Crashed,
        Reached::Refused | Reached::Nothing => {}
    }
    // A server that was silent for a moment may answer the other instance just after it did not answer here.
    let blames_path = was_silent != Some(true);
    let refused = match path::connect_tunnel(worker, pool, backend, blames_path).await {
        Ok(()) => return Finding::Answers,
        Err(tunnel::Error::Refused) => reached == Reached::Refused,
        Err(tunnel::Error::NoAnswer) => false,
        Err(tunnel::Error::NoPath) => {
            let alone = !tunnelled && !paths.is_isolated();
            alone && reached == Reached::Refused
        }
    };
    // The end of a server that is no longer listed was planned, unless another one is listed in its place.
    let directory = worker.shared.directory.load();
    let listed = directory.backend(pool, &backend.name).is_some();
    if refused && listed { Finding::Crashed } else { Finding::Unknown }
}

/// What a probe over this instance's own path found.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reached {
    Answered,
    /// Another server has the address.
    Other,
    Refused,
    Nothing,
}

async fn reach<D: Dialect>(worker: &Handle<D>, pool: &Pool, backend: &Backend) -> Reached {
    let Ok(address) = backend.address.parse() else { return Reached::Nothing };
    match upstream::probe(address, PROBE_TIMEOUT).await {
        Probe::Refused => Reached::Refused,
        Probe::Connected(conn) => match path::query_health(worker, pool, backend, conn).await {
            Some(answer) if answer.is_other => Reached::Other,
            // The probe's connection is good for other requests.
            Some(answer) => {
                worker.conns.put(backend, answer.conn);
                Reached::Answered
            }
            None => Reached::Nothing,
        },
        Probe::Inconclusive => Reached::Nothing,
    }
}
