//! Entries that were passed over because they cannot be understood. Without I/O.
//!
//! Anybody may write to some tables, and a table is read many times: each such entry has one line in the log,
//! not one at each reading.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use drumusher_platform::catalog::Table;

/// Most entries that are remembered; beyond them all are forgotten, and may have a line once more.
const MOST: usize = 1_024;

/// The entries that were passed over, by table and key.
#[derive(Debug, Default)]
pub struct Passed {
    /// With a digest of the value: an entry that changed has a new line.
    seen: BTreeMap<(Table, String), u64>,
}

impl Passed {
    /// None yet.
    pub fn new() -> Self {
        Passed::default()
    }

    /// An entry is passed over. Returns whether that is new.
    pub fn note(&mut self, table: Table, key: &str, value: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        let digest = hasher.finish();
        if self.seen.len() >= MOST {
            self.seen.clear();
        }
        self.seen.insert((table, key.to_string()), digest) != Some(digest)
    }
}
