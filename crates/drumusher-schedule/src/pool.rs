//! The decisions for one pool: takes events, gives orders.

mod admit;
mod grant;
mod health;
mod preempt;
mod track;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use slab::Slab;

use crate::{
    ask::{Ask, Entry, Id, Key, Running, State, Waiting},
    engine::{DELAYING, READ_UNKNOWN},
    event::Event,
    length::Estimate,
    order::Order,
    policy::{ClassKey, Policy},
    queue::{Place, Queue},
    server::{self, Kind, Server},
    share::Share,
    side::Border,
    time::{MILLISECOND, Micros, SECOND},
};

/// Time between two looks at drain rate, slow backend servers and expired requests.
pub const TICK: Micros = 50 * MILLISECOND;
/// Assumed time that an attempt holds its place before one ended, in microseconds.
const HELD_UNKNOWN: f64 = SECOND as f64;
/// Weight of a new sample in the mean time that a place is held.
const HELD_SMOOTHING: f64 = 0.05;
/// For how long a class that was asked for counts among those in use.
const ASKED_LATELY: Micros = 30 * SECOND;
/// Entries report on running attempts more often than this; an attempt not heard of is gone.
const SILENCE: Micros = 5 * SECOND;

/// Weight of a new sample in the mean length of a class's prompts.
const PROMPT_SMOOTHING: f64 = 0.05;

/// How a class was asked for.
#[derive(Clone, Copy, Debug)]
struct Asked {
    /// When it was last.
    at: Micros,
    /// Mean length of its prompts in tokens.
    prompt: f64,
}

/// One pool as its dispatcher sees it.
#[derive(Debug)]
pub struct Pool {
    policy: Arc<Policy>,
    born: Micros,
    asks: Slab<State>,
    ids: HashMap<Id, Key>,
    queue: Queue,
    share: Share,
    lengths: Estimate,
    servers: Vec<Option<Server>>,
    /// Running attempts that may be stopped, by tier and time of the grant.
    victims: BTreeMap<u8, BTreeSet<(Micros, Key)>>,
    /// Attempts being stopped for a higher tier.
    stopping: usize,
    /// Running attempts outside reserved capacity, by tier.
    running_tiers: BTreeMap<u8, usize>,
    /// When waiting requests reach the bound of their class.
    expiry: BTreeSet<(Micros, Key)>,
    /// Tokens that each class may use of its reserved capacity.
    credit: Vec<f64>,
    /// All grants.
    grants: u64,
    /// What was asked for lately, by class.
    asked: HashMap<ClassKey, Asked>,
    /// The engines on either side.
    border: Border,
    /// Mean time that an attempt holds its place, in microseconds.
    held: f64,
    looked: Micros,
}

