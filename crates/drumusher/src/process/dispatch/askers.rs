//! The other instances that ask for a pool, and whether it is dispatched for them. Without I/O.
//!
//! An instance whose dispatcher is silent decides for itself, and one that lost its way may ask the wrong
//! one. Neither makes a dispatcher that is worth a call to each backend server.

use std::collections::BTreeSet;

use drumusher_schedule::{
    ask::Entry,
    time::{Micros, SECOND},
};

/// A pool is dispatched for others once this part of the instances ask for it, but at least one other. A
/// cut that leaves fewer than a sixteenth together is rare; a seventh of the fleet shares a zone at 295
/// instances in six of them.
const PART: usize = 16;
/// When nobody else asked for so long the role is elsewhere: five times what a dispatcher of many waits
/// between two asks on a calm day.
const IDLE: Micros = 5 * SECOND;

/// The other instances that ask for a pool.
#[derive(Debug, Default)]
pub struct Askers {
    entries: BTreeSet<Entry>,
    latest: Micros,
}

impl Askers {
    /// Nobody asked yet.
    pub fn new() -> Self {
        Askers::default()
    }

    /// Another instance asked.
    pub fn add(&mut self, now: Micros, entry: Entry) {
        self.expire(now);
        self.latest = now;
        self.entries.insert(entry);
    }

    /// The connection with another instance ended.
    pub fn remove(&mut self, entry: Entry) {
        self.entries.remove(&entry);
    }

    /// Forgets those who asked when nobody has for long.
    pub fn expire(&mut self, now: Micros) {
        if now > self.latest + IDLE {
            self.entries.clear();
        }
    }

    /// Whether the pool is dispatched for others, where so many instances are listed. The only instance
    /// dispatches for all there are.
    pub fn are_led(&self, instances: usize) -> bool {
        let enough = if instances <= 1 { 0 } else { (instances / PART).max(1) };
        self.entries.len() >= enough
    }
}
