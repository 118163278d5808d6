//! Granting free slots to waiting requests.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Pool,
    placement::Placement,
    scope::{Availability, Scope},
};
use crate::{
    ask::{Ask, Id, Key, Running, State, Waiting},
    engine::Prefill,
    order::{Choice, Order},
    policy::{ClassKey, WorkspaceKey},
    region,
    server::{self, Server, Urgency},
    time::{MILLISECOND, Micros},
    version,
};

/// One grant in this many goes to the most urgent request even if it is late, so that late requests
/// are not starved.
const LATE_GRANT_INTERVAL: u64 = 16;
/// Maximum workspaces searched for a request that can still meet its deadline.
const MAX_WORKSPACES: usize = 32;
/// Factor on the expected time to the first token, for a request to count as able to meet its
/// deadline.
const FIRST_TOKEN_MARGIN: f64 = 2.0;
/// Maximum requests skipped in one round of grants.
const MAX_SKIPPED: usize = 64;

/// Maximum kinds of requests found without capacity in one round of grants. They differ in urgency,
/// memory, regions, software versions and entry instances with a cooldown.
const MAX_BLOCKED: usize = 64;

/// Relative cost added for a failure rate of 1: a failing backend server loses to one that is as
/// busy, but not to one that is half as busy again.
const FAILURE_WEIGHT: f64 = 1.0;

impl Pool {
    /// Grants until no slot is free or no request may use it.
    pub(super) fn grant_free_slots(&mut self, now: Micros, orders: &mut Vec<Order>) {
        self.skip_awaiting(now);
        self.grant_probe(now, orders);
        while self.free(now) > 0 {
            let due = self.reserved_class_due();
            let reserved_request = due.and_then(|class| self.next_of_class(now, class));
            let reserved = reserved_request.is_some();
            let Some(key) = reserved_request.or_else(|| self.next_request(now)) else {
                break;
            };
            if self.note_blocked(now, key) {
                if self.blocked.len() == MAX_BLOCKED {
                    break;
                }
                continue;
            }
            let granted = self.grant(now, key, Availability::Free, reserved, orders);
            if !granted && !self.skip(now, key) {
                break;
            }
        }
        self.skipped.clear();
        self.blocked.clear();
    }

    /// Skips a request that has no slot because the free backend servers are in cooldown for its
    /// entry instance, or in regions or of software versions in which it may not run, or because it waits for a copy.
    /// Returns whether that is the reason.
    fn skip(&mut self, now: Micros, key: Key) -> bool {
        if self.awaiting.contains(key) {
            return self.skipped.insert(key);
        }
        let excluded = self.waiting_at(key).is_some_and(|waiting| {
            let ask = &waiting.ask;
            self.cooldowns.any_active(now, ask.entry)
                || self.regions(ask) != region::Set::All
                || ask.versions != version::Set::All
        });
        excluded
            && self.skipped.len() < MAX_SKIPPED + self.awaiting.len()
            && self.skipped.insert(key)
    }

    /// The backend servers that are eligible for a request.
    pub(super) fn scope(&self, ask: &Ask, availability: Availability) -> Scope {
        Scope { availability, regions: self.regions(ask), versions: ask.versions }
    }

    /// The regions in which a request may run.
    pub(super) fn regions(&self, ask: &Ask) -> region::Set {
        self.policy.regions(ask.class, ask.workspace)
    }

    /// The class that is due a grant on its reserved capacity and is not of the highest waiting
    /// tier.
    fn reserved_class_due(&self) -> Option<ClassKey> {
        if !self.policy.switches.floor {
            return None;
        }
        let highest = self.queue.tiers().next()?;
        let mut due = self.queue.classes().filter(|class| {
            let credit = self.reserved_credit.get(class).copied().unwrap_or(0.0);
            credit > 0.0
                && self.policy.tier(*class) > highest
                && self.next_cost(*class).is_some_and(|cost| credit >= cost)
        });
        due.next()
    }

    /// Expected tokens of the class's next request on its reserved capacity.
    fn next_cost(&self, class: ClassKey) -> Option<f64> {
        let waiting = self.waiting_at(self.queue.first_arrival(class)?)?;
        Some(self.remaining_tokens(&waiting.ask))
    }

    /// Expected remaining output tokens of a request.
    pub(super) fn remaining_tokens(&self, ask: &Ask) -> f64 {
        f64::from(self.lengths.remaining(ask.class, ask.workspace, ask.produced))
    }

