//! A dispatcher's model of an engine with chunked prefill and a prompt cache.
//!
//! While an engine prefills a long prompt, the tokens of every other stream on it are delayed. So
//! requests are of two kinds: *delay-tolerant* ones, whose prompts delay the streams with the
//! smallest gap targets too long and which allow longer gaps themselves, and *delay-sensitive*
//! ones. The two kinds are kept on different engines; how many engines each kind gets follows from
//! the demand. A prompt part that an engine has cached attracts the requests that share it, because
//! prefilling it again elsewhere is wasted work. Where the queue there is long, another engine
//! transfers the cached part, which is much faster than prefilling it again.

pub mod backlog;

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::backlog::Backlog;
use crate::{
    ask::{Id, Part},
    time::{MILLISECOND, Micros, SECOND},
};

/// Assumed time to prefill a token before the first sample, in microseconds.
pub(crate) const DEFAULT_TOKEN_TIME: f64 = 20.0;
/// Weight of a new sample in the mean time to prefill a token.
const SMOOTHING: f64 = 0.15;
/// Prompts with fewer tokens to prefill give no sample of the time per token.
const MIN_SAMPLE_TOKENS: u32 = 1_500;
/// Growth of the shortest time per token with each sample, so that an engine that became slow is
/// detected within some tens of prompts.
const FASTEST_DRIFT: f64 = 1.01;
/// Bounds of the time to prefill a token, in microseconds.
const TOKEN_TIME_BOUNDS: (f64, f64) = (1.0, 1_000.0);
/// Assumed time to transfer a token from another engine before the first sample, in microseconds: a
/// quarter of the time to prefill it. Links of 180 to 740 Gbit/s take 3.5 to 7.3.
const DEFAULT_TRANSFER_TIME: f64 = 5.0;
/// Bounds of the time to transfer a token, in microseconds.
const TRANSFER_TIME_BOUNDS: (f64, f64) = (0.5, 1_000.0);
/// Tokens that take less than this to prefill, in microseconds, are not transferred: setting up a
/// copy takes 2.5 to 4 ms on current engines, and queues behind other copies on both links.
const MIN_SAVED_PREFILL: f64 = 10.0 * MILLISECOND as f64;
/// Weight of the transfer time in the cost: the links of two engines are busy.
const TRANSFER_WEIGHT: f64 = 2.0;
/// Cost of prefilling a shared token again, in microseconds of waiting. It is much more than the
/// time it takes, because users count it as waste whether or not another request waits.
const RECOMPUTE_COST: f64 = 400.0;
/// A prompt delays the other streams on its engine too long if prefilling all of it takes more than
/// this fraction of the smallest gap target. A stream's own steps take up the rest of the gap. Of
/// the known request classes, those with short prompts take 0.2 to 0.4 of it, and those with long
/// ones 0.9 to 1.5.
pub(crate) const INTERFERENCE_THRESHOLD: f64 = 0.6;
/// Cost of a delay-tolerant request for each delay-sensitive stream on the engine, as a multiple of
/// its prefill time: the longer the prompt, the longer their tokens are delayed.
const SENSITIVE_STREAM_WEIGHT: f64 = 2.0;
/// Cost of placing a request on an engine of the other partition, in microseconds of waiting, on
/// top of the interference: about the smallest target of the known request classes.
const WRONG_PARTITION_COST: f64 = 300.0 * MILLISECOND as f64;
/// Cost of recent delay-tolerant prompts for a delay-sensitive request, as a multiple of their
/// prefill time.
const TOLERANT_LOAD_WEIGHT: f64 = 2.0;
/// Time constant of the decay of the delay-tolerant load, in microseconds.
const TOLERANT_DECAY_TIME: f64 = 3.0 * SECOND as f64;
/// Cost of each running stream, in microseconds of waiting: tokens are slower beside other streams.
const STREAM_COST: f64 = MILLISECOND as f64;
/// Maximum prompt parts remembered per engine.
const MAX_PARTS: usize = 8_192;

/// A first event is overdue after twice the expected prefill time plus this: the first tokens have
/// to be produced, and reports of them come every 50 ms.
const OVERDUE_GRACE: Micros = 150 * MILLISECOND;

/// Mean time until the end of the current step. Long prompts make a step last some 40 ms.
const HALF_STEP: Micros = 20 * MILLISECOND;

