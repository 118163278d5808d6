//! Selection of the route, the workspace and the service for a request.

use drumusher::version::{Denial, Routing};
use drumusher_platform::routing::{Configuration, Kind, Limits, Route, Service, Target, Workspace};
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target =
        |(service, weight): &(&str, u32)| Target { service: (*service).into(), weight: *weight };
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        targets: targets.iter().map(target).collect(),
        kind: Kind::Repeatable,
        timeout_ms: 1_000,
        first_ms: 100,
        gap_ms: 0,
        priority: 1,
        attempts: 2,
        public: name == "open",
        regions: None,
    }
}

fn routing() -> Routing {
    Routing::new(Configuration {
        version: 3,
        routes: vec![
            route("short", "h", "/a/", &[("s", 1)]),
            route("long", "h", "/a/b/", &[("t", 1)]),
            route("open", "h", "/open/", &[("s", 1)]),
            route("split", "h", "/split/", &[("s", 90), ("t", 10)]),
            route("none", "h", "/none/", &[("s", 0), ("t", 0)]),
        ],
        services: vec![Service {
            name: "t".into(),
            connections: 1,
            health_path: None,
            engine: true,
            profile: None,
            warm_up_rate: None,
            scaling: None,
        }],
        limits: Limits { header_bytes: 1, body_bytes: 1 },
        workspaces: Some(vec![Workspace {
            name: "w".into(),
            keys: vec!["k".into()],
            priority: 2,
            regions: None,
        }]),
    })
}

#[rstest]
#[case("h", "/a/x", Some("short"))]
#[case("H:8080", "/a/x", Some("short"))]
#[case("h", "/a/b/x?y=/z", Some("long"))]
#[case("h", "/a/b", Some("short"))]
#[case("h", "/a", None)]
#[case("h", "/b/a/", None)]
#[case("other", "/a/x", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] route: Option<&str>,
) {
    let routing = routing();
    let found = routing.find(host, path, Some("k"), "id");
    assert_eq!(found.ok().as_ref().map(|found| &*found.route), route);
}

#[rstest]
#[case("/a/", None, Err(Denial::NoKey))]
#[case("/a/", Some("wrong"), Err(Denial::NoKey))]
#[case("/a/", Some("k"), Ok(Some("w")))]
#[case("/open/", None, Ok(None))]
#[case("/open/", Some("k"), Ok(Some("w")))]
#[case("/nowhere/", None, Err(Denial::NoRoute))]
fn keys_identify_workspaces(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: Result<Option<&str>, Denial>,
) {
    let routing = routing();
    let found = routing.find("h", path, key, "id");
    let found = found.as_ref().map(|found| found.workspace.as_deref()).map_err(|denial| *denial);
    assert_eq!(found, expected);
}

#[test]
fn a_split_follows_the_weights_and_is_stable_for_each_request() {
    let routing = routing();
    let service = |id: &str| {
        routing.find("h", "/split/", Some("k"), id).expect("a route").service.to_string()
    };
    let to_t = (0..2_000).filter(|id| service(&id.to_string()) == "t").count();
    assert!((120..280).contains(&to_t), "about a tenth: {to_t}");
    assert_eq!(service("the same"), service("the same"));
    assert_eq!(&*routing.find("h", "/none/", Some("k"), "id").expect("a route").service, "s");
}

#[test]
fn the_class_has_the_route_and_the_workspace_priority() {
    let routing = routing();
    let found = routing.find("h", "/a/b/", Some("k"), "id").expect("a route");
    assert_eq!((&*found.class, found.engine), ("long/2", true));
}
