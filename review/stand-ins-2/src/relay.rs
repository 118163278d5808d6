//! A TCP relay to the store that can hold back all bytes, as a partition does: nothing is closed or reset.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a held direction checks whether it may continue.
const HOLD_POLL: Duration = Duration::from_millis(5);

/// A relay.
pub struct Relay {
    /// Address on which it listens.
    pub address: SocketAddr,
    held: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// Any I/O error of binding the listener.
    pub fn start(target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let held = Arc::new(AtomicBool::new(false));
        let relay = Relay { address, held: held.clone() };
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else { continue };
                let (one, other) = (held.clone(), held.clone());
                thread::spawn(move || pass(client, server, &one));
                thread::spawn(move || pass(to, from, &other));
            }
        });
        Ok(relay)
    }

    /// Holds back all bytes of all connections, or lets them pass again.
    pub fn hold(&self, held: bool) {
        self.held.store(held, Ordering::Release);
    }
}

/// Passes bytes on until the connection ends.
fn pass(mut from: TcpStream, mut to: TcpStream, held: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        while held.load(Ordering::Acquire) {
            thread::sleep(HOLD_POLL);
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
            return;
        }
    }
}