/// What the configuration says of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Memory for running requests and cached parts, in tokens.
    pub tokens: u64,
    /// Memory of a token, in bytes.
    pub token_bytes: u64,
    /// Rate of its link to other engines, in Mbit/s.
    pub link_mbps: f64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// A prompt to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// The parts of the prompt.
    pub parts: &'a [Part],
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Whether the request allows long gaps between events.
    pub tolerant: bool,
    /// The smallest gap target of the classes in use.
    pub tightest_gap: Micros,
}

/// How an engine obtains the tokens of a prompt that it has not cached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prefill {
    /// Tokens to prefill.
    pub tokens: u32,
    /// Of these, tokens of shared parts that another engine has cached.
    pub recomputed: u32,
    /// Tokens transferred from another engine.
    pub transferred: u32,
}

/// A prompt part in an engine's cache.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    /// When a request with this part was last placed on the engine.
    last_used: Micros,
    /// Whether the part is completely prefilled, so that another engine can transfer it.
    complete: bool,
}

/// A request whose first event has not arrived yet.
#[derive(Clone, Debug)]
struct Pending {
    granted: Micros,
    prefill: Prefill,
    /// The parts of its prompt.
    parts: Vec<u64>,
    /// Whether it queued behind other prompts, so that its wait says nothing about the time to
    /// prefill a token.
    queued: bool,
    /// When its prompt is expected to be prefilled.
    expected_done: Micros,
}

/// State of one engine.
#[derive(Debug)]
pub struct Engine {
    cache: HashMap<u64, CachedPart>,
    pending: HashMap<Id, Pending>,
    /// Its pending prompts by urgency.
    backlog: Backlog,
    token_time: f64,
    /// Time to transfer a token.
    transfer_time: f64,
    /// The shortest recent time to prefill a token, which is without other prompts beside it.
    fastest_token_time: Option<f64>,
    sensitive: u32,
    running: u32,
    /// Recent prefill time of delay-tolerant prompts, decayed to `tolerant_at`.
    tolerant_load: f64,
    tolerant_at: Micros,
}

impl Prompt<'_> {
    /// The longest part that other requests may share: the last part is the request's own.
    pub fn shared(&self) -> Option<Part> {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().copied().max_by_key(|part| part.tokens)
    }
}

impl Default for Engine {
    fn default() -> Self {
        Engine::new()
    }
}

impl Engine {
    /// An engine of which nothing is known.
    pub fn new() -> Self {
        Engine {
            cache: HashMap::new(),
            pending: HashMap::new(),
            backlog: Backlog::default(),
            token_time: DEFAULT_TOKEN_TIME,
            transfer_time: DEFAULT_TRANSFER_TIME,
            fastest_token_time: None,
            sensitive: 0,
            running: 0,
            tolerant_load: 0.0,
            tolerant_at: 0,
        }
    }

    /// Time to prefill a token, in microseconds.
    pub fn token_time(&self) -> f64 {
        self.token_time
    }

    /// The shortest recent time to prefill a token, in microseconds.
    pub fn fastest_token_time(&self) -> Option<f64> {
        self.fastest_token_time
    }

    /// Whether it has a part in its cache.
    pub fn has_cached(&self, part: u64) -> bool {
        self.cache.contains_key(&part)
    }

    /// Records that it reported these parts as cached.
    pub fn add_cached(&mut self, now: Micros, parts: &[u64]) {
        for part in parts {
            self.cache.insert(*part, CachedPart { last_used: now, complete: true });
        }
        self.evict_oldest();
    }

    /// Tokens of a prompt from the first part on that it has not cached.
    pub fn uncached_tokens(&self, prompt: &Prompt<'_>) -> u32 {
        let cached = prompt.parts.iter().take_while(|part| self.has_cached(part.id));
        prompt.tokens.saturating_sub(cached.map(|part| part.tokens).sum())
    }

    /// Tokens at the start of a prompt that another engine can transfer from here, and the least
    /// recent use of their parts.
    pub fn transferable(&self, prompt: &Prompt<'_>) -> (u32, Micros) {
        let cached = prompt.parts.iter().map_while(|part| {
            let cached = self.cache.get(&part.id).filter(|cached| cached.complete)?;
            Some((part.tokens, cached.last_used))
        });
        cached.fold((0, Micros::MAX), |(sum, oldest), (tokens, last_used)| {
            (sum + tokens, oldest.min(last_used))
        })
    }

