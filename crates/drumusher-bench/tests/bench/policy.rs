//! Regression bounds of the policy benchmark. Virtual time and fixed seeds give the same metrics on every run, so a
//! violated bound means that the scheduling decisions have changed.

use drumusher_bench::policy::{
    Decider,
    report::{Metrics, measure},
    scenario::{self, Scenario},
};
use drumusher_schedule::policy::Switches;
use rstest::rstest;

fn scenario_named(name: &str) -> Scenario {
    let mut scenarios = scenario::all().into_iter();
    scenarios.find(|scenario| scenario.name == name).expect("the scenario exists")
}

fn measure_drumusher(scenario: &Scenario) -> Metrics {
    measure(scenario, Decider::Drumusher(Switches::default()))
}

/// `min_goodput` is the minimum goodput as a fraction of that of the clairvoyant scheduler.
#[rstest]
#[case("steady", 0.999)]
#[case("discharge wave", 0.99)]
#[case("summaries burst", 0.84)]
#[case("marathon desk", 0.99)]
#[case("one engine slow", 0.99)]
#[case("reports 2 s late", 0.88)]
#[case("heavy tails", 0.99)]
#[case("one workspace floods", 0.78)]
#[case("engine crash", 0.99)]
#[case("top tier overload", 0.62)]
#[case("shared prefixes", 0.95)]
#[case("360 instances", 0.99)]
fn metrics_stay_within_bounds(#[case] name: &str, #[case] min_goodput: f64) {
    let scenario = scenario_named(name);
    let metrics = measure_drumusher(&scenario);
    if scenario.top_fits {
        assert!(metrics.attainment["pickup"] >= 99.0, "{metrics:?}");
    }
    assert!(metrics.goodput >= min_goodput * metrics.best, "{metrics:?}");
    assert!(metrics.wasted <= 1.0, "{metrics:?}");
    assert_eq!(metrics.inversions, 0, "{metrics:?}");
    assert!(metrics.worst_wait <= 30.5, "{metrics:?}");
    assert!(metrics.modest.is_none_or(|modest| modest >= 97.0), "{metrics:?}");
    for baseline in [Decider::TwoChoices, Decider::Fifo, Decider::Strict] {
        let other = measure(&scenario, baseline);
        assert!(metrics.goodput >= 0.995 * other.goodput, "{metrics:?} {other:?}");
    }
}

/// Guards against bounds that can't fail: with the mechanism that a scenario needs switched off, the metrics violate a
/// bound that they satisfy with it.
#[rstest]
#[case("one workspace floods", Switches { fairness: false, ..Switches::default() })]
#[case("summaries burst", Switches { preemption: false, ..Switches::default() })]
fn disabling_a_mechanism_violates_a_bound(#[case] name: &str, #[case] switches: Switches) {
    let metrics = measure(&scenario_named(name), Decider::Drumusher(switches));
    let within_bounds =
        metrics.attainment["pickup"] >= 99.0 && metrics.modest.is_none_or(|modest| modest >= 97.0);
    assert!(!within_bounds, "{metrics:?}");
}

#[test]
fn runs_are_reproducible() {
    let scenario = scenario_named("heavy tails");
    let runs = [measure_drumusher(&scenario), measure_drumusher(&scenario)];
    assert_eq!(format!("{:?}", runs[0]), format!("{:?}", runs[1]));
}
