//! Memory that an instance needs for the table of backend servers, and for the pools that it dispatches. The only test
//! of its process, since it reads the resident size of the process.

use std::sync::Arc;

use drumusher::{
    process::catalog::{Entries, Records},
    version::{Directory, Registration},
};
use drumusher_platform::{
    catalog::{Record, Table},
    routing::Server,
};
use drumusher_schedule::{
    event::Event,
    policy::Policy,
    pool::Pool,
    server::{Key, Options},
};

/// Bytes for each server. A third of an instance of 160 MB is for twice the 10,000 servers of a large fleet, and for all
/// else that it holds: 32 MB of it for the servers.
const MAX_BYTES_PER_SERVER: usize = 1_600;
const SERVERS: usize = 10_000;
/// Bytes for each server of a dispatched pool before anything is learned of it. An instance that decides for itself for a
/// moment holds a cell of 1,024 servers for each pool; three of them may take 5 MB.
const MAX_BYTES_PER_DISPATCHED_SERVER: usize = 1_600;

/// What an instance holds of the table.
#[derive(Default)]
struct Tables {
    records: Records,
    entries: Entries,
    directory: Directory,
}

fn record(number: usize, state: &str) -> Record {
    let value = format!(
        r#"{{"Service":"drafting-llm","Address":"10.128.{}.{}:8080","Zone":"zone-{}","Version":"v1","Slots":32,"State":"{state}","WarmupLeftMs":0,"Stage":"unified","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Sequence":{number}}}"#,
        number / 256 % 256,
        number % 256,
        number % 6
    );
    Record { key: format!("i-{number:08x}"), value: Some(value) }
}

fn server(number: usize, leaving: bool) -> Server {
    Server {
        id: format!("i-{number:08x}").into(),
        service: "drafting-llm".into(),
        address: "10.128.0.1:8080".parse().expect("an address"),
        availability_zone: format!("zone-{}", number % 6).into(),
        slots: 32,
        leaving,
        started_ms: Some(number as u64),
        version: "v1".into(),
        spot: false,
        warm_up_ms: 0,
    }
}

impl Tables {
    /// Applies one change of a server as the catalog does, and publishes the directory.
    fn change(&mut self, number: usize, leaving: bool) {
        let area: Arc<str> = "region".into();
        let end = self.records.end(Table::Servers).advance(1);
        let state = if leaving { "draining" } else { "ready" };
        self.records.append(Table::Servers, &[record(number, state)], end);
        self.entries.put(server(number, leaving));
        for id in self.entries.take_changed() {
            let server = self.entries.server(&id).expect("no server is removed");
            let registration = Registration { server, warm_at: 0, evacuated: false };
            self.directory.put_server(&area, registration);
        }
        drop(self.directory.clone());
    }
}

/// Resident size of this process, in bytes.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("the kernel tells the size");
    let pages: usize =
        statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).expect("a size");
    pages * 4_096
}

/// Guards against memory that grows faster than the table, and against changes that keep memory or copy the table.
#[test]
fn the_table_of_servers_is_held_once_in_compact_form() {
    let mut tables = Tables::default();
    (0..SERVERS).for_each(|number| tables.change(number, false));
    let one_fleet = resident();
    (SERVERS..2 * SERVERS).for_each(|number| tables.change(number, false));
    let two_fleets = resident();
    let per_server = two_fleets.saturating_sub(one_fleet) / SERVERS;
    println!("{per_server} bytes for each server; {one_fleet} and {two_fleets} bytes resident");
    assert!(per_server <= MAX_BYTES_PER_SERVER, "{per_server} bytes for each server");
    let change_all = |tables: &mut Tables, leaving| {
        (0..2 * SERVERS).for_each(|number| tables.change(number, leaving));
    };
    // Values of both lengths have been there.
    [true, false].into_iter().for_each(|leaving| change_all(&mut tables, leaving));
    let settled = resident();
    [true, false, true, false].into_iter().for_each(|leaving| change_all(&mut tables, leaving));
    let kept = resident().saturating_sub(settled);
    println!("{settled} bytes resident, {kept} more after four changes of each server");
    assert!(kept <= settled / 64, "{kept} bytes more after changes");
    let before = resident();
    let mut pool = Pool::new(Arc::new(Policy::new(Vec::new(), Vec::new())), 0);
    for key in 0..SERVERS {
        let event = Event::Server(Key(key as u16), Options::default());
        pool.handle(0, event, &mut Vec::new());
    }
    let per_server = resident().saturating_sub(before) / SERVERS;
    println!("{per_server} bytes for each dispatched server");
    assert!(per_server <= MAX_BYTES_PER_DISPATCHED_SERVER, "{per_server} bytes for each server");
    assert_eq!(pool.servers().count(), SERVERS);
    assert_eq!(tables.directory.pools.len(), 1);
    assert_eq!(tables.records.keys(Table::Servers).count(), 2 * SERVERS);
}
