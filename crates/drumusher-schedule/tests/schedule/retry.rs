//! Retry budgets and backoff.

use drumusher_schedule::retry::{BACKOFF_BASE, BACKOFF_CAP, Budget, backoff};
use proptest::prelude::*;

#[test]
fn retries_are_limited_to_a_share_of_first_attempts() {
    let mut budget = Budget::new(0.1, 5.0);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        retries += u32::from(budget.spend());
    }
    assert!((100..=106).contains(&retries), "{retries}");
}

proptest! {
    #[test]
    fn backoff_is_within_its_bounds(previous in 0u64..5_000_000, random in 0.0f64..1.0) {
        let pause = backoff(previous, random);
        prop_assert!((BACKOFF_BASE..=BACKOFF_CAP).contains(&pause));
    }
}
