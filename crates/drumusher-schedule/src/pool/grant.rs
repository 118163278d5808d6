//! Giving free places to waiting requests.

use super::{Pool, place::Place, scope::Scope};
use crate::{
    ask::{Ask, Key, Running, State, Waiting},
    engine::Prefill,
    order::{Choice, Order},
    policy::{ClassKey, WorkspaceKey},
    server,
    time::{MILLISECOND, Micros},
};

/// One grant in so many goes to the most urgent request even if it is late, so that late ones are
/// served eventually.
const LATE_EVERY: u64 = 16;
/// Workspaces that are looked at for a request that can still be in time.
const LOOK: usize = 32;
/// Factor on the expected time to the first token, for a request to count as in time.
const FIRST_TOKEN_MARGIN: f64 = 2.0;
/// Requests that are passed over at most while free places are given away.
const MOST_PASSED_OVER: usize = 64;

/// What failing all of its requests lately adds to the cost of a backend server, as a part of it: it
/// loses to one that is as busy, and not to one that is half as busy again.
const FAILING: f64 = 1.0;

impl Pool {
    /// Grants until no place is free or nobody may use it.
    pub(super) fn fill(&mut self, now: Micros, orders: &mut Vec<Order>) {
        self.probe(now, orders);
        while self.free(now) > 0 {
            let due = self.floor_due();
            let floor = due.and_then(|class| self.next_of_class(now, class));
            let reserved = floor.is_some();
            let Some(key) = floor.or_else(|| self.next(now)) else {
                break;
            };
            let granted = self.grant(now, key, Scope::Free, reserved, orders);
            if !granted && !self.pass_over(now, key) {
                break;
            }
        }
        self.passed_over.clear();
    }

    /// Lets others go before a request that has no place since the free backend servers rest from its entry. Returns whether
    /// that is why.
    fn pass_over(&mut self, now: Micros, key: Key) -> bool {
        let entry = self.waiting_at(key).map(|waiting| waiting.ask.entry);
        let rests = entry.is_some_and(|entry| self.rests.any(now, entry));
        rests && self.passed_over.len() < MOST_PASSED_OVER && self.passed_over.insert(key)
    }

    /// The class whose reserved grant is due and not of the highest waiting tier.
    fn floor_due(&self) -> Option<ClassKey> {
        if !self.policy.switches.floor {
            return None;
        }
        let highest = self.queue.tiers().next()?;
        let mut due = self.queue.classes().filter(|class| {
            let credit = self.credit.get(class).copied().unwrap_or(0.0);
            credit > 0.0
                && self.policy.tier(*class) > highest
                && self.next_cost(*class).is_some_and(|cost| credit >= cost)
        });
        due.next()
    }

    /// Expected tokens of the class's next request on its reserved capacity.
    fn next_cost(&self, class: ClassKey) -> Option<f64> {
        let waiting = self.waiting_at(self.queue.first_arrival(class)?)?;
        Some(self.cost(&waiting.ask))
    }

    /// Expected tokens still to be produced for a request.
    fn cost(&self, ask: &Ask) -> f64 {
        f64::from(self.lengths.remaining(ask.class, ask.workspace, ask.produced))
    }

    fn next_of_class(&self, now: Micros, class: ClassKey) -> Option<Key> {
        let key = self.queue.by_arrival(class).find(|key| !self.passed_over.contains(key))?;
        let workspace = self.waiting_at(key)?.ask.workspace;
        self.share.is_within_limits(&self.policy, workspace, now).then_some(key)
    }

    /// The request whose turn it is: highest tier, least served workspace, earliest deadline
    /// among those that can still be met.
    fn next(&self, now: Micros) -> Option<Key> {
        let tiers: Vec<u8> = self.queue.tiers().collect();
        tiers.into_iter().find_map(|tier| self.next_in_tier(now, tier))
    }

    fn next_in_tier(&self, now: Micros, tier: u8) -> Option<Key> {
        if !self.policy.switches.fairness {
            return self.most_urgent(now, tier);
        }
        let late_turn = self.grants % LATE_EVERY == LATE_EVERY - 1;
        let earliest =
            if late_turn || !self.policy.switches.deadlines { 0 } else { now + self.first_token() };
        let in_time = self.least_served(now, tier, earliest);
        in_time.or_else(|| self.least_served(now, tier, 0))
    }

