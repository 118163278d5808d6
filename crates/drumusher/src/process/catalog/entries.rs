//! Entries of the backend servers, including those whose removal is pending. Without I/O.
//!
//! A removed entry may only have expired because its owner could not renew it during an outage of the store.
//! Whether it did is a property of one record of the store, so the answer is a position in the table: removals
//! before that position are confirmed. A reader that has seen the store continuously available confirms what it
//! reads; all other instances pass on the latest position that they received. Only confirmations are exchanged,
//! never doubts: a confirmed position only rises, so that it cannot circulate.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use drumusher_log::position::Position;
use drumusher_platform::routing::Server;
use drumusher_schedule::time::{Micros, SECOND};

use super::Health;

/// How long to wait before an entry that had been removed, but is in the backup from which the store was restored,
/// is accepted. Unless its owner is alive and renews it, the entry expires again within this time.
const RESTORED_ENTRY_DELAY: Micros = 4 * SECOND;
/// Number of removed keys to remember: more than are removed within the age of a backup.
const MAX_REMOVED: usize = 256;

/// The entries of backend servers that count as present.
#[derive(Debug, Default)]
pub struct Entries {
    servers: BTreeMap<Arc<str>, Server>,
    /// Names of services and availability zones, of which all servers share one copy.
    names: BTreeSet<Arc<str>>,
    /// IDs of the servers that changed since [`Entries::take_changed`] was called.
    changed: BTreeSet<Arc<str>>,
    /// When the servers that warm up are warm.
    warm_at: BTreeMap<String, Micros>,
    /// Entries whose removal is not certain yet, with the position after the changes that removed them.
    pending: BTreeMap<String, Position>,
    /// Keys of removed entries, the latest last.
    removed: VecDeque<String>,
    /// Entries that had been removed and are in the backup from which the store was restored, with the time at
    /// which they are accepted.
    restored: BTreeMap<String, (Micros, Server)>,
    /// Availability of the store as seen by own calls.
    health: Health,
    /// Position up to which this instance has read the table itself.
    read_end: Position,
    /// Position at which the store said that the table ends. What is before it may have been relayed.
    known_end: Position,
    /// Removals before this position are applied here.
    accepted_end: Position,
    /// Removals before this position are confirmed by an instance that has seen the store continuously available.
    confirmed: Position,
}

impl Entries {
    /// No entries yet.
    pub fn new() -> Self {
        Entries::default()
    }

    /// Sets the availability of the store.
    pub fn with_health(mut self, health: Health) -> Self {
        self.health = health;
        self
    }

