//! Whether an instance dispatches a pool for others.

use drumusher::process::dispatch::Requesters;
use drumusher_schedule::{ask::Entry, time::SECOND};
use rstest::rstest;

#[rstest]
#[case::alone(1, 0, true)]
#[case::for_itself_among_nine(9, 0, false)]
#[case::for_one_of_nine(9, 1, true)]
#[case::for_itself_among_hundreds(295, 0, false)]
#[case::for_a_few_misdirected(295, 17, false)]
#[case::for_a_zone(295, 48, true)]
fn a_pool_is_dispatched_for_others_if_enough_ask(
    #[case] instances: usize,
    #[case] requesting: u32,
    #[case] dispatched: bool,
) {
    let mut requesters = Requesters::new();
    (1..=requesting).for_each(|number| requesters.add(SECOND, Entry(number)));
    assert_eq!(requesters.serves_others(instances), dispatched);
}

#[test]
fn requesters_expire() {
    let mut requesters = Requesters::new();
    requesters.add(SECOND, Entry(1));
    requesters.expire(2 * SECOND);
    assert!(requesters.serves_others(3));
    requesters.expire(10 * SECOND);
    assert!(!requesters.serves_others(3));
}

#[test]
fn removed_requesters_do_not_count() {
    let mut requesters = Requesters::new();
    requesters.add(SECOND, Entry(1));
    requesters.remove(Entry(1));
    assert!(!requesters.serves_others(3));
}
