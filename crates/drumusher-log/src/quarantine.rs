//! Quarantine of requests that crash the backend servers which run them.
//!
//! A request may crash each backend server that starts it, and its caller retries it. Every run also fails the
//! requests beside it, so a retry has to be recognized at whichever instance it arrives, and must not run again.
//! The evidence kept about a request is the set of backend server starts that crashed while running it. All
//! requests that were running at a crash are suspects alike, most of them innocent. A trial tells them apart: a
//! suspect runs where no other suspect does. One that crashes two backend servers that way is held back; one that
//! gets any answer is cleared at once.
//!
//! The cause may also be one part of a prompt that many requests share, of which no two are alike. So each crash is
//! evidence against the parts of the requests that had just begun, too, and each whole answer clears its parts. A part
//! belongs to one workspace: the same part of another workspace has a record of its own. Crashes that a held part
//! explains are no evidence against what was running beside it.
//!
//! The table is bounded. It is keyed by digests, so that no caller's bytes are stored; only requests that were
//! running at a crash enter it; and the workspace with the most records loses one first, so that no workspace
//! displaces another's.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use serde::{Deserialize, Serialize};

/// Number of crashes from which on a request runs only on trial. Many requests are running at one crash, but few of
/// them at a second one, since their retries go to different backend servers.
pub const TRIAL_THRESHOLD: usize = 2;
/// Number of crashes on trial from which on a request is held back. One of them may be unrelated: a backend server
/// that crashes by itself, or because of a suspect that is not known yet. With [`TRIAL_THRESHOLD`], a request whose
/// retries come one after the other crashes four backend servers.
const HOLD_THRESHOLD: usize = 2;
/// The same for a part of a prompt. Many requests depend on it, so it takes one more.
const PART_HOLD_THRESHOLD: usize = 3;
/// An answer that has gone on for this long did not crash its backend server, in microseconds: a crash follows the
/// beginning of the answer within some tenths of a second.
pub const PROOF_TIME: u64 = 1_000_000;
/// Maximum number of crashes stored for a request.
const MAX_CRASHES: usize = 8;
/// Maximum number of records. With eight crashes and long names, a serialized record has some 600 bytes, and the
/// table 0.6 MB.
pub const MAX_RECORDS: usize = 1_024;
/// How long a suspect is remembered after its latest crash, in milliseconds: callers retry within minutes.
const SUSPECT_RETENTION_MS: u64 = 10 * 60_000;
/// How long a request is held back after its latest crash, in milliseconds. After that it gets another trial, since
/// its backend servers may have been fixed. Two crashes an hour are acceptable, and an operator can release it
/// sooner.
const HOLD_DURATION_MS: u64 = 60 * 60_000;

/// Identifies a request across retries: a keyed hash of its workspace, method, host, path and body. Or a part of a prompt:
/// a keyed hash of its workspace and ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub u128);

impl Digest {
    /// The digest in hexadecimal, as shown to operators and used as the key of its record.
    pub fn to_hex(self) -> String {
        format!("{:032x}", self.0)
    }

    /// Parses the hexadecimal form.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        digits.then(|| u128::from_str_radix(text, 16).ok().map(Digest))?
    }

    /// Decodes a digest from a message; `None` unless it has sixteen bytes.
    pub fn from_wire(bytes: &[u8]) -> Option<Self> {
        Some(Digest(u128::from_be_bytes(bytes.try_into().ok()?)))
    }

    /// Encodes the digest for messages between instances, as sixteen bytes.
    pub fn to_wire(self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }
}

/// A crash of a backend server while it ran a request.
#[derive(Clone, Debug)]
pub struct Crash<'a> {
    /// Identifies the start of the backend server that crashed; no two starts have the same text.
    pub start: String,
    /// Whether the request was on trial there.
    pub alone: bool,
    /// When the crash was seen, in Unix milliseconds.
    pub at_ms: u64,
    /// The workspace of the request.
    pub workspace: &'a str,
    /// The route of the request.
    pub route: &'a str,
    /// Whether it is evidence against a part of the request's prompt.
    pub part: bool,
}

/// Evidence about a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The starts of backend servers that crashed while running it, each with whether it was on trial.
    pub ends: BTreeMap<String, bool>,
    /// When the first crash was seen, in Unix milliseconds.
    pub since_ms: u64,
    /// When the latest crash was seen, in Unix milliseconds.
    pub latest_ms: u64,
    /// Its workspace.
    pub workspace: String,
    /// Its route.
    pub route: String,
    /// Whether it is about a part of a prompt.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub part: bool,
    /// Whether the store is known to have the record.
    #[serde(skip)]
    stored: bool,
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run anywhere.
    Free,
    /// It may run only where no other suspect does.
    Trial,
    /// It may not run.
    Held,
}

