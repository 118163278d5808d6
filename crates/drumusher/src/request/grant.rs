//! How a request obtains a backend server: pauses before a retry, grants of dispatchers, and refusals.

use std::{net::SocketAddr, ops::Range, sync::Arc};

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
/// Pause after all availability zones refused a request whose response has begun, in milliseconds.
const REFUSED_PAUSE_MS: Range<u32> = 250..500;
/// Maximum number of engines that are watched in turn.
const MAX_WATCHED: usize = 4;
/// Number of other availability zones that are tried after a refusal.
const MAX_OVERFLOW_ZONES: usize = 2;
/// Interval at which a waiting request checks whether this instance is stopping.
const STOP_CHECK: Millis = Millis(250);
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
        let deadline = self.failures.outage_limit(self.produced);
        if let (Some(time), Some(deadline)) = (time, deadline) {
            self.watch_engines(time, deadline).await;
        }
    }

    async fn watch_engines(&mut self, time: Micros, deadline: Micros) {
        let Some(watch) = self.watch() else { return };
        let began = clock::now();
        watch.until_steady(time, deadline).await;
        let waited_ms = (clock::now() - began) / MILLISECOND;
        let steady_ms = time / MILLISECOND;
        let what = format!("waited {waited_ms} ms for an engine to be steady for {steady_ms} ms");
        self.shared.explanations.add(self.id, what);
        log::info!(
            request_id = id::to_text(self.id).as_str(), steady_ms = steady_ms, waited_ms = waited_ms;
            "waited for a steady engine after failed attempts"
        );
    }

    /// A watch of the engine of the latest failure and of some others of the pool. `None` for a plain service, which would
    /// take the query for a request.
    fn watch(&self) -> Option<Watch> {
        let directory = self.shared.directory.load();
        let areas = directory.areas(&self.pool);
        let backends = areas.iter().flat_map(|area| directory.backends(&self.pool, area));
        let mut usable: Vec<&Backend> = backends.filter(|backend| !backend.leaving).collect();
        usable.sort_by_key(|backend| self.avoid.as_ref() != Some(&backend.name));
        let addresses = usable.iter().filter_map(|backend| backend.address.parse().ok());
        let engines: Vec<SocketAddr> = addresses.take(MAX_WATCHED).collect();
        let is_engine = matches!(self.pool, Pool::Model(_)) && !engines.is_empty();
        is_engine.then(|| Watch::new(engines, self.connect_timeout()))
    }

    fn connect_timeout(&self) -> Millis {
        Millis(self.shared.settings.backend.connect_ms as u32)
    }

    /// Whether a backend server may get the request: after a failure, a response that has begun is not sent to an engine
    /// that is known to be away.
    async fn is_responsive(&self, backend: &Backend) -> bool {
        let is_engine = matches!(self.pool, Pool::Model(_));
        if !is_engine || !self.failures.suspects_engine(self.produced) {
            return true;
        }
        let Ok(address) = backend.address.parse() else { return true };
        Watch::new(vec![address], self.connect_timeout()).responds().await
    }

    /// Requests grants until one names a usable backend server.
    async fn request_grants(&mut self) -> Result<Backend, Error> {
        // A zone that refused the request earlier may have room again.
        self.zones = zones(&self.shared, &self.pool, self.id);
        loop {
            let Some(zone) = self.zones.first().cloned() else {
                let message = format!("no backend server serves {}", self.pool);
                self.outlast_refusal((Kind::NoServer, message), 1_000).await?;
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
                    if !self.overflow(refusal) {
                        self.outlast_refusal(reason(refusal), retry_after / 1_000).await?;
                    }
                }
                Decision::Stopping => {
                    span.fail("stopping");
                    self.finish_attempt(Outcome::Cancelled);
                    let message = "this instance is stopping";
                    return Err(self.refusal_error(Kind::NotReady, message, 1_000));
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

    /// After a refusal by all availability zones, pauses until they are asked again if the response has begun.
    ///
    /// # Errors
    ///
    /// The error of the refusal, if it is final.
    async fn outlast_refusal(
        &mut self,
        (kind, message): (Kind, String),
        retry_after_ms: u64,
    ) -> Result<(), Error> {
        if !self.failures.record_refusal(clock::now(), self.produced) {
            return Err(self.refusal_error(kind, message, retry_after_ms));
        }
        sleep(Millis(rand::random_range(REFUSED_PAUSE_MS))).await;
        self.zones = zones(&self.shared, &self.pool, self.id);
        Ok(())
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
            stream: None,
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
            deadline: None,
            parts: Vec::new(),
            replies: self.sender.clone(),
        }
    }

    /// Waits for the dispatcher's decision. A new request is given up if none arrives in time. One whose answer has
    /// begun is submitted again instead, since its dispatcher may let it wait for longer.
    async fn await_decision(&self, zone: &Arc<str>) -> Decision {
        let longest = (self.head.settings.wait_ms + DISPATCHER_GRACE_MS) * MILLISECOND;
        loop {
            let until = clock::now() + longest;
            while clock::now() < until {
                if let Ok(decision) = timeout(STOP_CHECK, self.next_decision()).await {
                    return decision;
                }
                if self.produced == 0 && self.shared.stop_refuses_waiting(None) {
                    return Decision::Stopping;
                }
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

    /// Handles a refusal: moves on to the next availability zone. Returns whether there is one that may be asked.
    fn overflow(&mut self, refusal: i16) -> bool {
        self.zones.remove(0);
        if refusal == Refusal::WorkspaceLimit as i16 || self.zones.is_empty() {
            return false;
        }
        self.shared.telemetry.count("drumusher.overflow", &[]);
        true
    }
}

/// Kind of error and message for a refusal.
fn reason(refusal: i16) -> (Kind, String) {
    let (kind, message) = match refusal {
        r if r == Refusal::QueueFull as i16 => {
            (Kind::QueueFull, "the queue is full and this request was evicted")
        }
        r if r == Refusal::WaitBound as i16 => {
            (Kind::WaitBound, "the request would wait longer than its class allows")
        }
        r if r == Refusal::Unmeetable as i16 => {
            (Kind::WaitBound, "the answer would end after the caller stops waiting")
        }
        r if r == Refusal::WorkspaceLimit as i16 => {
            (Kind::WorkspaceLimit, "the workspace has reached its limit")
        }
        _ => (Kind::NoServer, "no backend server is usable"),
    };
    (kind, message.into())
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
