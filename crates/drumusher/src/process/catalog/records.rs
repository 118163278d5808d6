//! The store's records as they were written, and the updates that bring another instance up to date. Without I/O.

use std::collections::{BTreeMap, VecDeque};

use drumusher_log::position::{Era, Position};
use drumusher_platform::catalog::{Record, Table};
use serde::{Deserialize, Serialize};

use super::Patch;

/// The tables, in the order of [`Ends`].
pub const TABLES: [Table; 4] =
    [Table::Configuration, Table::Servers, Table::Instances, Table::Quarantine];
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

/// The positions up to which the tables are known, in the order of [`TABLES`].
pub type Ends = [Position; TABLES.len()];

/// What the receiver of an update can read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Only whole values, as earlier versions of the program.
    Values,
    /// Also patches of long values.
    Patches,
}

/// A table's index in [`TABLES`].
fn index_of(table: Table) -> usize {
    match table {
        Table::Configuration => 0,
        Table::Servers => 1,
        Table::Instances => 2,
        Table::Quarantine => 3,
    }
}

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
struct Part {
    /// The table's index in [`TABLES`].
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
    /// The position after the last change.
    fn end(&self) -> Position {
        Position::new(self.era, self.end)
    }
}

/// Updates of the store's tables, as sent between instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Whether removals are not confirmed up to the end of the update. For versions of the program before
    /// `confirmed`, which accept no update without it.
    doubtful: bool,
    /// The offset in the table of servers before which removals are confirmed.
    #[serde(default)]
    confirmed: Option<u64>,
    /// The era of that offset.
    #[serde(default)]
    confirmed_era: Era,
    parts: Vec<Part>,
}

impl Update {
    /// The position before which removals are confirmed. A version of the program before `confirmed` confirms
    /// either all of an update or nothing.
    pub fn confirmed(&self) -> Position {
        let servers = self.parts.iter().find(|part| part.place == index_of(Table::Servers));
        let whole = servers.filter(|_| !self.doubtful).map_or(Position::default(), Part::end);
        self.confirmed.map_or(whole, |offset| Position::new(self.confirmed_era, offset))
    }

    /// The latest era of the parts.
    pub fn era(&self) -> Era {
        self.parts.iter().map(|part| part.era).max().unwrap_or_default()
    }
}

/// Effect of an update on one table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableUpdate {
    /// All keys of the table.
    Snapshot(Table, Vec<Record>),
    /// All keys of a table that was known before, from a store that was restored from a backup or from another
    /// instance; the latest writes may be missing.
    Restored(Table, Vec<Record>),
    /// Changes, in order.
    Changes(Table, Vec<Record>),
}

/// The known records of one table.
#[derive(Clone, Debug, Default)]
struct Log {
    /// The newest value of each key that has one.
    newest: BTreeMap<Box<str>, Box<str>>,
    /// Size of these keys and values, in bytes.
    newest_bytes: usize,
    /// The latest changes, the last of which ends at `end`.
    recent: VecDeque<Entry>,
    /// Size of the recent changes, in bytes.
    recent_bytes: usize,
    end: Position,
}

/// The records of all tables, as far as they were read.
#[derive(Clone, Debug, Default)]
pub struct Records {
    logs: [Log; TABLES.len()],
}

impl Records {
    /// Nothing was read yet.
    pub fn new() -> Self {
        Records::default()
    }

    /// The position up to which each table is known.
    pub fn ends(&self) -> Ends {
        std::array::from_fn(|index| self.logs[index].end)
    }

    /// The position up to which a table is known.
    pub fn end(&self, table: Table) -> Position {
        self.logs[index_of(table)].end
    }

    /// Sum of all offsets, which rises with every record within an era.
    pub fn position(&self) -> u64 {
        self.ends().iter().map(|end| end.offset).sum()
    }

