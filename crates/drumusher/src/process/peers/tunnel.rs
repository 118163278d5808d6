//! Tunnels: passes the bytes between another instance, which does not reach a backend server, and that server.

use std::cell::{Cell, RefCell};

use drumusher_platform::tcp;
use drumusher_schedule::time::{MILLISECOND, Micros};
use drumusher_wire::peer;
use futures_util::future::{Either, select};
use ntex::{
    SharedCfg,
    codec::BytesCodec,
    io::Io,
    time::{Millis, sleep},
};

use super::Peers;
use crate::{
    connection::{
        self,
        tunnel::{self, Frame, Outcome},
    },
    process::clock,
    request::in_flight::InFlight,
    version::{Backend, Pool},
};

/// Maximum number of open tunnels; each takes two descriptors and up to two read buffers.
const MAX_TUNNELS: usize = 1_024;
/// Connect timeout. Shorter than that of an instance for its own requests, since the other instance may have to try a
/// second one.
const CONNECT_TIMEOUT: Millis = Millis(100);
/// Interval at which a tunnel checks whether this instance is stopping.
const STOP_POLL_INTERVAL: Millis = Millis(100);
/// A tunnel without a request in progress is closed after this time, in microseconds.
const IDLE_TIMEOUT: u64 = 10_000 * MILLISECOND;

/// The state of a tunnel between its two directions.
struct State {
    /// Counts the request in progress, so that a planned stop waits for it.
    in_progress: RefCell<Option<InFlight>>,
    idle_since: RefCell<u64>,
    /// Length of the request in progress as far as it has arrived, in bytes.
    request_bytes: Cell<usize>,
}

/// Counts an open tunnel until it is dropped.
struct Open(Peers);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.inner.borrow_mut().tunnels -= 1;
    }
}

impl Peers {
    /// Connects to the backend server that another instance asks for, and passes the bytes on until either side ends
    /// the connection.
    pub(super) async fn serve_tunnel(self, io: Io, request: &peer::Tunnel) {
        let open = self.open_tunnel();
        let (outcome, server) = match (&open, self.find_tunnelled(request)) {
            (Some(_), Some(backend)) => connect(&backend).await,
            _ => (Outcome::NoPath, None),
        };
        let label = match outcome {
            Outcome::Connected => "connected",
            Outcome::Refused => "refused",
            Outcome::NoAnswer => "no_answer",
            Outcome::NoPath => "no_path",
        };
        self.shared.telemetry.count("drumusher.tunnels.served", &[("outcome", label)]);
        let replied = io.send(outcome.reply(), &connection::Codec).await.is_ok();
        if let Some((server, socket)) = server.filter(|_| replied) {
            self.pass_on(&io, &server, &socket).await;
            server.terminate();
        }
        // Ends after all bytes are delivered; the other side may have closed the connection already.
        let _ = io.shutdown().await;
    }

    fn open_tunnel(&self) -> Option<Open> {
        let mut inner = self.inner.borrow_mut();
        if inner.tunnels >= MAX_TUNNELS || self.shared.stopping() {
            return None;
        }
        inner.tunnels += 1;
        Some(Open(self.clone()))
    }

    /// The listed backend server that a tunnel is to lead to, if this instance reaches it itself.
    fn find_tunnelled(&self, request: &peer::Tunnel) -> Option<Backend> {
        let pool = Pool::parse(&request.pool)?;
        let directory = self.shared.directory.load();
        let backend = directory.backend(&pool, &request.server)?;
        let same_start = backend.started_ms.map(|started| started as i64) == request.born;
        let reached = !self.shared.paths.is_lost(backend);
        (same_start && reached).then(|| backend.clone())
    }

    async fn pass_on(&self, client: &Io, server: &Io, socket: &std::net::TcpStream) {
        let state = State {
            in_progress: RefCell::new(None),
            idle_since: RefCell::new(clock::now()),
            request_bytes: Cell::new(0),
        };
        let requests = self.pass_requests(client, server, &state);
        let responses = pass_responses(client, server, socket, &state);
        let ended = select(Box::pin(requests), Box::pin(responses));
        let idle = self.wait_idle(&state);
        if let Either::Right(_) = select(ended, Box::pin(idle)).await {
            // An error shows that the other side is gone already.
            let _ = client.send(Frame::Unforwarded, &tunnel::Codec).await;
        }
    }

