//! Retry decision after a failed attempt, and the final response of a request.

use drumusher_platform::dialect::Dialect;
use drumusher_schedule::{ask::Outcome, order::Refusal, time::MILLISECOND};
use ntex::http::{Response, ResponseBuilder, StatusCode};

use super::{BufferedResponse, Exchange, Failure, RETRY_AFTER_MS};
use crate::{
    delivery::{Delivery, Pieces},
    error::{Error, Kind, Ran},
    process::clock,
    routed::{error_response, handler},
    upstream::{self, response},
    version::Backend,
};

/// Number of attempts that failed before anything was sent after which a request is given up.
const MAX_UNSENT_FAILURES: u32 = 4;

impl<D: Dialect> Exchange<D> {
    /// Returns the final response after a failed attempt that is not retried.
    pub(super) fn respond_to_failure(mut self, backend: &Backend, failure: Failure) -> Response {
        if let Failure::Failed(response) = failure {
            return self.respond_with(backend, *response);
        }
        let error = match failure {
            Failure::NotConnected | Failure::Withheld | Failure::NotRun(_) => {
                let message = "no backend server accepted the request";
                self.not_run_error(Kind::NoServer, message, RETRY_AFTER_MS)
            }
            Failure::Broken(upstream::Error::TimedOut) => {
                Error::new(Kind::TimedOut, "the backend server did not respond in time")
            }
            Failure::Broken(upstream::Error::NoMemory) => {
                let message = "this instance has no memory for the response; the request has run";
                Error::new(Kind::BackendFailed, message).with_ran(Ran::Yes)
            }
            _ => {
                let message = "the backend server failed; the request may have run";
                Error::new(Kind::BackendFailed, message)
            }
        };
        self.respond_with_error(error)
    }

    /// Records a failed attempt: reports it to the dispatcher, logs it, and remembers whether the request may have
    /// run.
    pub fn record_failure(&mut self, backend: &Backend, failure: &Failure) {
        // A lost path says nothing about the server.
        let blames_path = self.is_path_failure(backend, failure);
        // The dispatcher has to know of the crash that is suspected when the attempt ends.
        self.detect_crash(backend, failure);
        self.ticket.finish(if blames_path { Outcome::Cancelled } else { failure.outcome() });
        self.avoid = Some(backend.name.clone());
        let was_sent = !matches!(failure, Failure::NotConnected | Failure::Withheld);
        self.cache_source_failed |= self.cache_source.is_some() && was_sent;
        match failure {
            Failure::NotConnected | Failure::Withheld => self.unsent_failures += 1,
            Failure::NotRun(_) => {}
            Failure::Broken(_) | Failure::Failed(_) => self.may_have_run = true,
        }
        let shared = &self.worker.shared;
        shared.telemetry.count("drumusher.attempt.failures", &[("reason", failure.as_str())]);
        log::info!(
            request = self.request.head.id.as_str(),
            server = &*backend.name,
            attempt = self.attempts_sent,
            tunnelled = self.tunnelled,
            path_blamed = blames_path,
            lasted_ms = self.age_ms();
            "attempt ended: {}", failure.as_str()
        );
    }

    /// Returns whether a retry may follow a failure, by the route and the time left. The fleet's retry budget is
    /// enforced by the dispatcher.
    pub fn may_retry(&mut self, failure: &Failure) -> bool {
        if clock::now() >= self.deadline {
            return false;
        }
        if let Failure::NotConnected | Failure::Withheld = failure {
            return self.unsent_failures < MAX_UNSENT_FAILURES;
        }
        // A second backend server would crash before the first crash is known.
        let on_trial = self.isolated && self.first_event_at.is_none();
        if on_trial && matches!(failure, Failure::Broken(upstream::Error::Closed)) {
            return false;
        }
        let route_match = &self.request.route_match;
        let not_run = matches!(failure, Failure::NotRun(_));
        let allowed = not_run || route_match.kind.repeatable();
        allowed && self.attempts_sent < route_match.attempts
    }

    /// Passes the response of a backend server on to the client, which ends the request.
    pub(super) fn respond_with(
        mut self,
        backend: &Backend,
        buffered: BufferedResponse,
    ) -> Response {
        let is_error = buffered.head.status >= 500;
        self.ticket.finish(if is_error { Outcome::ErrorResponse } else { Outcome::Done });
        self.log_end(&backend.name, "delivered", buffered.head.status);
        let mut response = self.response_builder(&buffered.head).finish();
        response.head_mut().no_chunking(false);
        let BufferedResponse { body, memory, .. } = buffered;
        self.release_body();
        let (shared, client) = (self.worker.shared.clone(), self.request.client.clone());
        response.set_body(
            Delivery::new(shared, client, Pieces::new(body, ()), (self, memory)).into_body(),
        )
    }

