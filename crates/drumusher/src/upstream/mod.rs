//! Connections to backend servers, which are kept open between requests.
//!
//! The HTTP library's client hides what at-most-once delivery and complete responses depend on: whether a connection
//! is new, whether it received bytes that belong to no request, and which of two responses on a connection belongs to
//! which request. So this module has its own client: [`response`] decodes responses (heads are parsed by `httparse`),
//! [`conn`] is one connection, [`pool`] keeps the idle ones, [`paths`] tells which servers this instance does not reach,
//! and [`tunnel`] connects to those through other instances.

pub mod conn;
pub mod paths;
pub mod pool;
pub mod response;
pub mod tunnel;

pub use conn::{Conn, Probe, probe};
pub use paths::Paths;
pub use pool::{Need, Pool};

use std::{fmt, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

use crate::{process::memory::Exhausted, version::Backend};

/// Tells a request from others on the same connection: a hash of its ID, which all of its attempts have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key(u64);

impl Key {
    /// The key of a request with this ID.
    pub fn new(id: &str) -> Self {
        Key(xxh3_64(id.as_bytes()))
    }
}

/// One run of a backend server: its name, and its start time if known.
pub type Incarnation = (Arc<str>, Option<u64>);

/// The run of a backend server that an entry of the directory is about.
pub fn incarnation(server: &Backend) -> Incarnation {
    (server.name.clone(), server.started_ms)
}

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
    /// The response takes more memory than this instance has left.
    NoMemory,
    /// The backend server restarted, or its host is unreachable: the connection is dead although neither side closed
    /// it.
    Lost,
}

impl From<Exhausted> for Error {
    fn from(_: Exhausted) -> Self {
        Error::NoMemory
    }
}

impl Error {
    /// Label used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Error::NotConnected => "not connected",
            Error::Closed => "closed",
            Error::Malformed => "malformed",
            Error::TimedOut => "silent",
            Error::NoMemory => "no memory",
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
