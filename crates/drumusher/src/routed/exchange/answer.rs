//! Reading the answer of a backend server, and telling it from the answer to another request.

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

/// Answers to earlier requests that may come before the due one.
const MOST_CROSSED: u32 = 2;
/// Longest answer that is kept until it is whole, in bytes.
const LONGEST: usize = 16 * 1024 * 1024;

/// An answer with its whole body.
#[derive(Debug)]
pub struct Whole {
    pub(super) head: response::Head,
    pub(super) body: Bytes,
}

/// What an attempt brought.
pub enum Brought<D: Dialect> {
    /// A whole answer.
    Whole(Whole),
    /// A stream whose first events are there.
    Stream(Box<Relay<D>>),
}

impl<D: Dialect> Exchange<D> {
    /// The head of the answer to this request. An answer to an earlier one is passed over.
    pub(super) async fn head(
        &mut self,
        conn: &mut Conn,
        until: Micros,
    ) -> Result<(response::Head, Answer), Failure> {
        for _ in 0..=MOST_CROSSED {
            let head = loop {
                match self.next_part(conn, until).await.map_err(Failure::Broken)? {
                    Part::Head(head) => break head,
                    Part::Data(_) | Part::End => {}
                }
            };
            let answer = self.worker.dialect.read_answer(head.status, &head.headers);
            let own = answer.id.as_deref() == Some(self.request.head.id.as_str());
            self.hear(&answer, own);
            if own || (answer.id.is_none() && answer.not_run) {
                return Ok((head, answer));
            }
            log::warn!(
                request = self.request.head.id.as_str(),
                answered = answer.id.as_deref().unwrap_or("none");
                "an answer to another request was passed over"
            );
            if answer.id.is_none() {
                return Err(Failure::Broken(upstream::Error::Malformed));
            }
            loop {
                if let Part::End = self.next_part(conn, until).await.map_err(Failure::Broken)? {
                    break;
                }
            }
            conn.expect_another();
        }
        Err(Failure::Broken(upstream::Error::Malformed))
    }

    /// Reads a whole body.
    pub(super) async fn body(&mut self, conn: &mut Conn) -> Result<Bytes, upstream::Error> {
        let mut body = BytesMut::new();
        loop {
            match self.next_part(conn, self.due).await? {
                Part::Data(bytes) => body.extend_from_slice(&bytes),
                Part::End => return Ok(body.freeze()),
                Part::Head(_) => return Err(upstream::Error::Malformed),
            }
            if body.len() > LONGEST {
                return Err(upstream::Error::Malformed);
            }
        }
    }

    /// Reads the rest of a refusal, so that its connection can be used again.
    pub(super) async fn drain(&mut self, backend: &Backend, mut conn: Conn) {
        if self.body(&mut conn).await.is_ok() {
            self.keep(backend, conn);
        }
    }
}
