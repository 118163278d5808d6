//! Stopping attempts of a lower tier for a higher one, and forgetting those that nobody reports on.

use super::Pool;
use crate::{
    ask::{Id, Key, Running, State},
    order::{Order, Preemption},
    server::{self, Server},
    time::Micros,
};

/// Waiting requests of a class that are looked at, oldest first.
const LOOK: usize = 32;
/// Most attempts stopped by one event.
const STOPS: usize = 8;

impl Pool {
    /// Orders attempts of lower tiers stopped while a request of a higher one would miss its
    /// target.
    pub(super) fn preempt(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if !self.policy.switches.preemption || self.settling(now) || self.queue.is_empty() {
            return;
        }
        if !self.victims.values().any(|victims| !victims.is_empty()) || self.all_limited() {
            return;
        }
        let Some(tier) = self.queue.tiers().next() else {
            return;
        };
        let needed = self.at_risk(now, tier).saturating_sub(self.stopping);
        for _ in 0..needed.min(STOPS) {
            let Some(key) = self.victim_below(tier) else {
                return;
            };
            self.stop(key, Preemption::HigherTier, orders);
        }
    }

    /// How many waiting requests of a tier will not get their first token in time, places being
    /// freed at the measured rate.
    fn at_risk(&self, now: Micros, tier: u8) -> usize {
        let of_tier = self.queue.classes().filter(|class| self.policy.tier(*class) == tier);
        let waiting = of_tier.flat_map(|class| self.queue.by_arrival(class).take(LOOK));
        let at_risk = waiting.enumerate().filter(|(ahead, key)| {
            let wait = self.predicted_wait(ahead + 1);
            let waiting = self.waiting_at(*key);
            waiting.is_some_and(|waiting| {
                let target = self.policy.class(waiting.ask.class).first_token;
                now + wait + target / 2 > waiting.deadline
            })
        });
        at_risk.count()
    }

    /// Orders attempts of lower tiers stopped where granted requests of a higher one wait in the backend
    /// server's own queue, which preempts nothing. A window may be wider than what it runs at once.
    pub(super) fn relieve_queued(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if !self.policy.switches.preemption || self.settling(now) {
            return;
        }
        let queued = |(key, server): (server::Key, &Server)| {
            let (waiting, as_of) =
                server.reported_queue().filter(|_| server.rate_limit().is_none())?;
            Some((key, waiting as usize, as_of))
        };
        let queued: Vec<_> = self.servers().filter_map(queued).collect();
        for (server, waiting, as_of) in queued {
            let victims = self.victims_for_queued(now, server, waiting, as_of);
            if victims.is_empty() {
                continue;
            }
            if let Some(server) = self.server(server) {
                server.note_queue_preemption(now);
            }
            for key in victims {
                self.stop(key, Preemption::HigherTier, orders);
            }
        }
    }

    /// The attempts to stop for those of the highest tier that were granted before the report of
    /// `as_of`, have no token and would miss their target: the latest of the lowest tier first.
    fn victims_for_queued(
        &self,
        now: Micros,
        server: server::Key,
        waiting: usize,
        as_of: Micros,
    ) -> Vec<Key> {
        let late = |running: &&Running| {
            let target = self.policy.class(running.ask.class).first_token;
            let at_risk = now + target / 2 > running.ask.arrived + target;
            running.server == server
                && !running.has_first_token
                && running.granted <= as_of
                && at_risk
        };
        let late: Vec<u8> = self.iter_running().filter(late).map(|running| running.tier).collect();
        let Some(tier) = late.iter().min().copied() else {
            return Vec::new();
        };
        let needed = late.iter().filter(|other| **other == tier).count().min(waiting);
        let lower = self.victims.range(tier + 1..).rev();
        let latest = lower.flat_map(|(_, victims)| victims.iter().rev()).map(|(_, key)| *key);
        let holds_place = |key: &Key| match self.asks.get(key.0 as usize) {
            Some(State::Running(running)) => running.server == server && running.has_first_token,
            _ => false,
        };
        latest.filter(holds_place).take(needed).collect()
    }

    /// The attempt with least work lost: of the lowest tier below `tier`, the latest granted. The end of one on a backend
    /// server that is limited makes no room.
    fn victim_below(&self, tier: u8) -> Option<Key> {
        let lower = self.victims.range(tier + 1..).rev();
        let latest = lower.flat_map(|(_, victims)| victims.iter().rev());
        latest.map(|(_, key)| *key).find(|key| self.makes_room(*key))
    }

    fn makes_room(&self, key: Key) -> bool {
        let Some(State::Running(running)) = self.asks.get(key.0 as usize) else {
            return false;
        };
        self.server_at(running.server).is_some_and(|server| server.rate_limit().is_none())
    }

    /// Orders one attempt stopped.
    pub(super) fn stop(&mut self, key: Key, preemption: Preemption, orders: &mut Vec<Order>) {
        let Some(State::Running(running)) = self.asks.get_mut(key.0 as usize) else {
            return;
        };
        running.stopping = true;
        orders.push(Order::Preempt { id: running.ask.id, entry: running.ask.entry, preemption });
        let (tier, granted) = (running.tier, running.granted);
        if let Some(victims) = self.victims.get_mut(&tier) {
            victims.remove(&(granted, key));
        }
        self.stopping += 1;
    }

    /// Forgets attempts whose entry does not report on them any more.
    pub(super) fn release_silent(&mut self, now: Micros) {
        let expiry = self.policy.grant_expiry * 2;
        let silent = |state: &State| match state {
            State::Running(r) => {
                let most = if r.started { super::SILENCE } else { expiry };
                (now > r.last_report + most).then_some(r.ask.id)
            }
            State::Waiting(_) => None,
        };
        let gone: Vec<Id> = self.asks.iter().filter_map(|(_, state)| silent(state)).collect();
        for id in gone {
            self.forget(now, id);
        }
    }
}
