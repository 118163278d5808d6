//! Tracks the client connections of one HTTP worker, so that a planned stop can close the idle ones.
//!
//! The load balancer opens no new connections to a stopping instance but goes on using open ones. A request that
//! arrives late on such a connection would be cut off when the process exits, so idle connections are closed some time
//! after the stop begins.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use ntex::io::IoRef;

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

    /// Closes all connections without a request in flight and returns how many were closed.
    pub fn close_idle(&self) -> usize {
        let mut inner = self.inner.borrow_mut();
        let before = inner.in_flight.len();
        inner.in_flight.retain(|io, requests| {
            if *requests == 0 {
                io.close();
            }
            *requests > 0
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
