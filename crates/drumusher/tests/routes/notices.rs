//! What backend servers say of themselves in their answers: a limit, a rest, that they leave.
//!
//! Callers of a small deployment were sent to servers that had asked not to be: one in need had named a limit for all
//! instances together and got as much as before; one that leaves had said so to two instances, which sent to it for 10 s
//! more, until the store had its record; one that turned everything away had asked for 3 s of rest, and got three or four
//! requests from one instance in that time. All of them wrote it in the heads of their answers.
//!
//! Nothing heard it: instances passed the heads on, and the store's record was the only word of a server that was believed.
//! The evidence were arrivals that did not change with the first word, at the same instances, and that ended with the record
//! where there was one; no line named any of it.

use std::{
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{
    Arrival, Fault, Notice, Server,
    server::notice::{REST_ALLOWS, late, over_limit, unrested},
};

use drumusher_bench::fleet::wait_for;

use crate::support::{Call, DESK, Deployment, OPERATOR, ask, configuration};

/// Within this after a limit is first named it is to be kept.
const KEPT_WITHIN: Duration = Duration::from_secs(3);
/// Within this after an instance was told that a server leaves it is to send nothing more there.
const LEFT_WITHIN: Duration = Duration::from_secs(2);
/// Requests a second of all callers together.
const RATE: u64 = 60;

/// Instances, and so many plain servers.
fn deploy(instances: usize, servers: usize) -> Deployment {
    let mut deployment = Deployment::empty(false);
    (0..servers).for_each(|number| deployment.add_server(&format!("d{number}"), DESK));
    for number in 0..instances {
        let door = deployment.store.door().expect("a way to the store");
        deployment.add_instance_with(&format!("i{number}"), door, OPERATOR);
    }
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    for at in 0..instances {
        wait_for("the instance serves", || {
            deployment.call(at, &Call::get("/read/")).is_ok_and(|answer| answer.status == 200)
        });
    }
    deployment
}

/// The path of requests that an instance takes, by which arrivals tell who sent them.
fn path(at: usize) -> String {
    format!("/read/i{at}")
}

/// Which instance sent a request.
fn sender(arrival: &Arrival) -> Option<usize> {
    arrival.path.strip_prefix("/read/i")?.parse().ok()
}

/// Callers who come at the instances in turn, without waiting for answers, for a time. Returns the statuses.
fn come(deployment: &Deployment, rate: u64, time: Duration) -> Vec<u16> {
    let since = Instant::now();
    let pause = Duration::from_secs(1) / rate as u32;
    thread::scope(|scope| {
        let mut callers = Vec::new();
        for number in 0.. {
            if since.elapsed() > time {
                break;
            }
            let at = number as usize % deployment.instances.len();
            callers.push(scope.spawn(move || {
                deployment.call(at, &Call::get(&path(at))).map_or(0, |answer| answer.status)
            }));
            thread::sleep((pause * (number + 1)).saturating_sub(since.elapsed()));
        }
        callers.into_iter().map(|caller| caller.join().expect("no caller panics")).collect()
    })
}

/// How much more arrived at a server than a limit allows.
fn over(server: &Server, rate: f64) -> f64 {
    over_limit(&server.arrivals(), sender, (rate, KEPT_WITHIN))
}

/// A server that names a limit gets no more than that from all instances together, whether it is one of many or all do.
#[test]
fn a_limit_is_kept_by_all_instances_together() {
    thread::scope(|scope| {
        for (servers, limited) in [(5, 1), (3, 3)] {
            scope.spawn(move || {
                let deployment = deploy(3, servers);
                let in_need = &deployment.servers[..limited];
                in_need.iter().for_each(|server| server.say(Notice::limit("2.0")));
                come(&deployment, RATE, Duration::from_secs(12));
                for server in in_need {
                    let over = over(server, 2.0);
                    assert!(
                        over <= 0.0,
                        "{limited} of {servers} limited: {over} more than allowed"
                    );
                }
            });
        }
    });
}

/// A server that says that it leaves gets nothing more from those that it told, although its record says otherwise and is
/// written anew.
#[test]
fn one_that_says_that_it_leaves_gets_nothing_more() {
    let deployment = deploy(3, 3);
    let leaving = &deployment.servers[0];
    leaving.say(Notice::leaving());
    for _ in 0..5 {
        come(&deployment, RATE, Duration::from_secs(1));
        let entry = leaving.entry(DESK, "ready").replace(r#""Slots":8"#, r#""Slots":7"#);
        deployment.store.put("keyed.servers", &leaving.id, &entry);
        deployment.store.put("keyed.servers", &leaving.id, &leaving.entry(DESK, "ready"));
    }
    let late = late(&leaving.arrivals(), sender, LEFT_WITHIN);
    assert_eq!(late, 0, "of {} arrivals", leaving.arrivals().len());
}

/// A server that turns requests away and asks for rest gets it from each instance that it asked.
#[test]
fn one_that_asks_for_rest_gets_it() {
    let deployment = deploy(3, 3);
    let resting = &deployment.servers[0];
    resting.say(Notice::rest("3"));
    resting.set(Fault::Full);
    come(&deployment, RATE, Duration::from_secs(8));
    let most = unrested(&resting.arrivals(), sender);
    assert!(most <= REST_ALLOWS, "{most} from one instance within a rest");
}

/// An operator sees who is limited, leaving or at rest, since when and by whose word, and that it changed; and that a
/// server says what cannot be read.
#[test]
fn operators_see_what_servers_say() {
    let deployment = deploy(2, 1);
    let server = &deployment.servers[0];
    let told = |what: &str, words: &[&str]| {
        wait_for(what, || {
            come(&deployment, RATE, Duration::from_millis(200));
            let rows = ask(&deployment.instances[1], "show notices where limit_per_second = 0.5");
            words.iter().all(|words| rows.contains(words))
        });
    };
    server.say(Notice::limit("abc"));
    come(&deployment, RATE, Duration::from_millis(200));
    server.set(Fault::Full);
    server.say(Notice {
        leaving: Some("1".into()),
        rest: Some("60".into()),
        ..Notice::limit("0.5")
    });
    told("all is told of", &["\"leaving\":true", "\"rest_left_ms\":5", "\"heard_by\":\"i"]);
    let lines: String = deployment.instances.iter().map(|instance| instance.lines()).collect();
    for words in ["names a limit", "says that it leaves", "asks for rest", "cannot be read"] {
        assert!(lines.contains(words), "no line says {words:?}");
    }
    for gauge in ["limited", "leaving", "resting"] {
        let name = format!("drumusher_servers_{gauge}");
        let sum = |instance: &crate::support::Instance| instance.metric(&[&name]);
        assert!(deployment.instances.iter().map(sum).sum::<f64>() >= 1.0, "{name}");
    }
}
