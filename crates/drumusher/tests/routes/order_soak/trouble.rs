//! Injects troubles that overlap, drawn from a seed, and ends them.

use std::{
    ops::Range,
    process::{Command, Stdio},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Crash, Ending, Fault, Outage, Server};
use drumusher_bench::fleet::{Mode, Relay};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{FRAMINGS, OTHER, SERVERS, register, routes, start_server};
use crate::support::{Deployment, MODEL};

/// Time between two troubles, and how long one lasts, in milliseconds.
const INTERVAL_MS: Range<u64> = 100..900;
const DURATION_MS: Range<u64> = 200..4_000;
/// Time from the end of a process until it is started again, in milliseconds.
const RESTART_MS: Range<u64> = 50..1_500;
/// Downtime of a backend server that crashes, and how long one stands still, in milliseconds.
const DOWN_MS: Range<u64> = 200..2_000;
const PAUSE_MS: Range<u64> = 300..2_500;
/// Period of a shortage of processor time, and how much of it a process gets, in milliseconds.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
const QUOTA_MS: Range<u64> = 10..21;
/// Software versions of the releases, in turn.
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v2"];

/// What ends a trouble.
enum Recovery {
    Resume(usize),
    Restart(usize),
    EndShortage(usize, JoinHandle<()>),
    Open(usize),
    RestoreStore(usize),
    /// A backend server of a release before leaves.
    Leave(String),
    /// The framing of a backend server that cut its streams.
    Frame(String),
}

/// Injects troubles into a deployment.
pub struct Injector<'a> {
    random: StdRng,
    deployment: &'a mut Deployment,
    due: Vec<(Instant, Recovery)>,
    /// Instances that are paused, or have no process.
    down: Vec<usize>,
    /// Backend servers that crashed, and until when they may be down.
    crashed: Vec<(String, Instant)>,
    /// Framings of the backend servers, and the services of the listed ones.
    framings: Vec<(String, Fault)>,
    listed: Vec<(String, &'static str)>,
    /// When the first release may come; all servers have one version before.
    releases_from: Instant,
    /// Whether a route may move to another service.
    routes_move: bool,
    releases: usize,
    version: u64,
}

