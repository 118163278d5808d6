//! The callers' connections of one HTTP worker, so that a planned stop can close those that rest.
//!
//! The balancer gives a stopping instance no new connections, but one that is open stays. A request
//! that arrives on it late would be cut by the end of the process; so after some time connections
//! on which no request is under way are closed.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use ntex::io::IoRef;

/// Requests between two looks for connections that are gone.
const PRUNE_EVERY: usize = 256;

#[derive(Debug, Default)]
struct Inner {
    /// Requests under way by connection.
    open: HashMap<IoRef, u32>,
    taken: usize,
}

/// The callers' connections of one HTTP worker.
#[derive(Clone, Debug, Default)]
pub struct ClientConnections {
    inner: Rc<RefCell<Inner>>,
}

/// Marks a connection as in use while it lives.
#[derive(Debug)]
pub struct Use {
    callers: ClientConnections,
    io: IoRef,
}

impl ClientConnections {
    /// No connections yet.
    pub fn new() -> Self {
        ClientConnections::default()
    }

    /// A request came on a connection.
    pub fn enter(&self, io: &IoRef) -> Use {
        let mut inner = self.inner.borrow_mut();
        inner.taken += 1;
        if inner.taken.is_multiple_of(PRUNE_EVERY) {
            inner.open.retain(|io, _| !io.is_closed());
        }
        *inner.open.entry(io.clone()).or_default() += 1;
        Use { callers: self.clone(), io: io.clone() }
    }

    /// Closes the connections on which no request is under way. Returns how many.
    pub fn close_idle(&self) -> usize {
        let mut inner = self.inner.borrow_mut();
        let before = inner.open.len();
        inner.open.retain(|io, requests| {
            if *requests == 0 {
                io.close();
            }
            *requests > 0
        });
        before - inner.open.len()
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        if let Some(requests) = self.callers.inner.borrow_mut().open.get_mut(&self.io) {
            *requests -= 1;
        }
    }
}
