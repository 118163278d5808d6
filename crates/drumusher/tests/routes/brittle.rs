//! Servers that fall over when they have to turn too many requests away in a second, and say so in their answers.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Crash, Ending, Server, server::Room};
use rstest::rstest;

use crate::support::{DESK, Deployment, Request, configuration};

/// Number of servers and instances.
const SERVERS: usize = 4;
const INSTANCES: usize = 3;
/// Callers that repeat soon, many more than there are places.
const CALLERS: usize = 24;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(50);
/// How long a request runs.
const RUN_TIME: Duration = Duration::from_millis(100);
/// How many rejections in a second a server bears.
const BRITTLE: usize = 2;
/// How long a server that fell over is down.
const DOWNTIME: Duration = Duration::from_secs(2);
/// The servers have as many places as slots for this time after they say that they are brittle, and then fewer.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const NARROW_TIME: Duration = Duration::from_secs(9);
/// Servers may fall over this often, and a tenth of their number besides.
const ALLOWED_FALLS: usize = 2;

fn room(deployment: &Deployment, places: usize) -> Room {
    let crash = Crash {
        path: String::new(),
        part: None,
        events: 0,
        after: Duration::ZERO,
        ending: Ending::Closed,
        down: DOWNTIME,
        renamed: false,
        service: DESK.into(),
        store: deployment.store.clone(),
    };
    Room { places, time: RUN_TIME, brittle: Some(BRITTLE), crash }
}

#[rstest]
#[case::as_many_places_as_slots(8, 8)]
#[case::half_of_the_places_later(8, 4)]
#[case::one_place_later(8, 1)]
fn brittle_servers_are_not_made_to_fall_over(#[case] places: usize, #[case] later: usize) {
    let mut deployment = Deployment::empty(false);
    (0..SERVERS).for_each(|number| deployment.add_server(&format!("d{number}"), DESK));
    (0..INSTANCES).for_each(|number| deployment.add_instance(&format!("i{number}")));
    deployment.store.put("keyed.op", "config", &configuration(1, ""));
    for at in 0..INSTANCES {
        drumusher_bench::fleet::wait_for("the instance serves", || {
            deployment.send(at, &Request::get("/read/")).is_ok_and(|r| r.status == 200)
        });
    }
    let set = |places| {
        for server in &deployment.servers {
            server.set_room(Some(room(&deployment, places)));
        }
    };
    set(places);
    let served = AtomicUsize::new(0);
    let began = Instant::now();
    let until = began + CONTACT_TIME + NARROW_TIME;
    thread::scope(|scope| {
        for at in 0..CALLERS {
            let (deployment, served) = (&deployment, &served);
            scope.spawn(move || {
                while Instant::now() < until {
                    let response = deployment.send(at % INSTANCES, &Request::get("/read/"));
                    let is_served = response.is_ok_and(|response| response.status == 200);
                    served.fetch_add(usize::from(is_served), Ordering::AcqRel);
                    thread::sleep(PAUSE);
                }
            });
        }
        thread::sleep(CONTACT_TIME);
        set(later);
    });
    let falls =
        deployment.servers.iter().map(|server| Server::crashes(server).len()).sum::<usize>();
    println!("{falls} falls, {} served", served.load(Ordering::Acquire));
    assert!(falls <= ALLOWED_FALLS + SERVERS / 10, "{falls} falls");
    assert!(served.load(Ordering::Acquire) > 0);
}
