//! How a request obtains a backend server: pauses before a retry, grants of dispatchers, and refusals.

use std::sync::Arc;

use drumusher_schedule::{
    ask::{Id, Outcome},
    order::Refusal,
    rank,
    time::{MILLISECOND, Micros},
};
use ntex::time::{Millis, sleep, timeout};

use super::{attempt, id, lifecycle::Lifecycle, watch::Watch};
use crate::{
    error::{Error, Kind},
    process::{
        Shared,
        broker::{Attempt, Decision, DispatchRequest, Grant, Input, Reply},
        clock,
    },
    version::{Backend, Pool},
};

/// Time after which an unused grant has expired, in microseconds.
const GRANT_EXPIRY: u64 = 500_000;
/// Pause after a grant for a backend server that this instance considers unusable.
const UNUSABLE_GRANT_PAUSE: Millis = Millis(20);
/// Pause after all availability zones refused a request whose response has begun.
const REFUSED_PAUSE: Millis = Millis(250);
/// Number of other availability zones that are tried after a refusal.
const MAX_OVERFLOW_ZONES: usize = 2;
/// Time that a dispatcher may take in addition to the class's wait bound, in milliseconds.
const DISPATCHER_GRACE_MS: u64 = 10_000;

impl Lifecycle {
    /// Obtains a backend server for the next attempt. A response that has begun is not sent to an engine that does not
    /// answer.
    ///
    /// # Errors
    ///
    /// The error to respond with.
    pub async fn acquire_backend(&mut self) -> Result<Backend, Error> {
        loop {
            self.pause_before_retry().await;
            let backend = self.request_grants().await?;
            if self.is_responsive(&backend).await {
                return Ok(backend);
            }
            let error = attempt::Error::NotSent;
            self.finish_attempt(Outcome::ConnectFailed);
            self.log_failure(&backend.name, error.as_str());
            if !self.may_retry(&backend, error) {
                return Err(self.incomplete_error());
            }
        }
    }

    /// Backs off before a retry, and waits until the engine is steady if the request may have broken it.
    async fn pause_before_retry(&mut self) {
        let pause = self.failures.next_backoff(rand::random()) / MILLISECOND;
        if pause > 0 {
            sleep(Millis(pause as u32)).await;
        }
        let time = self.failures.next_steady_time(rand::random());
        let deadline = self.failures.give_up_at(self.produced);
        if let (Some(watch), Some(time), Some(deadline)) = (self.watch, time, deadline) {
            self.watch_engine(watch, time, deadline).await;
        }
    }

    async fn watch_engine(&mut self, watch: Watch, time: Micros, deadline: Micros) {
        let began = clock::now();
        let relapsed = watch.until_steady(time, deadline).await;
        if relapsed {
            self.failures.excuse();
        }
        let server = self.avoid.as_deref().unwrap_or_default();
        let waited_ms = (clock::now() - began) / MILLISECOND;
        let what = if relapsed { "failed again without this request" } else { "was steady" };
        self.shared
            .explanations
            .add(self.id, format!("{server} {what}, watched for {waited_ms} ms"));
        log::info!(
            request_id = id::to_text(self.id).as_str(), server = server, waited_ms = waited_ms;
            "engine {what} after a failed attempt"
        );
    }

    /// Whether a backend server may get the request: after a failure, a response that has begun is only sent to an
    /// engine that answers.
    async fn is_responsive(&self, backend: &Backend) -> bool {
        match self.watch_for(backend).filter(|_| self.failures.suspects_engine(self.produced)) {
            Some(watch) => watch.responds().await,
            None => true,
        }
    }

    /// A watch of a backend server, if it is an engine: a plain service would take the query for a request.
    pub(super) fn watch_for(&self, backend: &Backend) -> Option<Watch> {
        let is_engine = matches!(self.pool, Pool::Model(_));
        backend.address.parse().ok().filter(|_| is_engine).map(Watch::new)
    }

    /// Requests grants until one names a usable backend server.
    async fn request_grants(&mut self) -> Result<Backend, Error> {
        // A zone that refused the request earlier may have room again.
        self.zones = zones(&self.shared, &self.pool, self.id);
        loop {
            let Some(zone) = self.zones.first().cloned() else {
                let message = format!("no backend server serves {}", self.pool);
                let error = self.refusal_error(Kind::NoServer, message, 1_000);
                self.outlast_refusal(error).await?;
                continue;
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
                    if let Err(error) = self.overflow(refusal, retry_after) {
                        self.outlast_refusal(error).await?;
                    }
                }
                Decision::Expired => {
                    span.fail("no answer");
                    self.finish_attempt(Outcome::Cancelled);
                    return Err(self.expiry_error());
                }
            }
        }
    }

    /// After a refusal by all availability zones, pauses until they are asked again if the response has begun.
    ///
    /// # Errors
    ///
    /// The error of the refusal, if it is final.
    async fn outlast_refusal(&mut self, error: Error) -> Result<(), Error> {
        if !self.failures.record_refusal(clock::now(), self.produced) {
            return Err(error);
        }
        sleep(REFUSED_PAUSE).await;
        self.zones = zones(&self.shared, &self.pool, self.id);
        Ok(())
    }

    fn expiry_error(&self) -> Error {
        if self.produced > 0 {
            let message = "no backend server went on with the response in time";
            return self.refusal_error(Kind::NoServer, message, 1_000);
        }
        self.refusal_error(Kind::WaitBound, "no dispatcher replied in time", 1_000)
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
    /// begun is submitted again instead, since its dispatcher may let it wait for longer; it is given up if an outage
    /// lasts too long.
    async fn await_decision(&self, zone: &Arc<str>) -> Decision {
        let longest = self.head.settings.wait_ms + DISPATCHER_GRACE_MS;
        let give_up_at = self.failures.give_up_at(self.produced);
        loop {
            let left = |until: Micros| until.saturating_sub(clock::now()) / MILLISECOND;
            let wait = give_up_at.map_or(longest, |until| longest.min(left(until))).max(1);
            if let Ok(decision) = timeout(Millis(wait as u32), self.next_decision()).await {
                return decision;
            }
            if self.produced == 0 || give_up_at.is_some_and(|until| left(until) == 0) {
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
