//! The engine on which a prompt is best read.
//!
//! Placing a request costs what it waits there, what has to be read or taken over, and what it does to
//! the streams beside it. The cheapest engine gets it.

use super::{Pool, scope::Scope};
use crate::{
    ask::Ask,
    engine::{Engine, Prefill, Prompt},
    server::{self, Server},
    time::Micros,
};

/// What placing a prompt that no engine keeps elsewhere than on its usual engine counts for each
/// token of its shared part, in microseconds of waiting: twice the time to read it.
const ELSEWHERE: f64 = 40.0;

/// An engine is slow if it reads a token in so many times the usual time.
const SLOW_READ: f64 = 1.15;

/// Where a request is to run.
pub(super) struct Place {
    /// The backend server.
    pub(super) server: server::Key,
    /// How the engine comes by the prompt; nothing to read for a plain service.
    pub(super) prefill: Prefill,
    /// The engine from which it takes over what that one keeps.
    pub(super) source: Option<server::Key>,
    /// How long its first event is expected to take; 0 if nothing is known.
    pub(super) expected: Micros,
}

impl Pool {
    /// The engine in scope on which the request costs least, another than the one to avoid if there
    /// is one.
    pub(super) fn place(&mut self, now: Micros, ask: &Ask, scope: Scope) -> Option<Place> {
        let prompt = self.prompt(now, ask);
        let cached_elsewhere = self.max_cached(&prompt);
        let source =
            self.policy.switches.sources.then(|| self.source(&prompt, ask.avoid)).flatten();
        let transferable = source.map_or(0, |(tokens, _)| tokens);
        let tolerant_partition = self.tolerant_partition(now);
        let in_partition = |key: server::Key| {
            tolerant_partition
                .as_ref()
                .is_none_or(|engines| engines.binary_search(&key).is_ok() == prompt.tolerant)
        };
        let shared = prompt.shared().map_or(0.0, |part| f64::from(part.tokens));
        let unknown = cached_elsewhere == 0 && self.policy.switches.usual_engine;
        let usual = if unknown { self.usual_engine(&prompt, in_partition) } else { None };
        let mut best: Option<(bool, bool, f64, server::Key, Prefill)> = None;
        for (key, server) in self.servers() {
            if !scope.has(server, now) || self.rests.has(now, ask.entry, key) {
                continue;
            }
            let prefill = server.engine().prefill(&prompt, cached_elsewhere, transferable);
            let (beside, avoided) = (ask.anti_affinity.contains(&key), ask.avoid == Some(key));
            let elsewhere = usual.is_some_and(|usual| usual != key);
            let strange = if elsewhere { shared * ELSEWHERE } else { 0.0 };
            let cost = server.engine().cost(now, &prompt, prefill, in_partition(key)) + strange;
            if best.is_none_or(|(b, a, c, ..)| (beside, avoided, cost) < (b, a, c)) {
                best = Some((beside, avoided, cost, key, prefill));
            }
        }
        let (.., server, prefill) = best?;
        let source = source.filter(|_| prefill.transferred > 0).map(|(_, key)| key);
        let engine = self.servers[usize::from(server.0)].as_ref()?.engine();
        let expected = engine.queue_time(now) + engine.prefill_time(prefill) as Micros;
        let expected = if self.policy.switches.expected { expected } else { 0 };
        Some(Place { server, prefill, source, expected })
    }

    /// What is to be placed, with what is known of its class.
    pub(super) fn prompt<'a>(&self, now: Micros, ask: &'a Ask) -> Prompt<'a> {
        let tightest = self.tightest_gap(now).unwrap_or(0);
        Prompt {
            parts: &ask.parts,
            tokens: ask.prompt,
            tolerant: self.is_tolerant(now, ask.class),
            tightest_gap: if self.policy.switches.harm { tightest } else { 0 },
        }
    }

    /// The engine from which most of a prompt can be taken over, another than the one to avoid, with
    /// the tokens of that; of equal ones that which used them last.
    ///
    /// Guards against reading again what lies on a busy engine. Nine engines under bursts of long
    /// prompts, half a minute each: 2.4% of the tokens read had been read before, 13.9% with the switch
    /// `sources` off.
    fn source(
        &self,
        prompt: &Prompt<'_>,
        avoid: Option<server::Key>,
    ) -> Option<(u32, server::Key)> {
        let engines = self.servers().filter(|(key, server)| {
            avoid != Some(*key) && !server.leaving() && server.next_probe().is_none()
        });
        let transferable = engines.map(|(key, server)| (server.engine().transferable(prompt), key));
        let ((tokens, _), key) = transferable.max_by_key(|(offer, _)| *offer)?;
        (tokens > 0).then_some((tokens, key))
    }

    /// The engine on which the shared part of a prompt belongs as long as none keeps it.
    fn usual_engine(
        &self,
        prompt: &Prompt<'_>,
        in_partition: impl Fn(server::Key) -> bool,
    ) -> Option<server::Key> {
        let part = prompt.shared()?;
        let engines = self.servers().filter(|(_, s)| !s.leaving() && s.next_probe().is_none());
        let engines = engines.filter(|(key, _)| in_partition(*key));
        let weighed = engines.map(|(key, server)| (Engine::weight(part.id, server.rank()), key));
        weighed.max().map(|(_, key)| key)
    }

    /// The engines on the patient side in the order of their keys; `None` if there are no sides.
    ///
    /// Slow ones are the first, because on them even a prompt of a pressing class delays the tokens of
    /// others too long.
    fn tolerant_partition(&mut self, now: Micros) -> Option<Vec<server::Key>> {
        if !self.has_mixed_demand(now) {
            return None;
        }
        let usual_read = self.usual_read;
        let engines = self.servers().filter(|(_, s)| !s.leaving() && s.next_probe().is_none());
        let mut places: Vec<_> = engines
            .map(|(key, server)| (!is_slow(server, usual_read), server.rank(), key))
            .collect();
        places.sort_unstable();
        let tolerant = self.partition.tolerant_engines(now, places.len());
        places.truncate(tolerant);
        let mut engines: Vec<server::Key> = places.into_iter().map(|(.., key)| key).collect();
        engines.sort_unstable();
        (tolerant > 0).then_some(engines)
    }

    /// Tokens at the beginning of a prompt that some engine keeps.
    fn max_cached(&self, prompt: &Prompt<'_>) -> u32 {
        let engines = self.servers().filter(|(_, server)| !server.leaving());
        let cached =
            engines.map(|(_, server)| prompt.tokens - server.engine().uncached_tokens(prompt));
        cached.max().unwrap_or(0)
    }
}

/// Whether an engine reads more slowly than is usual in its pool.
fn is_slow(server: &Server, usual_read: Option<f64>) -> bool {
    let fastest_token_time = server.engine().fastest_token_time();
    fastest_token_time.zip(usual_read).is_some_and(|(own, usual)| own > usual * SLOW_READ)
}
