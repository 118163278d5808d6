//! Malformed entries that were skipped. Without I/O.
//!
//! Any client may write to some tables, and a table is read many times: each such entry is logged once, not at each
//! read, and the number of lines is limited, since an entry may change all the time.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use drumusher_platform::catalog::Table;
use drumusher_schedule::time::{Micros, SECOND};

/// Number of entries to remember; beyond it all are forgotten.
const MAX_ENTRIES: usize = 65_536;
/// Time after which the lines are counted anew.
const LOG_WINDOW: Micros = 10 * SECOND;
/// Maximum number of lines within [`LOG_WINDOW`].
const MAX_LINES: u32 = 64;

/// The skipped entries, by table and key.
#[derive(Debug, Default)]
pub struct Skipped {
    /// Hashes of the table and key, and of the value, so that an entry that changed is logged again.
    seen: BTreeMap<u64, u64>,
    /// Start of the window in which lines are counted.
    window_start: Micros,
    /// Number of lines since then.
    lines: u32,
    /// Number of entries since the latest line that got none.
    unlogged: u64,
}

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl Skipped {
    /// No entry was skipped yet.
    pub fn new() -> Self {
        Skipped::default()
    }

    /// Records a skipped entry. Returns whether it is new or has changed.
    pub fn record(&mut self, table: Table, key: &str, value: &str) -> bool {
        if self.seen.len() >= MAX_ENTRIES {
            self.seen.clear();
        }
        let digest = hash(value);
        self.seen.insert(hash((table, key)), digest) != Some(digest)
    }

    /// Counts a line for a recorded entry. Returns the number of entries since the previous line that got none; `None` if
    /// this entry gets none.
    pub fn log_line(&mut self, now: Micros) -> Option<u64> {
        if now >= self.window_start + LOG_WINDOW {
            (self.window_start, self.lines) = (now, 0);
        }
        if self.lines == MAX_LINES {
            self.unlogged += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.unlogged))
    }
}
