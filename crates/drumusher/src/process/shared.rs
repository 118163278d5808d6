//! State shared by the threads of one process.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use drumusher_duty::usage::Tally;
use drumusher_log::{
    config::State,
    position::{Era, Position},
    quarantine,
};
use drumusher_platform::{catalog::Table, routing::Configuration};
use drumusher_schedule::time::Micros;

use super::{
    broker,
    catalog::{self, Form},
    clock, dispatch,
    explain::Explanations,
    memory,
    notices::Notices,
    peers, platform, stop,
    streams::Streams,
    telemetry::Telemetry,
};
use crate::{
    connection::Identity,
    request::retry::Budgets,
    settings::Settings,
    upstream::Paths,
    version::{Directory, Pool, Routing, Version},
};

/// State shared by the threads of the process.
pub struct Shared {
    /// Settings read at startup.
    pub settings: Settings,
    /// Start time of the process.
    pub began: Micros,
    /// Name of this instance.
    pub name: Arc<str>,
    /// Value under which this instance registers in the store's table of instances.
    pub entry: String,
    /// Area whose instances and backend servers form one pool: the availability zone, or the one named in the
    /// settings.
    pub area: Arc<str>,
    /// Configuration in force.
    pub version: ArcSwap<Version>,
    /// Routes in force; `None` with a log-service deployment, whose configuration has no routes.
    pub routing: ArcSwapOption<Routing>,
    /// Latest known records of the store's tables.
    records: Mutex<catalog::Records>,
    /// Usage counted by the dispatcher that is still to be published.
    tally: Mutex<Tally>,
    /// Quarantine of requests that crash backend servers.
    quarantine: Mutex<quarantine::Table>,
    /// The software versions that began streams.
    streams: Mutex<Streams>,
    /// Number of quarantined requests that are held back.
    held: AtomicUsize,
    /// Limits, back-off periods and departures that backend servers announced in their responses to this
    /// instance.
    pub notices: Arc<Notices>,
    /// Backend servers that this instance does not reach itself.
    pub paths: Paths,
    /// Whether this instance reads the store on behalf of the others.
    pub reader: AtomicBool,
    /// Whether it is the first of these readers by rank.
    pub first_reader: AtomicBool,
    /// Time at which another instance last reported that it reads the store; 0 if none has.
    pub store_reader_seen: AtomicU64,
    /// Time until which the records of another instance count as current: it reads the store, and the store has
    /// answered it lately. 0 if there was none.
    pub store_fed_until: AtomicU64,
    /// Time of the store's latest answer to a call of this instance; 0 if there was none.
    pub store_answered_at: AtomicU64,
    /// Time at which a reader last reported, while this instance was none, that the store does not answer; 0 if
    /// none has, or if another reader was heard to have the store well after it.
    pub store_outage_reported: AtomicU64,
    /// Time of the latest report of a reader that the store has answered all its calls for long enough, unless that
    /// reader said otherwise since or became unreachable; 0 if there is none.
    pub store_steady_seen: AtomicU64,
    /// The same, also if that reader became unreachable or is no reader any more.
    pub store_steady_heard: AtomicU64,
    /// Time from which on this instance's own calls show the store to be stable; 0 if they don't.
    pub store_stable_since: AtomicU64,
    /// Whether the latest call to the store failed.
    pub store_unavailable: AtomicBool,
    /// Latest known era of the store, which counts its restores from a backup; 0 until one is known.
    store_era: AtomicU64,
    /// Position in the table of servers before which a removed entry is certainly gone and cannot be a lapse.
    confirmed: Mutex<Position>,
    /// Known instances and backend servers.
    pub directory: ArcSwap<Directory>,
    /// Instances that are unreachable.
    pub unreachable: ArcSwap<BTreeSet<Arc<str>>>,
    /// Instances that have been unreachable for so long that they count as gone.
    pub lost: ArcSwap<Vec<Arc<str>>>,
    /// Pools dispatched by this instance.
    pub hosted: ArcSwap<Vec<Pool>>,
    /// Pools among [`Self::hosted`] that this instance dispatches for other instances, or as the only
    /// instance.
    pub led: ArcSwap<BTreeSet<Pool>>,
    /// Pools among [`Self::led`] of whose engines this instance follows the caches.
    pub followed: ArcSwap<BTreeSet<Pool>>,
    /// Whether a configuration has been read.
    pub configured: AtomicBool,
    /// Whether the instance is stopping.
    pub stopping: AtomicBool,
    /// Start of the planned stop on the process's clock; 0 before.
    pub stopping_since: AtomicU64,
    /// Whether the planned stop cuts the requests that are left.
    cutting: AtomicBool,
    /// Set by the handler of a signal that requests a stop, before any thread has acted on it.
    pub stop_signalled: Arc<AtomicBool>,
    /// Latest time at which the process ran and no stop had been requested. The request came no earlier.
    running_at: AtomicU64,
    /// Memory for the bodies of requests and responses.
    pub memory: Arc<memory::Budget>,
    /// Number of requests in flight.
    pub requests: AtomicUsize,
    /// Number of these that wait for a grant.
    pub waiting: AtomicUsize,
    /// Number of responses that are still to be delivered, besides those of requests in flight.
    pub undelivered: AtomicUsize,
    /// Number of HTTP workers that may still have something to handle. A planned stop waits for them.
    pub active_workers: AtomicUsize,
    /// Sender to the broker, which holds the asks owned by this instance.
    pub broker: broker::Sender,
    /// Sender to the dispatcher.
    pub dispatch: dispatch::Sender,
    /// Sender to the peer connections, for operators' queries.
    pub peers: peers::Sender,
    /// Sender to the platform thread.
    pub platform: platform::Sender,
    /// Retry budgets.
    pub budgets: Budgets,
    /// Explanations of recent requests' outcomes.
    pub explanations: Explanations,
    /// Metrics and trace spans.
    pub telemetry: Telemetry,
}

