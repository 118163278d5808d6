//! Lifecycle of a request: its attempts, what they reported, and whether another one may follow.

use std::{cell::Cell, sync::Arc};

use drumusher_schedule::ask::{Id, Outcome};
use log::Level;

use super::{
    arrival_token, attempt, failures::Failures, head::Head, id, in_flight::InFlight, trace::Span,
};
use crate::{
    error::{Error, Kind, Ran},
    process::{
        Shared,
        broker::{CANCELLED, Input, Reply, Report},
        clock,
    },
    version::{Backend, Pool},
};

/// Outcome of a request whose response was complete.
pub const DONE: &str = "done";
/// Capacity of the channel for dispatcher replies.
const REPLY_CAPACITY: usize = 8;

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
    pub(super) preemptions: u8,
    /// Backend server of the latest failed attempt.
    pub(super) avoid: Option<Arc<str>>,
    pub(super) replies: async_channel::Receiver<Reply>,
    pub(super) sender: async_channel::Sender<Reply>,
    /// Availability zones that are still to be tried for the next grant.
    pub(super) zones: Vec<Arc<str>>,
    /// Whether a dispatcher has the request.
    pub(super) outstanding: bool,
    started: u64,
    pub(super) failures: Failures,
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

    /// Returns the error at the end of a response that has begun and is not continued.
    pub fn incomplete_error(&self) -> Error {
        self.shared.telemetry.count_request(&self.head.class, "failed", 0);
        self.set_outcome(Kind::Incomplete.code());
        Error::new(Kind::Incomplete, "the response is incomplete: backend servers failed")
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
    pub fn may_retry(&mut self, backend: &Backend, error: attempt::Error) -> bool {
        self.avoid = Some(backend.name.clone());
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
