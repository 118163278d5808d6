//! One connection to a backend server.

use std::{
    io,
    net::{SocketAddr, TcpStream},
};

use drumusher_platform::tcp;
use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};
use ntex::{
    SharedCfg,
    io::Io,
    time::{Millis, timeout},
    util::{Bytes, Either},
};

use super::{
    Error,
    response::{Codec, Head, Part},
};
use crate::process::clock;

/// A backend server closes an idle connection at the time it names, in whole seconds; it is not
/// used in the last part of that, so that a request does not cross the close.
const IDLE_MARGIN: Micros = 500 * MILLISECOND;
/// A connection whose backend server names no time is kept idle for so long.
const IDLE_UNNAMED: Micros = 4 * SECOND;
/// A request that may not be repeated goes only on a connection idle for less than this: a backend
/// server that forgot the connection would reset it, and nobody could tell whether it ran.
const IDLE_FRESH: Micros = SECOND;

/// Time between two looks whether a backend server that says nothing is gone: a part of the tightest target.
const LOOK: Millis = Millis(100);

/// One connection to a backend server, with at most one request on it.
#[derive(Debug)]
pub struct Conn {
    io: Io,
    /// The same socket, to be asked how it ended.
    socket: TcpStream,
    codec: Codec,
    /// Whether it may serve another request after this answer.
    sound: bool,
    /// How long it may be idle.
    idle: Micros,
    idle_since: Micros,
}

impl Conn {
    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// [`Error::NotConnected`].
    pub async fn connect(address: SocketAddr, limit: Millis) -> Result<Conn, Error> {
        let config = SharedCfg::new("upstream").build();
        let connected = tcp::connect_watched(address, limit, config).await;
        let (io, socket) = connected.map_err(|error| {
            log::debug!("no connection to {address}: {error}");
            Error::NotConnected
        })?;
        Ok(Conn::of(io, socket))
    }

    /// A connection that is up.
    fn of(io: Io, socket: TcpStream) -> Conn {
        let (codec, idle_since) = (Codec::new(), clock::now());
        Conn { io, socket, codec, sound: true, idle: IDLE_UNNAMED, idle_since }
    }

    /// Whether it may take a request now, one that is handed over at most once if `fresh`: such a
    /// request does not go on a connection that was idle for long.
    pub fn usable(&self, fresh: bool) -> bool {
        let idle = clock::now().saturating_sub(self.idle_since);
        let most = if fresh { self.idle.min(IDLE_FRESH) } else { self.idle };
        let silent = self.io.with_read_buf(|buffer| buffer.is_empty());
        !self.io.is_closed() && silent && idle < most
    }

    /// Sends a request: head and body in one go.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`]; part of it may have been sent.
    pub fn send(&self, head: &[u8], body: &Bytes, bodiless: bool) -> Result<(), Error> {
        self.codec.expect(bodiless);
        self.io.encode_slice(head).map_err(|_| Error::Closed)?;
        if !body.is_empty() {
            self.io.encode_slice(body).map_err(|_| Error::Closed)?;
        }
        Ok(())
    }

    /// Waits until `until` for the next piece of the answer, as long as the backend server is not `gone`. The clock is
    /// looked at again and again: timers stand still while the machine is suspended, and the time of a request does not.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but [`Error::NotConnected`]; the connection is of no use then.
    pub async fn next_part(
        &mut self,
        until: Micros,
        gone: impl Fn() -> bool,
    ) -> Result<Part, Error> {
        let received = loop {
            let left = until.saturating_sub(clock::now()) / MILLISECOND;
            let slice = left.clamp(1, u64::from(LOOK.0)) as u32;
            let received = timeout(Millis(slice), self.io.recv(&self.codec)).await;
            if received.is_ok() || clock::now() + MILLISECOND > until {
                break received;
            }
            if gone() {
                self.sound = false;
                return Err(Error::Lost);
            }
        };
        let piece = match received {
            Err(()) => Err(Error::TimedOut),
            Ok(Ok(Some(piece))) => Ok(piece),
            Ok(Ok(None)) if self.codec.ends_with_connection() && self.ended_in_order() => {
                self.sound = false;
                Ok(Part::End)
            }
            Ok(Ok(None)) => Err(self.broken()),
            Ok(Err(Either::Left(error))) => Err(error),
            Ok(Err(Either::Right(error))) if is_lost(&error) => Err(Error::Lost),
            Ok(Err(Either::Right(_))) => Err(Error::Closed),
        };
        match &piece {
            Ok(Part::Head(head)) => self.note(head),
            Ok(_) => {}
            Err(_) => self.sound = false,
        }
        piece
    }

    /// Whether the other side closed the connection, and did not reset it.
    fn ended_in_order(&self) -> bool {
        matches!(self.socket.take_error(), Ok(None))
    }

    /// Why a connection ended before its answer was whole.
    fn broken(&self) -> Error {
        match self.socket.take_error() {
            Ok(Some(error)) if is_lost(&error) => Error::Lost,
            _ => Error::Closed,
        }
    }

    /// Learns from a head whether and how long the connection lasts.
    fn note(&mut self, head: &Head) {
        // An answer before the request was read: the rest of it may not meet another answer.
        let unsent = self.io.with_write_buf(|buffer| !buffer.is_empty()).unwrap_or(true);
        if !head.keep_alive || unsent {
            self.sound = false;
        }
        if let Some(seconds) = keep_alive_seconds(head) {
            self.idle = (seconds * SECOND).saturating_sub(IDLE_MARGIN);
        }
    }

    /// Expects one more answer, after one that belonged to an earlier request.
    pub fn expect_another(&mut self) {
        self.sound = false;
        self.codec.expect(false);
    }

    /// After a whole answer: whether it can be kept for another request.
    pub fn finish(&mut self) -> bool {
        self.idle_since = clock::now();
        let silent = self.io.with_read_buf(|buffer| buffer.is_empty());
        self.sound && self.codec.is_idle() && silent && !self.io.is_closed() && self.idle > 0
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        // At once, so that the backend server stops working for a caller that is gone.
        self.io.terminate();
    }
}

/// Whether a connection failed since nothing was heard of the other side, and not by its word.
fn is_lost(error: &io::Error) -> bool {
    use io::ErrorKind::{HostUnreachable, NetworkUnreachable, TimedOut};
    matches!(error.kind(), TimedOut | HostUnreachable | NetworkUnreachable)
}

/// Whether a backend server is there.
#[derive(Debug)]
pub enum Presence {
    /// Its host says that nobody listens.
    Refused,
    /// It takes connections; this is one.
    There(Conn),
    /// Nobody answers, or what happened says nothing.
    Unknown,
}

/// Finds out whether a backend server is there, within `limit`.
pub async fn presence(address: SocketAddr, limit: Millis) -> Presence {
    let config = SharedCfg::new("upstream").build();
    match tcp::connect_watched(address, limit, config).await {
        Ok((io, socket)) => Presence::There(Conn::of(io, socket)),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Presence::Refused,
        Err(error) => {
            log::debug!("whether {address} is there is not known: {error}");
            Presence::Unknown
        }
    }
}

fn keep_alive_seconds(head: &Head) -> Option<u64> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let mut words = value.split(',').map(str::trim);
    words.find_map(|word| word.strip_prefix("timeout=")?.trim().parse().ok())
}