/// Receiving ends of the queues between threads.
pub struct Receivers {
    /// Input of the broker.
    pub broker: broker::Receiver,
    /// Input of the dispatcher.
    pub dispatch: dispatch::Receiver,
    /// Input of the peer connections.
    pub peers: peers::Receiver,
    /// Input of the platform thread.
    pub platform: platform::Receiver,
}

impl Shared {
    /// Creates the shared state with an empty configuration, and the receiving ends of its queues.
    pub fn new(settings: Settings, telemetry: Telemetry) -> (Arc<Shared>, Receivers) {
        let (broker, broker_receiver) = broker::ring();
        let (dispatch, dispatch_receiver) = dispatch::ring();
        let (peers, peers_receiver) = peers::ring();
        let (platform, platform_receiver) = platform::ring();
        let version = Version::new(None, State::new(), settings.limits.queue)
            .with_switches(settings.decisions);
        let shared = Shared {
            began: clock::now(),
            name: settings.name.as_str().into(),
            entry: catalog::entry(&settings),
            area: settings.area.as_str().into(),
            version: ArcSwap::from_pointee(version),
            routing: ArcSwapOption::empty(),
            records: Mutex::default(),
            tally: Mutex::default(),
            quarantine: Mutex::default(),
            streams: Mutex::default(),
            held: AtomicUsize::new(0),
            notices: Arc::default(),
            paths: Paths::default(),
            reader: AtomicBool::new(false),
            first_reader: AtomicBool::new(false),
            store_reader_seen: AtomicU64::new(0),
            store_fed_until: AtomicU64::new(0),
            store_answered_at: AtomicU64::new(0),
            store_outage_reported: AtomicU64::new(0),
            store_steady_seen: AtomicU64::new(0),
            store_steady_heard: AtomicU64::new(0),
            store_stable_since: AtomicU64::new(0),
            store_unavailable: AtomicBool::new(true),
            store_era: AtomicU64::new(0),
            confirmed: Mutex::default(),
            directory: ArcSwap::from_pointee(Directory::default()),
            unreachable: ArcSwap::default(),
            lost: ArcSwap::default(),
            hosted: ArcSwap::default(),
            led: ArcSwap::default(),
            followed: ArcSwap::default(),
            configured: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            stopping_since: AtomicU64::new(0),
            cutting: AtomicBool::new(false),
            stop_signalled: Arc::default(),
            running_at: AtomicU64::new(0),
            memory: Arc::new(memory::Budget::new(settings.limits.memory_mb)),
            requests: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            undelivered: AtomicUsize::new(0),
            active_workers: AtomicUsize::new(0),
            broker,
            dispatch,
            peers,
            platform,
            budgets: Budgets::new(settings.backend.retry_share),
            explanations: Explanations::new(),
            telemetry,
            settings,
        };
        let receivers = Receivers {
            broker: broker_receiver,
            dispatch: dispatch_receiver,
            peers: peers_receiver,
            platform: platform_receiver,
        };
        (Arc::new(shared), receivers)
    }

