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

use super::journal::{self, Journal};
use crate::support::{Deployment, Request, read_response};

/// A caller waits so long for the next byte of an answer: longer than its route allows.
const READ_TIMEOUT: Duration = Duration::from_millis(3_600);
/// Time between two requests of a caller, in milliseconds.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 5..60;
/// Part of the requests whose caller leaves before the answer.
const ABANDON_PROBABILITY: f64 = 0.05;
/// Part of the requests that ask which version of the configuration is in force.
const PROBE_PROBABILITY: f64 = 0.15;
/// Part of the requests on a kept connection, where there is one.
const REUSE_PROBABILITY: f64 = 0.7;
/// A version that is asked for is at most so much older than the newest.
const MAX_VERSION_LAG: u64 = 3;

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
            if self.random.random_bool(PROBE_PROBABILITY) {
                self.probe(at);
            } else {
                let request = self.random_request();
                self.journal.record_request(&request, at);
                self.exchange(at, &request);
            }
            thread::sleep(Duration::from_millis(self.random.random_range(REQUEST_INTERVAL_MS)));
        }
    }

    /// Any request.
    fn random_request(&mut self) -> Request {
        match self.random.random_range(0..4) {
            0 => Request::get("/read/"),
            1 => Request::post("/book/", &format!("a booking of caller {}", self.number)),
            2 => Request::post("/draft/", "a draft"),
            _ => Request::post("/talk/", "a talk"),
        }
    }

    /// Sends a request and checks what comes. A failed connection promises nothing.
    fn exchange(&mut self, at: usize, request: &Request) -> Option<u16> {
        let mut conn = self.connection(at)?;
        conn.write_all(&request.bytes()).ok()?;
        if self.random.random_bool(ABANDON_PROBABILITY) {
            let stay = self.random.random_range(0..80);
            thread::sleep(Duration::from_millis(stay));
            return None;
        }
        let response = read_response(&mut conn).ok()?;
        self.journal.record_response(request, &response);
        if response.complete && response.header("connection") != Some("close") {
            self.kept.insert(at, conn);
        }
        Some(response.status)
    }

    /// Asks on a route that only one version has. A route that is not there is no fault.
    fn probe(&mut self, at: usize) {
        let newest = self.journal.newest_version();
        let version = newest - self.random.random_range(0..MAX_VERSION_LAG.min(newest));
        let request = Request::get(&format!("/{}/", journal::route(version)));
        let (starts, before) = self.journal.seen_version(at);
        let Some(mut conn) = self.connection(at) else { return };
        if conn.write_all(&request.bytes()).is_err() {
            return;
        }
        if let Ok(response) = read_response(&mut conn)
            && response.status == 200
        {
            self.journal.record_version(at, starts, before, version);
        }
    }

    /// A kept connection to an instance, or a new one.
    fn connection(&mut self, at: usize) -> Option<TcpStream> {
        let kept = self.kept.remove(&at).filter(|_| self.random.random_bool(REUSE_PROBABILITY));
        if kept.is_some() {
            return kept;
        }
        let conn = TcpStream::connect(self.addresses[at]).ok()?;
        conn.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some(conn)
    }
}