    fn next_of_class(&self, now: Micros, class: ClassKey) -> Option<Key> {
        if self.is_tier_blocked(self.policy.tier(class)) {
            return None;
        }
        let key = self.queue.by_arrival(class).find(|key| self.is_candidate(now, *key))?;
        let workspace = self.waiting_at(key)?.ask.workspace;
        self.share.is_within_limits(&self.policy, workspace, now).then_some(key)
    }

    /// The next request to grant: highest tier, least served workspace, earliest deadline that can
    /// still be met.
    fn next_request(&self, now: Micros) -> Option<Key> {
        let next = |tier| {
            let first = self.first_in_tier(now, tier);
            first.or_else(|| {
                let open = !self.is_tier_blocked(tier);
                open.then(|| self.next_in_tier(now, tier)).flatten()
            })
        };
        self.queue.tiers().find_map(next)
    }

    /// The next request of a tier of those that continue after a failure.
    fn first_in_tier(&self, now: Micros, tier: u8) -> Option<Key> {
        let allowed = |key: &Key| {
            let workspace = self.waiting_at(*key).map(|waiting| waiting.ask.workspace);
            workspace.is_some_and(|w| self.share.is_within_limits(&self.policy, w, now))
        };
        let mut first = self.queue.first_of_tier(tier);
        first.find(|key| allowed(key) && self.is_candidate(now, *key))
    }

    fn next_in_tier(&self, now: Micros, tier: u8) -> Option<Key> {
        if !self.policy.switches.fairness {
            return self.most_urgent(now, tier);
        }
        let late_turn = self.grants % LATE_GRANT_INTERVAL == LATE_GRANT_INTERVAL - 1;
        let earliest = if late_turn || !self.policy.switches.deadlines {
            0
        } else {
            now + self.expected_first_token()
        };
        let in_time = self.least_served(now, tier, earliest);
        in_time.or_else(|| self.least_served(now, tier, 0))
    }

    /// Expected time from a grant to its first token.
    fn expected_first_token(&self) -> Micros {
        let known = self.servers().filter_map(|(_, server)| server.known_first_token());
        let shortest = known.min_by(f64::total_cmp).unwrap_or(MILLISECOND as f64);
        (shortest * FIRST_TOKEN_MARGIN) as Micros
    }

    /// The most urgent request with a deadline of `earliest` or later of the least served workspace
    /// that has one and is within its limits.
    fn least_served(&self, now: Micros, tier: u8, earliest: Micros) -> Option<Key> {
        let within_limits =
            |workspace: &WorkspaceKey| self.share.is_within_limits(&self.policy, *workspace, now);
        let max_workspaces = if earliest > 0 { MAX_WORKSPACES } else { usize::MAX };
        let workspaces = self.share.active(tier).filter(within_limits).take(max_workspaces);
        let mut keys = workspaces.filter_map(|w| self.next_in_workspace(now, tier, w, earliest));
        keys.next()
    }

    /// The most urgent request of a tier, whatever its workspace has used.
    fn most_urgent(&self, now: Micros, tier: u8) -> Option<Key> {
        let workspaces = self.queue.workspaces(tier).map(|(workspace, _)| workspace);
        let within_limits =
            workspaces.filter(|w| self.share.is_within_limits(&self.policy, *w, now));
        let first = within_limits.min_by_key(|w| self.queue.first_deadline(tier, *w))?;
        self.next_in_workspace(now, tier, first, 0)
    }

    /// Whether a waiting request was neither skipped in this round of grants nor found without
    /// capacity.
    fn is_candidate(&self, now: Micros, key: Key) -> bool {
        !self.skipped.contains(&key) && !self.is_blocked(now, key)
    }

    /// The request of a workspace with the earliest deadline not before `earliest` that is a
    /// candidate.
    fn next_in_workspace(
        &self,
        now: Micros,
        tier: u8,
        workspace: WorkspaceKey,
        earliest: Micros,
    ) -> Option<Key> {
        let mut keys = self.queue.by_deadline(tier, workspace, earliest);
        keys.find(|key| self.is_candidate(now, *key))
    }

    /// Sends a request as a probe to a backend server that needs one.
    fn grant_probe(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if let Some(key) = self.next_probe_request(now) {
            let availability = Availability::Probe(self.probe_urgency());
            self.grant(now, key, availability, true, orders);
        }
    }

