//! Notices that backend servers send in response headers: a request limit, a rest period, or that they are
//! leaving.
//!
//! These tests guard against instances that forward the headers without reading them and go by the server's
//! store entry alone. That failure sent requests to servers that had asked for fewer: one with a limit for
//! all instances together got as many as before; one that was leaving had said so to two instances, which
//! sent to it for 10 s more, until the store had its entry; one that refused everything and asked for 3 s
//! of rest got three or four requests from one instance in that time. No log line mentioned any of these
//! notices.

use std::{
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{
    Arrival, Fault, Notice, Server,
    server::notice::{
        MAX_REQUESTS_DURING_REST, max_requests_during_rest, over_limit, requests_after_leaving,
    },
};

use drumusher_bench::fleet::{Mode, wait_for};
use rstest::rstest;

use crate::support::{DESK, Deployment, OPERATOR, Request, configuration, operator_query};

/// A limit has to be kept from this time after it is first announced.
const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// An instance may send no more requests from this time after a server told it that it is leaving.
const LEAVING_GRACE: Duration = Duration::from_secs(2);
/// Request rate of all callers together.
const REQUESTS_PER_SECOND: u64 = 60;

/// A deployment of instances and plain backend servers.
pub fn deploy(instances: usize, servers: usize) -> Deployment {
    deploy_with_relays(instances, servers, false)
}

/// The same deployment, optionally with relays in front of the instances.
fn deploy_with_relays(instances: usize, servers: usize, with_relays: bool) -> Deployment {
    let mut deployment = Deployment::empty(with_relays);
    (0..servers).for_each(|number| deployment.add_server(&format!("d{number}"), DESK));
    for number in 0..instances {
        let store_endpoint = deployment.store.endpoint().expect("the store endpoint starts");
        deployment.add_instance_with(&format!("i{number}"), store_endpoint, OPERATOR);
    }
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    for at in 0..instances {
        wait_for("the instance serves", || {
            deployment
                .send(at, &Request::get("/read/"))
                .is_ok_and(|response| response.status == 200)
        });
    }
    deployment
}

/// A request path that names the instance and its process, so that an arrival shows which process forwarded
/// it.
fn path(deployment: &Deployment, at: usize) -> String {
    format!("/read/i{at}-{}", deployment.instances[at].starts)
}

/// The instance and process that forwarded a request.
fn sender(arrival: &Arrival) -> Option<String> {
    arrival.path.strip_prefix("/read/i").map(String::from)
}

/// Sends requests to all instances in turn at a fixed rate for a time, each without waiting for the
/// responses before it, and returns the statuses; 0 stands for a request without a response.
pub fn send_load(deployment: &Deployment, rate: u64, time: Duration) -> Vec<u16> {
    let all: Vec<usize> = (0..deployment.instances.len()).collect();
    send_load_to(deployment, &all, rate, time)
}

/// The same for some of the instances.
fn send_load_to(deployment: &Deployment, indexes: &[usize], rate: u64, time: Duration) -> Vec<u16> {
    let since = Instant::now();
    let pause = Duration::from_secs(1) / rate as u32;
    thread::scope(|scope| {
        let mut callers = Vec::new();
        for number in 0.. {
            if since.elapsed() > time {
                break;
            }
            let at = indexes[number as usize % indexes.len()];
            callers.push(scope.spawn(move || {
                let request = Request::get(&path(deployment, at));
                deployment.send(at, &request).map_or(0, |response| response.status)
            }));
            thread::sleep((pause * (number + 1)).saturating_sub(since.elapsed()));
        }
        callers.into_iter().map(|caller| caller.join().expect("no caller panics")).collect()
    })
}

/// Requests that arrived at a server beyond what a limit of `rate` per second allows; zero or less if it
/// was kept.
fn excess_over_limit(server: &Server, rate: f64) -> f64 {
    over_limit(&server.arrivals(), sender, (rate, LIMIT_GRACE))
}

/// A server that announces a limit gets no more than that from all instances together, whether one of many
/// servers or every server is limited.
#[test]
fn server_limit_holds_across_instances() {
    thread::scope(|scope| {
        for (servers, limited) in [(5, 1), (3, 3)] {
            scope.spawn(move || {
                let deployment = deploy(3, servers);
                let limited_servers = &deployment.servers[..limited];
                limited_servers.iter().for_each(|server| server.announce(Notice::limit("2.0")));
                send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_secs(12));
                for server in limited_servers {
                    let excess = excess_over_limit(server, 2.0);
                    assert!(
                        excess <= 0.0,
                        "{limited} of {servers} limited: {excess} more than allowed"
                    );
                }
            });
        }
    });
}

