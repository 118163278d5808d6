//! Parts of prompts that backend servers have answered: a few crashes are no evidence against these. Without I/O.
//!
//! When servers crash for another reason, every popular part was in use on several of them. Trials of it would let its
//! requests run one at a time.

use std::collections::{HashMap, VecDeque};

use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};
use xxhash_rust::xxh3::Xxh3;

/// Crashes since its latest answer from which on there is evidence against a part that was answered.
const MIN_CRASHES: usize = 5;
/// Servers that crash within this time have a cause in common, and it is no part of a prompt: that crashes them one
/// after the other.
const COMMON_CAUSE_TIME: Micros = 50 * MILLISECOND;
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
    latest: VecDeque<(Micros, Start)>,
}

impl Answered {
    /// Records an answer to a request of a workspace with these parts.
    pub fn record_answer(&mut self, now: Micros, workspace: &str, parts: &[u64]) {
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
        self.latest.retain(|(at, _)| now < *at + CRASH_RETENTION);
        if self.latest.iter().all(|(_, other)| *other != start) {
            self.latest.push_back((now, start));
        }
    }

    /// Whether it can be told by now whether a crash that was reported at `at` has a cause in common with others.
    pub fn is_decided(&self, now: Micros, at: Micros) -> bool {
        now > at + COMMON_CAUSE_TIME
    }

    /// Whether other servers crashed at the same time as this one.
    pub fn has_common_cause(&self, start: &str) -> bool {
        let start = Start(hash(&[start.as_bytes()]));
        let own = self.latest.iter().find(|(_, other)| *other == start).map(|(at, _)| *at);
        let others = || self.latest.iter().filter(|(_, other)| *other != start);
        own.is_some_and(|own| others().any(|(at, _)| at.abs_diff(own) <= COMMON_CAUSE_TIME))
    }

    /// Records a crash of a server during a request with this part. Returns whether it is evidence against the part.
    pub fn record_crash(&mut self, now: Micros, workspace: &str, part: u64, start: &str) -> bool {
        let Some(part) = self.parts.get_mut(&key(workspace, part)) else { return true };
        if now > part.answered + RETENTION {
            return true;
        }
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
