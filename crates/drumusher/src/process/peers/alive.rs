//! Heartbeats, and what follows when another instance is silent.

use std::sync::Arc;

use drumusher_schedule::time::MILLISECOND;
use drumusher_wire::peer::{self, Message};
use ntex::{
    io::IoRef,
    time::{Millis, sleep},
};

use super::{Link, Peers};
use crate::{connection::Codec, process::clock, version::Pool};

/// Time between two heartbeats on a connection.
const HEARTBEAT: u64 = 250 * MILLISECOND;
/// A connection on which nothing was heard for so long is dead.
const SILENCE: u64 = 800 * MILLISECOND;
/// An instance to which a connection is being made for longer does not answer. Half of [`SILENCE`], and
/// above the time that a connection may take to come up.
const CONNECTS_WITHIN: u64 = 400 * MILLISECOND;
/// Most services to whose dispatchers a connection is kept before there is a request for them. Each
/// costs two heartbeats of some 40 bytes in [`HEARTBEAT`].
const KEPT_DISPATCHERS: usize = 8;
/// Time between two looks for asks that are not answered.
const WATCH: Millis = Millis(32);
/// A look that comes so late shows that the own process was paused.
const WATCH_PAUSED: u64 = 100 * MILLISECOND;

impl Peers {
    /// Sends heartbeats and closes silent connections. After a pause of the own process nothing
    /// was heard because nothing was listening, so all get another chance.
    pub(super) async fn heartbeats(self) {
        let mut last = clock::now();
        let mut stopped = false;
        loop {
            sleep(Millis((HEARTBEAT / MILLISECOND) as u32)).await;
            let now = clock::now();
            let paused = now > last + SILENCE / 2;
            last = now;
            if self.shared.stopping() && !stopped {
                stopped = true;
                self.stop();
            }
            self.heartbeat(now, paused);
            self.keep_reader();
            self.keep_dispatchers();
            self.tell_lost(now);
            self.next_turns();
        }
    }

    /// A heartbeat with what holds now.
    pub(super) fn heartbeat_now(&self) -> Message {
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
        })
    }

    /// Keeps connections with the dispatchers of the services in force, so that the first requests after
    /// a start or a change of the role need not wait for them.
    pub(super) fn keep_dispatchers(&self) {
        let Some(routing) = self.shared.routing.load_full() else {
            return;
        };
        let services = routing.configuration.services.iter().take(KEPT_DISPATCHERS);
        for service in services {
            let pool = Pool::Service(service.name.as_str().into());
            let dispatcher = self.inner.borrow().table.view().dispatcher(&pool, &self.shared.area);
            let Some(dispatcher) = dispatcher.filter(|name| *name != self.shared.name) else {
                continue;
            };
            if !self.inner.borrow().links.contains_key(&dispatcher) {
                self.send(&dispatcher, self.heartbeat_now());
            }
        }
    }

    fn heartbeat(&self, now: u64, paused: bool) {
        let heartbeat = self.heartbeat_now();
        let mut inner = self.inner.borrow_mut();
        for conn in inner.conns.values_mut() {
            if paused {
                conn.heard = now;
            }
            if now > conn.heard + SILENCE {
                self.shared.telemetry.count("drumusher.peer.closed", &[("reason", "silent")]);
                log::warn!(
                    instance = &*conn.instance, unsent = unsent(&conn.io);
                    "a connection with another instance is silent"
                );
                conn.io.terminate();
                continue;
            }
            let _ = conn.io.encode(heartbeat.clone(), &Codec);
        }
    }

    /// Tells which instances have been out of reach for so long that they count as gone.
    fn tell_lost(&self, now: u64) {
        let after = self.shared.settings.forget_ms * MILLISECOND;
        let lost = self.inner.borrow().table.view().unreachable_for(now, after);
        if **self.shared.lost.load() != lost {
            self.shared.lost.store(Arc::new(lost));
        }
    }

    fn stop(&self) {
        let mut sends = Vec::new();
        self.inner.borrow_mut().table.stop(&mut sends);
        self.send_all(sends);
    }

    /// Takes over the asks that another instance does not answer, and gives its connection up.
    pub(super) async fn watch(self) {
        let mut last = clock::now();
        loop {
            sleep(WATCH).await;
            let now = clock::now();
            let late = now - last;
            let paused = late > WATCH_PAUSED;
            last = now;
            if paused {
                self.note_pause(late);
                self.inner.borrow_mut().table.restart_answer_timers();
                continue;
            }
            let mut sends = Vec::new();
            let silent = self.inner.borrow_mut().table.reassign_overdue(&mut sends);
            self.send_all(sends);
            for instance in silent {
                self.give_up(&instance);
            }
        }
    }

    /// Logs that the own process did not run for a while: what took long meanwhile is not the
    /// fault of others.
    fn note_pause(&self, lasted: u64) {
        self.shared.telemetry.count("drumusher.process.paused", &[]);
        log::warn!(lasted_ms = lasted / MILLISECOND; "the process did not run for a while");
    }

    /// Closes the connection to an instance that does not answer; it is tried again later. One to which
    /// a connection is being made may be on its way: where it counted as gone, many instances that start
    /// at once took each dispatcher by turns for silent.
    fn give_up(&self, instance: &Arc<str>) {
        let up = match self.inner.borrow().links.get(instance) {
            Some(Link::Up(number)) => Some(*number),
            Some(Link::Connecting(since, _)) if clock::now() < since + CONNECTS_WITHIN => return,
            _ => None,
        };
        log::warn!(instance = &**instance; "an instance does not answer asks");
        let Some(number) = up else {
            self.unreachable(instance);
            return;
        };
        if let Some(conn) = self.inner.borrow().conns.get(&number) {
            self.shared.telemetry.count("drumusher.peer.closed", &[("reason", "unanswered")]);
            log::warn!(
                instance = &**instance, unsent = unsent(&conn.io);
                "a connection is closed, since asks over it are not answered"
            );
            conn.io.terminate();
        }
    }
}

/// Bytes that wait to be sent over a connection.
fn unsent(io: &IoRef) -> usize {
    io.with_write_buf(|buffer| buffer.len()).unwrap_or_default()
}
