//! Bootstrapping the configuration state when the log's oldest records are gone.

use crate::config::{Record, State, apply};

/// A record as read from the platform's log.
#[derive(Clone, Debug, PartialEq)]
pub struct RawRecord {
    /// Its offset.
    pub offset: u64,
    /// When the platform accepted it, in Unix milliseconds.
    pub time_ms: u64,
    /// Its undecoded bytes.
    pub body: Vec<u8>,
}

/// Collects records from the oldest retained one until the state they lead to is known.
#[derive(Debug)]
pub struct Boot {
    first: u64,
    records: Vec<RawRecord>,
    base: Option<State>,
}

impl Boot {
    /// Starts at `first`, the oldest retained offset. With 0, no records are missing.
    pub fn new(first: u64) -> Self {
        let base = (first == 0).then(State::new);
        Boot { first, records: Vec::new(), base }
    }

    /// Adds a snapshot or another instance's state as a base. Used if it is newer than the current base and no
    /// retained record is missing after it.
    pub fn offer(&mut self, state: State) {
        let newer = self.base.as_ref().is_none_or(|base| state.next > base.next);
        let is_contiguous = state.next >= self.first;
        if newer && is_contiguous {
            self.base = Some(state);
        }
    }

    /// Adds the next record in offset order.
    pub fn push(&mut self, raw: RawRecord) {
        let snapshot = match serde_json::from_slice(&raw.body) {
            Ok(Record::Snapshot { state }) => Some(*state),
            _ => None,
        };
        self.records.push(raw);
        if let Some(state) = snapshot {
            self.offer(state);
        }
    }

    /// The state after all added records, or `None` while there is no base for them.
    pub fn finish(&self) -> Option<State> {
        let mut state = self.base.clone()?;
        for raw in &self.records {
            apply(&mut state, raw.offset, raw.time_ms, &raw.body);
        }
        Some(state)
    }
}
