//! Bootstrapping the configuration state.

use drumusher_log::{
    boot::{Boot, RawRecord},
    config::{Record, State, Verb, apply},
};
use proptest::prelude::*;

use crate::support::{class, command};

fn raw(offset: u64, body: Vec<u8>) -> RawRecord {
    RawRecord { offset, time_ms: 0, body }
}

/// A log of `count` commands, and at offset `at` a snapshot of the state before offset `taken`.
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
        records.push(raw(offset, body));
    }
    records
}

fn replay(records: &[RawRecord]) -> State {
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
fn a_log_without_its_oldest_records_needs_a_snapshot() {
    let records = log(10, 20, 20);
    assert_eq!(boot(&records, 1), None);
    assert_eq!(boot(&records, 0), Some(replay(&records)));
}

#[test]
fn a_snapshot_is_unusable_when_records_after_it_are_missing() {
    // The snapshot has the state after record 3, and is appended as record 8 when records 4 and 5 are already gone.
    let records = log(10, 4, 8);
    assert_eq!(boot(&records, 6), None);
}

#[test]
fn a_state_from_another_instance_replaces_a_snapshot() {
    let records = log(10, 20, 20);
    let mut boot = Boot::new(5);
    boot.offer(replay(&records[..6]));
    for record in &records[5..] {
        boot.push(record.clone());
    }
    assert_eq!(boot.finish(), Some(replay(&records)));
}

proptest! {
    #[test]
    fn boot_yields_the_state_of_the_whole_log_or_none(
        count in 1u64..30, taken in 1u64..30, late in 0u64..10, first in 0usize..30,
    ) {
        let records = log(count, taken, taken + late);
        let first = first.min(records.len());
        if let Some(state) = boot(&records, first) {
            prop_assert_eq!(state, replay(&records));
        }
    }
}
