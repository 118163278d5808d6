//! The decisions for one pool: takes events, gives orders.

mod admit;
mod grant;
mod health;
mod place;
mod preempt;
mod rest;
mod scope;
mod sensitivity;
mod track;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use slab::Slab;

use self::rest::Rests;
use crate::{
    ask::{Ask, Entry, Id, Key, Running, State, Waiting},
    event::Event,
    length::Estimator,
    order::Order,
    partition::Partition,
    policy::{ClassKey, Policy, Tiers},
    queue::{Position, Queue},
    server::{self, Server},
    share::FairShare,
    time::{MILLISECOND, Micros, SECOND},
};

/// Time between two looks at drain rate, slow backend servers and expired requests.
pub const TICK: Micros = 50 * MILLISECOND;
/// Assumed time that an attempt holds its place before one ended, in microseconds.
const HELD_UNKNOWN: f64 = SECOND as f64;
/// Weight of a new sample in the mean time that a place is held.
const HELD_SMOOTHING: f64 = 0.05;
/// Longest wait that is predicted: with a limit near none it would have no end.
const LONGEST_WAIT: f64 = 3_600.0 * SECOND as f64;
/// Entries report on running attempts more often than this; an attempt not heard of is gone.
const SILENCE: Micros = 5 * SECOND;

/// One pool as its dispatcher sees it.
#[derive(Debug)]
pub struct Pool {
    policy: Arc<Policy>,
    tiers: Tiers,
    born: Micros,
    /// When it last took over from another dispatcher.
    taken_over: Micros,
    asks: Slab<State>,
    ids: HashMap<Id, Key>,
    queue: Queue,
    share: FairShare,
    lengths: Estimator,
    servers: Vec<Option<Server>>,
    /// Backend servers that want a rest from an entry.
    rests: Rests,
    /// Those that wait and were found to have no place, while free places are given away.
    passed_over: BTreeSet<Key>,
    /// Running attempts that may be stopped, by tier and time of the grant.
    victims: BTreeMap<u8, BTreeSet<(Micros, Key)>>,
    /// Attempts being stopped for a higher tier.
    stopping: usize,
    /// Running attempts outside reserved capacity, by tier.
    running_tiers: BTreeMap<u8, usize>,
    /// When waiting requests reach the bound of their class.
    expiry: BTreeSet<(Micros, Key)>,
    /// Tokens that each class may use of its reserved capacity.
    credit: BTreeMap<ClassKey, f64>,
    /// All grants.
    grants: u64,
    /// What was asked for lately, by class.
    demand: HashMap<ClassKey, sensitivity::Demand>,
    /// The median of the engines' shortest times to read a token, as seen at the last tick.
    usual_read: Option<f64>,
    /// The engines on either side.
    partition: Partition,
    /// Mean time that an attempt holds its place, in microseconds.
    held: f64,
    looked: Micros,
}

impl Pool {
    /// A pool without backend servers, whose dispatcher takes it over at `now`.
    pub fn new(policy: Arc<Policy>, now: Micros) -> Self {
        Pool {
            tiers: policy.tiers(),
            policy,
            born: now,
            taken_over: 0,
            asks: Slab::new(),
            ids: HashMap::new(),
            queue: Queue::new(),
            share: FairShare::new(),
            lengths: Estimator::new(),
            servers: Vec::new(),
            rests: Rests::default(),
            passed_over: BTreeSet::new(),
            victims: BTreeMap::new(),
            stopping: 0,
            running_tiers: BTreeMap::new(),
            expiry: BTreeSet::new(),
            credit: BTreeMap::new(),
            grants: 0,
            demand: HashMap::new(),
            usual_read: None,
            partition: Partition::new(),
            held: HELD_UNKNOWN,
            looked: 0,
        }
    }

