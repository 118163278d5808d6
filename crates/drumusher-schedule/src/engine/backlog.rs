//! The prompts that an engine was given and has not finished prefilling, in the order in which it
//! prefills them: by urgency, then by grant.

use std::collections::HashMap;

use crate::{
    ask::Id,
    time::{MILLISECOND, Micros},
};

/// Longest usual age of a first event when it is reported: a step of 20 to 40 ms and the way over
/// the entry instance.
const REPORT_AGE: f64 = 50.0 * MILLISECOND as f64;

/// A prompt that is being prefilled or waits for it.
#[derive(Clone, Copy, Debug)]
struct Pending {
    urgency: u8,
    id: Id,
    granted: Micros,
    /// When it is expected to be prefilled; later prompts that are more urgent move it.
    expected_done: Micros,
    /// Time that its prefill takes, in microseconds.
    time: f64,
    /// Time of it that was left at [`Backlog::at`], in microseconds.
    left: f64,
    state: State,
}

/// How far a prompt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Other prompts are before it.
    Waiting,
    /// The engine began to prefill it at this time.
    Began(Micros),
    /// More urgent prompts came after it had begun.
    Interrupted,
}

/// What is pending of an urgency and of more urgent ones.
#[derive(Clone, Copy, Debug)]
struct Level {
    urgency: u8,
    /// Time that was left at [`Backlog::at`], in microseconds.
    left: f64,
    /// When the first of them takes twice as long as expected.
    due: Micros,
}

/// The pending prompts of an engine, and the memory of its running requests.
#[derive(Debug, Default)]
pub struct Backlog {
    /// In the order in which the engine prefills them.
    pending: Vec<Pending>,
    /// By urgency, the most urgent first. Decisions look at all engines, so they are kept.
    levels: Vec<Level>,
    /// The time to which `left` of all prompts refers.
    at: Micros,
    /// Memory of the running requests, in tokens.
    memory: HashMap<Id, u64>,
    total_memory: u64,
}

impl Backlog {
    /// Adds a prompt whose prefill takes `time` microseconds. Its request needs `tokens` of memory,
    /// including its output.
    pub fn add(&mut self, now: Micros, id: Id, urgency: u8, time: f64, tokens: u64) {
        let expected_done = now + self.time_ahead(now, urgency) + time as Micros;
        self.drain(now);
        let place = self.pending.partition_point(|pending| pending.urgency <= urgency);
        for overtaken in &mut self.pending[place..] {
            overtaken.expected_done += time as Micros;
            if overtaken.state != State::Waiting {
                overtaken.state = State::Interrupted;
            }
        }
        let pending = Pending {
            urgency,
            id,
            granted: now,
            expected_done,
            time,
            left: time,
            state: if place == 0 { State::Began(now) } else { State::Waiting },
        };
        self.pending.insert(place, pending);
        let before = self.memory.insert(id, tokens).unwrap_or(0);
        self.total_memory = self.total_memory - before + tokens;
        self.sum_up();
    }

    /// Records that a prompt is prefilled, and returns how long that took if it is known. Those
    /// after it cannot have been prefilled for longer than the age of the report, so that an
    /// engine that is slower than expected is not given too much.
    pub fn complete(&mut self, now: Micros, id: Id) -> Option<Micros> {
        let place = self.pending.iter().position(|pending| pending.id == id)?;
        self.drain(now);
        let completed = self.pending.remove(place);
        let mut done = REPORT_AGE;
        for later in self.pending[place..].iter_mut().filter(|p| p.state == State::Waiting) {
            let of_later = done.min(later.time);
            later.left = later.left.max(later.time - of_later);
            done -= of_later;
        }
        self.begin_first(now);
        self.sum_up();
        match completed.state {
            State::Began(at) => Some(now.saturating_sub(at)),
            State::Waiting | State::Interrupted => None,
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, now: Micros, id: Id) {
        self.drain(now);
        self.pending.retain(|pending| pending.id != id);
        self.total_memory -= self.memory.remove(&id).unwrap_or(0);
        self.begin_first(now);
        self.sum_up();
    }

    /// Records that the engine goes on with the first prompt.
    fn begin_first(&mut self, now: Micros) {
        if let Some(first) = self.pending.first_mut().filter(|p| p.state == State::Waiting) {
            first.state = State::Began(now);
        }
    }

    /// Whether no prompt is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Memory that the running requests need until they end, in tokens.
    pub fn memory(&self) -> u64 {
        self.total_memory
    }

    /// Time until all prompts of this urgency and of more urgent ones are prefilled.
    pub fn time_ahead(&self, now: Micros, urgency: u8) -> Micros {
        let left = self.level(urgency).map_or(0.0, |level| level.left);
        (left as Micros).saturating_sub(now.saturating_sub(self.at))
    }

    /// How long the first event of a prompt of this urgency or of a more urgent one is overdue. It
    /// is overdue when its prefill has taken twice as long as expected, and `grace`.
    pub fn overdue(&self, now: Micros, urgency: u8, grace: Micros) -> Micros {
        self.level(urgency).map_or(0, |level| now.saturating_sub(level.due + grace))
    }

    /// What is pending of an urgency and of more urgent ones.
    fn level(&self, urgency: u8) -> Option<&Level> {
        self.levels.iter().rev().find(|level| level.urgency <= urgency)
    }

    /// Updates the sums by urgency.
    fn sum_up(&mut self) {
        self.levels.clear();
        let (mut left, mut due) = (0.0, Micros::MAX);
        for pending in &self.pending {
            left += pending.left;
            due = due.min(2 * pending.expected_done - pending.granted);
            let level = Level { urgency: pending.urgency, left, due };
            match self.levels.last_mut().filter(|last| last.urgency == pending.urgency) {
                Some(last) => *last = level,
                None => self.levels.push(level),
            }
        }
    }

    /// Subtracts the time since the last change from the prompts that the engine prefilled in it.
    fn drain(&mut self, now: Micros) {
        let mut elapsed = now.saturating_sub(self.at) as f64;
        for pending in &mut self.pending {
            let done = elapsed.min(pending.left);
            pending.left -= done;
            elapsed -= done;
        }
        self.at = self.at.max(now);
    }
}
