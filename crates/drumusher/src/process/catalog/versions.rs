//! The software versions at which streams of each service may have begun, kept in the store.
//!
//! When all instances end together, nobody is left who knows which version began a stream, and the servers of one may be
//! gone as well. So the first reader keeps the versions in the store, and a starting instance reads them before it takes
//! it that a service has had only one.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::{Arc, atomic::Ordering},
};

use drumusher_log::position::Era;
use drumusher_platform::catalog::{Record, Store};
use ntex::time::{Millis, sleep};

use super::{Backoff, Catalog};
use crate::{
    process::{Shared, clock, streams::InService},
    version::Pool,
};

/// Start of the keys of these records; the rest is the pool of the service.
const KEY_PREFIX: &str = "versions/";
/// Interval at which the first reader checks for versions that have to be written.
const CHECK_INTERVAL: Millis = Millis(100);
/// Interval at which another instance checks whether it has become the first reader.
const IDLE_INTERVAL: Millis = Millis(500);

/// Whether a record that a starting instance reads is of this kind.
pub(super) fn is_version_record(record: &Record) -> bool {
    record.key.starts_with(KEY_PREFIX)
}

fn write(pool: &Pool, versions: &BTreeSet<Arc<str>>) -> Record {
    let names: Vec<&str> = versions.iter().map(|version| &**version).collect();
    let value = serde_json::to_string(&names).expect("a list of texts serializes");
    Record { key: format!("{KEY_PREFIX}{pool}"), value: Some(value) }
}

fn read(record: &Record) -> Option<(Pool, BTreeSet<Arc<str>>)> {
    let pool = Pool::parse(record.key.strip_prefix(KEY_PREFIX)?)?;
    let names: Vec<String> = serde_json::from_str(record.value.as_deref()?).ok()?;
    Some((pool, names.into_iter().map(Arc::from).collect()))
}

/// Takes over the versions from before this instance started.
pub(super) fn restore(shared: &Shared, records: &[Record]) {
    let services = merge(shared, records);
    log::info!(services = services; "software versions from before this start are known");
}

/// Takes over the versions that this instance does not know. Returns the number of services.
pub(super) fn merge(shared: &Shared, records: &[Record]) -> usize {
    let earlier: InService = records.iter().filter_map(read).collect();
    shared.streams().set_history(clock::now(), &earlier);
    earlier.len()
}

/// Keeps the versions in the store, as the first reader.
pub(super) async fn keep_written<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    let shared = &catalog.shared;
    let mut written: (Era, InService) = (0, BTreeMap::new());
    let mut backoff = Backoff::new();
    loop {
        let writes = shared.first_reader.load(Ordering::Acquire);
        sleep(if writes { CHECK_INTERVAL } else { IDLE_INTERVAL }).await;
        if shared.store_unavailable.load(Ordering::Acquire) {
            continue;
        }
        if !shared.streams().knows_history() {
            if let Err(error) = catalog.read_versions().await {
                log::info!("software versions are not read, will retry: the store {error}");
                sleep(backoff.next(true)).await;
            }
            continue;
        }
        let era = shared.store_era();
        if !writes || written.0 != era {
            // Another instance may write others meanwhile, and a restored store may lack them.
            written = (era, BTreeMap::new());
        }
        if !writes {
            continue;
        }
        let current = shared.streams().in_service(clock::now());
        let changed = current.iter().filter(|(pool, versions)| {
            written.1.get(*pool) != Some(*versions) && !versions.is_empty()
        });
        let records: Vec<Record> = changed.map(|(pool, versions)| write(pool, versions)).collect();
        if records.is_empty() {
            continue;
        }
        match catalog.store.put_start_records(&records).await {
            Ok(()) => {
                log::info!(services = records.len(); "software versions in service were written");
                written.1 = current;
                backoff.reset();
            }
            Err(error) => {
                log::info!("software versions are not written, will retry: the store {error}");
                sleep(backoff.next(true)).await;
            }
        }
    }
}

impl<S: Store + 'static> Catalog<S> {
    async fn read_versions(&self) -> Result<(), drumusher_platform::Error> {
        let records = self.store.start_records().await?;
        restore(&self.shared, &records);
        Ok(())
    }
}
