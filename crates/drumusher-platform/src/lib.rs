//! The outside systems behind small traits, each with its implementation over HTTP and JSON.
//!
//! [`log`] is the platform's append-only log, [`members`] its list of instances and backend
//! servers, [`load`] a backend server's own report. A change of an outside protocol is a change of
//! one of these files. [`clock`] is the clock of the process. [`catalog`], [`routing`], [`engine`], [`duty`] and [`dialect`] are the traits and values of a
//! platform that keeps configuration and servers in one store; the crate in `platform/` implements
//! them. Unknown fields are ignored; missing ones are an [`Error::Malformed`].
//!
//! Futures are not `Send`: each belongs to the thread that made it.

pub mod catalog;
pub mod clock;
pub mod dialect;
pub mod duty;
pub mod engine;
mod http;
pub mod load;
pub mod log;
pub mod members;
pub mod once;
pub mod routing;
pub mod tcp;

pub use http::{Http, Response};

use std::fmt;

/// Why an outside system gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection: nothing was sent.
    Unreachable,
    /// Something may have been sent, and no answer came.
    NoAnswer,
    /// It answered that it cannot now (status code).
    Unavailable(u16),
    /// It came back from a copy while the call was made of several, or after what the call is about was read.
    Restored,
    /// The answer is not what the protocol says.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable => f.write_str("cannot be reached"),
            Error::NoAnswer => f.write_str("did not answer"),
            Error::Unavailable(status) => write!(f, "answered with status {status}"),
            Error::Restored => f.write_str("came back from a copy meanwhile"),
            Error::Malformed(reason) => write!(f, "gave an answer that cannot be read: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
