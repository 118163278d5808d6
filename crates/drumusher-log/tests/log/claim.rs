//! The claim index: at most one attempt at a key is ever told that it holds the key.

use std::collections::{BTreeMap, BTreeSet};

use drumusher_log::claim::{Answer, Attempt, Index, Key, Record, Status};
use proptest::prelude::*;

fn body(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("records can be written")
}

fn claim(key: u128, attempt: u128) -> Record {
    let (key, attempt) = (Key(key), Attempt(attempt));
    Record::Claim { key, attempt, instance: "suva-1".into(), request: 7 }
}

fn release(key: u128, attempt: u128) -> Record {
    Record::Release { key: Key(key), attempt: Attempt(attempt) }
}

fn done(key: u128, attempt: u128) -> Record {
    let answer = Answer { status: 200, content_type: "text/plain".into(), body: None };
    Record::Done { key: Key(key), attempt: Attempt(attempt), answer }
}

fn replay(records: &[Record]) -> Index {
    let mut index = Index::new(0);
    for (offset, record) in records.iter().enumerate() {
        let read = index.apply(offset as u64, offset as u64, &body(record));
        assert_eq!(read.as_ref(), Some(record), "a record survives the log");
    }
    index
}

#[test]
fn the_first_claim_wins() {
    let index = replay(&[claim(1, 10), claim(1, 11)]);
    assert_eq!(index.get(Key(1)).map(|claim| claim.attempt), Some(Attempt(10)));
}

#[test]
fn only_the_claimant_can_release_a_claim() {
    let index = replay(&[claim(1, 10), release(1, 11)]);
    assert!(index.get(Key(1)).is_some());
    let index = replay(&[claim(1, 10), release(1, 10), claim(1, 11)]);
    assert_eq!(index.get(Key(1)).map(|claim| claim.attempt), Some(Attempt(11)));
}

#[test]
fn a_completed_claim_cannot_be_released() {
    let index = replay(&[claim(1, 10), done(1, 10), release(1, 10), claim(1, 11)]);
    let claim = index.get(Key(1)).expect("the claim stays");
    assert_eq!(claim.attempt, Attempt(10));
    assert!(matches!(claim.status, Status::Done(_)));
}

#[test]
fn claims_expire_after_the_retention() {
    let mut index = replay(&[claim(1, 10), claim(2, 20), claim(3, 30)]);
    index.forget_before(2);
    assert_eq!((index.len(), index.get(Key(3)).is_some()), (1, true));
}

/// A step of a claimant. Appends may be applied, lost or duplicated, and claimants may pause and resume.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Appends the claim, perhaps again after its answer was lost.
    Claim(u8),
    /// Reads the whole log, and runs the request if the claim won.
    Read(u8),
    /// Releases the claim after a refusal elsewhere, unless the request already ran.
    GiveUp(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0u8..4).prop_map(Step::Claim),
        (0u8..4).prop_map(Step::Read),
        (0u8..4).prop_map(Step::GiveUp),
    ];
    proptest::collection::vec(step, 0..60)
}

proptest! {
    /// Four claimants of one key, in any interleaving of appends, duplicates, reads and pauses: the request is run
    /// at most once, and never by a claimant that gave up.
    #[test]
    fn a_claimed_request_runs_at_most_once(steps in steps()) {
        let mut log = Vec::new();
        let mut started = BTreeSet::new();
        let mut gave_up: BTreeMap<u8, bool> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Claim(claimant) => {
                    // After a release the same attempt is never claimed again.
                    if !gave_up.contains_key(&claimant) {
                        log.push(claim(1, u128::from(claimant)));
                    }
                }
                Step::Read(claimant) => {
                    let own = claim(1, u128::from(claimant));
                    if gave_up.contains_key(&claimant) || !log.contains(&own) {
                        continue;
                    }
                    let holder = replay(&log).get(Key(1)).map(|claim| claim.attempt);
                    if holder == Some(Attempt(u128::from(claimant))) {
                        started.insert(claimant);
                    }
                }
                Step::GiveUp(claimant) => {
                    if !started.contains(&claimant) && log.contains(&claim(1, u128::from(claimant))) {
                        gave_up.insert(claimant, true);
                        log.push(release(1, u128::from(claimant)));
                    }
                }
            }
        }
        prop_assert!(started.len() <= 1, "{started:?}");
    }
}
