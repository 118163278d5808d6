//! Which classes are delay-tolerant, depending on what their prompts do to other streams.

use super::Pool;
use crate::{
    ask::Ask,
    engine::{DEFAULT_TOKEN_TIME, INTERFERENCE_THRESHOLD},
    outlier,
    policy::ClassKey,
    server::Sensitivity,
    time::{Micros, SECOND},
};

/// How long a class counts as in use after its last request.
const RECENT_DEMAND: Micros = 30 * SECOND;
/// Weight of a new sample in the mean prompt length of a class.
const PROMPT_SMOOTHING: f64 = 0.05;

/// Recent demand of a class.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Time of its last request.
    at: Micros,
    /// Mean prompt length in tokens.
    prompt: f64,
    /// Recent number of requests, decayed to `at`.
    requests: f64,
}

impl Demand {
    /// Recent number of requests, decayed to `now`.
    fn requests_at(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.requests * (-age / RECENT_DEMAND as f64).exp()
    }
}

impl Pool {
    /// The classes with recent requests.
    pub(super) fn recent_classes(&self, now: Micros) -> impl Iterator<Item = ClassKey> {
        let recent = self.demand.iter().filter(move |(_, demand)| now < demand.at + RECENT_DEMAND);
        recent.map(|(class, _)| *class)
    }

    /// The classes with recent requests, with the recent number of each.
    pub(super) fn recent_demand(&self, now: Micros) -> Vec<(ClassKey, f64)> {
        let recent = self.demand.iter().filter(|(_, demand)| now < demand.at + RECENT_DEMAND);
        recent.map(|(class, demand)| (*class, demand.requests_at(now))).collect()
    }

    /// The sensitivity of the streams of a class.
    pub(super) fn sensitivity(&self, now: Micros, class: ClassKey) -> Sensitivity {
        if self.is_tolerant(now, class) { Sensitivity::Tolerant } else { Sensitivity::Sensitive }
    }

    /// Whether a class is delay-tolerant and kept apart from the class with the smallest gap
    /// target: its own target is larger, and its prompts delay the streams beside them too long.
    /// Only classes with recent requests are compared: those of other pools and of unused routes do
    /// not count.
    pub(super) fn is_tolerant(&self, now: Micros, key: ClassKey) -> bool {
        let Some(tightest) = self.tightest_gap(now).filter(|_| self.policy.switches.sides) else {
            return false;
        };
        let prompt = self.demand.get(&key).map_or(0.0, |demand| demand.prompt);
        let delay = prompt * self.typical_token_time.unwrap_or(DEFAULT_TOKEN_TIME);
        self.policy.class(key).token_gap > tightest
            && delay > tightest as f64 * INTERFERENCE_THRESHOLD
    }

    /// Whether both delay-tolerant and delay-sensitive classes had requests recently. With one kind
    /// alone, no engine is kept free for the other.
    pub(super) fn has_mixed_demand(&self, now: Micros) -> bool {
        let mut tolerant = self.recent_classes(now).map(|class| self.is_tolerant(now, class));
        let Some(first) = tolerant.next() else {
            return false;
        };
        tolerant.any(|other| other != first)
    }

    /// The smallest gap target of the classes with recent requests.
    pub(super) fn tightest_gap(&self, now: Micros) -> Option<Micros> {
        let gaps = self.recent_classes(now).map(|class| self.policy.class(class).token_gap);
        gaps.filter(|gap| *gap > 0).min()
    }

    /// Records a request of a class.
    pub(super) fn record_demand(&mut self, now: Micros, ask: &Ask) {
        let prompt = f64::from(ask.prompt);
        let demand =
            self.demand.entry(ask.class).or_insert(Demand { at: now, prompt, requests: 0.0 });
        demand.requests = demand.requests_at(now) + 1.0;
        demand.at = now;
        demand.prompt += (prompt - demand.prompt) * PROMPT_SMOOTHING;
    }

    /// Updates the median of the engines' shortest times to prefill a token.
    pub(super) fn update_token_time(&mut self) {
        let seen: Vec<f64> =
            self.servers().filter_map(|(_, server)| server.engine().fastest_token_time()).collect();
        self.typical_token_time = (!seen.is_empty()).then(|| outlier::median(seen.into_iter()));
    }
}
