//! The platform's store of small records: the configuration, the backend servers, the instances, and the
//! quarantine of requests that crash backend servers.

use drumusher_log::position::Position;

use crate::{
    Error,
    duty::Published,
    routing::{Configuration, Server},
};

/// A table of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Table {
    /// The operators' configuration, in one record, and the availability zones that they evacuate, in one record each.
    Configuration,
    /// Backend servers by ID.
    Servers,
    /// Instances by name.
    Instances,
    /// Quarantined requests, by digest.
    Quarantine,
}

impl Table {
    /// Its name in logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Table::Configuration => "configuration",
            Table::Servers => "servers",
            Table::Instances => "instances",
            Table::Quarantine => "quarantine",
        }
    }
}

/// Replacement for a key or value that is not valid UTF-8. Like every value that cannot be parsed it
/// describes no object; it is passed on to other instances unchanged.
pub const UNREADABLE: &str = "";

/// The latest value of a key, or its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was removed.
    pub value: Option<String>,
}

/// The content of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The latest record of each key.
    pub records: Vec<Record>,
    /// The position from which to continue reading.
    pub end: Position,
}

/// Result of reading changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Records in order, and the position from which to continue reading.
    Records(Vec<Record>, Position),
    /// The records from the requested position on are not available, or the store was restored from a backup:
    /// the whole table has to be read again.
    ResyncRequired,
}

/// Access to the store, and parsing of its values.
pub trait Store {
    /// Reads a whole table.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn newest(&self, table: Table) -> impl Future<Output = Result<Page, Error>>;

    /// Reads the changes from a position on; waits up to `wait_ms` milliseconds for one.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn changes(
        &self,
        table: Table,
        from: Position,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes, Error>>;

    /// Writes records of [`Table::Instances`] or [`Table::Quarantine`] in one call, all or none of them.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; after [`Error::NoAnswer`] the records may have been written.
    fn put(&self, table: Table, records: &[Record]) -> impl Future<Output = Result<(), Error>>;

    /// Reads the few records that an instance reads first when it starts.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn start_records(&self) -> impl Future<Output = Result<Vec<Record>, Error>>;

    /// Writes such records in one call, all or none of them.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; after [`Error::NoAnswer`] they may have been written.
    fn put_start_records(&self, records: &[Record]) -> impl Future<Output = Result<(), Error>>;

    /// Appends a record to those of streams, which are kept for the store's retention time.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; after [`Error::NoAnswer`] it may have been written.
    fn publish_streams(&self, value: &str) -> impl Future<Output = Result<(), Error>>;

    /// Reads these records from a position on.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn read_streams(&self, from: Position) -> impl Future<Output = Result<Published, Error>>;

    /// Parses a value of [`Table::Configuration`].
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] with the reason.
    fn configuration(&self, value: &str) -> Result<Configuration, Error>;

    /// The availability zone that operators evacuate with the record under `key` in [`Table::Configuration`]; `None` if
    /// it is another record.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Parses the value of `key` in [`Table::Servers`].
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] with the reason.
    fn server(&self, key: &str, value: &str) -> Result<Server, Error>;
}
