//! Putting what was read of the store, or told by another instance, into force.

use std::{collections::BTreeSet, rc::Rc};

use drumusher_platform::{
    Error,
    catalog::{Record, Store, Table},
    routing::Server,
};

use super::{Catalog, Entries, News, membership::Instance};
use crate::process::clock;

/// The key of the configuration in its table.
const CONFIGURATION: &str = "config";

impl<S: Store + 'static> Catalog<S> {
    /// Puts what is new in a table into force. `teller` names the instance that read it; it is empty for this one.
    pub(super) fn take(self: &Rc<Self>, news: News, teller: &str) {
        match news {
            News::Whole(Table::Quarantine, _)
            | News::Restored(Table::Quarantine, _)
            | News::Changes(Table::Quarantine, _) => {
                return self.take_quarantine(news);
            }
            News::Whole(Table::Servers, records) => {
                self.only_servers(&records);
                records
                    .into_iter()
                    .for_each(|record| self.take_server(record, teller, Entries::put));
            }
            News::Restored(Table::Servers, records) => {
                self.only_servers(&records);
                let now = clock::now();
                let put = |entries: &mut Entries, server| entries.put_restored(server, now);
                records.into_iter().for_each(|record| self.take_server(record, teller, put));
            }
            News::Changes(Table::Servers, records) => {
                records
                    .into_iter()
                    .for_each(|record| self.take_server(record, teller, Entries::put));
            }
            News::Restored(Table::Configuration, records) => {
                records.into_iter().for_each(|record| self.take_restored_configuration(record));
            }
            News::Whole(Table::Configuration, records)
            | News::Changes(Table::Configuration, records) => {
                records.into_iter().for_each(|record| self.take_configuration(record));
            }
            News::Restored(Table::Instances, _) => self.take_restored_instances(),
            News::Whole(Table::Instances, _) | News::Changes(Table::Instances, _) => {
                self.take_instances();
            }
        }
        self.publish();
    }

    /// Puts a version of the configuration into force.
    fn take_configuration(&self, record: Record) {
        let Some(value) = record.value.filter(|_| record.key == CONFIGURATION) else {
            return;
        };
        self.put_into_force(&value);
    }

    /// The same of one that may be older than the version in force, which is told on then.
    fn take_restored_configuration(&self, record: Record) {
        let Some(value) = record.value.filter(|_| record.key == CONFIGURATION) else {
            return;
        };
        if self.put_into_force(&value) {
            self.shared.records().put(Table::Configuration, CONFIGURATION, &value);
        }
    }

    /// Puts a version of the configuration into force, unless it is not newer. Returns whether it is.
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
                self.pass_over(Table::Configuration, CONFIGURATION, value, &error);
                false
            }
        }
    }

    /// Backend servers without an entry in a whole table ended.
    fn only_servers(&self, records: &[Record]) {
        let there = records.iter().filter(|record| record.value.is_some());
        let there: BTreeSet<String> = there.map(|record| record.key.clone()).collect();
        let end = self.shared.records().end(Table::Servers);
        self.state.borrow_mut().entries.only(&there, end);
    }

    /// Takes the entry of a backend server with `put`, or its end, as `teller` read it.
    fn take_server(
        &self,
        record: Record,
        teller: &str,
        put: impl FnOnce(&mut Entries, Server) -> bool,
    ) {
        let end = self.shared.records().end(Table::Servers);
        let Some(value) = record.value else {
            let entries = &mut self.state.borrow_mut().entries;
            let held = entries.end(&record.key, end);
            log::info!(
                server = record.key.as_str(), held = held, teller = teller, end:% = end,
                confirmed:% = entries.confirmed(), away = entries.sight().is_away();
                "server's entry ended"
            );
            return;
        };
        match self.store.server(&record.key, &value) {
            Ok(server) => {
                let (service, leaving) = (server.service.clone(), server.leaving);
                let born = server.started_ms;
                if put(&mut self.state.borrow_mut().entries, server) {
                    log::info!(
                        server = record.key.as_str(), service = service.as_str(),
                        leaving = leaving, born = born.unwrap_or(0); "server's entry"
                    );
                }
            }
            Err(error) => {
                self.pass_over(Table::Servers, &record.key, &value, &error);
                // What stood there before no longer does.
                self.state.borrow_mut().entries.end(&record.key, end);
            }
        }
    }

    /// An entry names nothing, since it cannot be understood.
    fn pass_over(&self, table: Table, key: &str, value: &str, error: &Error) {
        if self.state.borrow_mut().passed.note(table, key, value) {
            self.shared
                .telemetry
                .count("drumusher.entries.passed_over", &[("table", table.word())]);
            log::error!(
                table = table.word(), key = key, bytes = value.len();
                "an entry was passed over: {error}"
            );
        }
    }

    /// Reads anew which instances are listed.
    pub(super) fn take_instances(&self) {
        let mut instances = self.state.borrow().unlisted(clock::now());
        for (key, value) in self.shared.records().keys(Table::Instances) {
            match Instance::read(key, value) {
                Ok(instance) => {
                    instances.insert(key.to_string(), instance);
                }
                Err(error) => self.pass_over(Table::Instances, key, value, &error),
            }
        }
        self.state.borrow_mut().instances = instances;
    }
}
