//! Attempts that broke or were given up at backend servers which may have crashed. Without I/O.
//!
//! Until it is known, a suspected crash does not count against a request, since pauses and network faults look the same.
//! It only makes the request run on trial, and a trial that may have crashed its server holds up the next one.

use std::collections::{HashMap, VecDeque};

use drumusher_log::quarantine::Digest;
use drumusher_schedule::time::{Micros, SECOND};
use drumusher_wire::peer;

/// How long a crash is suspected: crashed servers are back within some seconds. One that stays silent for longer may be
/// gone for good, or cut off.
const UNDECIDED_RETENTION: Micros = 15 * SECOND;
/// For this long after an attempt, a crash of a server that answered since counts: it may still have run the request.
const SURVIVED_RETENTION: Micros = 5 * SECOND;
/// How long it is remembered that a server crashed, for instances that report their attempts later.
const CRASHED_RETENTION: Micros = 10 * SECOND;
/// Maximum number of attempts kept.
const MAX_ATTEMPTS: usize = 4_096;

#[derive(Debug)]
struct Attempt {
    at: Micros,
    /// Whether it was the only trial on its server.
    alone: bool,
    /// The crash that it may have caused.
    crash: peer::Crash,
}

/// A start of a backend server that may have crashed.
#[derive(Debug, Default)]
struct Server {
    attempts: Vec<Attempt>,
    /// Whether it answered since.
    survived: bool,
}

/// The attempts by the start of their backend server.
#[derive(Debug, Default)]
pub struct Breaks {
    servers: HashMap<String, Server>,
    /// The servers that crashed lately, oldest first.
    crashed: VecDeque<(Micros, String)>,
}

impl Breaks {
    /// Adds an attempt at a start of a server. Returns it if that is known to have crashed.
    pub fn add(
        &mut self,
        now: Micros,
        start: &str,
        alone: bool,
        crash: peer::Crash,
    ) -> Option<peer::Crash> {
        if self.crashed.iter().any(|(_, crashed)| crashed == start) {
            return Some(crash);
        }
        if self.servers.values().map(|server| server.attempts.len()).sum::<usize>() >= MAX_ATTEMPTS
        {
            log::warn!(server = start; "a suspected crash is not considered: too many");
            return None;
        }
        let server = self.servers.entry(start.into()).or_default();
        server.survived = false;
        server.attempts.push(Attempt { at: now, alone, crash });
        None
    }

    /// Records that a server answered, so that it has not crashed yet.
    pub fn survived(&mut self, start: &str) {
        if let Some(server) = self.servers.get_mut(start) {
            server.survived = true;
        }
    }

    /// Records that a server crashed. Returns its attempts, each with whether it was alone on trial there.
    pub fn crashed(&mut self, now: Micros, start: &str) -> Vec<(bool, peer::Crash)> {
        if self.crashed.iter().all(|(_, crashed)| crashed != start) {
            self.crashed.push_back((now, start.into()));
        }
        let server = self.servers.remove(start).unwrap_or_default();
        server.attempts.into_iter().map(|attempt| (attempt.alone, attempt.crash)).collect()
    }

    /// Number of servers that a request may have crashed, unless most of the servers that may have crashed did not run
    /// it: then they have another cause in common.
    pub fn undecided(&self, request: Digest) -> usize {
        let undecided = self.servers.values().filter(|server| !server.survived);
        let (mut all, mut own) = (0, 0);
        for server in undecided {
            all += 1;
            own += usize::from(server.attempts.iter().any(|attempt| attempt.is_of(request)));
        }
        if own * 2 >= all { own } else { 0 }
    }

    /// Since when a server may have crashed by a trial of a request, or of another one of its workspace with one of these
    /// suspected parts in its prompt.
    pub fn trial_undecided_since(
        &self,
        request: Digest,
        workspace: &str,
        parts: &[u64],
    ) -> Option<Micros> {
        let undecided = self.servers.values().filter(|server| !server.survived);
        let trials = undecided.flat_map(|server| &server.attempts).filter(|a| a.alone);
        let own =
            trials.filter(|trial| trial.is_of(request) || trial.shares_part(workspace, parts));
        own.map(|trial| trial.at).min()
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Micros) {
        for server in self.servers.values_mut() {
            let retention = if server.survived { SURVIVED_RETENTION } else { UNDECIDED_RETENTION };
            server.attempts.retain(|attempt| now < attempt.at + retention);
        }
        self.servers.retain(|_, server| !server.attempts.is_empty());
        while self.crashed.front().is_some_and(|(at, _)| now > at + CRASHED_RETENTION) {
            self.crashed.pop_front();
        }
    }
}

impl Attempt {
    fn is_of(&self, request: Digest) -> bool {
        Digest::from_wire(&self.crash.digest) == Some(request)
    }

    fn shares_part(&self, workspace: &str, parts: &[u64]) -> bool {
        let mut own = self.crash.parts.iter().flatten();
        self.crash.workspace == workspace && own.any(|part| parts.contains(&(*part as u64)))
    }
}
