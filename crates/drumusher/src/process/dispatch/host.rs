//! One pool with the names of its backend servers.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use drumusher_schedule::{event::Event, policy::Policy, pool, rank, server};

use super::Divisor;
use crate::version::Backend;

/// One pool with the names of its backend servers.
pub(super) struct Host {
    /// Its decisions.
    pub(super) pool: pool::Pool,
    /// Names of backend servers, by key.
    pub(super) names: Vec<Arc<str>>,
    /// Keys by name; the key is the place in `names`.
    pub(super) known: HashMap<Arc<str>, server::Key>,
    /// The window and whether it is leaving, as the decisions were told last.
    applied: BTreeMap<Arc<str>, (u32, bool)>,
    /// Backend servers that said themselves that they are leaving, and when.
    pub(super) own_word: BTreeMap<Arc<str>, u64>,
    /// When it was asked for last.
    pub(super) used: u64,
}

impl Host {
    /// A pool without backend servers.
    pub(super) fn new(policy: Arc<Policy>, now: u64) -> Self {
        Host {
            pool: pool::Pool::new(policy, now),
            names: Vec::new(),
            known: HashMap::new(),
            applied: BTreeMap::new(),
            own_word: BTreeMap::new(),
            used: now,
        }
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

    /// The events that bring the decisions in line with the backend servers `wanted`, by name, with
    /// windows divided by `divide`.
    pub(super) fn refresh(
        &mut self,
        pool: &str,
        wanted: &BTreeMap<Arc<str>, &Backend>,
        learned: bool,
        divide: Divisor,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for (name, backend) in wanted {
            let leaving = backend.leaving || self.own_word.contains_key(name);
            let slots = (backend.slots / divide).max(1);
            if self.applied.get(name) == Some(&(slots, leaving)) {
                continue;
            }
            self.applied.insert(name.clone(), (slots, leaving));
            let key = self.key(name);
            events.push(if leaving {
                Event::Leave(key)
            } else {
                Event::Server(key, options(slots, learned, rank::weight(pool, name)))
            });
        }
        let gone: Vec<Arc<str>> =
            self.applied.keys().filter(|name| !wanted.contains_key(*name)).cloned().collect();
        for name in gone {
            self.applied.remove(&name);
            self.own_word.remove(&name);
            events.push(Event::Leave(self.key(&name)));
        }
        events
    }
}

fn options(slots: u32, learned: bool, rank: u64) -> server::Options {
    let first_slots =
        if learned { slots.min(server::Options::default().first_slots) } else { slots };
    server::Options { slots, first_slots, learned, rank }
}
