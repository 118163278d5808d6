//! What the threads of one process share.

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
    quarantine::{self, Digest, Verdict},
};
use drumusher_platform::{catalog::Table, routing::Configuration};
use drumusher_schedule::time::Micros;

use super::{
    broker, catalog, clock, dispatch, explain::Explanations, notices::Notices, peers, platform,
    telemetry::Telemetry,
};
use crate::{
    request::retry::Budgets,
    settings::Settings,
    version::{Directory, Pool, Routing, Version},
};

/// What the threads of one process share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// When the process began.
    pub began: Micros,
    /// The instance's name.
    pub name: Arc<str>,
    /// What it writes about itself in the store's table of instances.
    pub entry: String,
    /// The area whose instances and backend servers form one pool: the availability zone, or what
    /// the settings name instead.
    pub area: Arc<str>,
    /// The configuration in force.
    pub version: ArcSwap<Version>,
    /// The routes in force, where the configuration is one of routes.
    pub routing: ArcSwapOption<Routing>,
    /// The store's records, as far as they are known.
    records: Mutex<catalog::Records>,
    /// What the dispatcher counted, to be told.
    tally: Mutex<Tally>,
    /// What is known of requests that end backend servers.
    quarantine: Mutex<quarantine::Table>,
    /// How many of them are held back.
    held: AtomicUsize,
    /// What backend servers last said of themselves in answers to this instance.
    pub notices: Arc<Notices>,
    /// Whether this instance is one of those that read the store and tell the others.
    pub reader: AtomicBool,
    /// Whether it is the first of them.
    pub first_reader: AtomicBool,
    /// When another instance last told that it reads the store.
    pub store_reader_seen: AtomicU64,
    /// When one that is to tell this instance last said that it gets no answers of the store.
    pub store_outage_reported: AtomicU64,
    /// Whether the store did not answer the latest call.
    pub store_unavailable: AtomicBool,
    /// The latest era of the store that is known; 0 before one is.
    store_era: AtomicU64,
    /// The position in the table of servers before which ends of entries are no lapses.
    confirmed: Mutex<Position>,
    /// Who is there.
    pub directory: ArcSwap<Directory>,
    /// Instances that have been out of reach for so long that they count as gone.
    pub lost: ArcSwap<Vec<Arc<str>>>,
    /// The pools this instance dispatches.
    pub hosted: ArcSwap<Vec<Pool>>,
    /// Those of them that it dispatches for other instances, or that it dispatches as the only instance.
    pub led: ArcSwap<BTreeSet<Pool>>,
    /// Whether a configuration was read.
    pub configured: AtomicBool,
    /// Whether the instance is stopping.
    pub stopping: AtomicBool,
    /// Since when, on the process's clock.
    pub stopping_since: AtomicU64,
    /// Requests held now.
    pub requests: AtomicUsize,
    /// To the asks this instance owns.
    pub broker: broker::Sender,
    /// To the decisions.
    pub dispatch: dispatch::Sender,
    /// To the connections, for operators' queries.
    pub peers: peers::Sender,
    /// To the platform.
    pub platform: platform::Sender,
    /// Retries that may still be made.
    pub budgets: Budgets,
    /// Why each recent request fared as it did.
    pub explanations: Explanations,
    /// Metrics and spans.
    pub telemetry: Telemetry,
}

/// The receiving ends of the rings.
pub struct Receivers {
    /// Of the broker.
    pub broker: broker::Receiver,
    /// Of the decisions.
    pub dispatch: dispatch::Receiver,
    /// Of the connections.
    pub peers: peers::Receiver,
    /// Of the platform thread.
    pub platform: platform::Receiver,
}

impl Shared {
    /// What the threads share, with an empty configuration.
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
            held: AtomicUsize::new(0),
            notices: Arc::default(),
            reader: AtomicBool::new(false),
            first_reader: AtomicBool::new(false),
            store_reader_seen: AtomicU64::new(0),
            store_outage_reported: AtomicU64::new(0),
            store_unavailable: AtomicBool::new(true),
            store_era: AtomicU64::new(0),
            confirmed: Mutex::default(),
            directory: ArcSwap::from_pointee(Directory::default()),
            lost: ArcSwap::default(),
            hosted: ArcSwap::default(),
            led: ArcSwap::default(),
            configured: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            stopping_since: AtomicU64::new(0),
            requests: AtomicUsize::new(0),
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

    /// Whether the instance takes requests from the balancer.
    pub fn ready(&self) -> bool {
        self.configured.load(Ordering::Acquire) && !self.stopping()
    }

    /// Whether the instance is stopping.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins the planned stop. Returns whether it had begun before.
    pub fn stop(&self) -> bool {
        if self.stopping.swap(true, Ordering::AcqRel) {
            return true;
        }
        self.stopping_since.store(clock::now(), Ordering::Release);
        false
    }

