//! Preemption of lower tiers for a higher one, and removal of attempts without reports.

use super::Pool;
use crate::{
    ask::{Id, Key, Running, State},
    order::{Order, Preemption},
    server::{self, Health, Server},
    time::Micros,
};

/// Maximum waiting requests of a class that are checked, oldest first.
const MAX_CHECKED: usize = 32;
/// Maximum attempts preempted by one event.
const MAX_PREEMPTIONS: usize = 8;

impl Pool {
    /// Preempts attempts of lower tiers while a request of a higher one would miss its target.
    pub(super) fn preempt(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if !self.policy.switches.preemption || self.settling(now) || self.queue.is_empty() {
            return;
        }
        if !self.preemptible.values().any(|attempts| !attempts.is_empty())
            || self.all_rate_limited()
        {
            return;
        }
        // Requests that wait for the prefill of others gain nothing by a further slot.
        if self.read_ahead_limit(now).is_some() && self.free(now) > 0 {
            return;
        }
        let Some(tier) = self.queue.tiers().next() else {
            return;
        };
        let needed = self.at_risk(now, tier).saturating_sub(self.preempting);
        for _ in 0..needed.min(MAX_PREEMPTIONS) {
            let Some(key) = self.cheapest_below(tier) else {
                return;
            };
            self.order_preemption(key, Preemption::HigherTier, orders);
        }
    }

    /// Number of waiting requests of a tier that will not get their first token in time if slots
    /// are freed at the measured rate.
    fn at_risk(&self, now: Micros, tier: u8) -> usize {
        let of_tier = self.queue.classes().filter(|class| self.policy.tier(*class) == tier);
        let waiting = of_tier.flat_map(|class| self.queue.by_arrival(class).take(MAX_CHECKED));
        let at_risk = waiting.enumerate().filter(|(ahead, key)| {
            let wait = self.predicted_wait(now, tier, ahead + 1);
            let waiting = self.waiting_at(*key);
            waiting.is_some_and(|waiting| {
                let target = self.policy.class(waiting.ask.class).first_token;
                now + wait + target / 2 > waiting.deadline
            })
        });
        at_risk.count()
    }

    /// Preempts attempts of lower tiers where granted requests of a higher one wait in the backend
    /// server's own queue, which preempts nothing itself. That happens because a window may be
    /// wider than what the backend server runs at once.
    pub(super) fn preempt_for_server_queues(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if !self.policy.switches.preemption || self.settling(now) {
            return;
        }
        let queued = |(key, server): (server::Key, &Server)| {
            let down = matches!(server.health(), Health::Down(..));
            let frees_capacity = server.rate_limit().is_none() && !down;
            let (waiting, as_of) = server.reported_queue().filter(|_| frees_capacity)?;
            Some((key, waiting as usize, as_of))
        };
        let queued: Vec<_> = self.servers().filter_map(queued).collect();
        for (server, waiting, as_of) in queued {
            let attempts = self.attempts_to_preempt(now, server, waiting, as_of);
            if attempts.is_empty() {
                continue;
            }
            if let Some(server) = self.server_mut(server) {
                server.note_queue_preemption(now);
            }
            for key in attempts {
                self.order_preemption(key, Preemption::HigherTier, orders);
            }
        }
    }

    /// The attempts to preempt for those of the highest tier that were granted before the report of
    /// `as_of`, have no token and would miss their target. The latest grants of the lowest tier
    /// come first.
    fn attempts_to_preempt(
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
        let lower = self.preemptible.range(tier + 1..).rev();
        let latest = lower.flat_map(|(_, attempts)| attempts.iter().rev()).map(|(_, key)| *key);
        let holds_slot = |key: &Key| match self.requests.get(key.0 as usize) {
            Some(State::Running(running)) => running.server == server && running.has_first_token,
            _ => false,
        };
        latest.filter(holds_slot).take(needed).collect()
    }

    /// The attempt below `tier` with the least work to lose: the latest grant of the lowest tier.
    /// Attempts are excluded where their end frees no capacity: on a rate-limited backend server, and on one that gets
    /// no requests now.
    fn cheapest_below(&self, tier: u8) -> Option<Key> {
        let lower = self.preemptible.range(tier + 1..).rev();
        let latest = lower.flat_map(|(_, attempts)| attempts.iter().rev());
        latest.map(|(_, key)| *key).find(|key| self.frees_capacity(*key))
    }

    fn frees_capacity(&self, key: Key) -> bool {
        let Some(State::Running(running)) = self.requests.get(key.0 as usize) else {
            return false;
        };
        self.server_at(running.server).is_some_and(|server| {
            server.rate_limit().is_none() && server.health() == Health::Good && !server.leaving()
        })
    }

    /// Orders the preemption of one attempt.
    pub(super) fn order_preemption(
        &mut self,
        key: Key,
        preemption: Preemption,
        orders: &mut Vec<Order>,
    ) {
        let Some(State::Running(running)) = self.requests.get_mut(key.0 as usize) else {
            return;
        };
        running.stopping = true;
        orders.push(Order::Preempt { id: running.ask.id, entry: running.ask.entry, preemption });
        let (tier, granted) = (running.tier, running.granted);
        if let Some(attempts) = self.preemptible.get_mut(&tier) {
            attempts.remove(&(granted, key));
        }
        self.preempting += 1;
    }

    /// Drops attempts on which their entry instance no longer reports.
    pub(super) fn drop_unreported(&mut self, now: Micros) {
        let expiry = self.policy.grant_expiry * 2;
        let unreported = |state: &State| match state {
            State::Running(r) => {
                let timeout = if r.started { super::REPORT_TIMEOUT } else { expiry };
                (now > r.last_report + timeout).then_some(r.ask.id)
            }
            State::Waiting(_) => None,
        };
        let gone: Vec<Id> =
            self.requests.iter().filter_map(|(_, state)| unreported(state)).collect();
        for id in gone {
            self.drop_request(now, id);
        }
    }
}