    /// How this instance introduces itself to others.
    pub fn identity(&self) -> Identity<'_> {
        let secret = self.settings.fleet_secret.as_bytes();
        Identity { name: &self.name, area: &self.area, secret }
    }

    /// Whether the instance is ready for requests from the load balancer.
    pub fn ready(&self) -> bool {
        self.configured.load(Ordering::Acquire) && !self.stopping()
    }

    /// Whether the instance is stopping.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Starts the planned stop. Returns whether it was already under way.
    pub fn stop(&self) -> bool {
        if self.stopping.swap(true, Ordering::AcqRel) {
            return true;
        }
        self.stopping_since.store(clock::now(), Ordering::Release);
        false
    }

    /// Lets the HTTP workers end the requests that are left, as the planned stop waits no longer.
    pub fn cut_requests(&self) {
        self.cutting.store(true, Ordering::Release);
    }

    /// Whether the planned stop cuts the requests that are left.
    pub fn cutting(&self) -> bool {
        self.cutting.load(Ordering::Acquire)
    }

    /// Records that no stop had been requested at `time`, unless one has been since.
    pub fn record_running(&self, time: Micros) {
        if !self.stop_signalled.load(Ordering::Acquire) {
            self.running_at.store(time, Ordering::Release);
        }
    }

    /// Longest time for which a planned stop may have been requested; `None` if it has not. A process that got no
    /// processor time notices the request late.
    pub fn stop_requested_for(&self) -> Option<Micros> {
        self.stopping_for()?;
        Some(clock::now().saturating_sub(self.running_at.load(Ordering::Acquire)))
    }

    /// Time since the planned stop started; `None` if it has not.
    pub fn stopping_for(&self) -> Option<Micros> {
        let since = self.stopping_since.load(Ordering::Acquire);
        (since > 0).then(|| clock::now().saturating_sub(since))
    }

    /// The metrics as text.
    pub fn metrics(&self) -> String {
        self.telemetry.gauge("drumusher.bodies.reserved", self.memory.reserved() as u64);
        self.telemetry.text()
    }

    /// The schedule of the planned stop; `None` if it has not started.
    pub fn stop_schedule(&self) -> Option<stop::Schedule> {
        let since = self.stopping_since.load(Ordering::Acquire);
        (since > 0).then(|| stop::Schedule::new(since, self.settings.stop_longest_ms))
    }

    /// Whether the planned stop has reached the point at which requests that wait for a backend server are refused.
    /// `deadline` is the time until which the caller waits, if known.
    pub fn stop_refuses_waiting(&self, deadline: Option<Micros>) -> bool {
        let schedule = self.stop_schedule();
        schedule.is_some_and(|schedule| schedule.refuses_waiting(clock::now(), deadline))
    }

    /// Puts a configuration state into force if it is newer than the current one.
    pub fn publish(&self, state: State) {
        let current = self.version.load_full();
        if state.next <= current.state.next && self.configured.load(Ordering::Acquire) {
            return;
        }
        let version = Version::new(Some(&current), state, self.settings.limits.queue)
            .with_switches(self.settings.decisions);
        self.version.store(Arc::new(version));
        self.configured.store(true, Ordering::Release);
        let _ = self.dispatch.try_send(dispatch::Input::Changed);
    }

    /// Puts a configuration of routes into force if it is newer than the current one. Returns whether it was.
    pub fn publish_routes(&self, configuration: Configuration) -> bool {
        let current = self.routing.load();
        if current.as_ref().is_some_and(|routing| routing.version() >= configuration.version) {
            return false;
        }
        let previous = self.version.load_full();
        let Settings { regions, limits, decisions, .. } = &self.settings;
        let version = Version::from_routes(Some(&previous), &configuration, regions, limits.queue)
            .with_switches(*decisions);
        self.version.store(Arc::new(version));
        self.routing.store(Some(Arc::new(Routing::new(configuration))));
        self.configured.store(true, Ordering::Release);
        // A full queue needs no notification: its reader is about to run and reads the configuration in
        // force.
        let _ = self.dispatch.try_send(dispatch::Input::Changed);
        let _ = self.broker.try_send(broker::Input::Changed);
        true
    }

    /// Latest known records of the store's tables.
    pub fn records(&self) -> MutexGuard<'_, catalog::Records> {
        self.records.lock().expect("no holder panics")
    }

    /// Records that an instance lacks if it has read the tables up to `ends`, limited to tables with fewer
    /// than `max_bytes` bytes to send; `None` if there are none. The confirmed position is read after the
    /// records because it is stored before them: otherwise a removal could be sent without its confirmation,
    /// and the receiver would hold it back for nothing.
    pub fn update_since(
        &self,
        ends: &catalog::Ends,
        max_bytes: usize,
        form: Form,
    ) -> Option<catalog::Update> {
        let records = self.records();
        records.since(ends, self.confirmed(), max_bytes, form)
    }

    /// Like [`Self::update_since`] for one table of any size, for an instance that has read it up to `known`.
    pub fn update_of(&self, table: Table, known: Position, form: Form) -> Option<catalog::Update> {
        let records = self.records();
        records.of_table(table, known, self.confirmed(), form)
    }

    /// Usage counted by the dispatcher that is still to be published.
    pub fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().expect("no holder panics")
    }

    /// Quarantine of requests that crash backend servers. Call [`Shared::update_held_count`] after a change.
    pub fn quarantine(&self) -> MutexGuard<'_, quarantine::Table> {
        self.quarantine.lock().expect("no holder panics")
    }

    /// Recounts the requests held back, and reports a changed count in the log and the metrics.
    pub fn update_held_count(&self) {
        let held = self.quarantine().held_count();
        if self.held.swap(held, Ordering::AcqRel) != held {
            log::warn!(held = held; "requests are held back because backend servers crashed each time they ran them");
            self.telemetry.gauge("drumusher.quarantine.held", held as u64);
        }
    }

    /// Whether any request or part of a prompt is held back. Takes no lock.
    pub fn holds_any(&self) -> bool {
        self.held.load(Ordering::Acquire) > 0
    }

    /// Updates the gauges of backend servers that have announced a limit, a departure or a back-off period.
    pub fn update_notice_gauges(&self) {
        let sum = self.notices.totals(clock::now());
        self.telemetry.gauge("drumusher.servers.limited", sum.limited as u64);
        self.telemetry.gauge("drumusher.servers.leaving", sum.leaving as u64);
        self.telemetry.gauge("drumusher.servers.resting", sum.resting as u64);
    }

    /// Latest known era of the store, which counts its restores from a backup; 0 until one is known.
    pub fn store_era(&self) -> Era {
        self.store_era.load(Ordering::Acquire)
    }

    /// Sets the latest known era of the store.
    pub fn note_store_era(&self, era: Era) {
        self.store_era.store(era, Ordering::Release);
    }

    /// Latest known position in the table of servers before which a removed entry is certainly gone.
    pub fn confirmed(&self) -> Position {
        *self.confirmed.lock().expect("no holder panics")
    }

    /// Advances the confirmed position to `confirmed`, as read by this instance or reported by another one.
    pub fn confirm(&self, confirmed: Position) {
        let mut known = self.confirmed.lock().expect("no holder panics");
        *known = confirmed.max(*known);
    }

    /// The software versions that began streams.
    pub fn streams(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().expect("no holder panics")
    }

    /// Whether the store is known to hold this instance's current registration.
    pub fn is_registered(&self) -> bool {
        let records = self.records();
        records.value(Table::Instances, &self.name) == Some(self.entry.as_str())
    }

    /// Position up to which this instance has read the configuration and, with a store, the backend servers.
    pub fn position(&self) -> u64 {
        if self.settings.store.is_some() {
            return self.records().position();
        }
        self.version.load().state.next
    }

    /// Replaces the directory if it differs. Returns whether it did.
    pub fn publish_directory(&self, directory: Directory) -> bool {
        if **self.directory.load() == directory {
            return false;
        }
        self.notices.keep_listed(clock::now(), &directory);
        self.paths.keep_listed(&directory);
        self.streams().set_directory(clock::now(), &directory);
        self.directory.store(Arc::new(directory));
        let _ = self.dispatch.try_send(dispatch::Input::Changed);
        let _ = self.broker.try_send(broker::Input::Changed);
        true
    }
}
