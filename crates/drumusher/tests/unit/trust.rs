//! For how long connections may rest.

use drumusher::upstream::trust::{FIRST, Trust};
use proptest::prelude::*;

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;

#[test]
fn answers_in_a_row_raise_the_limit_to_the_shortest_of_them() {
    let mut trust = Trust::new();
    assert_eq!(trust.limit(), FIRST);
    for rested in [3_000, 2_500, 4_000, 2_800] {
        trust.answered(rested * MILLISECOND);
        trust.answered(500 * MILLISECOND);
        assert_eq!(trust.limit(), FIRST, "too few yet");
    }
    trust.answered(4_100 * MILLISECOND);
    assert_eq!(trust.limit(), 2_500 * MILLISECOND);
    assert_eq!(trust.limit_repeatable(0), u64::MAX, "what the server names decides");
}

#[test]
fn one_forgotten_connection_takes_the_limit_back() {
    let mut trust = Trust::new();
    for _ in 0..5 {
        trust.answered(4_000 * MILLISECOND);
    }
    trust.forgotten(SECOND, 600 * MILLISECOND);
    assert_eq!(trust.limit(), 300 * MILLISECOND);
    assert_eq!(trust.limit_repeatable(2 * SECOND), 300 * MILLISECOND);
    trust.forgotten(2 * SECOND, 3_000 * MILLISECOND);
    assert_eq!(trust.limit(), 300 * MILLISECOND, "a longer rest says nothing new");
    assert_eq!(trust.limit_repeatable(11 * SECOND), 300 * MILLISECOND);
    assert_eq!(trust.limit_repeatable(12 * SECOND), u64::MAX, "longer rests are tried again");
    for _ in 0..5 {
        trust.answered(2_000 * MILLISECOND);
    }
    assert_eq!(trust.limit(), 2_000 * MILLISECOND);
}

proptest! {
    /// Whatever happens, the limit is never above half of the rest after which a connection was
    /// forgotten last, unless enough longer ones were answered since.
    #[test]
    fn the_limit_keeps_below_what_was_forgotten(
        steps in proptest::collection::vec((any::<bool>(), 1..10_000_u64), 1..100),
    ) {
        let mut trust = Trust::new();
        let mut forgotten = u64::MAX;
        let mut answers = 0;
        for (answered, rested) in steps {
            if answered {
                trust.answered(rested);
                answers += 1;
            } else {
                trust.forgotten(0, rested);
                (forgotten, answers) = (rested, 0);
            }
            if answers < 5 {
                prop_assert!(trust.limit() <= forgotten / 2);
            }
        }
    }
}
