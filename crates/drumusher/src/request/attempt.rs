//! Sends one attempt to a backend server over HTTP.

use drumusher_schedule::time::{MILLISECOND, Micros};
use ntex::{
    http::Method,
    time::{Millis, sleep},
    util::{Bytes, BytesMut},
};

use super::{
    head::{IDEMPOTENCY_HEADER, REQUEST_ID_HEADER},
    id,
    trace::TRACEPARENT,
};
use crate::{
    process::{clock, memory::Exhausted},
    settings::Backend as Settings,
    upstream::{
        self, Conn, Key, Need,
        response::{Head, Part},
    },
    version::Backend,
};

/// Interval at which idle connections are pruned.
const PRUNE_INTERVAL: Millis = Millis(5_000);

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection was established; nothing was sent.
    NotSent,
    /// The backend server has no capacity; the request was not run.
    Full,
    /// The connection was closed before any response; the request may have run.
    Closed,
    /// The connection broke during the response.
    Broken,
    /// The response stopped for too long.
    Stalled,
    /// The response did not begin in time.
    NoResponse,
    /// The backend server responded with an error status.
    Failed(u16),
    /// The response belongs to another request.
    Mismatched,
    /// The response takes more memory than this instance has left.
    NoMemory,
}

impl From<Exhausted> for Error {
    fn from(_: Exhausted) -> Self {
        Error::NoMemory
    }
}

impl Error {
    /// Returns whether the request certainly did not run.
    pub fn not_run(self) -> bool {
        matches!(self, Error::NotSent | Error::Full)
    }

    /// Returns whether the attempt ended before any response and the request is not suspected of it: an engine that the
    /// request crashes closes the connection.
    pub fn is_rejection(self) -> bool {
        match self {
            Error::NotSent | Error::Full | Error::NoResponse | Error::Failed(_) => true,
            Error::Closed
            | Error::Broken
            | Error::Stalled
            | Error::Mismatched
            | Error::NoMemory => false,
        }
    }

    /// Description used in spans, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Error::NotSent => "no connection",
            Error::Full => "takes no more",
            Error::Closed => "closed without a response",
            Error::Broken => "broke off",
            Error::Stalled | Error::NoResponse => "stalled",
            Error::Failed(_) => "failed",
            Error::Mismatched => "answered another request",
            Error::NoMemory => "got no memory",
        }
    }
}

/// HTTP client of one HTTP worker, on the connections of [`upstream`].
#[derive(Clone)]
pub struct Client {
    /// Idle connections, used for requests that may be repeated. A backend server may close an idle connection at the
    /// moment at which it is reused, and whether it ran the request is unknown then.
    conns: upstream::Pool,
    /// Connect timeout.
    connect_timeout: Millis,
    /// Timeout for the head of a response.
    first_byte_time: Micros,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(settings: &Settings) -> Client {
        Client {
            conns: upstream::Pool::new(),
            connect_timeout: Millis(settings.connect_ms as u32),
            first_byte_time: settings.first_byte_ms * MILLISECOND,
        }
    }

    /// Closes idle connections as they grow old, as long as the worker exists.
    pub async fn prune(self) {
        loop {
            sleep(PRUNE_INTERVAL).await;
            self.conns.prune();
        }
    }

    async fn connect(&self, request: &AttemptRequest<'_>) -> Result<Conn, Error> {
        let address = request.server.address.parse().map_err(|_| Error::NotSent)?;
        let connected = if request.repeatable {
            let need = Need { request: request.key(), at_most_once: false };
            self.conns.take(request.server, address, need, self.connect_timeout).await
        } else {
            Conn::connect(address, self.connect_timeout).await
        };
        connected.map_err(|_| Error::NotSent)
    }
}

