//! The table of instances: entering the own instance and others, and forgetting those that are gone for
//! good.
//!
//! An instance that is listed already, at its restart, writes nothing. One that is not tells those that
//! read the store for it, in its heartbeats, and they write all that came within [`GATHER`] in one call.
//! Where nobody else is listed, or nobody entered it within [`ENTERED_WITHIN`], it writes by itself.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::atomic::Ordering};

use drumusher_platform::{
    Error,
    catalog::{Record, Store, Table},
};
use drumusher_schedule::{
    rank,
    time::{MILLISECOND, Micros, SECOND},
};
use ntex::time::{Millis, sleep};
use serde::{Deserialize, Serialize};

use super::{Backoff, Catalog};
use crate::{
    process::clock,
    settings::{self, Settings},
};

/// Time between two looks at the entries of instances, the own one if it is there, and those of instances
/// that are gone. Both matter after minutes.
const ENTRY_LOOK: Millis = Millis(5_000);
/// The same while the own entry is missing.
const MISSING_LOOK: Millis = Millis(100);
/// An instance that others do not enter within this does it itself: eight of the heartbeats that ask
/// for it, of which the first may have to wait for a connection.
const ENTERED_WITHIN: Micros = 2 * SECOND;
/// How long entries of other instances are gathered for one call.
const GATHER: Millis = Millis(100);
/// An instance whose entry the store lost is entered again within this: it is told of the loss and asks for it in some
/// heartbeats, or enters itself after [`ENTERED_WITHIN`].
pub(super) const ENTERED_AGAIN: Micros = 2 * ENTERED_WITHIN;
/// An entry that was written is not written again within this, in which it is read back.
const READ_BACK: Micros = 1_000 * MILLISECOND;

/// What an instance writes about itself.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct Instance {
    availability_zone: String,
    /// Where other instances reach it.
    pub(super) address: String,
    /// Its processor time, in thousandths of a core.
    #[serde(default = "usual_capacity")]
    pub(super) capacity: u32,
}

/// The capacity of an instance that does not tell its own.
fn usual_capacity() -> u32 {
    rank::DEFAULT_CAPACITY
}

impl Instance {
    /// Reads the entry under `key`. Of another writer's it takes only what the settings of an instance could
    /// say: an instance with more processor time than there is would be given all roles.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] with the reason.
    pub(super) fn read(key: &str, value: &str) -> Result<Self, Error> {
        let wrong = |what: &str| Error::Malformed(what.into());
        let read = serde_json::from_str(value);
        let instance: Instance = read.map_err(|error| wrong(&error.to_string()))?;
        if !settings::is_name(key) || !settings::is_name(&instance.availability_zone) {
            return Err(wrong("no instance or availability zone has that name"));
        }
        if instance.address.parse::<SocketAddr>().is_err() {
            return Err(wrong("it has no address"));
        }
        if !settings::CAPACITIES.contains(&instance.capacity) {
            return Err(wrong("no instance has so much processor time"));
        }
        Ok(instance)
    }
}

/// The entry of the instance with these settings.
pub fn entry(settings: &Settings) -> String {
    let instance = Instance {
        availability_zone: settings.availability_zone.clone(),
        address: settings.advertise.to_string(),
        capacity: settings.capacity,
    };
    serde_json::to_string(&instance).expect("two texts and a number can be written")
}

/// Entries of other instances that this one is to write. Without I/O.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Entries by name.
    waiting: BTreeMap<String, String>,
    /// When an entry was written last.
    written: BTreeMap<String, Micros>,
}

impl Arrivals {
    /// Nobody wants to be entered yet.
    pub fn new() -> Self {
        Arrivals::default()
    }

    /// An instance wants to be entered. Returns whether it is the first one that waits.
    pub fn add(&mut self, now: Micros, name: String, entry: String) -> bool {
        self.written.retain(|_, at| now < *at + READ_BACK);
        if self.written.contains_key(&name) {
            return false;
        }
        let first = self.waiting.is_empty();
        self.waiting.insert(name, entry);
        first
    }

    /// The records of all that wait, which are to be written now.
    pub fn take(&mut self, now: Micros) -> Vec<Record> {
        let waiting = std::mem::take(&mut self.waiting);
        self.written.extend(waiting.keys().map(|name| (name.clone(), now)));
        waiting.into_iter().map(|(key, entry)| Record { key, value: Some(entry) }).collect()
    }
}

/// Keeps this instance entered in the store. Another one may have dropped the entry, because this one
/// was out of reach for long.
pub(super) async fn stay_entered<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    let shared = &catalog.shared;
    let mut backoff = Backoff::new();
    let mut missing = None;
    loop {
        if shared.is_entered() || shared.stopping() {
            missing = None;
            sleep(ENTRY_LOOK).await;
            continue;
        }
        let since = *missing.get_or_insert(clock::now());
        if catalog.others_are_listed() && clock::now() < since + ENTERED_WITHIN {
            sleep(MISSING_LOOK).await;
            continue;
        }
        let own = Record { key: shared.name.to_string(), value: Some(shared.entry.clone()) };
        let began = clock::now();
        match catalog.store.put(Table::Instances, &[own]).await {
            Ok(()) => {
                log::info!("this instance entered itself in the store");
                backoff.reset();
                sleep(ENTRY_LOOK).await;
            }
            Err(error) => {
                catalog.failed(Table::Instances, began, &error);
                sleep(backoff.next(false)).await;
            }
        }
    }
}

/// Enters the other instances that asked for it, in one call.
pub(super) async fn enter_arrivals<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    sleep(GATHER).await;
    let records = catalog.state.borrow_mut().arrivals.take(clock::now());
    let began = clock::now();
    match catalog.store.put(Table::Instances, &records).await {
        Ok(()) => log::info!(instances = records.len(); "instances were entered in the store"),
        // They ask again with each heartbeat.
        Err(error) => catalog.failed(Table::Instances, began, &error),
    }
}

/// Drops the entries of instances that are gone for good, as the first reader.
pub(super) async fn forget<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    loop {
        sleep(ENTRY_LOOK).await;
        let shared = &catalog.shared;
        let away = shared.store_away.load(Ordering::Acquire);
        let lost = shared.lost.load_full();
        if away || lost.is_empty() || !shared.first_reader.load(Ordering::Acquire) {
            continue;
        }
        let ends = lost.iter().map(|name| Record { key: name.to_string(), value: None });
        let ends: Vec<Record> = ends.collect();
        let began = clock::now();
        match catalog.store.put(Table::Instances, &ends).await {
            Ok(()) => {
                for end in &ends {
                    log::info!(instance = end.key.as_str(); "an instance out of reach for long is off the list");
                }
            }
            Err(error) => catalog.failed(Table::Instances, began, &error),
        }
    }
}
