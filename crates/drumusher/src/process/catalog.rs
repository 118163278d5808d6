//! Replication of the platform's store: the configuration of routes, the registered backend servers, the instances,
//! and the quarantined requests.
//!
//! The state in force changes only when the store or another instance delivers an update; nothing is dropped while
//! the store is unavailable. An entry that was removed during an outage may merely have expired because its owner
//! could not renew it, so it is removed here only if it is still missing [`RECOVERY_GRACE`] after the store's
//! return. The same applies to entries that are lost when the store is restored from a backup. The store counts its
//! restores in an era number that is part of each position, so that an offset that is assigned again is not
//! mistaken for a known one.
//!
//! Calls to the store are expensive, and all instances would make the same ones. So a few instances, the first by
//! rank, are readers: they poll the store and relay updates over the connections between instances. An instance
//! that hears from no reader for `poll::RELAY_TIMEOUT`, or only from readers that the store has not answered lately, polls
//! the store itself.

mod apply;
mod backoff;
mod check;
mod contacts;
pub mod engine_cache;
mod entries;
mod health;
mod membership;
mod patch;
mod poll;
mod quarantine;
mod records;
mod restore;
mod skipped;
mod streams;
mod versions;

pub use backoff::Backoff;
pub use entries::Entries;
pub use health::{Health, RECOVERY_GRACE, Reports};
pub use membership::{Registrations, entry};
pub use patch::Patch;
pub use poll::RELAY_TIMEOUT;
pub use records::{Ends, Form, Records, TABLES, TableUpdate, Update};
pub use skipped::Skipped;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::{Arc, atomic::Ordering},
};

use drumusher_log::{
    position::{Era, Position},
    quarantine::Digest,
};
use drumusher_platform::{
    catalog::{Store, Table},
    duty::Duties,
    engine::Engines,
};
use drumusher_schedule::time::{MILLISECOND, Micros};
use ntex::{
    rt,
    time::{Millis, sleep},
};

use self::membership::Instance;
use super::{Shared, clock, duties, platform};
use crate::version::{self, Directory};

/// Updates of at least this many bytes from another instance are logged, since applying them may take a tenth of a
/// second or more.
pub const LARGE_UPDATE_BYTES: usize = 16 * 1024;
/// Interval between checks for pending removals that can be completed.
const PENDING_CHECK_INTERVAL: Millis = Millis(100);

/// State shared by the catalog's tasks.
struct Catalog<S> {
    shared: Arc<Shared>,
    /// Since when other instances are known that may relay updates to this one.
    met_others: Cell<Micros>,
    /// Whether the table of instances was read or relayed, so that it tells whether this instance is listed.
    knows_instances: Cell<bool>,
    /// Whether this instance still looks for another one that relays the tables, and reads none itself.
    seeks_contact: Cell<bool>,
    /// Number of failed reads of the table of instances.
    instance_failures: Cell<u32>,
    store: Rc<S>,
    /// Whether the latest call for the configuration failed. Its task then retries soon, on behalf of the other
    /// tasks.
    probing: Cell<bool>,
    /// The latest table that ended before its known end, with both positions; it is logged once.
    stale_table: Cell<Option<(Table, Position, Position)>>,
    /// The latest era of the store that was read or relayed.
    era: Cell<Option<Era>>,
    /// The check of the software versions that the dispatch thread requests.
    check: Cell<check::State>,
    /// Wakes the tasks that poll tables when the store turns out to have been restored from a backup.
    restores: RefCell<Vec<async_channel::Sender<()>>>,
    /// Wakes them when a call fails.
    failures: RefCell<Vec<async_channel::Sender<()>>>,
    state: RefCell<State>,
}

/// Known backend servers and instances.
#[derive(Default)]
struct State {
    entries: Entries,
    instances: BTreeMap<String, Instance>,
    /// The directory as it was last published, without later changes.
    directory: Directory,
    /// Whether the instances changed since.
    instances_changed: bool,
    /// Availability zones that operators evacuate.
    evacuated: BTreeSet<String>,
    /// Instances that were listed before the store was restored from a backup, and until when they are kept without
    /// an entry.
    unlisted: Option<(Micros, BTreeMap<String, Instance>)>,
    registrations: Registrations,
    skipped: Skipped,
    /// Digests of requests whose quarantine records have to be written to the store.
    unwritten: BTreeSet<Digest>,
}

