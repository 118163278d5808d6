//! The dispatch thread: the pools this instance dispatches.
//!
//! | module | duty |
//! |---|---|
//! | `askers` | for whom a pool is dispatched |
//! | `asks` | asks of entries, as they come |
//! | `budget` | repeats that may still be granted |
//! | `notices` | what backend servers said of themselves, as all entries tell it |
//! | `orders` | carrying out what the decisions order |
//! | `health` | log lines on the health of backend servers |
//! | `host` | one pool with the names of its backend servers |
//! | `suspects` | requests that end backend servers: who is tried, who is held back |
//! | `tally` | requests that began to run, and how many run or wait, for the duties |
//! | `trials` | those that run apart from each other |
//! | `wire` | messages between instances as events, orders as messages |

mod askers;
mod asks;
mod budget;
mod health;
mod host;
mod notices;
mod orders;
mod suspects;
mod tally;
mod trials;
mod wire;

pub use askers::Askers;
pub use budget::{Bound, Budget};
pub use host::Host;
pub use trials::Trials;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crossbeam_channel::RecvTimeoutError;
use drumusher_schedule::{
    ask::{Entry, Outcome},
    event::{Event, Load},
    order::Order,
    pool,
    time::MILLISECOND,
};
use drumusher_wire::peer::{self, Message};

use super::{Shared, clock, ring};
use crate::{
    operator::rows::{self, Row},
    request::id,
    settings::Settings,
    version::{Backend, Pool},
};

/// The instance's own entry; those of connections are their numbers, from 1.
pub const OWN: Entry = Entry(0);
/// Places in the ring.
const RING: usize = 65_536;
/// How long a pool is kept that nobody asks for.
const IDLE: u64 = 60 * drumusher_schedule::time::SECOND;
/// What stands on the wire for all of the repeats that were lent.
pub(super) const SPENT_WHOLE: f64 = 1_000.0;
/// By how much an instance divides each window of requests: the number of instances of its area
/// while all others are out of reach, else 1.
pub type Divisor = u32;

/// What the dispatch thread is told.
pub enum Input {
    /// A message of an entry.
    Message(Entry, Box<Message>),
    /// An entry is gone.
    Gone(Entry),
    /// Configuration or directory changed.
    Changed,
    /// A load report of a backend server.
    Load {
        /// The pool.
        pool: Pool,
        /// The backend server.
        server: Arc<str>,
        /// What it said; `None` if it is leaving by its own word.
        report: Option<Report>,
    },
    /// What an engine says that it keeps.
    Kept {
        /// The pool.
        pool: Pool,
        /// The engine.
        server: Arc<str>,
        /// Parts of prompts.
        parts: Vec<u64>,
    },
    /// The instances of the area among which capacity is divided while they cannot be reached.
    Divide(Divisor),
    /// Rows of a table for an operator.
    Rows(rows::Source, async_channel::Sender<Vec<Row>>),
}

/// A load report on the process's own clock.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Its age in microseconds.
    pub age: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// For how many microseconds the backend server takes no more, if it said so; 0 if it did not say how long.
    pub full: Option<u64>,
}

/// The sending end of the dispatch ring.
pub type Sender = ring::Sender<Input>;
/// The receiving end of the dispatch ring.
pub type Receiver = ring::Receiver<Input>;
/// To the entries: the peers thread hands each message on.
pub type Replies = ring::TaskSender<(Entry, Message)>;

/// The dispatch ring.
pub fn ring() -> (Sender, Receiver) {
    ring::to_thread(RING)
}

/// All pools this instance dispatches.
struct Dispatch {
    shared: Arc<Shared>,
    replies: Replies,
    hosts: HashMap<Pool, Host>,
    divide: Divisor,
    orders: Vec<Order>,
    unsent: VecDeque<(Entry, Message)>,
}