impl Pool {
    /// A pool without backend servers, whose dispatcher takes it over at `now`.
    pub fn new(policy: Arc<Policy>, now: Micros) -> Self {
        let classes = policy.classes.len();
        Pool {
            policy,
            born: now,
            asks: Slab::new(),
            ids: HashMap::new(),
            queue: Queue::new(),
            share: Share::new(),
            lengths: Estimate::new(),
            servers: Vec::new(),
            victims: BTreeMap::new(),
            stopping: 0,
            running_tiers: BTreeMap::new(),
            expiry: BTreeSet::new(),
            credit: vec![0.0; classes],
            grants: 0,
            asked: HashMap::new(),
            border: Border::new(),
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
            Event::Load(load) => self.report(now, &load),
            Event::Kept(key, parts) => {
                if let Some(server) = self.server(key) {
                    server.engine_mut().keep(now, &parts);
                }
            }
            Event::Server(key, options) => self.join(key, options),
            Event::Leave(key) => self.leave(key),
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
    pub fn waits(&self, id: Id) -> bool {
        self.ids.get(&id).is_some_and(|key| self.waiting_at(*key).is_some())
    }

    /// How many requests run.
    pub fn running(&self) -> usize {
        self.asks.len() - self.queue.len()
    }

    /// The requests that wait.
    pub fn each_waiting(&self) -> impl Iterator<Item = &Waiting> {
        self.asks.iter().filter_map(|(_, state)| match state {
            State::Waiting(waiting) => Some(waiting),
            State::Running(_) => None,
        })
    }

    /// The requests that run.
    pub fn each_running(&self) -> impl Iterator<Item = &Running> {
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

    /// Places free for ordinary work, over all backend servers.
    pub fn free(&self, now: Micros) -> u32 {
        self.servers().map(|(_, server)| server.free(now)).sum()
    }

    /// When no backend server is good: the time of the next trial of one.
    fn outage(&self) -> Option<Micros> {
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

    fn report(&mut self, now: Micros, load: &crate::event::Load) {
        if !self.policy.switches.learning {
            return;
        }
        if let Some(server) = self.server(load.server) {
            server.report(load, now);
        }
    }

    fn adopt(&mut self, policy: Arc<Policy>) {
        self.credit.resize(policy.classes.len(), 0.0);
        self.policy = policy;
    }

    fn entry_gone(&mut self, now: Micros, entry: Entry) {
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
        self.release_silent(now);
        if self.policy.switches.learning {
            self.judge(now, orders);
            self.compare(now);
        }
        self.give_up(now, orders);
        self.expire(now, orders);
    }

    /// Requests that get a place each second while all places are taken: places over the mean
    /// time that one is held. A count of ends would say little after the pool was idle.
    fn drain_rate(&self) -> f64 {
        let good = self.servers().filter(|(_, server)| server.next_probe().is_none());
        let places: u32 = good.map(|(_, server)| server.window()).sum();
        f64::from(places.max(1)) * SECOND as f64 / self.held
    }

    /// Learns from a place that was held for a time.
    fn note_held(&mut self, time: Micros) {
        let time = (time as f64).max(MILLISECOND as f64);
        self.held += (time - self.held) * HELD_SMOOTHING;
    }

    /// The classes that were asked for lately.
    fn asked_lately(&self, now: Micros) -> impl Iterator<Item = ClassKey> {
        let lately = self.asked.iter().filter(move |(_, asked)| now < asked.at + ASKED_LATELY);
        lately.map(|(class, _)| *class)
    }

    /// What streams of a class bear.
    fn kind(&self, now: Micros, class: ClassKey) -> Kind {
        if self.patient(now, class) { Kind::Patient } else { Kind::Pressing }
    }

    /// Whether a class is kept apart from the one with the tightest pauses between events: it bears
    /// longer ones itself, and its prompts delay the streams beside them too long. Of the classes
    /// asked for lately: classes of other pools and of routes that nobody uses do not count.
    fn patient(&self, now: Micros, key: ClassKey) -> bool {
        let Some(tightest) = self.tightest_pause(now).filter(|_| self.policy.switches.sides) else {
            return false;
        };
        let prompt = self.asked.get(&key).map_or(0.0, |asked| asked.prompt);
        let delay = prompt * self.usual_read().unwrap_or(READ_UNKNOWN);
        self.policy.class(key).token_gap > tightest && delay > tightest as f64 * DELAYING
    }

    /// Whether both patient and pressing classes were asked for lately. With one kind alone, no engine is
    /// kept free for the other.
    fn has_both_kinds(&self, now: Micros) -> bool {
        let mut kinds = self.asked_lately(now).map(|class| self.patient(now, class));
        let Some(first) = kinds.next() else {
            return false;
        };
        kinds.any(|kind| kind != first)
    }

    /// The tightest pause between events that the classes asked for lately bear.
    fn tightest_pause(&self, now: Micros) -> Option<Micros> {
        let gaps = self.asked_lately(now).map(|class| self.policy.class(class).token_gap);
        gaps.filter(|gap| *gap > 0).min()
    }

    /// Learns from a request of a class.
    fn note_asked(&mut self, now: Micros, ask: &Ask) {
        let prompt = f64::from(ask.prompt);
        let asked = self.asked.entry(ask.class).or_insert(Asked { at: now, prompt });
        asked.at = now;
        asked.prompt += (prompt - asked.prompt) * PROMPT_SMOOTHING;
    }

    /// Time until a place is free for the request behind `ahead` others.
    fn predicted_wait(&self, ahead: usize) -> Micros {
        (ahead as f64 / self.drain_rate() * SECOND as f64) as Micros
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
        if !self.queue.has(place.tier, place.workspace) {
            self.share.deactivate(place.tier, place.workspace);
        }
        Some(waiting)
    }

    fn expires(&self, waiting: &Waiting) -> Micros {
        waiting.since + waiting.wait
    }
}

fn place(waiting: &Waiting) -> Place {
    Place {
        tier: waiting.tier,
        workspace: waiting.ask.workspace,
        class: waiting.ask.class,
        deadline: waiting.deadline,
        arrived: waiting.ask.arrived,
    }
}
