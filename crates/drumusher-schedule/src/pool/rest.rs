//! Backend servers that want a rest from one entry, while they take requests of others.

use std::collections::HashMap;

use super::Pool;
use crate::{
    ask::{Ask, Entry, Key, State},
    order::{Order, Refusal},
    server,
    time::Micros,
};

/// Until when which backend server rests from which entry. Most of the time there is none.
#[derive(Debug, Default)]
pub(super) struct Rests {
    until: HashMap<(Entry, server::Key), Micros>,
}

impl Rests {
    /// Whether a backend server rests from an entry.
    pub(super) fn has(&self, now: Micros, entry: Entry, key: server::Key) -> bool {
        self.end(entry, key).is_some_and(|until| now < until)
    }

    /// Whether any backend server rests from an entry.
    pub(super) fn any(&self, now: Micros, entry: Entry) -> bool {
        self.until.iter().any(|((of, _), until)| *of == entry && now < *until)
    }

    /// Forgets an entry.
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
    /// A backend server rests from an entry until a time. Of two ends the later one holds.
    pub(super) fn rest(&mut self, entry: Entry, key: server::Key, until: Micros) {
        self.rests.add(entry, key, until);
    }

    /// How long all backend servers that serve rest from the entry of an ask, if they do.
    pub(super) fn rest_left(&self, now: Micros, entry: Entry) -> Option<Micros> {
        if self.rests.is_empty() {
            return None;
        }
        let serving = self.servers().filter(|(_, s)| !s.leaving() && s.next_probe().is_none());
        let ends = serving.map(|(key, _)| self.rests.end(entry, key).filter(|until| now < *until));
        let first = ends.collect::<Option<Vec<Micros>>>()?.into_iter().min()?;
        Some(first - now)
    }

    /// Whether an ask would wait longer than its class allows until any backend server takes something of its entry.
    pub(super) fn rests_too_long(&self, now: Micros, ask: &Ask, waited: Micros) -> bool {
        let wait = self.policy.class(ask.class).wait;
        self.rest_left(now, ask.entry).is_some_and(|left| waited + left > wait)
    }

    /// Refuses what waits in vain for backend servers that all rest from its entry.
    pub(super) fn refuse_resting(&mut self, now: Micros, orders: &mut Vec<Order>) {
        self.rests.expire(now);
        if self.rests.is_empty() || self.settling(now) {
            return;
        }
        let waits = |(key, state): (usize, &State)| match state {
            State::Waiting(waiting) => {
                let waited = now.saturating_sub(waiting.since);
                self.rests_too_long(now, &waiting.ask, waited).then_some(Key(key as u32))
            }
            State::Running(_) => None,
        };
        let in_vain: Vec<Key> = self.asks.iter().filter_map(waits).collect();
        for key in in_vain {
            if let Some(waiting) = self.remove_waiting(key) {
                orders.push(self.refusal(now, &waiting.ask, Refusal::NoServer, 0));
            }
        }
    }
}
