//! A connection to a backend server.

use std::{
    io,
    net::{SocketAddr, TcpStream},
};

use drumusher_platform::tcp;
use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};
use ntex::{
    SharedCfg,
    codec::Decoder,
    io::Io,
    time::{Millis, timeout},
    util::{Bytes, BytesMut, Either},
};

use super::{
    Error, Key,
    response::{self, Head, Part},
};
use crate::{
    connection::tunnel::{self, Deframer, Ending, Frame},
    process::clock,
};

/// A backend server closes an idle connection after the keep-alive timeout that it announces in whole seconds. The
/// connection is not used in the last part of that time, so that a request does not race with the close.
const IDLE_MARGIN: Micros = 500 * MILLISECOND;
/// Idle timeout if the backend server announces none.
const DEFAULT_IDLE_TIMEOUT: Micros = 4 * SECOND;
/// An at-most-once request uses only a connection idle for less than this: a backend server that has dropped the
/// connection would reset it, and then it would be unknown whether the request ran.
const MAX_IDLE_AT_MOST_ONCE: Micros = SECOND;

/// A request body of at least this many bytes is written without a copy.
const SHARED_BODY_BYTES: usize = 16 * 1024;

/// Interval at which a waiting request checks whether a silent backend server is gone; shorter than the tightest
/// latency target.
const POLL_INTERVAL: Millis = Millis(100);

/// Decodes the responses on a connection.
#[derive(Debug, Default)]
struct Codec {
    response: response::Codec,
    /// Extracts the server's bytes, on a tunnel.
    deframer: Option<Deframer>,
}

impl Decoder for Codec {
    type Item = Part;
    type Error = Error;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<Part>, Error> {
        let Some(deframer) = &self.deframer else { return self.response.decode(source) };
        let part = deframer.read(source, |plain| self.response.decode(plain))??;
        match (part, deframer.ending()) {
            (None, Some(Ending::Closed)) if self.response.ends_with_connection() => {
                self.response.end();
                Ok(Some(Part::End))
            }
            (None, Some(Ending::Closed)) => Err(Error::Closed),
            (None, Some(Ending::Unforwarded)) => Err(Error::NotConnected),
            (part, _) => Ok(part),
        }
    }
}

impl Codec {
    /// Whether no bytes wait to be decoded that were extracted from a tunnel.
    fn is_empty(&self) -> bool {
        self.deframer.as_ref().is_none_or(Deframer::is_empty)
    }
}

/// A connection to a backend server, with at most one request at a time.
#[derive(Debug)]
pub struct Conn {
    io: Io,
    /// The same socket, used to read the error with which the connection ended.
    socket: TcpStream,
    codec: Codec,
    /// Whether it may serve another request after the current response.
    reusable: bool,
    /// How long it may stay idle.
    idle_timeout: Micros,
    idle_since: Micros,
    /// The request that was sent last, unless it had no ID. A surplus response to it may come in place of the next one.
    latest: Option<Key>,
    /// Whether such a response may have no ID.
    may_owe_unnamed: bool,
    /// Whether the latest response ended with the connection.
    ended_by_close: bool,
    /// Whether the body of the latest response has no other end.
    until_close: bool,
    /// Length of the latest request, in bytes.
    request_bytes: usize,
}

impl Conn {
    /// Connects within `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::NotConnected`] if the connect fails or times out.
    pub async fn connect(address: SocketAddr, timeout: Millis) -> Result<Conn, Error> {
        let config = SharedCfg::new("upstream").build();
        let connected = tcp::connect_watched(address, timeout, config).await;
        let (io, socket) = connected.map_err(|error| {
            log::debug!("cannot connect to {address}: {error}");
            Error::NotConnected
        })?;
        Ok(Conn::from_socket(io, socket))
    }

    /// Wraps an established connection.
    fn from_socket(io: Io, socket: TcpStream) -> Conn {
        let (codec, idle_since) = (Codec::default(), clock::now());
        Conn {
            io,
            socket,
            codec,
            reusable: true,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            idle_since,
            latest: None,
            may_owe_unnamed: false,
            ended_by_close: false,
            until_close: false,
            request_bytes: 0,
        }
    }

    /// Wraps an open tunnel to a backend server.
    pub fn tunnelled(io: Io, socket: TcpStream) -> Conn {
        let mut conn = Conn::from_socket(io, socket);
        conn.codec.deframer = Some(Deframer::default());
        conn
    }

    /// Whether it is a tunnel through another instance.
    pub fn is_tunnel(&self) -> bool {
        self.codec.deframer.is_some()
    }

