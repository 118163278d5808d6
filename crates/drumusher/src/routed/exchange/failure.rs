//! Why an attempt at a backend server brought no answer.

use drumusher_schedule::ask::Outcome;

use super::Whole;
use crate::upstream;

/// Why an attempt brought no answer.
#[derive(Debug)]
pub enum Failure {
    /// No connection: nothing was handed over.
    NotConnected,
    /// The backend server said meanwhile that nothing is to be sent to it: nothing was handed over.
    Withheld,
    /// The backend server says that it did not run the request; the status.
    NotRun(u16),
    /// The connection broke, or what came is not the answer.
    Broken(upstream::Error),
    /// The backend server failed; its answer, to be delivered if there is no other attempt.
    Failed(Box<Whole>),
}

impl Failure {
    /// Its word in logs and metrics.
    pub(super) fn word(&self) -> &'static str {
        match self {
            Failure::NotConnected => "not connected",
            Failure::Withheld => "withheld",
            Failure::NotRun(_) => "not run",
            Failure::Broken(error) => error.word(),
            Failure::Failed(_) => "failed",
        }
    }

    /// What it tells the dispatcher about the backend server.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Failure::NotRun(429 | 503) => Outcome::Overloaded,
            Failure::Failed(_) => Outcome::ErrorResponse,
            Failure::NotConnected => Outcome::ConnectFailed,
            Failure::Withheld => Outcome::Cancelled,
            _ => Outcome::Failed,
        }
    }
}