/// Replicates the store on the current thread until the input channel is closed.
pub async fn run<S: Store + Engines + Duties + 'static>(
    shared: Arc<Shared>,
    store: S,
    receiver: platform::Receiver,
) {
    let spread_ms = shared.settings.store.as_ref().map_or(0, |store| store.spread_ms);
    let wait_ms = shared.settings.store.as_ref().map_or(0, |store| store.wait_ms);
    let detection_time = (wait_ms * poll::OTHER_WAIT_FACTOR + poll::CALL_MARGIN_MS) * MILLISECOND;
    let entries = Entries::new().with_health(Health::new().with_detection_time(detection_time));
    let store = Rc::new(store);
    duties::start(&shared, store.clone());
    let catalog = Rc::new(Catalog {
        shared,
        met_others: Cell::new(0),
        knows_instances: Cell::new(false),
        seeks_contact: Cell::new(false),
        instance_failures: Cell::new(0),
        store,
        probing: Cell::new(false),
        stale_table: Cell::new(None),
        era: Cell::new(None),
        check: Cell::default(),
        restores: RefCell::default(),
        failures: RefCell::default(),
        state: RefCell::new(State { entries, ..State::default() }),
    });
    rt::spawn(start_polling(catalog.clone(), spread_ms));
    rt::spawn(complete_removals(catalog.clone()));
    rt::spawn(engine_cache::query_new_pools(catalog.clone()));
    rt::spawn(engine_cache::follow_engines(catalog.clone()));
    rt::spawn(quarantine::remove_expired(catalog.clone()));
    rt::spawn(versions::keep_written(catalog.clone()));
    rt::spawn(streams::keep(catalog.clone()));
    while let Ok(input) = receiver.recv().await {
        match input {
            platform::Input::State(source, snapshot) => {
                catalog.apply_peer_update(&source, &snapshot)
            }
            platform::Input::Register(name, entry) => catalog.register(name, entry),
            platform::Input::Quarantine(digests) => catalog.queue_quarantine(digests),
            platform::Input::CheckVersions => check::request(&catalog),
            // The other inputs occur only with a log service instead of a store.
            _ => {}
        }
    }
}

/// Finds out which instances read the store, and then starts polling the tables and maintaining this instance's own
/// entry. Until the store answers, each instance polls for itself. The first start of a deployment is spread over
/// `spread_ms` milliseconds; nobody has been a reader before it.
async fn start_polling<S: Store + 'static>(catalog: Rc<Catalog<S>>, spread_ms: u64) {
    sleep(Millis(rand::random_range(0..=spread_ms) as u32)).await;
    let mut contacts = Vec::new();
    if spread_ms > 0 {
        // The first start of a deployment.
        versions::restore(&catalog.shared, &[]);
    }
    let seeks = spread_ms == 0 && catalog.starts_with_contacts(&mut contacts).await;
    if !seeks {
        let began = clock::now();
        if let Err(error) = catalog.read_table(Table::Instances).await {
            catalog.note_failure(Table::Instances, began, &error);
        }
    }
    catalog.met_others.set(clock::now());
    catalog.seeks_contact.set(seeks);
    if seeks {
        rt::spawn(contacts::seek_contact(catalog.clone(), contacts));
    }
    rt::spawn(contacts::keep_contact(catalog.clone()));
    rt::spawn(membership::keep_registered(catalog.clone()));
    rt::spawn(membership::remove_lost(catalog.clone()));
    for table in TABLES {
        rt::spawn(poll::poll(catalog.clone(), table));
    }
    rt::spawn(poll::check_availability(catalog));
}

/// Completes pending removals once they are certain, and drops instances that did not register again after a
/// restore.
async fn complete_removals<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    loop {
        sleep(PENDING_CHECK_INTERVAL).await;
        catalog.remove_confirmed();
        catalog.drop_expired_unlisted();
    }
}

impl<S: Store + 'static> Catalog<S> {
    /// Queues the entry of another instance to be written to the store.
    fn register(self: &Rc<Self>, name: String, entry: String) {
        if self.state.borrow_mut().registrations.add(clock::now(), name, entry) {
            rt::spawn(membership::write_registrations(self.clone()));
        }
    }
}

