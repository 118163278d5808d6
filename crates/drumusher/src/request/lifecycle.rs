//! Lifecycle of a request: obtain a grant from a dispatcher, make an attempt, and retry if necessary.

use std::{cell::Cell, sync::Arc};

use drumusher_schedule::{
    ask::{Id, Outcome},
    order::Refusal,
    rank,
    time::MILLISECOND,
};
use log::Level;
use ntex::time::{Millis, sleep, timeout};

use super::{
    arrival_token, attempt, failures::Failures, head::Head, id, in_flight::InFlight, trace::Span,
};
use crate::{
    error::{Error, Kind, Ran},
    process::{
        Shared,
        broker::{Attempt, CANCELLED, Decision, DispatchRequest, Grant, Input, Reply, Report},
        clock,
    },
    version::{Backend, Pool},
};

/// Outcome of a request whose response was complete.
pub const DONE: &str = "done";
/// Capacity of the channel for dispatcher replies.
const REPLY_CAPACITY: usize = 8;
/// Time after which an unused grant has expired, in microseconds.
const GRANT_EXPIRY: u64 = 500_000;
/// Pause after a grant for a backend server that this instance considers unusable.
const UNUSABLE_GRANT_PAUSE: Millis = Millis(20);
/// Number of other availability zones that are tried after a refusal.
const MAX_OVERFLOW_ZONES: usize = 2;
/// Time that a dispatcher may take in addition to the class's wait bound, in milliseconds.
const DISPATCHER_GRACE_MS: u64 = 10_000;

/// A request from its arrival to its end.
pub struct Lifecycle {
    /// State shared by the process.
    pub shared: Arc<Shared>,
    /// Request ID.
    pub id: Id,
    /// Values from the client's headers.
    pub head: Head,
    /// Pool of backend servers.
    pub pool: Pool,
    /// Server span of the request.
    pub span: Span,
    /// Estimated prompt length in tokens.
    pub prompt: u32,
    /// Salted hash of the prompt prefix; 0 for none.
    pub prefix: u64,
    /// Whether it may be sent more than once.
    pub repeatable: bool,
    /// Tokens delivered so far.
    pub produced: u32,
    /// Number of attempts made.
    pub attempts: u32,
    preemptions: u8,
    avoid: Option<Arc<str>>,
    replies: async_channel::Receiver<Reply>,
    sender: async_channel::Sender<Reply>,
    zones: Vec<Arc<str>>,
    outstanding: bool,
    started: u64,
    failures: Failures,
    /// Outcome, for the log line.
    outcome: Cell<&'static str>,
    _in_flight: InFlight,
}

impl Lifecycle {
    /// Creates the state of a request that just arrived.
    pub fn new(in_flight: InFlight, id: Id, head: Head, pool: Pool, span: Span) -> Self {
        let (sender, replies) = async_channel::bounded(REPLY_CAPACITY);
        let shared = in_flight.shared();
        span.set_attribute("drumusher.request_id", id::to_text(id));
        span.set_attribute("drumusher.workspace", head.workspace.to_string());
        span.set_attribute("drumusher.class", head.class.to_string());
        span.set_attribute("drumusher.pool", pool.to_string());
        shared.explanations.add(id, format!("{pool}: arrived in class {}", head.class));
        shared.budgets.earn(&head.class);
        Lifecycle {
            repeatable: head.settings.repeatable,
            zones: Vec::new(),
            shared,
            id,
            head,
            pool,
            span,
            prompt: 0,
            prefix: 0,
            produced: 0,
            attempts: 0,
            preemptions: 0,
            avoid: None,
            replies,
            sender,
            outstanding: false,
            started: clock::now(),
            failures: Failures::new(),
            outcome: Cell::new("caller gone"),
            _in_flight: in_flight,
        }
    }

    /// Requests grants until one names a usable backend server.
    ///
    /// # Errors
    ///
    /// The error to respond with.
    pub async fn acquire_backend(&mut self) -> Result<Backend, Error> {
        self.back_off().await;
        // A zone that refused the request earlier may have room again.
        self.zones = zones(&self.shared, &self.pool, self.id);
        loop {
            let Some(zone) = self.zones.first().cloned() else {
                let message = format!("no backend server serves {}", self.pool);
                return Err(self.refusal_error(Kind::NoServer, message, 1_000));
            };
            let span = self.span.child(self.shared.telemetry.tracer(), "ask");
            span.set_attribute("drumusher.availability_zone", zone.to_string());
            self.request_grant(zone.clone());
            match self.await_decision(&zone).await {
                Decision::Granted(Grant { server, dispatcher, .. }) => {
                    let granted_at = clock::now();
                    span.set_attribute("drumusher.dispatcher", dispatcher.to_string());
                    span.set_attribute("drumusher.server", server.to_string());
                    span.end();
                    if let Some(backend) = self.usable_backend(&server, granted_at) {
                        return Ok(backend);
                    }
                    // The dispatcher will learn the same shortly; until then, another server is preferred.
                    self.avoid = Some(server);
                    self.finish_attempt(Outcome::Cancelled);
                    sleep(UNUSABLE_GRANT_PAUSE).await;
                }
                Decision::Refused(refusal, retry_after) => {
                    span.fail("refused");
                    span.end();
                    self.outstanding = false;
                    self.overflow(refusal, retry_after)?;
                }
                Decision::Expired => {
                    span.fail("no answer");
                    self.finish_attempt(Outcome::Cancelled);
                    let message = "no dispatcher replied in time";
                    return Err(self.refusal_error(Kind::WaitBound, message, 1_000));
                }
            }
        }
    }

