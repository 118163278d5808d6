//! Division of a service with many backend servers between dispatchers.
//!
//! A dispatcher looks at each of its servers for each request, and an instance that decides for itself for a moment
//! holds the state of all of them. With one dispatcher for 9,468 engines both grow with the fleet: the dispatcher had no
//! time left, so that its entries decided for themselves, each with 16 to 65 MB of its own. A large service is divided
//! into cells of one availability zone each, and each cell has its dispatcher there. Requests go to a cell of their own
//! zone, and to others only if that refuses them.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::{backends::Backends, pool::Pool};

/// A service with no more servers than this is not divided: one set of books places requests best.
pub const MAX_UNDIVIDED: usize = 512;
/// Maximum number of servers of a cell, on average over its zone. Smaller cells cost more connections: each instance
/// exchanges heartbeats with the dispatchers of all cells of its zone.
pub const MAX_SERVERS: usize = 1_024;
/// Maximum number of cells of a zone.
pub const MAX_CELLS: u16 = 64;
/// Number of other cells that are tried after a refusal.
const MAX_OVERFLOW: usize = 2;

/// Every `count`th server by the hash of its name, where `count` is a power of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Part {
    index: u16,
    count: u16,
}

impl Part {
    /// All servers.
    pub const ALL: Part = Part { index: 0, count: 1 };

    /// The part with this index of `count`; `None` if there is none.
    pub fn new(index: u16, count: u16) -> Option<Self> {
        let valid = index < count && count <= MAX_CELLS && count.is_power_of_two();
        valid.then_some(Part { index, count })
    }

    /// Its index.
    pub fn index(self) -> u16 {
        self.index
    }

    /// The number of parts.
    pub fn count(self) -> u16 {
        self.count
    }

    /// Whether it includes the servers whose name has this hash.
    pub fn includes(self, hash: u64) -> bool {
        hash % u64::from(self.count) == u64::from(self.index)
    }
}

/// The hash by which a server belongs to a part.
pub fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A part of the backend servers of a service in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Cell {
    /// The service.
    pub service: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Which of the service's servers there.
    pub part: Part,
}

/// The cells of a service.
#[derive(Clone, Copy, Debug)]
pub struct Cells<'a> {
    backends: &'a Backends,
}

impl<'a> Cells<'a> {
    /// The cells of a service with these servers; `None` if it is not divided.
    pub fn of(backends: &'a Backends) -> Option<Self> {
        (backends.len() > MAX_UNDIVIDED).then_some(Cells { backends })
    }

    /// The number of cells of a zone. A power of two, so that it stays the same while servers come and go.
    pub fn count(&self, zone: &str) -> u16 {
        let servers = self.backends.zone(zone).listed;
        let wanted = servers.div_ceil(MAX_SERVERS).max(1).next_power_of_two();
        u16::try_from(wanted).unwrap_or(MAX_CELLS).min(MAX_CELLS)
    }

    /// The number of cells of all zones.
    pub fn total(&self) -> usize {
        self.backends.zones().map(|zone| usize::from(self.count(zone))).sum()
    }

    /// All cells of a zone.
    pub fn of_zone(&self, service: &Arc<str>, zone: &Arc<str>) -> impl Iterator<Item = Pool> {
        let count = self.count(zone);
        let parts = (0..count).filter_map(move |index| Part::new(index, count));
        let (service, zone) = (service.clone(), zone.clone());
        parts.map(move |part| {
            Pool::Cell(Cell { service: service.clone(), zone: zone.clone(), part })
        })
    }

    /// The cells for a request, to be tried in this order. Requests with the same `key` go to the same cell of a zone, so
    /// that engines keep what their prompts share. Zones without a server that accepts requests are passed over.
    pub fn candidates(&self, service: &Arc<str>, own_zone: &str, key: u64) -> Vec<Pool> {
        let accepting = |zone: &&Arc<str>| self.backends.zone(zone).accepting > 0;
        let own = self.backends.zones().find(|zone| &***zone == own_zone).filter(accepting);
        let others: Vec<&Arc<str>> =
            self.backends.zones().filter(|zone| &***zone != own_zone).filter(accepting).collect();
        let start = if others.is_empty() { 0 } else { (key >> 32) as usize % others.len() };
        let others = others[start..].iter().chain(&others[..start]).copied();
        let cell = |zone: &Arc<str>, key: u64| {
            let count = self.count(zone);
            let part = Part { index: (key % u64::from(count)) as u16, count };
            Pool::Cell(Cell { service: service.clone(), zone: zone.clone(), part })
        };
        let own = own.into_iter().map(|zone| cell(zone, key));
        own.chain(others.map(|zone| cell(zone, key))).take(1 + MAX_OVERFLOW).collect()
    }
}
