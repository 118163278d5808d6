//! Regression bounds of the policy benchmark. Virtual time and fixed seeds: the metrics are the
//! same on every run, so that a bound that is missed is a change of the decisions.

use drumusher_bench::policy::{
    Decider,
    report::{Metrics, measure},
    scenario::{self, Scenario},
};
use drumusher_schedule::policy::Switches;
use rstest::rstest;

fn named(name: &str) -> Scenario {
    let mut scenarios = scenario::all().into_iter();
    scenarios.find(|scenario| scenario.name == name).expect("there is such a scenario")
}

fn ours(scenario: &Scenario) -> Metrics {
    measure(scenario, Decider::Drumusher(Switches::default()))
}

/// The last number is the least part of the clairvoyant's goodput.
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
fn the_decisions_keep_their_bounds(#[case] name: &str, #[case] least: f64) {
    let scenario = named(name);
    let metrics = ours(&scenario);
    if scenario.top_fits {
        assert!(metrics.attainment["pickup"] >= 99.0, "{metrics:?}");
    }
    assert!(metrics.goodput >= least * metrics.best, "{metrics:?}");
    assert!(metrics.wasted <= 1.0, "{metrics:?}");
    assert_eq!(metrics.inversions, 0, "{metrics:?}");
    assert!(metrics.worst_wait <= 30.5, "{metrics:?}");
    assert!(metrics.modest.is_none_or(|modest| modest >= 97.0), "{metrics:?}");
    for baseline in [Decider::TwoChoices, Decider::Fifo, Decider::Strict] {
        let other = measure(&scenario, baseline);
        assert!(metrics.goodput >= 0.995 * other.goodput, "{metrics:?} {other:?}");
    }
}

/// The check can fail: without its mechanism each of these falls below a bound that it keeps.
#[rstest]
#[case("one workspace floods", Switches { fairness: false, ..Switches::default() })]
#[case("summaries burst", Switches { preemption: false, ..Switches::default() })]
fn without_its_mechanism_a_bound_is_missed(#[case] name: &str, #[case] switches: Switches) {
    let metrics = measure(&named(name), Decider::Drumusher(switches));
    let kept =
        metrics.attainment["pickup"] >= 99.0 && metrics.modest.is_none_or(|modest| modest >= 97.0);
    assert!(!kept, "{metrics:?}");
}

#[test]
fn a_run_gives_the_same_figures_every_time() {
    let scenario = named("heavy tails");
    let twice = [ours(&scenario), ours(&scenario)];
    assert_eq!(format!("{:?}", twice[0]), format!("{:?}", twice[1]));
}
