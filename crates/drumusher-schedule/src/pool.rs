//! State and decisions of one pool: consumes events and returns orders.

mod admit;
mod await_copy;
mod cooldown;
mod grant;
mod health;
mod pace;
mod placement;
mod preempt;
mod reuse;
mod room;
mod scope;
mod sensitivity;
mod slack;
mod track;
mod unmeetable;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use slab::Slab;

use self::{await_copy::Awaiting, cooldown::Cooldowns, reuse::Reuse};
use crate::{
    ask::{Ask, Entry, Id, Key, Running, State, Waiting},
    event::Event,
    length::Estimator,
    order::Order,
    partition::Partition,
    policy::{ClassKey, Policy, Tiers},
    queue::{Position, Prefills, Queue},
    server::{self, Server},
    share::FairShare,
    time::{MILLISECOND, Micros, SECOND},
};

/// How long an answer that has begun outlives an outage without a new token. An engine that restarts loads its model for
/// tens of seconds.
pub const OUTAGE_LIMIT: Micros = 60 * SECOND;
/// Interval of the periodic work: slow or failing backend servers, expired requests and silent
/// attempts.
pub const TICK: Micros = 50 * MILLISECOND;
/// Assumed time that an attempt occupies its slot before the first one ended, in microseconds.
const DEFAULT_HOLD_TIME: f64 = SECOND as f64;
/// Weight of a new sample in the mean time that a slot is occupied.
const HOLD_TIME_SMOOTHING: f64 = 0.05;
/// Longest predicted wait, in microseconds: with a rate limit near zero the prediction would be
/// unbounded.
const MAX_PREDICTED_WAIT: f64 = 3_600.0 * SECOND as f64;
/// Entry instances report on running attempts more often than this; an attempt without reports is
/// gone.
const REPORT_TIMEOUT: Micros = 5 * SECOND;

/// One pool as its dispatcher sees it.
#[derive(Debug)]
pub struct Pool {
    policy: Arc<Policy>,
    tiers: Tiers,
    created: Micros,
    /// When it last took over from another dispatcher.
    taken_over_at: Micros,
    requests: Slab<State>,
    keys: HashMap<Id, Key>,
    queue: Queue,
    /// Tokens to prefill for the waiting requests, in a pool with slack.
    prefills: Prefills,
    share: FairShare,
    lengths: Estimator,
    servers: Vec<Option<Server>>,
    /// Backend servers that asked to get no requests from one entry instance for a while.
    cooldowns: Cooldowns,
    /// Requests skipped in the current round of grants, because the free backend servers are in
    /// cooldown for their entry instance.
    skipped: BTreeSet<Key>,
    /// Waiting requests that wait for copies of prompt parts.
    awaiting: Awaiting,
    /// Recent prefill by urgency.
    prefilled: room::Prefilled,
    /// Requests for which no engine has capacity in the current round of grants.
    blocked: Vec<room::Blocked>,
    /// Running attempts that may be preempted, by tier and time of the grant.
    preemptible: BTreeMap<u8, BTreeSet<(Micros, Key)>>,
    /// Number of attempts whose preemption is under way.
    preempting: usize,
    /// Running attempts outside reserved capacity, by tier.
    running_tiers: BTreeMap<u8, usize>,
    /// Number of waiting requests whose answer has begun.
    begun_waiting: usize,
    /// When waiting requests reach the longest wait of their class.
    wait_deadlines: BTreeSet<(Micros, Key)>,
    /// When waiting requests become unmeetable.
    latest_starts: BTreeSet<(Micros, Key)>,
    /// Tokens that each class may use of its reserved capacity.
    reserved_credit: BTreeMap<ClassKey, f64>,
    /// Total number of grants.
    grants: u64,
    /// Recent demand by class.
    demand: HashMap<ClassKey, sensitivity::Demand>,
    /// Median of the engines' shortest times to prefill a token, as of the last tick.
    typical_token_time: Option<f64>,
    /// Median of the engines' mean times between events, as of the last tick.
    typical_pace: Option<f64>,
    /// Partition of the engines between delay-tolerant and delay-sensitive requests.
    partition: Partition,
    /// How prompts were obtained.
    reuse: Reuse,
    /// Mean time that an attempt occupies its slot, in microseconds.
    hold_time: f64,
    last_tick: Micros,
}

