//! One request's way through the dispatcher: ask, grant, attempt, and again if need be.

use std::{cell::Cell, sync::Arc};

use drumusher_schedule::{
    ask::{Id, Outcome},
    order::Refusal,
    rank,
    retry::backoff,
    time::{MILLISECOND, Micros},
};
use log::Level;
use ntex::time::{Millis, sleep, timeout};

use super::{arrival_token, head::Head, id, in_flight::InFlight, trace::Span};
use crate::{
    error::{Error, Kind, Ran},
    process::{
        Shared,
        broker::{Attempt, CANCELLED, Grant, Input, Own, Reply, Report},
        clock,
    },
    version::{Backend, Pool},
};

/// How a request ends that got its whole answer.
pub const DONE: &str = "done";
/// Replies that may wait for a request.
const REPLIES: usize = 8;
/// A grant is worth nothing after this, in microseconds.
const GRANT_EXPIRY: u64 = 500_000;
/// Pause after a grant of a server that cannot be used as seen from here.
const UNUSABLE: Millis = Millis(20);
/// Other availability zones that are asked after a refusal.
const OVERFLOWS: usize = 2;
/// Time beyond the class's bound that a dispatcher may take to refuse, in milliseconds.
const PATIENCE_MS: u64 = 10_000;

/// A request on its way.
pub struct Flow {
    /// What the process shares.
    pub shared: Arc<Shared>,
    /// The request.
    pub id: Id,
    /// Who calls, and for what.
    pub head: Head,
    /// Its pool.
    pub pool: Pool,
    /// Its span at the entry.
    pub span: Span,
    /// Estimated prompt tokens.
    pub prompt: u32,
    /// Salted hash of the prompt's beginning; 0 for none.
    pub prefix: u64,
    /// Whether it may be handed over more than once.
    pub repeatable: bool,
    /// Tokens delivered so far.
    pub produced: u32,
    /// Attempts made.
    pub attempts: u32,
    /// Tokens delivered before the latest attempt.
    produced_before: u32,
    preemptions: u8,
    avoid: Option<Arc<str>>,
    replies: async_channel::Receiver<Reply>,
    sender: async_channel::Sender<Reply>,
    zones: Vec<Arc<str>>,
    open: bool,
    began: u64,
    /// Failures that another attempt followed, and the pause before the latest of them.
    failures: u32,
    pause: Micros,
    /// How it ended, for its log line.
    outcome: Cell<&'static str>,
    _in_flight: InFlight,
}

impl Flow {
    /// A request that arrived.
    pub fn new(in_flight: InFlight, id: Id, head: Head, pool: Pool, span: Span) -> Self {
        let (sender, replies) = async_channel::bounded(REPLIES);
        let shared = in_flight.shared();
        span.note("drumusher.request_id", id::to_text(id));
        span.note("drumusher.workspace", head.workspace.to_string());
        span.note("drumusher.class", head.class.to_string());
        span.note("drumusher.pool", pool.to_string());
        shared.explanations.add(id, format!("{pool}: arrived in class {}", head.class));
        shared.budgets.earn(&head.class);
        Flow {
            repeatable: head.settings.repeatable,
            zones: zones(&shared, &pool, id),
            shared,
            id,
            head,
            pool,
            span,
            prompt: 0,
            prefix: 0,
            produced: 0,
            attempts: 0,
            produced_before: 0,
            preemptions: 0,
            avoid: None,
            replies,
            sender,
            open: false,
            began: clock::now(),
            failures: 0,
            pause: 0,
            outcome: Cell::new("caller gone"),
            _in_flight: in_flight,
        }
    }

    /// Asks until a backend server is granted.
    ///
    /// # Errors
    ///
    /// The refusal for the caller.
    pub async fn granted(&mut self) -> Result<Backend, Error> {
        self.back_off().await;
        loop {
            let Some(zone) = self.zones.first().cloned() else {
                let message = format!("nothing serves {}", self.pool);
                return Err(self.refused(Kind::NoServer, message, 1_000));
            };
            let span = self.span.child(self.shared.telemetry.tracer(), "ask");
            span.note("drumusher.availability_zone", zone.to_string());
            self.ask(zone);
            let reply = self.wait().await;
            match reply {
                Some((Reply::Grant(Grant { server, dispatcher, .. }), at)) => {
                    span.note("drumusher.dispatcher", dispatcher.to_string());
                    span.note("drumusher.server", server.to_string());
                    span.end();
                    if let Some(backend) = self.usable(&server, at) {
                        return Ok(backend);
                    }
                    // The dispatcher will see the same soon; until then another server is better.
                    self.avoid = Some(server);
                    self.end(Outcome::Cancelled);
                    sleep(UNUSABLE).await;
                }
                Some((Reply::Refuse(refusal, retry_after), _)) => {
                    span.fail("refused");
                    span.end();
                    self.open = false;
                    self.overflow(refusal, retry_after)?;
                }
                Some((Reply::Preempt, _)) => {}
                None => {
                    span.fail("no answer");
                    self.end(Outcome::Cancelled);
                    let message = "no dispatcher answered in time";
                    return Err(self.refused(Kind::WaitBound, message, 1_000));
                }
            }
        }
    }

    /// Pauses before the second and each later repetition; the first goes elsewhere at once.
    async fn back_off(&mut self) {
        if self.failures > 1 {
            self.pause = backoff(self.pause, rand::random());
            sleep(Millis((self.pause / MILLISECOND) as u32)).await;
        }
    }

    fn ask(&mut self, area: Arc<str>) {
        while self.replies.try_recv().is_ok() {}
        let own = Own {
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
        };
        self.open = true;
        self.shared.broker.send(Input::Open(Box::new(own)));
    }

