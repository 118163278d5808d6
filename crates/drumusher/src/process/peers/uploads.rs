//! Which instances are sent pieces when several fetch at once. Without I/O.

use std::collections::VecDeque;

use drumusher_schedule::time::{MILLISECOND, Micros};

/// Number of instances that are sent pieces concurrently. Each has one piece in flight; with 16 KiB, all of them
/// take 52 ms on a link of ten megabits a second, which is less than an ask waits for its answer.
const MAX_ACTIVE: usize = 4;
/// An instance that does not request the next piece within this time loses its slot. A piece and the next request
/// take a tenth of it.
const SLOT_TIMEOUT: Micros = 250 * MILLISECOND;

/// Limits how many connections are sent pieces concurrently; further requests wait.
#[derive(Debug)]
pub struct Uploads<R> {
    /// The connections with a slot, with the time of their latest request.
    active: Vec<(u32, Micros)>,
    waiting: VecDeque<(u32, R)>,
}

impl<R> Default for Uploads<R> {
    fn default() -> Self {
        Uploads { active: Vec::new(), waiting: VecDeque::new() }
    }
}

impl<R> Uploads<R> {
    /// No requests yet.
    pub fn new() -> Self {
        Uploads::default()
    }

    /// Adds a connection's request for a piece. Returns the request if it is to be answered now; otherwise it
    /// waits, and replaces the connection's earlier request.
    pub fn request(&mut self, now: Micros, conn: u32, request: R) -> Option<R> {
        if let Some((_, at)) = self.active.iter_mut().find(|(active, _)| *active == conn) {
            *at = now;
            return Some(request);
        }
        if self.active.len() < MAX_ACTIVE {
            self.active.push((conn, now));
            return Some(request);
        }
        match self.waiting.iter_mut().find(|(waiting, _)| *waiting == conn) {
            Some((_, before)) => *before = request,
            None => self.waiting.push_back((conn, request)),
        }
        None
    }

    /// Removes a connection that has received everything it requested, or was closed.
    pub fn finish(&mut self, conn: u32) {
        self.active.retain(|(active, _)| *active != conn);
        self.waiting.retain(|(waiting, _)| *waiting != conn);
    }

    /// The next waiting request to answer, if there is a free slot.
    pub fn next(&mut self, now: Micros) -> Option<(u32, R)> {
        self.active.retain(|(_, at)| now < *at + SLOT_TIMEOUT);
        if self.active.len() >= MAX_ACTIVE {
            return None;
        }
        let (conn, request) = self.waiting.pop_front()?;
        self.active.push((conn, now));
        Some((conn, request))
    }
}
