//! Instances that lose their paths to all backend servers, which the other instances still reach.

use std::{
    io::Write,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;

use drumusher_adapter_stand_in::{
    Fault,
    server::{body, events},
};
use drumusher_bench::fleet::wait_for;

use crate::{
    soak::knows_left,
    support::{DESK, Deployment, Link, Links, MODEL, Request, early},
};

/// Number of instances.
const INSTANCES: usize = 4;
/// Time between two requests to an instance.
const INTERVAL: Duration = Duration::from_millis(80);
/// Requests count from this time after the paths were lost.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How long requests are counted.
const COUNTED_TIME: Duration = Duration::from_secs(4);
/// Failed requests that are allowed whatever their share.
const ALLOWED_FAILURES: usize = 10;
/// One request in this many may fail besides.
const ALLOWED_SHARE: usize = 50;

/// Requests that were sent, and those that were served at the first attempt.
#[derive(Debug, Default)]
struct Tally {
    sent: AtomicUsize,
    served: AtomicUsize,
}

impl Tally {
    fn counts(&self) -> (usize, usize) {
        (self.served.load(Ordering::Acquire), self.sent.load(Ordering::Acquire))
    }
}

/// Held by the test that runs: each has many processes and threads, and counts what they serve in time.
static RUNNING: Mutex<()> = Mutex::new(());

fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A deployment of some instances, whose backend servers are behind proxies.
fn deploy(instances: usize) -> (Deployment, Links) {
    deploy_with(instances, "")
}

/// The same with additional settings of all instances.
fn deploy_with(instances: usize, extra_settings: &str) -> (Deployment, Links) {
    let (mut deployment, links) = (Deployment::empty(false), Links::default());
    for number in 0..4 {
        deployment.add_server_behind(&format!("d{number}"), DESK, &links);
        deployment.add_server_behind(&format!("m{number}"), MODEL, &links);
    }
    for number in 0..instances {
        let store_endpoint = deployment.store.endpoint().expect("the store endpoint starts");
        deployment.add_instance_with(&format!("i{number}"), store_endpoint, extra_settings);
        links.set(deployment.instances[number].process(), Link::Open);
    }
    deployment.store.put("keyed.op", "config", &crate::support::configuration(1, ""));
    deployment.wait_serving();
    (deployment, links)
}

/// Sends requests to an instance at a fixed rate and counts those sent after `from`.
fn send_requests(deployment: &Deployment, at: usize, tally: &Tally, from: Instant) {
    let until = from + COUNTED_TIME;
    thread::scope(|scope| {
        for number in 0.. {
            let now = Instant::now();
            if now >= until {
                break;
            }
            let request = Request::get(if number % 2 == 0 { "/read/" } else { "/talk/" });
            scope.spawn(move || {
                let response = deployment.send(at, &request);
                let served = response.is_ok_and(|r| r.status == 200 && r.complete);
                if now >= from {
                    tally.sent.fetch_add(1, Ordering::AcqRel);
                    tally.served.fetch_add(usize::from(served), Ordering::AcqRel);
                }
            });
            thread::sleep(INTERVAL);
        }
    });
}

#[rstest]
#[case::reset_at_two_of_four(Link::Reset, 2)]
#[case::silent_at_two_of_four(Link::Silent, 2)]
#[case::reset_at_three_of_four(Link::Reset, 3)]
#[case::silent_at_one_of_four(Link::Silent, 1)]
#[case::no_new_connections_at_two_of_four(Link::NoNew, 2)]
fn instances_without_a_path_to_backend_servers_serve_like_the_others(
    #[case] link: Link,
    #[case] lost: usize,
) {
    let _running = run_alone();
    let (deployment, links) = deploy(INSTANCES);
    let tallies: Vec<Tally> = (0..INSTANCES).map(|_| Tally::default()).collect();
    deployment.instances[..lost].iter().for_each(|instance| links.set(instance.process(), link));
    let from = Instant::now() + CONTACT_TIME;
    thread::scope(|scope| {
        for (at, tally) in tallies.iter().enumerate() {
            let deployment = &deployment;
            scope.spawn(move || send_requests(deployment, at, tally, from));
        }
    });
    let sum = |tallies: &[Tally]| {
        let counts = tallies.iter().map(Tally::counts);
        counts.fold((0, 0), |sum, (served, sent)| (sum.0 + served, sum.1 + sent))
    };
    let (cut_off, others) = (sum(&tallies[..lost]), sum(&tallies[lost..]));
    println!("served of sent: {cut_off:?} cut off, {others:?} at the others");
    for (served, sent) in [cut_off, others] {
        let allowed = ALLOWED_FAILURES + sent / ALLOWED_SHARE;
        assert!(sent - served <= allowed, "{served} of {sent} served");
    }
}

/// Two instances, of which the first reaches backend servers only through the second, and knows it.
fn deploy_relayed() -> Deployment {
    deploy_relayed_with("")
}

/// The same with additional settings of both instances.
fn deploy_relayed_with(extra_settings: &str) -> Deployment {
    let (deployment, links) = deploy_with(2, extra_settings);
    links.set(deployment.instances[0].process(), Link::Reset);
    wait_for("the first instance is isolated", || {
        for path in ["/talk/", "/read/"] {
            // Whether this one is served does not matter.
            let _ = deployment.send(0, &Request::get(path));
        }
        deployment.instances[0].log().contains("\"isolated\":\"true\"")
    });
    deployment
}

#[rstest]
fn a_planned_stop_of_the_instance_between_cuts_no_request() {
    let _running = run_alone();
    let deployment = deploy_relayed();
    deployment.servers.iter().for_each(|server| server.set(Fault::Slow));
    let requests = ["/book/", "/draft/"].map(Request::get);
    thread::scope(|scope| {
        let deployment = &deployment;
        let sent = requests.each_ref().map(|request| scope.spawn(|| deployment.send(0, request)));
        for request in &requests {
            wait_for("the request runs", || deployment.runs(&request.id) == 1);
        }
        deployment.instances[1].signal("TERM");
        for (request, sent) in requests.iter().zip(sent) {
            let response = sent.join().expect("no panic").expect("a response");
            assert_eq!((response.status, response.complete), (200, true), "{}", request.path);
        }
    });
}

/// A late copy of a rejection that comes through another instance is not taken for the response to a later attempt.
#[rstest]
fn rejection_that_comes_again_rejects_no_later_attempt_behind_the_other_instance() {
    let _running = run_alone();
    let deployment = deploy_relayed();
    for id in ["d1", "d2", "d3"] {
        let entry = deployment.server(id).entry(DESK, "draining");
        deployment.store.put("keyed.servers", id, &entry);
        for instance in &deployment.instances {
            wait_for("the instance logs that the server leaves", || knows_left(instance, id));
        }
    }
    deployment.server("d0").set(Fault::RejectedAgain);
    for _ in 0..6 {
        let request = Request::post("/book/", "x");
        let response = deployment.send(0, &request).expect("a response");
        assert_eq!((response.status, response.text()), (200, body(&request.id)));
        assert_eq!(deployment.runs(&request.id), 1);
    }
    let attempts = deployment.instances[0].log().matches("\"tunnelled\":\"true\"").count();
    assert!(attempts >= 6, "{attempts} rejections came through the other instance");
}

#[rstest]
#[case::may_run_once("/book/", 502)]
#[case::stream_that_may_run_once("/draft/", 502)]
fn the_end_of_the_instance_between_is_no_promise_that_a_request_did_not_run(
    #[case] path: &str,
    #[case] status: u16,
) {
    let _running = run_alone();
    let deployment = deploy_relayed();
    deployment.servers.iter().for_each(|server| server.set(Fault::Hang));
    let request = Request::get(path);
    thread::scope(|scope| {
        let sent = scope.spawn(|| deployment.send(0, &request));
        wait_for("the request runs", || deployment.runs(&request.id) > 0);
        deployment.instances[1].signal("KILL");
        let response = sent.join().expect("no panic").expect("a response");
        assert_eq!(response.status, status);
    });
    assert_eq!(deployment.runs(&request.id), 1);
}

/// Guards against an unknown outcome where the instance between never forwarded the request.
#[rstest]
fn a_request_that_the_instance_between_does_not_take_is_said_not_to_have_run() {
    let _running = run_alone();
    let deployment = deploy_relayed_with("[limits]\nrequests = 2\n");
    deployment.servers.iter().for_each(|server| server.set(Fault::Hang));
    let (request, occupying) = (Request::get("/book/"), Request::get("/book/occupying"));
    let occupied = || {
        let runs = deployment.servers.iter().flat_map(|server| server.runs());
        runs.filter(|run| run.request.path() == occupying.path).count()
    };
    thread::scope(|scope| {
        let (deployment, occupying) = (&deployment, &occupying);
        for _ in 0..2 {
            // A health check that passes through may take the place for a moment.
            scope.spawn(move || {
                let send = || deployment.send(1, &occupying.with_new_id());
                while send().is_ok_and(|response| response.status == 503) {}
            });
        }
        wait_for("the instance is at its limit", || occupied() == 2);
        let response = deployment.send(0, &request).expect("a response");
        assert_eq!(response.status, 503, "{}", response.text());
    });
    assert_eq!(deployment.runs(&request.id), 0);
}

#[rstest]
fn a_caller_that_leaves_ends_its_request_behind_the_other_instance() {
    let _running = run_alone();
    let deployment = deploy_relayed();
    deployment.servers.iter().for_each(|server| server.set(Fault::Hang));
    let request = Request::get("/book/");
    let mut caller = deployment.connect(0).expect("a connection");
    caller.write_all(&request.bytes()).expect("the request is sent");
    wait_for("the request runs", || deployment.runs(&request.id) == 1);
    drop(caller);
    wait_for("the backend server sees the end of the connection", || {
        deployment.servers.iter().map(|server| server.client_disconnects()).sum::<usize>() == 1
    });
}

#[rstest]
fn events_pass_the_other_instance_unchanged_and_in_order() {
    let _running = run_alone();
    let deployment = deploy_relayed();
    let request = Request::get("/draft/");
    let response = deployment.send(0, &request).expect("a response");
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(response.text(), events(&request.id));
}

#[rstest]
#[case::whole(Fault::Unframed, 200)]
#[case::reset(Fault::UnframedReset, 502)]
fn a_response_without_a_length_ends_whole_only_if_the_server_closed_it(
    #[case] fault: Fault,
    #[case] status: u16,
) {
    let _running = run_alone();
    let deployment = deploy_relayed();
    deployment.servers.iter().for_each(|server| server.set(fault));
    let response = deployment.send(0, &Request::get("/book/")).expect("a response");
    assert_eq!(response.status, status);
}

/// Bytes that a response without end may cost behind another instance: what both instances read before they give it up, and
/// the buffers of two connections.
const MAX_ENDLESS_BYTES: usize = 16 * 1024 * 1024;

/// Guards against an instance that passes bytes on without end for another one.
#[rstest]
#[case::interim(Fault::EndlessInterim)]
#[case::trailers(Fault::EndlessTrailers)]
fn response_without_end_is_given_up_behind_the_other_instance(#[case] fault: Fault) {
    let _running = run_alone();
    let deployment = deploy_relayed();
    deployment.servers.iter().for_each(|server| server.set(fault));
    let request = Request::get("/book/");
    let response = deployment.send(0, &request).expect("a response");
    assert_eq!((response.status, deployment.runs(&request.id)), (502, 1));
    let sent: usize = deployment.servers.iter().map(|server| server.endless_bytes()).sum();
    assert!(sent > 0 && sent <= MAX_ENDLESS_BYTES, "{sent} bytes");
}

/// Guards against a damaged response that is passed on behind another instance.
#[rstest]
#[case::status(Fault::InvalidStatus)]
#[case::length(Fault::ShortLength)]
#[case::coding(Fault::UnnamedChunks)]
fn damaged_response_is_refused_behind_the_other_instance(#[case] fault: Fault) {
    let _running = run_alone();
    let deployment = deploy_relayed();
    deployment.servers.iter().for_each(|server| server.set(fault));
    let request = Request::get("/book/");
    let response = deployment.send(0, &request).expect("a response");
    assert_eq!((response.status, deployment.runs(&request.id)), (502, 1));
    assert_eq!(response.header("drumusher-response-seal"), None);
}

/// Guards against a part of a response that is passed on as whole behind another instance: its server closed its side of the
/// connection before it had read the request, and reset the connection only later.
#[rstest]
fn early_response_that_is_reset_later_is_not_whole_behind_the_other_instance() {
    const BODY_BYTES: usize = 1024 * 1024;
    let _running = run_alone();
    let (deployment, links) = deploy(2);
    let limit = format!("\"MaxBodyBytes\":{}", 2 * BODY_BYTES);
    let routes = crate::support::configuration(2, "").replace("\"MaxBodyBytes\":5000", &limit);
    deployment.store.put("keyed.op", "config", &routes);
    let address = links.server(early::respond).expect("the server starts").to_string();
    let sound = deployment.server("d0");
    let entry = sound.entry(DESK, "ready").replace(&sound.address.to_string(), &address);
    deployment.store.put("keyed.servers", "e0", &entry);
    for id in ["d0", "d1", "d2", "d3"] {
        deployment.store.put("keyed.servers", id, &deployment.server(id).entry(DESK, "draining"));
        for instance in &deployment.instances {
            wait_for("the instance logs that the server leaves", || knows_left(instance, id));
        }
    }
    links.set(deployment.instances[0].process(), Link::Reset);
    let body = "x".repeat(BODY_BYTES);
    wait_for("a response comes through the other instance", || {
        let request = Request::post("/book/", &body);
        let response = deployment.send(0, &request).expect("a response");
        assert_ne!(response.status, 200, "{}", response.text());
        let log = deployment.instances[0].log();
        let ended = |line: &str| line.contains(&request.id) && line.contains("attempt ended");
        log.lines().any(|line| ended(line) && line.contains("\"tunnelled\":\"true\""))
    });
}

#[rstest]
fn lost_paths_are_no_crashes_of_backend_servers() {
    let _running = run_alone();
    let (deployment, links) = deploy(2);
    deployment.servers.iter().for_each(|server| server.set(Fault::Slow));
    thread::scope(|scope| {
        for number in 0..8 {
            let path = if number % 2 == 0 { "/read/" } else { "/talk/" };
            let deployment = &deployment;
            scope.spawn(move || deployment.send(0, &Request::get(path)));
        }
        wait_for("the requests run", || {
            deployment.servers.iter().flat_map(|server| server.runs()).count() >= 8 + 4
        });
        links.set(deployment.instances[0].process(), Link::Reset);
    });
    for instance in &deployment.instances {
        assert!(!instance.log().contains("crashed while it ran"), "{}", instance.log());
    }
}

#[rstest]
fn a_silence_of_a_second_of_all_servers_breaks_no_request_and_loses_no_path() {
    let _running = run_alone();
    let (deployment, links) = deploy(2);
    let set = |link| {
        deployment.instances.iter().for_each(|instance| links.set(instance.process(), link));
    };
    thread::scope(|scope| {
        let deployment = &deployment;
        set(Link::Silent);
        let sent = (0..8).map(|number| {
            let request = Request::get(["/book/", "/draft/"][number % 2]);
            scope.spawn(move || deployment.send(number % 2, &request))
        });
        let sent: Vec<_> = sent.collect();
        thread::sleep(Duration::from_millis(1_200));
        set(Link::Open);
        for sent in sent {
            let response = sent.join().expect("no panic").expect("a response");
            assert_eq!((response.status, response.complete), (200, true));
        }
    });
    for instance in &deployment.instances {
        assert!(!instance.log().contains("the path to a backend server is lost"));
    }
}
