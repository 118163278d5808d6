//! Which software version began a stream.

use std::sync::Arc;

use drumusher::{
    process::streams::{Key, Record, Streams},
    version::{Directory, Pool, Registration},
};
use drumusher_platform::routing::Server;
use drumusher_schedule::time::SECOND;

fn pool() -> Pool {
    Pool::Service("model".into())
}

fn record(version: &str, granted_at: u64) -> Record {
    Record { pool: pool(), version: version.into(), granted_at, until: 20 * SECOND }
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
    assert!(streams.has_single_version(SECOND, &pool(), false));
    assert!(!streams.has_single_version(SECOND, &pool(), true), "it may have begun before");
    assert!(streams.has_single_version(61 * SECOND, &pool(), true));
    streams.set_directory(100 * SECOND, &directory(&["v1", "v2"]));
    assert!(!streams.has_single_version(100 * SECOND, &pool(), false));
    streams.set_directory(101 * SECOND, &directory(&["v2"]));
    assert!(!streams.has_single_version(160 * SECOND, &pool(), false));
    assert!(streams.has_single_version(162 * SECOND, &pool(), false));
}
