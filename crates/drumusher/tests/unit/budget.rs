//! The fleet's budget of repeats.

use drumusher::routed::budget::{Bound, Budget};
use drumusher_schedule::time::{MILLISECOND, SECOND};
use proptest::prelude::*;

const BOUND: Bound = Bound { ratio: 0.2, slack: 50.0, window: 10 * SECOND };

#[test]
fn repeats_are_a_share_of_the_requests_and_a_part_of_the_slack() {
    let mut budget = Budget::new(BOUND);
    let granted = (0..100).filter(|_| budget.repeat(SECOND, "s", 5)).count();
    assert_eq!(granted, 8, "a fifth of four fifths of the slack");
    for _ in 0..50 {
        budget.request(2 * SECOND, "s");
    }
    let granted = (0..100).filter(|_| budget.repeat(2 * SECOND, "s", 5)).count();
    assert_eq!(granted, 10, "and a fifth of the requests");
    assert!(budget.repeat(2 * SECOND, "another service", 5));
}

#[test]
fn what_is_older_than_the_window_does_not_count() {
    let mut budget = Budget::new(BOUND);
    while budget.repeat(SECOND, "s", 5) {}
    assert!(!budget.repeat(10 * SECOND, "s", 5));
    assert!(budget.repeat(12 * SECOND, "s", 5));
}

proptest! {
    /// Over all instances, in any window, the repeats keep the bound, however requests, repeats and
    /// instances interleave.
    #[test]
    fn the_sum_over_instances_keeps_the_bound(
        steps in proptest::collection::vec((0_usize..4, any::<bool>(), 0_u64..400), 1..600),
    ) {
        let mut instances: Vec<Budget> = (0..4).map(|_| Budget::new(BOUND)).collect();
        let mut now = 100 * SECOND;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (at, repeat, pause) in steps {
            now += pause * MILLISECOND;
            if !repeat {
                instances[at].request(now, "s");
                requests.push(now);
            } else if instances[at].repeat(now, "s", 4) {
                repeats.push(now);
            }
            let within = |times: &[u64], window| times.iter().filter(|t| **t + window > now).count();
            // Requests count in the window before, too: the parts of the window are not exact.
            let most = 0.2 * within(&requests, 2 * BOUND.window) as f64 + BOUND.slack;
            prop_assert!(within(&repeats, BOUND.window) as f64 <= most);
        }
    }
}
