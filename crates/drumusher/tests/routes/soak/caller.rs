//! A caller: sends requests to any instance, on kept and new connections, leaves now and then, and
//! checks each answer.

use std::{
    collections::HashMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::promise::{self, Journal};
use crate::support::{Call, Deployment, read};

/// A caller waits so long for the next byte of an answer: longer than its route allows.
const PATIENCE: Duration = Duration::from_millis(3_600);
/// Time between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Part of the requests whose caller leaves before the answer.
const LEAVES: f64 = 0.05;
/// Part of the requests that ask which version of the configuration is in force.
const PROBES: f64 = 0.15;
/// Part of the requests on a kept connection, where there is one.
const KEPT: f64 = 0.7;
/// A version that is asked for is at most so much older than the newest.
const LOOK_BACK: u64 = 3;

/// A caller.
pub struct Caller<'a> {
    number: u64,
    random: StdRng,
    addresses: &'a [SocketAddr],
    journal: &'a Journal,
    kept: HashMap<usize, TcpStream>,
}

/// Where callers reach the instances.
pub fn addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    let relays = deployment.instances.iter().filter_map(|instance| instance.relays.as_ref());
    relays.map(|relays| relays.callers.address()).collect()
}

impl<'a> Caller<'a> {
    /// A caller with its own luck.
    pub fn new(
        seed: u64,
        number: u64,
        addresses: &'a [SocketAddr],
        journal: &'a Journal,
    ) -> Caller<'a> {
        let random = StdRng::seed_from_u64(seed ^ (number + 1) << 32);
        Caller { number, random, addresses, journal, kept: HashMap::new() }
    }

    /// Sends requests until `stop`.
    pub fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Acquire) {
            let at = self.random.random_range(0..self.addresses.len());
            if self.random.random_bool(PROBES) {
                self.probe(at);
            } else {
                let call = self.draw();
                self.journal.sends(&call, at);
                self.exchange(at, &call);
            }
            thread::sleep(Duration::from_millis(self.random.random_range(PAUSE_MS)));
        }
    }

    /// Any request.
    fn draw(&mut self) -> Call {
        match self.random.random_range(0..4) {
            0 => Call::get("/read/"),
            1 => Call::post("/book/", &format!("a booking of caller {}", self.number)),
            2 => Call::post("/draft/", "a draft"),
            _ => Call::post("/talk/", "a talk"),
        }
    }

    /// Sends a request and checks what comes. A failed connection promises nothing.
    fn exchange(&mut self, at: usize, call: &Call) -> Option<u16> {
        let mut conn = self.connection(at)?;
        conn.write_all(&call.bytes()).ok()?;
        if self.random.random_bool(LEAVES) {
            let stay = self.random.random_range(0..80);
            thread::sleep(Duration::from_millis(stay));
            return None;
        }
        let answer = read(&mut conn).ok()?;
        self.journal.answered(call, &answer);
        if answer.whole && answer.header("connection") != Some("close") {
            self.kept.insert(at, conn);
        }
        Some(answer.status)
    }

    /// Asks on a route that only one version has. A route that is not there is no fault.
    fn probe(&mut self, at: usize) {
        let newest = self.journal.newest_version();
        let version = newest - self.random.random_range(0..LOOK_BACK.min(newest));
        let call = Call::get(&format!("/{}/", promise::route(version)));
        let (starts, before) = self.journal.shown(at);
        let Some(mut conn) = self.connection(at) else { return };
        if conn.write_all(&call.bytes()).is_err() {
            return;
        }
        if let Ok(answer) = read(&mut conn)
            && answer.status == 200
        {
            self.journal.shows(at, starts, before, version);
        }
    }

    /// A kept connection to an instance, or a new one.
    fn connection(&mut self, at: usize) -> Option<TcpStream> {
        let kept = self.kept.remove(&at).filter(|_| self.random.random_bool(KEPT));
        if kept.is_some() {
            return kept;
        }
        let conn = TcpStream::connect(self.addresses[at]).ok()?;
        conn.set_read_timeout(Some(PATIENCE)).ok()?;
        Some(conn)
    }
}
