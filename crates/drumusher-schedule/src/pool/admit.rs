//! Admission of requests, and refusal of those for which there is no capacity.

use super::{OUTAGE_LIMIT, Pool, position, scope::Availability};
use crate::{
    ask::{Ask, Key, Outcome, State, Waiting},
    order::{Order, Refusal},
    policy::WorkspaceKey,
    queue::Position,
    server::Server,
    time::{MILLISECOND, Micros, SECOND},
    version,
};

/// Bounds of the time after which a refused caller is told to try again.
pub(super) const MIN_RETRY_AFTER: Micros = 200 * MILLISECOND;
const MAX_RETRY_AFTER: Micros = 120 * SECOND;
/// The queue may grow to this multiple of its limit while a lower tier runs.
const HARD_LIMIT_FACTOR: usize = 2;
/// While the next probe of any backend server is further away than this, no new request waits for
/// it.
const LONG_OUTAGE: Micros = 2 * SECOND;
/// How long after [`OUTAGE_LIMIT`] a begun answer still waits for the probe that shows that the outage is over.
const PROBE_GRACE: Micros = 5 * SECOND;

impl Pool {
    pub(super) fn admit(&mut self, now: Micros, ask: Ask, orders: &mut Vec<Order>) {
        if self.answer_again(now, &ask, orders) {
            return;
        }
        self.take_over(now, &ask);
        if let Some(refusal) = self.early_refusal(now, &ask) {
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
            self.shed_lowest_tier(now, orders);
        }
        self.shed_excess_wait(now, tier, orders);
    }

    /// Handles an ask for a known request, which its entry instance sends again if it has no answer or a new connection.
    /// Returns `false` if the request has to be admitted: an attempt that started has ended since, and the report of
    /// its end was lost.
    fn answer_again(&mut self, now: Micros, ask: &Ask, orders: &mut Vec<Order>) -> bool {
        let Some(key) = self.keys.get(&ask.id).copied() else {
            return false;
        };
        self.rebind(key, ask);
        match self.requests.get(key.0 as usize) {
            Some(State::Running(running)) if running.started || running.stopping => {
                self.finish(now, ask.id, Outcome::Cancelled, 0);
                false
            }
            Some(State::Running(_)) => {
                self.repeat_grant(now, ask.id, orders);
                true
            }
            _ => true,
        }
    }

    /// Refusals that do not depend on other workspaces.
    fn early_refusal(&mut self, now: Micros, ask: &Ask) -> Option<Refusal> {
        let scope = self.scope(ask, Availability::Free);
        let serving = self.servers().any(|(_, server)| !server.leaving() && scope.allows(server));
        let unusable = !serving || self.bound_to_outage(now, ask);
        if (unusable || self.must_refuse_in_outage(now, ask)) && !self.settling(now) {
            return Some(Refusal::NoServer);
        }
        if self.cooldown_exceeds_wait(now, ask, 0) && !self.settling(now) {
            return Some(Refusal::NoServer);
        }
        let limit = self.policy.workspace(ask.workspace).map_or(0, |w| w.queue);
        let waiting = self.share.usage(ask.workspace).waiting;
        let limited = limit > 0 && waiting >= limit && !ask.has_begun();
        if limited {
            return Some(Refusal::WorkspaceLimit);
        }
        self.is_unmeetable(now, ask).then_some(Refusal::Unmeetable)
    }

    fn enqueue(&mut self, now: Micros, ask: Ask) {
        self.record_demand(now, &ask);
        let class = self.policy.class(ask.class);
        let deadline = if self.policy.switches.deadlines {
            ask.arrived + class.first_token
        } else {
            ask.arrived
        };
        let prefill = if self.has_slack(now) { self.tokens_to_prefill(now, &ask) } else { 0.0 };
        let waiting = Waiting {
            tier: self.policy.tier(ask.class),
            deadline,
            since: now,
            wait: class.wait,
            is_first: self.resumes_first(now, &ask),
            prefill,
            latest_start: self.latest_start(now, &ask, prefill),
            grants_before: self.grants,
            ask,
        };
        let position = position(&waiting);
        let wait_deadline = self.wait_deadline(&waiting);
        let (id, begun) = (waiting.ask.id, waiting.ask.has_begun());
        let latest_start = waiting.latest_start;
        let Position { tier, workspace, .. } = position;
        self.prefills.insert(tier, workspace, &waiting.ask.parts, prefill);
        let key = Key(self.requests.insert(State::Waiting(waiting)) as u32);
        self.latest_starts.extend(latest_start.map(|latest| (latest, key)));
        self.keys.insert(id, key);
        self.queue.insert(position, key);
        self.wait_deadlines.insert((wait_deadline, key));
        self.begun_waiting += usize::from(begun);
        self.share.usage(position.workspace).waiting += 1;
        self.share.activate(position.tier, position.workspace);
    }

