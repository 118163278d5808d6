//! The body of a response on its way to the client.
//!
//! The HTTP library takes a body at once and holds what the client has not read. So bodies are passed on in pieces, as the
//! client reads them, and the request counts as in flight until the last one is with the operating system: a planned stop
//! waits for it, and its memory stays reserved.

use std::{
    error,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use drumusher_platform::dialect::Dialect;
use ntex::{
    http::body::{Body, BodySize, MessageBody},
    io::IoRef,
    time::{Millis, sleep},
    util::Bytes,
};

use super::exchange::Exchange;
use crate::process::memory::Reservation;

/// Maximum size of a piece in bytes.
const PIECE_BYTES: usize = 32 * 1024;
/// Interval at which a stopping instance checks whether the last piece has been written.
const WRITE_POLL: Millis = Millis(10);

type Pending = Pin<Box<dyn Future<Output = ()>>>;

/// A buffered body, with all that is held until it is delivered.
pub struct Delivery<D: Dialect> {
    rest: Bytes,
    size: usize,
    exchange: Exchange<D>,
    /// The wait for the last piece to be written, which is only needed while the instance stops.
    written: Option<Pending>,
    _memory: Reservation,
}

impl<D: Dialect> Delivery<D> {
    /// Creates the delivery of a body. Its exchange has ended otherwise.
    pub fn new(exchange: Exchange<D>, body: Bytes, memory: Reservation) -> Self {
        let size = body.len();
        Delivery { rest: body, size, exchange, written: None, _memory: memory }
    }
}

impl<D: Dialect> From<Delivery<D>> for Body {
    fn from(delivery: Delivery<D>) -> Self {
        Body::from_message(delivery)
    }
}

impl<D: Dialect> MessageBody for Delivery<D> {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.size as u64)
    }

    fn poll_next_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn error::Error>>>> {
        if !self.rest.is_empty() {
            let piece = self.rest.split_to(self.rest.len().min(PIECE_BYTES));
            return Poll::Ready(Some(Ok(piece)));
        }
        if !self.exchange.worker.shared.stopping() {
            return Poll::Ready(None);
        }
        let client = self.exchange.request.client.clone();
        let written = self.written.get_or_insert_with(|| Box::pin(wait_written(client)));
        written.as_mut().poll(context).map(|()| None)
    }
}

impl<D: Dialect> Exchange<D> {
    /// Waits until the operating system has all that was sent to the client, if the instance stops.
    pub async fn await_delivery(&self) {
        if self.worker.shared.stopping() {
            wait_written(self.request.client.clone()).await;
        }
    }
}

/// Waits until nothing is left in the write buffer of a connection.
async fn wait_written(client: Option<IoRef>) {
    let Some(client) = client else { return };
    let is_written = || client.with_write_buf(|buffer| buffer.is_empty()).unwrap_or(true);
    while !client.is_closed() && !is_written() {
        sleep(WRITE_POLL).await;
    }
}
