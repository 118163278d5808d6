//! Crashes of backend servers during requests of this instance, to be reported to the dispatchers. Without I/O.

use std::{collections::VecDeque, sync::Arc};

use drumusher_log::quarantine::Digest;
use drumusher_schedule::{
    ask::Id,
    time::{Micros, SECOND},
};
use drumusher_wire::peer::{self, Message};

use super::{Outgoing, View};
use crate::{request::id, version::Pool};

/// How long a crash is reported again when the dispatcher changes. The previous dispatcher wrote it to the store within
/// 0.1 s, unless it ended or the store was unavailable.
const RETENTION: Micros = 10 * SECOND;
/// Maximum number of crashes kept: several times what one backend server runs at once.
const MAX_CRASHES: usize = 1_024;

/// A backend server's crash while it ran a request.
#[derive(Clone, Debug)]
pub struct Crash {
    /// The request.
    pub id: Id,
    /// Digest that identifies the content when the request is sent again.
    pub digest: Digest,
    /// Its pool.
    pub pool: Pool,
    /// The area whose dispatcher gets the report.
    pub area: Arc<str>,
    /// The backend server.
    pub server: Arc<str>,
    /// Start time of the backend server's process, in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
    /// Whether the request was on trial and the only trial on that server.
    pub alone: bool,
    /// Its workspace.
    pub workspace: Arc<str>,
    /// Its route.
    pub route: Arc<str>,
    /// IDs of the parts of its prompt that are suspected.
    pub parts: Vec<u64>,
}

/// An attempt that broke or was given up at a backend server that may have crashed.
#[derive(Clone, Debug)]
pub struct Break {
    /// The crash that it may have caused.
    pub attempt: Crash,
    /// Whether the backend server answered since.
    pub survived: bool,
}

/// A crash with the dispatcher that it was last reported to.
#[derive(Debug)]
struct Reported {
    at: Micros,
    to: Arc<str>,
    crash: Crash,
}

/// The latest crashes, oldest first.
#[derive(Debug, Default)]
pub struct Crashes {
    reports: VecDeque<Reported>,
}

impl Crashes {
    /// Adds a crash and reports it to the dispatcher of its pool.
    pub fn add(&mut self, now: Micros, crash: Crash, view: &View, sends: &mut Vec<Outgoing>) {
        self.expire(now);
        let Some(to) = view.dispatcher(&crash.pool, &crash.area) else {
            return;
        };
        sends.push(Outgoing { to: to.clone(), message: message(&crash) });
        self.reports.push_back(Reported { at: now, to, crash });
    }

    /// Reports a suspected crash to the dispatcher of its pool.
    pub fn suspect(suspected: &Break, view: &View, sends: &mut Vec<Outgoing>) {
        let attempt = &suspected.attempt;
        let Some(to) = view.dispatcher(&attempt.pool, &attempt.area) else { return };
        let survived = suspected.survived.then_some(true);
        let message = Message::Broken(peer::Break { attempt: encode(attempt), survived });
        sends.push(Outgoing { to, message });
    }

    /// Reports the crashes again whose dispatcher changed.
    pub fn reassign(&mut self, now: Micros, view: &View, sends: &mut Vec<Outgoing>) {
        self.expire(now);
        for reported in &mut self.reports {
            let to = view.dispatcher(&reported.crash.pool, &reported.crash.area);
            if let Some(to) = to.filter(|to| *to != reported.to) {
                sends.push(Outgoing { to: to.clone(), message: message(&reported.crash) });
                reported.to = to;
            }
        }
    }

    fn expire(&mut self, now: Micros) {
        let is_old = |reported: &Reported| now > reported.at + RETENTION;
        while self.reports.len() >= MAX_CRASHES || self.reports.front().is_some_and(is_old) {
            self.reports.pop_front();
        }
    }
}

fn message(crash: &Crash) -> Message {
    Message::Crash(encode(crash))
}

fn encode(crash: &Crash) -> peer::Crash {
    peer::Crash {
        id: id::to_wire(crash.id),
        pool: crash.pool.to_string(),
        digest: crash.digest.to_wire(),
        server: crash.server.to_string(),
        born: crash.started_ms.map(|born| born as i64),
        alone: crash.alone.then_some(true),
        workspace: crash.workspace.to_string(),
        route: crash.route.to_string(),
        parts: (!crash.parts.is_empty())
            .then(|| crash.parts.iter().map(|part| *part as i64).collect()),
    }
}
