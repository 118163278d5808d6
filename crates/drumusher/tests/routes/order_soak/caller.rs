//! A caller that begins streams and takes them up: after a break, while the first run goes on, or at two instances at once.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    EVENTS, PATHS,
    record::{Journal, Piece},
};
use crate::support::{Request, Response, read_response};

/// Longest wait for the next byte of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller goes on taking a stream up, and the pause between two tries.
const STREAM_TIME: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(120);
/// Share of the streams whose caller names the attempt that began them.
const NAMED: f64 = 0.6;
/// Share of the responses during which their stream is taken up elsewhere, and of those at two instances at once.
const EARLY: f64 = 0.3;
const AT_TWO: f64 = 0.4;
/// Interval at which a caller looks for the events that it waits for.
const POLL: Duration = Duration::from_millis(5);

/// A caller with its own random sequence and open connections.
pub struct Caller<'a> {
    random: StdRng,
    number: u64,
    /// Number of streams so far.
    streams: u64,
    addresses: &'a [SocketAddr],
    journal: &'a Journal,
    kept: HashMap<usize, TcpStream>,
}

/// A stream that its caller wants as a whole.
struct Stream {
    first: Request,
    names_attempt: bool,
    /// The attempt that sent its first event.
    began: String,
    /// The longest piece so far.
    longest: Option<(usize, u64)>,
}

impl Stream {
    /// The request for the rest of the stream, and what is recorded of it.
    fn next(&self, after: Option<(usize, u64)>, instance: usize) -> (Request, Piece) {
        let mut request = self.first.with_new_id();
        if let Some((_, last)) = after {
            request = request.with("Last-Event-Id", &last.to_string());
            if self.names_attempt {
                request = request.with("Resumes", &self.began);
            }
        }
        let (id, names_attempt) = (request.id.clone(), self.names_attempt);
        (request, Piece { id, instance, after, names_attempt, ..Piece::default() })
    }
}

/// A connection on which the events that have arrived are watched.
struct Watched<'a> {
    conn: &'a mut TcpStream,
    bytes: Vec<u8>,
    last: &'a AtomicU64,
}

impl Read for Watched<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let length = self.conn.read(buffer)?;
        self.bytes.extend_from_slice(&buffer[..length]);
        let text = String::from_utf8_lossy(&self.bytes);
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let number = whole.rfind("\nid: ").and_then(|at| whole[at + 5..].lines().next());
        if let Some(number) = number.and_then(|number| number.trim().parse().ok()) {
            self.last.store(number, Ordering::Release);
        }
        Ok(length)
    }
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
        Caller { random, number, streams: 0, addresses, journal, kept: HashMap::new() }
    }

    /// Receives streams until all is done.
    pub fn run(mut self, done: &AtomicBool) {
        while !done.load(Ordering::Acquire) {
            self.receive();
            thread::sleep(PAUSE);
        }
    }

    /// Receives a stream, and takes it up for as long as it is not whole.
    fn receive(&mut self) {
        let path = PATHS[self.random.random_range(0..PATHS.len())];
        self.streams += 1;
        // Requests that are the same would be held back after some crashes.
        let first = Request::get(&format!("{path}{}-{}", self.number, self.streams))
            .without("Drumusher-Prompt-Prefix");
        let names_attempt = self.random.random_bool(NAMED);
        let mut stream = Stream { first, names_attempt, began: String::new(), longest: None };
        let since = Instant::now();
        while since.elapsed() < STREAM_TIME {
            self.exchange(&mut stream);
            if stream.longest.is_some_and(|(_, last)| last == EVENTS) {
                return;
            }
            thread::sleep(PAUSE);
        }
    }

    /// Requests the rest of a stream, and sometimes takes it up elsewhere before that has ended.
    fn exchange(&mut self, stream: &mut Stream) {
        let instance = self.random.random_range(0..self.addresses.len());
        let (request, mut piece) = stream.next(stream.longest, instance);
        let number = self.journal.begin(piece.clone());
        let is_first = stream.longest.is_none();
        if is_first {
            stream.began = request.id.clone();
        }
        let early = self.random.random_bool(EARLY).then(|| self.random.random_range(1..EVENTS));
        let count = if self.random.random_bool(AT_TWO) { 2 } else { 1 };
        let elsewhere = self.random.random_range(1..self.addresses.len());
        let (last, ended) = (AtomicU64::new(0), AtomicBool::new(false));
        let kept = self.kept.remove(&instance);
        let (journal, addresses, shown) = (self.journal, self.addresses, &*stream);
        let mut pieces = vec![];
        thread::scope(|scope| {
            let (last, ended) = (&last, &ended);
            let begun = scope.spawn(move || {
                let received = fetch(kept, addresses[instance], &request, last);
                ended.store(true, Ordering::Release);
                received
            });
            while early.is_some_and(|early| last.load(Ordering::Acquire) < early)
                && !ended.load(Ordering::Acquire)
            {
                thread::sleep(POLL);
            }
            let last = last.load(Ordering::Acquire);
            let others: Vec<_> = (0..if early.is_some() && last > 0 { count } else { 0 })
                .map(|other| {
                    let at = (instance + elsewhere + other) % addresses.len();
                    scope.spawn(move || take_up(journal, addresses, shown, (number, last), at))
                })
                .collect();
            if let Ok((response, conn)) = begun.join().expect("a caller") {
                piece.add(&response);
                if let Some(conn) = conn {
                    self.kept.insert(instance, conn);
                }
            }
            journal.finish(number, &piece);
            pieces.push((number, piece.last()));
            pieces.extend(others.into_iter().map(|other| other.join().expect("a caller")));
        });
        let longest = pieces.into_iter().chain(stream.longest).max_by_key(|(_, last)| *last);
        stream.longest = longest.filter(|(_, last)| *last > 0);
    }
}

/// Takes a stream up at an instance after an event. Returns the number of the piece and its last event.
fn take_up(
    journal: &Journal,
    addresses: &[SocketAddr],
    stream: &Stream,
    after: (usize, u64),
    instance: usize,
) -> (usize, u64) {
    let (request, mut piece) = stream.next(Some(after), instance);
    let number = journal.begin(piece.clone());
    if let Ok((response, _)) = fetch(None, addresses[instance], &request, &AtomicU64::new(0)) {
        piece.add(&response);
    }
    journal.finish(number, &piece);
    (number, piece.last())
}

/// Sends a request and reads the response, on a kept connection or a new one. Returns the connection if it may be kept.
fn fetch(
    kept: Option<TcpStream>,
    address: SocketAddr,
    request: &Request,
    last: &AtomicU64,
) -> io::Result<(Response, Option<TcpStream>)> {
    let mut conn = kept.map_or_else(|| TcpStream::connect(address), Ok)?;
    conn.set_read_timeout(Some(READ_TIMEOUT))?;
    conn.write_all(&request.bytes())?;
    let response = read_response(&mut Watched { conn: &mut conn, bytes: Vec::new(), last })?;
    let keeps = response.complete && response.header("connection") != Some("close");
    Ok((response, keeps.then_some(conn)))
}
