//! Injects faults drawn from a seed: they come in series, overlap, and each ends after a time.

use std::{
    collections::VecDeque,
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Fault, Notice, Outage, duty::Duties, store::Snapshot};
use drumusher_bench::fleet::{Mode, Relay};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    journal::{self, Journal},
    notice,
};
use crate::{
    duties::scaling_configuration,
    support::{DESK, Deployment, MODEL, Relays, large_configuration},
};

/// Time between two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 20..450;
/// How long a fault lasts, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 80..2_500;
/// How long a backend server announces a notice, in milliseconds; a limit has to be kept after 3 s.
const NOTICE_DURATION_MS: std::ops::Range<u64> = 1_000..9_000;
/// Longest delay of data by a relay, in milliseconds, exclusive.
const MAX_DELAY_MS: u64 = 120;
/// Rate of a relay that simulates a slow link.
const LINK_BYTES_PER_SECOND: std::ops::Range<u64> = 100_000..1_000_000;
/// Probability that a new configuration is large.
const LARGE_PROBABILITY: f64 = 0.25;
/// Size of the filler routes of a large configuration.
const LARGE_BYTES: std::ops::Range<usize> = 50_000..500_000;
/// Most configurations that are written at once.
const MAX_CONFIGURATION_BURST: u64 = 5;
/// Probability that the store is restored from a snapshot at a step.
const RESTORE_PROBABILITY: f64 = 0.06;
/// Separates the random sequence of restores from that of the other faults.
const RESTORE_SEED: u64 = 0x5e57_04ed;
/// Largest age of a snapshot to restore from.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(5);
/// Least time between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Most backend servers that leave for good; each is replaced by a new one.
const MAX_DEPARTED_SERVERS: usize = 4;

/// Faults of backend servers to draw from.
const SERVER_FAULTS: [Fault; 11] = [
    Fault::Overloaded,
    Fault::Misdirected,
    Fault::Fails,
    Fault::Reset,
    Fault::Hang,
    Fault::Cut,
    Fault::Garbled,
    Fault::Extra,
    Fault::Crossed,
    Fault::CutStream,
    Fault::Slow,
];

/// Outages of the store and the platform to draw from.
const OUTAGES: [Outage; 3] = [Outage::Unavailable, Outage::Reset, Outage::Unresponsive];

/// The action that ends a fault. Indexes are those of the deployment.
#[derive(Clone, Debug, PartialEq)]
enum Recovery {
    /// Opens the relay with this index, see [`FaultInjector::relay_at`].
    OpenRelay(usize),
    /// Resumes a paused instance.
    Resume(usize),
    /// Restarts an instance that was killed or stopped, once its process has exited.
    Restart(usize),
    /// Clears the fault of a backend server.
    ClearServerFault(usize),
    /// Clears the notice of a backend server.
    ClearNotice(usize),
    /// Ends an outage of the platform that the duties call.
    RestorePlatform,
    /// Ends an outage of the store for one instance.
    ReconnectInstance(usize),
    /// Ends an outage of the store for all instances and registers the servers whose entries lapsed again.
    RestoreStore(Vec<usize>),
    /// Writes lost records of operators and backend servers again.
    Rewrite,
}

/// Injects faults and ends them.
pub struct FaultInjector<'a> {
    random: StdRng,
    deployment: &'a mut Deployment,
    journal: &'a Journal,
    duties: &'a Duties,
    due: Vec<(Instant, Recovery)>,
    /// Instances that are paused, stopped or stopping.
    down: Vec<usize>,
    replaced: usize,
    /// Random sequence of the restores, separate from that of the other faults.
    restores: StdRng,
    /// Snapshots of the store, with the times at which they were taken.
    snapshots: VecDeque<(Instant, Snapshot)>,
    /// The newest configuration that was written.
    configuration: String,
}

