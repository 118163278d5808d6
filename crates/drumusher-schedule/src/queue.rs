//! The queue of waiting requests: by tier, then workspace, then deadline.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    ask::{Key, Part},
    policy::{ClassKey, Policy, WorkspaceKey},
    time::Micros,
};

/// Position of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Tier of the request.
    pub tier: u8,
    /// Workspace that is charged for it.
    pub workspace: WorkspaceKey,
    /// Request class.
    pub class: ClassKey,
    /// When the first token is due, which orders requests within a workspace.
    pub deadline: Micros,
    /// When the caller's request first arrived.
    pub arrived: Micros,
    /// Whether it is before the other requests of its tier.
    pub is_first: bool,
}

/// Requests of one workspace in one tier, by deadline.
type WorkspaceQueue = BTreeMap<(Micros, Key), Key>;

/// Tokens to prefill for the waiting requests.
#[derive(Debug, Default)]
pub struct Prefills {
    /// Tokens and number of requests, by tier and workspace.
    tokens: BTreeMap<u8, BTreeMap<WorkspaceKey, (f64, usize)>>,
    /// Number of waiting requests with each part.
    parts: HashMap<u64, usize>,
}

impl Prefills {
    /// Adds a request with a prompt of these parts, of which `tokens` have to be prefilled.
    pub fn insert(&mut self, tier: u8, workspace: WorkspaceKey, parts: &[Part], tokens: f64) {
        let workspaces = self.tokens.entry(tier).or_default();
        let (sum, requests) = workspaces.entry(workspace).or_default();
        *sum += tokens;
        *requests += 1;
        for part in parts {
            *self.parts.entry(part.id).or_default() += 1;
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, tier: u8, workspace: WorkspaceKey, parts: &[Part], tokens: f64) {
        let Some(workspaces) = self.tokens.get_mut(&tier) else {
            return;
        };
        if let Some((sum, requests)) = workspaces.get_mut(&workspace) {
            *sum -= tokens;
            *requests -= 1;
            if *requests == 0 {
                workspaces.remove(&workspace);
            }
        }
        for part in parts {
            if let Some(requests) = self.parts.get_mut(&part.id) {
                *requests -= 1;
                if *requests == 0 {
                    self.parts.remove(&part.id);
                }
            }
        }
    }

    /// Whether a waiting request has this part, so that it will be cached before a later one runs.
    pub fn includes(&self, part: u64) -> bool {
        self.parts.contains_key(&part)
    }

    /// Tokens to prefill of a tier and all higher tiers.
    pub fn through(&self, tier: u8) -> f64 {
        let workspaces = self.tokens.range(..=tier).flat_map(|(_, workspaces)| workspaces.values());
        workspaces.map(|(tokens, _)| tokens).sum()
    }

    /// Tokens to prefill before a further request with `tokens` tokens: all of more urgent tiers,
    /// and in its own tier no more of another workspace than of its own, by their weights.
    pub fn ahead(&self, policy: &Policy, tier: u8, workspace: WorkspaceKey, tokens: f64) -> f64 {
        let more_urgent = self.tokens.range(..tier).flat_map(|(_, workspaces)| workspaces.values());
        let more_urgent: f64 = more_urgent.map(|(tokens, _)| tokens).sum();
        let Some(workspaces) = self.tokens.get(&tier) else {
            return more_urgent;
        };
        let own = workspaces.get(&workspace).map_or(0.0, |(tokens, _)| *tokens);
        let served = (own + tokens) / policy.weight(workspace);
        let others = workspaces.iter().filter(|(other, _)| **other != workspace);
        let before = |(other, (tokens, _)): (&WorkspaceKey, &(f64, usize))| {
            tokens.min(served * policy.weight(*other))
        };
        more_urgent + own + others.map(before).sum::<f64>()
    }
}

/// All waiting requests of a pool.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: BTreeMap<u8, BTreeMap<WorkspaceKey, WorkspaceQueue>>,
    /// Requests by class and arrival; only classes with waiting requests.
    classes: BTreeMap<ClassKey, BTreeMap<(Micros, Key), Key>>,
    /// Requests that are before the others of their tier, by arrival.
    first: BTreeMap<u8, BTreeSet<(Micros, Key)>>,
    len: usize,
    tier_lens: BTreeMap<u8, usize>,
}

impl Queue {
    /// An empty queue.
    pub fn new() -> Self {
        Queue::default()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting requests of a class.
    pub fn class_len(&self, class: ClassKey) -> usize {
        self.classes.get(&class).map_or(0, BTreeMap::len)
    }

    /// Number of waiting requests of `tier` and all higher tiers.
    pub fn len_through_tier(&self, tier: u8) -> usize {
        self.tier_lens.range(..=tier).map(|(_, len)| len).sum()
    }

    /// Number of waiting requests by tier, including tiers without any that had some before.
    pub fn tier_lens(&self) -> impl Iterator<Item = (u8, usize)> + '_ {
        self.tier_lens.iter().map(|(tier, len)| (*tier, *len))
    }

