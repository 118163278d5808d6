//! Transfer of large store records between instances over slow links.
//!
//! These tests guard against unbounded messages on the connection whose heartbeats show that a peer is
//! alive. A configuration with 1,400 more routes was one message of a megabyte, which takes 0.8 s on a link
//! of ten megabits a second. Heartbeats behind it came too late, so the receiver closed the connection as
//! dead and dropped what had arrived; it did the same when answers to its requests waited behind the
//! message for 60 ms. The next connection began with the same message, and instances that nobody had asked
//! sent it too to each instance that lagged for two heartbeats, so each repetition made the next one more
//! likely.
//!
//! The effect: after five seconds some instances still answered by the old version, and for ten seconds
//! most requests, urgent ones too, were late. For more than ten seconds the inbound links of most instances
//! were full (1.1 of 1.25 MB/s at the median) while their processors were idle (2 of 12 percent at the
//! median); 87 instances logged 2,251 unreachable peers in four seconds, and no store call failed because
//! of the store.

use std::{thread, time::Duration};

use drumusher_adapter_stand_in::Outage;
use drumusher_bench::fleet::{Mode, wait_for};

use crate::support::{Deployment, Instance, configuration, large_configuration};

/// Bytes of filler routes in the large configuration, as with some thousands of routes.
const CONFIGURATION_BYTES: usize = 1_000_000;
/// Time without a transfer after which none is in progress.
const QUIET_TIME: Duration = Duration::from_millis(500);
/// Number of instances of which one reader cannot send a large configuration to each other one.
const MANY: usize = 20;
/// Rate of a slow link, on which the configuration takes four seconds: five times as long as an instance
/// tolerates a silent connection.
const LINK_BYTES_PER_SECOND: u64 = CONFIGURATION_BYTES as u64 / 4;

/// Registered instances behind relays that have applied the first configuration.
pub fn deployment(instances: usize) -> Deployment {
    let mut deployment = Deployment::empty(true);
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    for number in 0..instances {
        let store_endpoint = deployment.store.endpoint().expect("the store endpoint starts");
        deployment.add_instance_with(&format!("i{number}"), store_endpoint, "");
    }
    for instance in &deployment.instances {
        wait_for("the instance is ready", || instance.ready());
    }
    wait_for("all instances are registered", || {
        let entered = |at| deployment.store.newest("keyed.instances", &format!("i{at}")).is_some();
        (0..instances).all(entered)
    });
    deployment
}

fn set_peer_relay(instance: &Instance, mode: Mode) {
    instance.relays.as_ref().expect("the instance has relays").peers.set(mode);
}

pub fn has_version(instance: &Instance, version: u64) -> bool {
    let text = format!("\"version\":\"{version}\"");
    let lines = instance.log();
    lines.lines().any(|line| line.contains("configuration in force") && line.contains(&text))
}

pub fn reads_store(instance: &Instance) -> bool {
    let lines = instance.log();
    let last = lines.lines().rev().find(|line| line.contains("reads the store for others"));
    last.is_some_and(|line| line.contains("\"reads\":\"true\""))
}

/// An instance without access to the store gets a large configuration from another one, although the
/// transfer takes far longer than a connection may be silent.
#[test]
fn large_configuration_arrives_over_a_slow_peer_link() {
    let deployment = deployment(2);
    let cut_off = &deployment.instances[1];
    cut_off.relays.as_ref().expect("the instance has relays").store.cut(true);
    for instance in &deployment.instances {
        set_peer_relay(instance, Mode::Throttled(LINK_BYTES_PER_SECOND));
    }
    deployment.store.put(
        "keyed.op",
        "config",
        &large_configuration(2, "extra", CONFIGURATION_BYTES),
    );
    wait_for("the reader has the configuration", || has_version(&deployment.instances[0], 2));
    wait_for("the instance without the store has the configuration", || has_version(cut_off, 2));
}

