//! Stopping attempts of a lower tier for a higher one, and forgetting those that nobody reports on.

use super::Pool;
use crate::{
    ask::{Id, Key, State},
    order::{Order, Stop},
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
            self.stop(key, Stop::HigherTier, orders);
        }
    }

    /// How many waiting requests of a tier will not get their first token in time, places being
    /// freed at the measured rate.
    fn at_risk(&self, now: Micros, tier: u8) -> usize {
        let of_tier = self.queue.classes().filter(|class| self.policy.tier(*class) == tier);
        let waiting = of_tier.flat_map(|class| self.queue.oldest(class).take(LOOK));
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
        self.server_at(running.server).is_some_and(|server| server.limited().is_none())
    }

    /// Orders one attempt stopped.
    pub(super) fn stop(&mut self, key: Key, stop: Stop, orders: &mut Vec<Order>) {
        let Some(State::Running(running)) = self.asks.get_mut(key.0 as usize) else {
            return;
        };
        running.stopping = true;
        orders.push(Order::Preempt { id: running.ask.id, entry: running.ask.entry, stop });
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
                (now > r.heard + most).then_some(r.ask.id)
            }
            State::Waiting(_) => None,
        };
        let gone: Vec<Id> = self.asks.iter().filter_map(|(_, state)| silent(state)).collect();
        for id in gone {
            self.forget(now, id);
        }
    }
}
