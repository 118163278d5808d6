//! Which software version began a stream.

use std::{collections::BTreeMap, sync::Arc};

use drumusher::{
    process::streams::{Key, Record, Streams},
    version::{Directory, Pool, Registration},
};
use drumusher_platform::routing::Server;
use drumusher_schedule::time::SECOND;
use rstest::rstest;

fn pool() -> Pool {
    Pool::Service("model".into())
}

fn record(version: &str, began_at: u64) -> Record {
    Record { pool: pool(), version: version.into(), began_at, until: 20 * SECOND }
}

fn directory(versions: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for (number, version) in versions.iter().enumerate() {
        let server = Server {
            id: format!("m{number}").into(),
            service: "model".into(),
            address: ([127, 0, 0, 1], 1 + number as u16).into(),
            availability_zone: "z".into(),
            version: (*version).into(),
            slots: 8,
            leaving: false,
            started_ms: None,
            spot: false,
            warm_up_ms: 0,
        };
        let registration = Registration { server: &server, warm_at: 0, evacuated: false };
        directory.put_server(&Arc::from("r"), registration);
    }
    directory
}

/// A grant that began nothing is replaced by a later one, in whichever order they become known.
#[test]
fn the_latest_grant_of_a_stream_counts() {
    let mut streams = Streams::default();
    streams.record(SECOND, Key(1), record("v2", 900));
    streams.record(SECOND, Key(1), record("v1", 800));
    assert_eq!(streams.version(SECOND, Key(1)).as_deref(), Some("v2"));
    assert_eq!(streams.version(SECOND, Key(2)), None);
    assert_eq!(streams.version(21 * SECOND, Key(1)), None, "its caller has given up");
}

#[test]
fn streams_are_passed_on() {
    let (mut streams, mut other) = (Streams::default(), Streams::default());
    streams.record(SECOND, Key(1), record("v1", SECOND / 2));
    streams.record(SECOND, Key(2), record("v1.1", SECOND / 2));
    for shared in streams.share(SECOND, &pool()) {
        other.merge(5 * SECOND, &shared);
    }
    assert_eq!(other.version(5 * SECOND, Key(1)).as_deref(), Some("v1"));
    assert_eq!(other.version(5 * SECOND, Key(2)).as_deref(), Some("v1.1"));
    assert!(streams.share(SECOND, &Pool::Service("other".into())).is_empty());
}

/// A service has a single version only if no other one was listed for as long as a stream may be taken up.
#[test]
fn a_replaced_version_is_remembered() {
    let mut streams = Streams::default();
    streams.set_directory(0, &directory(&["v1", "v1"]));
    assert_eq!(streams.single_version(SECOND, &pool()), None, "a stream may have begun before");
    assert_eq!(streams.single_version(61 * SECOND, &pool()).as_deref(), Some("v1"));
    streams.set_directory(100 * SECOND, &directory(&["v1", "v2"]));
    assert_eq!(streams.single_version(100 * SECOND, &pool()), None);
    streams.set_directory(101 * SECOND, &directory(&["v2"]));
    assert_eq!(streams.single_version(160 * SECOND, &pool()), None);
    assert_eq!(streams.single_version(162 * SECOND, &pool()).as_deref(), Some("v2"));
}

/// A starting instance takes over the versions in service before it, and knows a single one at once.
#[rstest]
#[case::none(&[], true)]
#[case::the_same(&["v2"], true)]
#[case::another(&["v1"], false)]
#[case::two(&["v1", "v2"], false)]
fn versions_from_before_the_start_count(
    #[case] earlier: &[&str],
    #[case] single: bool,
    #[values(false, true)] history_first: bool,
) {
    let mut streams = Streams::default();
    let earlier = earlier.iter().map(|version| Arc::from(*version)).collect();
    let earlier = BTreeMap::from([(pool(), earlier)]);
    if history_first {
        streams.set_history(0, &earlier);
    }
    streams.set_directory(0, &directory(&["v2"]));
    if !history_first {
        assert_eq!(streams.single_version(0, &pool()), None);
        streams.set_history(0, &earlier);
    }
    let known = streams.single_version(SECOND, &pool());
    assert_eq!(known.as_deref(), single.then_some("v2"));
    assert_eq!(streams.single_version(61 * SECOND, &pool()).as_deref(), Some("v2"));
}

