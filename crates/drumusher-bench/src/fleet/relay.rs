//! A TCP relay that can be cut, reset, slowed, narrowed and silenced, one way or both.

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

use socket2::SockRef;

/// Bytes passed on at once.
const PIECE: usize = 16 * 1024;
/// Time between two looks whether a silenced way speaks again.
const LOOK: Duration = Duration::from_millis(5);

/// How a relay passes bytes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// As they come.
    #[default]
    Open,
    /// Each piece so late.
    Delayed(Duration),
    /// As over a link that carries so many bytes a second each way, which all connections share.
    Throttled(u64),
    /// Nothing reaches the target until another mode is set.
    StalledToTarget,
    /// Nothing comes back from the target until another mode is set.
    StalledFromTarget,
    /// Nothing passes either way until another mode is set.
    Stalled,
}

/// The way that bytes take through a relay.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    To,
    Back,
}

/// Both sides of a connection that passes.
struct Pair {
    near: TcpStream,
    far: TcpStream,
}

/// What a relay shares with the threads of its connections.
#[derive(Default)]
struct State {
    cut: AtomicBool,
    mode: Mutex<Mode>,
    /// The connections that pass, by number.
    open: Mutex<HashMap<u64, Pair>>,
    /// The number of the next connection.
    next: AtomicU64,
    bytes: AtomicU64,
    /// Until when a narrow link is taken, to the target and back.
    taken: [Mutex<Option<Instant>>; 2],
}

/// Passes connections on to a target until it is cut.
pub struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    /// A relay to `target` on a free port.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn new(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let shared = state.clone();
        thread::Builder::new().name("relay".into()).spawn(move || {
            for stream in listener.incoming().flatten() {
                if !shared.cut.load(Ordering::Acquire) {
                    // A target that is not there ends the caller's connection, as without a relay.
                    let _ = pass(stream, target, &shared);
                }
            }
        })?;
        Ok(Relay { address, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes passed on so far, both ways.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// Sets how bytes pass from now on, also on connections that are open.
    pub fn set(&self, mode: Mode) {
        *self.state.mode.lock().expect("no holder panics") = mode;
    }

    /// Resets all connections; new ones pass.
    pub fn reset(&self) {
        let mut open = self.state.open.lock().expect("no holder panics");
        for (_, pair) in open.drain() {
            for stream in [&pair.near, &pair.far] {
                // A connection that ended by itself meanwhile needs no reset.
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            }
        }
    }

    /// Breaks all connections and lets none through, or lets them through again.
    pub fn cut(&self, cut: bool) {
        self.state.cut.store(cut, Ordering::Release);
        if !cut {
            return;
        }
        let mut open = self.state.open.lock().expect("no holder panics");
        for (_, pair) in open.drain() {
            pair.end();
        }
    }
}

impl Pair {
    /// Ends both sides in order.
    fn end(&self) {
        let _ = self.near.shutdown(Shutdown::Both);
        let _ = self.far.shutdown(Shutdown::Both);
    }
}

impl State {
    /// Waits as the mode wants it. Returns whether the connection is still to be passed on.
    fn hold(&self, number: u64, way: Way, length: usize) -> bool {
        loop {
            let mode = *self.mode.lock().expect("no holder panics");
            let muted = match mode {
                Mode::Open => false,
                Mode::Delayed(late) => {
                    thread::sleep(late);
                    false
                }
                Mode::Throttled(rate) => {
                    thread::sleep(self.queue(way, length, rate));
                    false
                }
                Mode::Stalled => true,
                Mode::StalledToTarget => way == Way::To,
                Mode::StalledFromTarget => way == Way::Back,
            };
            if !self.open.lock().expect("no holder panics").contains_key(&number) {
                return false;
            }
            if !muted {
                return true;
            }
            thread::sleep(LOOK);
        }
    }

    /// Takes a narrow link for `length` bytes, after those that came before. Returns how long that lasts.
    fn queue(&self, way: Way, length: usize, rate: u64) -> Duration {
        let mut taken = self.taken[way as usize].lock().expect("no holder panics");
        let now = Instant::now();
        let until =
            taken.unwrap_or(now).max(now) + Duration::from_secs_f64(length as f64 / rate as f64);
        *taken = Some(until);
        until - now
    }

    /// Ends a connection, unless it was ended by a cut or reset.
    fn end(&self, number: u64) {
        let pair = self.open.lock().expect("no holder panics").remove(&number);
        if let Some(pair) = pair {
            pair.end();
        }
    }
}

/// Opens the far side of a connection and passes bytes on, both ways, on two threads.
fn pass(stream: TcpStream, target: SocketAddr, state: &Arc<State>) -> io::Result<()> {
    let onward = TcpStream::connect(target)?;
    stream.set_nodelay(true)?;
    onward.set_nodelay(true)?;
    let number = state.next.fetch_add(1, Ordering::Relaxed);
    let pair = Pair { near: stream.try_clone()?, far: onward.try_clone()? };
    state.open.lock().expect("no holder panics").insert(number, pair);
    let back = (onward.try_clone()?, stream.try_clone()?);
    copy(stream, onward, state.clone(), number, Way::To)?;
    copy(back.0, back.1, state.clone(), number, Way::Back)
}

/// Passes bytes on one way, on a thread of its own, until either side or the relay ends the connection.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    state: Arc<State>,
    number: u64,
    way: Way,
) -> io::Result<()> {
    let run = move || {
        let mut piece = [0; PIECE];
        while let Ok(length) = from.read(&mut piece) {
            let ended = length == 0 || !state.hold(number, way, length);
            if ended || to.write_all(&piece[..length]).is_err() {
                break;
            }
            state.bytes.fetch_add(length as u64, Ordering::Relaxed);
        }
        state.end(number);
    };
    thread::Builder::new().name("relay-copy".into()).spawn(run).map(drop)
}