    /// Waits for the dispatcher's answer and notes when it came.
    async fn wait(&self) -> Option<(Reply, u64)> {
        let longest = self.head.settings.wait_ms + PATIENCE_MS;
        let reply = timeout(Millis(longest as u32), self.replies.recv()).await;
        reply.ok()?.ok().map(|reply| (reply, clock::now()))
    }

    /// The granted backend server, unless it is leaving or gone by the entry's own view, or the
    /// grant is too old.
    fn usable(&self, server: &str, granted: u64) -> Option<Backend> {
        if clock::now() > granted + GRANT_EXPIRY {
            return None;
        }
        let directory = self.shared.directory.load();
        directory.backend(&self.pool, server).filter(|backend| !backend.leaving).cloned()
    }

    /// After a refusal: asks the next availability zone, or gives up at once.
    fn overflow(&mut self, refusal: i16, retry_after: u64) -> Result<(), Error> {
        let own_limit = refusal == Refusal::WorkspaceLimit as i16;
        self.zones.remove(0);
        if !own_limit && !self.zones.is_empty() {
            self.shared.telemetry.count("drumusher.overflow", &[]);
            return Ok(());
        }
        let (kind, message) = match refusal {
            r if r == Refusal::QueueFull as i16 => {
                (Kind::QueueFull, "the queue is full and this request was the one to go")
            }
            r if r == Refusal::WaitBound as i16 => {
                (Kind::WaitBound, "the request would wait longer than its class allows")
            }
            r if r == Refusal::WorkspaceLimit as i16 => {
                (Kind::WorkspaceLimit, "the workspace is at its own limit")
            }
            _ => (Kind::NoServer, "no backend server can be used"),
        };
        Err(self.refused(kind, message, retry_after / 1_000))
    }

    /// A final refusal: the request was not run, or not again.
    pub fn refused(&self, kind: Kind, message: impl Into<String>, retry_after_ms: u64) -> Error {
        self.ended(kind.code());
        let head = &self.head;
        let secret = &self.shared.settings.fleet_secret;
        let place = arrival_token::issue(secret, &head.workspace, &head.class, head.arrived_ms);
        let error =
            Error::new(kind, message).with_retry_after(retry_after_ms).with_arrival_token(place);
        if self.produced > 0 || self.attempts > 0 && !self.repeatable {
            return error.with_ran(Ran::Unknown);
        }
        error
    }

    /// Waits until the dispatcher orders the attempt stopped.
    pub async fn preempted(&self) {
        loop {
            match self.replies.recv().await {
                Ok(Reply::Preempt) => return,
                Ok(_) => {}
                Err(_) => std::future::pending().await,
            }
        }
    }

    /// Reports on the running attempt.
    pub fn report(&self, first_token: Option<u64>, gap: u64) {
        let report = Report { produced: self.produced, first_token, gap };
        if !self.shared.broker.try_send(Input::Progress(self.id, report)) {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "broker")]);
        }
    }

    /// Says how the attempt ended. The grant is free again.
    pub fn end(&mut self, outcome: Outcome) {
        if !std::mem::take(&mut self.open) {
            return;
        }
        let number = outcome as i16;
        self.shared.broker.send(Input::Finish(self.id, number, self.produced));
    }

    /// Counts an attempt that is about to be handed over.
    pub fn begin_attempt(&mut self) {
        self.attempts += 1;
        self.produced_before = self.produced;
    }

    /// After an attempt that broke: whether there may be another one. A connection that was never
    /// made does not count against a request that may not be repeated. An attempt that brought
    /// tokens is continued, not repeated, and takes nothing from the retry budget: one pause of an
    /// engine breaks more streams than a budget saves up.
    pub fn may_retry(&mut self, server: &str, surely_not_run: bool) -> bool {
        self.avoid = Some(server.into());
        self.failures += 1;
        let allowed = self.repeatable || surely_not_run;
        let continued = self.produced > self.produced_before;
        allowed
            && self.attempts < self.shared.settings.backend.attempts
            && (continued || self.spend_retry())
    }

    fn spend_retry(&self) -> bool {
        let granted = self.shared.budgets.spend(&self.head.class);
        if !granted {
            let class = &*self.head.class;
            self.shared.telemetry.count("drumusher.retries.refused", &[("class", class)]);
        }
        granted
    }

    /// Logs why an attempt brought no whole answer.
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

    /// Notes how the request ended.
    pub fn ended(&self, outcome: &'static str) {
        self.outcome.set(outcome);
    }

    /// Counts a preemption by a higher tier.
    pub fn count_preemption(&mut self) {
        self.preemptions = self.preemptions.saturating_add(1);
    }

    /// Microseconds since the request came to this instance.
    pub fn age(&self) -> u64 {
        clock::now() - self.began
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        if self.open {
            let finish = Input::Finish(self.id, CANCELLED, self.produced);
            self.shared.broker.send(finish);
        }
        // Writing a line takes its worker's time, so that what went well is told on demand only.
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

/// The availability zones to ask: the own one, then others that have backend servers of the pool,
/// in an order that differs between requests.
fn zones(shared: &Shared, pool: &Pool, id: Id) -> Vec<Arc<str>> {
    let own = shared.area.clone();
    let serving = shared.directory.load().areas(pool);
    let others = serving.iter().filter(|zone| **zone != own).map(|zone| &**zone);
    let ranked = rank::order(&id::to_text(id), others);
    let mut zones: Vec<Arc<str>> = ranked.into_iter().take(OVERFLOWS).map(Arc::from).collect();
    if serving.contains(&own) {
        zones.insert(0, own);
    }
    zones
}
