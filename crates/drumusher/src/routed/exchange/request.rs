//! A caller's request, and its head as it is sent to a backend server.

use drumusher_platform::dialect::{Attempt, Dialect, Head};
use drumusher_schedule::time::Micros;
use ntex::{
    http::{HeaderMap, Method},
    io::IoRef,
    util::Bytes,
};

use crate::{routed::client_connections::Use, version::Match};

/// Bytes set aside for a head at first; a longer one only costs another allocation.
const HEAD: usize = 1_024;

/// A caller's request as it is passed on.
#[derive(Debug)]
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: String,
    /// The headers that pass.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What it says about itself.
    pub head: Head,
    /// What the configuration says about it.
    pub found: Match,
    /// When it arrived.
    pub arrived: Micros,
    /// The caller's connection.
    pub caller: Option<IoRef>,
    /// Marks it as in use.
    pub in_use: Option<Use>,
}

impl Request {
    /// The headers of an attempt at the backend server `server`, which has `left_ms` milliseconds
    /// for its answer and takes over what the one at the address `source` keeps of the prompt.
    /// `last_event` is the last event delivered, if the answer is to go on after it.
    pub(super) fn attempt<D: Dialect>(
        &self,
        dialect: &D,
        server: &str,
        source: Option<&str>,
        left_ms: u64,
        last_event: Option<u64>,
    ) -> HeaderMap {
        let found = &self.found;
        let attempt = Attempt {
            deadline_ms: left_ms,
            server,
            source,
            workspace: found.workspace.as_deref(),
            urgency: found.engine.then_some(found.priority),
            last_event,
        };
        let mut headers = self.headers.clone();
        dialect.write_attempt(&attempt, &mut headers);
        headers
    }

    /// The head of the request with these headers, as the bytes that are sent. The length of the
    /// body is told here, and left out only of a request without one whose method needs none.
    pub(super) fn head_with(&self, headers: &HeaderMap) -> Vec<u8> {
        let mut head = Vec::with_capacity(HEAD);
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
        let bodied = !matches!(self.method, Method::GET | Method::HEAD | Method::DELETE);
        if bodied || !self.body.is_empty() {
            head.extend_from_slice(format!("content-length: {}\r\n", self.body.len()).as_bytes());
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}
