//! Instances among themselves: dispatchers that fall silent, and what one is told by another.

use drumusher_adapter_stand_in::{Away, server::body};
use drumusher_bench::fleet::wait_for;

use crate::support::{Call, Deployment, configuration};

/// An instance that is turned away from the store learns changes from another one.
#[test]
fn changes_are_passed_on_between_instances() {
    let deployment = Deployment::new(3);
    wait_for("they know each other", || known(&deployment, 3));
    for at in 0..3 {
        assert_eq!(deployment.call(at, &Call::get("/read/")).expect("an answer").status, 200);
    }
    deployment.instances[1].door.set_away(Away::Busy);
    deployment.store.put("keyed.op", "config", &configuration(9, "extra"));
    wait_for("the change is in force there", || {
        let answer = deployment.call(1, &Call::get("/extra/"));
        answer.is_ok_and(|answer| answer.status == 200)
    });
}

/// Whichever instance is frozen or killed, the others serve every request meanwhile.
#[test]
fn requests_are_served_beside_a_silent_instance() {
    let mut deployment = Deployment::new(3);
    wait_for("they know each other", || known(&deployment, 3));
    for frozen in 0..3 {
        deployment.instances[frozen].signal("STOP");
        for at in (0..3).filter(|at| *at != frozen) {
            for _ in 0..4 {
                let call = Call::post("/book/", "x");
                let answer = deployment.call(at, &call).expect("an answer");
                assert_eq!((answer.status, answer.text()), (200, body(&call.id)));
            }
        }
        deployment.instances[frozen].signal("CONT");
    }
    deployment.instances[0].signal("KILL");
    wait_for("it is gone", || deployment.instances[0].ended().is_some());
    for at in 1..3 {
        let call = Call::post("/book/", "x");
        let answer = deployment.call(at, &call).expect("an answer");
        assert_eq!((answer.status, answer.text()), (200, body(&call.id)));
    }
}

/// Whether so many instances are entered in the store.
fn known(deployment: &Deployment, count: usize) -> bool {
    let entered =
        |at: &usize| deployment.store.newest("keyed.instances", &format!("i{at}")).is_some();
    (0..count).filter(entered).count() == count
}
