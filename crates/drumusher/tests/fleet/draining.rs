//! A backend server that is leaving gets no new requests after a few seconds.

use drumusher_bench::fleet::{Fleet, wait_for};

use crate::support::{address_of, assert_whole, engine_stat, fleet, stream, switch};

/// The engine that leaves.
const LEAVING_ENGINE: &str = "suva-engine-0";

/// Sends requests until none out of twenty reaches the engine that is leaving.
fn assert_no_new_requests(fleet: &Fleet) {
    let engine = address_of(fleet, LEAVING_ENGINE);
    wait_for("the engine gets no new requests", || {
        let before = engine_stat(&engine, "requests");
        for number in 0..20 {
            let http = &fleet.instances[number % fleet.instances.len()].http;
            let tag = format!("t{number}");
            assert_whole(&stream(http, "urgent", &tag, 2).expect("a response"), &tag, 2);
        }
        engine_stat(&engine, "requests") == before
    });
}

#[test]
fn a_server_listed_as_leaving_gets_no_work() {
    let mut fleet = fleet(&["suva"], 2, 2, "");
    fleet.backends.iter_mut().filter(|b| b.name == LEAVING_ENGINE).for_each(|b| b.leaving = true);
    fleet.publish().expect("the list is replaced");
    assert_no_new_requests(&fleet);
}

#[test]
fn a_server_drained_by_command_gets_no_work_while_the_list_is_down() {
    let fleet = fleet(&["suva"], 2, 2, "");
    fleet.instances.iter().for_each(|instance| instance.list.cut(true));
    fleet.command(0, &format!("drain engine {LEAVING_ENGINE}"));
    assert_no_new_requests(&fleet);
    fleet.command(0, &format!("undrain engine {LEAVING_ENGINE}"));
    let engine = address_of(&fleet, LEAVING_ENGINE);
    let before = engine_stat(&engine, "requests");
    wait_for("the engine gets requests again", || {
        let response = stream(&fleet.instances[0].http, "urgent", "again", 2).expect("a response");
        assert_whole(&response, "again", 2);
        engine_stat(&engine, "requests") > before
    });
}

#[test]
fn a_server_that_reports_leaving_gets_no_work_while_the_platform_is_down() {
    let fleet = fleet(&["suva"], 2, 2, "");
    for instance in &fleet.instances {
        instance.cut_platform(true);
    }
    switch(&address_of(&fleet, LEAVING_ENGINE), r#"{"leaving": true}"#);
    assert_no_new_requests(&fleet);
}
