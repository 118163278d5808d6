//! Repeats that the fleet may still send.
//!
//! All instances together may send a service, in any window of time, so many repeats: a share of
//! the requests for it and a fixed number on top. Each instance counts its own requests and repeats
//! and takes an equal part of the fixed number, so that the sum keeps the bound without a message.

use std::collections::{HashMap, VecDeque};

use drumusher_schedule::time::Micros;

/// Parts of the window in which counts are kept.
const PARTS: u64 = 20;
/// Part of the fixed number that is used: what another instance believes about how many there are
/// may differ for a moment.
const SLACK_USED: f64 = 0.8;

/// The bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top, of all instances together.
    pub slack: f64,
    /// The window of time.
    pub window: Micros,
}

/// Counts of one part of the window.
#[derive(Clone, Copy, Debug)]
struct Part {
    began: Micros,
    requests: u32,
    repeats: u32,
}

/// What one instance sent in the latest window, by service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    services: HashMap<String, VecDeque<Part>>,
}

impl Budget {
    /// Nothing was sent yet.
    pub fn new(bound: Bound) -> Self {
        Budget { bound, services: HashMap::new() }
    }

    /// Counts a request for a service.
    pub fn request(&mut self, now: Micros, service: &str) {
        self.part(now, service).requests += 1;
    }

    /// Takes a repeat, as one of `instances`; `false` if there is none left.
    pub fn repeat(&mut self, now: Micros, service: &str, instances: usize) -> bool {
        let bound = self.bound;
        self.part(now, service);
        let parts = &self.services[service];
        let requests: u32 = parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = parts.iter().map(|part| part.repeats).sum();
        let slack = bound.slack * SLACK_USED / instances.max(1) as f64;
        let most = bound.ratio * f64::from(requests) + slack;
        if f64::from(repeats + 1) > most {
            return false;
        }
        self.part(now, service).repeats += 1;
        true
    }

    /// The part of the window that `now` falls in; parts that are over are dropped.
    fn part(&mut self, now: Micros, service: &str) -> &mut Part {
        let length = (self.bound.window / PARTS).max(1);
        let began = now - now % length;
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), VecDeque::new());
        }
        let parts = self.services.get_mut(service).expect("it was just entered");
        let oldest = now.saturating_sub(self.bound.window);
        while parts.front().is_some_and(|part| part.began < oldest) {
            parts.pop_front();
        }
        if parts.back().is_none_or(|part| part.began != began) {
            parts.push_back(Part { began, requests: 0, repeats: 0 });
        }
        parts.back_mut().expect("a part was just entered")
    }
}