/// A server that announces that it is leaving gets no more requests from the instances that it told,
/// although its store entry says otherwise and is rewritten.
#[test]
fn leaving_notice_stops_requests() {
    let deployment = deploy(3, 3);
    let leaving = &deployment.servers[0];
    leaving.announce(Notice::leaving());
    for _ in 0..5 {
        send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_secs(1));
        let entry = leaving.entry(DESK, "ready").replace(r#""Slots":8"#, r#""Slots":7"#);
        deployment.store.put("keyed.servers", &leaving.id, &entry);
        deployment.store.put("keyed.servers", &leaving.id, &leaving.entry(DESK, "ready"));
    }
    let late = requests_after_leaving(&leaving.arrivals(), sender, LEAVING_GRACE);
    assert_eq!(late, 0, "of {} arrivals", leaving.arrivals().len());
}

/// A server that refuses requests and asks for a rest period gets it from each instance that it told.
#[test]
fn rest_notice_pauses_requests() {
    let deployment = deploy(3, 3);
    let resting = &deployment.servers[0];
    resting.announce(Notice::rest("3"));
    resting.set(Fault::Overloaded);
    send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_secs(8));
    let most = max_requests_during_rest(&resting.arrivals(), sender);
    assert!(most <= MAX_REQUESTS_DURING_REST, "{most} from one instance within a rest");
}

/// An operator query shows which servers are limited, leaving or resting and which instance heard it; the
/// log and the metrics show the notices too, and the log those that cannot be parsed.
#[test]
fn operators_can_query_notices() {
    let deployment = deploy(2, 1);
    let server = &deployment.servers[0];
    let wait_until_shown = |what: &str, words: &[&str]| {
        wait_for(what, || {
            send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_millis(200));
            let rows = operator_query(
                &deployment.instances[1],
                "show notices where limit_per_second = 0.5",
            );
            words.iter().all(|words| rows.contains(words))
        });
    };
    server.announce(Notice::limit("abc"));
    send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_millis(200));
    server.set(Fault::Overloaded);
    server.announce(Notice {
        leaving: Some("1".into()),
        rest: Some("60".into()),
        ..Notice::limit("0.5")
    });
    wait_until_shown(
        "all notices are shown",
        &["\"leaving\":true", "\"rest_left_ms\":5", "\"heard_by\":\"i"],
    );
    let lines: String = deployment.instances.iter().map(|instance| instance.log()).collect();
    for words in ["names a limit", "says that it leaves", "asks for rest", "cannot be read"] {
        assert!(lines.contains(words), "no line says {words:?}");
    }
    for gauge in ["limited", "leaving", "resting"] {
        let name = format!("drumusher_servers_{gauge}");
        let sum = |instance: &crate::support::Instance| instance.metric(&[&name]);
        assert!(deployment.instances.iter().map(sum).sum::<f64>() >= 1.0, "{name}");
    }
}

/// A disruption of instances while a server is limited.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    /// The instances, the dispatcher among them, are killed one after the other and restarted.
    Killed,
    /// The instances are stopped gracefully one after the other and restarted.
    Rolled,
    /// The instances are paused and resumed one after the other, like suspended machines.
    Frozen,
    /// No instance reaches another one for a while.
    CutOff,
}

