//! Tracks the client connections of one HTTP worker, so that a planned stop can deliver what was written to them and close
//! the idle ones.
//!
//! The load balancer opens no new connections to a stopping instance but goes on using open ones. A request that
//! arrives late on such a connection would be cut off when the process exits, so idle connections are closed some time
//! after the stop begins.
//!
//! A response that the HTTP library has taken as a whole is over, although the client may have read little of it.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc};

use ntex::{
    io::IoRef,
    time::{Millis, sleep},
};

use crate::{delivery::Undelivered, process::Shared};

/// Interval at which a planned stop is checked for.
const STOP_POLL: Millis = Millis(100);
/// Closed connections are removed from the map once per this many requests.
const PRUNE_EVERY: usize = 256;

#[derive(Debug, Default)]
struct Inner {
    /// Number of requests in flight on each connection.
    in_flight: HashMap<IoRef, u32>,
    entered: usize,
}

/// Open client connections of one HTTP worker.
#[derive(Clone, Debug, Default)]
pub struct ClientConnections {
    inner: Rc<RefCell<Inner>>,
}

/// Guard that counts a request as in flight on its connection until it is dropped.
#[derive(Debug)]
pub struct InUse {
    connections: ClientConnections,
    io: IoRef,
}

impl ClientConnections {
    /// Creates an empty set.
    pub fn new() -> Self {
        ClientConnections::default()
    }

    /// Records that a request began on a connection.
    pub fn begin_request(&self, io: &IoRef) -> InUse {
        let mut inner = self.inner.borrow_mut();
        inner.entered += 1;
        if inner.entered.is_multiple_of(PRUNE_EVERY) {
            inner.in_flight.retain(|io, _| !io.is_closed());
        }
        *inner.in_flight.entry(io.clone()).or_default() += 1;
        InUse { connections: self.clone(), io: io.clone() }
    }

    /// Whether a part of a response is left to be written to a client.
    pub fn has_unwritten(&self) -> bool {
        self.inner.borrow().in_flight.keys().any(|io| !is_written(io))
    }

    /// Lets a planned stop wait until all responses are written.
    pub async fn hold_stop(self, shared: Arc<Shared>) {
        let mut undelivered = None;
        loop {
            sleep(STOP_POLL).await;
            if !shared.stopping() || !self.has_unwritten() {
                undelivered = None;
            } else if undelivered.is_none() {
                undelivered = Some(Undelivered::new(shared.clone()));
            }
        }
    }

    /// Closes all connections without a request in flight to which nothing is left to be written, and returns how many
    /// were closed.
    pub fn close_idle(&self) -> usize {
        let mut inner = self.inner.borrow_mut();
        let before = inner.in_flight.len();
        inner.in_flight.retain(|io, requests| {
            let is_idle = *requests == 0 && is_written(io);
            if is_idle {
                io.close();
            }
            !is_idle
        });
        before - inner.in_flight.len()
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        if let Some(requests) = self.connections.inner.borrow_mut().in_flight.get_mut(&self.io) {
            *requests -= 1;
        }
    }
}

/// Whether nothing is left in the write buffer of a connection.
pub fn is_written(io: &IoRef) -> bool {
    io.is_closed() || io.with_write_buf(|buffer| buffer.is_empty()).unwrap_or(true)
}
