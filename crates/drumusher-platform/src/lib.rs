//! Traits for the platform's services, with their implementations over HTTP and JSON.
//!
//! [`log`] is the platform's append-only log, [`members`] its list of instances and backend servers, [`load`]
//! the load report of a backend server. A change of one of these protocols is a change of one of these files.
//! [`clock`] is the clock of the process, [`Http`] the HTTP client, [`tcp`] and [`once`] are its connections
//! and calls without retries, [`unread`] limits what a connection holds. [`catalog`], [`routing`], [`engine`], [`duty`] and [`dialect`] are the traits
//! and values of a platform that keeps configuration and servers in one store; the crate in `platform/`
//! implements them. Unknown JSON fields are ignored; missing ones are an [`Error::Malformed`].
//!
//! Futures are not `Send`: they stay on the thread that created them.

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
pub mod unread;

pub use http::{Http, Response};

use std::fmt;

/// Why a service of the platform gave no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection: nothing was sent.
    Unreachable,
    /// The request may have been sent, but no complete response came.
    NoAnswer,
    /// The service responded with an error (status code).
    Unavailable(u16),
    /// The service was restored from a backup during a call of several steps, or after the data that the call
    /// refers to was read.
    Restored,
    /// The response does not follow the protocol.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable => f.write_str("cannot be reached"),
            Error::NoAnswer => f.write_str("did not respond"),
            Error::Unavailable(status) => write!(f, "responded with status {status}"),
            Error::Restored => f.write_str("came back from a copy meanwhile"),
            Error::Malformed(reason) => write!(f, "sent a response that cannot be read: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
