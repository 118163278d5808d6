//! All kinds of errors that clients receive, and the mapping from kind to response.

use ntex::{http::StatusCode, web::HttpResponse};
use serde_json::json;

/// Whether a request ran, as far as is known for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It did not run.
    No,
    /// It ran to completion.
    Yes,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// Value in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

/// Kinds of errors that clients receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The body or a header is invalid.
    BadRequest,
    /// The API key is missing or invalid.
    Unauthorized,
    /// The path is unknown.
    UnknownPath,
    /// No backend server in any availability zone serves the model.
    UnknownModel,
    /// The traffic class is unknown.
    UnknownClass,
    /// The service is unknown.
    UnknownService,
    /// The request body exceeds the size limit.
    TooLarge,
    /// The request head exceeds the size limit.
    HeadTooLarge,
    /// The workspace has reached its limit.
    WorkspaceLimit,
    /// The queue is full and this request was evicted or rejected.
    QueueFull,
    /// The request would wait, or has waited, longer than its class allows.
    WaitBound,
    /// No backend server of the pool is usable.
    NoServer,
    /// The instance has reached its limit of requests in flight.
    Overloaded,
    /// The instance has no configuration yet, or is stopping.
    NotReady,
    /// The platform's log, which the request depends on, is unavailable.
    LogUnavailable,
    /// A request with this idempotency key is running.
    Running,
    /// The idempotency key was used for another request.
    KeyReused,
    /// A request with this idempotency key was started, and its outcome is unknown.
    OutcomeUnknown,
    /// A request with this idempotency key ran; its response is no longer stored.
    AlreadyRan,
    /// The backend server failed after the request may have reached it.
    BackendFailed,
    /// The backend servers failed and the response is incomplete.
    Incomplete,
    /// Backend servers crashed each time they ran the request, so it is not run again.
    Quarantined,
    /// The deadline of the client or route expired while a backend server worked on the request.
    TimedOut,
    /// An internal error.
    Internal,
}

/// Table row: status, code and default of `ran`.
struct Row(u16, &'static str, Ran);

impl Kind {
    fn row(self) -> Row {
        match self {
            Kind::BadRequest => Row(400, "bad_request", Ran::No),
            Kind::Unauthorized => Row(401, "unauthorized", Ran::No),
            Kind::UnknownPath => Row(404, "unknown_path", Ran::No),
            Kind::UnknownModel => Row(404, "unknown_model", Ran::No),
            Kind::UnknownClass => Row(400, "unknown_class", Ran::No),
            Kind::UnknownService => Row(404, "unknown_service", Ran::No),
            Kind::TooLarge => Row(413, "too_large", Ran::No),
            Kind::HeadTooLarge => Row(431, "head_too_large", Ran::No),
            Kind::WorkspaceLimit => Row(429, "workspace_limit", Ran::No),
            Kind::QueueFull => Row(429, "queue_full", Ran::No),
            Kind::WaitBound => Row(503, "wait_bound", Ran::No),
            Kind::NoServer => Row(503, "no_server", Ran::No),
            Kind::Overloaded => Row(503, "overloaded", Ran::No),
            Kind::NotReady => Row(503, "not_ready", Ran::No),
            Kind::LogUnavailable => Row(503, "log_away", Ran::No),
            Kind::Running => Row(409, "running", Ran::Unknown),
            Kind::KeyReused => Row(422, "key_reused", Ran::No),
            Kind::OutcomeUnknown => Row(409, "outcome_unknown", Ran::Unknown),
            Kind::AlreadyRan => Row(409, "already_ran", Ran::Yes),
            Kind::BackendFailed => Row(502, "backend_failed", Ran::Unknown),
            Kind::Incomplete => Row(502, "incomplete", Ran::Unknown),
            Kind::Quarantined => Row(502, "held_back", Ran::No),
            Kind::TimedOut => Row(504, "timed_out", Ran::Unknown),
            Kind::Internal => Row(500, "internal", Ran::Unknown),
        }
    }

    /// Returns the code used in responses, logs and metrics.
    pub fn code(self) -> &'static str {
        self.row().1
    }

    /// Returns the HTTP status code.
    pub fn status(self) -> u16 {
        self.row().0
    }
}

/// An error response to a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// Kind of error.
    pub kind: Kind,
    /// Message for the client. Discloses nothing about other workspaces.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Signed arrival time, with which the client keeps its position in the queue when it retries.
    pub arrival_token: Option<String>,
}

/// Header that carries an arrival token in both directions.
pub const ARRIVAL_TOKEN_HEADER: &str = "Drumusher-Place";

/// Message of a refusal by an instance that is stopping.
pub const STOPPING: &str = "this instance is stopping";
/// Its `Retry-After` in milliseconds: on a new connection the client reaches another instance.
pub const STOPPING_RETRY_MS: u64 = 50;

impl Error {
    /// Creates an error of `kind` with a message for the client.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Error {
            kind,
            message: message.into(),
            ran: kind.row().2,
            retry_after_ms: None,
            arrival_token: None,
        }
    }

    /// The refusal of an instance that is stopping.
    pub fn stopping() -> Self {
        Error::new(Kind::NotReady, STOPPING).with_retry_after(STOPPING_RETRY_MS)
    }

    /// Sets the time after which to retry.
    pub fn with_retry_after(mut self, milliseconds: u64) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }

    /// Sets whether the request ran, if that differs from the kind's default.
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Adds an arrival token.
    pub fn with_arrival_token(mut self, arrival_token: String) -> Self {
        self.arrival_token = Some(arrival_token);
        self
    }

    /// Returns the JSON body, in the format that clients of such APIs expect.
    pub fn object(&self) -> serde_json::Value {
        json!({"error": {
            "message": self.message,
            "type": if self.kind.status() < 500 { "invalid_request_error" } else { "server_error" },
            "code": self.kind.code(),
            "ran": self.ran.as_str(),
            "retry_after_ms": self.retry_after_ms,
        }})
    }

    /// Builds the HTTP response.
    pub fn response(&self) -> HttpResponse {
        let status = StatusCode::from_u16(self.kind.status()).expect("the table has valid codes");
        let mut builder = HttpResponse::build(status);
        if let Some(milliseconds) = self.retry_after_ms {
            builder.set_header("Retry-After", milliseconds.div_ceil(1_000).max(1).to_string());
        }
        if let Some(arrival_token) = &self.arrival_token {
            builder.set_header(ARRIVAL_TOKEN_HEADER, arrival_token.as_str());
        }
        builder.json(&self.object())
    }
}
