//! Which instances are sent pieces when several fetch at once. Without I/O.

use std::collections::VecDeque;

use drumusher_schedule::time::{MILLISECOND, Micros};

/// Number of uploads that run concurrently. Where each instance that receives an update passes it on to two others,
/// all send it as fast as they receive it.
const MAX_ACTIVE: usize = 2;
/// An instance that does not request the next piece within this time loses its slot. A piece and the next request
/// take a tenth of it.
const SLOT_TIMEOUT: Micros = 250 * MILLISECOND;

/// Limits how many uploads run concurrently; further requests wait. An upload has a key `K`, such as the connection and
/// the table.
#[derive(Debug)]
pub struct Uploads<K, R> {
    /// The uploads with a slot, with the time of their latest request.
    active: Vec<(K, Micros)>,
    waiting: VecDeque<(K, R)>,
}

impl<K, R> Default for Uploads<K, R> {
    fn default() -> Self {
        Uploads { active: Vec::new(), waiting: VecDeque::new() }
    }
}

impl<K: Copy + PartialEq, R> Uploads<K, R> {
    /// No requests yet.
    pub fn new() -> Self {
        Uploads::default()
    }

    /// Adds an upload's request for a piece. Returns the request if it is to be answered now; otherwise it waits, and
    /// replaces the upload's earlier request.
    pub fn request(&mut self, now: Micros, key: K, request: R) -> Option<R> {
        if let Some((_, at)) = self.active.iter_mut().find(|(active, _)| *active == key) {
            *at = now;
            return Some(request);
        }
        if self.active.len() < MAX_ACTIVE {
            self.active.push((key, now));
            return Some(request);
        }
        match self.waiting.iter_mut().find(|(waiting, _)| *waiting == key) {
            Some((_, before)) => *before = request,
            None => self.waiting.push_back((key, request)),
        }
        None
    }

    /// Removes an upload that is complete, or was given up.
    pub fn finish(&mut self, key: K) {
        self.drop_where(|other| *other == key);
    }

    /// Removes the uploads for which `is_dropped`.
    pub fn drop_where(&mut self, is_dropped: impl Fn(&K) -> bool) {
        self.active.retain(|(key, _)| !is_dropped(key));
        self.waiting.retain(|(key, _)| !is_dropped(key));
    }

    /// The next waiting request to answer, if there is a free slot.
    pub fn next(&mut self, now: Micros) -> Option<(K, R)> {
        self.active.retain(|(_, at)| now < *at + SLOT_TIMEOUT);
        if self.active.len() >= MAX_ACTIVE {
            return None;
        }
        let (key, request) = self.waiting.pop_front()?;
        self.active.push((key, now));
        Some((key, request))
    }
}
