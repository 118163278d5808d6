//! The dispatch thread: schedules the requests of all pools that this instance dispatches.
//!
//! An *entry* is the instance that took a request from its caller. It sends an `Ask` message to the dispatcher of the
//! pool, which answers with the backend server that is to run the request.
//!
//! | module | contents |
//! |---|---|
//! | `answered` | parts of prompts that backend servers have answered |
//! | `asks` | `Ask` messages: retry budget, quarantine, submission to the scheduler |
//! | `breaks` | attempts that broke at backend servers which may have crashed |
//! | `budget` | the retry budget of a pool |
//! | `crashes` | crashes of backend servers as evidence against requests and parts of prompts |
//! | `excused` | requests that were answered after crashes |
//! | `health` | log lines on the health of backend servers |
//! | `hosted_pool` | the state of one pool: scheduler, names of backend servers, budget, trials |
//! | `lone_requests` | crashes that one request alone explains |
//! | `notices` | limits, rests and departures that backend servers announced to any entry |
//! | `orders` | execution of the scheduler's orders |
//! | `requesters` | the other instances that use this dispatcher |
//! | `streams` | the software versions of streams, passed on to instances that may become the dispatcher |
//! | `suspects` | requests that may crash backend servers: trial runs and quarantine |
//! | `trials` | the trial runs of a pool, isolated from each other |
//! | `usage` | counts of started requests for usage reports, and the load for autoscaling |
//! | `wire` | conversion between peer messages and scheduler types |

mod answered;
mod asks;
mod breaks;
mod budget;
mod crashes;
mod excused;
mod health;
mod hosted_pool;
mod lone_requests;
mod notices;
mod orders;
mod requesters;
mod streams;
mod suspects;
mod trials;
mod usage;
mod wire;

pub use answered::Answered;
pub use breaks::Breaks;
pub use budget::{Bound, Budget};
pub use excused::Excused;
pub use hosted_pool::HostedPool;
pub use lone_requests::LoneRequests;
pub use requesters::Requesters;
pub use trials::Trials;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crossbeam_channel::RecvTimeoutError;
use drumusher_platform::routing;
use drumusher_schedule::{
    ask::{Entry, Id, Outcome},
    engine,
    event::{Changes, Event, Load},
    order::Order,
    pool,
    time::MILLISECOND,
};
use drumusher_wire::peer::{self, Message};

use super::{Shared, clock, ring};
use crate::{
    operator::rows::{self, Row},
    request::id,
    version::{Backend, Pool},
};

/// This instance as an entry. Entries of other instances have the number of their connection, from 1.
pub const LOCAL_ENTRY: Entry = Entry(0);
/// Capacity of the ring, in messages.
const RING_CAPACITY: usize = 65_536;
/// A pool without requests is dropped after this time, in microseconds.
const IDLE_TIMEOUT: u64 = 60 * drumusher_schedule::time::SECOND;
/// The peer messages carry shares of the retry budget in thousandths.
pub(super) const SPENT_SCALE: f64 = 1_000.0;
/// Divisor of the concurrency window of each backend server: the number of instances in the area while all others
/// are unreachable, so that isolated instances don't overload the backend servers together; else 1.
pub type Divisor = u32;

/// A message to the dispatch thread.
pub enum Input {
    /// A peer message from an entry.
    Message(Entry, Box<Message>),
    /// A connection with another instance was established.
    Connected(Entry, Arc<str>),
    /// The connection with an entry ended.
    Disconnected(Entry),
    /// The configuration or the directory of backend servers changed.
    Changed,
    /// The software versions of the backend servers were checked with the store, or could not be.
    VersionsChecked,
    /// A load report of a backend server.
    Load {
        /// The pool.
        pool: Pool,
        /// The backend server.
        server: Arc<str>,
        /// The report; `None` if the backend server announced that it is leaving.
        report: Option<Report>,
    },
    /// A backend server did not answer the query for its load.
    Unreachable {
        /// The pool.
        pool: Pool,
        /// The backend server.
        server: Arc<str>,
    },
    /// The prompt parts that an engine reports to have in its cache.
    CachedParts {
        /// The pool.
        pool: Pool,
        /// The engine.
        server: Arc<str>,
        /// Identifiers of the prompt parts.
        parts: Vec<u64>,
    },
    /// Changes of the cache of an engine.
    CacheChanged {
        /// The pool.
        pool: Pool,
        /// The engine.
        server: Arc<str>,
        /// The changes.
        changes: Changes,
    },
    /// Sets the divisor of the concurrency windows.
    SetDivisor(Divisor),
    /// Requests the rows of a table for an operator's query.
    Rows(rows::Source, async_channel::Sender<Vec<Row>>),
}

