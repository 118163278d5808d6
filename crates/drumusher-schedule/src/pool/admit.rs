//! Taking asks in, and refusing those for which there is no room.

use super::{Pool, place};
use crate::{
    ask::{Ask, Key, State, Waiting},
    order::{Order, Refusal},
    policy::WorkspaceKey,
    time::{MILLISECOND, Micros, SECOND},
};

/// Bounds of what a refused caller is told to wait.
const RETRY_LEAST: Micros = 200 * MILLISECOND;
const RETRY_MOST: Micros = 120 * SECOND;
/// Factor on the bound of the queue that holds even while a lower tier runs.
const HARD_BOUND: usize = 2;
/// While no backend server will be tried for longer than this, no new request waits for one.
const OUTAGE: Micros = 2 * SECOND;

impl Pool {
    pub(super) fn admit(&mut self, now: Micros, ask: Ask, orders: &mut Vec<Order>) {
        if self.ids.contains_key(&ask.id) {
            return;
        }
        self.take_over(now, &ask);
        if let Some(refusal) = self.turn_away(now, &ask) {
            let ahead = self.queue.len();
            orders.push(self.refusal(now, &ask, refusal, ahead));
            return;
        }
        let tier = self.policy.tier(ask.class);
        self.enqueue(now, ask);
        if self.settling(now) || !self.policy.switches.shedding {
            return;
        }
        if self.queue.len() > self.policy.queue {
            self.shed_lowest(now, orders);
        }
        self.shed_hopeless(now, tier, orders);
    }

    /// Refusals that do not depend on other workspaces.
    fn turn_away(&mut self, now: Micros, ask: &Ask) -> Option<Refusal> {
        let serving = self.servers().any(|(_, server)| !server.leaving());
        if (!serving || self.is_hopeless(now, ask, 0)) && !self.settling(now) {
            return Some(Refusal::NoServer);
        }
        if self.rests_too_long(now, ask, 0) && !self.settling(now) {
            return Some(Refusal::NoServer);
        }
        let most = self.policy.workspace(ask.workspace).map_or(0, |w| w.queue);
        let waiting = self.share.usage(ask.workspace).waiting;
        (most > 0 && waiting >= most).then_some(Refusal::WorkspaceLimit)
    }

    fn enqueue(&mut self, now: Micros, ask: Ask) {
        self.record_demand(now, &ask);
        let class = self.policy.class(ask.class);
        let deadline = if self.policy.switches.deadlines {
            ask.arrived + class.first_token
        } else {
            ask.arrived
        };
        let waiting = Waiting {
            tier: self.policy.tier(ask.class),
            deadline,
            since: now,
            wait: class.wait,
            grants_before: self.grants,
            ask,
        };
        let place = place(&waiting);
        let expires = self.expires(&waiting);
        let id = waiting.ask.id;
        let key = Key(self.asks.insert(State::Waiting(waiting)) as u32);
        self.ids.insert(id, key);
        self.queue.insert(place, key);
        self.expiry.insert((expires, key));
        self.share.usage(place.workspace).waiting += 1;
        self.share.activate(place.tier, place.workspace);
    }

    /// Refuses one request of the lowest tier that has any beyond its reserved places. While a
    /// still lower tier runs, which will make room, the queue may grow to a hard bound first.
    fn shed_lowest(&mut self, now: Micros, orders: &mut Vec<Order>) {
        let tiers: Vec<u8> = self.queue.tiers().collect();
        for tier in tiers.into_iter().rev() {
            let hard = self.policy.queue * HARD_BOUND;
            if self.lower_may_yield(tier) && self.queue.len() <= hard {
                return;
            }
            if self.shed_from(now, tier, Refusal::QueueFull, orders) {
                return;
            }
        }
    }

    /// Refuses requests of a tier at once when its queue is longer than its class may wait.
    fn shed_hopeless(&mut self, now: Micros, tier: u8, orders: &mut Vec<Order>) {
        if self.free(now) > 0 || self.lower_may_yield(tier) {
            return;
        }
        let ahead = self.queue.len_through_tier(tier);
        let Some(longest) = self.tiers.longest_wait(tier) else {
            return;
        };
        if self.predicted_wait(ahead) > longest {
            self.shed_from(now, tier, Refusal::WaitBound, orders);
        }
    }

    /// Whether a lower tier waits or runs outside its reserved places, so that it is the one to
    /// make room.
    pub fn lower_may_yield(&self, tier: u8) -> bool {
        let runs = self.running_tiers.range(tier + 1..).any(|(_, count)| *count > 0);
        runs && !self.all_limited() || self.lower_waits(tier)
    }