    /// How long the instance has been stopping.
    pub fn stopping_for(&self) -> Option<Micros> {
        let since = self.stopping_since.load(Ordering::Acquire);
        (since > 0).then(|| clock::now().saturating_sub(since))
    }

    /// Puts a new state into force, unless it is not newer.
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

    /// Puts a configuration of routes into force, unless it is not newer. Returns whether it is.
    pub fn publish_routes(&self, configuration: Configuration) -> bool {
        let current = self.routing.load();
        if current.as_ref().is_some_and(|routing| routing.version() >= configuration.version) {
            return false;
        }
        let previous = self.version.load_full();
        let version =
            Version::from_routes(Some(&previous), &configuration, self.settings.limits.queue)
                .with_switches(self.settings.decisions);
        self.version.store(Arc::new(version));
        self.routing.store(Some(Arc::new(Routing::new(configuration))));
        self.configured.store(true, Ordering::Release);
        // Rings that are full are read soon, and then from what is in force.
        let _ = self.dispatch.try_send(dispatch::Input::Changed);
        let _ = self.broker.try_send(broker::Input::Changed);
        true
    }

    /// The store's records, as far as they are known.
    pub fn records(&self) -> MutexGuard<'_, catalog::Records> {
        self.records.lock().expect("no holder panics")
    }

    /// What an instance that knows the tables up to `ends` has not seen, of the tables of which that has fewer
    /// bytes than `most`; `None` if there is nothing. What is confirmed is looked at after the records, since it is
    /// noted before them: else an end could be told without its confirmation, and be held back for nothing.
    pub fn update_since(&self, ends: &catalog::Ends, most: usize) -> Option<catalog::Update> {
        let records = self.records();
        records.since(ends, self.confirmed(), most)
    }

    /// The same of one table, whatever its length, for an instance that knows it up to `known`.
    pub fn update_of(&self, table: Table, known: Position) -> Option<catalog::Update> {
        let records = self.records();
        records.of_table(table, known, self.confirmed())
    }

    /// What the dispatcher counted, to be told.
    pub fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().expect("no holder panics")
    }

    /// What is known of requests that end backend servers. After a change [`Shared::update_held_count`] is to be called.
    pub fn quarantine(&self) -> MutexGuard<'_, quarantine::Table> {
        self.quarantine.lock().expect("no holder panics")
    }

    /// Notes how many requests are held back, and says so if that changed.
    pub fn update_held_count(&self) {
        let held = self.quarantine().held_count();
        if self.held.swap(held, Ordering::AcqRel) != held {
            log::warn!(held = held; "requests are held back, since backend servers ended each time they ran");
            self.telemetry.gauge("drumusher.quarantine.held", held as u64);
        }
    }

    /// Whether a request is held back. Most of the time none is, which costs no lock.
    pub fn is_held(&self, digest: Digest) -> bool {
        self.held.load(Ordering::Acquire) > 0 && self.quarantine().verdict(digest) == Verdict::Held
    }

    /// Notes how many backend servers have something in force that they said of themselves.
    pub fn note_notices(&self) {
        let sum = self.notices.totals(clock::now());
        self.telemetry.gauge("drumusher.servers.limited", sum.limited as u64);
        self.telemetry.gauge("drumusher.servers.leaving", sum.leaving as u64);
        self.telemetry.gauge("drumusher.servers.resting", sum.resting as u64);
    }

    /// The latest era of the store that is known; 0 before one is.
    pub fn store_era(&self) -> Era {
        self.store_era.load(Ordering::Acquire)
    }

    /// Notes the latest era of the store.
    pub fn note_store_era(&self, era: Era) {
        self.store_era.store(era, Ordering::Release);
    }

    /// The position in the table of servers before which ends of entries are no lapses, as far as is known.
    pub fn confirmed(&self) -> Position {
        *self.confirmed.lock().expect("no holder panics")
    }

    /// Ends of entries before this position are no lapses, as this instance saw or another one tells.
    pub fn confirm(&self, confirmed: Position) {
        let mut known = self.confirmed.lock().expect("no holder panics");
        *known = confirmed.max(*known);
    }

    /// Whether this instance is known to be listed in the store as it is.
    pub fn is_registered(&self) -> bool {
        let records = self.records();
        records.value(Table::Instances, &self.name) == Some(self.entry.as_str())
    }

    /// How far this instance has followed the configuration and, with a store, the backend servers.
    pub fn position(&self) -> u64 {
        if self.settings.store.is_some() {
            return self.records().position();
        }
        self.version.load().state.next
    }

    /// Replaces the directory if it changed. Returns whether it did.
    pub fn publish_directory(&self, directory: Directory) -> bool {
        if **self.directory.load() == directory {
            return false;
        }
        self.notices.keep_listed(clock::now(), &directory);
        self.directory.store(Arc::new(directory));
        let _ = self.dispatch.try_send(dispatch::Input::Changed);
        let _ = self.broker.try_send(broker::Input::Changed);
        true
    }
}
