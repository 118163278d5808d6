//! An availability zone that is partitioned from the others keeps serving what it can.

use drumusher_bench::fleet::{Fleet, wait_for};

use crate::support::{address_of, assert_whole, book, calls, fleet, says_not_run, stream, switch};

/// Cuts the zone `nadi` off from the other zones and the platform if `cut`, or reconnects it.
fn partition(fleet: &Fleet, cut: bool) {
    for instance in &fleet.instances {
        for other in &fleet.instances {
            if instance.availability_zone != other.availability_zone {
                instance.cut_to(&other.name, cut);
            }
        }
        if instance.availability_zone == "nadi" {
            instance.cut_platform(cut);
        }
    }
}

#[test]
fn a_partitioned_zone_serves_completions_and_refuses_bookings() {
    let fleet = fleet(&["suva", "nadi"], 2, 1, "claim_ms = 500\n");
    partition(&fleet, true);
    for instance in &fleet.instances {
        for number in 0..4 {
            let tag = format!("{}-{number}", instance.name);
            let response = stream(&instance.http, "urgent", &tag, 6).expect("a response");
            assert_whole(&response, &tag, 6);
        }
    }
    let nadi = fleet.instances.iter().find(|i| i.availability_zone == "nadi").expect("one");
    let refused = book(&nadi.http, Some("b-1"), "booking").expect("a response");
    assert_eq!((refused.status, says_not_run(&refused)), (503, true), "{}", refused.body);
    let unkeyed = book(&nadi.http, None, "without a key").expect("a response");
    assert_eq!(unkeyed.status, 200, "{}", unkeyed.body);
    let suva = fleet.instances.iter().find(|i| i.availability_zone == "suva").expect("one");
    assert_eq!(book(&suva.http, Some("b-2"), "other").expect("a response").status, 200);
    partition(&fleet, false);
    wait_for("bookings run again", || {
        book(&nadi.http, Some("b-1"), "booking").expect("a response").status == 200
    });
    let all: Vec<String> = ["suva", "nadi"]
        .iter()
        .flat_map(|zone| calls(&fleet, zone))
        .map(|call| call.body)
        .collect();
    assert_eq!(all.iter().filter(|body| *body == "booking").count(), 1, "{all:?}");
}

/// All engines of the zone are leaving: its callers are served by engines of another zone.
#[test]
fn callers_of_a_zone_without_engines_are_served_by_another_zone() {
    let fleet = fleet(&["suva", "nadi"], 2, 1, "");
    switch(&address_of(&fleet, "nadi-engine-0"), r#"{"leaving": true}"#);
    for instance in &fleet.instances {
        let response = stream(&instance.http, "urgent", "moved", 6).expect("a response");
        assert_whole(&response, "moved", 6);
    }
}
