//! Tracks the client connections of one HTTP worker, so that a planned stop can deliver what was written to them and close
//! the idle ones.
//!
//! The load balancer opens no new connections to a stopping instance but goes on using open ones. A request that
//! arrives late on such a connection would be cut off when the process exits, so idle connections are closed some time
//! after the stop begins.
//!
//! A response that the HTTP library has taken as a whole is over, although the client may have read little of it. A request
//! that has arrived is not in flight before its worker gets to it.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
};

use ntex::{
    io::IoRef,
    time::{Millis, sleep},
};

use crate::{delivery::Undelivered, process::Shared};

/// Interval at which a planned stop is checked for.
const STOP_POLL: Millis = Millis(100);
/// Interval at which a worker checks during a planned stop whether it has something to do.
const IDLE_POLL: Millis = Millis(20);
/// Number of these checks without a request after which a worker has handled all that had arrived.
const IDLE_CHECKS: u32 = 5;
/// Closed connections are removed from the map once per this many requests.
const PRUNE_EVERY: usize = 256;

#[derive(Debug, Default)]
struct Inner {
    /// Number of requests in flight on each connection.
    in_flight: HashMap<IoRef, u32>,
    /// Number of requests so far.
    entered: usize,
}

/// The checks in a row at which a worker had nothing to do.
#[derive(Default)]
struct IdleChecks {
    count: u32,
    /// Number of requests so far at the latest check.
    requests: usize,
}

impl IdleChecks {
    /// Adds a check. Returns whether the worker has had nothing to do for long enough.
    fn add(&mut self, requests: usize, is_idle: bool) -> bool {
        let before = std::mem::replace(&mut self.requests, requests);
        self.count = if is_idle && before == requests { self.count + 1 } else { 0 };
        self.count >= IDLE_CHECKS
    }
}

/// Guard that counts an HTTP worker as active until it is dropped.
struct Active(Arc<Shared>);

impl Active {
    fn new(shared: Arc<Shared>) -> Self {
        shared.active_workers.fetch_add(1, Ordering::AcqRel);
        Active(shared)
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active_workers.fetch_sub(1, Ordering::AcqRel);
    }
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

    /// Lets a planned stop wait until all requests that have arrived are handled and all responses are written.
    pub async fn hold_stop(self, shared: Arc<Shared>) {
        let mut undelivered = None;
        let mut active = Some(Active::new(shared.clone()));
        let mut idle_checks = IdleChecks::default();
        loop {
            let stopping = shared.stopping();
            sleep(if stopping { IDLE_POLL } else { STOP_POLL }).await;
            if shared.cutting() {
                self.terminate_in_use();
            }
            let has_unwritten = stopping && self.has_unwritten();
            hold(&mut undelivered, has_unwritten, || Undelivered::new(shared.clone()));
            let requests = self.inner.borrow().entered;
            let is_idle = idle_checks.add(requests, stopping && !has_unwritten);
            hold(&mut active, !is_idle, || Active::new(shared.clone()));
        }
    }

    /// Ends all connections with a request in flight, and so the requests, each of which logs its end.
    fn terminate_in_use(&self) {
        let in_use: Vec<IoRef> = {
            let inner = self.inner.borrow();
            inner
                .in_flight
                .iter()
                .filter(|(_, requests)| **requests > 0)
                .map(|(io, _)| io.clone())
                .collect()
        };
        in_use.iter().for_each(IoRef::terminate);
    }

    /// Closes all connections without a request in flight on which nothing is left to be read or written, and returns how
    /// many were closed.
    pub fn close_idle(&self) -> usize {
        let mut inner = self.inner.borrow_mut();
        let before = inner.in_flight.len();
        inner.in_flight.retain(|io, requests| {
            let is_idle = *requests == 0 && is_read(io) && is_written(io);
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

/// Creates or drops a guard, unless it is as needed.
fn hold<G>(guard: &mut Option<G>, is_needed: bool, create: impl FnOnce() -> G) {
    if !is_needed {
        *guard = None;
    } else if guard.is_none() {
        *guard = Some(create());
    }
}

/// Whether nothing is left in the read buffer of a connection.
fn is_read(io: &IoRef) -> bool {
    io.with_read_buf(|buffer| buffer.is_empty())
}

/// Whether nothing is left in the write buffer of a connection.
pub fn is_written(io: &IoRef) -> bool {
    io.is_closed() || io.with_write_buf(|buffer| buffer.is_empty()).unwrap_or(true)
}
