//! Ranking of the instances that may dispatch a pool.

use std::collections::BTreeMap;

use drumusher_schedule::rank::{Candidate, first, order};

const INSTANCES: [&str; 5] = ["suva-1", "suva-2", "suva-3", "suva-4", "suva-5"];

#[test]
fn first_is_the_head_of_order() {
    for pool in 0..100 {
        let pool = format!("model:{pool}");
        assert_eq!(first(&pool, INSTANCES), order(&pool, INSTANCES).first().copied());
    }
}

#[test]
fn only_roles_of_a_removed_instance_move() {
    for pool in 0..200 {
        let pool = format!("model:{pool}");
        let before = first(&pool, INSTANCES);
        let without = INSTANCES.into_iter().filter(|instance| *instance != "suva-3");
        let after = first(&pool, without);
        assert!(before == after || before == Some("suva-3"));
    }
}

#[test]
fn roles_are_spread_evenly() {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for pool in 0..1_000 {
        let pool = format!("model:{pool}");
        *counts.entry(first(&pool, INSTANCES).expect("there are instances")).or_default() += 1;
    }
    assert!(counts.values().all(|count| (140..=260).contains(count)), "{counts:?}");
}

/// Instances with more processor time have most of the roles, and their roles fail over to each
/// other first.
#[test]
fn roles_go_to_instances_with_more_processor_time() {
    let capacity = |name: &str| if name.starts_with("large") { 500 } else { 120 };
    let names: Vec<String> =
        (0..8).map(|n| format!("large-{n}")).chain((0..53).map(|n| format!("small-{n}"))).collect();
    let candidates = || {
        names.iter().map(|name| Candidate { name, capacity: capacity(name) }).collect::<Vec<_>>()
    };
    let mut large = 0;
    for pool in 0..1_000 {
        let pool = format!("model:{pool}");
        let order = order(&pool, candidates());
        large += usize::from(order[0].starts_with("large"));
        let without = candidates().into_iter().filter(|candidate| candidate.name != order[0]);
        assert_eq!(first(&pool, without), Some(order[1]), "the next one takes over");
    }
    assert!((880..=960).contains(&large), "{large} of 1,000 roles are on large instances");
}

/// An instance of unknown capacity ranks like one of one core.
#[test]
fn an_unknown_capacity_is_one_core() {
    let named = INSTANCES.map(|name| Candidate { name, capacity: 1_000 });
    for pool in 0..100 {
        let pool = format!("model:{pool}");
        assert_eq!(order(&pool, INSTANCES), order(&pool, named));
    }
}
