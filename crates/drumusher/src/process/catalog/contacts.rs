//! The few instances that a starting instance turns to.
//!
//! If all instances read the whole table of instances when they start together, the store sends a number of bytes that
//! grows with the square of their number. So readers of a large deployment keep their entries in a short list of its
//! own. A starting instance reads this list and gets the tables from the instances on it; only they read the tables
//! from the store.

use std::{collections::BTreeMap, rc::Rc, sync::atomic::Ordering};

use drumusher_platform::{
    Error,
    catalog::{Record, Store, Table},
};
use drumusher_schedule::time::{Micros, SECOND};
use ntex::time::{Millis, sleep};

use super::{Catalog, membership::Instance};
use crate::process::clock;

/// The list is kept where at least this many instances are listed. A shorter table of instances is one short page.
const MIN_INSTANCES: usize = 32;
/// Maximum length of the list.
const MAX_CONTACTS: usize = 8;
/// How long an instance has to be a reader before it is added to the list.
const MIN_READER_TIME: Micros = 2 * SECOND;
/// Interval between checks whether this instance has to be added.
const CHECK_INTERVAL: Millis = Millis(1_000);

/// Adds this instance to the list while it is a reader.
pub(super) async fn keep_contact<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    let mut reader_since = None;
    let mut listed = false;
    loop {
        sleep(CHECK_INTERVAL).await;
        let shared = &catalog.shared;
        let reads = shared.reader.load(Ordering::Acquire)
            && !shared.store_unavailable.load(Ordering::Acquire);
        if !reads || shared.stopping() || catalog.state.borrow().instances.len() < MIN_INSTANCES {
            (reader_since, listed) = (None, false);
            continue;
        }
        let since = *reader_since.get_or_insert(clock::now());
        if listed || clock::now() < since + MIN_READER_TIME {
            continue;
        }
        match catalog.add_contact().await {
            Ok(()) => listed = true,
            Err(error) => log::warn!("cannot add this instance to the contacts: the store {error}"),
        }
    }
}

impl<S: Store + 'static> Catalog<S> {
    /// Reads the list and makes its instances known until the table of instances is read. Returns whether this
    /// instance can turn to them: there are some, and it is none of them.
    pub(super) async fn find_contacts(&self) -> bool {
        let began = clock::now();
        let records = match self.store.contacts().await {
            Ok(records) => records,
            Err(error) => {
                self.note_failure(Table::Instances, began, &error);
                return false;
            }
        };
        let mut contacts = BTreeMap::new();
        for record in &records {
            let Some(value) = &record.value else { continue };
            match Instance::parse(&record.key, value) {
                Ok(instance) => {
                    contacts.insert(record.key.clone(), instance);
                }
                Err(error) => log::error!(key = record.key.as_str(); "malformed contact: {error}"),
            }
        }
        if contacts.is_empty() || contacts.contains_key(&*self.shared.name) {
            return false;
        }
        log::info!(contacts = contacts.len(); "starting with the instances that read the store");
        {
            let state = &mut *self.state.borrow_mut();
            state.instances = contacts;
            state.instances_changed = true;
        }
        self.publish();
        true
    }

    /// Adds this instance to the list, and removes those that are gone and those beyond the maximum.
    async fn add_contact(&self) -> Result<(), Error> {
        let known = self.store.contacts().await?;
        let own =
            Record { key: self.shared.name.to_string(), value: Some(self.shared.entry.clone()) };
        if known.contains(&own) {
            return Ok(());
        }
        let mut records = {
            let state = self.state.borrow();
            let others = known.into_iter().filter(|contact| contact.key != own.key);
            let (listed, gone): (Vec<Record>, Vec<Record>) =
                others.partition(|contact| state.instances.contains_key(&contact.key));
            let surplus = (listed.len() + 1).saturating_sub(MAX_CONTACTS);
            let removed = gone.into_iter().chain(listed.into_iter().take(surplus));
            removed.map(|contact| Record { value: None, ..contact }).collect::<Vec<Record>>()
        };
        records.push(own);
        self.store.put_contacts(&records).await?;
        log::info!(removed = records.len() - 1; "added this instance to the contacts");
        Ok(())
    }
}