    /// Expected time from a grant to its first token.
    fn first_token(&self) -> Micros {
        let known = self.servers().filter_map(|(_, server)| server.known_first_token());
        let shortest = known.min_by(f64::total_cmp).unwrap_or(MILLISECOND as f64);
        (shortest * FIRST_TOKEN_MARGIN) as Micros
    }

    /// Of the workspaces that wait, least served first, the first that may run and has a request
    /// whose deadline is not before `reachable`: its most urgent one.
    fn least_served(&self, now: Micros, tier: u8, earliest: Micros) -> Option<Key> {
        let within_limits =
            |workspace: &WorkspaceKey| self.share.is_within_limits(&self.policy, *workspace, now);
        let most = if earliest > 0 { LOOK } else { usize::MAX };
        let workspaces = self.share.active(tier).filter(within_limits).take(most);
        let mut keys =
            workspaces.filter_map(|workspace| self.next_in_workspace(tier, workspace, earliest));
        keys.next()
    }

    /// The most urgent request of a tier, whatever its workspace has used.
    fn most_urgent(&self, now: Micros, tier: u8) -> Option<Key> {
        let workspaces = self.queue.workspaces(tier).map(|(workspace, _)| workspace);
        let within_limits =
            workspaces.filter(|w| self.share.is_within_limits(&self.policy, *w, now));
        let first = within_limits.min_by_key(|w| self.queue.first_deadline(tier, *w))?;
        self.next_in_workspace(tier, first, 0)
    }

    /// The request of a workspace with the earliest deadline not before `reachable` that was not passed over.
    fn next_in_workspace(
        &self,
        tier: u8,
        workspace: WorkspaceKey,
        earliest: Micros,
    ) -> Option<Key> {
        let mut keys = self.queue.by_deadline(tier, workspace, earliest);
        keys.find(|key| !self.passed_over.contains(key))
    }

    /// Sends a request to a backend server that is to be tried.
    fn probe(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if let Some(key) = self.next_probe(now) {
            self.grant(now, key, Scope::Probe, true, orders);
        }
    }

    /// The request for a probe that is due: a repeatable one of the lowest waiting tier. The
    /// highest tier is spared unless the probe is overdue. While no backend server is good there
    /// is nothing better for the request whose turn it is, repeatable or not.
    fn next_probe(&self, now: Micros) -> Option<Key> {
        let mut due = self.servers().filter(|(_, server)| server.may_probe(now)).peekable();
        due.peek()?;
        if self.outage().is_some() {
            return self.next(now);
        }
        let lowest = self.queue.tiers().last()?;
        let spared = lowest == self.tiers.highest;
        if spared && !due.any(|(_, server)| server.probe_overdue(now)) {
            return None;
        }
        let key = self.next_in_tier(now, lowest)?;
        self.waiting_at(key)?.ask.repeatable.then_some(key)
    }

    fn grant(
        &mut self,
        now: Micros,
        key: Key,
        scope: Scope,
        reserved: bool,
        orders: &mut Vec<Order>,
    ) -> bool {
        let Some(waiting) = self.waiting_at(key) else {
            return false;
        };
        let ask = waiting.ask.clone();
        let Some(Place { server, prefill, source, expected }) = self.choose(now, &ask, scope)
        else {
            return false;
        };
        let Some(waiting) = self.remove_waiting(key) else {
            return false;
        };
        let choice = self.explain(&waiting.ask, server, scope, reserved);
        orders.push(Order::Grant {
            id: waiting.ask.id,
            entry: waiting.ask.entry,
            server,
            source,
            expected,
            choice,
            waited: now.saturating_sub(waiting.since),
            overtaken: self.grants - waiting.grants_before,
        });
        self.grants += 1;
        let cost = self.cost(&waiting.ask);
        self.credit_floors(waiting.ask.class, cost, reserved);
        self.run(now, waiting, server, prefill, reserved);
        true
    }

