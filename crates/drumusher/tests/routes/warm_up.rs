//! Backend servers that warm up bear fewer requests than others. Guards against instances that ignore it and overload
//! such a server until it fails.

use std::{
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::Arrival;
use drumusher_bench::fleet::wait_for;

use crate::{
    notices::{deploy, send_load},
    support::{DESK, Deployment, configuration},
};

/// Requests per second that a server accepts while it warms up.
const RATE: f64 = 5.0;
/// Requests that may reach such a server within any second.
const MAX_PER_SECOND: usize = (RATE * 1.5) as usize + 5;
/// Time in which instances learn that a server warms up.
const GRACE: Duration = Duration::from_secs(2);

/// Deploys instances and servers of a service with a limit on servers that warm up.
fn deploy_with_limit(instances: usize, servers: usize) -> Deployment {
    let deployment = deploy(instances, servers);
    let limited = format!(r#""MaxConns":50,"WarmupS":3.0,"WarmupPerS":{RATE}"#);
    let configuration = configuration(2, "").replacen(r#""MaxConns":50"#, &limited, 1);
    deployment.store.put("keyed.op", "config", &configuration);
    for instance in &deployment.instances {
        wait_for("the configuration is applied", || instance.log().contains("\"version\":\"2\""));
    }
    deployment
}

/// Writes the entry of a server that warms up for `time`.
fn set_warming_up(deployment: &Deployment, server: usize, time: Duration) {
    let server = &deployment.servers[server];
    let left = format!(r#""WarmupLeftMs":{}"#, time.as_millis());
    let entry = server.entry(DESK, "ready").replace(r#""WarmupLeftMs":0"#, &left);
    deployment.store.put("keyed.servers", &server.id, &entry);
}

/// The most arrivals within any second of `[from, to)`.
fn max_per_second(arrivals: &[Arrival], from: Instant, to: Instant) -> usize {
    let times: Vec<Instant> =
        arrivals.iter().map(|arrival| arrival.at).filter(|at| (from..to).contains(at)).collect();
    let within = |since: &Instant| {
        let window = *since..*since + Duration::from_secs(1);
        times.iter().filter(|at| window.contains(at)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// The log lines of all instances about a server.
fn lines_about(deployment: &Deployment, server: usize) -> String {
    let name = format!("\"{}\"", deployment.servers[server].id);
    let logs = deployment.instances.iter().map(|instance| instance.log());
    let lines = logs.map(|log| {
        let lines =
            log.lines().filter(|line| line.contains(&name) && !line.contains("\"granted\""));
        lines.map(String::from).collect::<Vec<String>>().join("\n")
    });
    lines.collect::<Vec<String>>().join("\n\n")
}

/// A server that warms up gets no more than its limit from all instances together; the others get the rest. Once it is
/// warm, it gets its part again.
#[test]
fn a_server_that_warms_up_is_spared() {
    let deployment = deploy_with_limit(3, 3);
    let warm_up = Duration::from_secs(9);
    let since = Instant::now();
    set_warming_up(&deployment, 0, warm_up);
    let statuses = send_load(&deployment, 60, warm_up);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let arrivals = deployment.servers[0].arrivals();
    let most = max_per_second(&arrivals, since + GRACE, since + warm_up);
    assert!((1..=MAX_PER_SECOND).contains(&most), "{most} requests in a second");
    let before = deployment.servers[0].arrivals().len();
    send_load(&deployment, 60, Duration::from_secs(4));
    let got = deployment.servers[0].arrivals().len() - before;
    assert!(got >= 40, "{got} requests after the warm-up; {}", lines_about(&deployment, 0));
}

/// The limit holds through the loss of each instance in turn: a new dispatcher knows it too, and the old one's requests
/// do not add to its own.
#[test]
fn the_limit_holds_while_dispatchers_change() {
    let mut deployment = deploy_with_limit(3, 3);
    let warm_up = Duration::from_secs(12);
    let since = Instant::now();
    set_warming_up(&deployment, 0, warm_up);
    thread::sleep(GRACE);
    for at in 0..deployment.instances.len() {
        send_load(&deployment, 60, Duration::from_secs(1));
        deployment.instances[at].signal("KILL");
        send_load(&deployment, 60, Duration::from_secs(1));
        deployment.instances[at].restart();
    }
    let arrivals = deployment.servers[0].arrivals();
    let most = max_per_second(&arrivals, since + GRACE, since + warm_up);
    assert!((1..=MAX_PER_SECOND).contains(&most), "{most} requests in a second");
}

/// When all servers warm up, as after the return of their zone, requests wait their turn instead of being refused.
#[test]
fn requests_wait_while_all_servers_warm_up() {
    let deployment = deploy_with_limit(2, 2);
    let warm_up = Duration::from_secs(8);
    let since = Instant::now();
    (0..2).for_each(|server| set_warming_up(&deployment, server, warm_up));
    let statuses = send_load(&deployment, 8, warm_up);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    for server in &deployment.servers {
        let most = max_per_second(&server.arrivals(), since + GRACE, since + warm_up);
        assert!((1..=MAX_PER_SECOND).contains(&most), "{most} requests in a second");
    }
}