    /// Replaces a whole table. Of the configuration in a restored store only unknown keys are taken over, since known
    /// ones may have an older value there; [`Records::put`] inserts a newer one.
    pub fn replace(&mut self, table: Table, records: Vec<Record>, end: Position) -> TableUpdate {
        let log = &mut self.logs[index_of(table)];
        let restored = !log.end.is_start() && log.end.era < end.era;
        log.recent.clear();
        log.recent_bytes = 0;
        log.end = end;
        if restored && table == Table::Configuration {
            for record in &records {
                if let Some(value) = &record.value
                    && !log.newest.contains_key(record.key.as_str())
                {
                    log.put(&record.key, value);
                }
            }
            return TableUpdate::Restored(table, records);
        }
        log.newest.clear();
        log.newest_bytes = 0;
        for record in &records {
            if let Some(value) = &record.value {
                log.put(&record.key, value);
            }
        }
        if restored {
            TableUpdate::Restored(table, records)
        } else {
            TableUpdate::Snapshot(table, records)
        }
    }

    /// Sets a value that is newer than the known one of its key, although it does not come after it in the log.
    pub fn put(&mut self, table: Table, key: &str, value: &str) {
        self.logs[index_of(table)].put(key, value);
    }

    /// Applies changes, the last of which ends at `end`.
    pub fn append(&mut self, table: Table, records: &[Record], end: Position) {
        let log = &mut self.logs[index_of(table)];
        log.end = end;
        for record in records {
            log.push(record, None);
        }
        log.trim();
    }

    /// The keys of a table that have a value, with the value.
    pub fn keys(&self, table: Table) -> impl Iterator<Item = (&str, &str)> {
        let newest = self.logs[index_of(table)].newest.iter();
        newest.map(|(key, value)| (&**key, &**value))
    }

    /// The newest value of a key.
    pub fn value(&self, table: Table, key: &str) -> Option<&str> {
        self.logs[index_of(table)].newest.get(key).map(|value| &**value)
    }

    /// The update for an instance that knows the tables up to `ends`, with the tables whose part is shorter than
    /// `max_bytes`; `None` if there is none.
    pub fn since(
        &self,
        ends: &Ends,
        confirmed: Position,
        max_bytes: usize,
        form: Form,
    ) -> Option<Update> {
        let logs = self.logs.iter().enumerate();
        let short = logs.filter(|(index, log)| log.bytes_since(ends[*index], form) < max_bytes);
        let parts: Vec<Part> =
            short.filter_map(|(index, log)| log.since(index, ends[index], form)).collect();
        (!parts.is_empty()).then(|| self.update(confirmed, parts))
    }

    /// The update of one table for an instance that knows it up to `known`, or the whole table if that is the
    /// start; `None` if the instance is up to date.
    pub fn of_table(
        &self,
        table: Table,
        known: Position,
        confirmed: Position,
        form: Form,
    ) -> Option<Update> {
        let index = index_of(table);
        let log = &self.logs[index];
        let whole = known.is_start() && !log.end.is_start();
        let part = if whole { log.whole(index) } else { log.since(index, known, form)? };
        Some(self.update(confirmed, vec![part]))
    }

    /// An update of some parts, with the position before which removals are confirmed.
    fn update(&self, confirmed: Position, parts: Vec<Part>) -> Update {
        let doubtful = confirmed < self.end(Table::Servers);
        let (confirmed_era, confirmed) = (confirmed.era, Some(confirmed.offset));
        Update { doubtful, confirmed, confirmed_era, parts }
    }

    /// Positions from which an instance at `ends` gets no update of the servers if that would hold a removal that is not
    /// confirmed. A whole table lists no removals.
    pub fn without_unconfirmed_removals(&self, ends: &Ends, confirmed: Position) -> Ends {
        let index = index_of(Table::Servers);
        let log = &self.logs[index];
        let mut without = *ends;
        if log.removes_beyond(ends[index], confirmed) {
            without[index] = log.end;
        }
        without
    }

