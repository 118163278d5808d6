//! Requests that end each backend server which runs them.
//!
//! Callers of a small deployment saw their streams cut and half of their requests fail for most of a minute. One
//! request ended every engine that began to run it, some 40 ms later; engines were back after a second or more, and got
//! it again: by the second attempt of the instance, and by its caller, who came back at one instance after the other. 39
//! engines ended, nine of nine at a time, each with all that ran or waited there. Nothing knew the request again: what
//! fails was remembered by server only. The evidence were the ends of engines, in groups as large as the number of
//! attempts, each within a tenth of a second after the same path began there.

use std::{
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Ending, Run, Server};
use drumusher_bench::fleet::wait_for;

use crate::support::{Call, DESK, Deployment, MODEL, configuration};

/// Within this after the third end all instances are to know the request.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// How often it may reach backend servers later than that.
const ALLOWED: usize = 3;
/// Time between two requests of its caller.
const AGAIN: Duration = Duration::from_millis(250);
/// How long its caller comes back.
const COMES: Duration = Duration::from_secs(9);
/// How long it runs before its backend server ends.
const AFTER: Duration = Duration::from_millis(40);
/// How long that is down.
const DOWN: Duration = Duration::from_millis(600);

/// Instances, and six backend servers of each service.
fn deploy(instances: usize) -> Deployment {
    let mut deployment = Deployment::empty(false);
    for number in 0..6 {
        deployment.add_server(&format!("d{number}"), DESK);
        deployment.add_server(&format!("m{number}"), MODEL);
    }
    for number in 0..instances {
        deployment.add_instance(&format!("i{number}"));
    }
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    deployment.wait_serving();
    deployment
}

/// Lets the backend servers whose names begin with `prefix` end under a path.
fn end_under(deployment: &Deployment, prefix: &str, path: &str, renamed: bool) {
    let service = if prefix == "d" { DESK } else { MODEL };
    for server in deployment.servers.iter().filter(|server| server.id.starts_with(prefix)) {
        server.end_under(Some(Ending {
            path: path.into(),
            after: AFTER,
            down: DOWN,
            renamed,
            service: service.into(),
            store: deployment.store.clone(),
        }));
    }
}

/// When backend servers ended, first one first.
fn ends(deployment: &Deployment) -> Vec<Instant> {
    let mut ends: Vec<Instant> = deployment.servers.iter().flat_map(Server::ends).collect();
    ends.sort();
    ends
}

/// What reached backend servers for a path.
fn arrivals(deployment: &Deployment, path: &str) -> Vec<Run> {
    let runs = deployment.servers.iter().flat_map(Server::runs);
    runs.filter(|run| run.request.path() == path).collect()
}

/// How many arrivals came later than the instances are to know a request that ends its backend servers.
fn late(deployment: &Deployment, path: &str) -> usize {
    let Some(third) = ends(deployment).get(2).copied() else {
        return 0;
    };
    let arrivals = arrivals(deployment, path);
    arrivals.iter().filter(|run| run.at > third + KNOWN_WITHIN).count()
}

/// A caller who sends the same request to one instance after the other, each time without waiting for the answer
/// before, for a time.
fn come_again(deployment: &Deployment, call: &Call, time: Duration) {
    let since = Instant::now();
    thread::scope(|scope| {
        for number in 0.. {
            if since.elapsed() > time {
                break;
            }
            let at = number % deployment.instances.len();
            let call = call.anew();
            scope.spawn(move || deployment.call(at, &call));
            thread::sleep(AGAIN);
        }
    });
}

/// A request under which three backend servers ended reaches backend servers no more than three times later than
/// three seconds after that, wherever and however often it comes: plain ones and streams, and whether the backend
/// servers are back under their names or under new ones.
#[test]
fn a_request_that_ends_its_servers_is_held_back() {
    thread::scope(|scope| {
        for path in ["/read/x", "/talk/x"] {
            for renamed in [false, true] {
                scope.spawn(move || is_held_back(path, renamed));
            }
        }
    });
}

fn is_held_back(path: &str, renamed: bool) {
    let deployment = deploy(3);
    end_under(&deployment, if path.starts_with("/read") { "d" } else { "m" }, path, renamed);
    come_again(&deployment, &Call::get(path), COMES);
    let ended = ends(&deployment).len();
    assert!(ended >= 3, "the request ends backend servers");
    let late = late(&deployment, path);
    assert!(
        late <= ALLOWED,
        "{path}, renamed {renamed}: {late} arrivals too late; {ended} servers ended"
    );
    wait_for("other requests are served", || {
        let other = Call::get("/read/other");
        deployment.call(0, &other).is_ok_and(|answer| answer.status == 200)
    });
}
