//! Dispatchers follow the caches of engines, and place prompts by what engines report.

use drumusher_adapter_stand_in::{CacheFault, Server};
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use super::support::{Deployment, MODEL, Request, configuration};

/// Length of each part in tokens: the cost of prefilling it again outweighs the other costs of a placement.
const TOKENS: u32 = 9_000;
/// Number of parts of a group. By chance one request in two goes to the engine that has its part.
const PARTS: u64 = 6;
/// Log line about the first of several failed calls to an engine.
const FAILED: &str = "cannot follow the cache of an engine";

/// The IDs of a group of parts.
fn ids(group: u64) -> Vec<u64> {
    (0..PARTS).map(|number| 0x100 * group + number).collect()
}

/// A group of parts, with their lengths.
fn parts(group: u64) -> Vec<(u64, u32)> {
    ids(group).into_iter().map(|id| (id, TOKENS)).collect()
}

/// A configuration whose streams may wait for their first event for longer than a second, and whose engines have known
/// sizes, so that their caches are followed.
fn followed_configuration() -> String {
    let sizes =
        r#""Slots":8,"KvCapacityTokens":600000,"KvBytes":163840,"LinkMbps":280000,"Stride":4"#;
    let text = configuration(1, "").replace("\"TargetLatencyMs\":300", "\"TargetLatencyMs\":1200");
    text.replace("\"Slots\":8", sizes)
}

/// A deployment whose engine `m1` has the parts of group 1. Returns once an instance follows both engines.
fn followed_deployment(instances: usize) -> Deployment {
    let deployment = Deployment::unconfigured(instances);
    deployment.server("m1").set_cached_parts(&parts(1));
    deployment.store.put("keyed.op", "config", &followed_configuration());
    deployment.wait_serving();
    wait_for_with_load(&deployment, "both engines are followed", || {
        ["m1", "m2"].iter().all(|id| change_calls(deployment.server(id)) > 0)
    });
    deployment
}

/// Waits for a condition while each running instance gets requests: without any, a pool's engines are not followed.
fn wait_for_with_load(deployment: &Deployment, what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || {
        for instance in 0..deployment.instances.len() {
            // Fails at an instance that the test has killed.
            let _ = deployment.send(instance, &Request::get("/talk/"));
        }
        condition()
    });
}

/// Number of calls for changes of the cache that an engine got.
fn change_calls(engine: &Server) -> usize {
    engine.cache_calls().iter().filter(|call| call.since.is_some()).count()
}

/// The number of changes of this kind that an instance has counted.
fn changes(deployment: &Deployment, instance: usize, change: &str) -> f64 {
    let label = format!("change=\"{change}\"");
    deployment.instances[instance].metric(&["drumusher_engine_cache_changes_total", &label])
}

/// Sends a prompt with each part of a group to an instance, and checks that the engine `id` gets them all.
fn assert_placed_at(deployment: &Deployment, instance: usize, group: u64, id: &str) {
    for part in ids(group) {
        let request = Request::post("/talk/", "x")
            .without("Drumusher-Token-Usage")
            .without("Drumusher-Prompt-Prefix")
            .with("Drumusher-Token-Usage", &format!("{},60", TOKENS + 1))
            .with("Drumusher-Prompt-Prefix", &format!("{part:x}:{TOKENS},f{part:x}:1"));
        deployment.send(instance, &request).expect("a response");
        let ran = deployment.server(id).runs().iter().any(|run| run.id == request.id);
        assert!(
            ran,
            "part {part:x} is not placed at {id}: {}",
            deployment.instances[instance].log()
        );
    }
}

/// Guards against a model that misses what an engine reports.
#[test]
fn reported_changes_decide_placements() {
    let deployment = followed_deployment(1);
    deployment.server("m1").remove_cached_parts(&ids(1));
    deployment.server("m2").add_cached_parts(&parts(1));
    wait_for_with_load(&deployment, "the changes are known", || {
        let known = |change| changes(&deployment, 0, change) >= PARTS as f64;
        known("added") && known("removed")
    });
    assert_placed_at(&deployment, 0, 1, "m2");
}

/// Guards against a model that stays wrong after an engine has dropped changes that were not read yet.
#[test]
fn gap_in_the_changes_queries_the_content() {
    let deployment = followed_deployment(1);
    deployment.server("m1").set_cached_parts_with_gap(&parts(2));
    deployment.server("m2").set_cached_parts_with_gap(&parts(1));
    wait_for_with_load(&deployment, "both contents were queried again", || {
        changes(&deployment, 0, "list") >= 4.0
    });
    assert_eq!(changes(&deployment, 0, "gap"), 2.0, "{}", deployment.instances[0].metrics());
    assert_placed_at(&deployment, 0, 1, "m2");
    assert_placed_at(&deployment, 0, 2, "m1");
}

