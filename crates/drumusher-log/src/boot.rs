//! Finding the state to begin from when the log's oldest records are gone.

use crate::config::{Record, State, apply};

/// A record as the platform gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct RawRecord {
    /// Its offset.
    pub offset: u64,
    /// When the platform took it, in milliseconds since 1970.
    pub time_ms: u64,
    /// Its bytes.
    pub body: Vec<u8>,
}

/// Collects records from the oldest kept one until a state is certain.
#[derive(Debug)]
pub struct Boot {
    first: u64,
    records: Vec<RawRecord>,
    base: Option<State>,
}

impl Boot {
    /// Begins at `first`, the oldest offset kept. With all records from 0 on nothing is missing.
    pub fn new(first: u64) -> Self {
        let base = (first == 0).then(State::new);
        Boot { first, records: Vec::new(), base }
    }

    /// Takes a peer's state, which serves when the log has no usable snapshot.
    pub fn offer(&mut self, state: State) {
        let newer = self.base.as_ref().is_none_or(|base| state.next > base.next);
        let joins = state.next >= self.first;
        if newer && joins {
            self.base = Some(state);
        }
    }

    /// Takes the next record in offset order.
    pub fn push(&mut self, kept: RawRecord) {
        let snapshot = match serde_json::from_slice(&kept.body) {
            Ok(Record::Snapshot { state }) => Some(*state),
            _ => None,
        };
        self.records.push(kept);
        if let Some(state) = snapshot {
            self.offer(state);
        }
    }

    /// The state after all records pushed, or `None` while it is not certain.
    pub fn finish(&self) -> Option<State> {
        let mut state = self.base.clone()?;
        for kept in &self.records {
            apply(&mut state, kept.offset, kept.time_ms, &kept.body);
        }
        Some(state)
    }
}
