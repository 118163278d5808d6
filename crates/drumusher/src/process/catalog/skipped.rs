//! Malformed entries that were skipped. Without I/O.
//!
//! Any client may write to some tables, and a table is read many times: each such entry is logged once, not at each
//! read.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use drumusher_platform::catalog::Table;

/// Number of entries to remember; beyond it all are forgotten, and may be logged once more.
const MAX_ENTRIES: usize = 1_024;

/// The skipped entries, by table and key.
#[derive(Debug, Default)]
pub struct Skipped {
    /// Hash of the value, so that an entry that changed is logged again.
    seen: BTreeMap<(Table, String), u64>,
}

impl Skipped {
    /// No entry was skipped yet.
    pub fn new() -> Self {
        Skipped::default()
    }

    /// Records a skipped entry. Returns whether it is new or has changed.
    pub fn record(&mut self, table: Table, key: &str, value: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        let digest = hasher.finish();
        if self.seen.len() >= MAX_ENTRIES {
            self.seen.clear();
        }
        self.seen.insert((table, key.to_string()), digest) != Some(digest)
    }
}