/// A load report of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Age of the report in microseconds.
    pub age: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// If the backend server reported that it is full: for how many microseconds it accepts no more requests, or 0 if
    /// it gave no time.
    pub full: Option<u64>,
}

/// The sending end of the dispatch ring.
pub type Sender = ring::Sender<Input>;
/// The receiving end of the dispatch ring.
pub type Receiver = ring::Receiver<Input>;
/// Channel for messages to entries; the peers thread forwards them.
pub type Replies = ring::TaskSender<(Entry, Message)>;

/// Creates the dispatch ring.
pub fn ring() -> (Sender, Receiver) {
    ring::to_thread(RING_CAPACITY)
}

/// State of the dispatch thread.
struct Dispatcher {
    shared: Arc<Shared>,
    replies: Replies,
    pools: HashMap<Pool, HostedPool>,
    divisor: Divisor,
    answered: Answered,
    breaks: Breaks,
    lone_requests: LoneRequests,
    excused: Excused,
    undecided: VecDeque<crashes::Undecided>,
    /// Connections of other instances, and those of them that follow this one as dispatchers.
    successors: streams::Successors,
    /// Asks that wait for a check of the software versions.
    unchecked: VecDeque<streams::Unchecked>,
    orders: Vec<Order>,
    unsent: VecDeque<(Entry, Message)>,
}

