//! A TCP relay that injects network faults: cut, refused connections, reset, close on data, delay, limited bandwidth,
//! and stalls in one or both directions.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use socket2::{Domain, SockRef, Socket, Type};

/// Bytes forwarded at once.
const CHUNK: usize = 16 * 1024;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;
/// Interval at which a stalled direction checks whether it may continue.
const STALL_POLL: Duration = Duration::from_millis(5);

/// How a relay forwards bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Without faults.
    #[default]
    Open,
    /// Each chunk is delayed by this duration.
    Delayed(Duration),
    /// Bandwidth is limited to this number of bytes per second in each direction, shared by all connections.
    Throttled(u64),
    /// Bytes to the target are held back until another mode is set.
    StalledToTarget,
    /// Bytes from the target are held back until another mode is set.
    StalledFromTarget,
    /// Bytes in both directions are held back until another mode is set.
    Stalled,
    /// A connection is accepted, and closed once bytes to the target were read.
    ClosedOnData,
}

/// Direction in which a relay forwards bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

/// The two TCP connections that make up a relayed connection.
struct Pair {
    client: Arc<TcpStream>,
    target: Arc<TcpStream>,
}

/// State that a relay shares with the threads of its connections.
#[derive(Default)]
struct State {
    cut: AtomicBool,
    mode: Mutex<Mode>,
    /// Open connections by number.
    open: Mutex<HashMap<u64, Pair>>,
    /// Number of the next connection.
    next: AtomicU64,
    bytes: AtomicU64,
    /// End of the transmissions scheduled on a throttled link, by [`Direction`].
    busy_until: [Mutex<Option<Instant>>; 2],
}

/// Forwards TCP connections to a target.
pub struct Relay {
    address: SocketAddr,
    target: SocketAddr,
    state: Arc<State>,
    /// The listening socket; `None` while connections are refused.
    listener: Mutex<Option<TcpListener>>,
    /// Bound to the relay's port and never listening, so that the port stays reserved while connections are refused.
    _reserved: Socket,
}

impl Relay {
    /// Starts a relay to `target` on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Any I/O error of binding the listener or spawning its thread.
    pub fn new(target: SocketAddr) -> io::Result<Self> {
        let reserved = bind("127.0.0.1:0".parse().map_err(io::Error::other)?)?;
        let address = reserved.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let (state, listener) = (Arc::new(State::default()), Mutex::new(None));
        let relay = Relay { address, target, state, listener, _reserved: reserved };
        relay.listen()?;
        Ok(relay)
    }

