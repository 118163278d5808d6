//! Applying records that were read from the store or relayed by another instance.

use std::{collections::BTreeSet, rc::Rc};

use drumusher_platform::{
    Error,
    catalog::{Record, Store, Table},
    routing::Server,
};

use drumusher_schedule::time::MILLISECOND;
use log::Level;

use super::{Catalog, Entries, TableUpdate, membership::Instance};
use crate::process::clock;

/// The key of the configuration in its table.
pub(super) const CONFIGURATION_KEY: &str = "config";
/// A backend server whose start is later than this beyond the time of this instance has an unknown start, in
/// milliseconds: no entry that names the right one would replace it.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 3_600_000;
/// Of an update with more entries of backend servers, only their number is logged at the usual level.
const MAX_LOGGED_ENTRIES: usize = 64;

/// Logs the number of entries of backend servers in an update if there are many. Returns the level at which each of them
/// is logged.
fn level_of_entries(records: &[Record]) -> Level {
    if records.len() <= MAX_LOGGED_ENTRIES {
        return Level::Info;
    }
    log::info!(entries = records.len(); "many entries of servers");
    Level::Debug
}

impl<S: Store + 'static> Catalog<S> {
    /// Applies an update of a table. `source` names the instance that read it; it is empty for this one.
    pub(super) fn apply(self: &Rc<Self>, update: TableUpdate, source: &str) {
        match update {
            TableUpdate::Snapshot(Table::Quarantine, _)
            | TableUpdate::Restored(Table::Quarantine, _)
            | TableUpdate::Changes(Table::Quarantine, _) => {
                return self.apply_quarantine(update);
            }
            TableUpdate::Snapshot(Table::Servers, records) => {
                let level = level_of_entries(&records);
                self.retain_listed_servers(&records);
                for record in records {
                    self.apply_server(record, (source, level), Entries::put);
                }
            }
            TableUpdate::Restored(Table::Servers, records) => {
                let level = level_of_entries(&records);
                self.retain_listed_servers(&records);
                let now = clock::now();
                let put = |entries: &mut Entries, server| entries.put_restored(server, now);
                for record in records {
                    self.apply_server(record, (source, level), put);
                }
            }
            TableUpdate::Changes(Table::Servers, records) => {
                let level = level_of_entries(&records);
                for record in records {
                    self.apply_server(record, (source, level), Entries::put);
                }
            }
            TableUpdate::Restored(Table::Configuration, records) => {
                records.into_iter().for_each(|record| self.apply_restored_configuration(record));
                self.reload_evacuations();
            }
            TableUpdate::Snapshot(Table::Configuration, records)
            | TableUpdate::Changes(Table::Configuration, records) => {
                records.into_iter().for_each(|record| self.apply_configuration(record));
                self.reload_evacuations();
            }
            TableUpdate::Restored(Table::Instances, _) => self.reload_restored_instances(),
            TableUpdate::Snapshot(Table::Instances, _)
            | TableUpdate::Changes(Table::Instances, _) => {
                self.reload_instances();
            }
        }
        self.publish();
    }

    /// Applies a version of the configuration.
    fn apply_configuration(&self, record: Record) {
        let Some(value) = record.value.filter(|_| record.key == CONFIGURATION_KEY) else {
            return;
        };
        self.put_into_force(&value);
    }

    /// Applies a version of the configuration that may be older than the one in force. Only a newer one is relayed.
    fn apply_restored_configuration(&self, record: Record) {
        let Some(value) = record.value.filter(|_| record.key == CONFIGURATION_KEY) else {
            return;
        };
        if self.put_into_force(&value) {
            self.shared.records().put(Table::Configuration, CONFIGURATION_KEY, &value);
        }
    }

    /// Puts a version of the configuration into force if it is newer. Returns whether it is.
    fn put_into_force(&self, value: &str) -> bool {
        match self.store.configuration(value) {
            Ok(configuration) => {
                let version = configuration.version;
                let newer = self.shared.publish_routes(configuration);
                if newer {
                    log::info!(version = version; "configuration in force");
                }
                newer
            }
            Err(error) => {
                self.skip(Table::Configuration, CONFIGURATION_KEY, value, &error);
                false
            }
        }
    }

    /// Reloads the availability zones that operators evacuate.
    fn reload_evacuations(&self) {
        let evacuated: BTreeSet<String> = {
            let records = self.shared.records();
            let keys = records.keys(Table::Configuration).map(|(key, _)| key);
            keys.filter_map(|key| self.store.evacuated_zone(key)).map(String::from).collect()
        };
        let known = {
            let state = &mut *self.state.borrow_mut();
            let known = std::mem::replace(&mut state.evacuated, evacuated.clone());
            state.entries.mark_zones_changed(&known ^ &evacuated);
            known
        };
        for zone in evacuated.difference(&known) {
            log::warn!(zone = zone.as_str(); "evacuating the availability zone: its servers get no new requests");
        }
        for zone in known.difference(&evacuated) {
            log::warn!(zone = zone.as_str(); "the evacuation of the availability zone is withdrawn");
        }
        self.shared.telemetry.gauge("drumusher.zones.evacuated", evacuated.len() as u64);
    }

    /// Removes the backend servers that have no entry in a whole table.
    fn retain_listed_servers(&self, records: &[Record]) {
        let there = records.iter().filter(|record| record.value.is_some());
        let there: BTreeSet<String> = there.map(|record| record.key.clone()).collect();
        let end = self.shared.records().end(Table::Servers);
        self.state.borrow_mut().entries.retain_listed(&there, end);
    }

    /// Applies the entry of a backend server with `put`, or its removal. `source` names the instance that read it; the
    /// level is that of the log line.
    fn apply_server(
        &self,
        record: Record,
        (source, level): (&str, Level),
        put: impl FnOnce(&mut Entries, Server) -> bool,
    ) {
        let end = self.shared.records().end(Table::Servers);
        let Some(value) = record.value else {
            let now = clock::now();
            let entries = &mut self.state.borrow_mut().entries;
            let held = entries.remove(&record.key, end);
            let recovered_ms = entries.health().recovered_for(now).map(|time| time / MILLISECOND);
            let (reported_ms, reader_ms) = self.report_ages(now);
            log::log!(
                level,
                server = record.key.as_str(), held = held, teller = source, end:% = end,
                confirmed:% = entries.confirmed(), away = entries.health().is_down(),
                recovered_ms:? = recovered_ms, reported_ms = reported_ms, reader_ms = reader_ms,
                fed = self.is_fed();
                "server's entry ended"
            );
            return;
        };
        match self.store.server(&record.key, &value) {
            Ok(server) => {
                let latest_start_ms = clock::unix_ms().saturating_add(MAX_CLOCK_DIFFERENCE_MS);
                let started_ms = server.started_ms.filter(|at| *at <= latest_start_ms);
                let server = Server { started_ms, ..server };
                let (service, leaving) = (server.service.clone(), server.leaving);
                let (born, warm_up_ms) = (server.started_ms, server.warm_up_ms);
                let entries = &mut self.state.borrow_mut().entries;
                if put(entries, server) {
                    let warm_at = clock::now() + warm_up_ms * MILLISECOND;
                    entries.note_warm_up(&record.key, (warm_up_ms > 0).then_some(warm_at));
                    log::log!(
                        level,
                        server = record.key.as_str(), service = &*service,
                        leaving = leaving, born = born.unwrap_or(0), warm_up_ms = warm_up_ms;
                        "server's entry"
                    );
                }
            }
            Err(error) => {
                self.skip(Table::Servers, &record.key, &value, &error);
                // The new value replaces the previous entry.
                self.state.borrow_mut().entries.remove(&record.key, end);
            }
        }
    }

    /// Skips a malformed entry, and logs it once unless there are many.
    pub(super) fn skip(&self, table: Table, key: &str, value: &str, error: &Error) {
        let skipped = &mut self.state.borrow_mut().skipped;
        if !skipped.record(table, key, value) {
            return;
        }
        self.shared.telemetry.count("drumusher.entries.passed_over", &[("table", table.word())]);
        if let Some(unlogged) = skipped.log_line(clock::now()) {
            log::error!(
                table = table.word(), key = key, bytes = value.len(), unlogged = unlogged;
                "an entry was passed over: {error}"
            );
        }
    }

    /// Reloads the listed instances.
    pub(super) fn reload_instances(&self) {
        let mut instances = self.state.borrow().unlisted(clock::now());
        for (key, value) in self.shared.records().keys(Table::Instances) {
            match Instance::parse(key, value) {
                Ok(instance) => {
                    instances.insert(key.to_string(), instance);
                }
                Err(error) => self.skip(Table::Instances, key, value, &error),
            }
        }
        let state = &mut *self.state.borrow_mut();
        state.instances = instances;
        state.instances_changed = true;
    }
}
