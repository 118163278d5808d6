//! Requests that crash their backend servers in different ways, and what looks like it and is no crash.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use drumusher_adapter_stand_in::{Crash, Ending, Fault, Server, server::events};
use drumusher_bench::fleet::wait_for;
use rstest::rstest;

use crate::{
    quarantine::{
        MAX_LATE_ARRIVALS, REPEAT_DURATION, crash_times, deploy, deploy_with, late_arrivals,
        repeat_request, status_and_code, wait_until_held,
    },
    support::{DESK, Deployment, MODEL, Request, operator_query},
};

/// How long a crashed server is down.
const DOWNTIME: Duration = Duration::from_millis(600);
/// How long it is down if it is noticed only by its return.
const LONG_DOWNTIME: Duration = Duration::from_secs(5);
/// How long it is down if its end has to be noticed before it is back.
const RESTART_TIME: Duration = Duration::from_millis(2_500);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(150);
/// How long servers stand still, or are down in an outage.
const PAUSE_OF_SERVER: Duration = Duration::from_millis(1_500);

/// When a request crashes its backend server.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// On arrival.
    Arrival,
    /// Long after its arrival, without any answer before.
    Late,
    /// The same, after its instance turned to another server.
    Overdue,
    /// After the first event of a stream.
    FirstEvent,
    /// After events of more than a second.
    ManyEvents,
}

impl Moment {
    /// The request that crashes servers.
    fn request(self) -> Request {
        match self {
            Moment::Arrival => Request::get("/read/x"),
            Moment::Late => Request::post("/book/x", "a booking"),
            Moment::Overdue | Moment::FirstEvent | Moment::ManyEvents => Request::get("/talk/x"),
        }
    }

    /// The number of events before the crash, and the time from the last one or the arrival to the crash.
    fn delay(self) -> (u64, Duration) {
        match self {
            Moment::Arrival => (0, Duration::ZERO),
            Moment::Late => (0, Duration::from_millis(1_200)),
            Moment::Overdue => (0, Duration::from_millis(1_500)),
            Moment::FirstEvent => (1, Duration::from_millis(40)),
            Moment::ManyEvents => (15, Duration::ZERO),
        }
    }
}

/// How servers crash.
#[derive(Clone, Copy, Debug)]
struct Manner {
    moment: Moment,
    ending: Ending,
    renamed: bool,
    down: Duration,
}

/// Makes the servers of the request's service crash on it.
fn crash_servers(deployment: &Deployment, manner: Manner) {
    let request = manner.moment.request();
    let (service, prefix) =
        if request.path.starts_with("/talk") { (MODEL, 'm') } else { (DESK, 'd') };
    let (events, after) = manner.moment.delay();
    for server in deployment.servers.iter().filter(|server| server.id.starts_with(prefix)) {
        server.crash_on(Some(Crash {
            path: request.path.clone(),
            part: None,
            events,
            after,
            ending: manner.ending,
            down: manner.down,
            renamed: manner.renamed,
            service: service.into(),
            store: deployment.store.clone(),
        }));
    }
}

fn check_held_back(manner: Manner) {
    let deployment = deploy(3);
    crash_servers(&deployment, manner);
    let request = manner.moment.request();
    repeat_request(&deployment, &request, REPEAT_DURATION);
    wait_until_held(&deployment, &request);
    let crashes = crash_times(&deployment).len();
    let late = late_arrivals(&deployment, &request.path);
    println!("{manner:?}: {crashes} crashes, {late} late arrivals");
    assert!(late <= MAX_LATE_ARRIVALS, "{manner:?}: {late} late arrivals, {crashes} crashes");
    for path in ["/read/other", "/talk/other"] {
        wait_for("other requests are served", || {
            let response = deployment.send(0, &Request::get(path));
            response.is_ok_and(|response| response.status == 200 && response.complete)
        });
    }
}

/// From three seconds after the third crash, the request arrives at servers three more times at most.
#[rstest]
fn request_is_held_back_however_it_crashes_its_servers(
    #[values(Ending::Closed, Ending::Reset, Ending::Silent)] ending: Ending,
    #[values(
        Moment::Arrival,
        Moment::Late,
        Moment::Overdue,
        Moment::FirstEvent,
        Moment::ManyEvents
    )]
    moment: Moment,
    #[values(false, true)] renamed: bool,
) {
    check_held_back(Manner { moment, ending, renamed, down: DOWNTIME });
}