impl<S: Store + 'static> Catalog<S> {
    /// Completes the removals that are certain by now, from this instance's own reads or confirmed by others.
    fn remove_confirmed(&self) {
        let removed = {
            let entries = &mut self.state.borrow_mut().entries;
            entries.confirm(self.shared.confirmed());
            entries
                .health_mut()
                .record_steady(self.shared.store_steady_seen.load(Ordering::Acquire));
            entries.remove_confirmed(clock::now())
        };
        self.publish_stability();
        let steady = self.shared.reader.load(Ordering::Acquire)
            && self.state.borrow().entries.health().is_stable(clock::now());
        self.shared.telemetry.gauge("drumusher.store.steady", u64::from(steady));
        self.publish_removals(&removed);
        if self.state.borrow_mut().entries.accept_restored(clock::now()) {
            log::info!(
                "servers whose entries had been removed before the store was restored are still registered"
            );
            self.publish();
        }
    }

    /// Records that this instance has read a table up to `end` itself. Must be called before the records are
    /// published, so that other instances receive the confirmation along with them.
    fn record_read(&self, table: Table, end: Position) {
        if table == Table::Servers {
            let removed = self.state.borrow_mut().entries.record_read(end, clock::now());
            self.publish_removals(&removed);
        }
    }

    /// Records that the store answered that a table has no changes after `end`.
    fn record_unchanged(&self, table: Table, end: Position) {
        if table == Table::Servers {
            let removed = self.state.borrow_mut().entries.record_unchanged(end, clock::now());
            self.publish_removals(&removed);
        }
    }

    /// Publishes the confirmed position and, if entries were removed, the directory.
    fn publish_removals(&self, removed: &[String]) {
        let confirmed = self.state.borrow().entries.confirmed();
        self.shared.confirm(confirmed);
        self.shared.telemetry.gauge("drumusher.entries.confirmed", confirmed.offset);
        if !removed.is_empty() {
            log::info!(servers = removed.join(",").as_str(); "removed servers that are still missing after the store's return");
            self.publish();
        }
    }

    /// Whether other instances are listed.
    fn others_are_listed(&self) -> bool {
        let directory = self.shared.directory.load();
        directory.instances.keys().any(|name| *name != self.shared.name)
    }

    /// Publishes the directory of instances and backend servers to the process, with the changes since it was last
    /// published.
    fn publish(&self) {
        let state = &mut *self.state.borrow_mut();
        let area = &self.shared.area;
        if std::mem::take(&mut state.instances_changed) {
            let instances = state.instances.iter().map(|(name, instance)| version::Instance {
                name: name.as_str().into(),
                area: area.clone(),
                availability_zone: instance.availability_zone.as_str().into(),
                address: instance.address.clone(),
                leaving: false,
                capacity: instance.capacity,
            });
            state.directory.set_instances(instances);
        }
        for id in state.entries.take_changed() {
            match state.entries.server(&id) {
                Some(server) => {
                    let warm_at = state.entries.warm_at(&id);
                    let evacuated = state.evacuated.contains(&*server.availability_zone);
                    let registration = version::Registration { server, warm_at, evacuated };
                    state.directory.put_server(area, registration);
                }
                None => state.directory.remove_server(&id),
            }
        }
        self.shared.telemetry.gauge("drumusher.servers.listed", state.entries.len() as u64);
        self.shared.publish_directory(state.directory.clone());
    }

    /// Applies an update that the instance `source` read from the store, as far as it is newer.
    fn apply_peer_update(self: &Rc<Self>, source: &str, bytes: &[u8]) {
        let update: Update = match serde_json::from_slice(bytes) {
            Ok(update) => update,
            Err(error) => return log::error!("malformed update from another instance: {error}"),
        };
        self.observe_era(update.era());
        self.shared.confirm(update.confirmed());
        self.state.borrow_mut().entries.confirm(self.shared.confirmed());
        let updates = self.shared.records().merge(update);
        if self.is_known(Table::Instances) && !self.knows_instances.replace(true) {
            self.met_others.set(clock::now());
        }
        if bytes.len() >= LARGE_UPDATE_BYTES {
            log::info!(bytes = bytes.len(), new = updates.len(); "received a large update from another instance");
        }
        updates.into_iter().for_each(|update| self.apply(update, source));
    }
}
