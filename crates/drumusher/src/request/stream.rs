//! The answer of one completion, over all its attempts.

use drumusher_schedule::ask::Outcome;
use ntex::{
    client::Client,
    http::{Method, Payload},
    util::{Bytes, Either, select},
};
use serde_json::{Map, Value, json};

use super::{
    attempt::{self, Handover},
    claim::Claim,
    completion::Form,
    flow::{DONE, Flow},
    relay::Scanner,
    trace::Span,
};
use crate::{
    error::{Error, Kind, Ran},
    process::clock,
    version::Backend,
};

/// Time between two reports on a running attempt, in microseconds.
const REPORT_EVERY: u64 = 500_000;
/// Longest wait for the end of an answer whose last event came, in milliseconds.
const DRAIN_MS: u64 = 20;

/// The answer of one completion, over all its attempts.
pub struct Stream {
    /// The request's way through the dispatcher.
    pub flow: Flow,
    /// What was delivered so far.
    pub scanner: Scanner,
    client: Client,
    form: Form,
    body: Map<String, Value>,
    claim: Option<Claim>,
    running: Option<Running>,
    ended: bool,
}

/// The attempt that runs.
struct Running {
    payload: Payload,
    backend: Backend,
    span: Span,
    handed: u64,
    first_token: Option<u64>,
    reported: u64,
    reported_tokens: u32,
}

impl Stream {
    /// An answer of which nothing came yet. `body` is the caller's, as an engine takes it.
    pub fn new(
        flow: Flow,
        client: Client,
        form: Form,
        body: Map<String, Value>,
        claim: Option<Claim>,
    ) -> Self {
        let scanner = Scanner::new();
        Stream { flow, client, form, body, claim, scanner, running: None, ended: false }
    }

    /// The next piece for the caller; `None` when the answer is whole.
    ///
    /// # Errors
    ///
    /// The final answer for the caller, when no further attempt is made.
    pub async fn piece(&mut self) -> Result<Option<Bytes>, Error> {
        while !self.ended {
            let Some(mut running) = self.running.take() else {
                self.attempt().await?;
                continue;
            };
            let backend = &self.flow.shared.settings.backend;
            let longest = if running.first_token.is_none() {
                backend.first_byte_ms
            } else {
                backend.stall_ms
            };
            let next = attempt::piece(&mut running.payload, longest);
            match select(next, self.flow.preempted()).await {
                Either::Left(Ok(Some(chunk))) => {
                    let Ok(piece) = self.scanner.push(&chunk) else {
                        self.broke(running, attempt::Error::Broken)?;
                        continue;
                    };
                    self.note(&mut running, piece.tokens);
                    if self.scanner.done() {
                        self.finish(running).await;
                    } else {
                        self.running = Some(running);
                    }
                    if !piece.bytes.is_empty() {
                        return Ok(Some(piece.bytes));
                    }
                }
                Either::Left(Ok(None)) if self.scanner.finished() => self.finish(running).await,
                Either::Left(Ok(None)) => self.broke(running, attempt::Error::Broken)?,
                Either::Left(Err(error)) => self.broke(running, error)?,
                Either::Right(()) => self.preempted(running),
            }
        }
        Ok(None)
    }

    /// Gets a grant and hands the request over, once.
    async fn attempt(&mut self) -> Result<(), Error> {
        let backend = self.flow.granted().await?;
        let span = self.flow.span.child(self.flow.shared.telemetry.tracer(), "attempt");
        span.note("drumusher.server", backend.name.to_string());
        span.note("server.address", backend.address.clone());
        self.flow.begin_attempt();
        if let Some(claim) = &mut self.claim {
            claim.handing_over();
        }
        self.flow.report(None, 0);
        let handed = clock::now();
        let body = self.body();
        let headers = [("content-type", "application/json".to_string())];
        let sent = attempt::send(
            &self.client,
            Handover {
                address: &backend.address,
                method: Method::POST,
                path: self.form.path(),
                id: self.flow.id,
                traceparent: span.traceparent(),
                headers: &headers,
                body,
            },
        );
        let response = match select(sent, self.flow.preempted()).await {
            Either::Left(response) => response,
            Either::Right(()) => {
                self.stop(&span);
                return Ok(());
            }
        };
        let payload = match response {
            Ok(response) if response.status().is_success() => response.take_payload(),
            Ok(response) => return self.answered(response, &backend, &span).await,
            Err(error) => return self.failed(&backend, &span, error),
        };
        self.running = Some(Running {
            payload,
            backend,
            span,
            handed,
            first_token: None,
            reported: handed,
            reported_tokens: self.flow.produced,
        });
        Ok(())
    }

    /// The body for the next attempt: from where the last one broke off.
    fn body(&mut self) -> Bytes {
        let delivered = self.scanner.delivered();
        if delivered > 0 {
            self.body.insert("resume_from".into(), Value::from(delivered));
            self.body.insert("resume_text".into(), Value::String(self.scanner.text()));
        }
        Bytes::from(serde_json::to_vec(&self.body).unwrap_or_default())
    }

