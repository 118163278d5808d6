//! The few instances that a starting instance turns to.
//!
//! If all instances read the whole table of instances when they start together, the store sends a number of bytes that
//! grows with the square of their number. So readers of a large deployment keep their entries in a short list of its
//! own. A starting instance reads this list and gets the tables from the instances on it; only they read the tables
//! from the store.
//!
//! If none of them answers, one starting instance after the other adds itself to the list, until the rest finds a new one
//! there.

use std::{collections::BTreeMap, rc::Rc, sync::atomic::Ordering};

use drumusher_platform::{
    Error,
    catalog::{Record, Store, Table},
};
use drumusher_schedule::time::{Micros, SECOND};
use ntex::time::{Millis, sleep};

use super::{Backoff, Catalog, membership::Instance, versions};
use crate::{process::clock, settings};

/// The list is kept where at least this many instances are listed. A shorter table of instances is one short page.
const MIN_INSTANCES: usize = 32;
/// Maximum length of the list.
const MAX_CONTACTS: usize = 8;
/// Maximum number of entries removed from it in one call.
const MAX_REMOVALS: usize = 256;
/// How long an instance has to be a reader before it is added to the list.
const MIN_READER_TIME: Micros = 2 * SECOND;
/// Interval between checks whether this instance has to be added.
const CHECK_INTERVAL: Millis = Millis(1_000);
/// Interval between reads of the list by an instance that was added.
const LIST_INTERVAL: Micros = 10 * SECOND;
/// Interval between checks whether a listed instance relays updates.
const SEEK_INTERVAL: Millis = Millis(50);
/// Instances that found no contact look for a new one within this time, in milliseconds. The first of a thousand adds
/// itself while few others do.
const SEEK_SPREAD_MS: u32 = 1_000;

/// Adds this instance to the list while it is a reader, and again if the store lost the entry.
pub(super) async fn keep_contact<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    let mut reader_since = None;
    let mut listed_at: Option<Micros> = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let shared = &catalog.shared;
        let reads = shared.reader.load(Ordering::Acquire)
            && !shared.store_unavailable.load(Ordering::Acquire);
        if !reads || shared.stopping() || catalog.state.borrow().instances.len() < MIN_INSTANCES {
            (reader_since, listed_at) = (None, None);
            continue;
        }
        let now = clock::now();
        let since = *reader_since.get_or_insert(now);
        let is_recent = listed_at.is_some_and(|at| now < at + LIST_INTERVAL);
        if is_recent || now < since + MIN_READER_TIME {
            continue;
        }
        match catalog.add_contact().await {
            Ok(()) => listed_at = Some(now),
            Err(error) => log::warn!("cannot add this instance to the contacts: the store {error}"),
        }
    }
}

/// What a read of the list showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contacts {
    /// The list is empty, as in a small deployment.
    Empty,
    /// This instance is on it, or has turned to all instances on it before.
    Tried,
    /// There are others, which are known now.
    New,
}

/// Looks for instances that relay the tables until one has relayed the table of instances. If none of those in `tried`
/// does, and there are no others, adds this instance to the list and lets it read the tables.
pub(super) async fn seek_contact<S: Store + 'static>(
    catalog: Rc<Catalog<S>>,
    mut tried: Vec<Record>,
) {
    let mut backoff = Backoff::new();
    let spread = || rand::random_range(0..=SEEK_SPREAD_MS);
    let mut pause = if tried.is_empty() { backoff.next(true).0 } else { spread() };
    while !catalog.knows_instances.get() {
        if catalog.is_fed() {
            sleep(SEEK_INTERVAL).await;
            continue;
        }
        sleep(Millis(pause)).await;
        if catalog.is_fed() || catalog.knows_instances.get() {
            continue;
        }
        let began = clock::now();
        match catalog.find_contacts(&mut tried).await {
            Ok(Contacts::New) => {
                catalog.met_others.set(clock::now());
                pause = spread();
            }
            Ok(Contacts::Tried) => {
                catalog.become_contact().await;
                break;
            }
            Ok(Contacts::Empty) => break,
            Err(error) => {
                catalog.note_failure(Table::Instances, began, &error);
                pause = backoff.next(true).0;
                pause += rand::random_range(0..=pause);
            }
        }
    }
    catalog.seeks_contact.set(false);
}

