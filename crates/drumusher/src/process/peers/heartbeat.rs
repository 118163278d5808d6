//! Heartbeats, and handling of instances that do not respond.

use std::sync::Arc;

use drumusher_schedule::time::MILLISECOND;
use drumusher_wire::peer::{self, Message};
use ntex::{
    io::IoRef,
    time::{Millis, sleep},
};

use super::{Link, Peers};
use crate::{connection::Codec, process::clock, version::Pool};

/// Interval between heartbeats on a connection, in microseconds.
const HEARTBEAT_INTERVAL: u64 = 250 * MILLISECOND;
/// A connection on which nothing was received for this long counts as dead, in microseconds.
const SILENCE_TIMEOUT: u64 = 800 * MILLISECOND;
/// An instance to which a connection has been opening for longer does not respond, in microseconds. Half of
/// [`SILENCE_TIMEOUT`], and more than a connection may take to be established.
const CONNECT_TIMEOUT: u64 = 400 * MILLISECOND;
/// Most pools to whose dispatchers a connection is kept open before they have requests. Each costs two
/// heartbeats of some 40 bytes per [`HEARTBEAT_INTERVAL`].
const MAX_PRECONNECTED: usize = 8;
/// Interval between checks for unanswered asks.
const UNANSWERED_CHECK_INTERVAL: Millis = Millis(32);
/// A check that is this late shows that this process was paused, in microseconds.
const PAUSE_THRESHOLD: u64 = 100 * MILLISECOND;

impl Peers {
    /// Sends heartbeats and closes silent connections. After a pause of this process nothing was received because
    /// nothing was listening, so each connection gets another interval.
    pub(super) async fn run_heartbeats(self) {
        let mut last = clock::now();
        let mut stopped = false;
        loop {
            sleep(Millis((HEARTBEAT_INTERVAL / MILLISECOND) as u32)).await;
            let now = clock::now();
            let paused = now > last + SILENCE_TIMEOUT / 2;
            last = now;
            if self.shared.stopping() && !stopped {
                stopped = true;
                self.stop();
            }
            self.send_heartbeats(now, paused);
            self.update_sources();
            self.connect_dispatchers();
            self.publish_lost(now);
            self.serve_waiting();
            self.drop_received(now);
        }
    }

    /// A heartbeat with the current state.
    pub(super) fn current_heartbeat(&self) -> Message {
        let confirmed = self.confirmed();
        Message::Heartbeat(peer::Heartbeat {
            offset: self.shared.position() as i64,
            leaving: self.shared.stopping().then_some(true),
            ends: self.ends(),
            reads: self.reads().then_some(true),
            entry: self.missing_entry(),
            confirmed: confirmed.map(|place| place.offset as i64),
            eras: self.eras(),
            confirmed_era: confirmed.map(|place| place.era as i64),
            version: self.version(),
            steady: self.is_steady().then_some(true),
            answered_ms_ago: self.answered_ms_ago(),
        })
    }

    /// Opens connections to the dispatchers of the configured services, so that the first requests after a start or
    /// a change of the role need not wait for them.
    pub(super) fn connect_dispatchers(&self) {
        let Some(routing) = self.shared.routing.load_full() else {
            return;
        };
        let services = routing.configuration.services.iter().take(MAX_PRECONNECTED);
        let directory = self.shared.directory.load_full();
        let zone = Arc::from(self.shared.settings.availability_zone.as_str());
        let pools = services.flat_map(|service| {
            let service = Arc::from(service.name.as_str());
            let cells = directory.cells(&service);
            let cells = cells.map(|cells| cells.of_zone(&service, &zone).collect::<Vec<Pool>>());
            cells.unwrap_or_else(|| vec![Pool::Service(service.clone())])
        });
        for pool in pools.take(MAX_PRECONNECTED) {
            let dispatcher = self.inner.borrow().table.view().dispatcher(&pool, &self.shared.area);
            let Some(dispatcher) = dispatcher.filter(|name| *name != self.shared.name) else {
                continue;
            };
            if !self.inner.borrow().links.contains_key(&dispatcher) {
                self.send(&dispatcher, self.current_heartbeat());
            }
        }
    }

