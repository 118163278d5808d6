//! Connections between instances: framing and authentication.

mod codec;
mod handshake;
pub mod tunnel;

pub use codec::Codec;
pub use handshake::{Identity, Peer, Purpose, accept, connect, connect_for_transfer, open_tunnel};

use std::fmt;

/// Why a connection to another instance failed.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be established, or broke.
    Io(std::io::Error),
    /// The peer sent an invalid frame.
    Frame(drumusher_wire::frame::Error),
    /// The peer closed the connection.
    Closed,
    /// The peer did not respond in time.
    Timeout,
    /// The peer does not know the fleet secret, or violated the handshake protocol.
    Refused,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => write!(f, "{error}"),
            Error::Frame(error) => write!(f, "{error}"),
            Error::Closed => f.write_str("closed by the peer"),
            Error::Timeout => f.write_str("no response in time"),
            Error::Refused => f.write_str("the peer does not know the fleet secret"),
        }
    }
}

impl std::error::Error for Error {}
