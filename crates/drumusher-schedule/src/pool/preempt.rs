//! Stopping attempts: of a lower tier for a higher one, and on backend servers that are slow.

use super::Pool;
use crate::{
    ask::{Id, Key, State},
    order::{Order, Stop},
    policy::ClassKey,
    server::{Kind, Usual},
    time::Micros,
};

/// Waiting requests of a class that are looked at, oldest first.
const LOOK: usize = 32;
/// A mean pause up to this part of the target of its kind is not slow, whatever others need.
const BORNE: f64 = 0.5;
/// Most attempts stopped by one event.
const STOPS: usize = 8;

impl Pool {
    /// Orders attempts of lower tiers stopped while a request of a higher one would miss its
    /// target.
    pub(super) fn preempt(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if !self.policy.switches.preemption || self.settling(now) || self.queue.is_empty() {
            return;
        }
        if !self.victims.values().any(|victims| !victims.is_empty()) {
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
        let classes = 0..self.policy.classes.len();
        let of_tier = classes.filter(|at| self.policy.tier(ClassKey(*at as u16)) == tier);
        let waiting = of_tier.flat_map(|at| self.queue.oldest(ClassKey(at as u16)).take(LOOK));
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

    /// The attempt with least work lost: of the lowest tier below `tier`, the latest granted.
    fn victim_below(&self, tier: u8) -> Option<Key> {
        let lower = self.victims.range(tier + 1..).rev();
        let mut latest = lower.filter_map(|(_, victims)| victims.last());
        latest.next().map(|(_, key)| *key)
    }

    fn stop(&mut self, key: Key, stop: Stop, orders: &mut Vec<Order>) {
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

    /// Finds backend servers much slower than the pool's median and moves their repeatable attempts
    /// elsewhere, as far as there is room. Patient and pressing streams are compared apart: long
    /// prompts beside them make the pauses of patient ones longer, and their classes bear that.
    pub(super) fn judge(&mut self, now: Micros, orders: &mut Vec<Order>) {
        for kind in Kind::ALL {
            let usual = self.usual(now, kind);
            let Some(usual) = usual else { continue };
            let servers = self.servers.iter_mut().enumerate();
            let judged = servers
                .filter_map(|(at, server)| Some((at, server.as_mut()?.judge(now, kind, usual))));
            let slow: Vec<usize> = judged.filter(|(_, slow)| *slow).map(|(at, _)| at).collect();
            for at in slow {
                self.move_off(now, at, orders);
            }
        }
    }

    /// What is usual between the tokens of streams of a kind; `None` if fewer than two backend
    /// servers had some lately.
    fn usual(&self, now: Micros, kind: Kind) -> Option<Usual> {
        let known = self.servers().filter_map(|(_, server)| server.pace(now, kind));
        let mut gaps: Vec<f64> = known.collect();
        if gaps.len() < 2 {
            return None;
        }
        gaps.sort_by(f64::total_cmp);
        let median = gaps[(gaps.len() - 1) / 2];
        let of_kind = self.asked_lately(now).filter(|class| self.kind(now, *class) == kind);
        let targets = of_kind.map(|class| self.policy.class(class).token_gap);
        let target = targets.filter(|gap| *gap > 0).min().unwrap_or(0);
        Some(Usual { median, borne: target as f64 * BORNE })
    }

    fn move_off(&mut self, now: Micros, server: usize, orders: &mut Vec<Order>) {
        let room = self.free(now) as usize;
        let movable = |(key, state): (usize, &State)| match state {
            State::Running(r) if usize::from(r.server.0) == server => {
                let moves = r.ask.repeatable && !r.stopping;
                moves.then_some((r.tier, Key(key as u32)))
            }
            _ => None,
        };
        let mut attempts: Vec<(u8, Key)> = self.asks.iter().filter_map(movable).collect();
        attempts.sort();
        for (_, key) in attempts.into_iter().take(room) {
            self.stop(key, Stop::SlowServer, orders);
        }
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