/// A request to a backend server.
#[derive(Clone, Debug)]
pub struct AttemptRequest<'a> {
    /// The backend server.
    pub server: &'a Backend,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Request ID.
    pub id: u128,
    /// `traceparent` header of this attempt's span.
    pub traceparent: String,
    /// Headers to forward.
    pub headers: &'a [(&'static str, String)],
    /// Request body.
    pub body: Bytes,
    /// Whether it may be sent more than once.
    pub repeatable: bool,
}

impl AttemptRequest<'_> {
    /// Tells it from other requests on its connection.
    fn key(&self) -> Key {
        Key::new(&id::to_text(self.id))
    }

    /// Encodes the head.
    fn encode_head(&self) -> String {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nhost: {}\r\n{REQUEST_ID_HEADER}: {}\r\n{TRACEPARENT}: {}\r\n",
            self.method,
            self.path,
            self.server.address,
            id::to_text(self.id),
            self.traceparent
        );
        for (name, value) in self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || !matches!(self.method, Method::GET | Method::HEAD) {
            head.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        head.push_str(if self.repeatable { "\r\n" } else { "connection: close\r\n\r\n" });
        head
    }
}

/// A response whose body is still to be read. Dropping it before the end of the body cancels the request.
pub struct Response {
    head: Head,
    /// The connection, until the body has ended.
    conn: Option<Conn>,
    conns: upstream::Pool,
    server: Backend,
}

impl Response {
    /// Status code.
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// The value of a header, if it is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// The length of the body in bytes, if it is declared.
    pub fn content_length(&self) -> Option<usize> {
        self.head.content_length()
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the connection breaks, [`Error::Stalled`] if nothing is received within `longest_ms`.
    pub async fn next_chunk(&mut self, longest_ms: u64) -> Result<Option<Bytes>, Error> {
        let Some(conn) = &mut self.conn else { return Ok(None) };
        match conn.next_part(clock::now() + longest_ms * MILLISECOND, || false).await {
            Ok(Part::Data(bytes)) => Ok(Some(bytes)),
            Ok(Part::End) => {
                if let Some(conn) = self.conn.take() {
                    self.conns.put(&self.server, conn);
                }
                Ok(None)
            }
            Err(upstream::Error::TimedOut) => Err(Error::Stalled),
            Ok(Part::Head(_)) | Err(_) => Err(Error::Broken),
        }
    }

    /// Reads the whole body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// See [`Response::next_chunk`].
    pub async fn read_body(
        &mut self,
        max_bytes: usize,
        longest_ms: u64,
    ) -> Result<BytesMut, Error> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk(longest_ms).await? {
            if body.len() + chunk.len() > max_bytes {
                return Err(Error::Broken);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    }
}

/// Sends a request and waits for the head of the response.
///
/// # Errors
///
/// Any [`Error`] but [`Error::Failed`]; the caller of this function has to check the status.
pub async fn send(client: &Client, request: AttemptRequest<'_>) -> Result<Response, Error> {
    let mut conn = client.connect(&request).await?;
    let is_head = request.method == Method::HEAD;
    let head = request.encode_head();
    let sent = conn.send(Some(request.key()), head.as_bytes(), &request.body, is_head);
    sent.map_err(|_| Error::Closed)?;
    let until = clock::now() + client.first_byte_time;
    let head = match conn.next_part(until, || false).await {
        Ok(Part::Head(head)) => head,
        Ok(_) | Err(upstream::Error::Malformed) => return Err(Error::Broken),
        Err(upstream::Error::TimedOut) => return Err(Error::NoResponse),
        Err(_) => return Err(Error::Closed),
    };
    conn.settle();
    let server = request.server.clone();
    let response = Response { head, conn: Some(conn), conns: client.conns.clone(), server };
    let echoed = response.header(REQUEST_ID_HEADER);
    if echoed.is_some_and(|echoed| echoed != id::to_text(request.id)) {
        return Err(Error::Mismatched);
    }
    Ok(response)
}

/// Headers that are forwarded to plain services.
pub const FORWARDED_HEADERS: [&str; 4] =
    ["content-type", "accept", IDEMPOTENCY_HEADER, "user-agent"];
