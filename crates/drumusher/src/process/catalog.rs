//! Following the platform's store: the configuration of routes, the backend servers, the instances, and the requests
//! that end backend servers.
//!
//! What is in force changes only by what the store or another instance tells. While the store is
//! away nothing is dropped. Entries that ended while it was away may have lapsed only because their
//! owners could not write; they count as gone when they are still missing [`LAPSE`] after its
//! return. The same holds for entries that the store lost, since it came back from a copy; its own count of such
//! returns, the era, is part of each position, so that an offset that is given out again is not taken for known.
//!
//! Calls to the store have a price, and many instances would make the same ones. So a few of them, the
//! first by rank, read it, and tell the others over the connections between instances. One that is
//! told by none for [`follow::TOLD_WITHIN`] reads the store itself.

mod apply;
mod backoff;
mod entries;
mod follow;
mod kept;
mod membership;
mod passed;
mod quarantine;
mod records;
mod restore;
mod sight;

pub use backoff::Backoff;
pub use entries::Entries;
pub use membership::{Arrivals, entry};
pub use passed::Passed;
pub use records::{Ends, News, Records, TABLES, Update};
pub use sight::{LAPSE, Sight};

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
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

/// What another instance tells has a line in the log if it is as long as this, in bytes, since it may then
/// take a tenth of a second and more.
pub const LARGE: usize = 16 * 1024;
/// Time between two looks at entries held back.
const LOOK: Millis = Millis(100);

/// What the tasks of the catalog share.
struct Catalog<S> {
    shared: Arc<Shared>,
    /// When the first call is made.
    began: Micros,
    store: Rc<S>,
    /// Whether the latest call about the configuration failed, so that its task tries soon again.
    probing: Cell<bool>,
    /// The latest table that ended before the known end, with both ends.
    behind: Cell<Option<(Table, Position, Position)>>,
    /// The latest era of the store that was read or told.
    era: Cell<Option<Era>>,
    /// To the tasks that wait for changes of a table: the store came back from a copy.
    restores: RefCell<Vec<async_channel::Sender<()>>>,
    state: RefCell<State>,
}

/// What is known of the backend servers and the instances.
#[derive(Default)]
struct State {
    entries: Entries,
    instances: BTreeMap<String, Instance>,
    /// Instances that were listed before the store came back from a copy, and until when they are there without an
    /// entry.
    unlisted: Option<(Micros, BTreeMap<String, Instance>)>,
    arrivals: Arrivals,
    passed: Passed,
    /// Requests of which the store is to be told what is known here.
    unwritten: BTreeSet<Digest>,
}

/// Follows the store on the current thread until the ring is closed.
pub async fn run<S: Store + Engines + Duties + 'static>(
    shared: Arc<Shared>,
    store: S,
    receiver: platform::Receiver,
) {
    let spread_ms = shared.settings.store.as_ref().map_or(0, |store| store.spread_ms);
    let began = clock::now() + rand::random_range(0..=spread_ms) * MILLISECOND;
    let wait_ms = shared.settings.store.as_ref().map_or(0, |store| store.wait_ms);
    let found_out = (wait_ms * follow::WAIT_OTHERS + follow::FAILED_AFTER) * MILLISECOND;
    let entries = Entries::new().with_sight(Sight::new().with_found_out(found_out));
    let store = Rc::new(store);
    duties::start(&shared, store.clone());
    let catalog = Rc::new(Catalog {
        shared,
        began,
        store,
        probing: Cell::new(false),
        behind: Cell::new(None),
        era: Cell::new(None),
        restores: RefCell::default(),
        state: RefCell::new(State { entries, ..State::default() }),
    });
    rt::spawn(begin(catalog.clone()));
    rt::spawn(release(catalog.clone()));
    rt::spawn(kept::learn(catalog.clone()));
    rt::spawn(quarantine::expire(catalog.clone()));
    while let Ok(input) = receiver.recv().await {
        match input {
            platform::Input::State(teller, snapshot) => catalog.offered(&teller, &snapshot),
            platform::Input::Enter(name, entry) => catalog.enter(name, entry),
            platform::Input::Quarantine(digests) => catalog.quarantine(digests),
            // The others come only where there is a log service in place of a store.
            _ => {}
        }
    }
}

