//! A part of a prompt that crashes each engine which begins to answer a request with it. No two requests are alike, and
//! sound requests share their caller and their other parts.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Crash, Ending, Server};
use rstest::rstest;

use crate::support::{Deployment, MODEL, Request, configuration};

/// Number of engines and instances.
const ENGINES: usize = 9;
const INSTANCES: usize = 3;
/// Callers of requests with the part, and of sound ones.
const CRASHING_CALLERS: usize = 3;
const SOUND_CALLERS: usize = 4;
/// Pause between two requests of a caller of sound requests.
const PAUSE: Duration = Duration::from_millis(100);
/// The part that crashes engines.
const PART: &str = "dead";
/// How long sound requests run alone, and then beside the others.
const SOUND_TIME: Duration = Duration::from_secs(2);
const BOTH_TIME: Duration = Duration::from_secs(13);
/// How long an engine is down.
const DOWNTIME: Duration = Duration::from_millis(1_500);
/// All instances have to hold the part back from this time after the fifth crash.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// How many requests with the part may reach engines after that.
const MAX_LATE_ARRIVALS: usize = 3;

/// When sound requests were sent, and whether they were served.
type Sent = Mutex<Vec<(Instant, bool)>>;

fn deploy() -> Deployment {
    let mut deployment = Deployment::empty(false);
    for number in 0..ENGINES {
        deployment.add_server(&format!("m{number}"), MODEL);
    }
    for number in 0..INSTANCES {
        deployment.add_instance(&format!("i{number}"));
    }
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    for at in 0..INSTANCES {
        drumusher_bench::fleet::wait_for("the instance serves", || {
            let request = Request::get("/talk/start");
            deployment.send(at, &request).is_ok_and(|response| response.status == 200)
        });
    }
    for server in &deployment.servers {
        server.crash_on(Some(Crash {
            path: "/talk/".into(),
            part: Some(PART.into()),
            events: 0,
            after: Duration::from_millis(40),
            ending: Ending::Closed,
            down: DOWNTIME,
            renamed: false,
            service: MODEL.into(),
            store: deployment.store.clone(),
        }));
    }
    deployment
}

/// A request with a path and a last part of its own after these parts.
fn request(parts: &str) -> Request {
    static NUMBER: AtomicUsize = AtomicUsize::new(1);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    Request::get(&format!("/talk/{number}"))
        .without("Drumusher-Prompt-Prefix")
        .with("Drumusher-Prompt-Prefix", &format!("{parts},f{number:x}:100"))
}

/// Sends requests to one instance after the other until `until`.
fn call(
    deployment: &Deployment,
    at: usize,
    (parts, pause): (&str, Duration),
    until: Instant,
    sent: &Sent,
) {
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let began = Instant::now();
        let response = deployment.send((at + number) % INSTANCES, &request(parts));
        let served = response.is_ok_and(|response| response.status == 200 && response.complete);
        sent.lock().expect("no holder panics").push((began, served));
        thread::sleep(pause);
    }
}

/// Arrivals of requests with the part at engines.
fn arrivals(deployment: &Deployment) -> Vec<Instant> {
    let runs = deployment.servers.iter().flat_map(Server::runs);
    let with_part = runs.filter(|run| {
        run.request.header("drumusher-prompt-prefix").is_some_and(|parts| parts.contains(PART))
    });
    with_part.map(|run| run.at).collect()
}

#[rstest]
#[case::first_part_is_shared("a1:200,dead:300", "a1:200,b2:300")]
#[case::no_other_part_is_shared("dead:300", "a1:200,b2:300")]
#[case::parts_around_it_are_shared("a1:200,dead:300,b2:100", "a1:200,b2:100")]
fn requests_with_a_part_that_crashes_engines_are_held_back_and_sound_ones_served(
    #[case] crashing: &str,
    #[case] sound: &str,
    #[values(100, 300)] crashing_pause_ms: u64,
) {
    let crashing_pause = Duration::from_millis(crashing_pause_ms);
    let deployment = deploy();
    let (sent, ignored) = (Sent::default(), Sent::default());
    let began = Instant::now();
    let until = began + SOUND_TIME + BOTH_TIME;
    thread::scope(|scope| {
        let (deployment, sent, ignored) = (&deployment, &sent, &ignored);
        for at in 0..SOUND_CALLERS {
            scope.spawn(move || call(deployment, at, (sound, PAUSE), until, sent));
        }
        for at in 0..CRASHING_CALLERS {
            scope.spawn(move || {
                thread::sleep(SOUND_TIME);
                call(deployment, at, (crashing, crashing_pause), until, ignored);
            });
        }
    });
    let mut crashes: Vec<Instant> = deployment.servers.iter().flat_map(Server::crashes).collect();
    crashes.sort();
    let fifth = *crashes.get(4).or(crashes.last()).expect("engines crashed");
    let late = arrivals(&deployment).iter().filter(|at| **at > fifth + DETECTION_TIME).count();
    let sent = sent.into_inner().expect("no holder panics");
    let share = |from: Instant, to: Instant| {
        let within: Vec<bool> =
            sent.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, s)| *s).collect();
        (within.iter().filter(|served| **served).count(), within.len())
    };
    let (before, after) =
        (share(began, began + SOUND_TIME), share(fifth + 2 * DETECTION_TIME, until));
    println!(
        "{} crashes, {late} late arrivals, sound served of sent: {before:?} before, {after:?} after",
        crashes.len()
    );
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals, {} crashes", crashes.len());
    assert!(after.1 > 0 && after.0 * before.1 * 2 >= after.1 * before.0, "{before:?}, {after:?}");
}
