//! Ends of backend servers under requests of this instance, which its dispatchers are told. Without I/O.

use std::{collections::VecDeque, sync::Arc};

use drumusher_log::quarantine::Digest;
use drumusher_schedule::{
    ask::Id,
    time::{Micros, SECOND},
};
use drumusher_wire::peer::{self, Message};

use super::{Send, View};
use crate::{request::id, version::Pool};

/// How long a crash is told on to a dispatcher that is new. The one before wrote it within a tenth of a second, unless
/// it ended or the store was away.
const TOLD_FOR: Micros = 10 * SECOND;
/// Most crashes that are remembered: what a backend server runs at most, some times over.
const MOST: usize = 1_024;

/// A backend server ended while it ran a request.
#[derive(Clone, Debug)]
pub struct Crash {
    /// The request.
    pub id: Id,
    /// What tells it from others when it comes anew.
    pub digest: Digest,
    /// Its pool.
    pub pool: Pool,
    /// The area whose dispatcher is told.
    pub area: Arc<str>,
    /// The backend server.
    pub server: Arc<str>,
    /// When that had started, in Unix milliseconds, if it is known.
    pub started_ms: Option<u64>,
    /// Whether the request was on trial there, apart from others.
    pub alone: bool,
    /// Its workspace.
    pub workspace: Arc<str>,
    /// Its route.
    pub route: Arc<str>,
}

/// One with whom was told of it last.
#[derive(Debug)]
struct Told {
    at: Micros,
    to: Arc<str>,
    crash: Crash,
}

/// The latest crashes.
#[derive(Debug, Default)]
pub struct Crashes {
    told: VecDeque<Told>,
}

impl Crashes {
    /// A backend server ended: its pool's dispatcher is told.
    pub fn add(&mut self, now: Micros, crash: Crash, view: &View, sends: &mut Vec<Send>) {
        self.expire(now);
        let Some(to) = view.dispatcher(&crash.pool, &crash.area) else {
            return;
        };
        sends.push(Send { to: to.clone(), message: message(&crash) });
        self.told.push_back(Told { at: now, to, crash });
    }

    /// Tells the dispatchers that are new.
    pub fn reassign(&mut self, now: Micros, view: &View, sends: &mut Vec<Send>) {
        self.expire(now);
        for told in &mut self.told {
            let to = view.dispatcher(&told.crash.pool, &told.crash.area);
            if let Some(to) = to.filter(|to| *to != told.to) {
                sends.push(Send { to: to.clone(), message: message(&told.crash) });
                told.to = to;
            }
        }
    }

    fn expire(&mut self, now: Micros) {
        let is_old = |told: &Told| now > told.at + TOLD_FOR;
        while self.told.len() >= MOST || self.told.front().is_some_and(is_old) {
            self.told.pop_front();
        }
    }
}

fn message(crash: &Crash) -> Message {
    Message::Crash(peer::Crash {
        id: id::to_wire(crash.id),
        pool: crash.pool.to_string(),
        digest: crash.digest.to_wire(),
        server: crash.server.to_string(),
        born: crash.started_ms.map(|born| born as i64),
        alone: crash.alone.then_some(true),
        workspace: crash.workspace.to_string(),
        route: crash.route.to_string(),
    })
}