    /// Passes requests on to the backend server.
    async fn pass_requests(&self, client: &Io, server: &Io, state: &State) {
        while let Ok(Some(frame)) = client.recv(&tunnel::Codec).await {
            match frame {
                Frame::Data(data) => {
                    if !self.begin_request(state) {
                        // An error shows that the other side is gone already.
                        let _ = client.send(Frame::Unforwarded, &tunnel::Codec).await;
                        return;
                    }
                    state.request_bytes.update(|bytes| bytes + data.len());
                    if server.send(data, &BytesCodec).await.is_err() {
                        return;
                    }
                }
                Frame::End => {
                    state.in_progress.borrow_mut().take();
                    state.request_bytes.set(0);
                    *state.idle_since.borrow_mut() = clock::now();
                }
                Frame::Unforwarded => return,
            }
        }
    }

    /// Counts a request that begins. Returns whether the instance takes it.
    fn begin_request(&self, state: &State) -> bool {
        let mut in_progress = state.in_progress.borrow_mut();
        if in_progress.is_none() {
            *in_progress = InFlight::new(self.shared.clone()).ok();
        }
        in_progress.is_some()
    }

    /// Waits until the tunnel is to be closed although both sides keep it open: no request is in progress, and it has
    /// been idle for too long or the instance is stopping.
    async fn wait_idle(&self, state: &State) {
        loop {
            sleep(STOP_POLL_INTERVAL).await;
            let idle = state.in_progress.borrow().is_none();
            let expired = clock::now() > *state.idle_since.borrow() + IDLE_TIMEOUT;
            if idle && (expired || self.shared.stopping()) {
                return;
            }
        }
    }
}

/// Passes responses on to the other instance. The end of a connection that the backend server did not close properly
/// ends the tunnel without [`Frame::End`].
async fn pass_responses(client: &Io, server: &Io, socket: &std::net::TcpStream, state: &State) {
    loop {
        match server.recv(&BytesCodec).await {
            Ok(Some(data)) => {
                if client.send(Frame::Data(data), &tunnel::Codec).await.is_err() {
                    return;
                }
            }
            Ok(None) if is_closed_cleanly(client, server, socket, state).await => {
                // An error shows that the other side is gone already.
                let _ = client.send(Frame::End, &tunnel::Codec).await;
                return;
            }
            Ok(None) | Err(_) => return,
        }
    }
}

/// Whether a backend server closed its connection properly: without a reset, and not before it received all of the request
/// that has arrived.
async fn is_closed_cleanly(
    client: &Io,
    server: &Io,
    socket: &std::net::TcpStream,
    state: &State,
) -> bool {
    let is_written = server.with_write_dst_buf(|buffer| buffer.is_empty())
        && client.with_read_buf(|buffer| buffer.is_empty());
    if !is_written || !matches!(socket.take_error(), Ok(None)) {
        return false;
    }
    // The other instance ends the tunnel at the deadline.
    let is_short = state.request_bytes.get() <= tcp::INITIAL_WINDOW_BYTES;
    is_short || tcp::is_received(socket, Micros::MAX).await
}

/// Connects to a backend server.
async fn connect(backend: &Backend) -> (Outcome, Option<(Io, std::net::TcpStream)>) {
    let Ok(address) = backend.address.parse() else { return (Outcome::NoPath, None) };
    let config = SharedCfg::new("tunnelled").build();
    match tcp::connect_watched(address, CONNECT_TIMEOUT, config).await {
        Ok(connected) => (Outcome::Connected, Some(connected)),
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            (Outcome::Refused, None)
        }
        Err(error) => {
            log::debug!("no tunnel to {address}: {error}");
            (Outcome::NoAnswer, None)
        }
    }
}
