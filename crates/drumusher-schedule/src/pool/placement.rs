//! Choice of the engine that prefills a prompt.
//!
//! The cost of an engine is the wait for its queue, what has to be prefilled or transferred, the
//! delay to the streams beside it, and what its pace means for the rest of the answer. The engine
//! with the lowest cost is chosen.

use super::{Pool, scope::Scope};
use crate::{
    ask::Ask,
    engine::{Engine, Prefill, Prompt},
    region,
    server::{self, Server},
    time::Micros,
};

/// Cost of placing a prompt that no engine has cached on an engine other than its home, per token
/// of its shared part, in microseconds of waiting: twice the time to prefill it.
const AWAY_FROM_HOME_COST: f64 = 40.0;

/// An engine is slow if it takes more than this multiple of the typical time to prefill a token.
const SLOW_FACTOR: f64 = 1.15;

/// Where a request is to run.
pub(super) struct Placement {
    /// The backend server.
    pub(super) server: server::Key,
    /// How the engine obtains the prompt; empty for a plain service.
    pub(super) prefill: Prefill,
    /// The engine from which the cached part of the prompt is transferred.
    pub(super) source: Option<server::Key>,
    /// Expected time to the first event; 0 if unknown.
    pub(super) expected: Micros,
}

impl Pool {
    /// The engine in scope with the lowest cost for the request, avoiding that of the last failure
    /// if possible.
    pub(super) fn choose_engine(
        &mut self,
        now: Micros,
        ask: &Ask,
        scope: Scope,
    ) -> Option<Placement> {
        let prompt = self.prompt(now, ask);
        let cached_elsewhere = self.max_cached(&prompt);
        let source = self
            .policy
            .switches
            .sources
            .then(|| self.transfer_source(now, &prompt, ask.avoid, scope.regions))
            .flatten();
        let transferable = source.map_or(0, |(tokens, _)| tokens);
        let tolerant_partition = self.tolerant_partition(now);
        let in_partition = |key: server::Key| {
            tolerant_partition
                .as_ref()
                .is_none_or(|engines| engines.binary_search(&key).is_ok() == prompt.tolerant)
        };
        let shared = prompt.shared().map_or(0.0, |part| f64::from(part.tokens));
        let is_uncached = cached_elsewhere == 0 && self.policy.switches.usual_engine;
        let home = if is_uncached { self.home_engine(&prompt, in_partition) } else { None };
        let answer = self.answer(now, ask);
        let room = self.room_in(now, ask, scope);
        let mut best: Option<(bool, bool, f64, server::Key, Prefill)> = None;
        for (key, server) in self.servers() {
            if room.is_some_and(|room| !room.is_in(now, server)) {
                continue;
            }
            if !scope.includes(server, now) || self.cooldowns.is_active(now, ask.entry, key) {
                continue;
            }
            let prefill = server.engine().prefill(&prompt, cached_elsewhere, transferable);
            let (anti_affine, avoided) = (ask.anti_affinity.contains(&key), ask.avoid == Some(key));
            let is_away = home.is_some_and(|home| home != key);
            let away_cost = if is_away { shared * AWAY_FROM_HOME_COST } else { 0.0 };
            let is_better = |cost: f64| {
                best.is_none_or(|(b, a, c, ..)| (anti_affine, avoided, cost) < (b, a, c))
            };
            let cost = server.engine().cost(now, &prompt, prefill, in_partition(key))
                + away_cost
                + room.map_or(0.0, |room| room.wait_correction(now, server.engine()));
            // The cost of the pace is never negative, so it cannot make a worse engine the best.
            if !is_better(cost) {
                continue;
            }
            let pace_cost = answer.map_or(0.0, |answer| answer.cost(now, server.engine(), prefill));
            let cost = cost + pace_cost;
            if is_better(cost) {
                best = Some((anti_affine, avoided, cost, key, prefill));
            }
        }
        let (.., server, prefill) = best?;
        let source = source.filter(|_| prefill.transferred > 0).map(|(_, key)| key);
        let engine = self.servers[usize::from(server.0)].as_ref()?.engine();
        let wait = room.map_or(engine.queue_time(now), |room| room.wait(now, engine));
        let expected = wait + engine.prefill_time(prefill) as Micros;
        let expected = if self.policy.switches.expected { expected } else { 0 };
        Some(Placement { server, prefill, source, expected })
    }

