//! Trial runs of requests during which backend servers crashed, each isolated from the others. Without I/O.

use std::collections::{HashMap, VecDeque};

use drumusher_log::quarantine::{Digest, PROOF_TIME};
use drumusher_schedule::{
    ask::{Entry, Id},
    server,
    time::{Micros, SECOND},
};
use drumusher_wire::peer;

/// How long it is kept whether an ended trial was alone on its server: its entry finds out within 0.1 s whether the
/// backend server crashed with it.
const ENDED_RETENTION: Micros = 10 * SECOND;

/// A trial that runs, or was submitted to the scheduler.
#[derive(Clone, Debug)]
struct Trial {
    /// The request, or the parts of its prompt, that are suspected.
    suspects: Vec<Digest>,
    /// The backend server that runs it; `None` until it is granted.
    server: Option<server::Key>,
    /// When its first event arrived.
    started: Option<Micros>,
    /// Whether no other trial ran on its backend server at the same time.
    alone: bool,
    /// Whether it has been answered for [`PROOF_TIME`].
    proven: bool,
}

/// A request that waits for its trial run.
pub(super) struct Waiting {
    pub(super) entry: Entry,
    pub(super) ask: peer::Ask,
}

/// The trials of one pool.
#[derive(Default)]
pub struct Trials {
    running: HashMap<Id, Trial>,
    waiting: VecDeque<Waiting>,
    /// Ended trials: when each ended, its request, and whether it was alone.
    ended: VecDeque<(Micros, Id, bool)>,
}

impl Trials {
    /// Whether a trial may begin now, given the maximum number of undecided trials. A suspect has at most one trial
    /// at a time.
    pub(super) fn may_begin(&self, suspects: &[Digest], max: usize) -> bool {
        let open = self.running.values().filter(|trial| trial.started.is_none()).count();
        let unproven = self.running.values().filter(|trial| !trial.proven);
        let mut tried = unproven.flat_map(|trial| &trial.suspects);
        open < max && !tried.any(|tried| suspects.contains(tried))
    }

    /// Begins the trial of a request that is submitted to the scheduler.
    pub fn begin(&mut self, id: Id, suspects: Vec<Digest>) {
        let trial = Trial { suspects, server: None, started: None, alone: true, proven: false };
        self.running.insert(id, trial);
    }

    /// Forgets an earlier trial of a request that is submitted without one: its result says nothing about this run.
    pub fn forget(&mut self, id: Id) {
        self.ended.retain(|(_, ended, _)| *ended != id);
    }

    /// Queues a request for its trial run. Always returns `true`.
    pub(super) fn wait(&mut self, entry: Entry, ask: peer::Ask) -> bool {
        self.waiting.push_back(Waiting { entry, ask });
        true
    }

    /// Takes all waiting requests, oldest first.
    pub(super) fn take_waiting(&mut self) -> VecDeque<Waiting> {
        std::mem::take(&mut self.waiting)
    }

    /// The backend servers that run trials.
    pub(super) fn servers(&self) -> Vec<server::Key> {
        self.running.values().filter_map(|trial| trial.server).collect()
    }

    /// Records the backend server that a request was granted. Returns whether it is the only trial there; `None` if
    /// it is not on trial.
    pub fn grant(&mut self, id: Id, server: server::Key) -> Option<bool> {
        self.running.get(&id)?;
        let mut alone = true;
        for (other, trial) in &mut self.running {
            if *other != id && trial.server == Some(server) {
                (trial.alone, alone) = (false, false);
            }
        }
        let trial = self.running.get_mut(&id)?;
        (trial.server, trial.alone) = (Some(server), alone);
        Some(alone)
    }

    /// Records the first event of a request.
    pub(super) fn started(&mut self, now: Micros, id: Id) {
        if let Some(trial) = self.running.get_mut(&id) {
            trial.started.get_or_insert(now);
        }
    }

    /// Returns the suspects of the trials whose answers have gone on for [`PROOF_TIME`] by now. They no longer keep
    /// another trial from beginning.
    pub fn take_proven(&mut self, now: Micros) -> Vec<Digest> {
        let is_due = |trial: &&mut Trial| {
            !trial.proven && trial.started.is_some_and(|at| now > at + PROOF_TIME)
        };
        let due = self.running.values_mut().filter(is_due);
        let mut suspects = Vec::new();
        for trial in due {
            trial.proven = true;
            suspects.extend_from_slice(&trial.suspects);
        }
        suspects
    }

    /// Removes a request that ended, moved to another dispatcher or was withdrawn. Returns whether that made room for
    /// another trial.
    pub fn end(&mut self, now: Micros, id: Id) -> bool {
        self.waiting.retain(|waiting| waiting.ask.id != id.to_be_bytes());
        let Some(trial) = self.running.remove(&id) else {
            return false;
        };
        self.ended.retain(|(at, ..)| now < at + ENDED_RETENTION);
        if trial.server.is_some() {
            self.ended.push_back((now, id, trial.alone));
        }
        true
    }

    /// Removes the waiting requests of a disconnected entry.
    pub(super) fn entry_disconnected(&mut self, entry: Entry) {
        self.waiting.retain(|waiting| waiting.entry != entry);
    }

    /// Whether the trial of a request was alone on its server; `None` if it was not on trial here lately.
    pub fn was_alone(&self, id: Id) -> Option<bool> {
        let running = self.running.get(&id).map(|trial| trial.alone);
        let ended = || self.ended.iter().rev().find(|(_, ended, _)| *ended == id);
        running.or_else(|| ended().map(|(.., alone)| *alone))
    }

    /// Whether no request waits.
    pub(super) fn is_queue_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes the trials that the scheduler does not have: they were refused, or their entry disconnected.
    pub(super) fn retain(&mut self, is_known: impl Fn(Id) -> bool) {
        self.running.retain(|id, _| is_known(*id));
    }
}
