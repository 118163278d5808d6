//! Cooldowns: backend servers that asked to get no requests from one entry instance for a while,
//! and take those of others.

use std::collections::HashMap;

use super::Pool;
use crate::{
    ask::{Ask, Entry, Key, State},
    order::{Order, Refusal},
    server,
    time::Micros,
};

/// End of each cooldown, by entry instance and backend server. Usually there is none.
#[derive(Debug, Default)]
pub(super) struct Cooldowns {
    until: HashMap<(Entry, server::Key), Micros>,
}

impl Cooldowns {
    /// Whether a backend server is in cooldown for an entry instance.
    pub(super) fn is_active(&self, now: Micros, entry: Entry, key: server::Key) -> bool {
        self.end(entry, key).is_some_and(|until| now < until)
    }

    /// Whether any backend server is in cooldown for an entry instance.
    pub(super) fn any_active(&self, now: Micros, entry: Entry) -> bool {
        self.until.iter().any(|((of, _), until)| *of == entry && now < *until)
    }

    /// Removes the cooldowns of an entry instance.
    pub(super) fn remove(&mut self, entry: Entry) {
        self.until.retain(|(of, _), _| *of != entry);
    }

    fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    fn end(&self, entry: Entry, key: server::Key) -> Option<Micros> {
        if self.until.is_empty() { None } else { self.until.get(&(entry, key)).copied() }
    }

    fn add(&mut self, entry: Entry, key: server::Key, until: Micros) {
        let end = self.until.entry((entry, key)).or_default();
        *end = until.max(*end);
    }

    fn expire(&mut self, now: Micros) {
        self.until.retain(|_, until| now < *until);
    }
}

impl Pool {
    /// Starts a cooldown of a backend server for an entry instance. Of two ends, the later one
    /// holds.
    pub(super) fn start_cooldown(&mut self, entry: Entry, key: server::Key, until: Micros) {
        self.cooldowns.add(entry, key, until);
    }

    /// Time until the first cooldown for an entry instance ends, if all healthy backend servers are
    /// in cooldown for it.
    pub(super) fn cooldown_left(&self, now: Micros, entry: Entry) -> Option<Micros> {
        if self.cooldowns.is_empty() {
            return None;
        }
        let serving = self.servers().filter(|(_, s)| !s.leaving() && s.next_probe().is_none());
        let ends =
            serving.map(|(key, _)| self.cooldowns.end(entry, key).filter(|until| now < *until));
        let first = ends.collect::<Option<Vec<Micros>>>()?.into_iter().min()?;
        Some(first - now)
    }

    /// Whether all healthy backend servers stay in cooldown for longer than the class of a request
    /// allows it to wait.
    pub(super) fn cooldown_exceeds_wait(&self, now: Micros, ask: &Ask, waited: Micros) -> bool {
        let wait = self.policy.class(ask.class).wait;
        self.cooldown_left(now, ask.entry).is_some_and(|left| waited + left > wait)
    }

    /// Refuses waiting requests for which all healthy backend servers stay in cooldown too long.
    pub(super) fn refuse_in_cooldown(&mut self, now: Micros, orders: &mut Vec<Order>) {
        self.cooldowns.expire(now);
        if self.cooldowns.is_empty() || self.settling(now) {
            return;
        }
        let waits = |(key, state): (usize, &State)| match state {
            State::Waiting(waiting) => {
                let waited = now.saturating_sub(waiting.since);
                self.cooldown_exceeds_wait(now, &waiting.ask, waited).then_some(Key(key as u32))
            }
            State::Running(_) => None,
        };
        let keys: Vec<Key> = self.requests.iter().filter_map(waits).collect();
        for key in keys {
            if let Some(waiting) = self.remove_waiting(key) {
                orders.push(self.refusal(now, &waiting.ask, Refusal::NoServer, 0));
            }
        }
    }
}
