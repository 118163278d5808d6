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
    notice,
    promise::{self, Journal},
};
use crate::{
    duties::scalable,
    support::{DESK, Deployment, MODEL, Relays, large_configuration},
};

/// Time between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..450;
/// How long a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 80..2_500;
/// How long a backend server says something of itself, in milliseconds: a limit is to be kept within 3 s.
const SAYS_MS: std::ops::Range<u64> = 1_000..9_000;
/// Longest delay of a piece by a relay, in milliseconds.
const LATE_MS: u64 = 120;
/// Bytes a second that a narrow relay carries.
const NARROW: std::ops::Range<u64> = 100_000..1_000_000;
/// Part of the changes of the configuration that make it large.
const LARGE_PART: f64 = 0.25;
/// Bytes of a large configuration.
const LARGE: std::ops::Range<usize> = 50_000..500_000;
/// Longest series of changes of the configuration.
const SERIES: u64 = 5;
/// Part of the steps at which the store comes back from a copy.
const RESTORE_PART: f64 = 0.06;
/// Tells the draws of restores from those of other faults.
const RESTORE_SEED: u64 = 0x5e57_04ed;
/// Oldest copy from which it does.
const COPY_AGE: Duration = Duration::from_secs(5);
/// Time between two copies.
const COPY_EVERY: Duration = Duration::from_millis(400);
/// Time between two looks whether a process ended.
const LOOK: Duration = Duration::from_millis(50);
/// Backend servers that may have left for good; replacements make up for them.
const MOST_LEFT: usize = 4;

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
const AWAY: [Outage; 3] = [Outage::Unavailable, Outage::Reset, Outage::Unresponsive];

/// The end of a fault.
#[derive(Clone, Debug, PartialEq)]
enum Cure {
    /// The relay at this place passes everything.
    Open(usize),
    /// A paused instance goes on.
    Continue(usize),
    /// An instance that was killed, or told to stop, is started again once it ended.
    Restart(usize),
    /// A backend server is well.
    Well(usize),
    /// A backend server says nothing of itself any more.
    Quiet(usize),
    /// The platform takes calls of duties.
    Take,
    /// The store serves an instance.
    Serve(usize),
    /// The store serves all, and what lapsed is entered again.
    Return(Vec<usize>),
    /// What operators and backend servers had written is written again.
    Rewrite,
}

/// Applies faults and ends them.
pub struct Disturber<'a> {
    random: StdRng,
    deployment: &'a mut Deployment,
    journal: &'a Journal,
    duties: &'a Duties,
    due: Vec<(Instant, Cure)>,
    /// Instances that are paused, ended or about to end.
    down: Vec<usize>,
    replaced: usize,
    /// Draws when the store comes back from a copy, beside the other faults.
    restores: StdRng,
    /// Copies of the store, with the moments at which they were made.
    copies: VecDeque<(Instant, Snapshot)>,
    /// The newest configuration that was written.
    configuration: String,
}

