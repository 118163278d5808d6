//! Entries of backend servers, with those whose end is held back. Without I/O.
//!
//! An entry that ends may only have lapsed, because its owner could not write while the store was away. Whether
//! it did is a question about one record of the store, so the answer is a position in the table: ends before it are
//! confirmed. An instance that reads the store and has seen it steadily there confirms what it reads; all others
//! pass the latest position on that they were told. A word of doubt is never told, only what is confirmed, which
//! rises and cannot go round.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use drumusher_log::position::Position;
use drumusher_platform::routing::Server;
use drumusher_schedule::time::{Micros, SECOND};

use super::Sight;

/// An entry that had ended and is in the copy from which the store came back ends again within this, since nobody
/// renews it, unless its owner lives.
const ENDS_AGAIN: Micros = 4 * SECOND;
/// Keys whose entries ended that are remembered: more than end within the age of a copy.
const ENDED: usize = 256;

/// The entries of backend servers that are believed to be there.
#[derive(Debug, Default)]
pub struct Entries {
    servers: BTreeMap<String, Server>,
    /// Entries that ended and are still believed, with the position after the changes in which they did.
    held: BTreeMap<String, Position>,
    /// Keys whose entries ended, the latest last.
    ended: VecDeque<String>,
    /// Entries that had ended and are in the copy from which the store came back, with when they are believed.
    revived: BTreeMap<String, (Micros, Server)>,
    /// What the own calls show of the store.
    sight: Sight,
    /// Up to where this instance has read the table itself.
    seen: Position,
    /// Ends before this position are believed here.
    believed: Position,
    /// Ends before this position are no lapses, as some instance saw that had the store steadily before it.
    confirmed: Position,
}

impl Entries {
    /// No entries yet.
    pub fn new() -> Self {
        Entries::default()
    }

    /// Sets what is known of the store.
    pub fn with_sight(mut self, sight: Sight) -> Self {
        self.sight = sight;
        self
    }

    /// The backend servers that are believed to be there.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// What the own calls show of the store.
    pub fn sight(&self) -> &Sight {
        &self.sight
    }

    /// The same, to note what a call shows.
    pub fn sight_mut(&mut self) -> &mut Sight {
        &mut self.sight
    }

    /// The position before which ends are no lapses, which others may be told.
    pub fn confirmed(&self) -> Position {
        self.confirmed
    }

    /// Another instance tells that ends before this position are no lapses. That holds here too, although the
    /// own calls may fail.
    pub fn confirm(&mut self, confirmed: Position) {
        self.confirmed = self.confirmed.max(confirmed);
        self.believed = self.believed.max(confirmed);
    }

    /// This instance has read the table up to `end` itself. Drops and returns what [`Entries::release`] would.
    pub fn saw(&mut self, end: Position, now: Micros) -> Vec<String> {
        self.seen = self.seen.max(end);
        self.release(now)
    }

    /// Believes, and confirms to others, what was read as far as the own sight allows by now.
    fn settle(&mut self, now: Micros) {
        if !self.sight.is_doubtful(now) {
            self.believed = self.believed.max(self.seen);
        }
        if self.sight.is_steady(now) {
            self.confirm(self.seen);
        }
    }

    /// An entry is there. Returns whether that says anything new. One of an earlier start than is known says
    /// nothing: it was written, or came, late.
    pub fn put(&mut self, server: Server) -> bool {
        let known = self.servers.get(&server.id);
        if known.is_some_and(|known| server.started_ms < known.started_ms) {
            return false;
        }
        self.ended.retain(|key| *key != server.id);
        self.revived.remove(&server.id);
        let held = self.held.remove(&server.id).is_some();
        let same = self.servers.get(&server.id) == Some(&server);
        self.servers.insert(server.id.clone(), server);
        held || !same
    }

    /// The entry as a copy of the store has it: what its owner wrote last may be lost. A backend server that was known to
    /// leave still does, and one whose entry had ended is believed only when it does not end again.
    pub fn put_restored(&mut self, server: Server, now: Micros) -> bool {
        if self.ended.contains(&server.id) {
            self.revived.insert(server.id.clone(), (now + ENDS_AGAIN, server));
            return false;
        }
        let known = self.servers.get(&server.id);
        let left =
            known.is_some_and(|known| known.leaving && known.started_ms == server.started_ms);
        let leaving = server.leaving || left;
        self.put(Server { leaving, ..server })
    }

    /// An entry ended in changes up to `end`. Returns whether it is held back.
    pub fn end(&mut self, key: &str, end: Position) -> bool {
        if end > self.believed && self.servers.contains_key(key) {
            self.held.entry(key.into()).or_insert(end);
            return true;
        }
        self.held.remove(key);
        self.remove(key);
        false
    }

    /// An entry is no longer believed.
    fn remove(&mut self, key: &str) {
        self.revived.remove(key);
        if self.servers.remove(key).is_none() {
            return;
        }
        if self.ended.len() == ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(key.into());
    }

    /// A whole table was read up to `end`: what is not in it ended.
    pub fn only(&mut self, there: &BTreeSet<String>, end: Position) {
        let known = self.servers.keys().chain(self.revived.keys());
        let missing: Vec<String> = known.filter(|key| !there.contains(*key)).cloned().collect();
        for key in missing {
            self.end(&key, end);
        }
    }

    /// Drops the entries whose end is certain by now. Returns them.
    pub fn release(&mut self, now: Micros) -> Vec<String> {
        self.settle(now);
        let believed = self.believed;
        let gone = self.held.extract_if(.., |_, end| *end <= believed);
        let gone: Vec<String> = gone.map(|(key, _)| key).collect();
        for key in &gone {
            self.remove(key);
        }
        gone
    }

    /// Believes the entries that had ended before the store came back from a copy and did not end again. Returns
    /// whether there are any.
    pub fn revive(&mut self, now: Micros) -> bool {
        let alive = self.revived.extract_if(.., |_, (at, _)| now >= *at);
        let alive: Vec<Server> = alive.map(|(_, (_, server))| server).collect();
        let any = !alive.is_empty();
        for server in alive {
            self.put(server);
        }
        any
    }
}
