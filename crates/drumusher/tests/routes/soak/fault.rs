//! Faults drawn from a seed: they come in series, overlap, and each ends by itself.

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
/// How long a backend server says something of itself, in milliseconds: a limit is to be kept within 3 s.
const NOTICE_DURATION_MS: std::ops::Range<u64> = 1_000..9_000;
/// Longest delay of a piece by a relay, in milliseconds.
const MAX_DELAY_MS: u64 = 120;
/// Bytes a second that a narrow relay carries.
const LINK_BYTES_PER_SECOND: std::ops::Range<u64> = 100_000..1_000_000;
/// Part of the changes of the configuration that make it large.
const LARGE_PROBABILITY: f64 = 0.25;
/// Bytes of a large configuration.
const LARGE_BYTES: std::ops::Range<usize> = 50_000..500_000;
/// Longest series of changes of the configuration.
const MAX_CONFIGURATION_BURST: u64 = 5;
/// Part of the steps at which the store comes back from a copy.
const RESTORE_PROBABILITY: f64 = 0.06;
/// Tells the draws of restores from those of other faults.
const RESTORE_SEED: u64 = 0x5e57_04ed;
/// Oldest copy from which it does.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(5);
/// Time between two copies.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two looks whether a process ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Backend servers that may have left for good; replacements make up for them.
const MAX_DEPARTED_SERVERS: usize = 4;

/// What backend servers do when they fail.
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

/// How the store may be away.
const OUTAGES: [Outage; 3] = [Outage::Unavailable, Outage::Reset, Outage::Unresponsive];

/// The end of a fault.
#[derive(Clone, Debug, PartialEq)]
enum Recovery {
    /// The relay at this place passes everything.
    OpenRelay(usize),
    /// A paused instance goes on.
    Resume(usize),
    /// An instance that was killed, or told to stop, is started again once it ended.
    Restart(usize),
    /// A backend server is well.
    ClearServerFault(usize),
    /// A backend server says nothing of itself any more.
    ClearNotice(usize),
    /// The platform takes calls of duties.
    RestorePlatform,
    /// The store serves an instance.
    ReconnectInstance(usize),
    /// The store serves all, and what lapsed is entered again.
    RestoreStore(Vec<usize>),
    /// What operators and backend servers had written is written again.
    Rewrite,
}

/// Applies faults and ends them.
pub struct FaultInjector<'a> {
    random: StdRng,
    deployment: &'a mut Deployment,
    journal: &'a Journal,
    duties: &'a Duties,
    due: Vec<(Instant, Recovery)>,
    /// Instances that are paused, ended or about to end.
    down: Vec<usize>,
    replaced: usize,
    /// Draws when the store comes back from a copy, beside the other faults.
    restores: StdRng,
    /// Copies of the store, with the moments at which they were made.
    snapshots: VecDeque<(Instant, Snapshot)>,
    /// The newest configuration that was written.
    configuration: String,
}

impl<'a> FaultInjector<'a> {
    /// A disturber with the luck of a seed.
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

    /// One fault, a pause, and the cures that are due.
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
            let latest = self.due.iter().map(|(at, _)| *at).max().expect("one is due");
            self.recover_due(latest);
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Draws a fault and applies it.
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

    /// Ends a fault after a while. The same one that was to end at another time ends with it.
    fn schedule_recovery(&mut self, recovery: Recovery) {
        let at =
            Instant::now() + Duration::from_millis(self.random.random_range(FAULT_DURATION_MS));
        self.due.retain(|(_, other)| *other != recovery);
        self.due.push((at, recovery));
    }

    /// Any relay: of callers, other instances or the store, by instance.
    fn any_relay(&mut self) -> usize {
        self.random.random_range(0..3 * self.deployment.instances.len())
    }

    /// The relay at a place.
    fn relay_at(&self, place: usize) -> &Relay {
        let relays = self.deployment.instances[place / 3].relays.as_ref();
        let Relays { callers, peers, store } = relays.expect("the soak has relays");
        [callers, peers, store][place % 3]
    }

    /// Notes that the connections of an instance with others are disturbed or mended, if the relay is one of these.
    fn record_peer_interruption(&self, place: usize) {
        if place % 3 == 1 {
            self.journal.record_interruption(place / 3);
        }
    }

    /// A relay passes late, little at a time, or nothing.
    fn degrade_relay(&mut self) {
        let place = self.any_relay();
        let late = Duration::from_millis(self.random.random_range(1..MAX_DELAY_MS));
        let narrow = Mode::Narrow(self.random.random_range(LINK_BYTES_PER_SECOND));
        let modes = [Mode::Late(late), narrow, Mode::MuteTo, Mode::MuteBack, Mode::Mute];
        let mode = modes[self.random.random_range(0..modes.len())];
        self.relay_at(place).set(mode);
        self.record_peer_interruption(place);
        self.schedule_recovery(Recovery::OpenRelay(place));
    }