    fn lower_waits(&self, tier: u8) -> bool {
        self.queue.classes().any(|key| {
            let floor_queue = self.policy.class(key).floor_queue;
            let reserved = if self.policy.switches.floor { floor_queue } else { 0 };
            self.policy.tier(key) > tier && self.queue.class_len(key) > reserved
        })
    }

    /// Refuses the latest request of the workspace furthest over its share of the tier's queue. An answer that has begun
    /// would be lost, so that none is refused to keep a queue short.
    fn shed_from(
        &mut self,
        now: Micros,
        tier: u8,
        refusal: Refusal,
        orders: &mut Vec<Order>,
    ) -> bool {
        let Some(key) = self.furthest_over(tier) else {
            return false;
        };
        let ahead = self.queue.len_through_tier(tier);
        let Some(waiting) = self.remove_waiting(key) else {
            return false;
        };
        orders.push(self.refusal(now, &waiting.ask, refusal, ahead));
        true
    }

    fn furthest_over(&self, tier: u8) -> Option<Key> {
        let over = |(workspace, waiting): (WorkspaceKey, usize)| {
            (waiting as f64 / self.policy.weight(workspace), workspace)
        };
        let mut workspaces: Vec<(f64, WorkspaceKey)> =
            self.queue.workspaces(tier).map(over).collect();
        workspaces.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut candidates = workspaces.into_iter().find_map(|(_, workspace)| {
            let latest = self.queue.by_latest_deadline(tier, workspace);
            let mut new = latest.filter(|key| !self.has_begun(*key)).peekable();
            new.peek().is_some().then_some(new)
        })?;
        candidates.find(|key| !self.holds_reserved_place(*key))
    }

    /// Whether the caller of a waiting request has a part of the answer.
    fn has_begun(&self, key: Key) -> bool {
        self.waiting_at(key).is_some_and(|waiting| waiting.ask.produced > 0)
    }

    /// Whether a waiting request's class has no more than its reserved places in use.
    fn holds_reserved_place(&self, key: Key) -> bool {
        let Some(waiting) = self.waiting_at(key) else {
            return true;
        };
        let class = waiting.ask.class;
        let reserved = self.policy.class(class).floor_queue;
        self.policy.switches.floor && self.queue.class_len(class) <= reserved
    }

    /// How long no backend server will be tried, if that is too long to wait.
    fn long_outage(&self, now: Micros) -> Option<Micros> {
        let left = self.outage()?.saturating_sub(now);
        (left > OUTAGE).then_some(left)
    }

    /// Whether an ask is to be refused in a long outage. An answer that has begun would be lost, so
    /// that it may wait as long as its class allows.
    fn is_hopeless(&self, now: Micros, ask: &Ask, waited: Micros) -> bool {
        let Some(left) = self.long_outage(now) else {
            return false;
        };
        ask.produced == 0 || waited + left > self.policy.class(ask.class).wait
    }

    /// Refuses at once what is not to wait for the end of a long outage.
    pub(super) fn give_up(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if self.settling(now) || self.long_outage(now).is_none() {
            return;
        }
        let hopeless = |key: &Key| {
            let waiting = self.waiting_at(*key)?;
            let waited = now.saturating_sub(waiting.since);
            self.is_hopeless(now, &waiting.ask, waited).then_some(*key)
        };
        let hopeless: Vec<Key> = self.expiry.iter().filter_map(|(_, key)| hopeless(key)).collect();
        for key in hopeless {
            if let Some(waiting) = self.remove_waiting(key) {
                orders.push(self.refusal(now, &waiting.ask, Refusal::NoServer, 0));
            }
        }
    }

    /// Refuses the requests that waited as long as their class allows, unless a lower tier could
    /// still make room, or their answer has begun.
    pub(super) fn expire(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if self.settling(now) || !self.policy.switches.shedding {
            return;
        }
        let due: Vec<Key> = self.expiry.range(..(now, Key(0))).map(|(_, key)| *key).collect();
        for key in due {
            let Some(waiting) = self.waiting_at(key) else {
                continue;
            };
            if self.lower_may_yield(waiting.tier) || waiting.ask.produced > 0 {
                continue;
            }
            let ahead = self.queue.len_through_tier(waiting.tier);
            if let Some(waiting) = self.remove_waiting(key) {
                orders.push(self.refusal(now, &waiting.ask, Refusal::WaitBound, ahead));
            }
        }
    }

    pub(super) fn refusal(&self, now: Micros, ask: &Ask, refusal: Refusal, ahead: usize) -> Order {
        let known = self.long_outage(now).or_else(|| self.rest_left(now, ask.entry));
        let wait = known.unwrap_or_else(|| self.predicted_wait(ahead + 1));
        Order::Refuse {
            id: ask.id,
            entry: ask.entry,
            refusal,
            retry_after: wait.clamp(RETRY_LEAST, RETRY_MOST),
        }
    }
}
