//! A proxy in front of a backend server that treats the connections of each instance differently.

use std::{
    collections::HashMap,
    fs,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use socket2::SockRef;

/// Bytes forwarded at once.
const CHUNK: usize = 16 * 1024;
/// Number of lookups of the instance at the other end of a connection.
const MAX_LOOKUPS: u32 = 40;
/// Interval at which a silent link checks whether it works again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// States in the kernel's table of sockets whose socket belongs to no process, or is not connected.
const UNCONNECTED: [&str; 2] = ["06", "0A"];

/// State of the link from an instance to the backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// It works.
    #[default]
    Open,
    /// Connections stay open, and no byte arrives.
    Silent,
    /// Connections are reset, new ones too.
    Reset,
    /// Open connections work, and new ones are reset.
    NoNew,
}

/// The links from the instances to all backend servers, by process ID.
#[derive(Clone, Debug, Default)]
pub struct Links {
    links: Arc<Mutex<HashMap<u32, Link>>>,
    open: Arc<Mutex<HashMap<u64, (u32, TcpStream)>>>,
    next: Arc<AtomicU64>,
}

impl Links {
    /// Sets the link of an instance.
    pub fn set(&self, process: u32, link: Link) {
        lock(&self.links).insert(process, link);
        if link == Link::Reset {
            let of_process = lock(&self.open).extract_if(|_, conn| conn.0 == process).collect();
            let of_process: Vec<(u64, (u32, TcpStream))> = of_process;
            of_process.iter().for_each(|(_, (_, stream))| reset(stream));
        }
    }

    fn get(&self, process: u32) -> Link {
        lock(&self.links).get(&process).copied().unwrap_or_default()
    }

    /// The instance at the other end of a connection; 0 if it is none of those that were set. A table that changes while
    /// it is read may lack a row.
    fn process_of(&self, stream: &TcpStream) -> u32 {
        let (Ok(local), Ok(remote)) = (stream.peer_addr(), stream.local_addr()) else { return 0 };
        let find = || {
            let name = format!("socket:[{}]", socket_inode(local, remote)?);
            let processes: Vec<u32> = lock(&self.links).keys().copied().collect();
            processes.into_iter().find(|process| has_file(*process, &name))
        };
        for _ in 0..MAX_LOOKUPS {
            if let Some(process) = find() {
                return process;
            }
            if is_closed(stream) {
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        0
    }

    /// Starts a proxy to `target`. Returns its address.
    ///
    /// # Errors
    ///
    /// Any I/O error of binding the listener.
    pub fn proxy(&self, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let links = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let links = links.clone();
                thread::spawn(move || links.forward(client, target));
            }
        });
        Ok(address)
    }

    /// Starts a server that handles each connection with `serve`, but resets those of instances without a link. Returns its
    /// address.
    ///
    /// # Errors
    ///
    /// Any I/O error of binding the listener.
    pub fn server(&self, serve: fn(TcpStream) -> io::Result<()>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let links = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let links = links.clone();
                thread::spawn(move || match links.get(links.process_of(&client)) {
                    Link::Open => serve(client),
                    _ => {
                        reset(&client);
                        Ok(())
                    }
                });
            }
        });
        Ok(address)
    }

    fn forward(&self, client: TcpStream, target: SocketAddr) -> io::Result<()> {
        let process = self.process_of(&client);
        let server = TcpStream::connect(target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        // Entered before the link is read, so that a reset that comes meanwhile finds the connection.
        lock(&self.open).insert(number, (process, client.try_clone()?));
        if matches!(self.get(process), Link::Reset | Link::NoNew) {
            reset(&client);
        } else {
            let (links, reverse) = (self.clone(), (server.try_clone()?, client.try_clone()?));
            let broken = Arc::new(AtomicBool::new(false));
            let same = broken.clone();
            thread::spawn(move || links.copy(process, reverse, &same));
            self.copy(process, (client, server), &broken);
        }
        lock(&self.open).remove(&number);
        Ok(())
    }

    /// Forwards bytes in one direction until a side ends the connection. A reset is passed on as one: whichever direction
    /// sees it marks the connection as `broken`, so that the other one does not end it in order.
    fn copy(&self, process: u32, (mut from, mut to): (TcpStream, TcpStream), broken: &AtomicBool) {
        let mut chunk = [0; CHUNK];
        let ended = loop {
            let received = from.read(&mut chunk);
            while self.get(process) == Link::Silent {
                thread::sleep(POLL_INTERVAL);
            }
            match received {
                Ok(length) if length > 0 && to.write_all(&chunk[..length]).is_ok() => {}
                ended => break ended,
            }
        };
        if ended.is_err() || self.get(process) == Link::Reset {
            broken.store(true, Ordering::Release);
        }
        if broken.load(Ordering::Acquire) {
            reset(&to);
            reset(&from);
            return;
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}

/// Whether the other side has closed a connection on which nothing was read yet.
fn is_closed(stream: &TcpStream) -> bool {
    let peeked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Ends the threads that read a connection. Its close is a reset then.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Read);
}

/// The kernel's table of sockets, by their two addresses. One reading serves all lookups that began before it, since the
/// table is long where many tests run.
struct Sockets {
    read_at: Instant,
    inodes: HashMap<(String, String), u64>,
}

static SOCKETS: Mutex<Option<Sockets>> = Mutex::new(None);

impl Sockets {
    fn read() -> Option<Sockets> {
        let read_at = Instant::now();
        let table = fs::read_to_string("/proc/net/tcp").ok()?;
        let connected = table.lines().filter_map(|line| {
            let mut row = line.split_whitespace().skip(1);
            let (local, remote, state) = (row.next()?, row.next()?, row.next()?);
            let inode = row.nth(5).filter(|_| !UNCONNECTED.contains(&state))?.parse().ok()?;
            Some(((local.to_string(), remote.to_string()), inode))
        });
        Some(Sockets { read_at, inodes: connected.collect() })
    }
}

/// The inode of the socket of this host that is connected from `local` to `remote`.
fn socket_inode(local: SocketAddr, remote: SocketAddr) -> Option<u64> {
    let began = Instant::now();
    let addresses = (table_form(local)?, table_form(remote)?);
    let mut sockets = lock(&SOCKETS);
    if sockets.as_ref().is_none_or(|sockets| sockets.read_at < began) {
        *sockets = Sockets::read();
    }
    sockets.as_ref()?.inodes.get(&addresses).copied()
}

/// An address as the kernel's table of sockets has it.
fn table_form(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

/// Whether a process has an open file of this name.
fn has_file(process: u32, name: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    let mut links = files.flatten().filter_map(|file| fs::read_link(file.path()).ok());
    links.any(|link| link.as_os_str() == name)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}
