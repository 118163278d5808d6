//! Connections to backend servers, which are kept open between requests.
//!
//! The HTTP library's client hides what at-most-once delivery and complete responses depend on: whether a connection
//! is new, whether it received bytes that belong to no request, and which of two responses on a connection belongs to
//! which request. So this module has its own client: [`response`] decodes responses (heads are parsed by `httparse`),
//! [`conn`] is one connection, [`pool`] keeps the idle ones.

pub mod conn;
pub mod pool;
pub mod response;

pub use conn::{Conn, Probe, probe};
pub use pool::Pool;

use std::fmt;

/// Why an exchange with a backend server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection was established; nothing was sent.
    NotConnected,
    /// The connection was closed or reset.
    Closed,
    /// The received bytes are not a valid response.
    Malformed,
    /// Nothing was received in time.
    TimedOut,
    /// The backend server restarted, or its host is unreachable: the connection is dead although neither side closed
    /// it.
    Lost,
}

impl Error {
    /// Label used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Error::NotConnected => "not connected",
            Error::Closed => "closed",
            Error::Malformed => "malformed",
            Error::TimedOut => "silent",
            Error::Lost => "lost",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for Error {}
