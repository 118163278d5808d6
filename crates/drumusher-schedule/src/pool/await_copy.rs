//! Requests that wait at the dispatcher until an engine has prefilled a part that they share, to
//! be placed on another engine that copies it.
//!
//! A part cannot be copied before it is complete. Without waiting, requests that share a long part
//! with one whose prefill has begun queue behind it on its engine, or prefill the part again.

use std::collections::BTreeMap;

use super::{Pool, placement::Placement, scope::Scope};
use crate::{
    ask::{Ask, Key},
    engine::{Engine, Prompt, RECOMPUTE_COST},
    server,
    time::{MILLISECOND, Micros},
};

/// Maximum requests that wait for copies. Each is checked in each round of grants.
const MAX_AWAITING: usize = 64;
/// A request waits only if that is cheaper by this: the round of grants that ends the wait comes
/// with the next event.
const MIN_GAIN: f64 = 10.0 * MILLISECOND as f64;
/// Part of the first-event target of its class, in percent, for which a request waits for copies.
/// At half of it, requests of the highest tier would have others preempted.
const MAX_WAIT_PERCENT: u64 = 40;

/// What a request waits for.
#[derive(Clone, Copy, Debug)]
struct Prefilling {
    /// The engine that prefills the part.
    holder: server::Key,
    part: u64,
}

/// The waiting requests that wait for copies.
#[derive(Debug, Default)]
pub(super) struct Awaiting(BTreeMap<Key, Prefilling>);

impl Awaiting {
    /// Number of requests.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether a request waits for a copy.
    pub(super) fn contains(&self, key: Key) -> bool {
        self.0.contains_key(&key)
    }

    /// Removes a request that is no longer in the queue.
    pub(super) fn remove(&mut self, key: Key) {
        self.0.remove(&key);
    }
}

/// The longest start of a prompt that an engine has or is prefilling.
struct Coming {
    tokens: u32,
    ready: Micros,
    prefilling: Prefilling,
}

impl Pool {
    /// Skips the requests that wait for copies in this round of grants, and ends the waits for
    /// parts that are complete or will not be completed.
    pub(super) fn skip_awaiting(&mut self, now: Micros) {
        if self.awaiting.0.is_empty() {
            return;
        }
        let mut awaiting = std::mem::take(&mut self.awaiting.0);
        awaiting.retain(|_, prefilling| self.is_coming(now, *prefilling));
        self.skipped.extend(awaiting.keys().copied());
        self.awaiting.0 = awaiting;
    }

    /// Whether an engine is still prefilling a part.
    fn is_coming(&self, now: Micros, Prefilling { holder, part }: Prefilling) -> bool {
        self.server_at(holder).is_some_and(|server| {
            !server.leaving()
                && server.next_probe().is_none()
                && server.engine().is_prefilling(now, part)
        })
    }

    /// Whether a request is to wait for a part that an engine is prefilling, since that costs less
    /// than its best placement now: with the copy, it is served sooner than behind the request that
    /// prefills the part, or saves prefilling it again.
    pub(super) fn awaits_copy(
        &mut self,
        now: Micros,
        key: Key,
        ask: &Ask,
        scope: Scope,
        placement: &Placement,
    ) -> bool {
        let switches = self.policy.switches;
        if !switches.await_copies || !switches.sources || self.awaiting.len() >= MAX_AWAITING {
            return false;
        }
        if ask.parts.is_empty() || self.cache_profile(now).is_none() {
            return false;
        }
        let Some(since) = self.waiting_at(key).map(|waiting| waiting.since) else {
            return false;
        };
        let prompt = self.prompt(now, ask);
        let Some(coming) = self.coming(now, ask, &prompt, placement) else {
            return false;
        };
        let target = self.policy.class(ask.class).first_token;
        if coming.ready > since + target * MAX_WAIT_PERCENT / 100 {
            return false;
        }
        let Some(chosen) = self.server_at(placement.server).map(|server| server.engine()) else {
            return false;
        };
        let cost_now = chosen.queue_time(now) as f64
            + chosen.prefill_time(placement.prefill)
            + f64::from(placement.prefill.recomputed) * RECOMPUTE_COST;
        let waits = self
            .cost_of_waiting(now, ask, &prompt, scope, &coming)
            .is_some_and(|cost| cost + MIN_GAIN < cost_now);
        if waits {
            self.awaiting.0.insert(key, coming.prefilling);
        }
        waits
    }

    /// The longest start of a prompt that an engine is prefilling, if the placement queues behind
    /// that or prefills some of it again. Of equal ones, the one that is complete first.
    fn coming(
        &self,
        now: Micros,
        ask: &Ask,
        prompt: &Prompt<'_>,
        placement: &Placement,
    ) -> Option<Coming> {
        let chosen = self.server_at(placement.server)?.engine();
        let again = placement.prefill.recomputed > 0;
        if !again && chosen.prefilling(now, prompt).is_none() {
            return None;
        }
        let regions = self.regions(ask);
        let engines = self.servers().filter(|(key, server)| {
            let usable = !server.leaving() && server.next_probe().is_none();
            usable && ask.avoid != Some(*key) && regions.contains(server.region())
        });
        let coming = engines.filter_map(|(holder, server)| {
            let (tokens, ready, part) = server.engine().prefilling(now, prompt)?;
            Some(Coming { tokens, ready, prefilling: Prefilling { holder, part } })
        });
        let obtained = prompt.tokens.saturating_sub(placement.prefill.tokens);
        let longest =
            coming.max_by_key(|coming| (coming.tokens, std::cmp::Reverse(coming.ready)))?;
        (!again || longest.tokens > obtained).then_some(longest)
    }

    /// Cost of the best engine that copies what is coming once that is complete, in microseconds of
    /// waiting.
    fn cost_of_waiting(
        &self,
        now: Micros,
        ask: &Ask,
        prompt: &Prompt<'_>,
        scope: Scope,
        coming: &Coming,
    ) -> Option<f64> {
        let holder = coming.prefilling.holder;
        let engines = self.servers().filter(|(key, server)| {
            *key != holder
                && scope.includes(server, now)
                && !self.cooldowns.is_active(now, ask.entry, *key)
        });
        let cost = |engine: &Engine| {
            let prefill = engine.prefill(prompt, coming.tokens, coming.tokens);
            let start = engine.queue_time(now).max(coming.ready.saturating_sub(now));
            let time = start as f64 + engine.prefill_time(prefill) + engine.link_cost(prefill);
            (prefill.recomputed == 0).then_some(time)
        };
        engines.filter_map(|(_, server)| cost(server.engine())).min_by(f64::total_cmp)
    }
}
