//! Directory of instances and backend servers, built from the platform's member list and the configuration, or from
//! the platform's store.
//!
//! An area is a set of instances and backend servers that form one pool: each area has its own dispatcher for each
//! pool. With the member list, it is the availability zone of each member; with the store, it is the area in the
//! instance's settings.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use drumusher_log::config::State;
use drumusher_platform::{
    members::{self, Kind, List},
    routing::Server,
};
use drumusher_schedule::{rank, time::Micros};

use super::{
    backends::Backends,
    cell::{self, Cells},
    pool::Pool,
};

/// An instance of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub name: Arc<str>,
    /// The area it belongs to.
    pub area: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// `ip:port` at which other instances reach it.
    pub address: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// CPU capacity, in thousandths of a core.
    pub capacity: u32,
}

/// A backend server in a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub name: Arc<str>,
    /// The area it belongs to.
    pub area: Arc<str>,
    /// `ip:port`.
    pub address: String,
    /// Version of its software; empty if it is not known.
    pub version: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Start time in Unix milliseconds by its own clock, if known. A server that restarted under the same name has
    /// lost all earlier requests and state.
    pub started_ms: Option<u64>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Whether it is a spot server, which may be reclaimed at short notice.
    pub spot: bool,
    /// When it has warmed up, on the process's clock; 0 if it is not known to warm up.
    pub warm_at: Micros,
    /// Whether operators evacuate its availability zone, so that it counts as leaving.
    pub evacuated: bool,
}

/// A backend server of the store with what this instance knows beside its entry.
#[derive(Clone, Copy, Debug)]
pub struct Registration<'a> {
    /// Its entry.
    pub server: &'a Server,
    /// When it has warmed up, on the process's clock; 0 if it is not known to warm up.
    pub warm_at: Micros,
    /// Whether operators evacuate its availability zone.
    pub evacuated: bool,
}

/// Snapshot of all instances and backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// All instances, by name.
    pub instances: Arc<BTreeMap<Arc<str>, Instance>>,
    /// The number of instances of each availability zone.
    zone_instances: BTreeMap<Arc<str>, usize>,
    /// Backend servers of all areas, by model or service. [`Pool::Cell`]s are parts of these.
    pub pools: BTreeMap<Pool, Backends>,
}

impl Directory {
    /// Builds the directory from the platform's member list and the configuration.
    pub fn new(list: &List, state: &State) -> Self {
        let mut directory = Directory::default();
        let mut instances = BTreeMap::new();
        for member in &list.members {
            directory.add_member(member, state, &mut instances);
        }
        directory.set_instances(instances.into_values());
        for (name, engine) in &state.engines {
            let engine = &engine.object;
            let required = (&engine.address, &engine.availability_zone, &engine.model);
            let (Some(address), Some(zone), Some(model)) = required else {
                continue;
            };
            let backend = Backend {
                name: name.as_str().into(),
                area: zone.as_str().into(),
                availability_zone: zone.as_str().into(),
                spot: false,
                warm_at: 0,
                evacuated: false,
                address: address.clone(),
                version: Arc::default(),
                slots: engine.slots,
                leaving: engine.drained,
                started_ms: None,
            };
            directory.add_backend(Pool::Model(model.as_str().into()), backend);
        }
        directory
    }

    /// Sets the instances.
    pub fn set_instances(&mut self, instances: impl Iterator<Item = Instance>) {
        let instances: BTreeMap<Arc<str>, Instance> =
            instances.map(|instance| (instance.name.clone(), instance)).collect();
        self.zone_instances.clear();
        for instance in instances.values() {
            *self.zone_instances.entry(instance.availability_zone.clone()).or_default() += 1;
        }
        self.instances = Arc::new(instances);
    }

    /// Inserts or replaces a backend server of the store in an area. Only the part of the directory that holds it is
    /// copied, the rest is shared with earlier snapshots.
    pub fn put_server(&mut self, area: &Arc<str>, registration: Registration<'_>) {
        let Registration { server, warm_at, evacuated } = registration;
        let pool = Pool::Service(server.service.clone());
        let other_pools = self.pools.iter().filter(|(other, _)| **other != pool);
        let moved = other_pools.filter(|(_, backends)| backends.get(&server.id).is_some());
        let moved: Vec<Pool> = moved.map(|(pool, _)| pool.clone()).collect();
        moved.iter().for_each(|pool| self.remove_from(pool, &server.id));
        let backends = self.pools.entry(pool).or_default();
        let version = backends.versions().find(|version| **version == server.version);
        let version = version.unwrap_or(&server.version).clone();
        backends.put(Backend {
            name: server.id.clone(),
            area: area.clone(),
            address: server.address.to_string(),
            version,
            slots: server.slots,
            leaving: server.leaving || evacuated,
            started_ms: server.started_ms,
            availability_zone: server.availability_zone.clone(),
            spot: server.spot,
            warm_at,
            evacuated,
        });
    }

    /// Removes a backend server.
    pub fn remove_server(&mut self, name: &str) {
        let pools: Vec<Pool> = self.pools.keys().cloned().collect();
        pools.iter().for_each(|pool| self.remove_from(pool, name));
    }

    fn remove_from(&mut self, pool: &Pool, name: &str) {
        let Some(backends) = self.pools.get_mut(pool) else { return };
        backends.remove(name);
        if backends.is_empty() {
            self.pools.remove(pool);
        }
    }

