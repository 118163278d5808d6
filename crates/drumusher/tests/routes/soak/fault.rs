//! Injects faults drawn from a seed: they come in series, overlap, and each ends after a time.

mod recovery;
mod relays;
mod servers;
mod store;

use std::{
    collections::VecDeque,
    ops::Range,
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Outage, duty::Duties, store::Snapshot};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use self::recovery::Recovery;
use super::journal::{self, Journal};
use crate::{duties::scaling_configuration, support::Deployment};

/// Time between two faults, in milliseconds.
const FAULT_INTERVAL_MS: Range<u64> = 20..450;
/// How long a fault lasts, in milliseconds.
const FAULT_DURATION_MS: Range<u64> = 80..2_500;
/// Probability that the store is restored from a snapshot at a step.
const RESTORE_PROBABILITY: f64 = 0.06;
/// Separates the random sequence of restores from that of the other faults.
const RESTORE_SEED: u64 = 0x5e57_04ed;
/// Outages of the store and the platform to draw from.
const OUTAGES: [Outage; 3] = [Outage::Unavailable, Outage::Reset, Outage::Unresponsive];

/// Injects faults and ends them.
pub struct Injector<'a> {
    random: StdRng,
    deployment: &'a mut Deployment,
    journal: &'a Journal,
    duties: &'a Duties,
    /// Recoveries, each with the time from which it is due.
    due: Vec<(Instant, Recovery)>,
    /// Instances that are paused, stopped or stopping.
    down: Vec<usize>,
    /// Number of backend servers that were replaced.
    replaced: usize,
    /// Random sequence of the restores, separate from that of the other faults.
    restores: StdRng,
    /// Snapshots of the store, with the times at which they were taken.
    snapshots: VecDeque<(Instant, Snapshot)>,
    /// The newest configuration that was written.
    configuration: String,
}

impl<'a> Injector<'a> {
    /// A fault injector whose random sequences follow from a seed.
    pub fn new(
        seed: u64,
        deployment: &'a mut Deployment,
        journal: &'a Journal,
        duties: &'a Duties,
    ) -> Injector<'a> {
        Injector {
            random: StdRng::seed_from_u64(seed),
            deployment,
            journal,
            duties,
            due: Vec::new(),
            down: Vec::new(),
            replaced: 0,
            restores: StdRng::seed_from_u64(seed ^ RESTORE_SEED),
            snapshots: VecDeque::new(),
            configuration: scaling_configuration(1, &journal::route(1)),
        }
    }

    /// Injects one fault and waits for the interval between faults, ending those that are due.
    pub fn step(&mut self) {
        self.take_snapshot();
        if self.restores.random_bool(RESTORE_PROBABILITY) {
            self.restore();
        }
        self.inject();
        let until =
            Instant::now() + Duration::from_millis(self.random.random_range(FAULT_INTERVAL_MS));
        while Instant::now() < until {
            let next = self.due.iter().map(|(at, _)| *at).min().unwrap_or(until);
            thread::sleep(next.min(until).saturating_duration_since(Instant::now()));
            self.recover_due(Instant::now());
        }
    }

    /// Draws a fault and injects it.
    fn inject(&mut self) {
        self.journal.record_fault();
        match self.random.random_range(0..100) {
            0..28 => self.degrade_relay(),
            28..33 => self.reset_relay(),
            33..36 => self.platform_outage(),
            36..46 => self.signal("STOP", Recovery::Resume),
            46..54 => self.signal("KILL", Recovery::Restart),
            54..62 => self.signal("TERM", Recovery::Restart),
            62..65 => self.reload_settings(),
            65..75 => self.server_fault(),
            75..79 => self.announce_notice(),
            79..84 => self.instance_store_outage(),
            84..88 => self.store_outage(),
            88..91 => self.deployment.store.forget("keyed.servers"),
            91..94 => self.replace_server(),
            _ => self.configure(),
        }
    }

    /// Starts an outage of the platform that the duties call.
    fn platform_outage(&mut self) {
        self.duties.set_outage(OUTAGES[self.random.random_range(0..OUTAGES.len())]);
        self.schedule_recovery(Recovery::RestorePlatform);
    }

    /// Sends a signal to an instance unless it is already down.
    fn signal(&mut self, signal: &str, recovery: fn(usize) -> Recovery) {
        let at = self.random.random_range(0..self.deployment.instances.len());
        if self.down.contains(&at) {
            return;
        }
        self.down.push(at);
        self.journal.record_interruption(at);
        self.deployment.instances[at].signal(signal);
        self.schedule_recovery(recovery(at));
    }

    /// Makes an instance read its settings again.
    fn reload_settings(&mut self) {
        let at = self.random.random_range(0..self.deployment.instances.len());
        if !self.down.contains(&at) {
            self.deployment.instances[at].signal("HUP");
        }
    }
}