impl<'a> Injector<'a> {
    /// An injector whose random sequence follows from a seed, which makes releases from a time on,
    /// and may move routes.
    pub fn new(
        seed: u64,
        deployment: &'a mut Deployment,
        releases_from: Instant,
        routes_move: bool,
    ) -> Injector<'a> {
        let (mut framings, mut listed) = (Vec::new(), Vec::new());
        for (number, framing) in FRAMINGS.into_iter().enumerate() {
            for service in [MODEL, OTHER] {
                framings.push((format!("{service}{number}"), framing));
                listed.push((format!("{service}{number}"), service));
            }
        }
        let random = StdRng::seed_from_u64(seed);
        let (due, down, crashed) = (Vec::new(), Vec::new(), Vec::new());
        let (releases, version) = (0, 1);
        Injector {
            random,
            deployment,
            due,
            down,
            crashed,
            framings,
            listed,
            releases_from,
            routes_move,
            releases,
            version,
        }
    }

    /// Injects a trouble and waits until the next one is due.
    pub fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..22 => self.release(),
            22..28 => self.upgrade_in_place(),
            28..36 => self.kill(),
            36..42 => self.stop(),
            42..46 => self.reload(),
            46..54 => self.pause(),
            54..60 => self.cut_processor_time(),
            60..68 => self.reset_relay(),
            68..78 => self.stall_relay(),
            78..86 => self.crash_server(),
            86..90 => self.pause_server(),
            90..94 => self.cut_streams(),
            94..97 => self.fail_store(),
            _ => self.move_route(),
        }
        let until = Instant::now() + self.draw(INTERVAL_MS);
        while Instant::now() < until {
            let next = self.due.iter().map(|(at, _)| *at).min().unwrap_or(until);
            thread::sleep(next.min(until).saturating_duration_since(Instant::now()));
            self.recover_due(Instant::now());
        }
    }

    /// Ends all troubles.
    pub fn recover_all(mut self) {
        while let Some(last) = self.due.iter().map(|(at, _)| *at).max() {
            self.recover_due(last);
        }
    }

    fn draw(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn later(&mut self, range: Range<u64>, recovery: Recovery) {
        let at = Instant::now() + self.draw(range);
        self.due.push((at, recovery));
    }

    /// An instance that runs, which counts as down from now on.
    fn take_instance(&mut self) -> Option<usize> {
        let at = self.random.random_range(0..self.deployment.instances.len());
        if self.down.contains(&at) {
            return None;
        }
        self.down.push(at);
        Some(at)
    }

    fn draw_server(&mut self) -> Server {
        let (id, _) = &self.listed[self.random.random_range(0..self.listed.len())];
        self.deployment.server(id).clone()
    }

    /// Whether a backend server is up, or came up a while ago.
    fn is_up(&self, server: &Server) -> bool {
        self.crashed.iter().all(|(id, until)| *id != server.id || *until < Instant::now())
    }

    /// Adds a backend server of the next version to a service, whose oldest one leaves later.
    fn release(&mut self) {
        if Instant::now() < self.releases_from {
            return;
        }
        let service = if self.random.random_bool(0.6) { MODEL } else { OTHER };
        self.releases += 1;
        let id = format!("{service}{}", SERVERS + self.releases);
        let framing = FRAMINGS[self.random.random_range(0..FRAMINGS.len())];
        let version = VERSIONS[self.random.random_range(0..VERSIONS.len())];
        let server = start_server(&id, framing, version);
        register(self.deployment, &server, service, "ready");
        self.deployment.servers.push(server);
        self.framings.push((id.clone(), framing));
        self.listed.push((id, service));
        let of_service: Vec<String> =
            self.listed.iter().filter(|(_, of)| *of == service).map(|(id, _)| id.clone()).collect();
        if of_service.len() <= SERVERS {
            return;
        }
        let oldest = of_service[0].clone();
        if self.random.random_bool(0.5) {
            register(self.deployment, self.deployment.server(&oldest), service, "draining");
        }
        self.listed.retain(|(id, _)| *id != oldest);
        self.later(DURATION_MS, Recovery::Leave(oldest));
    }

    /// Ends a backend server, which comes back at its address with another ID, and sometimes another version.
    fn upgrade_in_place(&mut self) {
        let server = self.draw_server();
        if !self.is_up(&server) {
            return;
        }
        let released = Instant::now() >= self.releases_from;
        let version =
            VERSIONS[self.random.random_range(0..if released { VERSIONS.len() } else { 1 })];
        let down = self.draw(DOWN_MS);
        self.crash(&server, Ending::Reset, down, true);
        thread::spawn(move || {
            thread::sleep(down / 2);
            server.set_version(version);
        });
    }

    fn crash_server(&mut self) {
        let server = self.draw_server();
        if !self.is_up(&server) {
            return;
        }
        let endings = [Ending::Closed, Ending::Reset, Ending::Silent];
        let ending = endings[self.random.random_range(0..endings.len())];
        let (down, renamed) = (self.draw(DOWN_MS), self.random.random_bool(0.5));
        self.crash(&server, ending, down, renamed);
    }

    fn crash(&mut self, server: &Server, ending: Ending, down: Duration, renamed: bool) {
        let service = if server.id.starts_with(MODEL) { MODEL } else { OTHER };
        let crash = Crash {
            path: "/".into(),
            part: None,
            events: 0,
            after: Duration::ZERO,
            ending,
            down,
            renamed,
            service: service.into(),
            store: self.deployment.store.clone(),
        };
        self.crashed.push((server.id.clone(), Instant::now() + down * 2));
        let server = server.clone();
        thread::spawn(move || server.crash(&crash));
    }

    fn pause_server(&mut self) {
        let (server, time) = (self.draw_server(), self.draw(PAUSE_MS));
        server.pause(time);
    }

    /// Lets a backend server cut streams in the middle of an event.
    fn cut_streams(&mut self) {
        let server = self.draw_server();
        server.set(Fault::CutStream);
        self.later(DURATION_MS, Recovery::Frame(server.id.clone()));
    }

    /// Kills one instance, several or all that run.
    fn kill(&mut self) {
        let all = self.deployment.instances.len();
        let count = [1, 1, 1, 2, all - 1, all][self.random.random_range(0..6)];
        for _ in 0..count {
            if let Some(at) = self.take_instance() {
                self.deployment.instances[at].kill();
                self.later(RESTART_MS, Recovery::Restart(at));
            }
        }
    }

    fn stop(&mut self) {
        if let Some(at) = self.take_instance() {
            self.deployment.instances[at].signal("TERM");
            self.later(DURATION_MS, Recovery::Restart(at));
        }
    }

    fn reload(&mut self) {
        let at = self.random.random_range(0..self.deployment.instances.len());
        if !self.down.contains(&at) {
            self.deployment.instances[at].signal("HUP");
        }
    }

    fn pause(&mut self) {
        if let Some(at) = self.take_instance() {
            self.deployment.instances[at].signal("STOP");
            self.later(DURATION_MS, Recovery::Resume(at));
        }
    }

    /// Lets an instance run for a small part of the time.
    fn cut_processor_time(&mut self) {
        let Some(at) = self.take_instance() else { return };
        let (quota, time) = (self.draw(QUOTA_MS), self.draw(DURATION_MS));
        let process = self.deployment.instances[at].process();
        let shortage = thread::spawn(move || {
            let until = Instant::now() + time;
            while Instant::now() < until {
                signal(process, "STOP");
                thread::sleep(QUOTA_PERIOD - quota);
                signal(process, "CONT");
                thread::sleep(quota);
            }
        });
        self.due.push((Instant::now() + time, Recovery::EndShortage(at, shortage)));
    }

    fn relay(&mut self) -> (usize, &Relay) {
        let at = self.random.random_range(0..self.deployment.instances.len());
        let which = self.random.random_range(0..3);
        let relays = self.deployment.instances[at].relays.as_ref().expect("relays");
        (at, [&relays.callers, &relays.peers, &relays.store][which])
    }

    fn reset_relay(&mut self) {
        self.relay().1.reset();
    }

    fn stall_relay(&mut self) {
        let modes = [Mode::Stalled, Mode::StalledToTarget, Mode::StalledFromTarget];
        let mode = modes[self.random.random_range(0..modes.len())];
        let (at, relay) = self.relay();
        relay.set(mode);
        self.later(DURATION_MS, Recovery::Open(at));
    }

    fn fail_store(&mut self) {
        let outages = [Outage::Unavailable, Outage::Reset, Outage::Unresponsive];
        let outage = outages[self.random.random_range(0..outages.len())];
        let at = self.random.random_range(0..self.deployment.instances.len());
        self.deployment.instances[at].store_endpoint.set_outage(outage);
        self.later(DURATION_MS, Recovery::RestoreStore(at));
    }

    /// Moves a route to the other service, or back.
    fn move_route(&mut self) {
        if !self.routes_move {
            return;
        }
        self.version += 1;
        let service = if self.version.is_multiple_of(2) { OTHER } else { MODEL };
        self.deployment.store.put("keyed.op", "config", &routes(self.version, service));
    }

    fn recover_due(&mut self, now: Instant) {
        let due: Vec<_> = self.due.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, recovery) in due {
            self.recover(recovery);
        }
    }

    fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::Resume(at) => {
                self.deployment.instances[at].signal("CONT");
                self.down.retain(|down| *down != at);
            }
            Recovery::EndShortage(at, shortage) => {
                shortage.join().expect("the shortage ends");
                self.down.retain(|down| *down != at);
            }
            Recovery::Restart(at) => {
                self.deployment.instances[at].kill();
                self.deployment.instances[at].respawn();
                self.down.retain(|down| *down != at);
            }
            Recovery::Open(at) => {
                let relays = self.deployment.instances[at].relays.as_ref().expect("relays");
                let relays = [&relays.callers, &relays.peers, &relays.store];
                relays.iter().for_each(|relay| relay.set(Mode::Open));
            }
            Recovery::RestoreStore(at) => {
                self.deployment.instances[at].store_endpoint.set_outage(Outage::None);
            }
            Recovery::Leave(id) => {
                let name = self.deployment.server(&id).name();
                self.deployment.store.remove("keyed.servers", &name);
            }
            Recovery::Frame(id) => {
                let framing = self.framings.iter().find(|(of, _)| *of == id);
                let (_, framing) = framing.expect("the server has a framing");
                self.deployment.server(&id).set(*framing);
            }
        }
    }
}

/// Sends a signal to a process that may be gone.
fn signal(process: u32, signal: &str) {
    let process = process.to_string();
    let _ = Command::new("kill").args(["-s", signal, &process]).stderr(Stdio::null()).status();
}