impl<'a> Disturber<'a> {
    /// A disturber with the luck of a seed.
    pub fn new(
        seed: u64,
        deployment: &'a mut Deployment,
        journal: &'a Journal,
        duties: &'a Duties,
    ) -> Disturber<'a> {
        Disturber {
            random: StdRng::seed_from_u64(seed),
            deployment,
            journal,
            duties,
            due: Vec::new(),
            down: Vec::new(),
            replaced: 0,
            restores: StdRng::seed_from_u64(seed ^ RESTORE_SEED),
            copies: VecDeque::new(),
            configuration: scalable(1, &promise::route(1)),
        }
    }

    /// One fault, a pause, and the cures that are due.
    pub fn step(&mut self) {
        self.copy();
        if self.restores.random_bool(RESTORE_PART) {
            self.restore();
        }
        self.fault();
        let until = Instant::now() + Duration::from_millis(self.random.random_range(PAUSE_MS));
        while Instant::now() < until {
            let next = self.due.iter().map(|(at, _)| *at).min().unwrap_or(until);
            thread::sleep(next.min(until).saturating_duration_since(Instant::now()));
            self.cure(Instant::now());
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        while !self.due.is_empty() {
            let latest = self.due.iter().map(|(at, _)| *at).max().expect("one is due");
            self.cure(latest);
            thread::sleep(LOOK);
        }
    }

    /// Draws a fault and applies it.
    fn fault(&mut self) {
        self.journal.disturbs();
        match self.random.random_range(0..100) {
            0..28 => self.relay(),
            28..33 => self.reset(),
            33..36 => self.platform(),
            36..46 => self.signal("STOP", Cure::Continue),
            46..54 => self.signal("KILL", Cure::Restart),
            54..62 => self.signal("TERM", Cure::Restart),
            62..65 => self.hang_up(),
            65..75 => self.server(),
            75..79 => self.say(),
            79..84 => self.door(),
            84..88 => self.store(),
            88..91 => self.deployment.store.forget("keyed.servers"),
            91..94 => self.leave(),
            _ => self.configure(),
        }
    }

    /// Ends a fault after a while. The same one that was to end at another time ends with it.
    fn later(&mut self, cure: Cure) {
        let at = Instant::now() + Duration::from_millis(self.random.random_range(LASTS_MS));
        self.due.retain(|(_, other)| *other != cure);
        self.due.push((at, cure));
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
    fn interrupt_peers(&self, place: usize) {
        if place % 3 == 1 {
            self.journal.interrupts(place / 3);
        }
    }

    /// A relay passes late, little at a time, or nothing.
    fn relay(&mut self) {
        let place = self.any_relay();
        let late = Duration::from_millis(self.random.random_range(1..LATE_MS));
        let narrow = Mode::Narrow(self.random.random_range(NARROW));
        let modes = [Mode::Late(late), narrow, Mode::MuteTo, Mode::MuteBack, Mode::Mute];
        let mode = modes[self.random.random_range(0..modes.len())];
        self.relay_at(place).set(mode);
        self.interrupt_peers(place);
        self.later(Cure::Open(place));
    }

    /// The platform takes no calls of duties.
    fn platform(&mut self) {
        self.duties.set_outage(AWAY[self.random.random_range(0..AWAY.len())]);
        self.later(Cure::Take);
    }

    /// A relay resets its connections.
    fn reset(&mut self) {
        let place = self.any_relay();
        self.relay_at(place).reset();
        self.interrupt_peers(place);
    }

    /// Sends a signal to an instance that is up.
    fn signal(&mut self, signal: &str, cure: fn(usize) -> Cure) {
        let at = self.random.random_range(0..self.deployment.instances.len());
        if self.down.contains(&at) {
            return;
        }
        self.down.push(at);
        self.journal.interrupts(at);
        self.deployment.instances[at].signal(signal);
        self.later(cure(at));
    }

    /// An instance gets the signal on which it reads its settings again.
    fn hang_up(&mut self) {
        let at = self.random.random_range(0..self.deployment.instances.len());
        if !self.down.contains(&at) {
            self.deployment.instances[at].signal("HUP");
        }
    }

    /// A backend server fails in some way.
    fn server(&mut self) {
        let at = self.random.random_range(0..self.deployment.servers.len());
        let fault = SERVER_FAULTS[self.random.random_range(0..SERVER_FAULTS.len())];
        self.deployment.servers[at].set(fault);
        self.later(Cure::Well(at));
    }

    /// A backend server says something of itself for longer than other faults last. One that asks for rest turns requests
    /// away meanwhile.
    fn say(&mut self) {
        let at = self.random.random_range(0..self.deployment.servers.len());
        let notice = notice::draw(&mut self.random);
        let server = &self.deployment.servers[at];
        if self.journal.left().contains(&server.id) {
            return;
        }
        if notice.rest.is_some() {
            server.set(Fault::Overloaded);
            self.later(Cure::Well(at));
        }
        self.deployment.servers[at].announce(notice);
        let lasts = Duration::from_millis(self.random.random_range(SAYS_MS));
        self.due.retain(|(_, other)| *other != Cure::Quiet(at));
        self.due.push((Instant::now() + lasts, Cure::Quiet(at)));
    }

    /// The store turns one instance away.
    fn door(&mut self) {
        let at = self.random.random_range(0..self.deployment.instances.len());
        let away = AWAY[self.random.random_range(0..AWAY.len())];
        self.deployment.instances[at].door.set_outage(away);
        self.later(Cure::Serve(at));
    }

    /// The store is away for all, and some entries of backend servers lapse meanwhile.
    fn store(&mut self) {
        let outage = |(_, cure): &(Instant, Cure)| matches!(cure, Cure::Return(_));
        if self.due.iter().any(outage) {
            return;
        }
        let away = AWAY[self.random.random_range(0..AWAY.len())];
        for instance in &self.deployment.instances {
            instance.door.set_outage(away);
        }
        let left = self.journal.left();
        let mut lapsed = Vec::new();
        for (at, server) in self.deployment.servers.iter().enumerate() {
            if !left.contains(&server.id) && self.random.random_bool(0.3) {
                self.deployment.store.remove("keyed.servers", &server.id);
                lapsed.push(at);
            }
        }
        self.later(Cure::Return(lapsed));
    }

    /// Copies the store now and then.
    fn copy(&mut self) {
        let now = Instant::now();
        self.copies.retain(|(at, _)| now < *at + COPY_AGE);
        if self.copies.back().is_none_or(|(at, _)| now >= *at + COPY_EVERY) {
            self.copies.push_back((now, self.deployment.store.snapshot()));
        }
    }

    /// The store comes back from some copy; its owners write later what it lost.
    fn restore(&mut self) {
        self.journal.disturbs();
        let at = self.restores.random_range(0..self.copies.len());
        self.deployment.store.restore(&self.copies[at].1);
        let lasts = Duration::from_millis(self.restores.random_range(LASTS_MS));
        self.due.push((Instant::now() + lasts, Cure::Rewrite));
    }

    /// Operators and backend servers write what the store does not have.
    fn rewrite(&self) {
        let put = |topic: &str, key: &str, value: &str| {
            if self.deployment.store.newest(topic, key).as_deref() != Some(value) {
                self.deployment.store.put(topic, key, value);
            }
        };
        put("keyed.op", "config", &self.configuration);
        let left = self.journal.left();
        for server in &self.deployment.servers {
            let state = if left.contains(&server.id) { "draining" } else { "ready" };
            put("keyed.servers", &server.id, &server.entry(service_of(&server.id), state));
        }
    }

    /// A backend server leaves for good and another one takes its place.
    fn leave(&mut self) {
        let left = self.journal.left();
        let there = self.deployment.servers.iter().filter(|server| !left.contains(&server.id));
        let there: Vec<(String, String)> = there
            .map(|server| (server.id.clone(), server.entry(service_of(&server.id), "draining")))
            .collect();
        if left.len() >= MOST_LEFT {
            return;
        }
        let (id, entry) = &there[self.random.random_range(0..there.len())];
        self.replaced += 1;
        let service = service_of(id);
        self.deployment.add_server(&format!("{}r{}", &id[..1], self.replaced), service);
        self.deployment.server(id).announce(Notice::leaving());
        self.deployment.store.put("keyed.servers", id, entry);
        self.journal.leaves(id);
    }

    /// A series of changes of the configuration.
    fn configure(&mut self) {
        for _ in 0..self.random.random_range(1..=SERIES) {
            let version = self.journal.next_version();
            let route = promise::route(version);
            let text = if self.random.random_bool(LARGE_PART) {
                large_configuration(version, &route, self.random.random_range(LARGE))
            } else {
                scalable(version, &route)
            };
            self.deployment.store.put("keyed.op", "config", &text);
            self.configuration = text;
        }
    }

    /// Ends the faults that are due at `now`.
    fn cure(&mut self, now: Instant) {
        let (due, later) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _)| *at <= now);
        self.due = later;
        let due: Vec<(Instant, Cure)> = due;
        for (_, cure) in due {
            self.end(cure);
        }
    }

    /// Ends one fault.
    fn end(&mut self, cure: Cure) {
        match cure {
            Cure::Open(place) => {
                self.relay_at(place).set(Mode::Open);
                self.interrupt_peers(place);
            }
            Cure::Continue(at) => {
                self.journal.thaws(format!("i{at}"));
                self.deployment.instances[at].signal("CONT");
                self.journal.interrupts(at);
                self.down.retain(|down| *down != at);
            }
            Cure::Restart(at) => self.restart(at),
            Cure::Well(at) => self.deployment.servers[at].set(Fault::None),
            Cure::Quiet(at) => self.quiet(at),
            Cure::Take => self.duties.set_outage(Outage::None),
            Cure::Serve(at) => self.deployment.instances[at].door.set_outage(Outage::None),
            Cure::Return(lapsed) => self.store_returns(&lapsed),
            Cure::Rewrite => self.rewrite(),
        }
    }

    /// Starts an instance again, once it ended: one that was told to stop takes its time.
    fn restart(&mut self, at: usize) {
        if self.deployment.instances[at].ended().is_none() {
            self.due.push((Instant::now() + LOOK, Cure::Restart(at)));
            return;
        }
        self.journal.restarts(at);
        self.deployment.instances[at].restart();
        self.journal.interrupts(at);
        self.down.retain(|down| *down != at);
    }

    /// A backend server says nothing of itself any more, unless it leaves.
    fn quiet(&mut self, at: usize) {
        let server = &self.deployment.servers[at];
        if !self.journal.left().contains(&server.id) {
            server.announce(Notice::default());
        }
    }

    /// The store serves all again, and owners enter what lapsed.
    fn store_returns(&mut self, lapsed: &[usize]) {
        for instance in &self.deployment.instances {
            instance.door.set_outage(Outage::None);
        }
        let left = self.journal.left();
        for at in lapsed {
            let server = &self.deployment.servers[*at];
            if !left.contains(&server.id) {
                let entry = server.entry(service_of(&server.id), "ready");
                self.deployment.store.put("keyed.servers", &server.id, &entry);
            }
        }
    }
}

impl Drop for Disturber<'_> {
    /// A paused process could not be ended in order.
    fn drop(&mut self) {
        for (_, cure) in std::mem::take(&mut self.due) {
            if let Cure::Continue(at) = cure {
                self.deployment.instances[at].signal("CONT");
            }
        }
    }
}

/// The service of a backend server, by its identity.
fn service_of(id: &str) -> &'static str {
    if id.starts_with('d') { DESK } else { MODEL }
}