/// Runs the dispatch thread until its ring is closed.
pub fn run(shared: Arc<Shared>, receiver: Receiver, replies: Replies) {
    let orders = Vec::new();
    let (hosts, unsent) = (HashMap::new(), VecDeque::new());
    let mut dispatch = Dispatch { shared, replies, hosts, divide: 1, orders, unsent };
    let tick = Duration::from_micros(pool::TICK);
    loop {
        match receiver.recv_timeout(tick) {
            Ok(input) => dispatch.take(input),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        dispatch.tick();
    }
}

impl Dispatch {
    fn take(&mut self, input: Input) {
        match input {
            Input::Message(entry, message) => self.message(entry, *message),
            Input::Gone(entry) => self.gone(entry),
            Input::Changed => self.changed(),
            Input::Load { pool, server, report } => self.load(&pool, &server, report),
            Input::Kept { pool, server, parts } => self.kept(&pool, &server, parts),
            Input::Divide(divisor) => {
                self.divide = divisor.max(1);
                self.changed();
            }
            Input::Rows(source, reply) => {
                let _ = reply.try_send(self.rows(source));
            }
        }
    }

    fn message(&mut self, entry: Entry, message: Message) {
        match message {
            Message::Ask(ask) => self.ask(entry, ask),
            Message::Withdraw(withdraw) => {
                let Some(id) = id::from_wire(&withdraw.id) else { return };
                self.at(&withdraw.pool, Event::Withdraw(id));
                if let Some(pool) = Pool::parse(&withdraw.pool) {
                    self.end_suspect(&pool, id, Outcome::Cancelled);
                }
            }
            Message::Crash(crash) => self.crashed(&crash),
            Message::Notice(notice) => self.noticed(entry, &notice),
            Message::Progress(batch) => self.progress(&batch),
            Message::Finish(finish) => self.finish(&finish),
            _ => {}
        }
    }

    fn gone(&mut self, entry: Entry) {
        let now = clock::now();
        let instances = self.shared.directory.load().instances.len();
        for host in self.hosts.values_mut() {
            host.askers.remove(entry);
            host.budget.remove(now, entry, instances);
            host.trials.gone(entry);
        }
        self.each(|_| Event::EntryGone(entry));
    }

    /// The end of an attempt, with what was not reported on it yet.
    fn finish(&mut self, finish: &peer::Finish) {
        let Some(id) = id::from_wire(&finish.id) else {
            return;
        };
        let produced = finish.produced.max(0) as u32;
        let outcome = wire::outcome(finish.outcome);
        if finish.first_token.is_some() {
            self.count_begun(&finish.pool, id);
        } else {
            self.count_ended(&finish.pool, id, outcome);
        }
        if finish.first_token.is_some() || finish.gap.is_some() {
            let progress = wire::progress(id, produced, finish.first_token, finish.gap);
            self.at(&finish.pool, Event::Progress(progress));
        }
        let event = Event::Finish(id, outcome, produced);
        self.at(&finish.pool, event);
        if let Some(pool) = Pool::parse(&finish.pool) {
            self.end_suspect(&pool, id, outcome);
        }
    }

    fn progress(&mut self, batch: &peer::ProgressBatch) {
        for report in &batch.reports {
            let Some(id) = id::from_wire(&report.id) else {
                continue;
            };
            if report.first_token.is_some() {
                self.count_begun(&batch.pool, id);
                self.begun_suspect(&batch.pool, id);
            }
            let produced = report.produced.max(0) as u32;
            let progress = wire::progress(id, produced, report.first_token, report.gap);
            self.at(&batch.pool, Event::Progress(progress));
        }
    }

    fn at(&mut self, pool: &str, event: Event) {
        if let Some(pool) = Pool::parse(pool) {
            self.handle(&pool, event);
        }
    }

    fn handle(&mut self, pool: &Pool, event: Event) {
        let Some(host) = self.hosts.get_mut(pool) else {
            return;
        };
        let now = clock::now();
        host.used = now;
        host.pool.handle(now, event, &mut self.orders);
        self.send(pool);
    }

    fn each(&mut self, event: impl Fn(&Pool) -> Event) {
        let pools: Vec<Pool> = self.hosts.keys().cloned().collect();
        for pool in pools {
            let event = event(&pool);
            let Some(host) = self.hosts.get_mut(&pool) else {
                continue;
            };
            host.pool.handle(clock::now(), event, &mut self.orders);
            self.send(&pool);
        }
    }

    fn tick(&mut self) {
        self.flush();
        self.each(|_| Event::Tick);
        self.note_busy();
        let now = clock::now();
        for (pool, host) in &mut self.hosts {
            host.log_health(pool, now);
            host.askers.expire(now);
            host.forget_ended();
        }
        let pools: Vec<Pool> = self.hosts.keys().cloned().collect();
        pools.iter().for_each(|pool| self.try_waiting(pool));
        self.look_at_limits();
        let before = self.hosts.len();
        self.hosts.retain(|_, host| {
            let busy = host.pool.waiting() + host.pool.running() > 0;
            busy || now < host.used + IDLE
        });
        if self.hosts.len() != before {
            self.publish();
        }
        self.publish_led();
    }

    /// Tells the platform thread whose load reports are wanted.
    fn publish(&self) {
        self.shared.hosted.store(Arc::new(self.hosts.keys().cloned().collect()));
    }

    /// Tells the platform thread which pools are dispatched for others, if that changed.
    fn publish_led(&self) {
        let instances = self.shared.directory.load().instances.len();
        let led = self.hosts.iter().filter(|(_, host)| host.askers.are_led(instances));
        let led: BTreeSet<Pool> = led.map(|(pool, _)| pool.clone()).collect();
        if **self.shared.led.load() != led {
            self.shared.led.store(Arc::new(led));
        }
    }

    fn host(&mut self, pool: &Pool) {
        if self.hosts.contains_key(pool) {
            return;
        }
        let policy = self.shared.version.load().policy.clone();
        let host = Host::new(policy, clock::now(), bound(&self.shared.settings));
        self.hosts.insert(pool.clone(), host);
        self.publish();
        self.refresh(pool);
    }

    fn changed(&mut self) {
        let policy = self.shared.version.load().policy.clone();
        self.each(|_| Event::Policy(policy.clone()));
        let pools: Vec<Pool> = self.hosts.keys().cloned().collect();
        for pool in pools {
            self.refresh(&pool);
        }
    }

    /// Brings a pool's backend servers in line with the directory.
    fn refresh(&mut self, pool: &Pool) {
        let directory = self.shared.directory.load_full();
        let backends = directory.backends(pool, &self.shared.area);
        let wanted: BTreeMap<Arc<str>, &Backend> = backends.map(|b| (b.name.clone(), b)).collect();
        let learned = self.shared.version.load().policy.switches.windows;
        let Some(host) = self.hosts.get_mut(pool) else {
            return;
        };
        for event in host.refresh(&pool.to_string(), &wanted, learned, self.divide) {
            self.handle(pool, event);
        }
    }

    fn load(&mut self, pool: &Pool, server: &str, report: Option<Report>) {
        let Some(host) = self.hosts.get_mut(pool) else {
            return;
        };
        let Some(key) = host.known.get(server).copied() else {
            return;
        };
        let Some(report) = report else {
            host.own_word.insert(server.into(), clock::now());
            self.refresh(pool);
            return;
        };
        if host.own_word.remove(server).is_some() {
            self.refresh(pool);
        }
        let load = Load {
            server: key,
            as_of: clock::now().saturating_sub(report.age),
            running: report.running,
            waiting: report.waiting,
            full: report.full,
        };
        self.handle(pool, Event::Load(load));
    }

    fn kept(&mut self, pool: &Pool, server: &str, parts: Vec<u64>) {
        let key = self.hosts.get(pool).and_then(|host| host.known.get(server).copied());
        if let Some(key) = key {
            log::info!(server = server, parts = parts.len(); "an engine told what it keeps");
            self.handle(pool, Event::CachedParts(key, parts));
        }
    }

    fn rows(&self, source: rows::Source) -> Vec<Row> {
        let version = self.shared.version.load();
        let mut rows = Vec::new();
        for (pool, host) in &self.hosts {
            rows::of_pool(source, pool, &host.pool, &host.names, &version, &mut rows);
        }
        rows
    }
}

/// The bound on repeats that the settings give.
fn bound(settings: &Settings) -> Bound {
    let repeats = &settings.repeats;
    Bound { ratio: repeats.ratio, slack: repeats.slack, window: repeats.window_ms * MILLISECOND }
}
