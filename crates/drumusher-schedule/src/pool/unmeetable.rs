//! Requests that cannot end before their callers stop waiting, in a pool with slack.

use xxhash_rust::xxh3::xxh3_64;

use super::{Pool, admit::MIN_RETRY_AFTER};
use crate::{
    ask::{Ask, Key},
    order::{Order, Refusal},
    time::{Micros, SECOND},
};

/// Part of the expected output that counts: of the hint of the caller, or of the mean of the class.
/// Hints are often far off, and refusing a request that could have ended costs its caller more than
/// running one that does not. With whole hints, and the pace of all streams for those of the most
/// urgent class, 5% of the short requests of a heavy day were refused that had ended before.
const OUTPUT_FRACTION: f64 = 0.5;
/// Callers wait for a second attempt no longer than this part of the time that they have left.
const RETRY_FRACTION: Micros = 3;
/// The time to try again is spread by up to this part, so that callers do not return together.
const RETRY_SPREAD: f64 = 0.5;
/// Longest time after which a refused caller is told to try again.
const MAX_RETRY_AFTER: Micros = 120 * SECOND;

/// What the usable engines prefill.
struct Capacity {
    /// Mean time until the prompts that they were given are prefilled, in microseconds.
    backlog: f64,
    /// Mean time to prefill a token, in microseconds.
    token_time: f64,
    engines: f64,
    /// Part of the engines' time that more urgent requests leave.
    free_part: f64,
}

impl Capacity {
    /// Expected wait behind `tokens` tokens, with the more urgent requests that come meanwhile.
    fn wait(&self, tokens: f64) -> Micros {
        let prefill = self.backlog + tokens * self.token_time / self.engines;
        (prefill / self.free_part) as Micros
    }
}

impl Pool {
    /// Tokens of a prompt that have to be prefilled: neither cached by an engine nor of a part
    /// that a waiting request has too.
    pub(super) fn tokens_to_prefill(&self, now: Micros, ask: &Ask) -> f64 {
        let cached = self.max_cached(&self.prompt(now, ask));
        let mut tokens = ask.prompt.saturating_sub(cached);
        let mut before = 0;
        for part in &ask.parts {
            if before >= cached && self.prefills.includes(part.id) {
                tokens = tokens.saturating_sub(part.tokens);
            }
            before += part.tokens;
        }
        f64::from(tokens)
    }

    /// What the usable engines prefill for requests of a tier; `None` if there are none.
    fn capacity(&self, now: Micros, tier: u8) -> Option<Capacity> {
        let (mut backlog, mut speed, mut engines) = (0.0, 0.0, 0.0);
        for (_, server) in self.servers() {
            if server.leaving() || server.next_probe().is_some() {
                continue;
            }
            let engine = server.engine();
            backlog += engine.wait(now, tier) as f64;
            speed += 1.0 / engine.token_time();
            engines += 1.0;
        }
        let is_usable = engines > 0.0;
        is_usable.then(|| Capacity {
            backlog: backlog / engines,
            token_time: engines / speed,
            engines,
            free_part: self.prefilled.free_part(tier),
        })
    }

    /// Expected wait of a request with `tokens` tokens to prefill.
    fn prefill_wait(&self, now: Micros, ask: &Ask, tokens: f64) -> Option<Micros> {
        let tier = self.policy.tier(ask.class);
        let capacity = self.capacity(now, tier)?;
        let ahead = self.prefills.ahead(&self.policy, tier, ask.workspace, tokens);
        Some(capacity.wait(ahead))
    }

    /// Expected wait of a request that is served after all others of its tier.
    pub(super) fn tier_wait(&self, now: Micros, tier: u8) -> Option<Micros> {
        let capacity = self.capacity(now, tier)?;
        let ahead = self.prefills.through(tier);
        Some(capacity.wait(ahead))
    }

    /// Time from the begin of its prefill to the end of a request with `tokens` tokens to prefill.
    fn run_time(&self, now: Micros, ask: &Ask, tokens: f64) -> Option<Micros> {
        let token_time = self.capacity(now, self.policy.tier(ask.class))?.token_time;
        let events = if ask.output > 0 {
            let event_tokens = self.profile().map_or(1, |profile| profile.event_tokens.max(1));
            f64::from(ask.output) / f64::from(event_tokens)
        } else {
            self.lengths.mean(ask.class).unwrap_or(0.0)
        };
        let sensitivity = self.sensitivity(now, ask.class);
        let gap = self.typical_gap(now, sensitivity).unwrap_or_else(|| self.mean_gap());
        Some((tokens * token_time + events * OUTPUT_FRACTION * gap) as Micros)
    }

    /// The last moment at which a request may begin to be prefilled and still be answered in time;
    /// `None` if it is never refused for that.
    pub(super) fn latest_start(&self, now: Micros, ask: &Ask, tokens: f64) -> Option<Micros> {
        if ask.has_begun() || !self.policy.switches.unmeetable || !self.has_slack(now) {
            return None;
        }
        Some(ask.deadline?.saturating_sub(self.run_time(now, ask, tokens)?))
    }

    /// Whether a new request is expected to end after its caller stops waiting. None is while a
    /// slot is free and nothing waits, or while a lower tier could yield.
    pub(super) fn is_unmeetable(&self, now: Micros, ask: &Ask) -> bool {
        let idle = self.queue.is_empty() && self.free(now) > 0;
        if self.settling(now) || idle || self.lower_may_yield(self.policy.tier(ask.class)) {
            return false;
        }
        let tokens = self.tokens_to_prefill(now, ask);
        let latest = self.latest_start(now, ask, tokens);
        let wait = self.prefill_wait(now, ask, tokens);
        latest.zip(wait).is_some_and(|(latest, wait)| now + wait > latest)
    }

    /// Refuses the waiting requests that would end too late even if they began now, unless a lower
    /// tier could yield.
    pub(super) fn refuse_unmeetable(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if self.settling(now) || !self.policy.switches.unmeetable {
            return;
        }
        let late: Vec<Key> =
            self.latest_starts.range(..(now, Key(0))).map(|(_, key)| *key).collect();
        for key in late {
            let Some(waiting) = self.waiting_at(key) else { continue };
            // Its answer may have begun at another dispatcher since it was queued.
            if waiting.ask.has_begun() || self.lower_may_yield(waiting.tier) {
                continue;
            }
            if let Some(waiting) = self.remove_waiting(key) {
                orders.push(self.refusal(now, &waiting.ask, Refusal::Unmeetable, 0));
            }
        }
    }

    /// When a refused caller finds capacity; `None` in a pool without slack. It is no later than it
    /// waits for a second attempt.
    pub(super) fn retry_after(&self, now: Micros, ask: &Ask) -> Option<Micros> {
        self.read_ahead_limit(now)?;
        let wait = self.prefill_wait(now, ask, f64::from(ask.prompt))?.max(MIN_RETRY_AFTER);
        let longest = ask.deadline.map(|at| at.saturating_sub(now) / RETRY_FRACTION);
        let longest = longest.unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER) as f64;
        let shortest = (wait as f64).min(longest / (1.0 + RETRY_SPREAD));
        let hash = xxh3_64(&ask.id.to_le_bytes()) as f64 / u64::MAX as f64;
        Some((shortest * (1.0 + RETRY_SPREAD * hash)).min(longest) as Micros)
    }
}