    /// Takes an event and appends the orders that follow from it.
    pub fn handle(&mut self, now: Micros, event: Event, orders: &mut Vec<Order>) {
        match event {
            Event::Ask(ask) => self.admit(now, ask, orders),
            Event::Declare(ask, server) => self.declare(now, ask, server),
            Event::Withdraw(id) => self.forget(now, id),
            Event::Progress(progress) => self.progress(now, progress),
            Event::Finish(id, outcome, produced) => self.finish(now, id, outcome, produced),
            Event::Load(load) => self.apply_report(now, &load),
            Event::CachedParts(key, parts) => {
                if let Some(server) = self.server(key) {
                    server.engine_mut().add_cached(now, &parts);
                }
            }
            Event::Server(key, options) => self.join(key, options),
            Event::Leave(key) => self.leave(key),
            Event::RateLimit(key, per_second) => {
                if let Some(server) = self.server(key) {
                    server.set_rate_limit(now, per_second);
                }
            }
            Event::Cooldown(entry, key, until) => self.rest(entry, key, until),
            Event::EntryGone(entry) => self.entry_gone(now, entry),
            Event::Policy(policy) => self.adopt(policy),
            Event::Tick => self.tick(now, orders),
        }
        self.fill(now, orders);
        self.preempt(now, orders);
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Whether a request waits.
    pub fn is_waiting(&self, id: Id) -> bool {
        self.ids.get(&id).is_some_and(|key| self.waiting_at(*key).is_some())
    }

    /// A request that runs.
    pub fn running_request(&self, id: Id) -> Option<&Running> {
        let key = self.ids.get(&id)?;
        match self.asks.get(key.0 as usize) {
            Some(State::Running(running)) => Some(running),
            _ => None,
        }
    }

    /// How many requests run.
    pub fn running(&self) -> usize {
        self.asks.len() - self.queue.len()
    }

    /// The requests that wait.
    pub fn iter_waiting(&self) -> impl Iterator<Item = &Waiting> {
        self.asks.iter().filter_map(|(_, state)| match state {
            State::Waiting(waiting) => Some(waiting),
            State::Running(_) => None,
        })
    }

    /// The requests that run.
    pub fn iter_running(&self) -> impl Iterator<Item = &Running> {
        self.asks.iter().filter_map(|(_, state)| match state {
            State::Running(running) => Some(running),
            State::Waiting(_) => None,
        })
    }

    /// The backend servers.
    pub fn servers(&self) -> impl Iterator<Item = (server::Key, &Server)> {
        let keyed = self.servers.iter().enumerate();
        keyed.filter_map(|(at, server)| Some((server::Key(at as u16), server.as_ref()?)))
    }

    /// A backend server by its key.
    pub fn server_at(&self, key: server::Key) -> Option<&Server> {
        self.servers.get(usize::from(key.0))?.as_ref()
    }

    /// Places free for ordinary work, over all backend servers.
    pub fn free(&self, now: Micros) -> u32 {
        self.servers().map(|(_, server)| server.free(now)).sum()
    }

    /// When no backend server is good: the time of the next probe of one.
    pub fn outage(&self) -> Option<Micros> {
        let serving = self.servers().filter(|(_, server)| !server.leaving());
        let trials = serving.map(|(_, server)| server.next_probe());
        trials.collect::<Option<Vec<Micros>>>()?.into_iter().min()
    }

    fn server(&mut self, key: server::Key) -> Option<&mut Server> {
        self.servers.get_mut(usize::from(key.0))?.as_mut()
    }

    fn waiting_at(&self, key: Key) -> Option<&Waiting> {
        match self.asks.get(key.0 as usize) {
            Some(State::Waiting(waiting)) => Some(waiting),
            _ => None,
        }
    }

    fn running_of(&mut self, id: Id) -> Option<(Key, &mut Running)> {
        let key = *self.ids.get(&id)?;
        match self.asks.get_mut(key.0 as usize) {
            Some(State::Running(running)) => Some((key, running)),
            _ => None,
        }
    }

    fn settling(&self, now: Micros) -> bool {
        now < self.born + self.policy.settle
    }

    fn join(&mut self, key: server::Key, options: server::Options) {
        let at = usize::from(key.0);
        if self.servers.len() <= at {
            self.servers.resize_with(at + 1, || None);
        }
        match &mut self.servers[at] {
            Some(server) => server.configure(options),
            empty => *empty = Some(Server::new(options)),
        }
    }

    fn leave(&mut self, key: server::Key) {
        if let Some(server) = self.server(key) {
            server.leave();
        }
    }

    fn apply_report(&mut self, now: Micros, load: &crate::event::Load) {
        if !self.policy.switches.learning {
            return;
        }
        let taken_over = self.taken_over;
        if let Some(server) = self.server(load.server) {
            server.apply_report(load, now, taken_over);
        }
    }

    /// Begins to serve the requests of another dispatcher. Reports from before now show its grants,
    /// which are not the work of others: entries declare those that still run.
    fn take_over(&mut self, now: Micros, ask: &Ask) {
        if !ask.migrated || !self.asks.is_empty() {
            return;
        }
        self.taken_over = now;
        for server in self.servers.iter_mut().flatten() {
            server.forget_foreign();
        }
    }

    fn adopt(&mut self, policy: Arc<Policy>) {
        self.tiers = policy.tiers();
        self.policy = policy;
    }

    fn entry_gone(&mut self, now: Micros, entry: Entry) {
        self.rests.remove(entry);
        let of_entry = |state: &State| match state {
            State::Waiting(waiting) => (waiting.ask.entry == entry).then_some(waiting.ask.id),
            State::Running(running) => (running.ask.entry == entry).then_some(running.ask.id),
        };
        let gone: Vec<Id> = self.asks.iter().filter_map(|(_, state)| of_entry(state)).collect();
        for id in gone {
            self.forget(now, id);
        }
    }

    /// Drops a request in either state.
    fn forget(&mut self, now: Micros, id: Id) {
        self.withdraw(id);
        self.finish(now, id, crate::ask::Outcome::Cancelled, 0);
    }

    fn tick(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if now < self.looked + TICK {
            return;
        }
        self.looked = now;
        self.look_at_reading();
        self.release_silent(now);
        if self.policy.switches.learning {
            self.judge(now, orders);
            self.compare(now);
        }
        self.relieve_queued(now, orders);
        self.give_up(now, orders);
        self.refuse_resting(now, orders);
        self.expire(now, orders);
    }

    /// Requests that get a place each second while all places are taken: places over the mean
    /// time that one is held, as far as limits allow. A count of ends would say little after the pool was idle.
    fn drain_rate(&self) -> f64 {
        let mut good =
            self.servers().filter(|(_, server)| server.next_probe().is_none()).peekable();
        if good.peek().is_none() {
            return SECOND as f64 / self.held;
        }
        good.map(|(_, server)| server.drain_rate(self.held)).sum()
    }

    /// Whether all backend servers that serve take a limited number of requests, so that the end of one that runs makes
    /// no room for another.
    fn all_limited(&self) -> bool {
        let mut serving = self.servers().filter(|(_, server)| !server.leaving()).peekable();
        serving.peek().is_some() && serving.all(|(_, server)| server.rate_limit().is_some())
    }

    /// Learns from a place that was held for a time.
    fn note_held(&mut self, time: Micros) {
        let time = (time as f64).max(MILLISECOND as f64);
        self.held += (time - self.held) * HELD_SMOOTHING;
    }

    /// Time until a place is free for the request behind `ahead` others.
    fn predicted_wait(&self, ahead: usize) -> Micros {
        let wait = ahead as f64 / self.drain_rate() * SECOND as f64;
        wait.min(LONGEST_WAIT) as Micros
    }

    fn remove_waiting(&mut self, key: Key) -> Option<Waiting> {
        self.waiting_at(key)?;
        let State::Waiting(waiting) = self.asks.remove(key.0 as usize) else {
            return None;
        };
        let place = place(&waiting);
        self.queue.remove(place, key);
        self.expiry.remove(&(self.expires(&waiting), key));
        self.ids.remove(&waiting.ask.id);
        self.share.usage(place.workspace).waiting -= 1;
        if !self.queue.contains(place.tier, place.workspace) {
            self.share.deactivate(place.tier, place.workspace);
        }
        Some(waiting)
    }

    fn expires(&self, waiting: &Waiting) -> Micros {
        waiting.since + waiting.wait
    }
}

fn place(waiting: &Waiting) -> Position {
    Position {
        tier: waiting.tier,
        workspace: waiting.ask.workspace,
        class: waiting.ask.class,
        deadline: waiting.deadline,
        arrived: waiting.ask.arrived,
    }
}