    /// Accepts connections on a new listening socket, on a thread that ends with the socket.
    fn listen(&self) -> io::Result<()> {
        let socket = bind(self.address)?;
        socket.listen(BACKLOG)?;
        let listener = TcpListener::from(socket);
        let incoming = listener.try_clone()?;
        let (shared, target) = (self.state.clone(), self.target);
        thread::Builder::new().name("relay".into()).spawn(move || {
            loop {
                match incoming.accept() {
                    // If the target refuses the connection, dropping the stream closes the client's.
                    Ok((stream, _)) if !shared.cut.load(Ordering::Acquire) => {
                        let _ = relay_connection(stream, target, &shared);
                    }
                    // The socket was shut down.
                    Err(error) if error.kind() == io::ErrorKind::InvalidInput => return,
                    _ => {}
                }
            }
        })?;
        *self.listener.lock().expect("no holder panics") = Some(listener);
        Ok(())
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes forwarded so far in both directions.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// Sets the mode for all connections, including open ones.
    pub fn set(&self, mode: Mode) {
        *self.state.mode.lock().expect("no holder panics") = mode;
    }

    /// Resets all open connections. New ones are accepted.
    pub fn reset(&self) {
        let mut open = self.state.open.lock().expect("no holder panics");
        for (_, pair) in open.drain() {
            for stream in [&pair.client, &pair.target] {
                // Errors are ignored: a connection that closed in the meantime needs no reset.
                let _ = SockRef::from(&**stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            }
        }
    }

    /// With `true`, closes all connections and every new one; with `false`, accepts connections again.
    pub fn cut(&self, cut: bool) {
        self.state.cut.store(cut, Ordering::Release);
        if cut {
            self.state.close_all();
        }
    }

    /// With `true`, closes all connections and refuses every new one, as a host does whose process ended; with `false`,
    /// accepts connections again.
    ///
    /// # Errors
    ///
    /// Any I/O error of listening again.
    pub fn refuse(&self, refuse: bool) -> io::Result<()> {
        self.state.cut.store(refuse, Ordering::Release);
        let listener = self.listener.lock().expect("no holder panics").take();
        if let Some(listener) = listener {
            // Ends the blocking accept of the relay's thread.
            SockRef::from(&listener).shutdown(Shutdown::Both)?;
        }
        if !refuse {
            return self.listen();
        }
        self.state.close_all();
        Ok(())
    }
}

impl Pair {
    /// Shuts down both connections.
    fn close(&self) {
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}

impl State {
    /// Delays a chunk of `length` bytes as the mode requires. Returns whether the connection is still open.
    fn apply_mode(&self, number: u64, direction: Direction, length: usize) -> bool {
        loop {
            let mode = *self.mode.lock().expect("no holder panics");
            let stalled = match mode {
                Mode::Open => false,
                Mode::ClosedOnData if direction == Direction::ToTarget => return false,
                Mode::ClosedOnData => false,
                Mode::Delayed(delay) => {
                    thread::sleep(delay);
                    false
                }
                Mode::Throttled(rate) => {
                    thread::sleep(self.schedule(direction, length, rate));
                    false
                }
                Mode::Stalled => true,
                Mode::StalledToTarget => direction == Direction::ToTarget,
                Mode::StalledFromTarget => direction == Direction::FromTarget,
            };
            if !self.open.lock().expect("no holder panics").contains_key(&number) {
                return false;
            }
            if !stalled {
                return true;
            }
            thread::sleep(STALL_POLL);
        }
    }

    /// Schedules the transmission of `length` bytes on a throttled link, after those scheduled before. Returns the
    /// time until it ends.
    fn schedule(&self, direction: Direction, length: usize, rate: u64) -> Duration {
        let mut busy_until = self.busy_until[direction as usize].lock().expect("no holder panics");
        let now = Instant::now();
        let until = busy_until.unwrap_or(now).max(now)
            + Duration::from_secs_f64(length as f64 / rate as f64);
        *busy_until = Some(until);
        until - now
    }

    /// Closes all connections.
    fn close_all(&self) {
        let mut open = self.open.lock().expect("no holder panics");
        for (_, pair) in open.drain() {
            pair.close();
        }
    }

    /// Closes a connection, unless a cut or reset has already closed it.
    fn close(&self, number: u64) {
        let pair = self.open.lock().expect("no holder panics").remove(&number);
        if let Some(pair) = pair {
            pair.close();
        }
    }
}

/// A socket bound to an address that other sockets may be bound to as well.
fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Connects to the target and forwards bytes in both directions, each on its own thread.
fn relay_connection(client: TcpStream, address: SocketAddr, state: &Arc<State>) -> io::Result<()> {
    let target = TcpStream::connect(address)?;
    client.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let number = state.next.fetch_add(1, Ordering::Relaxed);
    let (client, target) = (Arc::new(client), Arc::new(target));
    let pair = Pair { client: client.clone(), target: target.clone() };
    state.open.lock().expect("no holder panics").insert(number, pair);
    if state.cut.load(Ordering::Acquire) {
        // The relay was cut while this connection was set up.
        state.close(number);
    }
    copy(client.clone(), target.clone(), state.clone(), number, Direction::ToTarget)?;
    copy(target, client, state.clone(), number, Direction::FromTarget)
}

/// Forwards bytes in one direction on a new thread until either side or the relay closes the connection.
fn copy(
    from: Arc<TcpStream>,
    to: Arc<TcpStream>,
    state: Arc<State>,
    number: u64,
    direction: Direction,
) -> io::Result<()> {
    let run = move || {
        let mut chunk = [0; CHUNK];
        while let Ok(length) = (&*from).read(&mut chunk) {
            let ended = length == 0 || !state.apply_mode(number, direction, length);
            if ended || (&*to).write_all(&chunk[..length]).is_err() {
                break;
            }
            state.bytes.fetch_add(length as u64, Ordering::Relaxed);
        }
        state.close(number);
    };
    thread::Builder::new().name("relay-copy".into()).spawn(run).map(drop)
}
