//! Lost paths to backend servers.

use std::sync::Arc;

use drumusher::{
    upstream::Paths,
    version::{Backend, Directory, Pool},
};
use drumusher_schedule::time::{MILLISECOND, SECOND};
use rstest::rstest;

fn backend(name: &str, started_ms: u64) -> Backend {
    Backend {
        name: name.into(),
        area: "r".into(),
        address: "127.0.0.1:1".into(),
        slots: 1,
        leaving: false,
        started_ms: Some(started_ms),
        availability_zone: "z".into(),
        version: "v1".into(),
        spot: false,
        warm_at: 0,
        evacuated: false,
    }
}

fn pool() -> Pool {
    Pool::Service(Arc::from("s"))
}

#[test]
fn a_path_is_lost_until_a_probe_over_it_is_answered() {
    let (paths, server) = (Paths::default(), backend("a", 1));
    assert!(!paths.is_lost(&server));
    assert!(paths.record_lost(SECOND, &pool(), &server), "new");
    assert!(!paths.record_lost(2 * SECOND, &pool(), &server), "known");
    // An open connection that lives on says nothing about new ones.
    paths.record_heard(3 * SECOND, &server);
    assert!(paths.is_lost(&server));
    assert!(!paths.is_lost(&backend("b", 1)), "one lost path is not all");
    assert!(paths.record_restored(4 * SECOND, &server));
    assert!(!paths.is_lost(&server));
}

#[test]
fn all_paths_count_as_lost_while_several_are_and_no_server_is_heard() {
    let (paths, other) = (Paths::default(), backend("c", 1));
    for name in ["a", "b"] {
        paths.record_lost(SECOND, &pool(), &backend(name, 1));
    }
    assert!(paths.is_isolated() && paths.is_lost(&other));
    paths.record_heard(2 * SECOND, &other);
    assert!(!paths.is_isolated() && !paths.is_lost(&other));
    assert!(paths.is_lost(&backend("a", 1)));
}

#[test]
fn a_server_that_others_do_not_reach_either_is_down_and_its_path_not_lost() {
    let (paths, server) = (Paths::default(), backend("a", 1));
    paths.record_lost(SECOND, &pool(), &server);
    paths.record_down(2 * SECOND, &server);
    assert!(!paths.is_lost(&server));
    assert!(paths.begin_asking(2 * SECOND + 100 * MILLISECOND, &server).is_none());
    assert!(paths.begin_asking(2 * SECOND, &backend("a", 2)).is_some(), "another start");
    assert!(paths.begin_asking(4 * SECOND, &server).is_some());
}

#[test]
fn one_request_at_a_time_asks_for_a_path() {
    let (paths, server) = (Paths::default(), backend("a", 1));
    let asking = paths.begin_asking(SECOND, &server);
    assert!(asking.is_some() && paths.is_being_asked(&server));
    assert!(paths.begin_asking(SECOND, &server).is_none());
    drop(asking);
    assert!(!paths.is_being_asked(&server));
}

#[test]
fn probes_of_a_lost_path_are_spaced_and_never_end() {
    let (paths, server) = (Paths::default(), backend("a", 1));
    paths.record_lost(0, &pool(), &server);
    let ticks = (0..600).map(|tick| tick * 100 * MILLISECOND);
    let probes: Vec<u64> = ticks.filter(|now| paths.next_probe(*now).is_some()).collect();
    let pauses: Vec<u64> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(probes[0] <= SECOND, "the first one comes soon: {probes:?}");
    assert!(pauses.iter().all(|pause| *pause >= 500 * MILLISECOND && *pause <= 4 * SECOND));
    assert!(probes.last() > Some(&(55 * SECOND)));
}

#[rstest]
#[case::silent(None, true)]
#[case::heard_since(Some(3 * SECOND), false)]
#[case::heard_before(Some(SECOND), true)]
fn the_path_to_a_silent_server_is_checked_once_a_second(
    #[case] heard: Option<u64>,
    #[case] checked: bool,
) {
    let (paths, server) = (Paths::default(), backend("a", 1));
    heard.iter().for_each(|at| paths.record_heard(*at, &server));
    assert_eq!(paths.begin_check(4 * SECOND, &server, 2 * SECOND), checked);
    let again = paths.begin_check(4 * SECOND + 900 * MILLISECOND, &server, 2 * SECOND);
    assert!(!again, "{checked}");
}

#[test]
fn servers_that_are_no_longer_listed_are_forgotten() {
    let paths = Paths::default();
    paths.record_lost(SECOND, &pool(), &backend("a", 1));
    paths.keep_listed(&Directory::default());
    assert_eq!(paths.lost_count(), 0);
    assert!(paths.next_probe(9 * SECOND).is_none());
}
