//! Requests that end the backend servers which run them.
//!
//! A request may crash each backend server that begins it, and its caller comes back with it. Every run costs the
//! requests beside it, so it has to be known when it comes anew, at whichever instance, and must not run again. What is
//! known of it is evidence: the starts of backend servers that ended while it was there. All that were there are
//! suspects alike, most of them innocent. What tells them apart is a trial: a suspect runs where no other suspect does.
//! One that ends two backend servers so is held back; one that gets any answer is cleared at once.
//!
//! The table is bounded. It is keyed by digests, so that no caller's bytes are kept; only requests that were at the end
//! of a backend server enter it; and who has the most records loses one first, so that nobody drives out another's.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

/// Ends from which on a request runs only on trial: one end has many beside it, and a second one few of these, since
/// their repeats go to different backend servers.
const TRIAL_AFTER: usize = 2;
/// Ends on trial from which on a request is held back. One may be another's: a backend server that ends by itself,
/// or a suspect that nobody knows yet. With [`TRIAL_AFTER`] a request ends four backend servers where it comes one after
/// the other.
const HELD_AFTER: usize = 2;
/// Most ends that are remembered of a request.
const MOST_ENDS: usize = 8;
/// Most requests that are known: with eight ends of long names each some 600 bytes as they are written, and so 0.6 MB.
pub const MOST: usize = 1_024;
/// How long a suspect is remembered after the latest end, in milliseconds. Chosen: callers come back within minutes.
const SUSPECT_FOR_MS: u64 = 10 * 60_000;
/// How long a request is held back after the latest end, in milliseconds; then it has another trial, since its backend
/// servers may have been mended. Chosen: two ends an hour are borne, and an operator can let it go sooner.
const HELD_FOR_MS: u64 = 60 * 60_000;

/// What tells a request from others when it comes anew: a keyed hash of its workspace, method, host, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub u128);

impl Digest {
    /// As operators see it, and as the key of its record.
    pub fn to_hex(self) -> String {
        format!("{:032x}", self.0)
    }

    /// From what operators see.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        digits.then(|| u128::from_str_radix(text, 16).ok().map(Digest))?
    }

    /// From sixteen bytes; `None` for any other number.
    pub fn from_wire(bytes: &[u8]) -> Option<Self> {
        Some(Digest(u128::from_be_bytes(bytes.try_into().ok()?)))
    }

    /// As sixteen bytes between instances.
    pub fn to_wire(self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }
}

/// The end of a backend server while it ran a request.
#[derive(Clone, Debug)]
pub struct Crash<'a> {
    /// The start of the backend server that ended; no other start has the same text.
    pub start: String,
    /// Whether the request was on trial there.
    pub alone: bool,
    /// When it was seen, in Unix milliseconds.
    pub at_ms: u64,
    /// The workspace of the request.
    pub workspace: &'a str,
    /// Its route.
    pub route: &'a str,
}

/// What is known of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The starts of backend servers that ended while it ran there, each with whether it was on trial.
    pub ends: BTreeMap<String, bool>,
    /// When the first and the latest of them were seen, in Unix milliseconds.
    pub since_ms: u64,
    /// See `since_ms`.
    pub latest_ms: u64,
    /// Its workspace.
    pub workspace: String,
    /// Its route.
    pub route: String,
    /// Whether the store has it.
    #[serde(skip)]
    stored: bool,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Free,
    /// It may run apart from other suspects.
    Trial,
    /// It may not run.
    Held,
}

impl Verdict {
    /// Its word for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Free => "free",
            Verdict::Trial => "trial",
            Verdict::Held => "held",
        }
    }
}

impl Record {
    /// What may be done with the request.
    pub fn verdict(&self) -> Verdict {
        let alone = self.ends.values().filter(|alone| **alone).count();
        match self.ends.len() {
            _ if alone >= HELD_AFTER => Verdict::Held,
            ends if ends >= TRIAL_AFTER => Verdict::Trial,
            _ => Verdict::Free,
        }
    }