    fn add_member(
        &mut self,
        member: &members::Member,
        state: &State,
        instances: &mut BTreeMap<Arc<str>, Instance>,
    ) {
        let name: Arc<str> = member.name.as_str().into();
        let area: Arc<str> = member.availability_zone.as_str().into();
        let leaving = member.state == members::State::Leaving;
        if member.kind == Kind::Instance {
            let address = member.address.clone();
            let capacity = rank::DEFAULT_CAPACITY;
            let availability_zone = area.clone();
            let instance = Instance {
                name: name.clone(),
                area,
                availability_zone,
                address,
                leaving,
                capacity,
            };
            instances.insert(name, instance);
            return;
        }
        for serves in &member.serves {
            let (pool, slots, drained) = self.pool_of(member, serves, state);
            let backend = Backend {
                name: name.clone(),
                area: area.clone(),
                address: member.address.clone(),
                version: Arc::default(),
                slots,
                leaving: leaving || drained,
                availability_zone: area.clone(),
                spot: false,
                warm_at: 0,
                evacuated: false,
                started_ms: None,
            };
            self.add_backend(pool, backend);
        }
    }

    /// Returns the pool of a listed backend server, with its configured slots and whether it is drained.
    fn pool_of(&self, member: &members::Member, serves: &str, state: &State) -> (Pool, u32, bool) {
        if member.kind == Kind::Service {
            let service = state.services.get(serves).map(|s| s.object.clone()).unwrap_or_default();
            return (Pool::Service(serves.into()), service.slots, service.drained);
        }
        let engine = state.engines.get(&member.name).map(|e| e.object.clone()).unwrap_or_default();
        (Pool::Model(serves.into()), engine.slots, engine.drained)
    }

    /// Adds a backend server, unless there already is one with its name.
    fn add_backend(&mut self, pool: Pool, backend: Backend) {
        let backends = self.pools.entry(pool).or_default();
        if backends.get(&backend.name).is_none() {
            backends.put(backend);
        }
    }

    /// Returns the backend servers of a pool in one area.
    pub fn backends<'a>(
        &'a self,
        pool: &Pool,
        area: &'a str,
    ) -> impl Iterator<Item = &'a Backend> + use<'a> {
        let cell = pool.cell().cloned();
        let backends = self.pools.get(&pool.whole());
        let part = cell.as_ref().map_or(cell::Part::ALL, |cell| cell.part);
        let in_part = backends.into_iter().flat_map(move |backends| backends.part(part));
        in_part.filter(move |backend| {
            let in_cell = cell.as_ref().is_none_or(|cell| cell.zone == backend.availability_zone);
            in_cell && &*backend.area == area
        })
    }

    /// Returns a backend server of a pool by name.
    pub fn backend(&self, pool: &Pool, name: &str) -> Option<&Backend> {
        self.pools.get(&pool.whole())?.get(name)
    }

    /// Returns whether a backend server has restarted since `backend` was taken from an earlier directory.
    pub fn has_restarted(&self, pool: &Pool, backend: &Backend) -> bool {
        let now = self.backend(pool, &backend.name);
        now.is_some_and(|now| now.started_ms > backend.started_ms && backend.started_ms.is_some())
    }

    /// Returns whether another backend server of the pool is listed at the address of `backend`, and started later if the
    /// start times are known: a server that crashed comes back under another name.
    pub fn is_replaced(&self, pool: &Pool, backend: &Backend) -> bool {
        let servers = self.pools.get(&pool.whole());
        let mut servers = servers.into_iter().flat_map(|servers| servers.part(cell::Part::ALL));
        servers.any(|other| {
            let is_other = other.address == backend.address && other.name != backend.name;
            is_other && (other.started_ms.is_none() || other.started_ms > backend.started_ms)
        })
    }

    /// Returns how a service is divided into cells; `None` if one dispatcher decides for all of it.
    pub fn cells(&self, service: &Arc<str>) -> Option<Cells<'_>> {
        let backends = self.pools.get(&Pool::Service(service.clone()))?;
        Cells::of(backends)
    }

    /// Returns the number of dispatchers of a pool: one in each of its cells, or in each availability zone.
    pub fn dispatchers(&self, pool: &Pool) -> usize {
        let cells = pool.service().and_then(|service| self.cells(service));
        cells.map_or(self.zone_instances.len(), |cells| cells.total())
    }

    /// Returns whether requests go to the cells of a pool in place of the pool itself.
    pub fn is_divided(&self, pool: &Pool) -> bool {
        matches!(pool, Pool::Service(service) if self.cells(service).is_some())
    }

    /// Returns the number of instances that regularly use the dispatcher of a pool: those of the availability zone of a
    /// cell, otherwise all.
    pub fn requesters(&self, pool: &Pool) -> usize {
        let Some(cell) = pool.cell() else { return self.instances.len() };
        self.zone_instances.get(&cell.zone).copied().unwrap_or(0)
    }

    /// Returns the areas with a backend server of a pool that accepts new requests.
    pub fn areas(&self, pool: &Pool) -> Vec<Arc<str>> {
        let backends = self.pools.get(&pool.whole());
        let backends = backends.into_iter().flat_map(|backends| backends.part(cell::Part::ALL));
        let accepting = backends.filter(|backend| !backend.leaving);
        let areas: BTreeSet<Arc<str>> = accepting.map(|b| b.area.clone()).collect();
        areas.into_iter().collect()
    }
}
