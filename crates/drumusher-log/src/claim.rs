//! Which attempt at a non-repeatable request is the one that runs.
//!
//! A claim is appended before the request is sent to a backend server. The first claim of a key in log order wins,
//! and nothing else decides. There are no leases and no takeovers, so a claimant that was paused can do no harm
//! when it resumes.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// The hash of workspace, route and idempotency key; hexadecimal in records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(#[serde(with = "hexadecimal")] pub u128);

/// An attempt to claim a key: a random number chosen by the claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt(#[serde(with = "hexadecimal")] pub u128);

/// Serializes 128 bits as a string, since JSON numbers cannot hold them.
mod hexadecimal {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bits: &u128, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{bits:032x}"))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<u128, D::Error> {
        let text = String::deserialize(from)?;
        u128::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}

/// An answer stored to be replayed for repeated requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body in base64; `None` if it was too large to store.
    pub body: Option<String>,
}

/// A record of the claim stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// The claimant wants to run the request.
    Claim {
        /// The claimed key.
        key: Key,
        /// The claiming attempt.
        attempt: Attempt,
        /// The claimant's instance.
        instance: String,
        /// Hash of the request, to tell a repetition from another request with the same key.
        request: u64,
    },
    /// The claimant declares that it sent the request to no backend server.
    Release {
        /// The released key.
        key: Key,
        /// The releasing attempt.
        attempt: Attempt,
    },
    /// The request ran.
    Done {
        /// The key of the request.
        key: Key,
        /// The attempt that ran it.
        attempt: Attempt,
        /// The answer of the backend server.
        answer: Answer,
    },
}

/// Progress of a claimed request.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// Claimed, and not known to have completed.
    Claimed,
    /// Completed, with its answer.
    Done(Answer),
}

/// The winning claim of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// The winning attempt.
    pub attempt: Attempt,
    /// The claimant's instance.
    pub instance: String,
    /// Hash of the request.
    pub request: u64,
    /// When the platform accepted the claim, in Unix milliseconds.
    pub time_ms: u64,
    /// Progress of the request.
    pub status: Status,
}

/// All claims within the retention of the log.
#[derive(Debug, Default)]
pub struct Index {
    next: u64,
    claims: HashMap<Key, Claim>,
    by_age: VecDeque<(u64, Key, Attempt)>,
}

impl Index {
    /// An empty index that starts at offset `next`.
    pub fn new(next: u64) -> Self {
        Index { next, ..Index::default() }
    }

    /// The offset of the next record to apply.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Number of claimed keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// The winning claim of `key`.
    pub fn get(&self, key: Key) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// Applies a record. Records before [`Index::next`] have no effect, and a malformed one is skipped. Returns the
    /// record if it was new and well-formed.
    pub fn apply(&mut self, offset: u64, time_ms: u64, body: &[u8]) -> Option<Record> {
        if offset < self.next {
            return None;
        }
        self.next = offset + 1;
        let record: Record = serde_json::from_slice(body).ok()?;
        match &record {
            Record::Claim { key, attempt, instance, request } => {
                self.claim(*key, *attempt, instance, *request, time_ms);
            }
            Record::Release { key, attempt } => self.release(*key, *attempt),
            Record::Done { key, attempt, answer } => self.done(*key, *attempt, answer),
        }
        Some(record)
    }

    /// Removes claims accepted before `time_ms`.
    pub fn forget_before(&mut self, time_ms: u64) {
        while let Some((taken, key, attempt)) = self.by_age.front().copied() {
            if taken >= time_ms {
                return;
            }
            self.by_age.pop_front();
            let is_winner = self.claims.get(&key).is_some_and(|claim| claim.attempt == attempt);
            if is_winner {
                self.claims.remove(&key);
            }
        }
    }

    fn claim(&mut self, key: Key, attempt: Attempt, instance: &str, request: u64, time_ms: u64) {
        if self.claims.contains_key(&key) {
            return;
        }
        let status = Status::Claimed;
        let claim = Claim { attempt, instance: instance.into(), request, time_ms, status };
        self.claims.insert(key, claim);
        self.by_age.push_back((time_ms, key, attempt));
    }

    fn release(&mut self, key: Key, attempt: Attempt) {
        let releasable = self
            .claims
            .get(&key)
            .is_some_and(|claim| claim.attempt == attempt && claim.status == Status::Claimed);
        if releasable {
            self.claims.remove(&key);
        }
    }

    fn done(&mut self, key: Key, attempt: Attempt, answer: &Answer) {
        let Some(claim) = self.claims.get_mut(&key) else {
            return;
        };
        if claim.attempt == attempt && claim.status == Status::Claimed {
            claim.status = Status::Done(answer.clone());
        }
    }
}
