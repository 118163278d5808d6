//! The configuration and the entries of backend servers: in force soon, never back, kept while the
//! store is away.

use drumusher_adapter_stand_in::Outage;
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::support::{DESK, Deployment, Request, configuration};

fn status(deployment: &Deployment, instance: usize, path: &str) -> u16 {
    deployment.send(instance, &Request::get(path)).map_or(0, |response| response.status)
}

/// A newer version is put into force; an older one that comes later is not.
#[test]
fn older_configuration_is_never_applied() {
    let deployment = Deployment::new(1);
    assert_eq!(status(&deployment, 0, "/extra/"), 404);
    deployment.store.put("keyed.op", "config", &configuration(7, "extra"));
    wait_for("the route is there", || status(&deployment, 0, "/extra/") == 200);
    deployment.store.put("keyed.op", "config", &configuration(6, ""));
    deployment.store.put("keyed.op", "config", &configuration(8, "other"));
    wait_for("the next version is in force", || status(&deployment, 0, "/other/") == 200);
    deployment.store.put("keyed.op", "config", &configuration(5, "extra"));
    for _ in 0..20 {
        assert_eq!(status(&deployment, 0, "/extra/"), 404);
    }
    // Once a later version is in force the older ones were read; none of them ever was.
    deployment.store.put("keyed.op", "config", &configuration(9, "latest"));
    wait_for("the latest version is in force", || status(&deployment, 0, "/latest/") == 200);
    // Lines are written by a thread of their own, in order.
    let logged = || deployment.instances[0].log().contains(r#"{"version":"9"}"#);
    wait_for("the latest version has its line", logged);
    let lines = deployment.instances[0].log();
    let in_force = lines.lines().filter(|line| line.contains("configuration in force"));
    let versions: Vec<bool> = in_force
        .map(|line| ["5", "6"].iter().any(|v| line.contains(&format!("\"version\":\"{v}\""))))
        .collect();
    assert!(versions.len() >= 4, "each version has its line: {lines}");
    assert!(!versions.contains(&true), "an older version was in force: {lines}");
}

/// A configuration that cannot be read is passed over with a line in the log.
#[test]
fn malformed_records_are_skipped_and_logged() {
    let deployment = Deployment::new(1);
    deployment.store.put("keyed.op", "config", "{ this is no configuration");
    deployment.store.put("keyed.servers", "x", "[]");
    let logged = || deployment.instances[0].log().matches("passed over").count() >= 2;
    wait_for("both are told", logged);
    assert_eq!(status(&deployment, 0, "/read/"), 200);
}

/// While the store is away everything goes on, and changes made meanwhile are in force after it
/// returns, also when the history was dropped.
#[rstest]
#[case(Outage::Unavailable)]
#[case(Outage::Reset)]
#[case(Outage::Unresponsive)]
fn requests_and_changes_survive_a_store_outage(#[case] away: Outage) {
    let deployment = Deployment::new(1);
    deployment.store.set_outage(away);
    deployment.instances[0].store_endpoint.set_outage(away);
    for _ in 0..5 {
        assert_eq!(status(&deployment, 0, "/read/"), 200);
    }
    deployment.store.put("keyed.op", "config", &configuration(2, "extra"));
    deployment.store.forget("keyed.op");
    deployment.store.set_outage(Outage::None);
    deployment.instances[0].store_endpoint.set_outage(Outage::None);
    wait_for("the change is in force", || status(&deployment, 0, "/extra/") == 200);
}

/// A backend server that is leaving gets no new requests, whether it says so or its entry ends.
#[rstest]
#[case::says_so(true)]
#[case::entry_ends(false)]
fn leaving_server_gets_no_new_requests(#[case] says_so: bool) {
    let deployment = Deployment::new(1);
    let server = deployment.server("d1");
    if says_so {
        deployment.store.put("keyed.servers", "d1", &server.entry(DESK, "draining"));
    } else {
        deployment.store.remove("keyed.servers", "d1");
    }
    let line = if says_so { "\"leaving\":\"true\"" } else { "server's entry ended" };
    wait_for("the instance knows", || deployment.instances[0].log().contains(line));
    let before = server.runs().len();
    for _ in 0..12 {
        assert_eq!(status(&deployment, 0, "/read/"), 200);
    }
    assert_eq!(server.runs().len(), before);
}

/// Entries that lapsed while the store was away and are back after it returned never left.
#[test]
fn entries_that_lapse_during_an_outage_are_kept() {
    let deployment = Deployment::new(1);
    let store_endpoint = &deployment.instances[0].store_endpoint;
    store_endpoint.set_outage(Outage::Reset);
    wait_for("the outage is known", || {
        deployment.instances[0].log().contains("what is in force stays")
    });
    for id in ["d1", "d2"] {
        deployment.store.remove("keyed.servers", id);
    }
    store_endpoint.set_outage(Outage::None);
    wait_for("it is back", || deployment.instances[0].log().contains("answers again"));
    assert_eq!(status(&deployment, 0, "/read/"), 200, "the servers are held");
    let entry = deployment.server("d1").entry(DESK, "ready");
    deployment.store.put("keyed.servers", "d1", &entry);
    wait_for("the other one is gone", || deployment.instances[0].log().contains("still missing"));
    let before = deployment.server("d2").runs().len();
    for _ in 0..8 {
        assert_eq!(status(&deployment, 0, "/read/"), 200);
    }
    assert_eq!(deployment.server("d2").runs().len(), before);
}

/// Once the store is known to be away, calls to it are short, so that none hangs beyond its return.
#[test]
fn store_calls_are_short_during_an_outage() {
    let deployment = Deployment::new(1);
    let store_endpoint = &deployment.instances[0].store_endpoint;
    store_endpoint.set_outage(Outage::Unresponsive);
    let known = || deployment.instances[0].log().contains("what is in force stays");
    // A call of before is still answered, also ten seconds later, and shows the store to be there.
    deployment.store.put("keyed.instances", "another", "{}");
    wait_for("no call of before is under way", || store_endpoint.under_way() == 0);
    wait_for("the outage is known", known);
    // Calls of the other tables may have been under way.
    let before = store_endpoint.failed_waits().len() + 3;
    wait_for("further calls", || store_endpoint.failed_waits().len() > before + 3);
    assert!(store_endpoint.failed_waits()[before..].iter().all(|wait| *wait == 0));
}

/// A call about one table that fails, long after the store is well again or for a reason of its own, does
/// not hold up what is read of another while the task of the configuration waits for a change.
#[test]
fn failed_call_does_not_delay_other_tables() {
    let mut deployment = Deployment::empty(false);
    deployment.wait_ms = 30_000;
    deployment.add_server("d1", DESK);
    deployment.add_instance("i0");
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    wait_for("it serves", || status(&deployment, 0, "/read/") == 200);
    let store_endpoint = &deployment.instances[0].store_endpoint;
    let calls = || store_endpoint.calls_about("keyed.instances");
    let (logged, other) = (|text: &str| deployment.instances[0].log().contains(text), calls());
    store_endpoint.fail_topic("keyed.instances");
    deployment.store.put("keyed.instances", "another", "{}");
    wait_for("a call fails", || logged("what is in force stays"));
    let entry = deployment.server("d1").entry(DESK, "ready");
    deployment.store.put("keyed.servers", "d2", &entry);
    wait_for("a server is known, so that the next call about servers is to come", || logged("d2"));
    let failed = calls();
    assert!(failed > other);
    wait_for("another call fails", || calls() > failed);
    let before = store_endpoint.calls_about("keyed.op");
    let leaving = deployment.server("d1").entry(DESK, "draining");
    deployment.store.put("keyed.servers", "d1", &leaving);
    wait_for("the server is known to leave", || logged(r#""leaving":"true""#));
    assert_eq!(
        store_endpoint.calls_about("keyed.op"),
        before,
        "the configuration is still waited for"
    );
}