    /// The backend servers that count as present.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// The number of backend servers that count as present.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no backend server counts as present.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// A backend server that counts as present.
    pub fn server(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the IDs of the servers that were added, changed or removed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.changed)
    }

    /// Marks the servers of availability zones as changed.
    pub fn mark_zones_changed(&mut self, zones: BTreeSet<String>) {
        let affected = self.servers.values().filter(|s| zones.contains(&*s.availability_zone));
        self.changed.extend(affected.map(|server| server.id.clone()));
    }

    /// When a backend server is warm; 0 if it is not known to warm up.
    pub fn warm_at(&self, id: &str) -> Micros {
        self.warm_at.get(id).copied().unwrap_or(0)
    }

    /// Notes that a backend server is warm at `warm_at`, or is warm already if that is `None`.
    pub fn note_warm_up(&mut self, id: &str, warm_at: Option<Micros>) {
        self.changed.insert(id.into());
        match warm_at {
            Some(warm_at) => self.warm_at.insert(id.into(), warm_at),
            None => self.warm_at.remove(id),
        };
    }

    /// Availability of the store as seen by own calls.
    pub fn health(&self) -> &Health {
        &self.health
    }

    /// The availability of the store, to record the result of a call.
    pub fn health_mut(&mut self) -> &mut Health {
        &mut self.health
    }

    /// The position before which removals are confirmed, to be sent to other instances.
    pub fn confirmed(&self) -> Position {
        self.confirmed
    }

    /// Takes over a position confirmed by another instance, which holds here even if own calls fail.
    pub fn confirm(&mut self, confirmed: Position) {
        self.confirmed = self.confirmed.max(confirmed);
        self.accepted_end = self.accepted_end.max(confirmed);
    }

    /// Records that this instance has read the table up to `end` itself. Completes and returns the removals that
    /// [`Entries::remove_confirmed`] would.
    pub fn record_read(&mut self, end: Position, now: Micros) -> Vec<String> {
        self.read_end = self.read_end.max(end);
        self.remove_confirmed(now)
    }

    /// Records that the store answered that the table ends at `end`, up to which others may have relayed it. That
    /// makes relayed removals certain only with a stable store: whoever read them may have seen an outage of which
    /// this instance knows nothing.
    pub fn record_unchanged(&mut self, end: Position, now: Micros) -> Vec<String> {
        self.known_end = self.known_end.max(end);
        self.remove_confirmed(now)
    }

    /// Accepts removals, and confirms them to other instances, as far as the store's availability permits by now.
    fn advance(&mut self, now: Micros) {
        if !self.health.is_uncertain(now) {
            self.accepted_end = self.accepted_end.max(self.read_end);
        }
        if self.health.is_stable(now) {
            self.confirm(self.read_end.max(self.known_end));
        }
    }

    /// Inserts or updates an entry. Returns whether it changes anything. An entry of an earlier start of the server
    /// than the known one was written or arrived late and changes nothing.
    pub fn put(&mut self, server: Server) -> bool {
        let known = self.servers.get(&server.id);
        if known.is_some_and(|known| server.started_ms < known.started_ms) {
            return false;
        }
        self.removed.retain(|key| **key != *server.id);
        self.restored.remove(&*server.id);
        let pending = self.pending.remove(&*server.id).is_some();
        let unchanged = self.servers.get(&server.id) == Some(&server);
        if unchanged {
            return pending;
        }
        self.changed.insert(server.id.clone());
        let server = Server {
            service: self.shared_name(server.service),
            availability_zone: self.shared_name(server.availability_zone),
            ..server
        };
        self.servers.insert(server.id.clone(), server);
        true
    }

    /// The copy of a name that all servers share.
    fn shared_name(&mut self, name: Arc<str>) -> Arc<str> {
        if let Some(shared) = self.names.get(&name) {
            return shared.clone();
        }
        self.names.insert(name.clone());
        name
    }

    /// Inserts or updates an entry from a store that was restored from a backup and may lack the owner's latest
    /// writes. A backend server that is known to be leaving stays so, and a removed entry is accepted only if it
    /// does not expire again.
    pub fn put_restored(&mut self, server: Server, now: Micros) -> bool {
        if self.removed.iter().any(|key| **key == *server.id) {
            self.restored.insert(server.id.to_string(), (now + RESTORED_ENTRY_DELAY, server));
            return false;
        }
        let known = self.servers.get(&server.id);
        let was_leaving =
            known.is_some_and(|known| known.leaving && known.started_ms == server.started_ms);
        let leaving = server.leaving || was_leaving;
        self.put(Server { leaving, ..server })
    }

    /// Removes an entry, as recorded by changes up to `end`. Returns whether the removal is pending.
    pub fn remove(&mut self, key: &str, end: Position) -> bool {
        if end > self.accepted_end && self.servers.contains_key(key) {
            self.pending.entry(key.into()).or_insert(end);
            return true;
        }
        self.pending.remove(key);
        self.forget(key);
        false
    }

    /// Drops an entry and remembers its key.
    fn forget(&mut self, key: &str) {
        self.restored.remove(key);
        self.warm_at.remove(key);
        if self.servers.remove(key).is_none() {
            return;
        }
        self.changed.insert(key.into());
        if self.removed.len() == MAX_REMOVED {
            self.removed.pop_front();
        }
        self.removed.push_back(key.into());
    }

    /// Removes the entries that are not in `listed`, all keys of a table that was read whole up to `end`.
    pub fn retain_listed(&mut self, listed: &BTreeSet<String>, end: Position) {
        let known = self.servers.keys().map(|key| &**key);
        let known = known.chain(self.restored.keys().map(String::as_str));
        let missing = known.filter(|key| !listed.contains(*key));
        let missing: Vec<String> = missing.map(String::from).collect();
        for key in missing {
            self.remove(&key, end);
        }
    }

    /// Completes the pending removals that are certain by now. Returns their keys.
    pub fn remove_confirmed(&mut self, now: Micros) -> Vec<String> {
        self.advance(now);
        let accepted_end = self.accepted_end;
        let gone = self.pending.extract_if(.., |_, end| *end <= accepted_end);
        let gone: Vec<String> = gone.map(|(key, _)| key).collect();
        for key in &gone {
            self.forget(key);
        }
        gone
    }

    /// Accepts the entries that had been removed before the store was restored from a backup and did not expire
    /// again. Returns whether there are any.
    pub fn accept_restored(&mut self, now: Micros) -> bool {
        let accepted = self.restored.extract_if(.., |_, (at, _)| now >= *at);
        let accepted: Vec<Server> = accepted.map(|(_, (_, server))| server).collect();
        let any = !accepted.is_empty();
        for server in accepted {
            self.put(server);
        }
        any
    }
}