/// Tells the others of this instance, reads who else is there, and follows the tables. Who reads them
/// follows from who is there; until the store answers, each looks for itself.
async fn begin<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    let spread = catalog.began.saturating_sub(clock::now()) / MILLISECOND;
    sleep(Millis(spread as u32)).await;
    let began = clock::now();
    if let Err(error) = catalog.read(Table::Instances).await {
        catalog.failed(Table::Instances, began, &error);
    }
    rt::spawn(membership::stay_entered(catalog.clone()));
    rt::spawn(membership::forget(catalog.clone()));
    for table in TABLES {
        rt::spawn(follow::follow(catalog.clone(), table));
    }
}

/// Drops entries whose end was held back, when it is certain, and instances that were not entered again.
async fn release<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    loop {
        sleep(LOOK).await;
        catalog.release();
        catalog.release_unlisted();
    }
}

impl<S: Store + 'static> Catalog<S> {
    /// Another instance wants to be entered in the store.
    fn enter(self: &Rc<Self>, name: String, entry: String) {
        if self.state.borrow_mut().arrivals.add(clock::now(), name, entry) {
            rt::spawn(membership::enter_arrivals(self.clone()));
        }
    }
}

impl<S: Store + 'static> Catalog<S> {
    /// Drops the entries whose end is certain by now, by the own sight or by others' word.
    fn release(&self) {
        let gone = {
            let entries = &mut self.state.borrow_mut().entries;
            entries.confirm(self.shared.confirmed());
            entries.release(clock::now())
        };
        self.released(&gone);
        if self.state.borrow_mut().entries.revive(clock::now()) {
            log::info!("servers whose entries had ended before the store came back are there");
            self.publish();
        }
    }

    /// This instance has read a table up to `end` itself. To be called before others can learn of what it read,
    /// so that they learn with it what is confirmed.
    fn saw(&self, table: Table, end: Position) {
        if table == Table::Servers {
            let gone = self.state.borrow_mut().entries.saw(end, clock::now());
            self.released(&gone);
        }
    }

    /// Tells that these entries are gone, and what is confirmed.
    fn released(&self, gone: &[String]) {
        let confirmed = self.state.borrow().entries.confirmed();
        self.shared.confirm(confirmed);
        self.shared.telemetry.gauge("drumusher.entries.confirmed", confirmed.offset);
        if !gone.is_empty() {
            log::info!(servers = gone.join(",").as_str(); "servers still missing after the store's return are gone");
            self.publish();
        }
    }

    /// Whether other instances are listed.
    fn others_are_listed(&self) -> bool {
        let directory = self.shared.directory.load();
        directory.instances.keys().any(|name| *name != self.shared.name)
    }

    /// Makes what is known known to the process.
    fn publish(&self) {
        let state = self.state.borrow();
        let area = &self.shared.area;
        let instances = state.instances.iter().map(|(name, instance)| version::Instance {
            name: name.as_str().into(),
            area: area.clone(),
            address: instance.address.clone(),
            leaving: false,
            capacity: instance.capacity,
        });
        let directory = Directory::from_servers(area, instances, state.entries.servers());
        self.shared.publish_directory(directory);
    }

    /// Takes what `teller`, another instance, read of the store, as far as it is newer.
    fn offered(self: &Rc<Self>, teller: &str, bytes: &[u8]) {
        let update: Update = match serde_json::from_slice(bytes) {
            Ok(update) => update,
            Err(error) => return log::error!("records of another instance: {error}"),
        };
        self.note_era(update.era());
        self.shared.confirm(update.confirmed());
        self.state.borrow_mut().entries.confirm(self.shared.confirmed());
        let news = self.shared.records().take(update);
        if bytes.len() >= LARGE {
            log::info!(bytes = bytes.len(), new = news.len(); "another instance told much");
        }
        news.into_iter().for_each(|news| self.take(news, teller));
    }
}