    /// The request for a probe that is due: a repeatable one of the lowest waiting tier. The
    /// highest tier is spared unless the probe is overdue. While no backend server is healthy, the
    /// next request is used, repeatable or not, since it has no better choice.
    fn next_probe_request(&self, now: Micros) -> Option<Key> {
        if self.outage().is_some() {
            let urgency = self.probe_urgency();
            let due = self.servers().any(|(_, server)| server.may_probe(now, urgency));
            return due.then(|| self.next_request(now)).flatten();
        }
        let probes = |(_, server): &(server::Key, &Server)| server.may_probe(now, Urgency::Normal);
        let mut due = self.servers().filter(probes).peekable();
        due.peek()?;
        let lowest = self.queue.tiers().last()?;
        let spared = lowest == self.tiers.highest;
        if spared && !due.any(|(_, server)| server.probe_overdue(now)) {
            return None;
        }
        let key = self.next_in_tier(now, lowest)?;
        self.waiting_at(key)?.ask.repeatable.then_some(key)
    }

    /// How soon backend servers that are down are probed: sooner while all are, and callers wait for the rest of an
    /// answer.
    fn probe_urgency(&self) -> Urgency {
        let urgent = self.begun_waiting > 0 && self.outage().is_some();
        if urgent { Urgency::Begun } else { Urgency::Normal }
    }

    fn grant(
        &mut self,
        now: Micros,
        key: Key,
        availability: Availability,
        reserved: bool,
        orders: &mut Vec<Order>,
    ) -> bool {
        let Some(waiting) = self.waiting_at(key) else {
            return false;
        };
        let ask = waiting.ask.clone();
        let scope = self.scope(&ask, availability);
        let Some(placement) = self.choose_server(now, &ask, scope) else {
            return false;
        };
        if availability == Availability::Free && self.awaits_copy(now, key, &ask, scope, &placement)
        {
            return false;
        }
        let Placement { server, prefill, source, expected } = placement;
        let Some(waiting) = self.remove_waiting(key) else {
            return false;
        };
        let urgency = self.urgency_order(now, &waiting.ask);
        let choice = self.choice(&waiting.ask, server, availability, reserved);
        orders.push(Order::Grant {
            id: waiting.ask.id,
            entry: waiting.ask.entry,
            server,
            source,
            expected,
            urgency,
            choice,
            waited: now.saturating_sub(waiting.since),
            overtaken: self.grants - waiting.grants_before,
        });
        self.grants += 1;
        self.count_prompt(now, &waiting.ask, server, prefill);
        let cost = self.remaining_tokens(&waiting.ask);
        self.credit_classes(waiting.ask.class, cost, reserved);
        self.start_running(now, waiting, server, prefill, reserved);
        if let (Availability::Probe(_), Some(server)) = (availability, self.server_mut(server)) {
            server.note_probe(now);
        }
        true
    }

    /// Repeats the grant of a request whose attempt has not started.
    pub(super) fn repeat_grant(&mut self, now: Micros, id: Id, orders: &mut Vec<Order>) {
        let Some((_, running)) = self.running_mut(id) else {
            return;
        };
        running.last_report = now;
        let ask = running.ask.clone();
        let urgency = self.urgency_order(now, &ask);
        let Some((_, running)) = self.running_mut(id) else {
            return;
        };
        orders.push(Order::Grant {
            id,
            entry: running.ask.entry,
            server: running.server,
            source: None,
            expected: 0,
            urgency,
            choice: if running.reserved { Choice::Floor } else { Choice::LeastLoaded },
            waited: 0,
            overtaken: 0,
        });
    }

    fn choice(
        &self,
        ask: &Ask,
        server: server::Key,
        availability: Availability,
        reserved: bool,
    ) -> Choice {
        let has_prefix = self.servers[usize::from(server.0)]
            .as_ref()
            .is_some_and(|server| server.has_prefix(ask.prefix));
        match (availability, reserved, has_prefix) {
            (Availability::Probe(_), _, _) => Choice::Probe,
            (_, true, _) => Choice::Floor,
            (_, _, true) => Choice::Prefix,
            _ => Choice::LeastLoaded,
        }
    }

    /// Credits the waiting classes with their part of a grant's expected tokens, and charges the
    /// class for what it was granted on its reserved capacity.
    fn credit_classes(&mut self, class: ClassKey, cost: f64, reserved: bool) {
        let before = std::mem::take(&mut self.reserved_credit);
        for waiting in self.queue.classes() {
            let every = self.policy.class(waiting).floor_every;
            if every == 0 {
                continue;
            }
            let credit = before.get(&waiting).copied().unwrap_or(0.0);
            let part = if waiting == class { 0.0 } else { cost / f64::from(every) };
            self.reserved_credit.insert(waiting, credit + part);
        }
        if reserved && let Some(credit) = self.reserved_credit.get_mut(&class) {
            *credit = (*credit - cost).max(0.0);
        }
    }

