//! Outages of the store, restores from snapshots, and new configurations.

use std::{
    ops::Range,
    time::{Duration, Instant},
};

use rand::RngExt;

use super::{FAULT_DURATION_MS, Injector, OUTAGES, recovery::Recovery, servers::service_of};
use crate::{duties::scaling_configuration, soak::journal, support::large_configuration};

/// Probability that the entry of a backend server lapses in an outage of the store.
const LAPSE_PROBABILITY: f64 = 0.3;
/// Probability that a new configuration is large.
const LARGE_PROBABILITY: f64 = 0.25;
/// Size of the filler routes of a large configuration.
const LARGE_BYTES: Range<usize> = 50_000..500_000;
/// Most configurations that are written at once.
const MAX_CONFIGURATION_BURST: u64 = 5;
/// Largest age of a snapshot to restore from.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(5);
/// Least time between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(400);

impl Injector<'_> {
    /// Starts an outage of the store for one instance.
    pub(super) fn instance_store_outage(&mut self) {
        let at = self.random.random_range(0..self.deployment.instances.len());
        let outage = OUTAGES[self.random.random_range(0..OUTAGES.len())];
        self.deployment.instances[at].store_endpoint.set_outage(outage);
        self.schedule_recovery(Recovery::ReconnectInstance(at));
    }

    /// Starts an outage of the store for all instances, in which some entries of backend servers lapse.
    pub(super) fn store_outage(&mut self) {
        let is_outage =
            |(_, recovery): &(Instant, Recovery)| matches!(recovery, Recovery::RestoreStore(_));
        if self.due.iter().any(is_outage) {
            return;
        }
        let outage = OUTAGES[self.random.random_range(0..OUTAGES.len())];
        for instance in &self.deployment.instances {
            instance.store_endpoint.set_outage(outage);
        }
        let departed_servers = self.journal.departed_servers();
        let mut lapsed = Vec::new();
        for (at, server) in self.deployment.servers.iter().enumerate() {
            if !departed_servers.contains(&server.id) && self.random.random_bool(LAPSE_PROBABILITY)
            {
                self.deployment.store.remove("keyed.servers", &server.id);
                lapsed.push(at);
            }
        }
        self.schedule_recovery(Recovery::RestoreStore(lapsed));
    }

    /// Takes a snapshot of the store if the last one is old enough, and drops those that are too old.
    pub(super) fn take_snapshot(&mut self) {
        let now = Instant::now();
        self.snapshots.retain(|(at, _)| now < *at + MAX_SNAPSHOT_AGE);
        if self.snapshots.back().is_none_or(|(at, _)| now >= *at + SNAPSHOT_INTERVAL) {
            self.snapshots.push_back((now, self.deployment.store.snapshot()));
        }
    }

    /// Restores the store from one of the snapshots. Lost records are written again after a random time.
    pub(super) fn restore(&mut self) {
        self.journal.record_fault();
        let at = self.restores.random_range(0..self.snapshots.len());
        self.deployment.store.restore(&self.snapshots[at].1);
        let duration = Duration::from_millis(self.restores.random_range(FAULT_DURATION_MS));
        self.due.push((Instant::now() + duration, Recovery::Rewrite));
    }

    /// Writes the records of operators and backend servers that the store lost.
    pub(super) fn rewrite(&self) {
        let put = |topic: &str, key: &str, value: &str| {
            if self.deployment.store.newest(topic, key).as_deref() != Some(value) {
                self.deployment.store.put(topic, key, value);
            }
        };
        put("keyed.op", "config", &self.configuration);
        let departed_servers = self.journal.departed_servers();
        for server in &self.deployment.servers {
            let state = if departed_servers.contains(&server.id) { "draining" } else { "ready" };
            put("keyed.servers", &server.id, &server.entry(service_of(&server.id), state));
        }
    }

    /// Writes a series of new configurations.
    pub(super) fn configure(&mut self) {
        for _ in 0..self.random.random_range(1..=MAX_CONFIGURATION_BURST) {
            let version = self.journal.next_version();
            let route = journal::route(version);
            let text = if self.random.random_bool(LARGE_PROBABILITY) {
                large_configuration(version, &route, self.random.random_range(LARGE_BYTES))
            } else {
                scaling_configuration(version, &route)
            };
            self.deployment.store.put("keyed.op", "config", &text);
            self.configuration = text;
        }
    }
}