impl Verdict {
    /// The name shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Free => "free",
            Verdict::Trial => "trial",
            Verdict::Held => "held",
        }
    }
}

impl Record {
    /// How the request may be run by this evidence alone.
    pub fn verdict(&self) -> Verdict {
        self.verdict_without(&HashSet::new())
    }

    /// How the request may be run, without the crashes that something else explains.
    fn verdict_without(&self, explained: &HashSet<String>) -> Verdict {
        let ends = self.ends.iter().filter(|(start, _)| !explained.contains(*start));
        let (total, alone) = ends.fold((0, 0), |(total, alone), (_, is_alone)| {
            (total + 1, alone + usize::from(*is_alone))
        });
        let hold_threshold = if self.part { PART_HOLD_THRESHOLD } else { HOLD_THRESHOLD };
        match total {
            _ if alone >= hold_threshold => Verdict::Held,
            // Answers clear the other crashes of a request, not this one.
            _ if alone > 0 && !self.part => Verdict::Trial,
            total if total >= TRIAL_THRESHOLD => Verdict::Trial,
            _ => Verdict::Free,
        }
    }

    /// Adds new crashes up to [`MAX_CRASHES`], and those on trial beyond it. Returns whether there were any.
    fn add_crashes(&mut self, ends: impl IntoIterator<Item = (String, bool)>) -> bool {
        let mut changed = false;
        for (start, alone) in ends {
            let has_room = alone || self.ends.len() < MAX_CRASHES;
            match self.ends.get_mut(&start) {
                Some(known) => {
                    changed |= alone && !*known;
                    *known |= alone;
                }
                None if has_room => {
                    self.ends.insert(start, alone);
                    changed = true;
                }
                None => {}
            }
        }
        changed
    }

    fn is_expired(&self, now_ms: u64) -> bool {
        let retention_ms =
            if self.verdict() == Verdict::Held { HOLD_DURATION_MS } else { SUSPECT_RETENTION_MS };
        now_ms > self.latest_ms + retention_ms
    }

    /// Sort key for eviction: requests that are held back are evicted last, then those with more crashes, then
    /// those seen later.
    fn eviction_rank(&self) -> (bool, usize, u64) {
        (self.verdict() == Verdict::Held, self.ends.len(), self.latest_ms)
    }
}

/// The records of all suspected requests.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: HashMap<Digest, Record>,
    /// Whether any record is about a part of a prompt.
    has_parts: bool,
    /// The parts that are held back.
    held_parts: HashSet<Digest>,
    /// The starts of backend servers that crashed while running requests with these.
    explained: HashSet<String>,
}

