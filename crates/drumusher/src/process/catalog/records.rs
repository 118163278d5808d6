//! The store's records as they were written, and the updates that bring another instance up to date. Without I/O.

mod table;

use drumusher_log::position::{Era, Position};
use drumusher_platform::catalog::{Record, Table};
use serde::{Deserialize, Serialize};

use self::table::{Log, Part, Source};

/// The tables, in the order of [`Ends`].
pub const TABLES: [Table; 4] =
    [Table::Configuration, Table::Servers, Table::Instances, Table::Quarantine];
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
        let servers = self.parts.iter().find(|part| part.place() == index_of(Table::Servers));
        let whole = servers.filter(|_| !self.doubtful).map_or(Position::default(), Part::end);
        self.confirmed.map_or(whole, |offset| Position::new(self.confirmed_era, offset))
    }

    /// The latest era of the parts.
    pub fn era(&self) -> Era {
        self.parts.iter().map(|part| part.end().era).max().unwrap_or_default()
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
        std::array::from_fn(|index| self.logs[index].end())
    }

    /// The position up to which a table is known.
    pub fn end(&self, table: Table) -> Position {
        self.logs[index_of(table)].end()
    }

    /// Sum of all offsets, which rises with every record within an era.
    pub fn position(&self) -> u64 {
        self.ends().iter().map(|end| end.offset).sum()
    }

    /// Replaces a whole table with one read from the store. Of the configuration in a restored store only unknown keys
    /// and what was written since are taken over, since known ones may have an older value there; [`Records::put`]
    /// inserts a newer one.
    pub fn replace(&mut self, table: Table, records: Vec<Record>, end: Position) -> TableUpdate {
        self.replace_from(Source::Store, table, records, end)
    }

    fn replace_from(
        &mut self,
        source: Source,
        table: Table,
        records: Vec<Record>,
        end: Position,
    ) -> TableUpdate {
        let log = &mut self.logs[index_of(table)];
        let restored = !log.end().is_start() && log.end().era < end.era;
        if restored {
            log.forget_reads();
        }
        if table == Table::Configuration && (restored || log.is_restored()) {
            log.complete(&records, end, source);
            return TableUpdate::Restored(table, records);
        }
        log.replace(&records, end);
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
        self.logs[index_of(table)].append(records, end);
    }

    /// The keys of a table that have a value, with the value.
    pub fn keys(&self, table: Table) -> impl Iterator<Item = (&str, &str)> {
        self.logs[index_of(table)].keys()
    }

    /// The newest value of a key.
    pub fn value(&self, table: Table, key: &str) -> Option<&str> {
        self.logs[index_of(table)].value(key)
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
        let whole = known.is_start() && !log.end().is_start();
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
            without[index] = log.end();
        }
        without
    }

    /// The positions that an instance at `ends` reaches with the update of [`Records::since`].
    pub fn ends_after(&self, ends: &Ends, max_bytes: usize, form: Form) -> Ends {
        std::array::from_fn(|index| {
            let log = &self.logs[index];
            if log.bytes_since(ends[index], form) < max_bytes {
                log.end().max(ends[index])
            } else {
                ends[index]
            }
        })
    }

    /// Applies what is new in an update from another instance.
    pub fn merge(&mut self, update: Update) -> Vec<TableUpdate> {
        let mut updates = Vec::new();
        for part in update.parts {
            let Some(table) = TABLES.get(part.place()).copied() else {
                continue;
            };
            let (own, end) = (self.end(table), part.end());
            match part.from() {
                // After a restore a newer version of the configuration may come with an earlier position: its
                // version number decides.
                None if end <= own && table == Table::Configuration => {
                    updates.push(TableUpdate::Restored(table, part.into_records()));
                }
                _ if end <= own => {}
                None => {
                    let records = part.into_records();
                    updates.push(self.replace_from(Source::Instance, table, records, end));
                }
                Some(from) if own.since(Position::new(end.era, from)).is_some() => {
                    let known = (own.offset - from) as usize;
                    let log = &mut self.logs[part.place()];
                    if let Some(records) = log.append_entries(part, known) {
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
