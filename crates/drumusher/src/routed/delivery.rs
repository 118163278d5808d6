//! The body of a response on its way to the client.
//!
//! The HTTP library takes a body at once and holds what the client has not read. So bodies are passed on in pieces, as the
//! client reads them, and their memory stays reserved until the last one is taken.

use std::{
    error,
    rc::Rc,
    task::{Context, Poll},
};

use ntex::{
    http::body::{Body, BodySize, MessageBody},
    util::Bytes,
};

use crate::process::memory::Reservation;

/// Maximum size of a piece in bytes.
const PIECE_BYTES: usize = 32 * 1024;

/// A buffered body, with all that is held until it is delivered.
pub struct Delivery {
    rest: Bytes,
    size: usize,
    _memory: Reservation,
}

impl Delivery {
    /// Creates the delivery of a body.
    pub fn new(body: Bytes, memory: Reservation) -> Self {
        let size = body.len();
        Delivery { rest: body, size, _memory: memory }
    }
}

impl From<Delivery> for Body {
    fn from(delivery: Delivery) -> Self {
        Body::from_message(delivery)
    }
}

impl MessageBody for Delivery {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.size as u64)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn error::Error>>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let piece = self.rest.split_to(self.rest.len().min(PIECE_BYTES));
        Poll::Ready(Some(Ok(piece)))
    }
}
