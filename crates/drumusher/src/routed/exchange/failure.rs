//! Reasons why an attempt at a backend server failed.

use drumusher_schedule::ask::Outcome;

use super::BufferedResponse;
use crate::upstream;

/// Why an attempt produced no response that can be passed on.
#[derive(Debug)]
pub enum Failure {
    /// No connection was established; nothing was sent.
    NotConnected,
    /// A notice of the backend server (leaving, resting or limited) forbids sending to it now; nothing was sent.
    Withheld,
    /// The backend server reports that it did not run the request; holds the status code.
    NotRun(u16),
    /// The connection broke, or the response was invalid.
    Broken(upstream::Error),
    /// The backend server answered with an error, which is delivered if no other attempt follows.
    Failed(Box<BufferedResponse>),
}

impl From<upstream::Error> for Failure {
    /// The failure of an attempt without a response. A tunnel that forwarded nothing is no connection.
    fn from(error: upstream::Error) -> Self {
        match error {
            upstream::Error::NotConnected => Failure::NotConnected,
            error => Failure::Broken(error),
        }
    }
}

impl Failure {
    /// Label used in logs and metrics.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Failure::NotConnected => "not connected",
            Failure::Withheld => "withheld",
            Failure::NotRun(_) => "not run",
            Failure::Broken(error) => error.as_str(),
            Failure::Failed(_) => "failed",
        }
    }

    /// Outcome reported to the dispatcher.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Failure::NotRun(429 | 503) => Outcome::Overloaded,
            Failure::Failed(_) => Outcome::ErrorResponse,
            Failure::NotConnected => Outcome::ConnectFailed,
            // Neither is the backend server's fault.
            Failure::Withheld | Failure::Broken(upstream::Error::NoMemory) => Outcome::Cancelled,
            _ => Outcome::Failed,
        }
    }
}
