//! Parts of prompts that backend servers have answered: a few crashes are no evidence against these. Without I/O.
//!
//! When servers crash for another reason, every popular part was in use on several of them. Trials of it would let its
//! requests run one at a time.

use std::collections::{HashMap, HashSet, VecDeque};

use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};
use xxhash_rust::xxh3::Xxh3;

/// Crashes since its latest answer from which on there is evidence against a part that was answered.
const MIN_CRASHES: usize = 5;
/// Servers that crash within this time have a cause in common: a part that all of them began to answer on and that was
/// never answered, or something else.
const COMMON_CAUSE_TIME: Micros = 50 * MILLISECOND;
/// Time from the first answer on after which a part that is in use on many servers has been answered, unless it cannot be.
const EXPERIENCE_TIME: Micros = 2 * SECOND;
/// How long crashes are remembered for that.
const CRASH_RETENTION: Micros = SECOND;
/// How long an answer counts.
const RETENTION: Micros = 600 * SECOND;
/// Maximum number of parts remembered.
const MAX_PARTS: usize = 8_192;

/// Hash of a part and its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Key(u64);

/// Hash of a start of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Start(u64);

/// A crash of a server.
#[derive(Debug)]
struct Crashed {
    at: Micros,
    start: Start,
    /// The parts of the prompts that it had begun to answer on.
    parts: HashSet<Key>,
}

#[derive(Debug)]
struct Part {
    answered: Micros,
    /// The servers that crashed since while running it, up to [`MIN_CRASHES`].
    crashes: Vec<Start>,
}

/// The parts that were answered, and the latest crashes.
#[derive(Debug, Default)]
pub struct Answered {
    parts: HashMap<Key, Part>,
    latest: VecDeque<Crashed>,
    /// When the first answer was recorded.
    first_answer: Option<Micros>,
}

impl Answered {
    /// Records an answer to a request of a workspace with these parts.
    pub fn record_answer(&mut self, now: Micros, workspace: &str, parts: &[u64]) {
        self.first_answer.get_or_insert(now);
        for part in parts {
            self.parts.insert(key(workspace, *part), Part { answered: now, crashes: Vec::new() });
        }
        if self.parts.len() > MAX_PARTS {
            let sum: u128 = self.parts.values().map(|part| u128::from(part.answered)).sum();
            let mean = (sum / self.parts.len() as u128) as Micros;
            self.parts.retain(|_, part| part.answered > mean);
        }
    }

    /// Records that a server crashed.
    pub fn note_crash(&mut self, now: Micros, start: &str) {
        let start = Start(hash(&[start.as_bytes()]));
        self.latest.retain(|crashed| now < crashed.at + CRASH_RETENTION);
        if self.latest.iter().all(|crashed| crashed.start != start) {
            self.latest.push_back(Crashed { at: now, start, parts: HashSet::new() });
        }
    }

    /// Records that a server that crashed had begun to answer a request of a workspace with these parts.
    pub fn note_parts(&mut self, workspace: &str, parts: &[u64], start: &str) {
        let start = Start(hash(&[start.as_bytes()]));
        if let Some(crashed) = self.latest.iter_mut().find(|crashed| crashed.start == start) {
            crashed.parts.extend(parts.iter().map(|part| key(workspace, *part)));
        }
    }

    /// Whether it can be told by now whether a crash that was reported at `at` has a cause in common with others.
    pub fn is_decided(&self, now: Micros, at: Micros) -> bool {
        now > at + COMMON_CAUSE_TIME
    }

    /// Whether other servers crashed at the same time as this one.
    pub fn has_common_cause(&self, start: &str) -> bool {
        let start = Start(hash(&[start.as_bytes()]));
        self.same_time(start).count() > 1
    }

    /// Whether a part is the cause in common of all servers that crashed at the same time as this one: each had begun to
    /// answer on it, and it was never answered.
    pub fn is_common_cause(&self, now: Micros, workspace: &str, part: u64, start: &str) -> bool {
        let experienced = self.first_answer.is_some_and(|at| now > at + EXPERIENCE_TIME);
        let key = key(workspace, part);
        if !experienced || self.was_answered(now, key) {
            return false;
        }
        let start = Start(hash(&[start.as_bytes()]));
        self.same_time(start).all(|crashed| crashed.parts.contains(&key))
    }

    /// The servers that crashed at the same time as this one, which is among them.
    fn same_time(&self, start: Start) -> impl Iterator<Item = &Crashed> {
        let own = self.latest.iter().find(|crashed| crashed.start == start);
        let same = move |crashed: &&Crashed| {
            own.is_some_and(|own| crashed.at.abs_diff(own.at) <= COMMON_CAUSE_TIME)
        };
        self.latest.iter().filter(same)
    }

    fn was_answered(&self, now: Micros, key: Key) -> bool {
        self.parts.get(&key).is_some_and(|part| now <= part.answered + RETENTION)
    }

    /// Records a crash of a server during a request with this part. Returns whether it is evidence against the part.
    pub fn record_crash(&mut self, now: Micros, workspace: &str, part: u64, start: &str) -> bool {
        let key = key(workspace, part);
        if !self.was_answered(now, key) {
            return true;
        }
        let Some(part) = self.parts.get_mut(&key) else { return true };
        let start = Start(hash(&[start.as_bytes()]));
        if part.crashes.len() < MIN_CRASHES && !part.crashes.contains(&start) {
            part.crashes.push(start);
        }
        part.crashes.len() >= MIN_CRASHES
    }
}

fn key(workspace: &str, part: u64) -> Key {
    Key(hash(&[workspace.as_bytes(), &part.to_be_bytes()]))
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
