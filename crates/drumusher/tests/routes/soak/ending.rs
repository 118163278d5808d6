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

use crate::support::{Call, DESK, Deployment, MODEL, read};

/// Its paths: a plain request and a stream.
const PATHS: [&str; 2] = ["/read/ends", "/talk/ends"];
/// Time between two of them.
const AGAIN: Duration = Duration::from_millis(150);
/// How long it runs before its backend server ends.
const AFTER: Duration = Duration::from_millis(30);
/// How long that is down.
const DOWN: Duration = Duration::from_millis(300);
/// A caller waits so long for the next byte of an answer.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// Lets the backend servers end under it.
pub fn prepare(deployment: &Deployment) {
    for server in &deployment.servers {
        let (path, service) = match server.id.starts_with('d') {
            true => (PATHS[0], DESK),
            false => (PATHS[1], MODEL),
        };
        server.crash_on(Some(Crash {
            path: path.into(),
            after: AFTER,
            down: DOWN,
            renamed: false,
            service: service.into(),
            store: deployment.store.clone(),
        }));
    }
}

/// Comes with it to one instance after the other until `stop`. Its answers are not checked: they are failures.
pub fn come(addresses: &[SocketAddr], stop: &AtomicBool) {
    for number in 0.. {
        if stop.load(Ordering::Acquire) {
            return;
        }
        let call = Call::get(PATHS[number / addresses.len() % PATHS.len()]);
        if let Ok(mut conn) = TcpStream::connect(addresses[number % addresses.len()]) {
            let timed = conn.set_read_timeout(Some(PATIENCE)).is_ok();
            if timed && conn.write_all(&call.bytes()).is_ok() {
                let _ = read(&mut conn);
            }
        }
        thread::sleep(AGAIN);
    }
}

/// After the faults every instance holds it back, and no backend server ends any more. Those that took the place of others
/// meanwhile did not end under it, and an answer of one of them clears it: from now on they end too.
pub fn check_held(deployment: &Deployment) {
    prepare(deployment);
    let held = |at: usize, path: &str| {
        let answer = deployment.call(at, &Call::get(path));
        answer.is_ok_and(|answer| answer.text().contains("held_back"))
    };
    for path in PATHS {
        for at in 0..deployment.instances.len() {
            wait_for("the request that ends servers is held back", || held(at, path));
        }
    }
    let ends = || deployment.servers.iter().map(|server| server.crashes().len()).sum::<usize>();
    let before = ends();
    for at in 0..deployment.instances.len() {
        assert!(PATHS.iter().all(|path| held(at, path)), "it is still held back");
    }
    assert_eq!(ends(), before, "no backend server ends any more");
    println!("  {before} backend servers ended under the request");
}