    fn explain(&self, ask: &Ask, server: server::Key, scope: Scope, reserved: bool) -> Choice {
        let has_prefix = self.servers[usize::from(server.0)]
            .as_ref()
            .is_some_and(|server| server.has_prefix(ask.prefix));
        match (scope, reserved, has_prefix) {
            (Scope::Probe, _, _) => Choice::Probe,
            (_, true, _) => Choice::Floor,
            (_, _, true) => Choice::Prefix,
            _ => Choice::LeastLoaded,
        }
    }

    /// Credits the classes that wait with their part of a grant's expected tokens, and takes from
    /// the class what it was granted on its reserved capacity.
    fn credit_floors(&mut self, class: ClassKey, cost: f64, reserved: bool) {
        let before = std::mem::take(&mut self.credit);
        for waits in self.queue.classes() {
            let every = self.policy.class(waits).floor_every;
            if every == 0 {
                continue;
            }
            let credit = before.get(&waits).copied().unwrap_or(0.0);
            let part = if waits == class { 0.0 } else { cost / f64::from(every) };
            self.credit.insert(waits, credit + part);
        }
        if reserved && let Some(credit) = self.credit.get_mut(&class) {
            *credit = (*credit - cost).max(0.0);
        }
    }

    /// The cheapest backend server in scope, another than the one to avoid if there is one.
    fn choose(&mut self, now: Micros, ask: &Ask, scope: Scope) -> Option<Place> {
        if !ask.parts.is_empty() {
            return self.place(now, ask, scope);
        }
        let prefix = if self.policy.switches.affinity { ask.prefix } else { 0 };
        let usual = self.usual_gap();
        let mut best: Option<(bool, bool, f64, server::Key)> = None;
        for (key, server) in self.servers() {
            if !scope.has(server, now) || self.rests.has(now, ask.entry, key) {
                continue;
            }
            let (beside, avoided) = (ask.anti_affinity.contains(&key), ask.avoid == Some(key));
            let failing = server.failure_rate(now).unwrap_or(0.0);
            let cost = server.cost(ask.prompt, prefix, usual) * (1.0 + FAILING * failing);
            let better = best.is_none_or(|(b, a, c, _)| (beside, avoided, cost) < (b, a, c));
            if better {
                best = Some((beside, avoided, cost, key));
            }
        }
        let (.., server) = best?;
        Some(Place { server, prefill: Prefill::default(), source: None, expected: 0 })
    }

    /// Mean time between tokens over the backend servers of which it was seen.
    fn usual_gap(&self) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        for (_, server) in self.servers() {
            if let Some(gap) = server.estimated_gap() {
                sum += gap;
                count += 1.0;
            }
        }
        if count == 0.0 { MILLISECOND as f64 } else { sum / count }
    }

    /// Enters a granted request among those that run.
    pub(super) fn run(
        &mut self,
        now: Micros,
        waiting: Waiting,
        server: server::Key,
        prefill: Prefill,
        reserved: bool,
    ) {
        let Waiting { ask, tier, .. } = waiting;
        let charged = self.cost(&ask);
        let policy = self.policy.clone();
        let prompt = f64::from(ask.prompt);
        self.share.charge(&policy, tier, ask.workspace, prompt + charged);
        self.share.consume(&policy, ask.workspace, prompt, now);
        self.share.usage(ask.workspace).running += 1;
        let work = self.prompt(now, &ask);
        let tolerant = work.tolerant;
        if let Some(server) = self.server(server) {
            server.start(now, ask.prefix);
            let time = f64::from(prefill.tokens) * server.engine().token_time();
            server.engine_mut().start(now, ask.id, &work, prefill);
            self.partition.record(now, tolerant, time);
        }
        let stoppable = ask.repeatable && !reserved && ask.preemptions < policy.preemptions;
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
        let key = Key(self.asks.insert(State::Running(running)) as u32);
        self.ids.insert(id, key);
        if stoppable {
            self.victims.entry(tier).or_default().insert((now, key));
        }
        if !reserved {
            *self.running_tiers.entry(tier).or_default() += 1;
        }
    }
}
