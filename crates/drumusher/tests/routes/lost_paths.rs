//! Instances that lose their paths to all backend servers, which the other instances still reach.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;

use crate::support::{DESK, Deployment, Link, Links, MODEL, Request};

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

/// A deployment whose backend servers are behind proxies.
fn deploy() -> (Deployment, Links) {
    let (mut deployment, links) = (Deployment::empty(false), Links::default());
    for number in 0..4 {
        deployment.add_server_behind(&format!("d{number}"), DESK, &links);
        deployment.add_server_behind(&format!("m{number}"), MODEL, &links);
    }
    for number in 0..INSTANCES {
        deployment.add_instance(&format!("i{number}"));
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
    let (deployment, links) = deploy();
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
    for (served, sent) in [cut_off, others] {
        let allowed = ALLOWED_FAILURES + sent / ALLOWED_SHARE;
        assert!(
            sent - served <= allowed,
            "cut off: {cut_off:?} served of sent, others: {others:?}"
        );
    }
}
