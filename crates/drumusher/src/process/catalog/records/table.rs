//! The known records of one table: the newest values, and the latest changes. Without I/O.

use std::collections::{BTreeMap, VecDeque};

use drumusher_log::position::{Era, Position};
use drumusher_platform::catalog::Record;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::Form;
use crate::process::catalog::Patch;

/// Number of latest changes of a table kept to be relayed; an instance that lacks more receives the whole table.
const MAX_RECENT: usize = 1_024;
/// Size limit of these changes. If a key such as the configuration changes often, the whole table with its newest
/// value is shorter than longer changes.
const MAX_RECENT_BYTES: usize = 64 * 1024;
/// Of a large table, changes are kept up to this part of its keys and of its size.
const RECENT_DIVISOR: usize = 4;
/// Values of at least this many bytes are kept as patches of the previous value.
const MIN_PATCHED_BYTES: usize = 16 * 1024;
/// A patch is kept only if the value is longer by this factor.
const PATCH_FACTOR: usize = 4;

/// A key with its newest value, or `None` if it was removed, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    key: String,
    value: Option<String>,
    /// How to make the value from the previous one of the key, in place of the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    patch: Option<Patch>,
}

/// Update of one table, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Part {
    /// The table's index in [`super::TABLES`].
    place: usize,
    /// The offset of the first change; `None` if the whole table is sent.
    from: Option<u64>,
    /// The offset after the last change.
    end: u64,
    /// The era of both offsets; earlier versions of the program send none.
    #[serde(default)]
    era: Era,
    entries: Vec<Entry>,
}

impl Part {
    /// The table's index in [`super::TABLES`].
    pub(super) fn place(&self) -> usize {
        self.place
    }

    /// The offset of the first change; `None` if the whole table is sent.
    pub(super) fn from(&self) -> Option<u64> {
        self.from
    }

    /// The position after the last change.
    pub(super) fn end(&self) -> Position {
        Position::new(self.era, self.end)
    }

    /// The records of a whole table.
    pub(super) fn into_records(self) -> Vec<Record> {
        let entries = self.entries.into_iter();
        entries.map(|entry| Record { key: entry.key, value: entry.value }).collect()
    }
}

/// The known records of one table.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    /// The newest value of each key that has one.
    newest: BTreeMap<Box<str>, Box<str>>,
    /// Size of these keys and values, in bytes.
    newest_bytes: usize,
    /// The latest changes, the last of which ends at `end`.
    recent: VecDeque<Entry>,
    /// Size of the recent changes, in bytes.
    recent_bytes: usize,
    end: Position,
    /// Digests of the values read from the store since it was restored from a backup: other known values may be newer
    /// than those in the store. `None` if it was not restored.
    restored: Option<BTreeMap<Box<str>, u64>>,
}

/// Where a whole table was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Store,
    /// Another instance, which may know newer values than a restored store.
    Instance,
}

fn digest(value: &str) -> u64 {
    xxh3_64(value.as_bytes())
}

/// The keys of these records that have a value, with its digest.
fn digests(records: &[Record]) -> BTreeMap<Box<str>, u64> {
    let values =
        records.iter().filter_map(|record| Some((record.key.as_str(), record.value.as_ref()?)));
    values.map(|(key, value)| (key.into(), digest(value))).collect()
}

impl Entry {
    /// Size in bytes.
    fn byte_len(&self) -> usize {
        let patch = self.patch.as_ref().map_or(0, Patch::byte_len);
        self.key.len() + self.value.as_ref().map_or(0, String::len) + patch
    }

    /// Whether it removes the key.
    fn is_removal(&self) -> bool {
        self.value.is_none() && self.patch.is_none()
    }
}

impl Log {
    /// The position up to which the table is known.
    pub(super) fn end(&self) -> Position {
        self.end
    }

