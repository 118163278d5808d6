//! A request that crashes backend servers, among the faults of the soak.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use drumusher_adapter_stand_in::{Crash, Ending};
use drumusher_bench::fleet::wait_for;

use crate::support::{DESK, Deployment, MODEL, Request, read_response};

/// The paths of such requests: a plain one and a stream.
const PATHS: [&str; 2] = ["/read/ends", "/talk/ends"];
/// Time between two such requests.
const REPEAT_INTERVAL: Duration = Duration::from_millis(150);
/// How long the request runs before its backend server crashes.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// How long a crashed server is down.
const DOWNTIME: Duration = Duration::from_millis(300);
/// Longest wait for the next byte of a response.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Makes the backend servers crash on these requests.
pub fn prepare(deployment: &Deployment) {
    for server in &deployment.servers {
        let (path, service) = match server.id.starts_with('d') {
            true => (PATHS[0], DESK),
            false => (PATHS[1], MODEL),
        };
        server.crash_on(Some(Crash {
            path: path.into(),
            part: None,
            events: 0,
            after: CRASH_DELAY,
            ending: Ending::Closed,
            down: DOWNTIME,
            renamed: false,
            service: service.into(),
            store: deployment.store.clone(),
        }));
    }
}

/// Sends the requests to one instance after the other until `stop`. The responses are failures and not
/// checked.
pub fn repeat_requests(addresses: &[SocketAddr], stop: &AtomicBool) {
    for number in 0.. {
        if stop.load(Ordering::Acquire) {
            return;
        }
        let request = Request::get(PATHS[number / addresses.len() % PATHS.len()]);
        if let Ok(mut conn) = TcpStream::connect(addresses[number % addresses.len()]) {
            let timed = conn.set_read_timeout(Some(READ_TIMEOUT)).is_ok();
            if timed && conn.write_all(&request.bytes()).is_ok() {
                let _ = read_response(&mut conn);
            }
        }
        thread::sleep(REPEAT_INTERVAL);
    }
}

/// Checks that after the faults every instance holds the requests back and no backend server crashes any
/// more. Servers that replaced departed ones did not crash yet, and a response of theirs would clear the
/// request, so from now on they crash too.
pub fn check_held(deployment: &Deployment) {
    prepare(deployment);
    let held = |at: usize, path: &str| {
        let response = deployment.send(at, &Request::get(path));
        response.is_ok_and(|response| response.text().contains("held_back"))
    };
    for path in PATHS {
        for at in 0..deployment.instances.len() {
            wait_for("the crashing request is held back", || held(at, path));
        }
    }
    let crash_count =
        || deployment.servers.iter().map(|server| server.crashes().len()).sum::<usize>();
    let before = crash_count();
    for at in 0..deployment.instances.len() {
        assert!(PATHS.iter().all(|path| held(at, path)), "the request is still held back");
    }
    assert_eq!(crash_count(), before, "no backend server crashes any more");
    println!("  {before} backend servers crashed on the request");
}