    /// Returns whether it can be used for a request now. An `at_most_once` request needs a connection that has not
    /// been idle for long.
    pub fn is_usable(&self, at_most_once: bool) -> bool {
        let idle = clock::now().saturating_sub(self.idle_since);
        let max_idle = if at_most_once {
            self.idle_timeout.min(MAX_IDLE_AT_MOST_ONCE)
        } else {
            self.idle_timeout
        };
        let no_unread_data = self.has_no_unread_data();
        !self.io.is_closed() && no_unread_data && idle < max_idle
    }

    /// Whether the backend server closes it within `limit`, although no request was sent on it.
    pub async fn is_closed_within(&self, limit: Millis) -> bool {
        let received = timeout(limit, self.io.recv(&self.codec)).await;
        matches!(received, Ok(Ok(None) | Err(Either::Right(_))))
    }

    /// Whether `request` is the one that was sent last. A surplus response to its earlier attempt could not be told from
    /// that to the next one.
    pub fn has_carried(&self, request: Key) -> bool {
        self.latest == Some(request)
    }

    /// Whether a surplus response without an ID may come.
    pub fn may_owe_unnamed(&self) -> bool {
        self.may_owe_unnamed
    }

    /// Records that the response to the latest request has come: a surplus response to an earlier one would have come
    /// before it.
    pub fn settle(&mut self) {
        self.may_owe_unnamed = self.latest.is_none();
    }

    /// Sends the head and body of a request; `request` is `None` if it has no ID.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`]; part of the request may have been sent.
    pub fn send(
        &mut self,
        request: Option<Key>,
        head: &[u8],
        body: &Bytes,
        is_head: bool,
    ) -> Result<(), Error> {
        self.latest = request;
        self.request_bytes = head.len() + body.len();
        self.may_owe_unnamed |= request.is_none();
        self.codec.response.expect(is_head);
        self.write(head)?;
        if body.len() < SHARED_BODY_BYTES {
            self.write(body)
        } else if self.is_tunnel() {
            self.write_frame(body.clone())
        } else {
            self.io.encode_bytes(body.clone()).map_err(|_| Error::Closed)
        }
    }

    fn write(&self, bytes: &[u8]) -> Result<(), Error> {
        if bytes.is_empty() {
            return Ok(());
        }
        if self.is_tunnel() {
            return self.write_frame(Bytes::copy_from_slice(bytes));
        }
        self.io.encode_slice(bytes).map(drop).map_err(|_| Error::Closed)
    }

    fn write_frame(&self, bytes: Bytes) -> Result<(), Error> {
        self.io.encode(Frame::Data(bytes), &tunnel::Codec).map_err(|_| Error::Closed)
    }

    fn has_no_unread_data(&self) -> bool {
        self.io.with_read_buf(|buffer| buffer.is_empty()) && self.codec.is_empty()
    }

    /// Waits until `until` for the next part of the response, unless the backend server `is_gone`. The clock is polled
    /// because timers stop while the machine is suspended, but the request's deadline does not.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but [`Error::NotConnected`]; the connection can't be used afterwards.
    pub async fn next_part(
        &mut self,
        until: Micros,
        is_gone: impl Fn() -> bool,
    ) -> Result<Part, Error> {
        let received = loop {
            let left = until.saturating_sub(clock::now()) / MILLISECOND;
            let slice = left.clamp(1, u64::from(POLL_INTERVAL.0)) as u32;
            let received = timeout(Millis(slice), self.io.recv(&self.codec)).await;
            if received.is_ok() || clock::now() + MILLISECOND > until {
                break received;
            }
            if is_gone() {
                self.reusable = false;
                return Err(Error::Lost);
            }
        };
        let part = match received {
            Err(()) => Err(Error::TimedOut),
            Ok(Ok(Some(Part::End))) if self.tunnel_closed() && self.until_close => {
                self.end_by_close(until).await
            }
            Ok(Ok(Some(part))) => Ok(part),
            Ok(Ok(None)) if self.ends_with_connection() && self.closed_cleanly() => {
                (self.reusable, self.ended_by_close) = (false, true);
                self.end_by_close(until).await
            }
            Ok(Ok(None)) => Err(self.close_reason()),
            Ok(Err(Either::Left(error))) => Err(error),
            Ok(Err(Either::Right(error))) if is_unreachable(&error) => Err(Error::Lost),
            Ok(Err(Either::Right(_))) => Err(Error::Closed),
        };
        self.ended_by_close |= self.tunnel_closed();
        match &part {
            Ok(Part::Head(head)) => {
                self.until_close = head.until_close;
                self.update_keep_alive(head);
            }
            Ok(_) => {}
            Err(_) => self.reusable = false,
        }
        part
    }

