//! The table of requests that crash backend servers: writing the records known here, and applying those of other
//! instances.
//!
//! The dispatcher that notes a crash writes the record, and all others follow the table, so that an instance that
//! starts or was unreachable learns of it too. The records outlive the instances.

use std::{collections::BTreeSet, rc::Rc, sync::atomic::Ordering};

use drumusher_log::quarantine::{self, Digest};
use drumusher_platform::{
    Error,
    catalog::{Record, Store, Table},
};
use ntex::time::{Millis, sleep};

use super::{Backoff, Catalog, TableUpdate};
use crate::process::clock;

/// How long records are collected for one call; all requests that were running at one crash arrive within it.
const BATCH_DELAY: Millis = Millis(50);
/// Within this time the readers have written again what the store lost, and other instances have received it.
const READERS_FIRST_DELAY: Millis = Millis(2_000);
/// Interval between checks for expired records.
const EXPIRY_CHECK_INTERVAL: Millis = Millis(30_000);

impl<S: Store + 'static> Catalog<S> {
    /// Queues the records of these requests to be written to the store.
    pub(super) fn queue_quarantine(self: &Rc<Self>, digests: Vec<Digest>) {
        let first = {
            let unwritten = &mut self.state.borrow_mut().unwritten;
            let first = unwritten.is_empty();
            unwritten.extend(digests);
            first && !unwritten.is_empty()
        };
        if first {
            ntex::rt::spawn(write_unwritten(self.clone()));
        }
    }
}

impl<S: Store + 'static> Catalog<S> {
    /// Applies records from the store.
    pub(super) fn apply_quarantine(self: &Rc<Self>, update: TableUpdate) {
        let mut table = self.shared.quarantine();
        let records = match update {
            TableUpdate::Snapshot(_, records) => {
                let there = records.iter().filter_map(|record| Digest::parse(&record.key));
                table.retain_listed(&there.collect::<BTreeSet<Digest>>());
                records
            }
            TableUpdate::Restored(_, records) => {
                ntex::rt::spawn(write_lost(self.clone()));
                records
            }
            TableUpdate::Changes(_, records) => records,
        };
        for record in records {
            let malformed = |reason: String| {
                let value = record.value.as_deref().unwrap_or_default();
                self.skip(Table::Quarantine, &record.key, value, &Error::Malformed(reason));
            };
            let Some(digest) = Digest::parse(&record.key) else {
                malformed("its key is not a digest".into());
                continue;
            };
            let read = record.value.as_deref().map(serde_json::from_str::<quarantine::Record>);
            match read {
                Some(Ok(record)) => table.merge(digest, record),
                Some(Err(error)) => malformed(error.to_string()),
                None => table.remove(digest),
            }
        }
        self.shared.telemetry.gauge("drumusher.quarantine.known", table.len() as u64);
        drop(table);
        self.shared.update_held_count();
    }

    /// Requests whose records here differ from those of the store.
    fn missing_in_store(&self) -> Vec<Digest> {
        let known = self.shared.quarantine().iter().map(|(digest, _)| digest).collect();
        let known = self.records_of(&known);
        let stored = self.shared.records();
        let is_missing = |record: &Record| {
            stored.value(Table::Quarantine, &record.key) != record.value.as_deref()
        };
        let missing = known.iter().filter(|record| is_missing(record));
        missing.filter_map(|record| Digest::parse(&record.key)).collect()
    }

    /// The current records of some requests; a record without a value if nothing is known of the request any more.
    fn records_of(&self, digests: &BTreeSet<Digest>) -> Vec<Record> {
        let table = self.shared.quarantine();
        let record = |digest: &Digest| {
            let value = table.get(*digest).map(serde_json::to_string).transpose()?;
            serde_json::Result::Ok(Record { key: digest.to_hex(), value })
        };
        let records = digests.iter().map(record);
        records
            .filter_map(|record| record.inspect_err(|error| log::error!("{error}")).ok())
            .collect()
    }
}

/// Writes the records that the store lost in a restore: a reader at once, another instance only what the readers
/// did not know.
async fn write_lost<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    let reads = catalog.shared.reader.load(Ordering::Acquire);
    sleep(if reads { BATCH_DELAY } else { READERS_FIRST_DELAY }).await;
    let lost = catalog.missing_in_store();
    catalog.queue_quarantine(lost);
}

/// Writes the queued records until none are left. After a failure it retries with the records as they are then.
async fn write_unwritten<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    let mut backoff = Backoff::new();
    sleep(BATCH_DELAY).await;
    loop {
        let digests = catalog.state.borrow().unwritten.clone();
        let records = catalog.records_of(&digests);
        match catalog.store.put(Table::Quarantine, &records).await {
            Ok(()) => {
                log::info!(requests = records.len(); "quarantine of requests that crashed servers was written");
                let unwritten = &mut catalog.state.borrow_mut().unwritten;
                // A record that changed while it was being written is written again.
                let unchanged = |digest: &Digest| {
                    let now = catalog.records_of(&BTreeSet::from([*digest]));
                    now.iter().all(|now| records.contains(now))
                };
                unwritten.retain(|digest| !digests.contains(digest) || !unchanged(digest));
                if unwritten.is_empty() {
                    return;
                }
                backoff.reset();
            }
            Err(error) => {
                catalog
                    .shared
                    .telemetry
                    .count("drumusher.store.failures", &[("table", Table::Quarantine.word())]);
                log::info!("quarantine not written, will retry: the store {error}");
                sleep(backoff.next(true)).await;
            }
        }
    }
}

/// Drops expired records, as the first reader.
pub(super) async fn remove_expired<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    loop {
        sleep(EXPIRY_CHECK_INTERVAL).await;
        if !catalog.shared.first_reader.load(Ordering::Acquire) {
            continue;
        }
        let expired = {
            let mut table = catalog.shared.quarantine();
            let expired = table.expired(clock::steady_unix_ms());
            expired.iter().for_each(|digest| table.remove(*digest));
            expired
        };
        catalog.shared.update_held_count();
        catalog.queue_quarantine(expired);
    }
}
