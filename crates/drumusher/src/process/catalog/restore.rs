//! Restores of the store from a backup: how they are detected, and which instances are kept until they have
//! registered again.

use std::collections::BTreeMap;

use drumusher_log::position::Era;
use drumusher_platform::catalog::{Store, Table};
use drumusher_schedule::time::Micros;

use super::{
    Catalog, State,
    membership::{Instance, REREGISTRATION_TIMEOUT},
};
use crate::process::clock;

impl State {
    /// The instances that are kept without an entry.
    pub(super) fn unlisted(&self, now: Micros) -> BTreeMap<String, Instance> {
        let unlisted = self.unlisted.as_ref().filter(|(until, _)| now < *until);
        unlisted.map(|(_, instances)| instances.clone()).unwrap_or_default()
    }
}

impl<S: Store + 'static> Catalog<S> {
    /// Notes the era of what was read or relayed. An era later than the known one shows that the store was restored
    /// from a backup, and cancels the calls that wait at an offset of an earlier era.
    pub(super) fn observe_era(&self, era: Era) {
        let known = self.era.get();
        if known.is_some_and(|known| era <= known) {
            return;
        }
        self.era.set(Some(era));
        self.shared.note_store_era(era);
        self.shared.telemetry.gauge("drumusher.store.era", era);
        let Some(known) = known else {
            log::info!(era = era; "era of the store");
            return;
        };
        self.shared.telemetry.count("drumusher.store.restores", &[]);
        log::warn!(era = era, known = known; "the store came back from a copy; lost records are written again");
        self.state.borrow_mut().entries.health_mut().record_restore(clock::now());
        self.publish_stability();
        for table in self.restores.borrow().iter() {
            // A full channel already holds a notice of a restore.
            let _ = table.try_send(());
        }
    }

    /// Whether the store was restored from a backup since a table was read.
    pub(super) fn is_of_earlier_era(&self, table: Table) -> bool {
        self.shared.records().end(table).era < self.era.get().unwrap_or_default()
    }

    /// Reloads the listed instances after the store was restored from a backup. Instances that the backup lacks
    /// register again, and are kept meanwhile.
    pub(super) fn reload_restored_instances(&self) {
        let until = clock::now() + REREGISTRATION_TIMEOUT;
        let listed = self.state.borrow().instances.clone();
        self.state.borrow_mut().unlisted = Some((until, listed));
        self.reload_instances();
    }

    /// Drops the instances that did not register again in time.
    pub(super) fn drop_expired_unlisted(&self) {
        let now = clock::now();
        let expired =
            self.state.borrow_mut().unlisted.take_if(|(until, _)| now >= *until).is_some();
        if expired {
            self.reload_instances();
            self.publish();
        }
    }
}