    /// The keys that have a value, with the value.
    pub(super) fn keys(&self) -> impl Iterator<Item = (&str, &str)> {
        self.newest.iter().map(|(key, value)| (&**key, &**value))
    }

    /// The newest value of a key.
    pub(super) fn value(&self, key: &str) -> Option<&str> {
        self.newest.get(key).map(|value| &**value)
    }

    /// Whether known values may be newer than those in the store, which was restored from a backup.
    pub(super) fn is_restored(&self) -> bool {
        self.restored.is_some()
    }

    /// Replaces all values with those of a whole table that ends at `end`.
    pub(super) fn replace(&mut self, records: &[Record], end: Position) {
        self.restart(end);
        self.newest.clear();
        self.newest_bytes = 0;
        for record in records {
            if let Some(value) = &record.value {
                self.put(&record.key, value);
            }
        }
    }

    /// Takes over a whole table of a restored store that ends at `end`: values of unknown keys, and what was written
    /// or removed since an earlier read.
    pub(super) fn complete(&mut self, records: &[Record], end: Position, source: Source) {
        self.restart(end);
        let before = self.restored.take().unwrap_or_default();
        let read = digests(records);
        for key in before.keys().filter(|key| !read.contains_key(*key)) {
            self.remove(key);
        }
        for record in records {
            let Some(value) = &record.value else { continue };
            let written = before.get(record.key.as_str()).is_some_and(|old| *old != digest(value));
            if written || !self.newest.contains_key(record.key.as_str()) {
                self.put(&record.key, value);
            }
        }
        self.restored = Some(match source {
            Source::Store => read,
            Source::Instance => before,
        });
    }

    /// Forgets what was read from the store, which was restored from another backup.
    pub(super) fn forget_reads(&mut self) {
        self.restored = None;
    }

    /// Forgets the latest changes; the table is known up to `end`.
    fn restart(&mut self, end: Position) {
        self.end = end;
        self.recent.clear();
        self.recent_bytes = 0;
    }

    /// Applies changes, the last of which ends at `end`.
    pub(super) fn append(&mut self, records: &[Record], end: Position) {
        for record in records {
            self.push(record, None);
        }
        self.end = end;
        self.trim();
    }

    /// Sets the newest value of a key. Returns the previous one.
    pub(super) fn put(&mut self, key: &str, value: &str) -> Option<Box<str>> {
        self.newest_bytes += key.len() + value.len();
        let previous = self.newest.insert(key.into(), value.into());
        self.newest_bytes -= previous.as_ref().map_or(0, |previous| key.len() + previous.len());
        previous
    }

    fn remove(&mut self, key: &str) {
        let previous = self.newest.remove(key);
        self.newest_bytes -= previous.map_or(0, |value| key.len() + value.len());
    }

    /// Applies a change, and keeps it as the latest one: as `patch` if it was received as one, or as a new patch if its
    /// value is long.
    fn push(&mut self, record: &Record, patch: Option<Patch>) {
        let patch = match &record.value {
            Some(value) => {
                let previous = self.put(&record.key, value);
                let previous = previous.filter(|_| value.len() >= MIN_PATCHED_BYTES);
                let patch = patch.or_else(|| Some(Patch::new(&previous?, value)));
                patch.filter(|patch| patch.byte_len() < value.len() / PATCH_FACTOR)
            }
            None => {
                self.remove(&record.key);
                None
            }
        };
        if let Some(restored) = &mut self.restored {
            match &record.value {
                Some(value) => restored.insert(record.key.as_str().into(), digest(value)),
                None => restored.remove(record.key.as_str()),
            };
        }
        let value = if patch.is_some() { None } else { record.value.clone() };
        let entry = Entry { key: record.key.clone(), value, patch };
        self.recent_bytes += entry.byte_len();
        self.recent.push_back(entry);
    }