    /// The prompt of a request, with what is known of its class.
    pub(super) fn prompt<'a>(&self, now: Micros, ask: &'a Ask) -> Prompt<'a> {
        let tightest = self.tightest_gap(now).unwrap_or(0);
        Prompt {
            parts: &ask.parts,
            tokens: ask.prompt,
            tolerant: self.is_tolerant(now, ask.class),
            tightest_gap: if self.policy.switches.harm { tightest } else { 0 },
        }
    }

    /// The engine from which most of a prompt can be transferred, other than `avoid` and in one of
    /// the `regions`, with the number of tokens. Of equal ones, the one that used them last. In a
    /// pool whose engines' caches are modelled by their memory, an engine that is leaving is one
    /// too, while requests run there: what only it has cached would be lost with it.
    ///
    /// Saves prefilling again what a busy engine has cached. With nine engines under bursts of long
    /// prompts, half a minute each, 2.4% of the prefilled tokens had been prefilled before, and
    /// 13.9% with the switch `sources` off.
    fn transfer_source(
        &self,
        now: Micros,
        prompt: &Prompt<'_>,
        avoid: Option<server::Key>,
        regions: region::Set,
    ) -> Option<(u32, server::Key)> {
        let engines = self.servers().filter(|(key, server)| {
            let usable = avoid != Some(*key) && regions.contains(server.region());
            usable && self.can_send_copies(now, server)
        });
        let transferable =
            engines.map(|(key, server)| (server.engine().transferable(now, prompt), key));
        let ((tokens, _), key) = transferable.max_by_key(|(offer, _)| *offer)?;
        (tokens > 0).then_some((tokens, key))
    }

    /// Whether other engines can copy from an engine.
    pub(super) fn can_send_copies(&self, now: Micros, server: &Server) -> bool {
        let drains = || server.running() > 0 && self.cache_profile(now).is_some();
        server.next_probe().is_none() && (!server.leaving() || drains())
    }

    /// The engine on which the shared part of a prompt is placed while no engine has it cached.
    fn home_engine(
        &self,
        prompt: &Prompt<'_>,
        in_partition: impl Fn(server::Key) -> bool,
    ) -> Option<server::Key> {
        let part = prompt.shared()?;
        let engines = self.servers().filter(|(_, s)| !s.leaving() && s.next_probe().is_none());
        let engines = engines.filter(|(key, _)| in_partition(*key));
        let weighted = engines.map(|(key, server)| (Engine::weight(part.id, server.rank()), key));
        weighted.max().map(|(_, key)| key)
    }

    /// The engines for delay-tolerant requests, sorted by key; `None` if the engines are not
    /// partitioned.
    ///
    /// Slow engines come first, because on them even a prompt of a delay-sensitive class delays the
    /// tokens of other streams too long.
    fn tolerant_partition(&mut self, now: Micros) -> Option<Vec<server::Key>> {
        if !self.has_mixed_demand(now) {
            return None;
        }
        let typical_token_time = self.typical_token_time;
        let engines = self.servers().filter(|(_, s)| !s.leaving() && s.next_probe().is_none());
        let mut candidates: Vec<_> = engines
            .map(|(key, server)| (!is_slow(server, typical_token_time), server.rank(), key))
            .collect();
        candidates.sort_unstable();
        let tolerant = self.partition.tolerant_engines(now, candidates.len());
        candidates.truncate(tolerant);
        let mut engines: Vec<server::Key> = candidates.into_iter().map(|(.., key)| key).collect();
        engines.sort_unstable();
        (tolerant > 0).then_some(engines)
    }

    /// The most tokens at the start of a prompt that any engine has cached.
    pub(super) fn max_cached(&self, prompt: &Prompt<'_>) -> u32 {
        let engines = self.servers().filter(|(_, server)| !server.leaving());
        let cached =
            engines.map(|(_, server)| prompt.tokens - server.engine().uncached_tokens(prompt));
        cached.max().unwrap_or(0)
    }
}

/// Whether an engine prefills more slowly than is typical in its pool.
fn is_slow(server: &Server, typical_token_time: Option<f64>) -> bool {
    let fastest_token_time = server.engine().fastest_token_time();
    fastest_token_time
        .zip(typical_token_time)
        .is_some_and(|(own, typical)| own > typical * SLOW_FACTOR)
}
