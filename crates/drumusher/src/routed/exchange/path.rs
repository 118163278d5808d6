//! Connections to backend servers, over this instance's own path or through another instance.

use drumusher_platform::dialect::Dialect;
use drumusher_schedule::time::{MILLISECOND, Micros};
use ntex::{
    rt,
    time::{Millis, sleep, timeout},
    util::Bytes,
};

use super::{Exchange, Failure};
use crate::{
    process::clock,
    routed::Handle,
    upstream::{self, Conn, Key, Need, response::Part, tunnel},
    version::{Backend, Pool},
};

/// Connect timeout. Connecting takes 2 to 10 ms; a backend server that lost power or is partitioned never answers.
const CONNECT_TIMEOUT: Millis = Millis(200);
/// Time within which a backend server has to begin its answer to a probe of the path.
const PROBE_TIMEOUT: Micros = 300 * MILLISECOND;
/// How long a request waits for the answers of other instances that another request asked.
const MAX_ASKED_TIME: Micros = 500 * MILLISECOND;
/// Interval at which it checks for them.
const ASKED_POLL: Millis = Millis(16);
/// Interval at which lost paths are checked for a due probe.
const PROBE_INTERVAL: Millis = Millis(250);
/// Lower bound of the silence after which the path to a backend server is checked.
const MIN_SILENCE: Micros = 300 * MILLISECOND;
/// Minimum interval between two records that a backend server was heard.
const HEARD_INTERVAL: Micros = 100 * MILLISECOND;

impl<D: Dialect> Exchange<D> {
    /// Connects to a backend server: over this instance's own path, or through another instance if that fails or the
    /// path is known to be lost.
    ///
    /// # Errors
    ///
    /// [`Failure::NotConnected`].
    pub(super) async fn connect(&mut self, backend: &Backend) -> Result<Conn, Failure> {
        let address = backend.address.parse().map_err(|_| Failure::NotConnected)?;
        let need = Need {
            request: Key::new(&self.request.head.id),
            at_most_once: !self.request.route_match.kind.repeatable(),
        };
        let limit = Millis(self.remaining_ms().clamp(1, u64::from(CONNECT_TIMEOUT.0)) as u32);
        let (worker, paths) = (self.worker.clone(), &self.worker.shared.paths);
        let is_lost = paths.is_lost(backend);
        (self.path_blamed, self.tunnelled) = (false, false);
        if !is_lost {
            let taken = worker.conns.take(backend, address, need, limit).await;
            if let Ok(conn) = taken {
                return Ok(conn);
            }
        }
        let asking = paths.begin_asking(clock::now(), backend);
        if asking.is_none() && !is_lost {
            // Usually the server has failed, and one request is enough to find out.
            self.await_asked(backend).await;
            if !paths.is_lost(backend) {
                return Err(Failure::NotConnected);
            }
        }
        if let Some(conn) = worker.conns.take_tunnel(backend, need) {
            return Ok(conn);
        }
        let limit = Millis(self.remaining_ms().max(1).min(u64::from(u32::MAX)) as u32);
        let connecting = tunnel::connect(&worker.shared, self.ticket.pool(), backend);
        match timeout(limit, connecting).await.unwrap_or(Err(tunnel::Error::NoPath)) {
            Ok(conn) => {
                note_lost(&worker, self.ticket.pool(), backend);
                Ok(conn)
            }
            Err(tunnel::Error::NoPath) => {
                self.path_blamed = paths.is_isolated();
                if !is_lost {
                    return Err(Failure::NotConnected);
                }
                let connecting = Conn::connect(address, CONNECT_TIMEOUT).await;
                connecting.map_err(|_| Failure::NotConnected)
            }
            Err(tunnel::Error::Refused | tunnel::Error::NoAnswer) => {
                paths.record_down(clock::now(), backend);
                Err(Failure::NotConnected)
            }
        }
    }

    /// Waits until other instances, which are being asked for a path to a backend server, have answered.
    async fn await_asked(&self, backend: &Backend) {
        let until = self.deadline.min(clock::now() + MAX_ASKED_TIME);
        while self.worker.shared.paths.is_being_asked(backend) && clock::now() < until {
            sleep(ASKED_POLL).await;
        }
    }

    /// Whether a failure of the latest attempt is that of a path rather than of the backend server.
    pub(super) fn is_path_failure(&self, backend: &Backend, failure: &Failure) -> bool {
        match failure {
            // An instance in between that forwarded nothing says nothing about the server.
            Failure::NotConnected => self.path_blamed || self.tunnelled,
            Failure::Broken(upstream::Error::Malformed | upstream::Error::NoMemory) => false,
            Failure::Broken(_) => !self.tunnelled && self.worker.shared.paths.is_lost(backend),
            Failure::Withheld | Failure::NotRun(_) | Failure::Failed(_) => false,
        }
    }

    /// Records that the backend server of the latest attempt sent something.
    pub(super) fn record_heard(&self) {
        let now = clock::now();
        if self.tunnelled || now < self.heard_at.get() + HEARD_INTERVAL {
            return;
        }
        self.heard_at.set(now);
        if let Some(backend) = &self.backend {
            self.worker.shared.paths.record_heard(now, backend);
        }
    }

    /// Time without a part of the response after which the path and the backend server are checked.
    pub(super) fn suspicious_silence(&self) -> Micros {
        let target = self.request.route_match.first_ms * MILLISECOND + self.expected_first_event;
        (target * 3 / 2).max(MIN_SILENCE)
    }