impl Pool {
    /// A pool without backend servers, whose dispatcher takes it over at `now`.
    pub fn new(policy: Arc<Policy>, now: Micros) -> Self {
        Pool {
            tiers: policy.tiers(),
            policy,
            created: now,
            taken_over_at: 0,
            requests: Slab::new(),
            keys: HashMap::new(),
            queue: Queue::new(),
            prefills: Prefills::default(),
            share: FairShare::new(),
            lengths: Estimator::new(),
            servers: Vec::new(),
            cooldowns: Cooldowns::default(),
            skipped: BTreeSet::new(),
            awaiting: Awaiting::default(),
            prefilled: room::Prefilled::default(),
            blocked: Vec::new(),
            preemptible: BTreeMap::new(),
            preempting: 0,
            running_tiers: BTreeMap::new(),
            begun_waiting: 0,
            wait_deadlines: BTreeSet::new(),
            latest_starts: BTreeSet::new(),
            reserved_credit: BTreeMap::new(),
            grants: 0,
            demand: HashMap::new(),
            typical_token_time: None,
            typical_pace: None,
            partition: Partition::new(),
            reuse: Reuse::default(),
            hold_time: DEFAULT_HOLD_TIME,
            last_tick: 0,
        }
    }

    /// Handles an event and appends the resulting orders.
    pub fn handle(&mut self, now: Micros, event: Event, orders: &mut Vec<Order>) {
        let frees_capacity = self.may_free_capacity(now, &event);
        match event {
            Event::Ask(ask) => self.admit(now, ask, orders),
            Event::Declare(ask, server) => self.restore(now, ask, server),
            Event::Withdraw(id) => self.drop_request(now, id),
            Event::Progress(progress) => self.progress(now, progress),
            Event::Finish(id, outcome, produced) => self.finish(now, id, outcome, produced),
            Event::Load(load) => self.apply_report(now, &load),
            Event::Unreachable(key) => {
                if let Some(server) = self.server_mut(key) {
                    server.note_unreachable();
                }
            }
            Event::CachedParts(key, parts) => {
                if let Some(server) = self.server_mut(key) {
                    server.engine_mut().add_cached(now, &parts);
                }
            }
            Event::CacheChanges(key, changes) => {
                if let Some(server) = self.server_mut(key) {
                    server.engine_mut().apply_changes(now, &changes);
                }
            }
            Event::Server(key, options) => self.add_server(key, options),
            Event::Leave(key) => self.mark_leaving(key),
            Event::RateLimit(key, per_second) => {
                if let Some(server) = self.server_mut(key) {
                    server.set_rate_limit(now, per_second);
                }
            }
            Event::Brittle(key, bearable) => {
                if let Some(server) = self.server_mut(key) {
                    server.set_brittle(now, bearable);
                }
            }
            Event::Cooldown(entry, key, until) => self.start_cooldown(entry, key, until),
            Event::EntryGone(entry) => self.entry_gone(now, entry),
            Event::Policy(policy) => self.set_policy(policy),
            Event::Tick => self.tick(now, orders),
        }
        if frees_capacity {
            self.grant_free_slots(now, orders);
        }
        self.preempt(now, orders);
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of waiting requests by tier, including tiers whose requests have all left the queue.
    pub fn waiting_by_tier(&self) -> impl Iterator<Item = (u8, usize)> {
        self.queue.tier_lens()
    }

    /// Whether a request is waiting.
    pub fn is_waiting(&self, id: Id) -> bool {
        self.keys.get(&id).is_some_and(|key| self.waiting_at(*key).is_some())
    }

    /// A running request.
    pub fn running_request(&self, id: Id) -> Option<&Running> {
        let key = self.keys.get(&id)?;
        match self.requests.get(key.0 as usize) {
            Some(State::Running(running)) => Some(running),
            _ => None,
        }
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.requests.len() - self.queue.len()
    }

    /// The load in slots, for sizing the pool: the requests that run or wait, or the slots of the engines that are kept
    /// busy reading prompts if those are more. Engines with many slots are out of reading time long before their slots
    /// are taken.
    pub fn load(&self, now: Micros) -> u32 {
        let slots = self.servers().map(|(_, server)| server.slots()).max().unwrap_or(0);
        let reading = (self.partition.busy_engines(now) * f64::from(slots)).ceil() as u32;
        (self.requests.len() as u32).max(reading)
    }

    /// Iterates over the waiting requests.
    pub fn iter_waiting(&self) -> impl Iterator<Item = &Waiting> {
        self.requests.iter().filter_map(|(_, state)| match state {
            State::Waiting(waiting) => Some(waiting),
            State::Running(_) => None,
        })
    }

    /// Iterates over the running requests.
    pub fn iter_running(&self) -> impl Iterator<Item = &Running> {
        self.requests.iter().filter_map(|(_, state)| match state {
            State::Running(running) => Some(running),
            State::Waiting(_) => None,
        })
    }

    /// Iterates over the backend servers.
    pub fn servers(&self) -> impl Iterator<Item = (server::Key, &Server)> {
        let keyed = self.servers.iter().enumerate();
        keyed.filter_map(|(at, server)| Some((server::Key(at as u16), server.as_ref()?)))
    }

    /// A backend server by its key.
    pub fn server_at(&self, key: server::Key) -> Option<&Server> {
        self.servers.get(usize::from(key.0))?.as_ref()
    }

    /// Free slots for ordinary work, over all backend servers.
    pub fn free(&self, now: Micros) -> u32 {
        self.servers().map(|(_, server)| server.free(now)).sum()
    }

    /// The time of the next probe while no backend server is healthy; `None` otherwise.
    pub fn outage(&self) -> Option<Micros> {
        let serving = self.servers().filter(|(_, server)| !server.leaving());
        let probes = serving.map(|(_, server)| server.next_probe());
        probes.collect::<Option<Vec<Micros>>>()?.into_iter().min()
    }

    /// Since when all backend servers are down; `None` if one is not.
    fn outage_since(&self) -> Option<Micros> {
        let serving = self.servers().filter(|(_, server)| !server.leaving());
        let down = serving.map(|(_, server)| server.down_from());
        down.collect::<Option<Vec<Micros>>>()?.into_iter().max()
    }

    fn server_mut(&mut self, key: server::Key) -> Option<&mut Server> {
        self.servers.get_mut(usize::from(key.0))?.as_mut()
    }

    fn waiting_at(&self, key: Key) -> Option<&Waiting> {
        match self.requests.get(key.0 as usize) {
            Some(State::Waiting(waiting)) => Some(waiting),
            _ => None,
        }
    }

    fn running_mut(&mut self, id: Id) -> Option<(Key, &mut Running)> {
        let key = *self.keys.get(&id)?;
        match self.requests.get_mut(key.0 as usize) {
            Some(State::Running(running)) => Some((key, running)),
            _ => None,
        }
    }

    fn settling(&self, now: Micros) -> bool {
        now < self.created + self.policy.settle
    }

    fn add_server(&mut self, key: server::Key, options: server::Options) {
        let at = usize::from(key.0);
        if self.servers.len() <= at {
            self.servers.resize_with(at + 1, || None);
        }
        match &mut self.servers[at] {
            Some(server) => server.configure(options),
            empty => *empty = Some(Server::new(options)),
        }
    }

    fn mark_leaving(&mut self, key: server::Key) {
        if let Some(server) = self.server_mut(key) {
            server.leave();
        }
    }

    fn apply_report(&mut self, now: Micros, load: &crate::event::Load) {
        if let Some(server) = self.server_mut(load.server) {
            server.note_reachable(now);
        }
        if !self.policy.switches.learning {
            return;
        }
        let taken_over_at = self.taken_over_at;
        if let Some(server) = self.server_mut(load.server) {
            server.apply_report(load, now, taken_over_at);
        }
    }

    /// Takes over the requests of another dispatcher. Load reports from before now include its
    /// grants, which do not belong to other dispatchers: entry instances declare those that still
    /// run.
    fn take_over(&mut self, now: Micros, ask: &Ask) {
        if !ask.migrated || !self.requests.is_empty() {
            return;
        }
        self.taken_over_at = now;
        for server in self.servers.iter_mut().flatten() {
            server.forget_foreign();
        }
    }

    fn set_policy(&mut self, policy: Arc<Policy>) {
        self.tiers = policy.tiers();
        self.policy = policy;
    }

    fn entry_gone(&mut self, now: Micros, entry: Entry) {
        self.cooldowns.remove(entry);
        let of_entry = |state: &State| match state {
            State::Waiting(waiting) => (waiting.ask.entry == entry).then_some(waiting.ask.id),
            State::Running(running) => (running.ask.entry == entry).then_some(running.ask.id),
        };
        let gone: Vec<Id> = self.requests.iter().filter_map(|(_, state)| of_entry(state)).collect();
        for id in gone {
            self.drop_request(now, id);
        }
    }

    /// Removes a waiting or running request.
    fn drop_request(&mut self, now: Micros, id: Id) {
        self.withdraw(id);
        self.finish(now, id, crate::ask::Outcome::Cancelled, 0);
    }

    fn tick(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if now < self.last_tick + TICK {
            return;
        }
        self.last_tick = now;
        self.update_token_time();
        self.update_pace(now);
        self.update_prefilled(now);
        self.drop_unreported(now);
        if self.policy.switches.learning {
            self.relieve_slow(now, orders);
            self.update_outliers(now);
        }
        self.preempt_for_server_queues(now, orders);
        self.refuse_in_outage(now, orders);
        self.refuse_in_cooldown(now, orders);
        self.refuse_bound(now, orders);
        self.refuse_expired(now, orders);
        self.refuse_unmeetable(now, orders);
    }

    /// Requests that get a slot each second while all slots are taken: the number of slots over the
    /// mean time that one is occupied, within the rate limits. Counting completions instead would
    /// say little after an idle period.
    fn drain_rate(&self) -> f64 {
        let mut good =
            self.servers().filter(|(_, server)| server.next_probe().is_none()).peekable();
        if good.peek().is_none() {
            return SECOND as f64 / self.hold_time;
        }
        good.map(|(_, server)| server.drain_rate(self.hold_time)).sum()
    }

    /// Whether all active backend servers have a rate limit, so that the end of a running request
    /// frees no capacity for another.
    fn all_rate_limited(&self) -> bool {
        let mut serving = self.servers().filter(|(_, server)| !server.leaving()).peekable();
        serving.peek().is_some() && serving.all(|(_, server)| server.rate_limit().is_some())
    }

    /// Records how long a slot was occupied.
    fn record_hold_time(&mut self, time: Micros) {
        let time = (time as f64).max(MILLISECOND as f64);
        self.hold_time += (time - self.hold_time) * HOLD_TIME_SMOOTHING;
    }

    /// Expected wait of a request of a tier with `ahead` requests before it: in a pool with slack for
    /// the prefill ahead of it, otherwise or if no slot is free for a slot.
    fn predicted_wait(&self, now: Micros, tier: u8, ahead: usize) -> Micros {
        match self.read_ahead_limit(now).and_then(|_| self.tier_wait(now, tier)) {
            Some(wait) if self.free(now) > 0 => wait,
            Some(wait) => wait.max(self.slot_wait(ahead)),
            None => self.slot_wait(ahead),
        }
    }

    /// Expected wait until a slot is free for a request with `ahead` requests before it.
    fn slot_wait(&self, ahead: usize) -> Micros {
        let wait = ahead as f64 / self.drain_rate() * SECOND as f64;
        wait.min(MAX_PREDICTED_WAIT) as Micros
    }

    fn remove_waiting(&mut self, key: Key) -> Option<Waiting> {
        self.waiting_at(key)?;
        let State::Waiting(waiting) = self.requests.remove(key.0 as usize) else {
            return None;
        };
        let position = position(&waiting);
        self.queue.remove(position, key);
        self.awaiting.remove(key);
        self.wait_deadlines.remove(&(self.wait_deadline(&waiting), key));
        if let Some(latest) = waiting.latest_start {
            self.latest_starts.remove(&(latest, key));
        }
        let Waiting { tier, prefill, .. } = waiting;
        self.prefills.remove(tier, waiting.ask.workspace, &waiting.ask.parts, prefill);
        self.keys.remove(&waiting.ask.id);
        self.begun_waiting -= usize::from(waiting.ask.has_begun());
        self.share.usage(position.workspace).waiting -= 1;
        if !self.queue.contains(position.tier, position.workspace) {
            self.share.deactivate(position.tier, position.workspace);
        }
        Some(waiting)
    }

    fn wait_deadline(&self, waiting: &Waiting) -> Micros {
        waiting.since + waiting.wait
    }
}

fn position(waiting: &Waiting) -> Position {
    Position {
        tier: waiting.tier,
        workspace: waiting.ask.workspace,
        class: waiting.ask.class,
        deadline: waiting.deadline,
        arrived: waiting.ask.arrived,
        is_first: waiting.is_first,
    }
}