    /// The engine answered with another status than success.
    async fn answered(
        &mut self,
        response: ntex::client::ClientResponse,
        backend: &Backend,
        span: &Span,
    ) -> Result<(), Error> {
        let status = response.status().as_u16();
        if status == 503 {
            return self.failed(backend, span, attempt::Error::Full);
        }
        if status >= 500 {
            return self.failed(backend, span, attempt::Error::Failed(status));
        }
        span.note("http.response.status_code", i64::from(status));
        self.flow.end(Outcome::Done);
        self.ended = true;
        self.flow.ended(Kind::BadRequest.code());
        let body = response.body().await.unwrap_or_default();
        let said = serde_json::from_slice::<Value>(&body).unwrap_or(json!(null));
        let reason = said.pointer("/error/message").and_then(Value::as_str);
        let message = format!("the engine rejected the request: {}", reason.unwrap_or("no reason"));
        Err(Error::new(Kind::BadRequest, message))
    }

    fn note(&mut self, running: &mut Running, tokens: u32) {
        if tokens == 0 {
            return;
        }
        let now = clock::now();
        self.flow.produced = self.scanner.delivered();
        if running.first_token.is_none() {
            let first = now - running.handed;
            running.first_token = Some(first);
            running.reported = now;
            running.reported_tokens = self.flow.produced;
            self.flow.report(Some(first), 0);
            if self.flow.attempts == 1 {
                let seconds = self.flow.age() as f64 / 1e6;
                self.flow.shared.telemetry.record_first_token(&self.flow.head.class, seconds);
            }
            return;
        }
        if now - running.reported >= REPORT_EVERY {
            self.report_gap(running, now);
        }
    }

    /// Reports the mean time between the tokens since the last report.
    fn report_gap(&mut self, running: &mut Running, now: u64) {
        let new = u64::from(self.flow.produced - running.reported_tokens);
        if new == 0 {
            return;
        }
        let gap = (now - running.reported) / new;
        running.reported = now;
        running.reported_tokens = self.flow.produced;
        self.flow.report(None, gap);
    }

    /// The answer is whole.
    async fn finish(&mut self, mut running: Running) {
        self.ended = true;
        self.report_gap(&mut running, clock::now());
        self.flow.end(Outcome::Done);
        self.flow.ended(DONE);
        running.span.note("drumusher.tokens", i64::from(self.flow.produced));
        running.span.end();
        self.flow.span.note("drumusher.attempts", i64::from(self.flow.attempts));
        let tokens = u64::from(self.flow.produced);
        self.flow.shared.telemetry.count_request(&self.flow.head.class, "done", tokens);
        // Read to the end, so that the connection can be used again.
        while let Ok(Some(_)) = attempt::piece(&mut running.payload, DRAIN_MS).await {}
    }

    fn preempted(&mut self, running: Running) {
        if self.scanner.finished() {
            self.running = Some(running);
            return;
        }
        self.stop(&running.span);
    }

    /// Stops the attempt by order of the dispatcher. Dropping the stream cancels it at the engine.
    fn stop(&mut self, span: &Span) {
        span.fail("preempted");
        span.end();
        self.scanner.restart();
        self.flow.end(Outcome::Preempted);
        self.flow.count_preemption();
    }

    fn broke(&mut self, running: Running, error: attempt::Error) -> Result<(), Error> {
        let Running { backend, span, payload, .. } = running;
        drop(payload);
        self.failed(&backend, &span, error)
    }

    /// An attempt failed: there may be another one, else the caller is told at once.
    fn failed(
        &mut self,
        backend: &Backend,
        span: &Span,
        error: attempt::Error,
    ) -> Result<(), Error> {
        span.fail(error.words());
        span.end();
        self.scanner.restart();
        let outcome = match error {
            attempt::Error::Full => Outcome::Overloaded,
            _ => Outcome::Failed,
        };
        self.flow.end(outcome);
        self.flow.log_failure(&backend.name, error.words());
        if self.scanner.finished() {
            self.ended = true;
            return Ok(());
        }
        if self.flow.may_retry(&backend.name, error.surely_not_run()) {
            return Ok(());
        }
        self.ended = true;
        Err(self.final_error(error))
    }

    fn final_error(&mut self, error: attempt::Error) -> Error {
        let class = self.flow.head.class.clone();
        self.flow.shared.telemetry.count_request(&class, "failed", 0);
        if error.surely_not_run() && self.flow.produced == 0 && self.flow.attempts <= 1 {
            if let Some(claim) = &mut self.claim {
                claim.not_handed_over();
            }
            let message = "no backend server took the request";
            return self.flow.refused(Kind::NoServer, message, 1_000).with_ran(Ran::No);
        }
        let kind = if self.flow.produced > 0 { Kind::Incomplete } else { Kind::BackendFailed };
        self.flow.ended(kind.code());
        if kind == Kind::Incomplete {
            return Error::new(kind, "the answer is not whole: backend servers failed");
        }
        Error::new(kind, "the backend server failed")
    }

    /// Keeps the answer for repeats with the same idempotency key.
    pub fn keep(&mut self, status: u16, content_type: &str, body: Option<&[u8]>) {
        if let Some(claim) = self.claim.take() {
            claim.done(status, content_type, body);
        }
    }
}
