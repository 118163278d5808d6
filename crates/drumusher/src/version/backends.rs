//! The backend servers of one model or service.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    cell::{self, MAX_CELLS, Part},
    directory::Backend,
};

/// Number of buckets. Each part of a service consists of whole buckets.
const BUCKETS: usize = MAX_CELLS as usize;

/// The numbers of servers of one availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneCount {
    /// All of them.
    pub listed: usize,
    /// Those that accept new requests.
    pub accepting: usize,
}

/// The backend servers of one model or service, in buckets by the hash of their names. A change copies one bucket; the
/// others are shared with earlier snapshots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backends {
    /// Each sorted by name.
    buckets: Vec<Arc<Vec<Arc<Backend>>>>,
    zones: BTreeMap<Arc<str>, ZoneCount>,
    /// The number of servers of each software version.
    versions: BTreeMap<Arc<str>, usize>,
    len: usize,
}

impl Default for Backends {
    fn default() -> Self {
        Backends {
            buckets: vec![Arc::default(); BUCKETS],
            zones: BTreeMap::new(),
            versions: BTreeMap::new(),
            len: 0,
        }
    }
}

impl Backends {
    /// The number of servers.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The software versions.
    pub fn versions(&self) -> impl ExactSizeIterator<Item = &Arc<str>> {
        self.versions.keys()
    }

    /// The server with this name.
    pub fn get(&self, name: &str) -> Option<&Backend> {
        let bucket = &self.buckets[bucket_of(name)];
        let index = position(bucket, name).ok()?;
        Some(&bucket[index])
    }

    /// Inserts or replaces a server.
    pub fn put(&mut self, backend: Backend) {
        self.remove(&backend.name);
        let count = self.zones.entry(backend.availability_zone.clone()).or_default();
        count.listed += 1;
        count.accepting += usize::from(!backend.leaving);
        *self.versions.entry(backend.version.clone()).or_default() += 1;
        self.len += 1;
        let bucket = Arc::make_mut(&mut self.buckets[bucket_of(&backend.name)]);
        let (Ok(index) | Err(index)) = position(bucket, &backend.name);
        bucket.insert(index, Arc::new(backend));
    }

    /// Removes a server.
    pub fn remove(&mut self, name: &str) {
        let bucket = &mut self.buckets[bucket_of(name)];
        let Ok(index) = position(bucket, name) else { return };
        let backend = Arc::make_mut(bucket).remove(index);
        self.len -= 1;
        if let Some(count) = self.versions.get_mut(&backend.version) {
            *count -= 1;
            if *count == 0 {
                self.versions.remove(&backend.version);
            }
        }
        let zone = &backend.availability_zone;
        if let Some(count) = self.zones.get_mut(zone) {
            count.listed -= 1;
            count.accepting -= usize::from(!backend.leaving);
            if count.listed == 0 {
                self.zones.remove(zone);
            }
        }
    }

    /// The servers of a part.
    pub fn part(&self, part: Part) -> impl Iterator<Item = &Backend> {
        let buckets = self.buckets.iter().enumerate();
        let buckets = buckets.filter(move |(index, _)| part.includes(*index as u64));
        buckets.flat_map(|(_, bucket)| bucket.iter().map(|backend| &**backend))
    }

    /// The availability zones with a server.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.keys()
    }

    /// The numbers of servers of an availability zone.
    pub fn zone(&self, zone: &str) -> ZoneCount {
        self.zones.get(zone).copied().unwrap_or_default()
    }
}

fn bucket_of(name: &str) -> usize {
    cell::hash(name) as usize % BUCKETS
}

fn position(bucket: &[Arc<Backend>], name: &str) -> Result<usize, usize> {
    bucket.binary_search_by(|backend| (*backend.name).cmp(name))
}