    /// The positions that an instance at `ends` reaches with the update of [`Records::since`].
    pub fn ends_after(&self, ends: &Ends, max_bytes: usize, form: Form) -> Ends {
        std::array::from_fn(|index| {
            let log = &self.logs[index];
            if log.bytes_since(ends[index], form) < max_bytes {
                log.end.max(ends[index])
            } else {
                ends[index]
            }
        })
    }

    /// Applies what is new in an update from another instance.
    pub fn merge(&mut self, update: Update) -> Vec<TableUpdate> {
        let mut updates = Vec::new();
        for part in update.parts {
            let Some(table) = TABLES.get(part.place).copied() else {
                continue;
            };
            let (own, end) = (self.end(table), part.end());
            let entries = part.entries.into_iter();
            let records =
                entries.clone().map(|entry| Record { key: entry.key, value: entry.value });
            match part.from {
                // After a restore a newer version of the configuration may come with an earlier position: its
                // version number decides.
                None if end <= own && table == Table::Configuration => {
                    updates.push(TableUpdate::Restored(table, records.collect()));
                }
                _ if end <= own => {}
                None => updates.push(self.replace(table, records.collect(), end)),
                Some(from) if own.since(Position::new(end.era, from)).is_some() => {
                    let known = (own.offset - from) as usize;
                    let log = &mut self.logs[part.place];
                    if let Some(records) = log.append_entries(entries.skip(known), end) {
                        updates.push(TableUpdate::Changes(table, records));
                    }
                }
                // There is a gap before these changes; the next heartbeat requests them again.
                Some(_) => {}
            }
        }
        updates
    }
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
    /// Sets the newest value of a key. Returns the previous one.
    fn put(&mut self, key: &str, value: &str) -> Option<Box<str>> {
        self.newest_bytes += key.len() + value.len();
        let previous = self.newest.insert(key.into(), value.into());
        self.newest_bytes -= previous.as_ref().map_or(0, |previous| key.len() + previous.len());
        previous
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
                let previous = self.newest.remove(record.key.as_str());
                self.newest_bytes -= previous.map_or(0, |value| record.key.len() + value.len());
                None
            }
        };
        let value = if patch.is_some() { None } else { record.value.clone() };
        let entry = Entry { key: record.key.clone(), value, patch };
        self.recent_bytes += entry.byte_len();
        self.recent.push_back(entry);
    }

    /// Applies changes that another instance sent, the last of which ends at `end`. If a patch was not made from the
    /// value known here, the table counts as unknown from there on, so that it is sent whole, and this returns `None`.
    fn append_entries(
        &mut self,
        entries: impl Iterator<Item = Entry>,
        end: Position,
    ) -> Option<Vec<Record>> {
        let mut records = Vec::new();
        for entry in entries {
            let value = match &entry.patch {
                None => entry.value,
                Some(patch) => {
                    let previous = self.newest.get(entry.key.as_str());
                    let Some(value) = previous.and_then(|previous| patch.apply(previous)) else {
                        log::warn!(key = entry.key.as_str(); "a patch does not fit the known value; the table is fetched whole");
                        self.end = Position::default();
                        self.recent.clear();
                        self.recent_bytes = 0;
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
    fn removes_beyond(&self, end: Position, confirmed: Position) -> bool {
        let missing = self.missing(end).unwrap_or(0) as u64;
        let offsets = (0..missing).map(|back| self.end.offset - back);
        let mut changes = self.recent.iter().rev().zip(offsets);
        changes.any(|(entry, offset)| {
            entry.is_removal() && Position::new(self.end.era, offset) > confirmed
        })
    }

    /// Size in bytes of what an instance at `end` lacks.
    fn bytes_since(&self, end: Position, form: Form) -> usize {
        match self.readable(end, form) {
            Some(missing) => self.recent.iter().rev().take(missing).map(Entry::byte_len).sum(),
            None => self.newest_bytes,
        }
    }

    /// What an instance at `end` lacks: the changes if all of them are still kept, otherwise the whole table;
    /// `None` if it is up to date.
    fn since(&self, place: usize, end: Position, form: Form) -> Option<Part> {
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
    fn whole(&self, place: usize) -> Part {
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
