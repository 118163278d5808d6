//! Heartbeats, and what follows when another instance is silent.

use std::sync::Arc;

use drumusher_schedule::time::MILLISECOND;
use drumusher_wire::peer::{self, Message};
use ntex::time::{Millis, sleep};

use super::{Link, Peers};
use crate::{connection::Codec, process::clock};

/// Time between two heartbeats on a connection.
const HEARTBEAT: u64 = 250 * MILLISECOND;
/// A connection on which nothing was heard for so long is dead.
const SILENCE: u64 = 800 * MILLISECOND;
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
            self.tell_lost(now);
        }
    }

    fn heartbeat(&self, now: u64, paused: bool) {
        let offset = self.shared.position() as i64;
        let leaving = self.shared.stopping().then_some(true);
        let heartbeat = Message::Heartbeat(peer::Heartbeat {
            offset,
            leaving,
            ends: self.ends(),
            reads: self.reads().then_some(true),
            entry: self.missing_entry(),
        });
        let mut inner = self.inner.borrow_mut();
        for conn in inner.conns.values_mut() {
            if paused {
                conn.heard = now;
            }
            if now > conn.heard + SILENCE {
                conn.io.terminate();
                continue;
            }
            let _ = conn.io.encode(heartbeat.clone(), &Codec);
        }
    }

    /// Tells which instances have been out of reach for so long that they count as gone.
    fn tell_lost(&self, now: u64) {
        let after = self.shared.settings.forget_ms * MILLISECOND;
        let lost = self.inner.borrow().table.view().lost(now, after);
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
            let paused = now > last + WATCH_PAUSED;
            last = now;
            if paused {
                self.inner.borrow_mut().table.forgive();
                continue;
            }
            let mut sends = Vec::new();
            let silent = self.inner.borrow_mut().table.silent(&mut sends);
            self.send_all(sends);
            for instance in silent {
                self.give_up(&instance);
            }
        }
    }

    /// Closes the connection to an instance that does not answer; it is tried again later.
    fn give_up(&self, instance: &Arc<str>) {
        log::warn!(instance = &**instance; "an instance does not answer asks");
        let up = match self.inner.borrow().links.get(instance) {
            Some(Link::Up(number)) => Some(*number),
            _ => None,
        };
        let Some(number) = up else {
            self.unreachable(instance);
            return;
        };
        if let Some(conn) = self.inner.borrow().conns.get(&number) {
            conn.io.terminate();
        }
    }
}
