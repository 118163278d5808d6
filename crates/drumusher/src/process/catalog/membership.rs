//! The table of instances: registering this instance and others, and removing those that are gone for good.
//!
//! An instance that is listed already, after a restart, writes nothing. Otherwise it sends its entry to the readers
//! in its heartbeats, and they write all entries that arrive within [`BATCH_DELAY`] in one call. If no other
//! instance is listed, or none has registered it within [`REGISTRATION_TIMEOUT`], it writes the entry itself.

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

/// Interval between checks of this instance's own entry while it is there, and of the entries of lost instances.
/// Both matter only after minutes.
const ENTRY_CHECK_INTERVAL: Millis = Millis(5_000);
/// Interval between checks while the own entry is missing.
const MISSING_ENTRY_CHECK_INTERVAL: Millis = Millis(100);
/// An instance that no other one registers within this time registers itself. Eight heartbeats that carry its
/// entry, of which the first may have to wait for a connection.
const REGISTRATION_TIMEOUT: Micros = 2 * SECOND;
/// How long entries of other instances are collected for one call.
const BATCH_DELAY: Millis = Millis(100);
/// An instance whose entry the store lost is registered again within this time: it learns of the loss and sends its
/// entry in some heartbeats, or registers itself after [`REGISTRATION_TIMEOUT`].
pub(super) const REREGISTRATION_TIMEOUT: Micros = 2 * REGISTRATION_TIMEOUT;
/// An entry that was written is not written again within this time, in which it is read back.
const READ_BACK_TIME: Micros = 1_000 * MILLISECOND;

/// An instance's entry in the store.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct Instance {
    pub(super) availability_zone: String,
    /// Where other instances reach it.
    pub(super) address: String,
    /// Its CPU capacity, in thousandths of a core.
    #[serde(default = "usual_capacity")]
    pub(super) capacity: u32,
}

/// The capacity of an instance whose entry has none.
fn usual_capacity() -> u32 {
    rank::DEFAULT_CAPACITY
}

impl Instance {
    /// Parses the entry under `key`. Accepts from another writer only what the settings of an instance could say:
    /// an instance with an impossible CPU capacity would be given all roles.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] with the reason.
    pub(super) fn parse(key: &str, value: &str) -> Result<Self, Error> {
        let malformed = |what: &str| Error::Malformed(what.into());
        let read = serde_json::from_str(value);
        let instance: Instance = read.map_err(|error| malformed(&error.to_string()))?;
        if !settings::is_name(key) || !settings::is_name(&instance.availability_zone) {
            return Err(malformed("invalid name of instance or availability zone"));
        }
        if instance.address.parse::<SocketAddr>().is_err() {
            return Err(malformed("address is not ip:port"));
        }
        if !settings::CAPACITIES.contains(&instance.capacity) {
            return Err(malformed("capacity out of range"));
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
    serde_json::to_string(&instance).expect("an entry of two strings and a number serializes")
}

/// Entries of other instances that this one has to write. Without I/O.
#[derive(Debug, Default)]
pub struct Registrations {
    /// Entries to write, by instance name.
    waiting: BTreeMap<String, String>,
    /// When an instance's entry was last written.
    written: BTreeMap<String, Micros>,
}

impl Registrations {
    /// No entries yet.
    pub fn new() -> Self {
        Registrations::default()
    }

    /// Adds an instance's entry unless it has just been written. Returns whether it is the first one waiting.
    pub fn add(&mut self, now: Micros, name: String, entry: String) -> bool {
        self.written.retain(|_, at| now < *at + READ_BACK_TIME);
        if self.written.contains_key(&name) {
            return false;
        }
        let first = self.waiting.is_empty();
        self.waiting.insert(name, entry);
        first
    }

    /// Returns the records of all waiting entries, which have to be written now.
    pub fn take(&mut self, now: Micros) -> Vec<Record> {
        let waiting = std::mem::take(&mut self.waiting);
        self.written.extend(waiting.keys().map(|name| (name.clone(), now)));
        waiting.into_iter().map(|(key, entry)| Record { key, value: Some(entry) }).collect()
    }
}

/// Keeps this instance registered in the store. Another instance may have removed the entry because this one was
/// unreachable for long.
pub(super) async fn keep_registered<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    let shared = &catalog.shared;
    let mut backoff = Backoff::new();
    let mut missing = None;
    loop {
        if !catalog.knows_instances.get() {
            sleep(MISSING_ENTRY_CHECK_INTERVAL).await;
            continue;
        }
        if shared.is_registered() || shared.stopping() {
            missing = None;
            sleep(ENTRY_CHECK_INTERVAL).await;
            continue;
        }
        let since = *missing.get_or_insert(clock::now());
        if catalog.others_are_listed() && clock::now() < since + REGISTRATION_TIMEOUT {
            sleep(MISSING_ENTRY_CHECK_INTERVAL).await;
            continue;
        }
        let own = Record { key: shared.name.to_string(), value: Some(shared.entry.clone()) };
        let began = clock::now();
        match catalog.store.put(Table::Instances, &[own]).await {
            Ok(()) => {
                log::info!("this instance registered itself in the store");
                backoff.reset();
                sleep(ENTRY_CHECK_INTERVAL).await;
            }
            Err(error) => {
                catalog.note_failure(Table::Instances, began, &error);
                sleep(backoff.next(false)).await;
            }
        }
    }
}

/// Registers the other instances whose entries are waiting, in one call.
pub(super) async fn write_registrations<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    sleep(BATCH_DELAY).await;
    let records = catalog.state.borrow_mut().registrations.take(clock::now());
    let began = clock::now();
    match catalog.store.put(Table::Instances, &records).await {
        Ok(()) => log::info!(instances = records.len(); "registered other instances in the store"),
        // They send their entries again with each heartbeat.
        Err(error) => catalog.note_failure(Table::Instances, began, &error),
    }
}

/// Removes the entries of instances that are gone for good, as the first reader.
pub(super) async fn remove_lost<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    loop {
        sleep(ENTRY_CHECK_INTERVAL).await;
        let shared = &catalog.shared;
        let away = shared.store_unavailable.load(Ordering::Acquire);
        let lost = shared.lost.load_full();
        if away || lost.is_empty() || !shared.first_reader.load(Ordering::Acquire) {
            continue;
        }
        let removals = lost.iter().map(|name| Record { key: name.to_string(), value: None });
        let removals: Vec<Record> = removals.collect();
        let began = clock::now();
        match catalog.store.put(Table::Instances, &removals).await {
            Ok(()) => {
                for removal in &removals {
                    log::info!(instance = removal.key.as_str(); "removed an instance that was unreachable for long");
                }
            }
            Err(error) => catalog.note_failure(Table::Instances, began, &error),
        }
    }
}