    /// Refuses one request of the lowest tier that has any beyond its reserved queue slots. While a
    /// still lower tier runs, which will free capacity, the queue may grow to a hard limit first.
    fn shed_lowest_tier(&mut self, now: Micros, orders: &mut Vec<Order>) {
        let tiers: Vec<u8> = self.queue.tiers().collect();
        for tier in tiers.into_iter().rev() {
            let hard = self.policy.queue * HARD_LIMIT_FACTOR;
            if self.lower_may_yield(tier) && self.queue.len() <= hard {
                return;
            }
            if self.shed_from(now, tier, Refusal::QueueFull, orders) {
                return;
            }
        }
    }

    /// Refuses a request of a tier at once when the predicted wait is longer than its classes
    /// allow.
    fn shed_excess_wait(&mut self, now: Micros, tier: u8, orders: &mut Vec<Order>) {
        if self.free(now) > 0 || self.lower_may_yield(tier) {
            return;
        }
        let ahead = self.queue.len_through_tier(tier);
        let Some(longest) = self.tiers.longest_wait(tier) else {
            return;
        };
        if self.predicted_wait(now, tier, ahead) > longest {
            self.shed_from(now, tier, Refusal::WaitBound, orders);
        }
    }

    /// Whether a lower tier waits or runs outside its reserved capacity, so that it should yield
    /// first.
    pub fn lower_may_yield(&self, tier: u8) -> bool {
        let runs = self.running_tiers.range(tier + 1..).any(|(_, count)| *count > 0);
        runs && !self.all_rate_limited() || self.lower_tier_waits(tier)
    }

    fn lower_tier_waits(&self, tier: u8) -> bool {
        self.queue.classes().any(|key| {
            let floor_queue = self.policy.class(key).floor_queue;
            let reserved = if self.policy.switches.floor { floor_queue } else { 0 };
            self.policy.tier(key) > tier && self.queue.class_len(key) > reserved
        })
    }

    /// Refuses the latest request of the workspace furthest over its share of the tier's queue.
    /// Requests whose answer has begun are exempt, since that answer would be lost.
    fn shed_from(
        &mut self,
        now: Micros,
        tier: u8,
        refusal: Refusal,
        orders: &mut Vec<Order>,
    ) -> bool {
        let Some(key) = self.furthest_over_share(tier) else {
            return false;
        };
        let ahead = self.queue.len_through_tier(tier);
        let Some(waiting) = self.remove_waiting(key) else {
            return false;
        };
        orders.push(self.refusal(now, &waiting.ask, refusal, ahead));
        true
    }

    fn furthest_over_share(&self, tier: u8) -> Option<Key> {
        let over = |(workspace, waiting): (WorkspaceKey, usize)| {
            (waiting as f64 / self.policy.weight(workspace), workspace)
        };
        let mut workspaces: Vec<(f64, WorkspaceKey)> =
            self.queue.workspaces(tier).map(over).collect();
        workspaces.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut candidates = workspaces.into_iter().find_map(|(_, workspace)| {
            let latest = self.queue.by_latest_deadline(tier, workspace);
            let mut new = latest.filter(|key| !self.has_output(*key)).peekable();
            new.peek().is_some().then_some(new)
        })?;
        candidates.find(|key| !self.holds_reserved_slot(*key))
    }

    /// Whether the caller of a waiting request has received a part of the answer.
    fn has_output(&self, key: Key) -> bool {
        self.waiting_at(key).is_some_and(|waiting| waiting.ask.has_begun())
    }

