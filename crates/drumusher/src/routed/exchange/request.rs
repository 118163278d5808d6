//! A client's request, and the encoding of the head that is sent to a backend server.

use drumusher_platform::dialect::{Attempt, Dialect, Head};
use drumusher_schedule::time::Micros;
use ntex::{
    http::{HeaderMap, Method},
    io::IoRef,
    util::Bytes,
};

use crate::{client_connections::InUse, version::Match};

/// Initial buffer size for an encoded head; a longer head costs one more allocation.
const HEAD_CAPACITY: usize = 1_024;

/// A client's request as it is forwarded.
#[derive(Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Values that the client declared in its headers.
    pub head: Head,
    /// Route and workspace that the configuration assigns to it.
    pub route_match: Match,
    /// Arrival time.
    pub arrived: Micros,
    /// Connection of the client.
    pub client: Option<IoRef>,
    /// Keeps that connection marked as in use.
    pub in_use: Option<InUse>,
}

/// What one attempt adds to the request.
pub(super) struct Terms<'a> {
    /// The backend server.
    pub(super) server: &'a str,
    /// The address from which it fetches cached prompt state.
    pub(super) source: Option<&'a str>,
    /// Time for the response, in milliseconds.
    pub(super) remaining_ms: u64,
    /// The last event delivered, if the stream is to be resumed after it.
    pub(super) last_event: Option<u64>,
    /// The urgency inside the engine, if it is not the priority of the route.
    pub(super) urgency: Option<u8>,
}

impl Request {
    /// Returns the headers of an attempt.
    pub(super) fn attempt_headers<D: Dialect>(&self, dialect: &D, terms: &Terms<'_>) -> HeaderMap {
        let route_match = &self.route_match;
        let urgency = terms.urgency.unwrap_or(route_match.priority);
        let attempt = Attempt {
            deadline_ms: terms.remaining_ms,
            server: terms.server,
            source: terms.source,
            workspace: route_match.workspace.as_deref(),
            urgency: route_match.engine.then_some(urgency),
            last_event: terms.last_event,
        };
        let mut headers = self.headers.clone();
        dialect.write_attempt(&attempt, &mut headers);
        headers
    }

    /// Encodes the request head with these headers. `content-length` is added here; it is left out only if there is no
    /// body and the method needs none.
    pub(super) fn encode_head(&self, headers: &HeaderMap) -> Vec<u8> {
        let mut head = Vec::with_capacity(HEAD_CAPACITY);
        head.extend_from_slice(self.method.as_str().as_bytes());
        head.push(b' ');
        head.extend_from_slice(self.path.as_bytes());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in headers {
            head.extend_from_slice(name.as_str().as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value.as_bytes());
            head.extend_from_slice(b"\r\n");
        }
        let has_body = !matches!(self.method, Method::GET | Method::HEAD | Method::DELETE);
        if has_body || !self.body.is_empty() {
            head.extend_from_slice(format!("content-length: {}\r\n", self.body.len()).as_bytes());
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}