    /// Adds a request.
    pub fn insert(&mut self, position: Position, key: Key) {
        let tier = self.tiers.entry(position.tier).or_default();
        let requests = tier.entry(position.workspace).or_default();
        requests.insert((position.deadline, key), key);
        let class = self.classes.entry(position.class).or_default();
        class.insert((position.arrived, key), key);
        if position.is_first {
            self.first.entry(position.tier).or_default().insert((position.arrived, key));
        }
        *self.tier_lens.entry(position.tier).or_default() += 1;
        self.len += 1;
    }

    /// Removes a request.
    pub fn remove(&mut self, position: Position, key: Key) {
        let Some(tier) = self.tiers.get_mut(&position.tier) else {
            return;
        };
        let Some(requests) = tier.get_mut(&position.workspace) else {
            return;
        };
        if requests.remove(&(position.deadline, key)).is_none() {
            return;
        }
        if requests.is_empty() {
            tier.remove(&position.workspace);
        }
        if let Some(class) = self.classes.get_mut(&position.class) {
            class.remove(&(position.arrived, key));
            if class.is_empty() {
                self.classes.remove(&position.class);
            }
        }
        if let Some(first) = self.first.get_mut(&position.tier) {
            first.remove(&(position.arrived, key));
        }
        *self.tier_lens.entry(position.tier).or_default() -= 1;
        self.len -= 1;
    }

    /// Tiers with waiting requests, highest first.
    pub fn tiers(&self) -> impl Iterator<Item = u8> + '_ {
        self.tier_lens.iter().filter(|(_, len)| **len > 0).map(|(tier, _)| *tier)
    }

    /// Requests that are before the others of their tier, in order of arrival.
    pub fn first_of_tier(&self, tier: u8) -> impl Iterator<Item = Key> + '_ {
        self.first.get(&tier).into_iter().flatten().map(|(_, key)| *key)
    }

    /// Workspaces with waiting requests in a tier, with the number of requests of each.
    pub fn workspaces(&self, tier: u8) -> impl Iterator<Item = (WorkspaceKey, usize)> + '_ {
        let workspaces = self.tiers.get(&tier).into_iter().flatten();
        workspaces.map(|(workspace, requests)| (*workspace, requests.len()))
    }

    /// Whether a workspace has waiting requests in a tier.
    pub fn contains(&self, tier: u8, workspace: WorkspaceKey) -> bool {
        self.tiers.get(&tier).is_some_and(|workspaces| workspaces.contains_key(&workspace))
    }

    /// Requests of a workspace with a deadline of `earliest` or later, earliest deadline first.
    pub fn by_deadline(
        &self,
        tier: u8,
        workspace: WorkspaceKey,
        earliest: Micros,
    ) -> impl Iterator<Item = Key> + '_ {
        let requests = self.tiers.get(&tier).and_then(|workspaces| workspaces.get(&workspace));
        let due =
            requests.into_iter().flat_map(move |requests| requests.range((earliest, Key(0))..));
        due.map(|(_, key)| *key)
    }

    /// The earliest deadline of a workspace in a tier.
    pub fn first_deadline(&self, tier: u8, workspace: WorkspaceKey) -> Option<Micros> {
        let requests = self.tiers.get(&tier)?.get(&workspace)?;
        requests.keys().next().map(|(deadline, _)| *deadline)
    }

    /// Requests of a workspace in a tier, latest deadline first.
    pub fn by_latest_deadline(
        &self,
        tier: u8,
        workspace: WorkspaceKey,
    ) -> impl Iterator<Item = Key> + '_ {
        let requests = self.tiers.get(&tier).and_then(|workspaces| workspaces.get(&workspace));
        requests.into_iter().flat_map(|requests| requests.values().rev().copied())
    }

    /// Classes with waiting requests. Decisions iterate over these and not over all configured
    /// classes: with 12,600 classes (4,200 routes with three workspace ranks), a request took 326
    /// µs, and 4 µs this way.
    pub fn classes(&self) -> impl Iterator<Item = ClassKey> + '_ {
        self.classes.keys().copied()
    }

    /// Requests of a class in order of arrival.
    pub fn by_arrival(&self, class: ClassKey) -> impl Iterator<Item = Key> + '_ {
        let requests = self.classes.get(&class);
        requests.into_iter().flat_map(|requests| requests.values().copied())
    }

    /// The request of a class that arrived first.
    pub fn first_arrival(&self, class: ClassKey) -> Option<Key> {
        self.by_arrival(class).next()
    }
}