    /// The backend server in scope with the lowest cost, avoiding that of the last failure if
    /// possible. Of equal ones it is a random one, by the request's identity: an idle server is not
    /// left unused while requests come one after the other, and no server gets all those of one entry
    /// when several take turns.
    fn choose_server(&mut self, now: Micros, ask: &Ask, scope: Scope) -> Option<Placement> {
        if !ask.parts.is_empty() {
            return self.choose_engine(now, ask, scope);
        }
        let prefix = if self.policy.switches.affinity { ask.prefix } else { 0 };
        let typical_gap = self.mean_gap();
        let room = self.room_in(now, ask, scope);
        let mut best: Option<(bool, bool, f64, u64, server::Key)> = None;
        for (key, server) in self.servers() {
            if !scope.includes(server, now) || self.cooldowns.is_active(now, ask.entry, key) {
                continue;
            }
            if room.is_some_and(|room| !room.is_in(now, server)) {
                continue;
            }
            let (anti_affine, avoided) = (ask.anti_affinity.contains(&key), ask.avoid == Some(key));
            let failure_rate = server.failure_rate(now).unwrap_or(0.0);
            let cost = server.cost(ask.prompt, prefix, typical_gap)
                * (1.0 + FAILURE_WEIGHT * failure_rate);
            let draw = xxh3_64_with_seed(&key.0.to_le_bytes(), ask.id as u64);
            let order = (anti_affine, avoided, cost, draw);
            if best.is_none_or(|(b, a, c, d, _)| order < (b, a, c, d)) {
                best = Some((anti_affine, avoided, cost, draw, key));
            }
        }
        let (.., server) = best?;
        Some(Placement { server, prefill: Prefill::default(), source: None, expected: 0 })
    }

    /// Mean time between tokens over the backend servers with samples.
    pub(super) fn mean_gap(&self) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        for (_, server) in self.servers() {
            if let Some(gap) = server.estimated_gap() {
                sum += gap;
                count += 1.0;
            }
        }
        if count == 0.0 { MILLISECOND as f64 } else { sum / count }
    }

    /// Tokens for which a workspace is charged for a prompt: in a pool with slack, the time that an
    /// engine is busy with it, in tokens to prefill; otherwise all of it.
    fn prompt_work(&self, now: Micros, ask: &Ask, server: server::Key, prefill: Prefill) -> f64 {
        let engine = self.server_at(server).map(Server::engine);
        match engine.filter(|_| !ask.parts.is_empty() && self.has_slack(now)) {
            Some(engine) => engine.prefill_time(prefill) / engine.token_time(),
            None => f64::from(ask.prompt),
        }
    }

    /// Adds a granted request to the running ones.
    pub(super) fn start_running(
        &mut self,
        now: Micros,
        waiting: Waiting,
        server: server::Key,
        prefill: Prefill,
        reserved: bool,
    ) {
        let Waiting { ask, tier, .. } = waiting;
        let charged = self.remaining_tokens(&ask);
        let policy = self.policy.clone();
        let prompt_tokens = f64::from(ask.prompt);
        let prompt_work = self.prompt_work(now, &ask, server, prefill);
        self.share.charge(&policy, tier, ask.workspace, prompt_work + charged);
        self.share.consume(&policy, ask.workspace, prompt_tokens, now);
        self.share.usage(ask.workspace).running += 1;
        let prompt = self.prompt(now, &ask);
        let tolerant = prompt.tolerant;
        let (urgency, memory) = (self.engine_urgency(now, &ask), self.memory_need(&ask));
        let profile = self.cache_profile(now);
        if let Some(server) = self.server_mut(server) {
            server.start(now, ask.prefix);
            let time = f64::from(prefill.tokens) * server.engine().token_time();
            let prefill_time = server.engine().prefill_time(prefill);
            server.engine_mut().set_profile(profile);
            server.engine_mut().start(now, ask.id, &prompt, prefill);
            server.engine_mut().backlog_mut().add(now, ask.id, urgency, prefill_time, memory);
            self.prefilled.record(urgency, prefill_time);
            self.partition.record(now, tolerant, time);
        }
        let is_preemptible = ask.repeatable && !reserved && ask.preemptions < policy.preemptions;
        let id = ask.id;
        let running = Running {
            tier,
            server,
            granted: now,
            last_report: now,
            started: false,
            has_first_token: false,
            produced: ask.produced,
            charged,
            reserved,
            stopping: false,
            tolerant,
            ask,
        };
        let key = Key(self.requests.insert(State::Running(running)) as u32);
        self.keys.insert(id, key);
        if is_preemptible {
            self.preemptible.entry(tier).or_default().insert((now, key));
        }
        if !reserved {
            *self.running_tiers.entry(tier).or_default() += 1;
        }
    }
}