impl<S: Store + 'static> Catalog<S> {
    /// The entry of this instance in the list.
    fn own_contact(&self) -> Record {
        Record { key: self.shared.name.to_string(), value: Some(self.shared.entry.clone()) }
    }

    /// Reads the list, adds its instances to `tried`, and makes those that were not in it known until the table of
    /// instances is read.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of the store.
    pub(super) async fn find_contacts(&self, tried: &mut Vec<Record>) -> Result<Contacts, Error> {
        let mut contacts = BTreeMap::new();
        let records = self.store.start_records().await?;
        let (versions, records): (Vec<Record>, Vec<Record>) =
            records.into_iter().partition(versions::is_version_record);
        if !self.shared.streams().knows_history() {
            versions::restore(&self.shared, &versions);
        }
        for record in records {
            let Some(value) = &record.value else { continue };
            match Instance::parse(&record.key, value) {
                Ok(_) if tried.contains(&record) => {}
                Ok(instance) => {
                    contacts.insert(record.key.clone(), instance);
                    tried.push(record);
                }
                Err(error) => self.skip(Table::Instances, &record.key, value, &error),
            }
        }
        if tried.is_empty() {
            return Ok(Contacts::Empty);
        }
        if contacts.is_empty() || contacts.contains_key(&*self.shared.name) {
            return Ok(Contacts::Tried);
        }
        log::info!(contacts = contacts.len(); "starting with the instances that read the store");
        {
            let state = &mut *self.state.borrow_mut();
            state.instances = contacts;
            state.instances_changed = true;
        }
        self.publish();
        Ok(Contacts::New)
    }

    /// Reads the list when this instance starts. Returns whether it looks for a contact before it reads a table itself:
    /// there are some, or the store does not answer.
    pub(super) async fn starts_with_contacts(&self, tried: &mut Vec<Record>) -> bool {
        let began = clock::now();
        match self.find_contacts(tried).await {
            Ok(contacts) => contacts == Contacts::New,
            Err(error) => {
                self.note_failure(Table::Instances, began, &error);
                true
            }
        }
    }

    /// Adds this instance to the list, which has no other one that answers.
    async fn become_contact(&self) {
        match self.store.put_start_records(&[self.own_contact()]).await {
            Ok(()) => log::info!("no contact answers; this instance reads the store"),
            Err(error) => log::warn!("cannot add this instance to the contacts: the store {error}"),
        }
    }

    /// Adds this instance to the list, and removes those that are gone and those beyond the maximum.
    async fn add_contact(&self) -> Result<(), Error> {
        let mut known = self.store.start_records().await?;
        // The key of another writer may have replaced bytes, under which it cannot be removed.
        known.retain(|record| settings::is_name(&record.key));
        let own = self.own_contact();
        let is_listed = known.contains(&own);
        let mut records = {
            let state = self.state.borrow();
            let others = known.into_iter().filter(|contact| contact.key != own.key);
            let (listed, gone): (Vec<Record>, Vec<Record>) =
                others.partition(|contact| state.instances.contains_key(&contact.key));
            let surplus = (listed.len() + 1).saturating_sub(MAX_CONTACTS);
            let removed = gone.into_iter().chain(listed.into_iter().take(surplus));
            let removed = removed.take(MAX_REMOVALS);
            removed.map(|contact| Record { value: None, ..contact }).collect::<Vec<Record>>()
        };
        let removed = records.len();
        if is_listed && removed == 0 {
            return Ok(());
        }
        records.push(own);
        self.store.put_start_records(&records).await?;
        log::info!(removed = removed; "added this instance to the contacts");
        Ok(())
    }
}
