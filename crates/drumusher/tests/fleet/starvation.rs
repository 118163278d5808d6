//! No class starves, not even the one with the lowest priority.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use drumusher_bench::fleet::wait_for;

use crate::support::{
    address_of, assert_whole, engine_stat, fleet, join_all, spawn_each, stream, switch,
};

/// Urgent requests overload the engine all the time; a summary is served nevertheless.
#[test]
fn a_summary_is_served_under_sustained_urgent_load() {
    let fleet = fleet(&["suva"], 2, 1, "");
    let engine = address_of(&fleet, "suva-engine-0");
    switch(&engine, r#"{"batch": 4, "step_ms": 3.0}"#);
    let stop = Arc::new(AtomicBool::new(false));
    let http = fleet.instances[0].http.clone();
    let load = spawn_each(16, {
        let stop = stop.clone();
        move |number| {
            let mut served = 0;
            while !stop.load(Ordering::Acquire) {
                let response = stream(&http, "urgent", &format!("u{number}"), 10);
                served += u32::from(response.expect("a response").status == 200);
            }
            served
        }
    });
    wait_for("the engine is busy", || engine_stat(&engine, "finished") > 50);
    let response = stream(&fleet.instances[1].http, "summary", "low", 30).expect("a response");
    stop.store(true, Ordering::Release);
    assert_whole(&response, "low", 30);
    assert!(join_all(load).into_iter().all(|served| served > 0));
}