/// The instances together keep a limit although dispatchers change and the fleet is partitioned. Only
/// requests from processes that were told the limit count; a restarted process is a new one.
#[rstest]
#[case(Disruption::Killed)]
#[case(Disruption::Rolled)]
#[case(Disruption::Frozen)]
#[case(Disruption::CutOff)]
fn server_limit_holds_while_dispatchers_change(#[case] disruption: Disruption) {
    let mut deployment = deploy_with_relays(4, 3, true);
    let limited_server = deployment.servers[0].clone();
    limited_server.announce(Notice::limit("3"));
    send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_secs(4));
    for at in 0..4 {
        disrupt(&mut deployment, at, disruption);
        let up: Vec<usize> = match disruption {
            Disruption::CutOff => (0..4).collect(),
            _ => (0..4).filter(|other| *other != at).collect(),
        };
        send_load_to(&deployment, &up, REQUESTS_PER_SECOND, Duration::from_millis(1_200));
        restore(&mut deployment, at, disruption);
        send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_millis(800));
    }
    let excess = excess_over_limit(&limited_server, 3.0);
    println!("{disruption:?}: {excess} beyond what is allowed");
    assert!(excess <= 0.0, "{disruption:?}: {excess} more than allowed");
}

fn disrupt(deployment: &mut Deployment, at: usize, disruption: Disruption) {
    let instance = &mut deployment.instances[at];
    match disruption {
        Disruption::Killed => instance.signal("KILL"),
        Disruption::Rolled => instance.signal("TERM"),
        Disruption::Frozen => instance.signal("STOP"),
        Disruption::CutOff => set_peer_relays(deployment, Mode::Stalled),
    }
}

fn restore(deployment: &mut Deployment, at: usize, disruption: Disruption) {
    let instance = &mut deployment.instances[at];
    match disruption {
        Disruption::Killed | Disruption::Rolled => {
            wait_for("the process is gone", || instance.ended().is_some());
            instance.restart();
        }
        Disruption::Frozen => instance.signal("CONT"),
        Disruption::CutOff => set_peer_relays(deployment, Mode::Open),
    }
}

fn set_peer_relays(deployment: &Deployment, mode: Mode) {
    let relays = deployment.instances.iter().filter_map(|instance| instance.relays.as_ref());
    relays.for_each(|relays| relays.peers.set(mode));
}

/// Once a limit is lifted, even one of zero, the server gets as many requests as before.
#[rstest]
#[case("0")]
#[case("0.2")]
#[case("5")]
fn traffic_returns_after_a_limit_is_lifted(#[case] limit: &str) {
    let deployment = deploy(2, 2);
    let server = &deployment.servers[0];
    server.announce(Notice::limit(limit));
    send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_secs(2));
    server.announce(Notice::default());
    let lifted = |at: usize| operator_query(&deployment.instances[at], "show notices").is_empty();
    wait_for("the limit is lifted", || {
        send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_millis(200));
        lifted(0) && lifted(1)
    });
    let before = server.arrivals().len();
    wait_for("the server gets as many requests as before", || {
        send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_millis(500));
        server.arrivals().len() > before + 20
    });
}

/// Notices that cannot be parsed, and limits above any possible load, block no requests.
#[rstest]
#[case(Notice::limit("abc"))]
#[case(Notice::limit("-1"))]
#[case(Notice::limit("NaN"))]
#[case(Notice::limit("1e30"))]
#[case(Notice::limit("1000"))]
#[case(Notice { leaving: Some("0".into()), ..Notice::default() })]
fn malformed_or_excessive_notices_block_nothing(#[case] notice: Notice) {
    let deployment = deploy(2, 1);
    deployment.servers[0].announce(notice);
    let statuses = send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_secs(1));
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// When all servers of a service are limited, requests that cannot be served in time are refused as not
/// run, with Retry-After.
#[test]
fn requests_beyond_the_limits_are_refused_with_retry_after() {
    let deployment = deploy(2, 2);
    deployment.servers.iter().for_each(|server| server.announce(Notice::limit("1")));
    let statuses = send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_secs(4));
    assert!(statuses.iter().all(|status| [200, 429, 503].contains(status)), "{statuses:?}");
    let request = Request::get(&path(&deployment, 0));
    let refused = || {
        deployment.send(0, &request.with_new_id()).ok().filter(|response| response.status != 200)
    };
    let mut response = None;
    wait_for("a request is refused", || {
        response = refused();
        response.is_some()
    });
    let response = response.expect("a request is refused");
    let again: f64 = response.header("retry-after").and_then(|t| t.parse().ok()).expect("a time");
    assert!(
        again > 0.0 && response.text().contains(r#""ran":"no""#),
        "{again}: {}",
        response.text()
    );
}

