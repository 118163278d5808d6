//! Connections to backend servers that are kept between requests.
//!
//! The client of the HTTP library hides what at-most-once and whole answers need to know: whether a
//! connection was new, whether bytes came that belong to no request, and which of two answers on
//! one connection is whose. So the exchange stands here: [`response`] cuts bytes into answers (heads
//! are parsed by `httparse`), [`conn`] is one connection, [`pool`] keeps the idle ones.

pub mod conn;
pub mod pool;
pub mod response;

pub use conn::{Conn, Presence, presence};
pub use pool::Pool;

use std::fmt;

/// Why an exchange with a backend server broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection came up: nothing was handed over.
    NotConnected,
    /// The connection was closed or reset.
    Closed,
    /// What came is not an answer.
    Malformed,
    /// Nothing came in time.
    TimedOut,
    /// The backend server started again, or nothing is heard of its host any more: the connection is over although
    /// nobody closed it.
    Lost,
}

impl Error {
    /// Its word in logs and metrics.
    pub fn word(self) -> &'static str {
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
        f.write_str(self.word())
    }
}

impl std::error::Error for Error {}
