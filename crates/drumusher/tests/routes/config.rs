//! The configuration and the entries of backend servers: changes are applied soon, older versions never,
//! and the current state is kept during an outage of the store.

use drumusher_adapter_stand_in::Outage;
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::support::{DESK, Deployment, Request, configuration};

fn status(deployment: &Deployment, instance: usize, path: &str) -> u16 {
    deployment.send(instance, &Request::get(path)).map_or(0, |response| response.status)
}

/// A newer version of the configuration is applied; an older one that is written later is not.
#[test]
fn older_configuration_is_never_applied() {
    let deployment = Deployment::new(1);
    assert_eq!(status(&deployment, 0, "/extra/"), 404);
    deployment.store.put("keyed.op", "config", &configuration(7, "extra"));
    wait_for("the route is served", || status(&deployment, 0, "/extra/") == 200);
    deployment.store.put("keyed.op", "config", &configuration(6, ""));
    deployment.store.put("keyed.op", "config", &configuration(8, "other"));
    wait_for("the next version is applied", || status(&deployment, 0, "/other/") == 200);
    deployment.store.put("keyed.op", "config", &configuration(5, "extra"));
    for _ in 0..20 {
        assert_eq!(status(&deployment, 0, "/extra/"), 404);
    }
    // Once the latest version is applied, the older ones before it have been read; none of them may have
    // been applied.
    deployment.store.put("keyed.op", "config", &configuration(9, "latest"));
    wait_for("the latest version is applied", || status(&deployment, 0, "/latest/") == 200);
    // A separate thread writes the log lines, in order, so the line may come later than the change.
    let logged = || deployment.instances[0].log().contains(r#"{"version":"9"}"#);
    wait_for("the latest version is logged", logged);
    let lines = deployment.instances[0].log();
    let in_force = lines.lines().filter(|line| line.contains("configuration in force"));
    let versions: Vec<bool> = in_force
        .map(|line| ["5", "6"].iter().any(|v| line.contains(&format!("\"version\":\"{v}\""))))
        .collect();
    assert!(versions.len() >= 4, "each applied version is logged: {lines}");
    assert!(!versions.contains(&true), "an older version was applied: {lines}");
}

/// A configuration and a server entry that cannot be parsed are skipped, and each is logged.
#[test]
fn malformed_records_are_skipped_and_logged() {
    let deployment = Deployment::new(1);
    deployment.store.put("keyed.op", "config", "{ this is no configuration");
    deployment.store.put("keyed.servers", "x", "[]");
    let logged = || deployment.instances[0].log().matches("passed over").count() >= 2;
    wait_for("both records are logged", logged);
    assert_eq!(status(&deployment, 0, "/read/"), 200);
}

/// During an outage of the store requests are served, and changes written meanwhile are applied after it,
/// even if the store dropped its history.
#[rstest]
#[case(Outage::Unavailable)]
#[case(Outage::Reset)]
#[case(Outage::Unresponsive)]
fn requests_and_changes_survive_a_store_outage(#[case] outage: Outage) {
    let deployment = Deployment::new(1);
    deployment.store.set_outage(outage);
    deployment.instances[0].store_endpoint.set_outage(outage);
    for _ in 0..5 {
        assert_eq!(status(&deployment, 0, "/read/"), 200);
    }
    deployment.store.put("keyed.op", "config", &configuration(2, "extra"));
    deployment.store.forget("keyed.op");
    deployment.store.set_outage(Outage::None);
    deployment.instances[0].store_endpoint.set_outage(Outage::None);
    wait_for("the change is applied", || status(&deployment, 0, "/extra/") == 200);
}

/// A backend server gets no new requests once its entry says that it is leaving or is removed.
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
    wait_for("the instance logs the change", || deployment.instances[0].log().contains(line));
    let before = server.runs().len();
    for _ in 0..12 {
        assert_eq!(status(&deployment, 0, "/read/"), 200);
    }
    assert_eq!(server.runs().len(), before);
}