    /// Whether to give up an attempt whose backend server has been silent since `since`, because the path to it is lost
    /// and the request may go elsewhere. Checks the path first.
    pub(super) fn gives_up_path(&self, since: Micros) -> bool {
        let now = clock::now();
        let Some(backend) = &self.backend else { return false };
        if self.tunnelled || now < since + self.suspicious_silence() {
            return false;
        }
        let route_match = &self.request.route_match;
        let paths = &self.worker.shared.paths;
        if paths.begin_check(now, backend, since) {
            let (worker, pool) = (self.worker.clone(), self.ticket.pool().clone());
            rt::spawn(check_path(worker, pool, backend.clone()));
        }
        let may_move = route_match.kind.repeatable() && self.attempts_sent < route_match.attempts;
        may_move && paths.lost_since(backend).is_some_and(|lost| lost >= since)
    }
}

/// Checks whether the path to a silent backend server is lost: it does not answer over the path, and does through another
/// instance.
async fn check_path<D: Dialect>(worker: Handle<D>, pool: Pool, backend: Backend) {
    if probe_path(&worker, &pool, &backend).await {
        return;
    }
    if let Err(error) = connect_tunnel(&worker, &pool, &backend, true).await {
        log::debug!("a silent backend server is not reached through another instance: {error:?}");
    }
}

/// Connects to a backend server that this instance does not reach through another one. The path is lost if the server
/// answers there, and `blames_path`.
///
/// # Errors
///
/// See [`tunnel::connect`].
pub(super) async fn connect_tunnel<D: Dialect>(
    worker: &Handle<D>,
    pool: &Pool,
    backend: &Backend,
    blames_path: bool,
) -> Result<(), tunnel::Error> {
    let conn = tunnel::connect(&worker.shared, pool, backend).await?;
    let conn = answers(worker, pool, backend, conn).await.ok_or(tunnel::Error::NoAnswer)?;
    if blames_path {
        note_lost(worker, pool, backend);
        worker.conns.put(backend, conn);
    }
    Ok(())
}

/// Probes lost paths, as long as the worker exists.
pub async fn probe_lost_paths<D: Dialect>(worker: Handle<D>) {
    let paths = &worker.shared.paths;
    loop {
        sleep(PROBE_INTERVAL).await;
        if paths.lost_count() == 0 {
            continue;
        }
        if let Some((pool, backend)) = paths.next_probe(clock::now()) {
            let worker = worker.clone();
            rt::spawn(async move { probe_path(&worker, &pool, &backend).await });
        }
    }
}

/// Probes the path to a backend server over a new connection. Returns whether the server answered.
async fn probe_path<D: Dialect>(worker: &Handle<D>, pool: &Pool, backend: &Backend) -> bool {
    let Ok(address) = backend.address.parse() else { return false };
    let Ok(conn) = Conn::connect(address, CONNECT_TIMEOUT).await else { return false };
    let Some(conn) = answers(worker, pool, backend, conn).await else { return false };
    let shared = &worker.shared;
    if shared.paths.record_restored(clock::now(), backend) {
        log::info!(server = &*backend.name; "the path to a backend server is back");
        shared.telemetry.gauge("drumusher.paths.lost", shared.paths.lost_count() as u64);
    }
    worker.conns.put(backend, conn);
    true
}

/// Queries the health of a backend server over a connection. Returns the connection if the server answered, whatever it
/// said of its health.
pub(super) async fn answers<D: Dialect>(
    worker: &Handle<D>,
    pool: &Pool,
    backend: &Backend,
    conn: Conn,
) -> Option<Conn> {
    let answer = query_health(worker, pool, backend, conn).await?;
    (!answer.is_other).then_some(answer.conn)
}

/// An answer to a query of the health of a backend server.
pub(super) struct Answered {
    pub(super) conn: Conn,
    /// Whether another server than the expected one gave it.
    pub(super) is_other: bool,
}

/// Queries the health of a backend server over a connection; `None` if nothing answered.
pub(super) async fn query_health<D: Dialect>(
    worker: &Handle<D>,
    pool: &Pool,
    backend: &Backend,
    mut conn: Conn,
) -> Option<Answered> {
    let until = clock::now() + PROBE_TIMEOUT;
    let routing = worker.shared.routing.load();
    let path = pool.service().zip(routing.as_ref());
    let path = path.and_then(|(service, routing)| routing.health_path(service)).unwrap_or("/");
    let head = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", backend.address);
    conn.send(None, head.as_bytes(), &Bytes::new(), false).ok()?;
    let mut is_other = false;
    loop {
        match conn.next_part(until, || false).await.ok()? {
            Part::Head(head) => {
                let answer = worker.dialect.read_answer(head.status, &head.headers);
                is_other = answer.server.is_some_and(|server| server != *backend.name);
            }
            Part::Data(_) => {}
            Part::End => return Some(Answered { conn, is_other }),
        }
    }
}

/// Records that another instance reached a backend server that this one does not reach.
fn note_lost<D: Dialect>(worker: &Handle<D>, pool: &Pool, backend: &Backend) {
    let shared = &worker.shared;
    if shared.paths.record_lost(clock::now(), pool, backend) {
        log::warn!(
            server = &*backend.name, isolated = shared.paths.is_isolated();
            "the path to a backend server is lost, and another instance reaches it"
        );
        shared.telemetry.gauge("drumusher.paths.lost", shared.paths.lost_count() as u64);
    }
}