impl Table {
    /// An empty table.
    pub fn new() -> Self {
        Table::default()
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of requests and parts that are held back.
    pub fn held_count(&self) -> usize {
        self.records.keys().filter(|digest| self.verdict(**digest) == Verdict::Held).count()
    }

    /// Whether there is a record about a part of a prompt.
    pub fn has_parts(&self) -> bool {
        self.has_parts
    }

    /// The record of a request.
    pub fn get(&self, digest: Digest) -> Option<&Record> {
        self.records.get(&digest)
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (Digest, &Record)> {
        self.records.iter().map(|(digest, record)| (*digest, record))
    }

    /// How a request may be run.
    pub fn verdict(&self, digest: Digest) -> Verdict {
        match self.records.get(&digest) {
            Some(_) if self.held_parts.contains(&digest) => Verdict::Held,
            Some(record) => record.verdict_without(&self.explained),
            None => Verdict::Free,
        }
    }

    /// Records a crash of a backend server while it ran the request. Returns whether it was new.
    pub fn record_crash(&mut self, digest: Digest, crash: Crash<'_>) -> bool {
        let new_record = Record {
            since_ms: crash.at_ms,
            workspace: crash.workspace.into(),
            route: crash.route.into(),
            part: crash.part,
            ..Record::default()
        };
        let record = self.records.entry(digest).or_insert(new_record);
        let changed = record.add_crashes([(crash.start, crash.alone)]);
        if changed {
            record.latest_ms = record.latest_ms.max(crash.at_ms);
        }
        let part = crash.part;
        self.evict_excess();
        self.note_change(digest, part);
        changed
    }

    /// Removes a request's record because it got an answer or an operator released it. Returns whether there was
    /// one. The removal has to be written to the store then, even if the store is not known to have the record: one
    /// that was written but not read back yet would otherwise return, and make the request a suspect for good.
    pub fn clear(&mut self, digest: Digest) -> bool {
        self.take(digest).is_some()
    }

    /// Removes the crashes that an answer explains otherwise: those of a request that was not on trial, and all of a
    /// part. A request that crashed a backend server on trial did so by itself, also if others answer it. Returns
    /// whether the record changed.
    pub fn clear_answered(&mut self, digest: Digest) -> bool {
        let Some(record) = self.records.get_mut(&digest) else { return false };
        if record.part || !record.ends.values().any(|alone| *alone) {
            return self.clear(digest);
        }
        let before = record.ends.len();
        record.ends.retain(|_, alone| *alone);
        record.ends.len() != before
    }

    /// Removes a record.
    fn take(&mut self, digest: Digest) -> Option<Record> {
        let record = self.records.remove(&digest)?;
        self.note_change(digest, record.part);
        Some(record)
    }

    /// Updates what depends on a record that changed. Most records are far from the evidence that holds a part back.
    fn note_change(&mut self, digest: Digest, part: bool) {
        let record = self.records.get(&digest);
        if part {
            self.has_parts = record.is_some() || self.records.values().any(|record| record.part);
        }
        let counts = record.is_some_and(|record| part && record.verdict() == Verdict::Held);
        if counts || self.held_parts.contains(&digest) {
            self.explain();
        }
    }

    /// Merges a record of the store. Crashes known only here are kept.
    pub fn merge(&mut self, digest: Digest, other: Record) {
        let part = other.part;
        match self.records.get_mut(&digest) {
            Some(record) => {
                record.add_crashes(other.ends);
                record.since_ms = record.since_ms.min(other.since_ms);
                record.latest_ms = record.latest_ms.max(other.latest_ms);
                record.stored = true;
            }
            None => {
                self.records.insert(digest, Record { stored: true, ..other });
                self.evict_excess();
            }
        }
        self.note_change(digest, part);
    }

    /// Removes a request that the store no longer has.
    pub fn remove(&mut self, digest: Digest) {
        self.take(digest);
    }

    /// Keeps only these requests, which are all that the store has, and those whose record was not written there
    /// yet.
    pub fn retain_listed(&mut self, listed: &BTreeSet<Digest>) {
        self.records.retain(|digest, record| !record.stored || listed.contains(digest));
        self.has_parts = self.records.values().any(|record| record.part);
        self.explain();
    }

    /// Decides which parts are held back, those with the most evidence first: a crash that one explains does not count
    /// against the next.
    fn explain(&mut self) {
        let parts = self.records.iter().filter(|(_, record)| record.part);
        let suspects = parts.filter(|(_, record)| record.verdict() == Verdict::Held);
        let mut suspects: Vec<(Digest, &Record)> = suspects.map(|(d, r)| (*d, r)).collect();
        suspects.sort_by_key(|(digest, record)| {
            let alone = record.ends.values().filter(|alone| **alone).count();
            (std::cmp::Reverse((record.ends.len(), alone)), *digest)
        });
        let (mut held, mut explained) = (HashSet::new(), HashSet::new());
        for (digest, record) in suspects {
            if record.verdict_without(&explained) == Verdict::Held {
                explained.extend(record.ends.keys().cloned());
                held.insert(digest);
            }
        }
        (self.held_parts, self.explained) = (held, explained);
    }

    /// Requests whose record has expired.
    pub fn expired(&self, now_ms: u64) -> Vec<Digest> {
        let expired = self.records.iter().filter(|(_, record)| record.is_expired(now_ms));
        expired.map(|(digest, _)| *digest).collect()
    }

    /// Keeps the table within [`MAX_RECORDS`]: evicts the least important record of the workspace with the most
    /// records.
    fn evict_excess(&mut self) {
        while self.records.len() > MAX_RECORDS {
            let mut counts: HashMap<&str, usize> = HashMap::new();
            for record in self.records.values() {
                *counts.entry(record.workspace.as_str()).or_default() += 1;
            }
            let share = |record: &Record| counts[record.workspace.as_str()];
            let evicted = self.records.iter().min_by_key(|(_, record)| {
                (std::cmp::Reverse(share(record)), record.eviction_rank())
            });
            let Some(evicted) = evicted.map(|(digest, _)| *digest) else { return };
            self.take(evicted);
        }
    }
}
