//! Requests that were answered although backend servers crashed while running them. Without I/O.
//!
//! An answer clears a request of the crashes at which others ran beside it. A request that crashes some servers and is
//! answered by others would be cleared again and again, so it runs on trial from the second such occasion on. Many
//! answers in a row end that: a popular request is running whenever a server crashes.

use std::collections::HashMap;

use drumusher_log::quarantine::Digest;
use drumusher_schedule::time::{Micros, SECOND};

/// How long an occasion counts: callers retry within minutes.
const RETENTION: Micros = 600 * SECOND;
/// Answers in a row that prove a request innocent. One that crashes half of the servers gets them once in a million.
const MAX_ANSWERS: usize = 20;
/// Maximum number of requests remembered.
const MAX_REQUESTS: usize = 4_096;

#[derive(Debug, Default)]
struct Occasions {
    /// How often an answer cleared the request.
    count: usize,
    /// Number of answers since the latest crash.
    answers: usize,
    latest: Micros,
}

/// The requests, by digest.
#[derive(Debug, Default)]
pub struct Excused {
    requests: HashMap<Digest, Occasions>,
}

impl Excused {
    /// Records that a backend server crashed while it ran a request.
    pub fn crashed(&mut self, now: Micros, request: Digest) {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&request) {
            self.remove_old(now);
        }
        let occasions = self.requests.entry(request).or_default();
        if now >= occasions.latest + RETENTION {
            occasions.count = 0;
        }
        (occasions.answers, occasions.latest) = (0, now);
    }

    /// Records that an answer cleared a request of crashes.
    pub fn cleared(&mut self, request: Digest) {
        if let Some(occasions) = self.requests.get_mut(&request) {
            occasions.count += 1;
        }
    }

    /// Records an answer. Returns whether it proves the request innocent, which is then forgotten.
    pub fn answered(&mut self, request: Digest) -> bool {
        let Some(occasions) = self.requests.get_mut(&request) else { return false };
        occasions.answers += 1;
        let proven = occasions.answers >= MAX_ANSWERS;
        if proven {
            self.requests.remove(&request);
        }
        proven
    }

    /// How often an answer cleared a request.
    pub fn count(&self, now: Micros, request: Digest) -> usize {
        let occasions = self.requests.get(&request);
        let recent = occasions.filter(|occasions| now < occasions.latest + RETENTION);
        recent.map_or(0, |occasions| occasions.count)
    }

    /// Forgets expired requests, or the older half if there are none.
    fn remove_old(&mut self, now: Micros) {
        self.requests.retain(|_, occasions| now < occasions.latest + RETENTION);
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        let mut times: Vec<Micros> = self.requests.values().map(|o| o.latest).collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.requests.retain(|_, occasions| occasions.latest > middle);
        log::warn!("too many requests were running at crashes: the older ones are forgotten");
    }
}