/// When the only server asks one instance for a rest period, that instance refuses requests at once with
/// the remaining time in Retry-After and sends none; another instance continues to send.
#[test]
fn requests_are_refused_with_retry_after_while_all_servers_rest() {
    let deployment = deploy(2, 1);
    let server = &deployment.servers[0];
    server.announce(Notice::rest("20"));
    server.set(Fault::Overloaded);
    let request = Request::get(&path(&deployment, 0));
    assert_ne!(deployment.send(0, &request.with_new_id()).expect("a response").status, 200);
    server.set(Fault::None);
    let reached = server.arrivals().len();
    for _ in 0..5 {
        let response = deployment.send(0, &request.with_new_id()).expect("a response");
        assert_eq!(response.status, 503);
        let again: f64 =
            response.header("retry-after").and_then(|t| t.parse().ok()).expect("a time");
        assert!((1.0..=20.0).contains(&again), "{again}");
    }
    assert_eq!(server.arrivals().len(), reached, "nothing is sent to the resting server");
    let returned = deployment.instances[0].metric(&["grants_returned"]);
    assert_eq!(returned, 0.0, "the dispatcher knows of the rest and grants nothing");
    let other = Request::get(&path(&deployment, 1));
    wait_for("the other instance serves", || {
        deployment.send(1, &other.with_new_id()).is_ok_and(|response| response.status == 200)
    });
}

/// A leaving notice is read from any response: to a plain request, a refusal, a failure or a stream.
#[rstest]
#[case(Fault::None, "/read/")]
#[case(Fault::Overloaded, "/read/")]
#[case(Fault::Fails, "/read/")]
#[case(Fault::Crossed, "/read/")]
#[case(Fault::None, "/talk/")]
fn leaving_notice_is_read_from_any_response(#[case] fault: Fault, #[case] path: &str) {
    let deployment = Deployment::new(1);
    let prefix = if path == "/read/" { "d" } else { "m" };
    let mut of_service = deployment.servers.iter().filter(|server| server.id.starts_with(prefix));
    let (leaving, other) =
        (of_service.next().expect("a first server"), of_service.next().expect("a second server"));
    leaving.announce(Notice::leaving());
    leaving.set(fault);
    // Makes the instance try the leaving server.
    other.set(Fault::Overloaded);
    wait_for("the notice is logged", || {
        let _ = deployment.send(0, &Request::get(path));
        deployment.instances[0].log().contains("says that it leaves")
    });
    [leaving, other].iter().for_each(|server| server.set(Fault::None));
    let reached = leaving.arrivals().len();
    for _ in 0..20 {
        wait_for("the request is served", || {
            deployment.send(0, &Request::get(path)).is_ok_and(|response| response.status == 200)
        });
    }
    assert_eq!(leaving.arrivals().len(), reached);
}

/// When all servers of a service are leaving, requests are refused at once. A server that restarts is used
/// again.
#[test]
fn server_restart_clears_its_notices() {
    let deployment = deploy(2, 1);
    let server = &deployment.servers[0];
    server.announce(Notice::leaving());
    send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_millis(300));
    let reached = server.arrivals().len();
    let statuses = send_load(&deployment, REQUESTS_PER_SECOND, Duration::from_secs(1));
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    assert_eq!(server.arrivals().len(), reached);
    server.announce(Notice::default());
    deployment.store.put("keyed.servers", &server.id, &server.entry_started_at(DESK, "ready", 9));
    for at in 0..2 {
        wait_for("the request is served", || {
            let request = Request::get(&path(&deployment, at));
            deployment.send(at, &request).is_ok_and(|response| response.status == 200)
        });
    }
}
