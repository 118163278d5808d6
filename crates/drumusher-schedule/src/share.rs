//! Fair shares between workspaces, and their own limits.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    policy::{Policy, WorkspaceKey},
    time::{Micros, SECOND},
};

/// Usage of one workspace in a pool.
#[derive(Debug, Default, Clone)]
pub struct Usage {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Tokens in the rate limit's bucket at `refilled`.
    tokens: f64,
    /// When `tokens` was last refilled; 0 before the first use.
    refilled: Micros,
}

/// Virtual token counters by tier, and usage against limits.
#[derive(Debug, Default)]
pub struct FairShare {
    counters: HashMap<(u8, WorkspaceKey), f64>,
    /// Workspaces with waiting requests, by tier and counter. Counters are never negative, so their
    /// bits sort like their values.
    active: BTreeMap<u8, BTreeSet<(u64, WorkspaceKey)>>,
    usage: HashMap<WorkspaceKey, Usage>,
}

impl FairShare {
    /// Counters without any usage.
    pub fn new() -> Self {
        FairShare::default()
    }

    /// The virtual counter of a workspace in a tier.
    pub fn counter(&self, tier: u8, workspace: WorkspaceKey) -> f64 {
        self.counters.get(&(tier, workspace)).copied().unwrap_or(0.0)
    }

    /// Marks a workspace as waiting. Its counter is raised to the lowest of the waiting ones, so
    /// that idle time earns no credit.
    pub fn activate(&mut self, tier: u8, workspace: WorkspaceKey) {
        let active = self.active.entry(tier).or_default();
        let lowest = active.first().map_or(0.0, |(bits, _)| f64::from_bits(*bits));
        let counter = self.counters.entry((tier, workspace)).or_insert(0.0);
        if active.contains(&(counter.to_bits(), workspace)) {
            return;
        }
        *counter = counter.max(lowest);
        active.insert((counter.to_bits(), workspace));
    }

    /// Removes a workspace from the waiting ones.
    pub fn deactivate(&mut self, tier: u8, workspace: WorkspaceKey) {
        let bits = self.counter(tier, workspace).to_bits();
        if let Some(active) = self.active.get_mut(&tier) {
            active.remove(&(bits, workspace));
        }
    }

    /// The waiting workspaces of a tier, least served first.
    pub fn active(&self, tier: u8) -> impl Iterator<Item = WorkspaceKey> + '_ {
        let active = self.active.get(&tier).into_iter().flatten();
        active.map(|(_, workspace)| *workspace)
    }

    /// Charges `tokens` to a workspace; a negative number corrects an estimate.
    pub fn charge(&mut self, policy: &Policy, tier: u8, workspace: WorkspaceKey, tokens: f64) {
        let counter = self.counters.entry((tier, workspace)).or_insert(0.0);
        let before = counter.to_bits();
        *counter = (*counter + tokens / policy.weight(workspace)).max(0.0);
        let after = counter.to_bits();
        let Some(active) = self.active.get_mut(&tier) else {
            return;
        };
        if active.remove(&(before, workspace)) {
            active.insert((after, workspace));
        }
    }

    /// The usage of a workspace.
    pub fn usage(&mut self, workspace: WorkspaceKey) -> &mut Usage {
        self.usage.entry(workspace).or_default()
    }

    /// Takes `tokens` from the bucket of a workspace's rate limit.
    pub fn consume(&mut self, policy: &Policy, workspace: WorkspaceKey, tokens: f64, now: Micros) {
        let rate = rate(policy, workspace);
        if rate == 0.0 {
            return;
        }
        let usage = self.usage(workspace);
        usage.refill(rate, now);
        usage.tokens -= tokens;
    }

    /// Whether the limits of a workspace allow it to start another request now.
    pub fn is_within_limits(&self, policy: &Policy, workspace: WorkspaceKey, now: Micros) -> bool {
        let limit = policy.workspace(workspace).map_or(0, |w| w.concurrency);
        let rate = rate(policy, workspace);
        let Some(usage) = self.usage.get(&workspace) else {
            return true;
        };
        let below = limit == 0 || usage.running < limit;
        below && (rate == 0.0 || usage.tokens_at(rate, now) > 0.0)
    }
}

fn rate(policy: &Policy, workspace: WorkspaceKey) -> f64 {
    policy.workspace(workspace).map_or(0.0, |w| f64::from(w.tokens_per_second))
}

impl Usage {
    /// Tokens in the bucket at `now`; it holds one second's worth.
    fn tokens_at(&self, rate: f64, now: Micros) -> f64 {
        if self.refilled == 0 {
            return rate;
        }
        let elapsed = now.saturating_sub(self.refilled) as f64 / SECOND as f64;
        (self.tokens + elapsed * rate).min(rate)
    }

    fn refill(&mut self, rate: f64, now: Micros) {
        self.tokens = self.tokens_at(rate, now);
        self.refilled = now.max(1);
    }
}
