//! Finding the state to begin from.

use drumusher_log::{
    boot::{Boot, RawRecord},
    config::{Record, State, Verb, apply},
};
use proptest::prelude::*;

use crate::support::{class, command};

fn kept(offset: u64, body: Vec<u8>) -> RawRecord {
    RawRecord { offset, time_ms: 0, body }
}

/// A log of `count` commands with a snapshot, taken at `taken`, at offset `at`.
fn log(count: u64, taken: u64, at: u64) -> Vec<RawRecord> {
    let mut state = State::new();
    let mut snapshot = State::new();
    let mut records = Vec::new();
    for offset in 0..count {
        let body = if offset == at {
            let record = Record::Snapshot { state: Box::new(snapshot.clone()) };
            serde_json::to_vec(&record).expect("records can be written")
        } else {
            let change = class(Verb::Create, &format!("class-{offset}"), offset as f64, None);
            command(&format!("nonce-{offset}"), change)
        };
        apply(&mut state, offset, 0, &body);
        if state.next == taken {
            snapshot = state.clone();
        }
        records.push(kept(offset, body));
    }
    records
}

fn straight(records: &[RawRecord]) -> State {
    let mut state = State::new();
    for record in records {
        apply(&mut state, record.offset, record.time_ms, &record.body);
    }
    state
}

fn boot(records: &[RawRecord], first: usize) -> Option<State> {
    let mut boot = Boot::new(first as u64);
    for record in &records[first..] {
        boot.push(record.clone());
    }
    boot.finish()
}

#[test]
fn without_its_oldest_records_and_a_snapshot_no_state_is_certain() {
    let records = log(10, 20, 20);
    assert_eq!(boot(&records, 1), None);
    assert_eq!(boot(&records, 0), Some(straight(&records)));
}

#[test]
fn a_snapshot_whose_successors_are_gone_is_of_no_use() {
    // Taken after record 3, appended as record 8, when records 4 and 5 are already gone.
    let records = log(10, 4, 8);
    assert_eq!(boot(&records, 6), None);
}

#[test]
fn a_peers_state_serves_when_the_log_has_no_snapshot() {
    let records = log(10, 20, 20);
    let mut boot = Boot::new(5);
    boot.offer(straight(&records[..6]));
    for record in &records[5..] {
        boot.push(record.clone());
    }
    assert_eq!(boot.finish(), Some(straight(&records)));
}

proptest! {
    #[test]
    fn boot_reaches_the_state_of_the_whole_log_or_none(
        count in 1u64..30, taken in 1u64..30, late in 0u64..10, first in 0usize..30,
    ) {
        let records = log(count, taken, taken + late);
        let first = first.min(records.len());
        if let Some(state) = boot(&records, first) {
            prop_assert_eq!(state, straight(&records));
        }
    }
}
