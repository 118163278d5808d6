//! The other instances that send requests for a pool to this dispatcher. Without I/O.
//!
//! An instance whose dispatcher does not answer dispatches for itself, and one with an outdated view of the fleet may
//! turn to the wrong dispatcher. Neither case justifies polling each backend server of the pool.

use std::collections::BTreeSet;

use drumusher_schedule::{
    ask::Entry,
    time::{Micros, SECOND},
};

/// A pool counts as dispatched for others if at least one in this many instances uses this dispatcher, and at least
/// one does. An isolated availability zone has a greater share of the instances: a sixth of 295. Without this
/// threshold, 160 engines got 30,499 calls in a minute that queried their cached prompts; with it they got 550.
const REQUESTER_DIVISOR: usize = 16;
/// After this time without a request from another instance, the pool has another dispatcher: one that serves many
/// instances gets several requests a second.
const IDLE_TIMEOUT: Micros = 5 * SECOND;

/// The other instances that use this dispatcher for a pool.
#[derive(Debug, Default)]
pub struct Requesters {
    entries: BTreeSet<Entry>,
    /// When the latest request came.
    latest: Micros,
}

impl Requesters {
    /// Creates an empty set.
    pub fn new() -> Self {
        Requesters::default()
    }

    /// Records a request from another instance.
    pub fn add(&mut self, now: Micros, entry: Entry) {
        self.expire(now);
        self.latest = now;
        self.entries.insert(entry);
    }

    /// Removes an instance whose connection ended.
    pub fn remove(&mut self, entry: Entry) {
        self.entries.remove(&entry);
    }

    /// Clears the set if no request came within the idle timeout.
    pub fn expire(&mut self, now: Micros) {
        if now > self.latest + IDLE_TIMEOUT {
            self.entries.clear();
        }
    }

    /// Whether the pool is dispatched for others, given the number of instances that regularly use its dispatcher. True
    /// for a single instance: it dispatches for the whole fleet.
    pub fn serves_others(&self, instances: usize) -> bool {
        let enough = if instances <= 1 { 0 } else { (instances / REQUESTER_DIVISOR).max(1) };
        self.entries.len() >= enough
    }
}
