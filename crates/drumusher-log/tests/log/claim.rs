//! The claim fold: at most one attempt at a key is ever told that it holds it.

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

fn fold(records: &[Record]) -> Index {
    let mut index = Index::new(0);
    for (offset, record) in records.iter().enumerate() {
        let read = index.apply(offset as u64, offset as u64, &body(record));
        assert_eq!(read.as_ref(), Some(record), "a record survives the log");
    }
    index
}

#[test]
fn the_first_claim_wins() {
    let index = fold(&[claim(1, 10), claim(1, 11)]);
    assert_eq!(index.get(Key(1)).map(|claim| claim.attempt), Some(Attempt(10)));
}

#[test]
fn only_the_claimant_releases() {
    let index = fold(&[claim(1, 10), release(1, 11)]);
    assert!(index.get(Key(1)).is_some());
    let index = fold(&[claim(1, 10), release(1, 10), claim(1, 11)]);
    assert_eq!(index.get(Key(1)).map(|claim| claim.attempt), Some(Attempt(11)));
}

#[test]
fn what_ran_is_never_released() {
    let index = fold(&[claim(1, 10), done(1, 10), release(1, 10), claim(1, 11)]);
    let claim = index.get(Key(1)).expect("the claim stays");
    assert_eq!(claim.attempt, Attempt(10));
    assert!(matches!(claim.status, Status::Done(_)));
}

#[test]
fn claims_are_forgotten_after_the_retention() {
    let mut index = fold(&[claim(1, 10), claim(2, 20), claim(3, 30)]);
    index.forget_before(2);
    assert_eq!((index.len(), index.get(Key(3)).is_some()), (1, true));
}

/// One step of a claimant: appends take effect, are lost, are doubled; it pauses and goes on.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A claimant appends its claim, perhaps again after a lost answer.
    Claim(u8),
    /// A claimant reads the whole log and acts on what it finds.
    Read(u8),
    /// A claimant that was refused elsewhere gives its claim back, unless it handed over.
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
    /// Four claimants of one key, in any interleaving of appends, repeats, reads and pauses: the
    /// request is handed over at most once, and whoever gave up never hands over.
    #[test]
    fn a_key_is_handed_over_at_most_once(steps in steps()) {
        let mut log = Vec::new();
        let mut handed_over = BTreeSet::new();
        let mut gave_up: BTreeMap<u8, bool> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Claim(who) => {
                    // After a release the same attempt is never claimed again.
                    if !gave_up.contains_key(&who) {
                        log.push(claim(1, u128::from(who)));
                    }
                }
                Step::Read(who) => {
                    let own = claim(1, u128::from(who));
                    if gave_up.contains_key(&who) || !log.contains(&own) {
                        continue;
                    }
                    let holder = fold(&log).get(Key(1)).map(|claim| claim.attempt);
                    if holder == Some(Attempt(u128::from(who))) {
                        handed_over.insert(who);
                    }
                }
                Step::GiveUp(who) => {
                    if !handed_over.contains(&who) && log.contains(&claim(1, u128::from(who))) {
                        gave_up.insert(who, true);
                        log.push(release(1, u128::from(who)));
                    }
                }
            }
        }
        prop_assert!(handed_over.len() <= 1, "{handed_over:?}");
    }
}
