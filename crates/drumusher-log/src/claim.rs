//! Which attempt at a request that may not be repeated is the one that runs.
//!
//! A claim is appended before the request is handed to a backend server. The first claim of a key
//! in the order of the log wins; nothing else decides. There is no lease and no take-over, so a
//! claimant that was paused can do no harm when it goes on.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// The hash of workspace, route and idempotency key, in hexadecimal in records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(#[serde(with = "hexadecimal")] pub u128);

/// One attempt to claim a key: random, chosen by the claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt(#[serde(with = "hexadecimal")] pub u128);

/// 128 bits as a text, which JSON numbers cannot hold.
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

/// An answer that is kept for repeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body, in base64; absent if it was too large to keep.
    pub body: Option<String>,
}

/// One record of the claim stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// The claimant wants to run the request.
    Claim {
        /// What is claimed.
        key: Key,
        /// By which attempt.
        attempt: Attempt,
        /// The claimant's instance.
        instance: String,
        /// Hash of the request, to tell a repeat from another request with the same key.
        request: u64,
    },
    /// The claimant itself says that nothing was handed over.
    Release {
        /// What was claimed.
        key: Key,
        /// By which attempt.
        attempt: Attempt,
    },
    /// The request ran.
    Done {
        /// What was claimed.
        key: Key,
        /// By which attempt.
        attempt: Attempt,
        /// Its answer.
        answer: Answer,
    },
}

/// How a key stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// Claimed, and not known to have ended.
    Claimed,
    /// It ran.
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
    /// When the platform took the claim, in milliseconds since 1970.
    pub time_ms: u64,
    /// How it stands.
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
    /// An index that begins at offset `next`.
    pub fn new(next: u64) -> Self {
        Index { next, ..Index::default() }
    }

    /// The offset of the next record to fold.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// How many keys are claimed.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// The claim that holds `key`.
    pub fn get(&self, key: Key) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// Folds one record. Records before [`Index::next`] change nothing; one that cannot be read is
    /// passed over. Returns the record if it was readable.
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

    /// Forgets claims taken before `time_ms`.
    pub fn forget_before(&mut self, time_ms: u64) {
        while let Some((taken, key, attempt)) = self.by_age.front().copied() {
            if taken >= time_ms {
                return;
            }
            self.by_age.pop_front();
            let same = self.claims.get(&key).is_some_and(|claim| claim.attempt == attempt);
            if same {
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
