//! Whether an instance dispatches a pool for others.

use drumusher::process::dispatch::Requesters;
use drumusher_schedule::{ask::Entry, time::SECOND};
use rstest::rstest;

#[rstest]
#[case::alone(1, 0, true)]
#[case::for_itself_among_nine(9, 0, false)]
#[case::for_one_of_nine(9, 1, true)]
#[case::for_itself_among_hundreds(295, 0, false)]
#[case::for_some_that_lost_their_way(295, 17, false)]
#[case::for_a_zone(295, 48, true)]
fn a_pool_is_led_when_enough_others_ask(
    #[case] instances: usize,
    #[case] asking: u32,
    #[case] led: bool,
) {
    let mut askers = Requesters::new();
    (1..=asking).for_each(|number| askers.add(SECOND, Entry(number)));
    assert_eq!(askers.serves_others(instances), led);
}

#[test]
fn the_role_ends_when_nobody_asks_any_more() {
    let mut askers = Requesters::new();
    askers.add(SECOND, Entry(1));
    askers.expire(2 * SECOND);
    assert!(askers.serves_others(3));
    askers.expire(10 * SECOND);
    assert!(!askers.serves_others(3));
}

#[test]
fn those_that_are_gone_do_not_count() {
    let mut askers = Requesters::new();
    askers.add(SECOND, Entry(1));
    askers.remove(Entry(1));
    assert!(!askers.serves_others(3));
}
