//! The platform's store of small records: the configuration, the backend servers, the instances, and the requests
//! that end backend servers.

use drumusher_log::position::Position;

use crate::{
    Error,
    routing::{Configuration, Server},
};

/// What a table of the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Table {
    /// The operators' configuration, one record.
    Configuration,
    /// Backend servers by identity.
    Servers,
    /// Instances by name.
    Instances,
    /// Requests that end backend servers, by digest.
    Quarantine,
}

impl Table {
    /// Its word in logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Table::Configuration => "configuration",
            Table::Servers => "servers",
            Table::Instances => "instances",
            Table::Quarantine => "quarantine",
        }
    }
}

/// What stands for a key or a value whose bytes are no text. It names nothing, like each value that cannot be
/// understood, and is told on as it is.
pub const UNREADABLE: &str = "";

/// The newest value of a key, or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; `None` if the key is gone.
    pub value: Option<String>,
}

/// All keys of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The newest record of each key.
    pub records: Vec<Record>,
    /// The position from which to read on.
    pub end: Position,
}

/// What a read of changes brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Records in their order, and the position from which to read on.
    Records(Vec<Record>, Position),
    /// The records from that position on are not there, or the store came back from a copy: the whole table is to be read.
    ResyncRequired,
}

/// The store, and how its values are to be understood.
pub trait Store {
    /// Reads a whole table.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn newest(&self, table: Table) -> impl Future<Output = Result<Page, Error>>;

    /// Reads the changes from a position on; waits up to `wait_ms` for one.
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

    /// Writes records of [`Table::Instances`] or [`Table::Quarantine`], all or none, in one call.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; after [`Error::NoAnswer`] they may have been written.
    fn put(&self, table: Table, records: &[Record]) -> impl Future<Output = Result<(), Error>>;

    /// Understands a value of [`Table::Configuration`].
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] with the reason.
    fn configuration(&self, value: &str) -> Result<Configuration, Error>;

    /// Understands a value of [`Table::Servers`].
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] with the reason.
    fn server(&self, key: &str, value: &str) -> Result<Server, Error>;
}
