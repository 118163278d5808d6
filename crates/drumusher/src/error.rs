//! The closed list of error kinds, and the table from kind to answer.

use ntex::{http::StatusCode, web::HttpResponse};
use serde_json::json;

/// Whether a request ran, as far as it can be proved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// Nothing was handed to a backend server.
    No,
    /// It ran to its end.
    Yes,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// Its word in answers.
    pub fn word(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

/// Every kind of error that a caller can get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The body or a header cannot be understood.
    BadRequest,
    /// No key, or a wrong one.
    Unauthorized,
    /// No such path.
    UnknownPath,
    /// No backend server of any availability zone serves the model.
    UnknownModel,
    /// No such class.
    UnknownClass,
    /// No such service.
    UnknownService,
    /// The body is too long.
    TooLarge,
    /// The head is too long.
    HeadTooLarge,
    /// The workspace is at its own limit.
    WorkspaceLimit,
    /// The queue is full and this request was the one to go.
    QueueFull,
    /// The request would wait, or has waited, longer than its class allows.
    WaitBound,
    /// No backend server of the pool can be used.
    NoServer,
    /// The instance holds as many requests as it may.
    Overloaded,
    /// The instance has no configuration yet.
    NotReady,
    /// The platform's log, without which the request may not run, cannot be reached.
    LogUnavailable,
    /// A request with this idempotency key is running.
    Running,
    /// The idempotency key was used for another request.
    KeyReused,
    /// A request with this idempotency key began, and how it ended is not known.
    OutcomeUnknown,
    /// A request with this idempotency key ran; its answer is no longer kept.
    AlreadyRan,
    /// The backend server failed after the request may have reached it.
    BackendFailed,
    /// The backend servers failed and the answer is not whole.
    Incomplete,
    /// Backend servers ended each time they ran it, and it is not run again.
    Quarantined,
    /// The time that the caller or the route allows ran out while a backend server worked on it.
    TimedOut,
    /// A fault of drumusher itself.
    Internal,
}

/// A row of the table: status, code and the default of `ran`.
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

    /// Its word in answers, logs and metrics.
    pub fn code(self) -> &'static str {
        self.row().1
    }

    /// The HTTP status of its answer.
    pub fn status(self) -> u16 {
        self.row().0
    }
}

/// An error on its way to the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// What kind it is.
    pub kind: Kind,
    /// A sentence for the caller. Names nothing of other workspaces.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// A signed token that keeps the place of a refused request.
    pub arrival_token: Option<String>,
}

/// The header that carries a place token in both directions.
pub const ARRIVAL_TOKEN_HEADER: &str = "Drumusher-Place";

impl Error {
    /// An error of `kind` with a sentence for the caller.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Error {
            kind,
            message: message.into(),
            ran: kind.row().2,
            retry_after_ms: None,
            arrival_token: None,
        }
    }

    /// Says when to come back.
    pub fn with_retry_after(mut self, milliseconds: u64) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }

    /// Says whether the request ran, where that differs from the kind's default.
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Adds a place token.
    pub fn with_arrival_token(mut self, arrival_token: String) -> Self {
        self.arrival_token = Some(arrival_token);
        self
    }

    /// The JSON object of the answer, in the shape that callers of such services expect.
    pub fn object(&self) -> serde_json::Value {
        json!({"error": {
            "message": self.message,
            "type": if self.kind.status() < 500 { "invalid_request_error" } else { "server_error" },
            "code": self.kind.code(),
            "ran": self.ran.word(),
            "retry_after_ms": self.retry_after_ms,
        }})
    }

    /// The whole answer.
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