/// Servers whose entries lapsed during an outage of the store stay in use until their removal is certain:
/// one that is written again stays, the other one is dropped.
#[test]
fn entries_that_lapse_during_an_outage_are_kept() {
    let deployment = Deployment::new(1);
    let store_endpoint = &deployment.instances[0].store_endpoint;
    store_endpoint.set_outage(Outage::Reset);
    wait_for("the outage is logged", || {
        deployment.instances[0].log().contains("what is in force stays")
    });
    for id in ["d1", "d2"] {
        deployment.store.remove("keyed.servers", id);
    }
    store_endpoint.set_outage(Outage::None);
    wait_for("the end of the outage is logged", || {
        deployment.instances[0].log().contains("answers again")
    });
    assert_eq!(status(&deployment, 0, "/read/"), 200, "the servers are kept");
    let entry = deployment.server("d1").entry(DESK, "ready");
    deployment.store.put("keyed.servers", "d1", &entry);
    wait_for("the removal of the other server is accepted", || {
        deployment.instances[0].log().contains("still missing")
    });
    let before = deployment.server("d2").runs().len();
    for _ in 0..8 {
        assert_eq!(status(&deployment, 0, "/read/"), 200);
    }
    assert_eq!(deployment.server("d2").runs().len(), before);
}

/// Once an outage of the store is known, calls do not wait for changes, so that none hangs beyond the end
/// of the outage.
#[test]
fn store_calls_are_short_during_an_outage() {
    let deployment = Deployment::new(1);
    let store_endpoint = &deployment.instances[0].store_endpoint;
    store_endpoint.set_outage(Outage::Unresponsive);
    let outage_logged = || deployment.instances[0].log().contains("what is in force stays");
    // A call from before the outage is still answered, even ten seconds later, and would make the store
    // look available.
    deployment.store.put("keyed.instances", "another", "{}");
    wait_for("no older call is in flight", || store_endpoint.under_way() == 0);
    wait_for("the outage is logged", outage_logged);
    // Calls about the other three tables may still have been in flight.
    let before = store_endpoint.failed_waits().len() + 3;
    wait_for("further calls fail", || store_endpoint.failed_waits().len() > before + 3);
    assert!(store_endpoint.failed_waits()[before..].iter().all(|wait| *wait == 0));
}

/// A failed call about one table, be it long after an outage or for a reason of its own, does not delay the
/// reading of another table while the configuration task waits for a change.
#[test]
fn failed_call_does_not_delay_other_tables() {
    let mut deployment = Deployment::empty(false);
    deployment.wait_ms = 30_000;
    deployment.add_server("d1", DESK);
    deployment.add_instance("i0");
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    wait_for("the instance serves", || status(&deployment, 0, "/read/") == 200);
    let store_endpoint = &deployment.instances[0].store_endpoint;
    let calls = || store_endpoint.calls_about("keyed.instances");
    let (logged, other) = (|text: &str| deployment.instances[0].log().contains(text), calls());
    store_endpoint.fail_topic("keyed.instances");
    deployment.store.put("keyed.instances", "another", "{}");
    wait_for("a call fails", || logged("what is in force stays"));
    let entry = deployment.server("d1").entry(DESK, "ready");
    deployment.store.put("keyed.servers", "d2", &entry);
    wait_for("the new server is logged, so that another call about servers follows", || {
        logged("d2")
    });
    let failed = calls();
    assert!(failed > other);
    wait_for("another call fails", || calls() > failed);
    let before = store_endpoint.calls_about("keyed.op");
    let leaving = deployment.server("d1").entry(DESK, "draining");
    deployment.store.put("keyed.servers", "d1", &leaving);
    wait_for("the server is logged as leaving", || logged(r#""leaving":"true""#));
    assert_eq!(
        store_endpoint.calls_about("keyed.op"),
        before,
        "the call for the configuration is still waiting"
    );
}