    /// Backs off before a retry.
    async fn back_off(&mut self) {
        let pause = self.failures.next_backoff(rand::random()) / MILLISECOND;
        if pause > 0 {
            sleep(Millis(pause as u32)).await;
        }
    }

    /// Requests a grant from the dispatcher of an availability zone, and discards replies to earlier requests.
    fn request_grant(&mut self, area: Arc<str>) {
        while self.replies.try_recv().is_ok() {}
        self.outstanding = true;
        self.shared.broker.send(Input::Open(Box::new(self.dispatch_request(area))));
    }

    fn dispatch_request(&self, area: Arc<str>) -> DispatchRequest {
        DispatchRequest {
            attempt: Attempt::First,
            digest: None,
            id: self.id,
            pool: self.pool.clone(),
            area,
            workspace: self.head.workspace.clone(),
            class: self.head.class.clone(),
            arrived: self.head.arrived,
            prompt: self.prompt,
            prefix: self.prefix,
            produced: self.produced,
            repeatable: self.repeatable,
            preemptions: self.preemptions,
            avoid: self.avoid.clone(),
            output: 0,
            parts: Vec::new(),
            replies: self.sender.clone(),
        }
    }

    /// Waits for the dispatcher's decision. A new request is given up if none arrives in time. One whose answer has
    /// begun is submitted again instead, since its dispatcher may let it wait for longer.
    async fn await_decision(&self, zone: &Arc<str>) -> Decision {
        let longest = Millis((self.head.settings.wait_ms + DISPATCHER_GRACE_MS) as u32);
        loop {
            if let Ok(decision) = timeout(longest, self.next_decision()).await {
                return decision;
            }
            if self.produced == 0 {
                return Decision::Expired;
            }
            let request = self.dispatch_request(zone.clone());
            self.shared.broker.send(Input::Open(Box::new(request)));
        }
    }

    /// The next reply that is a decision. A preemption is for an attempt that has already ended.
    async fn next_decision(&self) -> Decision {
        loop {
            match self.replies.recv().await.map(Reply::into_decision) {
                Ok(Some(decision)) => return decision,
                Ok(None) => {}
                Err(_) => return Decision::Expired,
            }
        }
    }

    /// Returns the granted backend server, unless it is leaving or missing in this instance's directory, or the grant
    /// has expired.
    fn usable_backend(&self, server: &str, granted_at: u64) -> Option<Backend> {
        if clock::now() > granted_at + GRANT_EXPIRY {
            return None;
        }
        let directory = self.shared.directory.load();
        directory.backend(&self.pool, server).filter(|backend| !backend.leaving).cloned()
    }

    /// Handles a refusal: moves on to the next availability zone, or returns the final error.
    fn overflow(&mut self, refusal: i16, retry_after: u64) -> Result<(), Error> {
        let workspace_limited = refusal == Refusal::WorkspaceLimit as i16;
        self.zones.remove(0);
        if !workspace_limited && !self.zones.is_empty() {
            self.shared.telemetry.count("drumusher.overflow", &[]);
            return Ok(());
        }
        let (kind, message) = match refusal {
            r if r == Refusal::QueueFull as i16 => {
                (Kind::QueueFull, "the queue is full and this request was evicted")
            }
            r if r == Refusal::WaitBound as i16 => {
                (Kind::WaitBound, "the request would wait longer than its class allows")
            }
            r if r == Refusal::WorkspaceLimit as i16 => {
                (Kind::WorkspaceLimit, "the workspace has reached its limit")
            }
            _ => (Kind::NoServer, "no backend server is usable"),
        };
        Err(self.refusal_error(kind, message, retry_after / 1_000))
    }

    /// Returns the error of a final refusal: the request did not run, or not again. It carries an arrival token, with
    /// which the client keeps its position in the queue.
    pub fn refusal_error(
        &self,
        kind: Kind,
        message: impl Into<String>,
        retry_after_ms: u64,
    ) -> Error {
        self.set_outcome(kind.code());
        let head = &self.head;
        let secret = &self.shared.settings.fleet_secret;
        let token = arrival_token::issue(secret, &head.workspace, &head.class, head.arrived_ms);
        let error =
            Error::new(kind, message).with_retry_after(retry_after_ms).with_arrival_token(token);
        if self.produced > 0 || self.attempts > 0 && !self.repeatable {
            return error.with_ran(Ran::Unknown);
        }
        error
    }

