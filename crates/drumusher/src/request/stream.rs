//! Token stream of a completion, across all of its attempts.

use drumusher_schedule::ask::Outcome;
use ntex::{
    http::Method,
    util::{Bytes, Either, select},
};
use serde_json::{Map, Value, json};

use super::{
    attempt::{self, AttemptRequest},
    claim::Claim,
    completion::CompletionKind,
    lifecycle::{DONE, Lifecycle},
    sse::{MAX_EVENT_BYTES, Scanner},
    trace::Span,
};
use crate::{
    error::{Error, Kind, Ran},
    process::{
        clock,
        memory::{Reservation, Use},
    },
    version::Backend,
};

/// Interval between progress reports on a running attempt, in microseconds.
const REPORT_INTERVAL: u64 = 500_000;
/// Maximum size of the body of an error response, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;
/// Maximum wait for the end of a response body after its last event, in milliseconds.
const DRAIN_MS: u64 = 20;

/// Token stream of a completion, across all of its attempts.
pub struct CompletionStream {
    /// Lifecycle of the request.
    pub lifecycle: Lifecycle,
    /// Scanner, which holds what was delivered so far.
    pub scanner: Scanner,
    client: attempt::Client,
    kind: CompletionKind,
    body: Map<String, Value>,
    claim: Option<Claim>,
    active: Option<ActiveAttempt>,
    ended: bool,
    /// Memory for the incomplete event while it is large.
    memory: Reservation,
}

/// The running attempt.
struct ActiveAttempt {
    response: attempt::Response,
    backend: Backend,
    span: Span,
    sent_at: u64,
    first_token: Option<u64>,
    reported_at: u64,
    reported_tokens: u32,
}

impl CompletionStream {
    /// Creates a stream without an attempt. `body` is the client's request body in the form that engines accept.
    pub fn new(
        lifecycle: Lifecycle,
        client: attempt::Client,
        kind: CompletionKind,
        body: Map<String, Value>,
        claim: Option<Claim>,
    ) -> Self {
        let scanner = Scanner::new();
        let memory = Reservation::new(lifecycle.shared.memory.clone(), Use::Response);
        CompletionStream {
            lifecycle,
            client,
            kind,
            body,
            claim,
            scanner,
            active: None,
            ended: false,
            memory,
        }
    }