    /// Adds ends that are not known, up to [`MOST_ENDS`]; those on trial always. Returns whether there were any.
    fn add(&mut self, ends: impl IntoIterator<Item = (String, bool)>) -> bool {
        let mut changed = false;
        for (start, alone) in ends {
            let has_room = alone || self.ends.len() < MOST_ENDS;
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

    fn is_over(&self, now_ms: u64) -> bool {
        let kept = if self.verdict() == Verdict::Held { HELD_FOR_MS } else { SUSPECT_FOR_MS };
        now_ms > self.latest_ms + kept
    }

    /// What is lost last: a request held back, then one with more ends, then one seen later.
    fn weight(&self) -> (bool, usize, u64) {
        (self.verdict() == Verdict::Held, self.ends.len(), self.latest_ms)
    }
}

/// What is known of requests.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: HashMap<Digest, Record>,
}

impl Table {
    /// Nothing is known yet.
    pub fn new() -> Self {
        Table::default()
    }

    /// How many requests are known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How many are held back.
    pub fn held_count(&self) -> usize {
        self.records.values().filter(|record| record.verdict() == Verdict::Held).count()
    }

    /// What is known of a request.
    pub fn get(&self, digest: Digest) -> Option<&Record> {
        self.records.get(&digest)
    }

    /// All that is known.
    pub fn iter(&self) -> impl Iterator<Item = (Digest, &Record)> {
        self.records.iter().map(|(digest, record)| (*digest, record))
    }

    /// What may be done with a request.
    pub fn verdict(&self, digest: Digest) -> Verdict {
        self.records.get(&digest).map_or(Verdict::Free, Record::verdict)
    }

    /// A backend server ended while it ran the request. Returns whether that was not known.
    pub fn record_crash(&mut self, digest: Digest, end: Crash<'_>) -> bool {
        let fresh = Record {
            since_ms: end.at_ms,
            workspace: end.workspace.into(),
            route: end.route.into(),
            ..Record::default()
        };
        let record = self.records.entry(digest).or_insert(fresh);
        let changed = record.add([(end.start, end.alone)]);
        if changed {
            record.latest_ms = record.latest_ms.max(end.at_ms);
        }
        self.bound();
        changed
    }

    /// The request got an answer, or an operator lets it go. Returns whether it was known: then the store has to be told,
    /// also of one that it is not known to have. What was written may not have been read back yet, and would come back as
    /// a suspect for good.
    pub fn clear(&mut self, digest: Digest) -> bool {
        self.records.remove(&digest).is_some()
    }

    /// Takes what the store has of a request. Ends that are known here and not there stay.
    pub fn merge(&mut self, digest: Digest, told: Record) {
        match self.records.get_mut(&digest) {
            Some(record) => {
                record.add(told.ends);
                record.since_ms = record.since_ms.min(told.since_ms);
                record.latest_ms = record.latest_ms.max(told.latest_ms);
                record.stored = true;
            }
            None => {
                self.records.insert(digest, Record { stored: true, ..told });
                self.bound();
            }
        }
    }

    /// The store no longer has a request.
    pub fn remove(&mut self, digest: Digest) {
        self.records.remove(&digest);
    }

    /// The store has these requests and no others. What was not written there yet stays.
    pub fn only(&mut self, there: &BTreeSet<Digest>) {
        self.records.retain(|digest, record| !record.stored || there.contains(digest));
    }

    /// Requests whose time is over.
    pub fn over(&self, now_ms: u64) -> Vec<Digest> {
        let over = self.records.iter().filter(|(_, record)| record.is_over(now_ms));
        over.map(|(digest, _)| *digest).collect()
    }

    /// Keeps the table within [`MOST`]: of the workspace with the most records the least one goes.
    fn bound(&mut self) {
        while self.records.len() > MOST {
            let mut counts: HashMap<&str, usize> = HashMap::new();
            for record in self.records.values() {
                *counts.entry(record.workspace.as_str()).or_default() += 1;
            }
            let share = |record: &Record| counts[record.workspace.as_str()];
            let least = self
                .records
                .iter()
                .min_by_key(|(_, record)| (std::cmp::Reverse(share(record)), record.weight()));
            let Some(least) = least.map(|(digest, _)| *digest) else { return };
            self.records.remove(&least);
        }
    }
}