    /// How it obtains a prompt of which other engines have `cached_elsewhere` tokens and one can
    /// transfer `transferable`.
    pub fn prefill(
        &self,
        prompt: &Prompt<'_>,
        cached_elsewhere: u32,
        transferable: u32,
    ) -> Prefill {
        let uncached = self.uncached_tokens(prompt);
        let cached = prompt.tokens.saturating_sub(uncached);
        let transferred = transferable.saturating_sub(cached);
        let transferred = if f64::from(transferred) * self.token_time < MIN_SAVED_PREFILL {
            0
        } else {
            transferred
        };
        Prefill {
            tokens: uncached.saturating_sub(transferred),
            recomputed: cached_elsewhere.saturating_sub(cached + transferred),
            transferred,
        }
    }

    /// Time that a prefill takes, in microseconds.
    pub fn prefill_time(&self, prefill: Prefill) -> f64 {
        f64::from(prefill.tokens) * self.token_time
            + f64::from(prefill.transferred) * self.transfer_time
    }

    /// Rendezvous hash of a prompt part for the engine with this rank. All dispatchers compute the
    /// same one, so that a new one places requests as its predecessor did.
    pub fn weight(part: u64, rank: u64) -> u64 {
        xxh3_64_with_seed(&part.to_be_bytes(), rank)
    }

    /// Time until the prompts that it was given are prefilled. An overdue prompt is expected to
    /// take as long again, so that an engine that became slow or silent attracts no more requests.
    pub fn queue_time(&self, now: Micros) -> Micros {
        let expected_done =
            self.pending.values().map(|pending| pending.expected_done).max().unwrap_or(0);
        expected_done.saturating_sub(now).max(self.overdue(now))
    }

    /// Its pending prompts by urgency.
    pub fn backlog(&self) -> &Backlog {
        &self.backlog
    }

    /// Mutable access to [`Engine::backlog`], to record grants, first events and ends.
    pub fn backlog_mut(&mut self) -> &mut Backlog {
        &mut self.backlog
    }

    /// Time until a prompt of this urgency begins to be prefilled: the backlog, and what is left of
    /// the current step. An overdue first event counts as in [`Engine::queue_time`].
    pub fn wait(&self, now: Micros, urgency: u8) -> Micros {
        let overdue = self.backlog.overdue(now, urgency, OVERDUE_GRACE);
        self.backlog.time_ahead(now, urgency).max(overdue) + HALF_STEP
    }

    /// How long the first event of a request has been overdue.
    fn overdue(&self, now: Micros) -> Micros {
        let due = |pending: &Pending| {
            pending.expected_done + (pending.expected_done - pending.granted) + OVERDUE_GRACE
        };
        let first = self.pending.values().map(due).min().unwrap_or(now);
        now.saturating_sub(first)
    }

    /// Cost of placing a request here, in microseconds of waiting. `in_partition` tells whether the
    /// engine is in the request's partition.
    pub fn cost(
        &self,
        now: Micros,
        prompt: &Prompt<'_>,
        prefill: Prefill,
        in_partition: bool,
    ) -> f64 {
        let wait = self.queue_time(now) as f64 + self.prefill_time(prefill);
        let recompute = f64::from(prefill.recomputed) * RECOMPUTE_COST;
        let transfer =
            f64::from(prefill.transferred) * self.transfer_time * (TRANSFER_WEIGHT - 1.0);
        let streams = f64::from(self.running) * STREAM_COST;
        let interference = if prompt.tolerant {
            self.interference(wait, prompt, prefill)
        } else {
            self.recent_tolerant_load(now) * if in_partition { 0.0 } else { TOLERANT_LOAD_WEIGHT }
        };
        let partition = if in_partition { 0.0 } else { WRONG_PARTITION_COST };
        wait + recompute + transfer + streams + interference + partition
    }

    /// Cost of a delay-tolerant prompt for the delay-sensitive streams beside it. It is zero if the
    /// prompt and those queued before it are prefilled within a fraction of the smallest gap
    /// target, so that a burst of long prompts may use the engines of both partitions.
    fn interference(&self, wait: f64, prompt: &Prompt<'_>, prefill: Prefill) -> f64 {
        if wait <= prompt.tightest_gap as f64 * INTERFERENCE_THRESHOLD {
            return 0.0;
        }
        f64::from(self.sensitive) * self.prefill_time(prefill) * SENSITIVE_STREAM_WEIGHT
    }

