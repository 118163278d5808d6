//! Bodies of responses on their way to the client.
//!
//! The HTTP library counts a response as done when it has the last bytes of the body, and holds what the client has not
//! read. A planned stop has to wait until the operating system has them.

use std::{
    error,
    future::Future,
    pin::Pin,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    task::{Context, Poll, ready},
};

use ntex::{
    http::body::{Body, BodySize, MessageBody},
    io::IoRef,
    time::{Millis, sleep},
    util::Bytes,
};

use crate::{client_connections::is_written, process::Shared};

/// Maximum size of a piece in bytes.
const PIECE_BYTES: usize = 32 * 1024;
/// Interval at which a stopping instance checks whether the last bytes have been written.
const WRITE_POLL: Millis = Millis(10);

type Chunk = Option<Result<Bytes, Rc<dyn error::Error>>>;
type Written = Pin<Box<dyn Future<Output = ()>>>;

/// A whole body that is passed on in pieces, as the client reads them, and what is held until the last one is taken.
pub struct Pieces<G> {
    rest: Bytes,
    _held: G,
}

impl<G: 'static> Pieces<G> {
    /// Creates the pieces of a body.
    pub fn new(body: Bytes, held: G) -> Self {
        Pieces { rest: body, _held: held }
    }

    /// The pieces as the body of a response.
    pub fn into_body(self) -> Body {
        Body::from_message(self)
    }
}

impl<G: 'static> MessageBody for Pieces<G> {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next_chunk(&mut self, _: &mut Context<'_>) -> Poll<Chunk> {
        let piece = self.rest.split_to(self.rest.len().min(PIECE_BYTES));
        Poll::Ready((!piece.is_empty()).then_some(Ok(piece)))
    }
}

/// Guard that counts a response as not delivered until it is dropped.
pub struct Undelivered(Arc<Shared>);

impl Undelivered {
    /// Counts a response that is to come.
    pub fn new(shared: Arc<Shared>) -> Self {
        shared.undelivered.fetch_add(1, Ordering::AcqRel);
        Undelivered(shared)
    }
}

impl Drop for Undelivered {
    fn drop(&mut self) {
        self.0.undelivered.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A body, and all that is held until it is delivered. While the instance stops, that is when the operating system has
/// its last bytes.
pub struct Delivery<B, G> {
    body: B,
    shared: Arc<Shared>,
    client: Option<IoRef>,
    /// The wait for the last bytes to be written, once the body has ended.
    written: Option<Written>,
    _held: G,
}

impl<B: MessageBody, G: 'static> Delivery<B, G> {
    /// Creates the delivery of a body to a client.
    pub fn new(shared: Arc<Shared>, client: Option<IoRef>, body: B, held: G) -> Self {
        Delivery { body, shared, client, written: None, _held: held }
    }

    /// The delivery as the body of a response.
    pub fn into_body(self) -> Body {
        Body::from_message(self)
    }
}

impl<B: MessageBody, G: 'static> MessageBody for Delivery<B, G> {
    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next_chunk(&mut self, context: &mut Context<'_>) -> Poll<Chunk> {
        if self.written.is_none() {
            let chunk = ready!(self.body.poll_next_chunk(context));
            if chunk.is_some() || !self.shared.stopping() {
                return Poll::Ready(chunk);
            }
        }
        let client = &self.client;
        let written = self.written.get_or_insert_with(|| Box::pin(wait_written(client.clone())));
        written.as_mut().poll(context).map(|()| None)
    }
}

/// Waits until nothing is left in the write buffer of a connection.
async fn wait_written(client: Option<IoRef>) {
    let Some(client) = client else { return };
    while !is_written(&client) {
        sleep(WRITE_POLL).await;
    }
}