/// Guards against a model that keeps what an engine had cached before it restarted.
#[test]
fn restarted_engine_has_nothing_cached() {
    let deployment = followed_deployment(1);
    deployment.server("m1").restart_cache();
    deployment.server("m2").add_cached_parts(&parts(1));
    wait_for_with_load(&deployment, "the restart and the changes are known", || {
        changes(&deployment, 0, "list") >= 3.0 && changes(&deployment, 0, "added") >= PARTS as f64
    });
    assert_placed_at(&deployment, 0, 1, "m2");
}

/// Guards against failed calls that change the model, fill the log, or end the following.
#[rstest]
#[case::busy(CacheFault::Busy, "status 429")]
#[case::malformed(CacheFault::Malformed, "cannot be read")]
fn failed_calls_leave_the_model_unchanged(#[case] fault: CacheFault, #[case] cause: &str) {
    let deployment = followed_deployment(1);
    let engine = deployment.server("m1");
    engine.set_cache_fault(fault);
    wait_for_with_load(&deployment, "calls failed", || changes(&deployment, 0, "failed") >= 2.0);
    // On a slow machine a call may have failed before, for another cause.
    let log = deployment.instances[0].log();
    let lines: Vec<&str> = log.lines().filter(|line| line.contains(FAILED)).collect();
    let of_fault = lines.iter().filter(|line| line.contains(cause)).count();
    assert!(!lines.is_empty() && of_fault <= 1, "{log}");
    assert_placed_at(&deployment, 0, 1, "m1");
    engine.set_cache_fault(CacheFault::None);
    engine.add_cached_parts(&parts(2));
    wait_for_with_load(&deployment, "the changes are known", || {
        changes(&deployment, 0, "added") >= PARTS as f64
    });
    assert_placed_at(&deployment, 0, 2, "m1");
}

/// Guards against malformed rows that cost the others of their response.
#[test]
fn malformed_rows_cost_only_themselves() {
    let deployment = followed_deployment(1);
    let engine = deployment.server("m1");
    engine.set_cache_fault(CacheFault::MalformedRows);
    engine.add_cached_parts(&parts(2));
    wait_for_with_load(&deployment, "the changes are known", || {
        changes(&deployment, 0, "added") >= PARTS as f64
    });
    assert_placed_at(&deployment, 0, 2, "m1");
    let log = deployment.instances[0].log();
    assert_eq!(log.matches("skipped malformed rows").count(), 1, "{log}");
}

/// Guards against an instance that becomes the dispatcher and does not follow the engines. One of the two is the
/// dispatcher at first.
#[rstest]
fn remaining_instance_follows_the_engines(#[values(0, 1)] killed: usize) {
    let mut deployment = followed_deployment(2);
    deployment.instances[killed].kill();
    let remaining = 1 - killed;
    deployment.server("m1").add_cached_parts(&parts(2));
    deployment.server("m2").add_cached_parts(&parts(3));
    let model = |id: &str| change_calls(deployment.server(id));
    let before = [model("m1"), model("m2")];
    wait_for_with_load(&deployment, "the remaining instance has followed both engines", || {
        let called = model("m1") > before[0] + 2 && model("m2") > before[1] + 2;
        called && changes(&deployment, remaining, "list") >= 2.0
    });
    assert_placed_at(&deployment, remaining, 2, "m1");
    assert_placed_at(&deployment, remaining, 3, "m2");
}

/// Guards against a switch without effect: a pool that is followed is not queried by the earlier path.
#[test]
fn switched_off_following_queries_each_engine_once() {
    let mut deployment = Deployment::unconfigured(0);
    let store = deployment.store.endpoint().expect("the store endpoint starts");
    deployment.add_instance_with("i0", store, "[decisions]\noff = [\"memory\"]\n");
    deployment.store.put("keyed.op", "config", &followed_configuration());
    deployment.wait_serving();
    wait_for_with_load(&deployment, "both engines listed their parts", || {
        deployment.instances[0].log().matches("an engine told what it keeps").count() == 2
    });
    assert_eq!(changes(&deployment, 0, "list"), 0.0);
    assert!(["m1", "m2"].iter().all(|id| change_calls(deployment.server(id)) == 0));
}

/// Guards against calls to engines that have left.
#[test]
fn engine_that_leaves_is_not_followed() {
    /// Calls that the other engine gets meanwhile.
    const CALLS: usize = 3;
    let deployment = followed_deployment(1);
    let [leaving, other] = ["m1", "m2"].map(|id| deployment.server(id));
    deployment.store.put("keyed.servers", "m1", &leaving.entry(MODEL, "draining"));
    let (mut calls, mut others) = (0, 0);
    wait_for_with_load(&deployment, "the engine gets no more calls", || {
        if calls != leaving.cache_calls().len() {
            (calls, others) = (leaving.cache_calls().len(), other.cache_calls().len());
        }
        other.cache_calls().len() >= others + CALLS
    });
}