    fn recent_tolerant_load(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.tolerant_at) as f64;
        self.tolerant_load * (-age / TOLERANT_DECAY_TIME).exp()
    }

    /// Records that a request was placed here.
    pub fn start(&mut self, now: Micros, id: Id, prompt: &Prompt<'_>, prefill: Prefill) {
        let time = self.prefill_time(prefill) as Micros;
        let queue_time = self.queue_time(now);
        let parts = prompt.parts.iter().map(|part| part.id).collect();
        let (queued, expected_done) = (queue_time > 0, now + queue_time + time);
        self.pending.insert(id, Pending { granted: now, prefill, parts, queued, expected_done });
        self.running += 1;
        if prompt.tolerant {
            self.tolerant_load = self.recent_tolerant_load(now) + time as f64;
            self.tolerant_at = now;
        } else {
            self.sensitive += 1;
        }
        for part in prompt.parts {
            let complete = self.cache.get(&part.id).is_some_and(|cached| cached.complete);
            self.cache.insert(part.id, CachedPart { last_used: now, complete });
        }
        self.evict_oldest();
    }

    fn evict_oldest(&mut self) {
        if self.cache.len() <= MAX_PARTS {
            return;
        }
        let sum: u128 = self.cache.values().map(|cached| u128::from(cached.last_used)).sum();
        let mean_use = (sum / self.cache.len() as u128) as Micros;
        self.cache.retain(|_, cached| cached.last_used >= mean_use);
    }

    /// Records that the first event of a request arrived `elapsed` after it was handed over.
    pub fn first_event(&mut self, id: Id, elapsed: Micros) {
        let Some(pending) = self.complete_prefill(id) else {
            return;
        };
        let Prefill { tokens, transferred, .. } = pending.prefill;
        if pending.queued {
            return;
        }
        if transferred > 0 {
            self.record_transfer(elapsed as f64 - f64::from(tokens) * self.token_time, transferred);
            return;
        }
        let Some(seen) = self.record_token_time(elapsed, tokens) else {
            return;
        };
        self.fastest_token_time = Some(
            self.fastest_token_time.map_or(seen, |shortest| seen.min(shortest * FASTEST_DRIFT)),
        );
    }

    /// Records that the first event of a request arrived whose prompt was prefilled in `time`, which is
    /// `None` if it waited for others meanwhile.
    pub fn first_event_after(&mut self, id: Id, time: Option<Micros>) {
        let Some(Pending { prefill, .. }) = self.complete_prefill(id) else {
            return;
        };
        if let Some(time) = time.filter(|_| prefill.transferred == 0) {
            self.record_token_time(time, prefill.tokens);
        }
    }

    /// Records that prefilling `tokens` tokens took `elapsed`, and returns the time of a token.
    fn record_token_time(&mut self, elapsed: Micros, tokens: u32) -> Option<f64> {
        if tokens < MIN_SAMPLE_TOKENS {
            return None;
        }
        let seen = elapsed as f64 / f64::from(tokens);
        let seen = seen.clamp(TOKEN_TIME_BOUNDS.0, TOKEN_TIME_BOUNDS.1);
        self.token_time += (seen - self.token_time) * SMOOTHING;
        Some(seen)
    }

    /// Records that transferring `tokens` tokens took `time` microseconds.
    fn record_transfer(&mut self, time: f64, tokens: u32) {
        let seen = (time / f64::from(tokens)).clamp(TRANSFER_TIME_BOUNDS.0, TRANSFER_TIME_BOUNDS.1);
        self.transfer_time += (seen - self.transfer_time) * SMOOTHING;
    }

    /// Records that the prompt of a request is prefilled.
    fn complete_prefill(&mut self, id: Id) -> Option<Pending> {
        let pending = self.pending.remove(&id)?;
        for part in &pending.parts {
            self.cache.insert(*part, CachedPart { last_used: pending.granted, complete: true });
        }
        Some(pending)
    }

    /// Records that a request placed here by another dispatcher already had its first event.
    pub fn mark_prefilled(&mut self, id: Id) {
        self.complete_prefill(id);
    }

    /// Records the end of a request. Parts that were not completely prefilled by then may be
    /// missing.
    pub fn end(&mut self, id: Id, tolerant: bool) {
        if let Some(pending) = self.pending.remove(&id) {
            for part in &pending.parts {
                if self.cache.get(part).is_some_and(|cached| !cached.complete) {
                    self.cache.remove(part);
                }
            }
        }
        self.running = self.running.saturating_sub(1);
        if !tolerant {
            self.sensitive = self.sensitive.saturating_sub(1);
        }
    }

    /// Grant time of the request that has waited longest for its first event.
    pub fn oldest_pending(&self) -> Option<Micros> {
        self.pending.values().map(|pending| pending.granted).min()
    }
}