/// Servers that stay silent for longer than the time in which the request has to be noticed.
#[rstest]
fn request_is_held_back_although_its_servers_stay_silent(
    #[values(Moment::Arrival, Moment::FirstEvent)] moment: Moment,
    #[values(false, true)] renamed: bool,
) {
    check_held_back(Manner { moment, ending: Ending::Silent, renamed, down: LONG_DOWNTIME });
}

/// A request that half of the servers answer is held back as well.
#[rstest]
#[case(Ending::Closed)]
#[case(Ending::Silent)]
fn request_that_crashes_some_servers_is_held_back(#[case] ending: Ending) {
    let deployment = deploy_with(3, 8);
    let manner = Manner { moment: Moment::Arrival, ending, renamed: true, down: DOWNTIME };
    crash_servers(&deployment, manner);
    let sound = deployment.servers.iter().filter(|server| server.id.starts_with('d')).skip(4);
    sound.for_each(|server| server.crash_on(None));
    let request = manner.moment.request();
    repeat_request(&deployment, &request, REPEAT_DURATION);
    wait_until_held(&deployment, &request);
    let late = late_arrivals(&deployment, &request.path);
    println!("{ending:?}: {} crashes, {late} late arrivals", crash_times(&deployment).len());
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals");
}

/// A popular request, running at each crash, may run several times at once again after many answers.
#[test]
fn popular_request_is_cleared_by_many_answers() {
    let deployment = deploy_with(1, 4);
    let request = Moment::Arrival.request();
    let manner =
        Manner { moment: Moment::Arrival, ending: Ending::Closed, renamed: true, down: DOWNTIME };
    for round in 1..=2 {
        crash_servers(&deployment, manner);
        let sound = deployment.servers.iter().filter(|server| server.id != format!("d{round}"));
        sound.for_each(|server| server.crash_on(None));
        wait_for("a server crashes", || {
            status_and_code(&deployment, 0, &request);
            crash_times(&deployment).len() >= round
        });
        deployment.servers.iter().for_each(|server| server.crash_on(None));
        wait_for("the crash is known", || {
            let known = "a backend server crashed while it ran a request";
            deployment.instances[0].log().matches(known).count() >= round
        });
        wait_for("the request is answered", || status_and_code(&deployment, 0, &request).0 == 200);
    }
    for _ in 0..40 {
        status_and_code(&deployment, 0, &request);
    }
    deployment.servers.iter().for_each(|server| server.set(Fault::Hang));
    let requests: Vec<Request> = (0..3).map(|_| request.with_new_id()).collect();
    thread::scope(|scope| {
        for request in &requests {
            scope.spawn(|| deployment.send(0, request));
        }
    });
    for request in &requests {
        assert!(deployment.runs(&request.id) > 0, "each request runs");
    }
}

/// Callers of sound streams, which keep all engines busy.
const SOUND_CALLERS: usize = 9;

/// Sends sound streams until `is_held` and then 20 more. Returns how many of how many were served before and after.
fn call_sound(deployment: &Deployment, caller: usize, is_held: &AtomicBool) -> [(usize, usize); 2] {
    let mut counts = [(0, 0); 2];
    for number in 0.. {
        let held = usize::from(is_held.load(Ordering::Acquire));
        if counts[1].1 == 20 {
            break;
        }
        let request = Request::get(&format!("/talk/sound{caller}-{number}"));
        let response = deployment.send((caller + number) % 3, &request);
        let served = response.is_ok_and(|response| response.text() == events(&request.id));
        counts[held] = (counts[held].0 + usize::from(served), counts[held].1 + 1);
    }
    counts
}