/// Runs the dispatch thread until all senders of its ring are dropped.
pub fn run(shared: Arc<Shared>, receiver: Receiver, replies: Replies) {
    let orders = Vec::new();
    let (pools, unsent) = (HashMap::new(), VecDeque::new());
    let mut dispatcher = Dispatcher {
        shared,
        replies,
        pools,
        divisor: 1,
        answered: Answered::default(),
        breaks: Breaks::default(),
        lone_requests: LoneRequests::default(),
        excused: Excused::default(),
        undecided: VecDeque::new(),
        successors: streams::Successors::default(),
        unchecked: VecDeque::new(),
        orders,
        unsent,
    };
    let tick = Duration::from_micros(pool::TICK);
    loop {
        match receiver.recv_timeout(tick) {
            Ok(input) => dispatcher.handle_input(input),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        dispatcher.tick();
    }
}

impl Dispatcher {
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Message(entry, message) => self.handle_message(entry, *message),
            Input::Connected(entry, name) => self.share_streams(entry, name),
            Input::Disconnected(entry) => self.entry_disconnected(entry),
            Input::Changed => self.configuration_changed(),
            Input::VersionsChecked => self.admit_checked(),
            Input::Load { pool, server, report } => self.load_report(&pool, &server, report),
            Input::Unreachable { pool, server } => self.unreachable(&pool, &server),
            Input::CachedParts { pool, server, parts } => self.cached_parts(&pool, &server, parts),
            Input::CacheChanged { pool, server, changes } => {
                self.cache_changed(&pool, &server, changes)
            }
            Input::SetDivisor(divisor) => {
                self.divisor = divisor.max(1);
                self.configuration_changed();
            }
            Input::Rows(source, reply) => {
                let _ = reply.try_send(self.rows(source));
            }
        }
    }

    fn handle_message(&mut self, entry: Entry, message: Message) {
        match message {
            Message::Ask(ask) => self.handle_ask(entry, ask),
            Message::Withdraw(withdraw) => {
                self.unchecked.retain(|unchecked| unchecked.ask.id != withdraw.id);
                let Some(id) = id::from_wire(&withdraw.id) else { return };
                self.handle_named(&withdraw.pool, Event::Withdraw(id));
                if let Some(pool) = Pool::parse(&withdraw.pool) {
                    self.attempt_ended(&pool, id, Outcome::Cancelled);
                }
            }
            Message::Crash(crash) => self.handle_crash(&crash),
            Message::Broken(suspected) => self.handle_break(suspected),
            Message::Streams(shared) => self.shared.streams().merge(clock::now(), &shared),
            Message::Notice(notice) => self.handle_notice(entry, &notice),
            Message::Progress(batch) => self.handle_progress(&batch),
            Message::Finish(finish) => self.handle_finish(&finish),
            _ => {}
        }
    }

    fn entry_disconnected(&mut self, entry: Entry) {
        self.successors.disconnected(entry);
        self.unchecked.retain(|unchecked| unchecked.entry != entry);
        let now = clock::now();
        let directory = self.shared.directory.load();
        for (pool, hosted) in &mut self.pools {
            let instances = directory.requesters(pool);
            hosted.requesters.remove(entry);
            hosted.budget.remove(now, entry, instances);
            hosted.trials.entry_disconnected(entry);
        }
        self.handle_all(|_| Event::EntryGone(entry));
    }

    /// Handles the end of an attempt, with the progress that was not reported before.
    fn handle_finish(&mut self, finish: &peer::Finish) {
        let Some(id) = id::from_wire(&finish.id) else {
            return;
        };
        let produced = finish.produced.max(0) as u32;
        let outcome = wire::outcome(finish.outcome);
        if finish.first_token.is_some() {
            self.count_started(&finish.pool, id);
            if let Some(pool) = Pool::parse(&finish.pool) {
                self.streams_began(&pool, [id]);
            }
        } else {
            self.count_ended(&finish.pool, id, outcome);
        }
        if finish.first_token.is_some() || finish.gap.is_some() {
            let progress = wire::progress(id, produced, finish.first_token, finish.gap);
            self.handle_named(&finish.pool, Event::Progress(progress));
        }
        let event = Event::Finish(id, outcome, produced);
        self.handle_named(&finish.pool, event);
        if let Some(pool) = Pool::parse(&finish.pool) {
            self.attempt_ended(&pool, id, outcome);
        }
    }

    fn handle_progress(&mut self, batch: &peer::ProgressBatch) {
        if let Some(pool) = Pool::parse(&batch.pool) {
            let began = batch.reports.iter().filter(|report| report.first_token.is_some());
            self.streams_began(&pool, began.filter_map(|report| id::from_wire(&report.id)));
        }
        for report in &batch.reports {
            let Some(id) = id::from_wire(&report.id) else {
                continue;
            };
            if report.first_token.is_some() {
                self.count_started(&batch.pool, id);
                self.trial_started(&batch.pool, id);
            }
            let produced = report.produced.max(0) as u32;
            let progress = wire::progress(id, produced, report.first_token, report.gap);
            self.handle_named(&batch.pool, Event::Progress(progress));
        }
    }

    /// Records streams whose first event has arrived, and passes them on. A grant alone binds no stream, as its entry may
    /// have another one by then.
    fn streams_began(&mut self, pool: &Pool, ids: impl IntoIterator<Item = Id>) {
        let Some(hosted) = self.pools.get(pool) else { return };
        let server = |id| {
            let running = hosted.scheduler.running_request(id)?;
            Some(&hosted.names[usize::from(running.server.0)])
        };
        let began = ids.into_iter().filter_map(|id| self.record_stream(pool, id, server(id)?));
        let keys: Vec<_> = began.collect();
        let copies = self.copies(pool, &keys);
        self.unsent.extend(copies);
        self.flush();
    }

    fn handle_named(&mut self, pool: &str, event: Event) {
        if let Some(pool) = Pool::parse(pool) {
            self.handle(&pool, event);
        }
    }

    fn handle(&mut self, pool: &Pool, event: Event) {
        let Some(hosted) = self.pools.get_mut(pool) else {
            return;
        };
        let now = clock::now();
        hosted.last_used = now;
        hosted.scheduler.handle(now, event, &mut self.orders);
        self.send_orders(pool);
    }

    fn handle_all(&mut self, event: impl Fn(&Pool) -> Event) {
        let pools: Vec<Pool> = self.pools.keys().cloned().collect();
        for pool in pools {
            let event = event(&pool);
            let Some(hosted) = self.pools.get_mut(&pool) else {
                continue;
            };
            hosted.scheduler.handle(clock::now(), event, &mut self.orders);
            self.send_orders(&pool);
        }
    }

    fn tick(&mut self) {
        self.flush();
        self.decide_crashes();
        self.breaks.expire(clock::now());
        self.expire_streams();
        self.admit_checked();
        self.handle_all(|_| Event::Tick);
        self.record_load();
        self.record_waiting();
        let now = clock::now();
        for (pool, hosted) in &mut self.pools {
            hosted.log_health(pool, now);
            hosted.requesters.expire(now);
            hosted.remove_ended();
        }
        let pools: Vec<Pool> = self.pools.keys().cloned().collect();
        for pool in &pools {
            self.clear_proven(pool);
            self.admit_waiting(pool);
        }
        self.update_due_rates();
        let before = self.pools.len();
        self.pools.retain(|_, hosted| {
            let busy = hosted.scheduler.waiting() + hosted.scheduler.running() > 0;
            busy || now < hosted.last_used + IDLE_TIMEOUT
        });
        if self.pools.len() != before {
            self.publish_hosted();
        }
        self.publish_led();
    }

    /// Updates the numbers of requests that wait here.
    fn record_waiting(&self) {
        let mut waiting: BTreeMap<u8, usize> = BTreeMap::new();
        for (tier, requests) in
            self.pools.values().flat_map(|hosted| hosted.scheduler.waiting_by_tier())
        {
            *waiting.entry(tier).or_default() += requests;
        }
        for (tier, requests) in waiting {
            self.shared.telemetry.set_waiting(tier, requests as u64);
        }
    }

    /// Publishes the dispatched pools; the platform thread polls the load of their backend servers.
    fn publish_hosted(&self) {
        self.shared.hosted.store(Arc::new(self.pools.keys().cloned().collect()));
    }

    /// Publishes which pools are dispatched for other instances and of which of them the caches are followed, if that
    /// changed. The latter come first: the caches of the other pools are queried once.
    fn publish_led(&self) {
        let directory = self.shared.directory.load();
        let led = self
            .pools
            .iter()
            .filter(|(pool, hosted)| hosted.requesters.serves_others(directory.requesters(pool)));
        let led: BTreeSet<Pool> = led.map(|(pool, _)| pool.clone()).collect();
        let (now, follows) = (clock::now(), self.shared.version.load().policy.switches.memory);
        let has_slack = |pool: &&Pool| {
            self.pools.get(*pool).is_some_and(|hosted| hosted.scheduler.has_slack(now))
        };
        let followed: BTreeSet<Pool> =
            led.iter().filter(|_| follows).filter(has_slack).cloned().collect();
        if **self.shared.followed.load() != followed {
            self.shared.followed.store(Arc::new(followed));
        }
        if **self.shared.led.load() != led {
            self.shared.led.store(Arc::new(led));
        }
    }

    fn ensure_pool(&mut self, pool: &Pool) {
        if self.pools.contains_key(pool) {
            return;
        }
        let policy = self.shared.version.load().policy.clone();
        let hosted = HostedPool::new(policy, clock::now(), self.bound(pool));
        self.pools.insert(pool.clone(), hosted);
        self.publish_hosted();
        self.refresh_servers(pool);
    }

    /// The bound on retries of a pool. The cells of a service have equal parts of the fixed allowance.
    fn bound(&self, pool: &Pool) -> Bound {
        let repeats = &self.shared.settings.repeats;
        let directory = self.shared.directory.load();
        let service = pool.cell().map(|cell| &cell.service);
        let cells = service.and_then(|service| directory.cells(service));
        let parts = cells.map_or(1, |cells| cells.total().max(1));
        Bound {
            ratio: repeats.ratio,
            slack: repeats.slack / parts as f64,
            window: repeats.window_ms * MILLISECOND,
        }
    }

    fn configuration_changed(&mut self) {
        self.successors.forget();
        let policy = self.shared.version.load().policy.clone();
        self.handle_all(|_| Event::Policy(policy.clone()));
        let pools: Vec<Pool> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.refresh_servers(&pool);
        }
    }

    /// Updates the backend servers of a pool from the directory. A divided service has none itself: entries that have not
    /// read the whole table yet may ask for it, and turn to its cells when they are refused.
    fn refresh_servers(&mut self, pool: &Pool) {
        let directory = self.shared.directory.load_full();
        let backends = directory.backends(pool, &self.shared.area);
        let backends = backends.filter(|_| !directory.is_divided(pool));
        let wanted: BTreeMap<Arc<str>, &Backend> = backends.map(|b| (b.name.clone(), b)).collect();
        let learned = self.shared.version.load().policy.switches.windows;
        let warm_up_rate = self.warm_up_rate(pool);
        let profile = self.profile(pool);
        let Some(hosted) = self.pools.get_mut(pool) else {
            return;
        };
        hosted.set_warm_up_rate(warm_up_rate);
        hosted.set_profile(profile);
        let regions = &self.shared.settings.regions;
        for event in hosted.refresh(&pool.to_string(), &wanted, regions, learned, self.divisor) {
            self.handle(pool, event);
        }
        self.update_rates(pool, clock::now());
    }

    /// The rate limit of each backend server of a pool that warms up.
    fn warm_up_rate(&self, pool: &Pool) -> Option<f64> {
        self.shared.routing.load().as_ref()?.warm_up_rate(pool.service()?)
    }

    /// What the configuration says of the engines of a pool.
    fn profile(&self, pool: &Pool) -> Option<engine::Profile> {
        let routing = self.shared.routing.load();
        let routing::Profile { tokens, token_bytes, link_mbps, event_tokens } =
            routing.as_ref().as_ref()?.profile(pool.service()?)?;
        Some(engine::Profile { tokens, token_bytes, link_mbps, event_tokens })
    }

    fn load_report(&mut self, pool: &Pool, server: &str, report: Option<Report>) {
        let Some(hosted) = self.pools.get_mut(pool) else {
            return;
        };
        let Some(key) = hosted.keys.get(server).copied() else {
            return;
        };
        let Some(report) = report else {
            hosted.reported_leaving.insert(server.into(), clock::now());
            self.refresh_servers(pool);
            return;
        };
        if hosted.reported_leaving.remove(server).is_some() {
            self.refresh_servers(pool);
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

    fn unreachable(&mut self, pool: &Pool, server: &str) {
        let key = self.pools.get(pool).and_then(|hosted| hosted.keys.get(server).copied());
        if let Some(key) = key {
            self.handle(pool, Event::Unreachable(key));
        }
    }

    fn cached_parts(&mut self, pool: &Pool, server: &str, parts: Vec<u64>) {
        let key = self.pools.get(pool).and_then(|hosted| hosted.keys.get(server).copied());
        if let Some(key) = key {
            log::info!(server = server, parts = parts.len(); "an engine told what it keeps");
            self.handle(pool, Event::CachedParts(key, parts));
        }
    }

    fn cache_changed(&mut self, pool: &Pool, server: &str, changes: Changes) {
        let key = self.pools.get(pool).and_then(|hosted| hosted.keys.get(server).copied());
        if let Some(key) = key {
            self.handle(pool, Event::CacheChanges(key, changes));
        }
    }

    fn rows(&self, source: rows::Source) -> Vec<Row> {
        let version = self.shared.version.load();
        let mut rows = Vec::new();
        for (pool, hosted) in &self.pools {
            rows::add_pool_rows(
                source,
                pool,
                &hosted.scheduler,
                &hosted.names,
                &version,
                &mut rows,
            );
        }
        rows
    }
}
