//! The directory of backend servers and instances.
//!
//! Each instance publishes a new directory for each change of a backend server. Guards against a linear search for each
//! server while the directory is built, which took 20 ms at 3,000 servers. A simulated day of 300 instances has
//! thousands of changes and then used more processor time than was available, half of it in this search. Guards also
//! against a change that copies all servers: at 9,999 servers each one cost milliseconds and megabytes at each instance.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use drumusher::version::{Backend, Cell, Directory, Pool, Registration};
use drumusher_platform::routing::Server;
use rstest::rstest;

fn server(number: usize) -> Server {
    Server {
        id: format!("i-{:010x}", number * 7_919).into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: format!("z{}", number % 4).into(),
        slots: 12,
        leaving: false,
        started_ms: None,
        version: "v1".into(),
        spot: false,
        warm_up_ms: 0,
    }
}

/// A directory has each of 3,000 servers once, by name. Prints the time that it takes; for a meaningful figure run it
/// in release mode with `--nocapture`.
#[test]
fn servers_are_found_by_name_in_a_large_directory() {
    let servers: Vec<Server> = (0..3_000).map(server).collect();
    let area: Arc<str> = "r".into();
    let start = Instant::now();
    let registered = |server| Registration { server, warm_at: 0, evacuated: false };
    let twice = servers.iter().chain(&servers[..10]).map(registered);
    let mut directory = Directory::default();
    twice.for_each(|registered| directory.put_server(&area, registered));
    println!("built in {:?}", start.elapsed());
    let pool = Pool::Service("s".into());
    assert_eq!(directory.backends(&pool, &area).count(), 3_000);
    let start = Instant::now();
    for server in &servers {
        let found = directory.backend(&pool, &server.id).expect("it is there");
        assert_eq!(found.availability_zone, server.availability_zone);
    }
    println!("all found in {:?}", start.elapsed());
    assert!(directory.backend(&pool, "another").is_none());
}

fn register(server: &Server) -> Registration<'_> {
    Registration { server, warm_at: 0, evacuated: false }
}

/// A directory of this many servers in four zones.
fn directory(servers: usize) -> Directory {
    let mut directory = Directory::default();
    (0..servers).for_each(|number| directory.put_server(&"r".into(), register(&server(number))));
    directory
}

/// All servers of a pool.
fn backends(directory: &Directory, pool: &Pool) -> Vec<Backend> {
    directory.backends(pool, "r").cloned().collect()
}

/// A change copies a part of the directory that does not grow with the fleet: at most a bucket of one 64th of the
/// servers, and nothing at all if nothing changed.
#[rstest]
fn a_change_shares_the_other_servers_with_the_snapshot_before(
    #[values(5_000, 10_000)] servers: usize,
) {
    let before = directory(servers);
    let mut after = before.clone();
    let leaving = Server { leaving: true, ..server(7) };
    after.put_server(&"r".into(), register(&leaving));
    let pool = Pool::Service("s".into());
    let address = |directory: &Directory, name: &str| {
        std::ptr::from_ref(directory.backend(&pool, name).expect("it is listed")).addr()
    };
    let ids: Vec<Arc<str>> = (0..servers).map(|number| server(number).id).collect();
    let copied = ids.iter().filter(|id| address(&before, id) != address(&after, id)).count();
    assert_eq!(copied, 1);
    assert!(before != after && before == before.clone());
}

/// The service of a large fleet is divided: the servers that a dispatcher looks at stay as many when the fleet doubles,
/// and each server belongs to one cell.
#[rstest]
#[case(512, 0)]
#[case(5_000, 8)]
#[case(10_000, 16)]
#[case(20_000, 32)]
fn cells_have_the_same_size_in_a_larger_fleet(#[case] servers: usize, #[case] cells: usize) {
    let directory = directory(servers);
    let service: Arc<str> = "s".into();
    let Some(divided) = directory.cells(&service) else {
        return assert_eq!(cells, 0);
    };
    assert_eq!(divided.total(), cells);
    assert_eq!(directory.dispatchers(&Pool::Service(service.clone())), cells);
    let zones = ["z0", "z1", "z2", "z3"].map(Arc::<str>::from);
    let pools =
        zones.iter().flat_map(|zone| divided.of_zone(&service, zone).collect::<Vec<Pool>>());
    let mut seen = BTreeSet::new();
    for pool in pools {
        assert_eq!(Pool::parse(&pool.to_string()).as_ref(), Some(&pool));
        let in_cell = backends(&directory, &pool);
        assert!((480..=1_024).contains(&in_cell.len()), "{pool}: {}", in_cell.len());
        let zone = &pool.cell().expect("a cell").zone;
        assert!(in_cell.iter().all(|backend| backend.availability_zone == *zone));
        seen.extend(in_cell.into_iter().map(|backend| backend.name));
    }
    assert_eq!(seen.len(), servers);
}

/// A cell's servers are found by whoever is asked for it, also by an instance that counts other cells: it may have seen
/// fewer servers.
#[test]
fn cells_of_another_division_are_found() {
    let directory = directory(5_000);
    let pool = Pool::parse("cell:1/2/z0/s").expect("a cell");
    let expected = backends(&directory, &Pool::parse("cell:1/4/z0/s").expect("a cell")).len()
        + backends(&directory, &Pool::parse("cell:3/4/z0/s").expect("a cell")).len();
    assert_eq!(backends(&directory, &pool).len(), expected);
    let malformed =
        ["cell:4/4/z0/s", "cell:0/3/z0/s", "cell:0/128/z0/s", "cell:x/1/z0/s", "cell:0/1/z0"];
    assert!(malformed.iter().all(|name| Pool::parse(name).is_none()));
}

/// Requests go to a cell of their own zone, those with the same key to the same one; the others come next. A zone whose
/// servers are all leaving is passed over, a zone without any too.
#[test]
fn requests_turn_to_cells_of_their_zone_first() {
    let mut directory = directory(6_000);
    let service: Arc<str> = "s".into();
    let zones = |directory: &Directory, own: &str, key: u64| -> Vec<String> {
        let cells = directory.cells(&service).expect("it is divided");
        let candidates = cells.candidates(&service, own, key);
        candidates.iter().map(|pool| pool.cell().expect("a cell").zone.to_string()).collect()
    };
    for key in 0..100 {
        let turns = zones(&directory, "z1", key << 32 | key);
        assert_eq!((turns.len(), turns[0].as_str()), (3, "z1"));
        assert!(turns[1..].iter().all(|zone| zone != "z1"));
        assert_eq!(turns, zones(&directory, "z1", key << 32 | key));
        assert_eq!(zones(&directory, "elsewhere", key).len(), 3);
    }
    let cells = directory.cells(&service).expect("it is divided");
    let used: BTreeSet<Cell> = (0..100)
        .filter_map(|key| cells.candidates(&service, "z1", key)[0].cell().cloned())
        .collect();
    assert_eq!(used.len(), usize::from(cells.count("z1")));
    for number in (1..6_000).step_by(4) {
        let leaving = Server { leaving: true, ..server(number) };
        directory.put_server(&"r".into(), register(&leaving));
    }
    assert!(zones(&directory, "z1", 5).iter().all(|zone| zone != "z1"));
}