/// Sound streams are served while such a request crashes servers, and after it is held back. What they receive from a
/// server just before its crash does not hide the crash.
#[rstest]
#[case(Ending::Closed)]
#[case(Ending::Reset)]
#[case(Ending::Silent)]
fn sound_streams_beside_it_are_served(#[case] ending: Ending) {
    let deployment = deploy_with(3, 9);
    let manner = Manner { moment: Moment::FirstEvent, ending, renamed: true, down: RESTART_TIME };
    crash_servers(&deployment, manner);
    let culprit = manner.moment.request();
    let is_held = AtomicBool::new(false);
    let counts = thread::scope(|scope| {
        let (deployment, is_held) = (&deployment, &is_held);
        let callers: Vec<_> = (0..SOUND_CALLERS)
            .map(|caller| scope.spawn(move || call_sound(deployment, caller, is_held)))
            .collect();
        repeat_request(deployment, &culprit, REPEAT_DURATION);
        wait_until_held(deployment, &culprit);
        is_held.store(true, Ordering::Release);
        let counts = callers.into_iter().map(|caller| caller.join().expect("the caller ends"));
        counts.collect::<Vec<_>>()
    });
    let total = |at: usize| {
        counts.iter().fold((0, 0), |(served, sent), of| (served + of[at].0, sent + of[at].1))
    };
    let (beside, after) = (total(0), total(1));
    let (crashes, late) =
        (crash_times(&deployment).len(), late_arrivals(&deployment, &culprit.path));
    println!(
        "{ending:?}: {crashes} crashes, {late} late arrivals; {beside:?} served beside it, {after:?} after it"
    );
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals, {crashes} crashes");
    assert!(beside.0 * 2 >= beside.1, "{beside:?} served beside it");
    assert_eq!(after.0, after.1, "all are served after it");
}

/// What befalls the servers of a deployment, none of it caused by a request.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// One server after the other stands still.
    Pauses,
    /// All stand still at the same time.
    CommonPause,
    /// One after the other stands still, and loses its entry meanwhile.
    LapsedEntries,
    /// All fall silent at the same time and start again.
    Outage,
}

fn befall(deployment: &Deployment, trouble: Trouble, round: usize) {
    let engines: Vec<&Server> =
        deployment.servers.iter().filter(|server| server.id.starts_with('m')).collect();
    let one = engines[round % engines.len()];
    match trouble {
        Trouble::Pauses => one.pause(PAUSE_OF_SERVER),
        Trouble::CommonPause => engines.iter().for_each(|server| server.pause(PAUSE_OF_SERVER)),
        Trouble::LapsedEntries => {
            let entry = deployment.store.newest("keyed.servers", &one.id).expect("its entry");
            one.pause(PAUSE_OF_SERVER);
            thread::sleep(PAUSE_OF_SERVER / 3);
            deployment.store.remove("keyed.servers", &one.id);
            thread::sleep(PAUSE_OF_SERVER * 2 / 3);
            deployment.store.put("keyed.servers", &one.id, &entry);
        }
        Trouble::Outage => thread::scope(|scope| {
            for server in engines {
                let crash = Crash {
                    path: "/".into(),
                    part: None,
                    events: 0,
                    after: Duration::ZERO,
                    ending: Ending::Silent,
                    down: PAUSE_OF_SERVER,
                    renamed: false,
                    service: MODEL.into(),
                    store: deployment.store.clone(),
                };
                scope.spawn(move || server.crash(&crash));
            }
        }),
    }
}

/// A request whose servers pause, are cut off or fail for another reason is not taken for the cause.
#[rstest]
fn sound_request_is_not_held_back(
    #[values(Trouble::Pauses, Trouble::CommonPause, Trouble::LapsedEntries, Trouble::Outage)]
    trouble: Trouble,
) {
    let deployment = deploy_with(2, 3);
    let request = Request::get("/talk/same");
    let is_over = AtomicBool::new(false);
    let held = thread::scope(|scope| {
        let callers: Vec<_> = (0..2)
            .map(|at| {
                let (deployment, request, is_over) = (&deployment, &request, &is_over);
                scope.spawn(move || {
                    let mut held = 0;
                    while !is_over.load(Ordering::Acquire) {
                        held +=
                            usize::from(status_and_code(deployment, at, request).1 == "held_back");
                        thread::sleep(PAUSE);
                    }
                    held
                })
            })
            .collect();
        for round in 0..4 {
            befall(&deployment, trouble, round);
            thread::sleep(PAUSE_OF_SERVER);
        }
        is_over.store(true, Ordering::Release);
        callers.into_iter().map(|caller| caller.join().expect("a count")).sum::<usize>()
    });
    assert_eq!(held, 0, "{trouble:?}: answers that hold the request back");
    assert_eq!(
        operator_query(&deployment.instances[0], "show quarantine where verdict = held"),
        ""
    );
    wait_for("the request is served", || status_and_code(&deployment, 1, &request).0 == 200);
}
