//! Requests of routes and workspaces that are restricted to regions. Guards against instances that ignore the
//! restriction and send requests, or their repeats, to backend servers elsewhere.

use std::time::Duration;

use drumusher_adapter_stand_in::Fault;
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::{
    notices::send_load,
    support::{DESK, Deployment, Request, configuration},
};

/// The regions of the availability zones of the servers: server 0 is in the west, the others are in the east.
const REGIONS: &str = "[regions]\nz = \"west\"\nother = \"east\"\n";
/// Requests per second of all callers together.
const RATE: u64 = 60;

/// Restricts the route `read`, and the workspace.
fn restricted(version: u64, route: &str, workspace: &str) -> String {
    let list = |regions: &str| format!(r#""AllowedRegions":[{regions}]"#);
    let route = format!(r#"{{"Name":"read",{},"#, list(route));
    let workspace = format!(r#"{{"Name":"vanua",{},"#, list(workspace));
    configuration(version, "").replacen(r#"{"Name":"read","#, &route, 1).replacen(
        r#"{"Name":"vanua","#,
        &workspace,
        1,
    )
}

/// Three instances, with a server in the west and two in the east.
fn deploy(route: &str, workspace: &str) -> Deployment {
    let mut deployment = Deployment::empty(false);
    (0..3).for_each(|number| deployment.add_server(&format!("d{number}"), DESK));
    for server in &deployment.servers[1..] {
        let entry = server.entry(DESK, "ready").replace(r#""Zone":"z""#, r#""Zone":"other""#);
        deployment.store.put("keyed.servers", &server.id, &entry);
    }
    for number in 0..3 {
        let endpoint = deployment.store.endpoint().expect("the store endpoint starts");
        deployment.add_instance_with(&format!("i{number}"), endpoint, REGIONS);
    }
    deployment.store.put("keyed.op", "config", &restricted(1, route, workspace));
    for at in 0..3 {
        wait_for("the instance serves the unrestricted route", || {
            let response = deployment.send(at, &Request::get("/open/"));
            response.is_ok_and(|response| response.status == 200)
        });
    }
    deployment
}

/// Number of requests of the restricted route that reached the servers of each region.
fn arrivals(deployment: &Deployment) -> (usize, usize) {
    let count = |server: &drumusher_adapter_stand_in::Server| {
        server.arrivals().iter().filter(|arrival| arrival.path.starts_with("/read/")).count()
    };
    let counts: Vec<usize> = deployment.servers.iter().map(count).collect();
    (counts[0], counts[1] + counts[2])
}

/// Requests stay in their regions, whichever of route and workspace restricts them, also while a dispatcher is lost.
#[rstest]
#[case::route(r#""west""#, "")]
#[case::workspace("", r#""west""#)]
#[case::both(r#""west","east""#, r#""west","north""#)]
fn requests_stay_in_their_regions(#[case] route: &str, #[case] workspace: &str) {
    let mut deployment = deploy(route, workspace);
    for at in 0..deployment.instances.len() {
        let statuses = send_load(&deployment, RATE, Duration::from_secs(1));
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        deployment.instances[at].signal("KILL");
        send_load(&deployment, RATE, Duration::from_secs(1));
        deployment.instances[at].restart();
        wait_for("the instance serves", || {
            let response = deployment.send(at, &Request::get("/open/"));
            response.is_ok_and(|response| response.status == 200)
        });
    }
    let (west, east) = arrivals(&deployment);
    assert!(west > 0 && east == 0, "{west} in the west, {east} in the east");
    let open = (0..20).map(|_| deployment.send(0, &Request::get("/open/")).expect("a response"));
    assert!(open.map(|response| response.status).all(|status| status == 200));
    // The workspace restricts its requests on all routes.
    let in_east: usize = deployment.servers[1..].iter().map(|s| s.arrivals().len()).sum();
    assert_eq!(in_east > 0, workspace.is_empty(), "{in_east} requests in the east");
}

/// A repeat stays in the regions of its request, although the only servers there fail.
#[rstest]
#[case::fails(Fault::Fails)]
#[case::hangs(Fault::Hang)]
#[case::resets(Fault::Reset)]
fn repeats_stay_in_their_regions(#[case] fault: Fault) {
    let deployment = deploy(r#""west""#, "");
    deployment.servers[0].set(fault);
    send_load(&deployment, RATE / 10, Duration::from_secs(2));
    let (west, east) = arrivals(&deployment);
    assert!(west > 0 && east == 0, "{west} in the west, {east} in the east");
}

/// A request without a reachable region is refused at once as not run, and delays no other request.
#[rstest]
#[case::unknown_region(r#""north""#, "")]
#[case::no_common_region(r#""west""#, r#""east""#)]
fn requests_without_a_region_are_refused(#[case] route: &str, #[case] workspace: &str) {
    let deployment = deploy(route, workspace);
    for _ in 0..5 {
        let response = deployment.send(0, &Request::get("/read/")).expect("a response");
        assert_eq!(response.status, 503);
        assert!(response.header("retry-after").is_some(), "no time to come back");
        let open = deployment.send(0, &Request::get("/open/")).expect("a response");
        assert_eq!(open.status, 200);
    }
    assert_eq!(arrivals(&deployment), (0, 0));
}