/// Streams are kept in the store while there are several versions, also those that were granted before.
#[test]
fn streams_are_kept_while_there_are_several_versions() {
    let mut streams = Streams::default();
    streams.set_directory(0, &directory(&["v1"]));
    streams.grant(SECOND, Key(1), record("v1", SECOND));
    assert!(streams.take_unwritten(SECOND, 8).is_empty(), "a single version needs no record");
    streams.set_directory(2 * SECOND, &directory(&["v1", "v2"]));
    streams.grant(3 * SECOND, Key(2), record("v2", 3 * SECOND));
    let kept = streams.take_unwritten(4 * SECOND, 8);
    assert_eq!(kept.iter().map(|granted| granted.streams.len()).sum::<usize>(), 2);
    assert!(streams.take_unwritten(4 * SECOND, 8).is_empty());
    streams.put_back(&kept);
    let parts = [(); 2].map(|()| streams.take_unwritten(4 * SECOND, 1));
    assert_eq!(parts.concat(), kept, "calls of one stream each");
    assert!(streams.take_unwritten(4 * SECOND, 8).is_empty());
    let mut later = Streams::default();
    later.record(SECOND, Key(1), record("v3", SECOND));
    assert_eq!(later.restore(SECOND, &kept), 2);
    assert_eq!(later.version(SECOND, Key(1)).as_deref(), Some("v3"), "it is newer");
    assert_eq!(later.version(SECOND, Key(2)).as_deref(), Some("v2"));
    assert_eq!(later.version(40 * SECOND, Key(2)), None, "its caller has given up");
}

/// What a later instance has to know: the listed versions, and the former ones for as long as their streams live.
#[test]
fn versions_are_in_service_until_their_streams_are_over() {
    let mut streams = Streams::default();
    let in_service = |streams: &Streams, now| {
        let versions = streams.in_service(now).remove(&pool()).unwrap_or_default();
        versions.iter().map(|version| version.to_string()).collect::<Vec<_>>()
    };
    streams.set_directory(0, &directory(&["v1", "v2"]));
    streams.set_directory(SECOND, &directory(&["v2"]));
    assert_eq!(in_service(&streams, 2 * SECOND), ["v1", "v2"]);
    assert_eq!(in_service(&streams, 62 * SECOND), ["v2"]);
}

/// A check that began before a caller came does not cover the versions that were added meanwhile.
#[test]
fn a_check_counts_for_what_came_before_it() {
    let mut streams = Streams::default();
    assert_eq!(streams.check_since(0), None);
    streams.record_check(SECOND, true);
    assert_eq!(streams.check_since(SECOND), Some(true));
    assert_eq!(streams.check_since(SECOND + 1), None);
    streams.record_check(2 * SECOND, false);
    assert_eq!(streams.check_since(SECOND + 1), Some(false));
}

/// A version that came and went while the instance was out of step is learnt from the store, and read again it does not
/// count for longer.
#[test]
fn versions_of_the_time_out_of_step_count() {
    let mut streams = Streams::default();
    streams.set_history(0, &BTreeMap::new());
    streams.set_directory(SECOND, &directory(&["v1"]));
    assert_eq!(streams.single_version(2 * SECOND, &pool()).as_deref(), Some("v1"));
    let versions = BTreeMap::from([(pool(), ["v1", "v1.1"].map(Arc::from).into())]);
    streams.set_history(3 * SECOND, &versions);
    streams.set_history(50 * SECOND, &versions);
    assert_eq!(streams.single_version(62 * SECOND, &pool()), None);
    assert_eq!(streams.single_version(63 * SECOND, &pool()).as_deref(), Some("v1"));
}
