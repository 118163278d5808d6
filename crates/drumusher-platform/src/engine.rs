//! Queries to model engines.

use ntex::time::Millis;

use crate::{Error, dialect::Part};

/// A position in the changes of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Position {
    /// Identifies a run of the engine: after a restart its cache is empty, and its changes are
    /// numbered anew.
    pub epoch: String,
    /// Number of the next change.
    pub next: u64,
}

/// Changes of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The position after these changes.
    pub position: Position,
    /// Whether the engine no longer has some changes before these.
    pub lost: bool,
    /// Parts that are cached after these changes and were added by them.
    pub added: Vec<Part>,
    /// IDs of parts that are not cached as a whole after these changes.
    pub removed: Vec<u64>,
    /// Number of malformed rows, which were skipped.
    pub malformed: usize,
}

/// The whole content of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    /// The position of the changes that follow.
    pub position: Position,
    /// The cached parts.
    pub parts: Vec<Part>,
    /// Number of malformed rows, which were skipped.
    pub malformed: usize,
}

/// Queries to model engines.
pub trait Engines {
    /// The parts of prompts in the cache of the engine at `address` (`ip:port`).
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn cached_parts(&self, address: &str) -> impl Future<Output = Result<Vec<Part>, Error>>;

    /// The changes of the cache of the engine at `address` (`ip:port`) from number `since` on.
    /// Without any, the engine responds after `wait`.
    ///
    /// # Errors
    ///
    /// Any [`Error`]. [`Error::Unavailable`] with status 429 if too many calls wait at the engine.
    fn cache_changes(
        &self,
        address: &str,
        since: u64,
        wait: Millis,
    ) -> impl Future<Output = Result<Changes, Error>>;

    /// The whole content of the cache of the engine at `address` (`ip:port`). The query delays the
    /// engine's work.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn cache_content(&self, address: &str) -> impl Future<Output = Result<Content, Error>>;
}