    /// Returns the next bytes for the client, or `None` at the end of a complete response.
    ///
    /// # Errors
    ///
    /// The error to respond with when no further attempt is made.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        while !self.ended {
            let Some(mut active) = self.active.take() else {
                self.attempt().await?;
                continue;
            };
            let backend = &self.lifecycle.shared.settings.backend;
            let longest =
                if active.first_token.is_none() { backend.first_byte_ms } else { backend.stall_ms };
            let next = active.response.next_chunk(longest);
            match select(next, self.lifecycle.await_preemption()).await {
                Either::Left(Ok(Some(chunk))) => {
                    let Ok(events) = self.scanner.push(&chunk) else {
                        self.handle_break(active, attempt::Error::Broken)?;
                        continue;
                    };
                    let bytes = self.scanner.incomplete_bytes();
                    if !self.memory.hold_event(bytes, MAX_EVENT_BYTES) {
                        self.handle_break(active, attempt::Error::NoMemory)?;
                        continue;
                    }
                    self.record_tokens(&mut active, events.tokens);
                    if self.scanner.done() {
                        self.finish(active).await;
                    } else {
                        self.active = Some(active);
                    }
                    if !events.bytes.is_empty() {
                        return Ok(Some(events.bytes));
                    }
                }
                Either::Left(Ok(None)) if self.scanner.finished() => self.finish(active).await,
                Either::Left(Ok(None)) => self.handle_break(active, attempt::Error::Broken)?,
                Either::Left(Err(attempt::Error::Stalled)) if active.first_token.is_none() => {
                    self.handle_break(active, attempt::Error::NoResponse)?;
                }
                Either::Left(Err(error)) => self.handle_break(active, error)?,
                Either::Right(()) => self.preempt(active),
            }
        }
        Ok(None)
    }

    /// Obtains a grant and makes one attempt.
    async fn attempt(&mut self) -> Result<(), Error> {
        let backend = self.lifecycle.acquire_backend().await?;
        let span = self.lifecycle.span.child(self.lifecycle.shared.telemetry.tracer(), "attempt");
        span.set_attribute("drumusher.server", backend.name.to_string());
        span.set_attribute("server.address", backend.address.clone());
        self.lifecycle.begin_attempt();
        if let Some(claim) = &mut self.claim {
            claim.mark_sent();
        }
        self.lifecycle.report_progress(None, 0);
        let sent_at = clock::now();
        let body = self.body();
        let headers = [("content-type", "application/json".to_string())];
        let sent = attempt::send(
            &self.client,
            AttemptRequest {
                server: &backend,
                method: Method::POST,
                path: self.kind.path(),
                id: self.lifecycle.id,
                traceparent: span.traceparent(),
                headers: &headers,
                body,
                repeatable: self.lifecycle.repeatable,
            },
        );
        let response = match select(sent, self.lifecycle.await_preemption()).await {
            Either::Left(response) => response,
            Either::Right(()) => {
                self.stop_attempt(&span);
                return Ok(());
            }
        };
        let response = match response {
            Ok(response) if (200..300).contains(&response.status()) => response,
            Ok(response) => return self.handle_error_status(response, &backend, &span).await,
            Err(error) => return self.handle_failure(&backend, &span, error),
        };
        self.active = Some(ActiveAttempt {
            response,
            backend,
            span,
            sent_at,
            first_token: None,
            reported_at: sent_at,
            reported_tokens: self.lifecycle.produced,
        });
        Ok(())
    }

    /// Encodes the body for the next attempt, which resumes where the previous one broke off.
    fn body(&mut self) -> Bytes {
        let delivered = self.scanner.delivered();
        if delivered > 0 {
            self.body.insert("resume_from".into(), Value::from(delivered));
            self.body.insert("resume_text".into(), Value::String(self.scanner.text()));
        }
        Bytes::from(serde_json::to_vec(&self.body).unwrap_or_default())
    }

    /// Handles an unsuccessful status code of the engine.
    async fn handle_error_status(
        &mut self,
        mut response: attempt::Response,
        backend: &Backend,
        span: &Span,
    ) -> Result<(), Error> {
        let status = response.status();
        if status == 503 {
            return self.handle_failure(backend, span, attempt::Error::Full);
        }
        // An engine that accepted the request before says by these that it did not receive it this time.
        let not_received = matches!(status, 408 | 421 | 429) && self.lifecycle.produced > 0;
        if not_received || status >= 500 {
            return self.handle_failure(backend, span, attempt::Error::Failed(status));
        }
        span.set_attribute("http.response.status_code", i64::from(status));
        self.lifecycle.finish_attempt(Outcome::Done);
        self.ended = true;
        self.lifecycle.set_outcome(Kind::BadRequest.code());
        let stall_ms = self.lifecycle.shared.settings.backend.stall_ms;
        let body = response.read_body(MAX_ERROR_BYTES, stall_ms).await.unwrap_or_default();
        let error_body = serde_json::from_slice::<Value>(&body).unwrap_or(json!(null));
        let reason = error_body.pointer("/error/message").and_then(Value::as_str);
        let message = format!("the engine rejected the request: {}", reason.unwrap_or("no reason"));
        Err(Error::new(Kind::BadRequest, message))
    }

    fn record_tokens(&mut self, active: &mut ActiveAttempt, tokens: u32) {
        if tokens == 0 {
            return;
        }
        let now = clock::now();
        self.lifecycle.produced = self.scanner.delivered();
        if active.first_token.is_none() {
            let first = now - active.sent_at;
            active.first_token = Some(first);
            active.reported_at = now;
            active.reported_tokens = self.lifecycle.produced;
            self.lifecycle.report_progress(Some(first), 0);
            if self.lifecycle.attempts == 1 {
                let seconds = self.lifecycle.age() as f64 / 1e6;
                self.lifecycle
                    .shared
                    .telemetry
                    .record_first_token(&self.lifecycle.head.class, seconds);
            }
            return;
        }
        if now - active.reported_at >= REPORT_INTERVAL {
            self.report_gap(active, now);
        }
    }

    /// Reports the mean gap between the tokens since the last report.
    fn report_gap(&mut self, active: &mut ActiveAttempt, now: u64) {
        let new = u64::from(self.lifecycle.produced - active.reported_tokens);
        if new == 0 {
            return;
        }
        let gap = (now - active.reported_at) / new;
        active.reported_at = now;
        active.reported_tokens = self.lifecycle.produced;
        self.lifecycle.report_progress(None, gap);
    }

    /// Ends the request after a complete response.
    async fn finish(&mut self, mut active: ActiveAttempt) {
        self.ended = true;
        self.report_gap(&mut active, clock::now());
        self.lifecycle.finish_attempt(Outcome::Done);
        self.lifecycle.set_outcome(DONE);
        active.span.set_attribute("drumusher.tokens", i64::from(self.lifecycle.produced));
        active.span.end();
        self.lifecycle.span.set_attribute("drumusher.attempts", i64::from(self.lifecycle.attempts));
        let tokens = u64::from(self.lifecycle.produced);
        self.lifecycle.shared.telemetry.count_request(&self.lifecycle.head.class, "done", tokens);
        // Reads the body to its end, so that the connection can be reused.
        while let Ok(Some(_)) = active.response.next_chunk(DRAIN_MS).await {}
    }

    fn preempt(&mut self, active: ActiveAttempt) {
        if self.scanner.finished() {
            self.active = Some(active);
            return;
        }
        self.stop_attempt(&active.span);
    }

    /// Stops the attempt on a preemption by the dispatcher. Dropping the response cancels it at the engine.
    fn stop_attempt(&mut self, span: &Span) {
        span.fail("preempted");
        span.end();
        self.scanner.restart();
        self.lifecycle.finish_attempt(Outcome::Preempted);
        self.lifecycle.count_preemption();
    }

    fn handle_break(&mut self, active: ActiveAttempt, error: attempt::Error) -> Result<(), Error> {
        let ActiveAttempt { backend, span, response, .. } = active;
        drop(response);
        self.handle_failure(&backend, &span, error)
    }

    /// Handles a failed attempt: either it may be retried, or the error is returned to the client at once.
    fn handle_failure(
        &mut self,
        backend: &Backend,
        span: &Span,
        error: attempt::Error,
    ) -> Result<(), Error> {
        span.fail(error.as_str());
        span.end();
        self.scanner.restart();
        let outcome = match error {
            attempt::Error::Full => Outcome::Overloaded,
            attempt::Error::NotSent => Outcome::ConnectFailed,
            attempt::Error::NoMemory => Outcome::Cancelled,
            _ => Outcome::Failed,
        };
        self.lifecycle.finish_attempt(outcome);
        self.lifecycle.log_failure(&backend.name, error.as_str());
        if self.scanner.finished() {
            self.ended = true;
            return Ok(());
        }
        if self.lifecycle.may_retry(backend, error) {
            return Ok(());
        }
        self.ended = true;
        Err(self.final_error(error))
    }

    fn final_error(&mut self, error: attempt::Error) -> Error {
        if self.lifecycle.produced > 0 {
            return self.lifecycle.incomplete_error();
        }
        let class = self.lifecycle.head.class.clone();
        self.lifecycle.shared.telemetry.count_request(&class, "failed", 0);
        if error.not_run() && self.lifecycle.attempts <= 1 {
            if let Some(claim) = &mut self.claim {
                claim.mark_not_sent();
            }
            let message = "no backend server accepted the request";
            return self.lifecycle.refusal_error(Kind::NoServer, message, 1_000).with_ran(Ran::No);
        }
        self.lifecycle.set_outcome(Kind::BackendFailed.code());
        Error::new(Kind::BackendFailed, "the backend server failed")
    }

    /// Stores the response for repeated requests with the same idempotency key.
    pub fn store_response(&mut self, status: u16, content_type: &str, body: Option<&[u8]>) {
        if let Some(claim) = self.claim.take() {
            claim.complete(status, content_type, body);
        }
    }
}