    /// Starts a response to the client from the head of a backend server's response.
    pub fn response_builder(&self, head: &response::Head) -> ResponseBuilder {
        let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut builder = Response::build(status);
        for (name, value) in &head.headers {
            if !handler::is_hop_by_hop(name.as_str()) {
                builder.header(name.clone(), value.clone());
            }
        }
        if self.worker.shared.stopping() {
            builder.force_close();
        }
        builder
    }

    /// Responds with an error of the instance itself, which ends the request.
    pub(super) fn respond_with_error(&mut self, error: Error) -> Response {
        self.log_end("", error.kind.code(), error.kind.status());
        error_response::build(&error, self.worker.shared.stopping())
    }

    /// Milliseconds since the request arrived.
    pub fn age_ms(&self) -> u64 {
        clock::now().saturating_sub(self.request.arrived) / MILLISECOND
    }

    /// Logs the end of the request.
    pub fn log_end(&self, server: &str, outcome: &'static str, status: u16) {
        self.end_logged.set(true);
        let route_match = &self.request.route_match;
        log::info!(
            request = self.request.head.id.as_str(),
            workspace = route_match.workspace.as_deref().unwrap_or(""),
            route = &*route_match.route,
            version = route_match.version,
            server = server,
            dispatcher = self.dispatcher.as_deref().unwrap_or(""),
            source = self.cache_source.as_ref().map_or("", |source| &*source.name),
            expected_ms = self.expected_first_event / MILLISECOND,
            handed_ms = self.timing.backend_first_event.unwrap_or(0) / MILLISECOND,
            attempts = self.attempts_sent,
            status = status,
            first_ms = self.timing.client_first_event.unwrap_or(0) / MILLISECOND,
            gap_ms = self.timing.longest_gap / MILLISECOND,
            events = self.timing.events,
            lasted_ms = self.age_ms();
            "request ended: {outcome}"
        );
        let telemetry = &self.worker.shared.telemetry;
        telemetry.count_request(&route_match.class, outcome, 0);
        // Of a request that was not delivered, the times may be of different attempts.
        let actual = self.timing.backend_first_event.filter(|_| outcome == "delivered");
        if let (Some(actual), 1..) = (actual, self.expected_first_event) {
            let ratio = actual as f64 / self.expected_first_event as f64;
            telemetry.record_first_event_error(&route_match.class, ratio);
        }
    }

    /// Maps a refusal by the dispatcher, given by its code on the wire, to an error.
    pub(super) fn refusal_error(&self, refusal: i16, retry_after_ms: u64) -> Error {
        if refusal == Refusal::HeldBack as i16 {
            return self.quarantined_error();
        }
        let (kind, message) = match refusal {
            r if r == Refusal::QueueFull as i16 => (Kind::QueueFull, "the queue is full"),
            r if r == Refusal::WorkspaceLimit as i16 => {
                (Kind::WorkspaceLimit, "the workspace has reached its limit")
            }
            r if r == Refusal::Undecided as i16 => {
                (Kind::NoServer, "a backend server that ran this request may have crashed")
            }
            r if r == Refusal::UnknownVersion as i16 => {
                (Kind::NoServer, "the software version that began the stream is not known")
            }
            r if r == Refusal::WaitBound as i16 => {
                (Kind::WaitBound, "the request would wait longer than its class allows")
            }
            r if r == Refusal::Unmeetable as i16 => {
                (Kind::WaitBound, "the answer would end after the caller stops waiting")
            }
            _ => (Kind::NoServer, "no backend server is usable"),
        };
        self.not_run_error(kind, message, retry_after_ms)
    }

    /// Returns the error for a quarantined request. It is final, so it has no `Retry-After`.
    pub(super) fn quarantined_error(&self) -> Error {
        let message =
            "backend servers crashed each time they ran this request, so it is quarantined";
        let ran = if self.may_have_run { Ran::Unknown } else { Ran::No };
        Error::new(Kind::Quarantined, message).with_ran(ran)
    }

    /// Returns an error that states that the request did not run, or that its outcome is unknown if it may have run.
    pub(super) fn not_run_error(&self, kind: Kind, message: &str, retry_after_ms: u64) -> Error {
        if self.may_have_run {
            let message = "the backend servers failed; the request may have run";
            return Error::new(Kind::BackendFailed, message);
        }
        Error::new(kind, message).with_retry_after(retry_after_ms).with_ran(Ran::No)
    }
}

impl<D: Dialect> Drop for Exchange<D> {
    /// A request that is dropped before its end was abandoned by the client, or cut by a planned stop.
    fn drop(&mut self) {
        if !self.end_logged.get() {
            let server = self.backend.as_ref().map_or("", |backend| &*backend.name).to_string();
            let cut = self.worker.shared.cutting();
            self.log_end(&server, if cut { "cut by the stop" } else { "caller gone" }, 0);
        }
    }
}