    /// Applies the changes of a part, of which the first `known` are known. If a patch was not made from the value known
    /// here, the table counts as unknown from there on, so that it is sent whole, and this returns `None`.
    pub(super) fn append_entries(&mut self, part: Part, known: usize) -> Option<Vec<Record>> {
        let end = part.end();
        let mut records = Vec::new();
        for entry in part.entries.into_iter().skip(known) {
            let value = match &entry.patch {
                None => entry.value,
                Some(patch) => {
                    let previous = self.newest.get(entry.key.as_str());
                    let Some(value) = previous.and_then(|previous| patch.apply(previous)) else {
                        log::warn!(key = entry.key.as_str(); "a patch does not fit the known value; the table is fetched whole");
                        self.restart(Position::default());
                        return None;
                    };
                    Some(value)
                }
            };
            let record = Record { key: entry.key, value };
            self.push(&record, entry.patch);
            records.push(record);
        }
        self.end = end;
        self.trim();
        Some(records)
    }

    /// Drops the oldest recent changes beyond the limits.
    fn trim(&mut self) {
        let max = MAX_RECENT.max(self.newest.len() / RECENT_DIVISOR);
        let max_bytes = MAX_RECENT_BYTES.max(self.newest_bytes / RECENT_DIVISOR);
        while self.recent.len() > max || self.recent_bytes > max_bytes {
            let Some(oldest) = self.recent.pop_front() else { return };
            self.recent_bytes -= oldest.byte_len();
        }
    }

    /// Number of recent changes that an instance at `end` lacks; `None` if it lacks more than are kept, or knows
    /// another era of the table.
    fn missing(&self, end: Position) -> Option<usize> {
        let missing = if end >= self.end { 0 } else { self.end.since(end)? as usize };
        (missing <= self.recent.len()).then_some(missing)
    }

    /// Like [`Log::missing`]; `None` also if the receiver cannot read them.
    fn readable(&self, end: Position, form: Form) -> Option<usize> {
        let missing = self.missing(end)?;
        let mut changes = self.recent.iter().rev().take(missing);
        let is_readable = form == Form::Patches || changes.all(|entry| entry.patch.is_none());
        is_readable.then_some(missing)
    }

    /// Whether the changes that an instance at `end` lacks hold a removal after `confirmed`.
    pub(super) fn removes_beyond(&self, end: Position, confirmed: Position) -> bool {
        let missing = self.missing(end).unwrap_or(0) as u64;
        let offsets = (0..missing).map(|back| self.end.offset - back);
        let mut changes = self.recent.iter().rev().zip(offsets);
        changes.any(|(entry, offset)| {
            entry.is_removal() && Position::new(self.end.era, offset) > confirmed
        })
    }

    /// Size in bytes of what an instance at `end` lacks.
    pub(super) fn bytes_since(&self, end: Position, form: Form) -> usize {
        match self.readable(end, form) {
            Some(missing) => self.recent.iter().rev().take(missing).map(Entry::byte_len).sum(),
            None => self.newest_bytes,
        }
    }

    /// What an instance at `end` lacks: the changes if all of them are still kept, otherwise the whole table;
    /// `None` if it is up to date.
    pub(super) fn since(&self, place: usize, end: Position, form: Form) -> Option<Part> {
        if end >= self.end {
            return None;
        }
        let Some(missing) = self.readable(end, form) else {
            return Some(self.whole(place));
        };
        let entries = self.recent.iter().skip(self.recent.len() - missing).cloned().collect();
        Some(self.part(place, Some(end.offset), entries))
    }

    /// The whole table.
    pub(super) fn whole(&self, place: usize) -> Part {
        let entries = self.newest.iter().map(|(key, value)| Entry {
            key: key.to_string(),
            value: Some(value.to_string()),
            patch: None,
        });
        self.part(place, None, entries.collect())
    }

    /// A part with these entries, up to the end of the table.
    fn part(&self, place: usize, from: Option<u64>, entries: Vec<Entry>) -> Part {
        Part { place, from, end: self.end.offset, era: self.end.era, entries }
    }
}