    /// The platform takes no calls of duties.
    fn platform_outage(&mut self) {
        self.duties.set_outage(OUTAGES[self.random.random_range(0..OUTAGES.len())]);
        self.schedule_recovery(Recovery::RestorePlatform);
    }

    /// A relay resets its connections.
    fn reset_relay(&mut self) {
        let place = self.any_relay();
        self.relay_at(place).reset();
        self.record_peer_interruption(place);
    }

    /// Sends a signal to an instance that is up.
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

    /// An instance gets the signal on which it reads its settings again.
    fn reload_settings(&mut self) {
        let at = self.random.random_range(0..self.deployment.instances.len());
        if !self.down.contains(&at) {
            self.deployment.instances[at].signal("HUP");
        }
    }

    /// A backend server fails in some way.
    fn server_fault(&mut self) {
        let at = self.random.random_range(0..self.deployment.servers.len());
        let fault = SERVER_FAULTS[self.random.random_range(0..SERVER_FAULTS.len())];
        self.deployment.servers[at].set(fault);
        self.schedule_recovery(Recovery::ClearServerFault(at));
    }

    /// A backend server says something of itself for longer than other faults last. One that asks for rest turns requests
    /// away meanwhile.
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
        let lasts = Duration::from_millis(self.random.random_range(NOTICE_DURATION_MS));
        self.due.retain(|(_, other)| *other != Recovery::ClearNotice(at));
        self.due.push((Instant::now() + lasts, Recovery::ClearNotice(at)));
    }

    /// The store turns one instance away.
    fn instance_store_outage(&mut self) {
        let at = self.random.random_range(0..self.deployment.instances.len());
        let away = OUTAGES[self.random.random_range(0..OUTAGES.len())];
        self.deployment.instances[at].store_endpoint.set_outage(away);
        self.schedule_recovery(Recovery::ReconnectInstance(at));
    }

    /// The store is away for all, and some entries of backend servers lapse meanwhile.
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

    /// Copies the store now and then.
    fn take_snapshot(&mut self) {
        let now = Instant::now();
        self.snapshots.retain(|(at, _)| now < *at + MAX_SNAPSHOT_AGE);
        if self.snapshots.back().is_none_or(|(at, _)| now >= *at + SNAPSHOT_INTERVAL) {
            self.snapshots.push_back((now, self.deployment.store.snapshot()));
        }
    }

    /// The store comes back from some copy; its owners write later what it lost.
    fn restore(&mut self) {
        self.journal.record_fault();
        let at = self.restores.random_range(0..self.snapshots.len());
        self.deployment.store.restore(&self.snapshots[at].1);
        let lasts = Duration::from_millis(self.restores.random_range(FAULT_DURATION_MS));
        self.due.push((Instant::now() + lasts, Recovery::Rewrite));
    }

    /// Operators and backend servers write what the store does not have.
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

    /// A backend server leaves for good and another one takes its place.
    fn replace_server(&mut self) {
        let departed_servers = self.journal.departed_servers();
        let there =
            self.deployment.servers.iter().filter(|server| !departed_servers.contains(&server.id));
        let there: Vec<(String, String)> = there
            .map(|server| (server.id.clone(), server.entry(service_of(&server.id), "draining")))
            .collect();
        if departed_servers.len() >= MAX_DEPARTED_SERVERS {
            return;
        }
        let (id, entry) = &there[self.random.random_range(0..there.len())];
        self.replaced += 1;
        let service = service_of(id);
        self.deployment.add_server(&format!("{}r{}", &id[..1], self.replaced), service);
        self.deployment.server(id).announce(Notice::leaving());
        self.deployment.store.put("keyed.servers", id, entry);
        self.journal.record_departure(id);
    }

    /// A series of changes of the configuration.
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

    /// Ends the faults that are due at `now`.
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
            Recovery::OpenRelay(place) => {
                self.relay_at(place).set(Mode::Open);
                self.record_peer_interruption(place);
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

    /// Starts an instance again, once it ended: one that was told to stop takes its time.
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

    /// A backend server says nothing of itself any more, unless it leaves.
    fn clear_notice(&mut self, at: usize) {
        let server = &self.deployment.servers[at];
        if !self.journal.departed_servers().contains(&server.id) {
            server.announce(Notice::default());
        }
    }

    /// The store serves all again, and owners enter what lapsed.
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
    /// A paused process could not be ended in order.
    fn drop(&mut self) {
        for (_, recovery) in std::mem::take(&mut self.due) {
            if let Recovery::Resume(at) = recovery {
                self.deployment.instances[at].signal("CONT");
            }
        }
    }
}

/// The service of a backend server, by its identity.
fn service_of(id: &str) -> &'static str {
    if id.starts_with('d') { DESK } else { MODEL }
}