    /// Waits until the dispatcher preempts the running attempt.
    pub async fn await_preemption(&self) {
        loop {
            match self.replies.recv().await {
                Ok(Reply::Preempt) => return,
                Ok(_) => {}
                Err(_) => std::future::pending().await,
            }
        }
    }

    /// Reports progress of the running attempt to the dispatcher.
    pub fn report_progress(&self, first_token: Option<u64>, gap: u64) {
        let report_progress = Report { produced: self.produced, first_token, gap };
        if !self.shared.broker.try_send(Input::Progress(self.id, report_progress)) {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "broker")]);
        }
    }

    /// Reports the outcome of the attempt to the dispatcher, which releases the grant.
    pub fn finish_attempt(&mut self, outcome: Outcome) {
        if !std::mem::take(&mut self.outstanding) {
            return;
        }
        let number = outcome as i16;
        self.shared.broker.send(Input::Finish(self.id, number, self.produced));
    }

    /// Counts an attempt that is about to be sent.
    pub fn begin_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Returns whether a failed attempt may be retried. A request that may not be repeated is still retried if it
    /// certainly did not run, for example because no connection was established. Only consecutive failures count
    /// against the bound on attempts. An answer that has begun costs no retry budget, since the caller would lose what
    /// it has: one pause of an engine breaks more streams than a budget can accumulate.
    pub fn may_retry(&mut self, server: &str, error: attempt::Error) -> bool {
        self.avoid = Some(server.into());
        let attempts = self.shared.settings.backend.attempts;
        let within_bounds = self.failures.record(clock::now(), self.produced, error, attempts);
        let allowed = self.repeatable || error.not_run();
        allowed && within_bounds && (self.produced > 0 || self.spend_retry())
    }

    fn spend_retry(&self) -> bool {
        let allowed = self.shared.budgets.spend(&self.head.class);
        if !allowed {
            let class = &*self.head.class;
            self.shared.telemetry.count("drumusher.retries.refused", &[("class", class)]);
        }
        allowed
    }

    /// Logs why an attempt failed.
    pub fn log_failure(&self, server: &str, reason: &'static str) {
        self.shared.explanations.add(self.id, format!("attempt at {server} {reason}"));
        self.shared.telemetry.count("drumusher.attempt.failures", &[("reason", reason)]);
        log::info!(
            request_id = id::to_text(self.id).as_str(),
            server = server,
            attempt = self.attempts,
            tokens = self.produced,
            lasted_ms = self.age() / 1_000;
            "attempt ended: {reason}"
        );
    }

    /// Sets the outcome that is logged at the end of the request.
    pub fn set_outcome(&self, outcome: &'static str) {
        self.outcome.set(outcome);
    }

    /// Counts a preemption by a higher priority tier.
    pub fn count_preemption(&mut self) {
        self.preemptions = self.preemptions.saturating_add(1);
    }

    /// Microseconds since the request reached this instance.
    pub fn age(&self) -> u64 {
        clock::now() - self.started
    }
}

impl Drop for Lifecycle {
    fn drop(&mut self) {
        if self.outstanding {
            let finish = Input::Finish(self.id, CANCELLED, self.produced);
            self.shared.broker.send(finish);
        }
        // Writing a log line takes time of the HTTP worker, so successful requests are logged at debug level only.
        let level = if self.outcome.get() == DONE { Level::Debug } else { Level::Info };
        log::log!(
            level,
            request_id = id::to_text(self.id).as_str(),
            workspace = &*self.head.workspace,
            class = &*self.head.class,
            trace_id = self.span.trace().as_str(),
            pool = self.pool.to_string().as_str(),
            attempts = self.attempts,
            tokens = self.produced,
            lasted_ms = self.age() / 1_000;
            "request ended: {}",
            self.outcome.get()
        );
    }
}

/// Returns the availability zones to try: the instance's own first, then others that have backend servers of the pool,
/// in an order that differs between requests.
fn zones(shared: &Shared, pool: &Pool, id: Id) -> Vec<Arc<str>> {
    let own = shared.area.clone();
    let serving_zones = shared.directory.load().areas(pool);
    let others = serving_zones.iter().filter(|zone| **zone != own).map(|zone| &**zone);
    let ranked = rank::order(&id::to_text(id), others);
    let mut zones: Vec<Arc<str>> =
        ranked.into_iter().take(MAX_OVERFLOW_ZONES).map(Arc::from).collect();
    if serving_zones.contains(&own) {
        zones.insert(0, own);
    }
    zones
}
