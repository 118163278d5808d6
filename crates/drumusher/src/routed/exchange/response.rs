//! Reads the response of a backend server and matches it to its request.

use drumusher_platform::dialect::{Answer, Dialect};
use drumusher_schedule::time::Micros;
use ntex::util::{Bytes, BytesMut};

use super::{Exchange, Failure};
use crate::{
    routed::relay::Relay,
    upstream::{
        self, Conn,
        response::{self, Part},
    },
    version::Backend,
};

/// Number of responses to earlier requests that are skipped before the expected one.
const MAX_STALE_RESPONSES: u32 = 2;
/// Maximum size of a buffered response body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A response with its complete body.
#[derive(Debug)]
pub struct BufferedResponse {
    pub(super) head: response::Head,
    pub(super) body: Bytes,
}

/// Result of a successful attempt.
pub enum BackendResponse<D: Dialect> {
    /// A complete response.
    Buffered(BufferedResponse),
    /// An event stream whose first events have arrived.
    Stream(Box<Relay<D>>),
}

impl<D: Dialect> Exchange<D> {
    /// Reads the head of the response to this request. Responses to earlier requests are skipped.
    pub(super) async fn read_head(
        &mut self,
        conn: &mut Conn,
        until: Micros,
    ) -> Result<(response::Head, Answer), Failure> {
        for _ in 0..=MAX_STALE_RESPONSES {
            let head = loop {
                match self.next_part(conn, until).await.map_err(Failure::from)? {
                    Part::Head(head) => break head,
                    Part::Data(_) | Part::End => {}
                }
            };
            let answer = self.worker.dialect.read_answer(head.status, &head.headers);
            let matches_request = answer.id.as_deref() == Some(self.request.head.id.as_str());
            self.record_notice(&answer, matches_request);
            if matches_request || (answer.id.is_none() && answer.not_run) {
                return Ok((head, answer));
            }
            log::warn!(
                request = self.request.head.id.as_str(),
                answered = answer.id.as_deref().unwrap_or("none");
                "skipped a response to another request"
            );
            if answer.id.is_none() {
                return Err(Failure::Broken(upstream::Error::Malformed));
            }
            loop {
                if let Part::End = self.next_part(conn, until).await.map_err(Failure::Broken)? {
                    break;
                }
            }
            conn.expect_next_response();
        }
        Err(Failure::Broken(upstream::Error::Malformed))
    }

    /// Reads a complete body.
    pub(super) async fn read_body(&mut self, conn: &mut Conn) -> Result<Bytes, upstream::Error> {
        let mut body = BytesMut::new();
        loop {
            match self.next_part(conn, self.deadline).await? {
                Part::Data(bytes) => body.extend_from_slice(&bytes),
                Part::End => return Ok(body.freeze()),
                Part::Head(_) => return Err(upstream::Error::Malformed),
            }
            if body.len() > MAX_BODY_BYTES {
                return Err(upstream::Error::Malformed);
            }
        }
    }

    /// Reads the body of a refusal, so that the connection can be reused.
    pub(super) async fn drain_refusal(&mut self, backend: &Backend, mut conn: Conn) {
        if self.read_body(&mut conn).await.is_ok() {
            self.return_conn(backend, conn);
        }
    }
}