/// Instances that do not read the store get a large configuration about once, not from each instance that
/// has it and not again after each connection that broke.
#[test]
fn large_configuration_is_sent_once() {
    let deployment = deployment(7);
    let readers = || deployment.instances.iter().filter(|instance| reads_store(instance)).count();
    wait_for("four instances read the store", || readers() == 4);
    for instance in &deployment.instances {
        set_peer_relay(instance, Mode::Throttled(2 * LINK_BYTES_PER_SECOND));
    }
    let bytes = || {
        let relays = deployment.instances.iter().filter_map(|instance| instance.relays.as_ref());
        relays.map(|relays| relays.peers.bytes()).sum::<u64>()
    };
    let text = large_configuration(2, "extra", CONFIGURATION_BYTES);
    let before = bytes();
    deployment.store.put("keyed.op", "config", &text);
    for instance in &deployment.instances {
        wait_for("the instance has the configuration", || has_version(instance, 2));
    }
    let carried = bytes() - before;
    let most = 3 * text.len() as u64 * 3 / 2;
    assert!(
        carried <= most,
        "{carried} bytes were sent to three instances for a configuration of {}",
        text.len()
    );
}

/// Many instances that get a large configuration from one reader pass it on to each other, so that no instance sends
/// it to more than a quarter of them. Without the store, the other readers need it too.
#[test]
fn receivers_pass_a_large_configuration_on() {
    let deployment = deployment(MANY);
    let readers = || {
        let readers = deployment.instances.iter().filter(|instance| reads_store(instance));
        readers.collect::<Vec<&Instance>>()
    };
    wait_for("four instances read the store", || readers().len() == 4);
    for instance in &deployment.instances {
        set_peer_relay(instance, Mode::Throttled(10 * LINK_BYTES_PER_SECOND));
    }
    for reader in &readers()[1..] {
        reader.store_endpoint.set_outage(Outage::Unavailable);
        wait_for("no older call is in flight", || {
            !reader.store_endpoint.failed_waits().is_empty()
                && reader.store_endpoint.under_way() == 0
        });
    }
    let carried = || -> Vec<u64> {
        let relays = deployment.instances.iter().filter_map(|instance| instance.relays.as_ref());
        relays.map(|relays| relays.peers.bytes()).collect()
    };
    let before = carried();
    deployment.store.put(
        "keyed.op",
        "config",
        &large_configuration(2, "extra", CONFIGURATION_BYTES),
    );
    for instance in &deployment.instances {
        wait_for("the instance has the configuration", || has_version(instance, 2));
    }
    let sent = carried().iter().zip(&before).map(|(now, then)| now - then).collect::<Vec<u64>>();
    let (total, most) = (sent.iter().sum::<u64>(), sent.iter().max().copied().unwrap_or(0));
    println!("{total} bytes were sent in all, {most} by the instance that sent most");
    assert!(most <= total / 4, "one instance sent {most} of {total} bytes");
}

/// A change of one route of a large configuration is sent without the other routes.
#[test]
fn changed_route_is_sent_without_the_others() {
    let deployment = deployment(7);
    let readers = || deployment.instances.iter().filter(|instance| reads_store(instance)).count();
    wait_for("four instances read the store", || readers() == 4);
    let put = |version, extra| {
        let text = large_configuration(version, extra, CONFIGURATION_BYTES);
        deployment.store.put("keyed.op", "config", &text);
        for instance in &deployment.instances {
            wait_for("the instance has the configuration", || has_version(instance, version));
        }
    };
    put(2, "");
    let bytes = || {
        let relays = deployment.instances.iter().filter_map(|instance| instance.relays.as_ref());
        relays.map(|relays| relays.peers.bytes()).sum::<u64>()
    };
    // An instance that got this version from one instance may still be fetching it from another one.
    wait_for("the transfers of the second version end", || {
        let then = bytes();
        thread::sleep(QUIET_TIME);
        bytes() - then < CONFIGURATION_BYTES as u64 / 100
    });
    let before = bytes();
    put(3, "extra");
    let carried = bytes() - before;
    let most = CONFIGURATION_BYTES as u64 / 10;
    assert!(carried <= most, "{carried} bytes were sent between instances for one route");
}

/// A long response of the store that arrives steadily is no timeout. Guards against one limit of 700 ms for
/// the whole response, with which an instance on a slow link took the store to be unavailable and repeated
/// the call.
#[test]
fn large_configuration_is_read_over_a_slow_store_link() {
    let deployment = deployment(1);
    let instance = &deployment.instances[0];
    instance
        .relays
        .as_ref()
        .expect("the instance has relays")
        .store
        .set(Mode::Throttled(LINK_BYTES_PER_SECOND));
    deployment.store.put(
        "keyed.op",
        "config",
        &large_configuration(2, "extra", CONFIGURATION_BYTES),
    );
    wait_for("the instance has the configuration", || has_version(instance, 2));
    assert!(
        !instance.log().contains("what is in force stays"),
        "the store was available throughout"
    );
}
