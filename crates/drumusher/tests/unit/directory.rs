//! Who is there.
//!
//! Each change of a backend server makes a new directory at each instance. Looking for each server among those entered
//! before took 20 ms at 3,000 servers, where a day of 300 instances has thousands of changes: it took more processor
//! time than its players have, half of it here.

use std::{sync::Arc, time::Instant};

use drumusher::version::{Directory, Pool};
use drumusher_platform::routing::Server;

fn server(number: usize) -> Server {
    Server {
        id: format!("i-{:010x}", number * 7_919),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: format!("z{}", number % 4),
        slots: 12,
        leaving: false,
        started_ms: None,
        spot: false,
    }
}

/// A directory of thousands of servers has each of them once, by name. Prints how long it took; for a figure, run it
/// in release with `--nocapture`.
#[test]
fn thousands_of_servers_are_found_by_name() {
    let servers: Vec<Server> = (0..3_000).map(server).collect();
    let area: Arc<str> = "r".into();
    let began = Instant::now();
    let twice = servers.iter().chain(&servers[..10]);
    let directory = Directory::from_servers(&area, std::iter::empty(), twice);
    println!("built in {:?}", began.elapsed());
    let pool = Pool::Service("s".into());
    assert_eq!(directory.backends(&pool, &area).count(), 3_000);
    let began = Instant::now();
    for server in &servers {
        let found = directory.backend(&pool, &server.id).expect("it is there");
        assert_eq!(&*found.availability_zone, server.availability_zone.as_str());
    }
    println!("all found in {:?}", began.elapsed());
    assert!(directory.backend(&pool, "another").is_none());
}
