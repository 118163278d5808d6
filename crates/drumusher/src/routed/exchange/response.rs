//! Reads the response of a backend server and matches it to its request.

use drumusher_platform::dialect::{Answer, Dialect};
use drumusher_schedule::time::Micros;
use ntex::{
    http::Method,
    util::{Bytes, BytesMut},
};

use super::{Exchange, Failure};
use crate::{
    process::memory::{Intake, Reservation},
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
    pub(super) memory: Reservation,
}

/// Result of a successful attempt.
pub enum BackendResponse<D: Dialect> {
    /// A complete response.
    Buffered(BufferedResponse),
    /// An event stream whose first events have arrived.
    Stream(Box<Relay<D>>),
}

impl<D: Dialect> Exchange<D> {
    /// Reads the head of the response to this request. Responses to earlier requests are skipped. One without an ID may
    /// be that of a server that says that it did not run the request, unless it may belong to an earlier request that had
    /// none.
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
            let may_be_surplus = answer.id.is_none() && conn.may_owe_unnamed();
            if matches_request || answer.id.is_none() && answer.not_run && !may_be_surplus {
                conn.settle();
                return Ok((head, answer));
            }
            log::warn!(
                request = self.request.head.id.as_str(),
                answered = answer.id.as_deref().unwrap_or("none");
                "skipped a response to another request"
            );
            if answer.id.is_none() && !may_be_surplus {
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

    /// Reads a complete body. It is left at the backend server for as long as the memory for bodies is taken.
    pub(super) async fn read_body(
        &mut self,
        conn: &mut Conn,
        head: response::Head,
    ) -> Result<BufferedResponse, upstream::Error> {
        let shared = self.worker.shared.clone();
        let mut intake = Intake::new(&shared, MAX_BODY_BYTES, self.deadline);
        let has_body = self.request.method != Method::HEAD;
        let length = head.content_length().filter(|_| has_body).unwrap_or(0);
        intake.expect(length).await?;
        let mut body = BytesMut::with_capacity(length);
        loop {
            match self.next_part(conn, self.deadline).await? {
                Part::Data(bytes) => {
                    intake.receive(body.len() + bytes.len()).await?;
                    body.extend_from_slice(&bytes);
                }
                Part::End => {
                    let memory = intake.finish(body.len());
                    return Ok(BufferedResponse { head, body: body.freeze(), memory });
                }
                Part::Head(_) => return Err(upstream::Error::Malformed),
            }
        }
    }

    /// Skips the body of a refusal, so that the connection can be reused.
    pub(super) async fn drain_refusal(&mut self, backend: &Backend, mut conn: Conn) {
        let mut skipped = 0;
        loop {
            match self.next_part(&mut conn, self.deadline).await {
                Ok(Part::Data(bytes)) if skipped + bytes.len() <= MAX_BODY_BYTES => {
                    skipped += bytes.len();
                }
                Ok(Part::End) => return self.return_conn(backend, conn),
                Ok(_) | Err(_) => return,
            }
        }
    }
}
