//! A caller that sends requests to one instance, on a connection that it keeps for as long as it may.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::record::{Ending, Journal, Record};
use crate::support::{Request, read_response};

/// Longest wait for the next byte of a response, longer than the timeout of the routes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..120;
/// Pause before the next try to reach an instance that takes no connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(60);
/// Paths of requests; streams are as frequent as all others.
const PATHS: [&str; 6] = ["/talk/", "/draft/", "/talk/", "/book/", "/read/", "/book/"];

/// A caller with its own random sequence.
pub struct Caller<'a> {
    random: StdRng,
    instance: usize,
    address: SocketAddr,
    journal: &'a Journal,
}

impl<'a> Caller<'a> {
    /// A caller of an instance, given by its index and address.
    pub fn new(
        seed: u64,
        number: u64,
        (instance, address): (usize, SocketAddr),
        journal: &'a Journal,
    ) -> Caller<'a> {
        let sequence = seed ^ (number + 1) << 32 ^ (instance as u64 + 1) << 48;
        Caller { random: StdRng::seed_from_u64(sequence), instance, address, journal }
    }

    /// Sends requests until all is done.
    pub fn run(mut self, done: &AtomicBool) {
        let mut kept = None;
        while !done.load(Ordering::Acquire) {
            let Some(conn) = kept.take().or_else(|| self.connect()) else {
                thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            kept = self.exchange(conn);
            thread::sleep(Duration::from_millis(self.random.random_range(PAUSE_MS)));
        }
    }

    fn connect(&self) -> Option<TcpStream> {
        let conn = TcpStream::connect(self.address).ok()?;
        conn.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some(conn)
    }

    /// Sends a request and records how it ended. Returns the connection if it may be used again.
    fn exchange(&mut self, mut conn: TcpStream) -> Option<TcpStream> {
        let path = PATHS[self.random.random_range(0..PATHS.len())];
        let request = Request::post(path, "x");
        conn.write_all(&request.bytes()).ok()?;
        let sent = Instant::now();
        let response = read_response(&mut conn);
        let ending = match &response {
            Ok(response) if response.complete => Ending::Answered(response.status),
            Ok(response) => Ending::Cut(response.status),
            Err(_) => Ending::Closed,
        };
        let (instance, ended) = (self.instance, Instant::now());
        self.journal.add(Record { request: request.id, instance, sent, ended, ending });
        let keeps = |response: &crate::support::Response| {
            response.complete && response.header("connection") != Some("close")
        };
        response.is_ok_and(|response| keeps(&response)).then_some(conn)
    }
}
