//! A caller that sends requests to random instances on persistent and new connections, sometimes
//! disconnects early, and checks each response.

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

/// Longest wait for the next byte of a response, longer than the timeout of the routes.
const READ_TIMEOUT: Duration = Duration::from_millis(3_600);
/// Time between two requests of a caller, in milliseconds.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 5..60;
/// Share of the requests whose caller disconnects before the response.
const ABANDON_PROBABILITY: f64 = 0.05;
/// Share of the requests that probe which version of the configuration is applied.
const PROBE_PROBABILITY: f64 = 0.15;
/// Share of the requests that reuse a persistent connection where there is one.
const REUSE_PROBABILITY: f64 = 0.7;
/// A probed version is less than this many versions older than the newest.
const MAX_VERSION_LAG: u64 = 3;

/// A caller with its own random sequence and persistent connections.
pub struct Caller<'a> {
    number: u64,
    random: StdRng,
    addresses: &'a [SocketAddr],
    journal: &'a Journal,
    kept: HashMap<usize, TcpStream>,
}

/// The addresses at which callers reach the instances, through relays.
pub fn addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    let relays = deployment.instances.iter().filter_map(|instance| instance.relays.as_ref());
    relays.map(|relays| relays.callers.address()).collect()
}

impl<'a> Caller<'a> {
    /// A caller whose random sequence follows from the seed and its number.
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

    /// Draws a request of any kind.
    fn random_request(&mut self) -> Request {
        match self.random.random_range(0..4) {
            0 => Request::get("/read/"),
            1 => Request::post("/book/", &format!("a booking of caller {}", self.number)),
            2 => Request::post("/draft/", "a draft"),
            _ => Request::post("/talk/", "a talk"),
        }
    }

    /// Sends a request and checks the response. A failed connection violates no guarantee.
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

    /// Probes a route that only one version of the configuration has. A missing route is no violation.
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

    /// A persistent connection to an instance, or a new one.
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