    fn send_heartbeats(&self, now: u64, paused: bool) {
        let heartbeat = self.current_heartbeat();
        let mut inner = self.inner.borrow_mut();
        for conn in inner.conns.values_mut().filter(|conn| !conn.transfers_only) {
            if paused {
                conn.heard_at = now;
            }
            if now > conn.heard_at + SILENCE_TIMEOUT {
                self.shared.telemetry.count("drumusher.peer.closed", &[("reason", "silent")]);
                log::warn!(
                    instance = &*conn.instance, unsent = unsent(&conn.io);
                    "closing a silent connection with another instance"
                );
                conn.io.terminate();
                continue;
            }
            let _ = conn.io.encode(heartbeat.clone(), &Codec);
        }
    }

    /// Publishes which instances are unreachable, and which for so long that they count as lost.
    fn publish_lost(&self, now: u64) {
        let after = self.shared.settings.forget_ms * MILLISECOND;
        let inner = self.inner.borrow();
        let view = inner.table.view();
        if !view.unreachable().eq(self.shared.unreachable.load().iter()) {
            self.shared.unreachable.store(Arc::new(view.unreachable().cloned().collect()));
        }
        let lost = view.unreachable_for(now, after);
        if **self.shared.lost.load() != lost {
            self.shared.lost.store(Arc::new(lost));
        }
    }

    fn stop(&self) {
        let mut sends = Vec::new();
        self.inner.borrow_mut().table.stop(&mut sends);
        self.send_all(sends);
    }

    /// Takes over the asks that another instance does not answer, and disconnects from it.
    pub(super) async fn watch_unanswered(self) {
        let mut last = clock::now();
        loop {
            sleep(UNANSWERED_CHECK_INTERVAL).await;
            let now = clock::now();
            let late = now - last;
            let paused = late > PAUSE_THRESHOLD;
            last = now;
            if paused {
                self.log_pause(late);
                self.inner.borrow_mut().table.restart_answer_timers();
                continue;
            }
            let mut sends = Vec::new();
            let silent = self.inner.borrow_mut().table.reassign_overdue(&mut sends);
            self.send_all(sends);
            for instance in silent {
                self.disconnect(&instance);
            }
        }
    }

    /// Logs that this process did not run for a while: delays in that time are not the fault of other instances.
    fn log_pause(&self, lasted: u64) {
        self.shared.telemetry.count("drumusher.process.paused", &[]);
        log::warn!(lasted_ms = lasted / MILLISECOND; "the process did not run for a while");
    }

    /// Closes the connection to an instance that does not answer asks; it is retried later. A connection that is
    /// still opening is given time: when it counted as unreachable, many instances that started at once took each
    /// dispatcher in turn for unresponsive.
    fn disconnect(&self, instance: &Arc<str>) {
        let up = match self.inner.borrow().links.get(instance) {
            Some(Link::Up(number)) => Some(*number),
            Some(Link::Connecting(since, _)) if clock::now() < since + CONNECT_TIMEOUT => return,
            _ => None,
        };
        log::warn!(instance = &**instance; "another instance does not answer asks");
        let Some(number) = up else {
            self.note_unreachable(instance);
            return;
        };
        if let Some(conn) = self.inner.borrow().conns.get(&number) {
            self.shared.telemetry.count("drumusher.peer.closed", &[("reason", "unanswered")]);
            log::warn!(
                instance = &**instance, unsent = unsent(&conn.io);
                "closing a connection on which asks are not answered"
            );
            conn.io.terminate();
        }
    }
}

/// Number of bytes waiting to be sent over a connection.
fn unsent(io: &IoRef) -> usize {
    io.with_write_buf(|buffer| buffer.len()).unwrap_or_default()
}