    /// Whether a waiting request's class uses no more than its reserved queue slots.
    fn holds_reserved_slot(&self, key: Key) -> bool {
        let Some(waiting) = self.waiting_at(key) else {
            return true;
        };
        let class = waiting.ask.class;
        let reserved = self.policy.class(class).floor_queue;
        self.policy.switches.floor && self.queue.class_len(class) <= reserved
    }

    /// Time until the next probe of any backend server, if that is too long to wait.
    fn long_outage(&self, now: Micros) -> Option<Micros> {
        let left = self.outage()?.saturating_sub(now);
        (left > LONG_OUTAGE).then_some(left)
    }

    /// Whether a request is to be refused in a long outage. One whose answer has begun outlives
    /// [`OUTAGE_LIMIT`], and the probe after it.
    fn must_refuse_in_outage(&self, now: Micros, ask: &Ask) -> bool {
        if self.long_outage(now).is_none() {
            return false;
        }
        let outlasted = |since: Micros| now >= since + OUTAGE_LIMIT + PROBE_GRACE;
        !ask.has_begun() || self.outage_since().is_some_and(outlasted)
    }

    /// Whether a stream is bound to a software version whose backend servers are all down for long or leave.
    fn bound_to_outage(&self, now: Micros, ask: &Ask) -> bool {
        let version::Set::Only(version) = ask.versions else { return false };
        let mut own = self.servers().filter(|(_, server)| server.version() == version);
        let is_out = |server: &Server| {
            server.leaving() || server.next_probe().is_some_and(|due| due > now + LONG_OUTAGE)
        };
        own.all(|(_, server)| is_out(server))
    }

    /// Refuses the waiting requests that are bound to a software version without a usable backend server.
    pub(super) fn refuse_bound(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if !self.settling(now) {
            self.refuse_where(now, |pool, ask| pool.bound_to_outage(now, ask), orders);
        }
    }

    /// Refuses the requests that must not wait for the end of a long outage.
    pub(super) fn refuse_in_outage(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if !self.settling(now) && self.long_outage(now).is_some() {
            self.refuse_where(now, |pool, ask| pool.must_refuse_in_outage(now, ask), orders);
        }
    }

    /// Refuses the waiting requests to which this applies, for lack of a backend server.
    fn refuse_where(
        &mut self,
        now: Micros,
        applies: impl Fn(&Pool, &Ask) -> bool,
        orders: &mut Vec<Order>,
    ) {
        let refused = |key: &Key| {
            let waiting = self.waiting_at(*key)?;
            applies(self, &waiting.ask).then_some(*key)
        };
        let refused: Vec<Key> =
            self.wait_deadlines.iter().filter_map(|(_, key)| refused(key)).collect();
        for key in refused {
            if let Some(waiting) = self.remove_waiting(key) {
                orders.push(self.refusal(now, &waiting.ask, Refusal::NoServer, 0));
            }
        }
    }

    /// Refuses the requests that waited as long as their class allows, unless a lower tier could
    /// still yield or their answer has begun.
    pub(super) fn refuse_expired(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if self.settling(now) || !self.policy.switches.shedding {
            return;
        }
        let due: Vec<Key> =
            self.wait_deadlines.range(..(now, Key(0))).map(|(_, key)| *key).collect();
        for key in due {
            let Some(waiting) = self.waiting_at(key) else {
                continue;
            };
            if self.lower_may_yield(waiting.tier) || waiting.ask.has_begun() {
                continue;
            }
            let ahead = self.queue.len_through_tier(waiting.tier);
            if let Some(waiting) = self.remove_waiting(key) {
                orders.push(self.refusal(now, &waiting.ask, Refusal::WaitBound, ahead));
            }
        }
    }

    pub(super) fn refusal(&self, now: Micros, ask: &Ask, refusal: Refusal, ahead: usize) -> Order {
        let known = self.long_outage(now).or_else(|| self.cooldown_left(now, ask.entry));
        if let (None, Some(retry_after)) = (known, self.retry_after(now, ask)) {
            return Order::Refuse { id: ask.id, entry: ask.entry, refusal, retry_after };
        }
        let tier = self.policy.tier(ask.class);
        let wait = known.unwrap_or_else(|| self.predicted_wait(now, tier, ahead + 1));
        Order::Refuse {
            id: ask.id,
            entry: ask.entry,
            refusal,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}
