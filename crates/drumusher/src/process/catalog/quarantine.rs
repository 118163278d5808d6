//! The table of requests that end backend servers: writing what is known here, and taking in what others wrote.
//!
//! The dispatcher that notes an end writes it; all others follow the table, so that one which starts, or was out of
//! reach, knows it too. Nothing of it is lost with the instances.

use std::{collections::BTreeSet, rc::Rc, sync::atomic::Ordering};

use drumusher_log::quarantine::{self, Digest};
use drumusher_platform::catalog::{Record, Store, Table};
use ntex::time::{Millis, sleep};

use super::{Backoff, Catalog, News};
use crate::process::clock;

/// How long records are gathered for one call: all requests that were at one end come within it.
const GATHER: Millis = Millis(50);
/// Within this those who read the store wrote what it lost, and others were told.
const WRITTEN_BY_READERS: Millis = Millis(2_000);
/// Time between two looks for records whose time is over.
const LOOK: Millis = Millis(30_000);

impl<S: Store + 'static> Catalog<S> {
    /// What is known here of these requests is to be written.
    pub(super) fn quarantine(self: &Rc<Self>, digests: Vec<Digest>) {
        let first = {
            let unwritten = &mut self.state.borrow_mut().unwritten;
            let first = unwritten.is_empty();
            unwritten.extend(digests);
            first && !unwritten.is_empty()
        };
        if first {
            ntex::rt::spawn(write(self.clone()));
        }
    }
}

impl<S: Store + 'static> Catalog<S> {
    /// Takes what another instance wrote.
    pub(super) fn take_quarantine(self: &Rc<Self>, news: News) {
        let mut table = self.shared.quarantine();
        let records = match news {
            News::Whole(_, records) => {
                let there = records.iter().filter_map(|record| Digest::parse(&record.key));
                table.only(&there.collect::<BTreeSet<Digest>>());
                records
            }
            News::Restored(_, records) => {
                ntex::rt::spawn(write_lost(self.clone()));
                records
            }
            News::Changes(_, records) => records,
        };
        for record in records {
            let Some(digest) = Digest::parse(&record.key) else {
                log::error!(key = record.key.as_str(); "no request has that digest");
                continue;
            };
            let read = record.value.as_deref().map(serde_json::from_str::<quarantine::Record>);
            match read {
                Some(Ok(told)) => table.merge(digest, told),
                Some(Err(error)) => {
                    log::error!(digest = record.key.as_str(); "what is known of a request cannot be read: {error}");
                }
                None => table.remove(digest),
            }
        }
        self.shared.telemetry.gauge("drumusher.quarantine.known", table.len() as u64);
        drop(table);
        self.shared.update_held_count();
    }

    /// Requests of which more is known here than the store has.
    fn unrecorded(&self) -> Vec<Digest> {
        let known = self.shared.quarantine().iter().map(|(digest, _)| digest).collect();
        let known = self.records_of(&known);
        let stored = self.shared.records();
        let is_missing = |record: &Record| {
            stored.value(Table::Quarantine, &record.key) != record.value.as_deref()
        };
        let missing = known.iter().filter(|record| is_missing(record));
        missing.filter_map(|record| Digest::parse(&record.key)).collect()
    }

    /// The records of some requests as they are here.
    fn records_of(&self, digests: &BTreeSet<Digest>) -> Vec<Record> {
        let table = self.shared.quarantine();
        let record = |digest: &Digest| {
            let value = table.get(*digest).map(serde_json::to_string).transpose()?;
            serde_json::Result::Ok(Record { key: digest.text(), value })
        };
        let records = digests.iter().map(record);
        records
            .filter_map(|record| record.inspect_err(|error| log::error!("{error}")).ok())
            .collect()
    }
}

/// Writes what the store lost, as one that reads it, or as one that knows what those who read it do not.
async fn write_lost<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    let reads = catalog.shared.reader.load(Ordering::Acquire);
    sleep(if reads { GATHER } else { WRITTEN_BY_READERS }).await;
    let lost = catalog.unrecorded();
    catalog.quarantine(lost);
}

/// Writes what waits to be written, until nothing does. What fails is written later, as it is then.
async fn write<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    let mut backoff = Backoff::new();
    sleep(GATHER).await;
    loop {
        let digests = catalog.state.borrow().unwritten.clone();
        let records = catalog.records_of(&digests);
        match catalog.store.put(Table::Quarantine, &records).await {
            Ok(()) => {
                log::info!(requests = records.len(); "what is known of requests that ended servers was written");
                let unwritten = &mut catalog.state.borrow_mut().unwritten;
                // One that changed while it was written is written again.
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
                log::info!("what is known of requests was not written: the store {error}");
                sleep(backoff.next(true)).await;
            }
        }
    }
}

/// Drops records whose time is over, as the first reader.
pub(super) async fn expire<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    loop {
        sleep(LOOK).await;
        if !catalog.shared.first_reader.load(Ordering::Acquire) {
            continue;
        }
        let over = {
            let mut table = catalog.shared.quarantine();
            let over = table.over(clock::steady_unix_ms());
            over.iter().for_each(|digest| table.remove(*digest));
            over
        };
        catalog.shared.update_held_count();
        catalog.quarantine(over);
    }
}