impl<'a> FaultInjector<'a> {
    /// A fault injector whose random sequences follow from a seed.
    pub fn new(
        seed: u64,
        deployment: &'a mut Deployment,
        journal: &'a Journal,
        duties: &'a Duties,
    ) -> FaultInjector<'a> {
        FaultInjector {
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

    /// Ends all faults.
    pub fn recover_all(&mut self) {
        while !self.due.is_empty() {
            let latest = self.due.iter().map(|(at, _)| *at).max().expect("a recovery is scheduled");
            self.recover_due(latest);
            thread::sleep(EXIT_POLL_INTERVAL);
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

    /// Schedules the end of a fault after a random time. It replaces an equal recovery that is already
    /// scheduled.
    fn schedule_recovery(&mut self, recovery: Recovery) {
        let at =
            Instant::now() + Duration::from_millis(self.random.random_range(FAULT_DURATION_MS));
        self.due.retain(|(_, other)| *other != recovery);
        self.due.push((at, recovery));
    }

    /// Draws the index of a relay; each instance has three: for callers, other instances and the store.
    fn any_relay(&mut self) -> usize {
        self.random.random_range(0..3 * self.deployment.instances.len())
    }

    /// The relay with this index: three for each instance, in the order callers, other instances, store.
    fn relay_at(&self, relay_index: usize) -> &Relay {
        let relays = self.deployment.instances[relay_index / 3].relays.as_ref();
        let Relays { callers, peers, store } =
            relays.expect("the instances of the soak have relays");
        [callers, peers, store][relay_index % 3]
    }

    /// Records an interruption of the instance if the relay carries its connections with other instances.
    fn record_peer_interruption(&self, relay_index: usize) {
        if relay_index % 3 == 1 {
            self.journal.record_interruption(relay_index / 3);
        }
    }

    /// Makes a relay slow, narrow, or silent in one or both directions.
    fn degrade_relay(&mut self) {
        let relay_index = self.any_relay();
        let late = Duration::from_millis(self.random.random_range(1..MAX_DELAY_MS));
        let narrow = Mode::Throttled(self.random.random_range(LINK_BYTES_PER_SECOND));
        let modes = [
            Mode::Delayed(late),
            narrow,
            Mode::StalledToTarget,
            Mode::StalledFromTarget,
            Mode::Stalled,
        ];
        let mode = modes[self.random.random_range(0..modes.len())];
        self.relay_at(relay_index).set(mode);
        self.record_peer_interruption(relay_index);
        self.schedule_recovery(Recovery::OpenRelay(relay_index));
    }

    /// Starts an outage of the platform that the duties call.
    fn platform_outage(&mut self) {
        self.duties.set_outage(OUTAGES[self.random.random_range(0..OUTAGES.len())]);
        self.schedule_recovery(Recovery::RestorePlatform);
    }

    /// Resets the connections of a relay.
    fn reset_relay(&mut self) {
        let relay_index = self.any_relay();
        self.relay_at(relay_index).reset();
        self.record_peer_interruption(relay_index);
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

    /// Makes a backend server fail in some way.
    fn server_fault(&mut self) {
        let at = self.random.random_range(0..self.deployment.servers.len());
        let fault = SERVER_FAULTS[self.random.random_range(0..SERVER_FAULTS.len())];
        self.deployment.servers[at].set(fault);
        self.schedule_recovery(Recovery::ClearServerFault(at));
    }

    /// Makes a backend server announce a notice, for longer than other faults last. One that asks for a
    /// rest refuses requests meanwhile.
    fn announce_notice(&mut self) {
        let at = self.random.random_range(0..self.deployment.servers.len());
        let notice = notice::random_notice(&mut self.random);
        let server = &self.deployment.servers[at];
        if self.journal.departed_servers().contains(&server.id) {
            return;
        }
        if notice.rest.is_some() {
            server.set(Fault::Overloaded);
            self.schedule_recovery(Recovery::ClearServerFault(at));
        }
        self.deployment.servers[at].announce(notice);
        let duration = Duration::from_millis(self.random.random_range(NOTICE_DURATION_MS));
        self.due.retain(|(_, other)| *other != Recovery::ClearNotice(at));
        self.due.push((Instant::now() + duration, Recovery::ClearNotice(at)));
    }

    /// Starts an outage of the store for one instance.
    fn instance_store_outage(&mut self) {
        let at = self.random.random_range(0..self.deployment.instances.len());
        let away = OUTAGES[self.random.random_range(0..OUTAGES.len())];
        self.deployment.instances[at].store_endpoint.set_outage(away);
        self.schedule_recovery(Recovery::ReconnectInstance(at));
    }

    /// Starts an outage of the store for all instances, in which some entries of backend servers lapse.
    fn store_outage(&mut self) {
        let outage =
            |(_, recovery): &(Instant, Recovery)| matches!(recovery, Recovery::RestoreStore(_));
        if self.due.iter().any(outage) {
            return;
        }
        let away = OUTAGES[self.random.random_range(0..OUTAGES.len())];
        for instance in &self.deployment.instances {
            instance.store_endpoint.set_outage(away);
        }
        let departed_servers = self.journal.departed_servers();
        let mut lapsed = Vec::new();
        for (at, server) in self.deployment.servers.iter().enumerate() {
            if !departed_servers.contains(&server.id) && self.random.random_bool(0.3) {
                self.deployment.store.remove("keyed.servers", &server.id);
                lapsed.push(at);
            }
        }
        self.schedule_recovery(Recovery::RestoreStore(lapsed));
    }

    /// Takes a snapshot of the store if the last one is old enough, and drops those that are too old.
    fn take_snapshot(&mut self) {
        let now = Instant::now();
        self.snapshots.retain(|(at, _)| now < *at + MAX_SNAPSHOT_AGE);
        if self.snapshots.back().is_none_or(|(at, _)| now >= *at + SNAPSHOT_INTERVAL) {
            self.snapshots.push_back((now, self.deployment.store.snapshot()));
        }
    }

    /// Restores the store from one of the snapshots. Lost records are written again after a random time.
    fn restore(&mut self) {
        self.journal.record_fault();
        let at = self.restores.random_range(0..self.snapshots.len());
        self.deployment.store.restore(&self.snapshots[at].1);
        let duration = Duration::from_millis(self.restores.random_range(FAULT_DURATION_MS));
        self.due.push((Instant::now() + duration, Recovery::Rewrite));
    }

    /// Writes the records of operators and backend servers that the store lost.
    fn rewrite(&self) {
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

    /// Replaces a backend server, which leaves for good, by a new one.
    fn replace_server(&mut self) {
        let departed_servers = self.journal.departed_servers();
        let present =
            self.deployment.servers.iter().filter(|server| !departed_servers.contains(&server.id));
        let present: Vec<(String, String)> = present
            .map(|server| (server.id.clone(), server.entry(service_of(&server.id), "draining")))
            .collect();
        if departed_servers.len() >= MAX_DEPARTED_SERVERS {
            return;
        }
        let (id, entry) = &present[self.random.random_range(0..present.len())];
        self.replaced += 1;
        let service = service_of(id);
        self.deployment.add_server(&format!("{}r{}", &id[..1], self.replaced), service);
        self.deployment.server(id).announce(Notice::leaving());
        self.deployment.store.put("keyed.servers", id, entry);
        self.journal.record_departure(id);
    }

    /// Writes a series of new configurations.
    fn configure(&mut self) {
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

    /// Ends the faults whose recovery is due at `now`.
    fn recover_due(&mut self, now: Instant) {
        let (due, later) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _)| *at <= now);
        self.due = later;
        let due: Vec<(Instant, Recovery)> = due;
        for (_, recovery) in due {
            self.recover(recovery);
        }
    }

    /// Ends one fault.
    fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::OpenRelay(relay_index) => {
                self.relay_at(relay_index).set(Mode::Open);
                self.record_peer_interruption(relay_index);
            }
            Recovery::Resume(at) => {
                self.journal.record_resume(format!("i{at}"));
                self.deployment.instances[at].signal("CONT");
                self.journal.record_interruption(at);
                self.down.retain(|down| *down != at);
            }
            Recovery::Restart(at) => self.restart(at),
            Recovery::ClearServerFault(at) => self.deployment.servers[at].set(Fault::None),
            Recovery::ClearNotice(at) => self.clear_notice(at),
            Recovery::RestorePlatform => self.duties.set_outage(Outage::None),
            Recovery::ReconnectInstance(at) => {
                self.deployment.instances[at].store_endpoint.set_outage(Outage::None)
            }
            Recovery::RestoreStore(lapsed) => self.end_store_outage(&lapsed),
            Recovery::Rewrite => self.rewrite(),
        }
    }

    /// Restarts an instance whose process has exited, or schedules another check, since a graceful stop
    /// takes a while.
    fn restart(&mut self, at: usize) {
        if self.deployment.instances[at].ended().is_none() {
            self.due.push((Instant::now() + EXIT_POLL_INTERVAL, Recovery::Restart(at)));
            return;
        }
        self.journal.record_restart(at);
        self.deployment.instances[at].restart();
        self.journal.record_interruption(at);
        self.down.retain(|down| *down != at);
    }

    /// Clears the notice of a backend server unless it is leaving for good.
    fn clear_notice(&mut self, at: usize) {
        let server = &self.deployment.servers[at];
        if !self.journal.departed_servers().contains(&server.id) {
            server.announce(Notice::default());
        }
    }

    /// Ends an outage of the store for all instances and writes the lapsed entries again.
    fn end_store_outage(&mut self, lapsed: &[usize]) {
        for instance in &self.deployment.instances {
            instance.store_endpoint.set_outage(Outage::None);
        }
        let departed_servers = self.journal.departed_servers();
        for at in lapsed {
            let server = &self.deployment.servers[*at];
            if !departed_servers.contains(&server.id) {
                let entry = server.entry(service_of(&server.id), "ready");
                self.deployment.store.put("keyed.servers", &server.id, &entry);
            }
        }
    }
}

impl Drop for FaultInjector<'_> {
    /// Resumes paused instances.
    fn drop(&mut self) {
        for (_, recovery) in std::mem::take(&mut self.due) {
            if let Recovery::Resume(at) = recovery {
                self.deployment.instances[at].signal("CONT");
            }
        }
    }
}

/// The service of a backend server, by the first letter of its ID.
fn service_of(id: &str) -> &'static str {
    if id.starts_with('d') { DESK } else { MODEL }
}