    /// Whether the latest response has no other end than that of the connection.
    pub fn ended_by_close(&self) -> bool {
        self.ended_by_close
    }

    /// Returns whether closing the connection now would end the response. The end of a tunnel says nothing about it.
    fn ends_with_connection(&self) -> bool {
        !self.is_tunnel() && self.codec.response.ends_with_connection()
    }

    /// Returns whether the backend server closed its connection at the other end of the tunnel.
    fn tunnel_closed(&self) -> bool {
        let ending = self.codec.deframer.as_ref().and_then(Deframer::ending);
        ending == Some(Ending::Closed)
    }

    /// Ends a body that ends with its connection. A backend server that closed the connection before it had received the whole
    /// request broke off. It resets the connection, but perhaps only later, or the failed write alone got the error.
    async fn end_by_close(&self, until: Micros) -> Result<Part, Error> {
        let is_written = self.io.with_write_dst_buf(|buffer| buffer.is_empty());
        // At the other end of a tunnel, the other instance checks it.
        let is_short = self.is_tunnel() || self.request_bytes <= tcp::INITIAL_WINDOW_BYTES;
        let is_received = is_written && (is_short || tcp::is_received(&self.socket, until).await);
        if is_received { Ok(Part::End) } else { Err(Error::Closed) }
    }

    /// Returns whether the peer closed the connection rather than reset it.
    fn closed_cleanly(&self) -> bool {
        matches!(self.socket.take_error(), Ok(None))
    }

    /// Returns why a connection ended before its response was complete.
    fn close_reason(&self) -> Error {
        match self.socket.take_error() {
            Ok(Some(error)) if is_unreachable(&error) => Error::Lost,
            _ => Error::Closed,
        }
    }

    /// Updates reusability and idle timeout from a response head.
    fn update_keep_alive(&mut self, head: &Head) {
        // If the response arrives before the request was fully sent, the connection can't be reused: the rest of the
        // request would precede the next one.
        let unsent = self.io.with_write_buf(|buffer| !buffer.is_empty()).unwrap_or(true);
        if !head.keep_alive || unsent {
            self.reusable = false;
        }
        if let Some(seconds) = keep_alive_seconds(head) {
            self.idle_timeout = (seconds * SECOND).saturating_sub(IDLE_MARGIN);
        }
    }

    /// Expects another response, after one that belonged to an earlier request.
    pub fn expect_next_response(&mut self) {
        self.reusable = false;
        self.codec.response.expect_next();
    }

    /// Ends a request whose response is complete. Returns whether the connection can be kept for another request.
    pub fn finish(&mut self) -> bool {
        self.idle_since = clock::now();
        let reusable = self.reusable
            && self.codec.response.is_idle()
            && self.has_no_unread_data()
            && !self.io.is_closed()
            && self.idle_timeout > 0;
        if reusable && self.is_tunnel() {
            return self.io.encode(Frame::End, &tunnel::Codec).is_ok();
        }
        reusable
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        // Closes without delay, so that the backend server stops working for a client that is gone.
        self.io.terminate();
    }
}

/// Returns whether a connection failed because the peer became unreachable, rather than by a close or reset.
fn is_unreachable(error: &io::Error) -> bool {
    use io::ErrorKind::{HostUnreachable, NetworkUnreachable, TimedOut};
    matches!(error.kind(), TimedOut | HostUnreachable | NetworkUnreachable)
}

/// Result of probing whether a backend server accepts connections.
#[derive(Debug)]
pub enum Probe {
    /// The host refused the connection: nothing listens on the port.
    Refused,
    /// The server accepted this connection.
    Connected(Conn),
    /// No response, or an error that proves nothing.
    Inconclusive,
}

/// Probes whether a backend server accepts connections, within `timeout`.
pub async fn probe(address: SocketAddr, timeout: Millis) -> Probe {
    let config = SharedCfg::new("upstream").build();
    match tcp::connect_watched(address, timeout, config).await {
        Ok((io, socket)) => Probe::Connected(Conn::from_socket(io, socket)),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Probe::Refused,
        Err(error) => {
            log::debug!("probe of {address} is inconclusive: {error}");
            Probe::Inconclusive
        }
    }
}

fn keep_alive_seconds(head: &Head) -> Option<u64> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let mut words = value.split(',').map(str::trim);
    words.find_map(|word| word.strip_prefix("timeout=")?.trim().parse().ok())
}
