//! One pool with the names of its backend servers.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use drumusher_log::quarantine::Digest;
use drumusher_schedule::{
    ask::{Entry, Id},
    event::Event,
    policy::Policy,
    pool, rank, server,
};

use super::{Askers, Bound, Budget, Divisor, health, notices::Notices, trials::Trials};
use crate::version::{Backend, Pool};

/// What the decisions were told of a backend server.
#[derive(Debug, PartialEq)]
struct Applied {
    options: server::Options,
    leaving: bool,
    born_ms: Option<u64>,
}

/// One pool with the names of its backend servers.
pub struct Host {
    /// Its decisions.
    pub(super) pool: pool::Pool,
    /// Names of backend servers, by key.
    pub(super) names: Vec<Arc<str>>,
    /// Keys by name; the key is the place in `names`.
    pub(super) known: HashMap<Arc<str>, server::Key>,
    /// What the decisions were told of each backend server last. All of it is compared, since a server may be
    /// known before the configuration that says how its window is set: where only places and leaving were, it
    /// kept a learned window, which begins at a third of 48 places, and 456 of 1,111 requests of a route were
    /// never granted in five seconds.
    applied: BTreeMap<Arc<str>, Applied>,
    /// Backend servers that said themselves that they are leaving, and when.
    pub(super) own_word: BTreeMap<Arc<str>, u64>,
    /// What backend servers said of themselves to callers' entries.
    pub(super) notices: Notices,
    /// The other instances that ask for it, by their connections.
    pub(super) askers: Askers,
    /// The repeats that may be granted.
    pub(super) budget: Budget,
    /// The repeats for which a place in the budget is reserved until they are granted, with who asks.
    reserved: HashMap<Id, Entry>,
    /// Those that are tried apart from each other.
    pub(super) trials: Trials,
    /// What tells requests from others, of those that were handed to the decisions.
    pub(super) digests: HashMap<Id, Digest>,
    /// The log lines on the health of its backend servers.
    pub(super) health: health::Log,
    /// When it was asked for last.
    pub(super) used: u64,
}

impl Host {
    /// A pool without backend servers, with a bound on the repeats to them.
    pub fn new(policy: Arc<Policy>, now: u64, bound: Bound) -> Self {
        Host {
            pool: pool::Pool::new(policy, now),
            names: Vec::new(),
            known: HashMap::new(),
            applied: BTreeMap::new(),
            own_word: BTreeMap::new(),
            notices: Notices::default(),
            askers: Askers::new(),
            budget: Budget::new(bound),
            reserved: HashMap::new(),
            trials: Trials::default(),
            digests: HashMap::new(),
            health: health::Log::new(now),
            used: now,
        }
    }

    /// Reserves a place in the budget for a repeat, where so many instances are listed; `false` if there is none left.
    pub(super) fn reserve_repeat(
        &mut self,
        now: u64,
        id: Id,
        entry: Entry,
        instances: usize,
    ) -> bool {
        if self.reserved.contains_key(&id) {
            return true;
        }
        let granted = self.budget.reserve(now, entry, instances);
        if granted {
            self.reserved.insert(id, entry);
        }
        granted
    }

    /// A request is granted now: if it is a repeat it is counted. Returns whether it may be sent.
    pub(super) fn grant_repeat(&mut self, now: u64, id: Id, instances: usize) -> bool {
        match self.reserved.remove(&id) {
            Some(entry) => self.budget.grant(now, entry, instances),
            None => true,
        }
    }

    /// A request is no longer wanted, or was refused.
    pub(super) fn release_repeat(&mut self, id: Id) {
        if let Some(entry) = self.reserved.remove(&id) {
            self.budget.release(entry);
        }
    }

    /// Forgets what was kept of requests that ended without a word, with their entry.
    pub(super) fn forget_ended(&mut self) {
        let pool = &self.pool;
        let is_known = |id: Id| pool.is_waiting(id) || pool.running_request(id).is_some();
        self.trials.keep(is_known);
        for (_, entry) in self.reserved.extract_if(|id, _| !is_known(*id)) {
            self.budget.release(entry);
        }
        if self.digests.len() > pool.waiting() + pool.running() {
            self.digests.retain(|id, _| is_known(*id));
        }
    }

    /// The name and key of a start of a backend server, if it is the one that is listed.
    pub(super) fn start(
        &self,
        name: &str,
        born_ms: Option<u64>,
    ) -> Option<(Arc<str>, server::Key)> {
        let (name, applied) = self.applied.get_key_value(name)?;
        let key = self.known.get(name)?;
        (applied.born_ms == born_ms).then(|| (name.clone(), *key))
    }

    /// The key of a name, a new one if it has none.
    fn key(&mut self, name: &Arc<str>) -> server::Key {
        if let Some(key) = self.known.get(name) {
            return *key;
        }
        let key = server::Key(self.names.len() as u16);
        self.names.push(name.clone());
        self.known.insert(name.clone(), key);
        key
    }

    /// Writes the log lines that are due on the health of its backend servers.
    pub(super) fn log_health(&mut self, pool: &Pool, now: u64) {
        self.health.write(pool, &self.pool, &self.names, now);
    }

    /// The events that bring the decisions in line with the backend servers `wanted`, by name, with
    /// windows divided by `divide`.
    pub fn refresh(
        &mut self,
        pool: &str,
        wanted: &BTreeMap<Arc<str>, &Backend>,
        learned: bool,
        divide: Divisor,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for (name, backend) in wanted {
            let says_so = self.own_word.contains_key(name) || self.notices.leaves(name);
            let leaving = backend.leaving || says_so;
            let slots = (backend.slots / divide).max(1);
            let options = options(slots, learned, rank::weight(pool, name));
            let mut applied = Applied { options, leaving, born_ms: backend.born_ms };
            let before = self.applied.get(name);
            if before == Some(&applied) {
                continue;
            }
            if before.is_some_and(|before| before.born_ms < applied.born_ms) {
                events.extend(self.forget(name));
                applied.leaving = backend.leaving;
            }
            let leaving = applied.leaving;
            self.applied.insert(name.clone(), applied);
            let key = self.key(name);
            events.push(if leaving { Event::Leave(key) } else { Event::Server(key, options) });
        }
        let gone: Vec<Arc<str>> =
            self.applied.keys().filter(|name| !wanted.contains_key(*name)).cloned().collect();
        for name in gone {
            self.applied.remove(&name);
            self.own_word.remove(&name);
            // With what is known of its limit the decisions forget the limit: nobody would lift it when it is back.
            self.notices.remove(&name);
            let key = self.key(&name);
            events.extend([Event::Leave(key), Event::RateLimit(key, None)]);
        }
        events
    }
}

impl Host {
    /// A backend server started again under its name: what it is from now on has a key of its own, of which
    /// nothing was learned, and the one before gets no new work.
    fn forget(&mut self, name: &Arc<str>) -> Option<Event> {
        self.own_word.remove(name);
        self.notices.remove(name);
        let key = self.known.remove(name)?;
        log::info!(server = &**name; "backend server started again under its name");
        Some(Event::Leave(key))
    }
}

fn options(slots: u32, learned: bool, rank: u64) -> server::Options {
    let first_slots =
        if learned { slots.min(server::Options::default().first_slots) } else { slots };
    server::Options { slots, first_slots, learned, rank }
}
