//! Requests that were answered although backend servers crashed while running them. Without I/O.
//!
//! An answer clears a request of the crashes at which others ran beside it. A request that crashes some servers and is
//! answered by others would be cleared again and again, so it runs on trial from the second such occasion on.

use std::collections::HashMap;

use drumusher_log::quarantine::Digest;
use drumusher_schedule::time::{Micros, SECOND};

/// How long an occasion counts: callers retry within minutes.
const RETENTION: Micros = 600 * SECOND;
/// Maximum number of requests remembered.
const MAX_REQUESTS: usize = 4_096;

#[derive(Debug)]
struct Occasions {
    count: usize,
    latest: Micros,
}

/// The requests, by digest.
#[derive(Debug, Default)]
pub struct Excused {
    requests: HashMap<Digest, Occasions>,
}

impl Excused {
    /// Records that an answer cleared a request.
    pub fn add(&mut self, now: Micros, request: Digest) {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&request) {
            self.remove_old(now);
        }
        let first = Occasions { count: 0, latest: now };
        let occasions = self.requests.entry(request).or_insert(first);
        occasions.count += 1;
        occasions.latest = now;
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
