//! A request that ends backend servers, among the faults of the soak.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use drumusher_adapter_stand_in::Crash;
use drumusher_bench::fleet::wait_for;

use crate::support::{DESK, Deployment, MODEL, Request, read_response};

/// Its paths: a plain request and a stream.
const PATHS: [&str; 2] = ["/read/ends", "/talk/ends"];
/// Time between two of them.
const REPEAT_INTERVAL: Duration = Duration::from_millis(150);
/// How long it runs before its backend server ends.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// How long that is down.
const DOWNTIME: Duration = Duration::from_millis(300);
/// A caller waits so long for the next byte of an answer.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Lets the backend servers end under it.
pub fn prepare(deployment: &Deployment) {
    for server in &deployment.servers {
        let (path, service) = match server.id.starts_with('d') {
            true => (PATHS[0], DESK),
            false => (PATHS[1], MODEL),
        };
        server.crash_on(Some(Crash {
            path: path.into(),
            after: CRASH_DELAY,
            down: DOWNTIME,
            renamed: false,
            service: service.into(),
            store: deployment.store.clone(),
        }));
    }
}

/// Comes with it to one instance after the other until `stop`. Its answers are not checked: they are failures.
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

/// After the faults every instance holds it back, and no backend server ends any more. Those that took the place of others
/// meanwhile did not end under it, and an answer of one of them clears it: from now on they end too.
pub fn check_held(deployment: &Deployment) {
    prepare(deployment);
    let held = |at: usize, path: &str| {
        let response = deployment.send(at, &Request::get(path));
        response.is_ok_and(|response| response.text().contains("held_back"))
    };
    for path in PATHS {
        for at in 0..deployment.instances.len() {
            wait_for("the request that ends servers is held back", || held(at, path));
        }
    }
    let crash_count =
        || deployment.servers.iter().map(|server| server.crashes().len()).sum::<usize>();
    let before = crash_count();
    for at in 0..deployment.instances.len() {
        assert!(PATHS.iter().all(|path| held(at, path)), "it is still held back");
    }
    assert_eq!(crash_count(), before, "no backend server ends any more");
    println!("  {before} backend servers ended under the request");
}
