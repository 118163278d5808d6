//! This instance's view of the others: which are reachable, and which have a role. Without I/O.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use drumusher_schedule::{
    rank::{self, Candidate},
    time::{MILLISECOND, Micros, SECOND},
};

use crate::version::{Directory, Instance, Pool};

/// The key for ranking the instances that read the store.
const STORE_RANKING: &str = "store";
/// Number of instances that read the store and pass its records on. The store may reject a third of eight or nine
/// instances at once, the current readers first: with four readers, one is left.
const READERS: usize = 4;
/// Minimum interval between two attempts to reconnect to an instance. A short network outage is over within it.
const MIN_RECONNECT_INTERVAL: Micros = 400 * MILLISECOND;
/// Maximum interval between two attempts to reconnect: replaced instances stay listed for a while.
const MAX_RECONNECT_INTERVAL: Micros = 15 * SECOND;
/// The interval between two attempts to reconnect is the duration of the outage divided by this.
const RECONNECT_DIVISOR: Micros = 8;

/// A reader that got no answers from the store is used again after this time: it tries the store every 0.4 s.
const UNREADABLE_FOR: Micros = 2 * SECOND;

/// Since when an instance is unreachable, and when a connection was last tried.
#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Micros,
    tried: Micros,
}

/// The instances of the fleet as this one sees them.
pub struct View {
    name: Arc<str>,
    area: Arc<str>,
    availability_zone: Arc<str>,
    /// The processor time of this instance, in thousandths of a core.
    capacity: u32,
    directory: Arc<Directory>,
    /// Instances to which this one has no connection.
    unreachable: BTreeMap<Arc<str>, Outage>,
    /// Instances that reported that they are leaving.
    leaving: BTreeSet<Arc<str>>,
    /// Instances that reported that they get no answers from the store, and when.
    unreadable: BTreeMap<Arc<str>, Micros>,
    stopping: bool,
}

impl View {
    /// Creates the view of the instance `name`, without other instances.
    pub fn new(name: Arc<str>, area: Arc<str>) -> Self {
        View {
            name,
            availability_zone: area.clone(),
            area,
            capacity: rank::DEFAULT_CAPACITY,
            directory: Arc::default(),
            unreachable: BTreeMap::new(),
            leaving: BTreeSet::new(),
            unreadable: BTreeMap::new(),
            stopping: false,
        }
    }

    /// Sets the processor time of this instance, in thousandths of a core.
    pub fn with_capacity(mut self, capacity: u32) -> Self {
        self.capacity = capacity;
        self
    }

    /// Sets the availability zone of this instance; by default its area.
    pub fn with_availability_zone(mut self, zone: Arc<str>) -> Self {
        self.availability_zone = zone;
        self
    }

    /// The name of this instance.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Sets a new directory, and forgets what is known of instances that it does not list.
    pub fn set_directory(&mut self, directory: Arc<Directory>) {
        let listed = &directory.instances;
        self.unreachable.retain(|name, _| listed.contains_key(name));
        self.leaving.retain(|name| listed.contains_key(name));
        self.unreadable.retain(|name, _| listed.contains_key(name));
        self.directory = directory;
    }

    /// Records whether an instance is reachable. Returns whether that changed.
    pub fn set_reachable(&mut self, now: Micros, instance: &Arc<str>, reachable: bool) -> bool {
        if reachable {
            return self.unreachable.remove(instance).is_some();
        }
        let outage = Outage { since: now, tried: now };
        let known = self.unreachable.contains_key(instance);
        self.unreachable.entry(instance.clone()).or_insert(outage);
        !known
    }

    /// Records whether an instance is leaving. Returns whether that changed.
    pub fn set_leaving(&mut self, instance: &Arc<str>, leaving: bool) -> bool {
        if leaving { self.leaving.insert(instance.clone()) } else { self.leaving.remove(instance) }
    }

    /// Records that this instance is stopping, so that it has no role any more.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether an instance is unreachable.
    pub fn is_unreachable(&self, instance: &str) -> bool {
        self.unreachable.contains_key(instance)
    }

    /// The unreachable instances to which a connection is to be tried now. The longer an outage lasts, the longer the
    /// intervals become.
    pub fn due_reconnects(&mut self, now: Micros) -> Vec<Arc<str>> {
        let mut due = Vec::new();
        for (name, outage) in &mut self.unreachable {
            let pause = ((now - outage.since) / RECONNECT_DIVISOR)
                .clamp(MIN_RECONNECT_INTERVAL, MAX_RECONNECT_INTERVAL);
            if now >= outage.tried + pause {
                outage.tried = now;
                due.push(name.clone());
            }
        }
        due
    }

    /// The unreachable instances.
    pub fn unreachable(&self) -> impl Iterator<Item = &Arc<str>> {
        self.unreachable.keys()
    }

    /// The instances that have been unreachable for longer than `time`.
    pub fn unreachable_for(&self, now: Micros, time: Micros) -> Vec<Arc<str>> {
        let lost = self.unreachable.iter().filter(|(_, outage)| now > outage.since + time);
        lost.map(|(name, _)| name.clone()).collect()
    }

    /// The other listed instances of an area.
    fn others<'a>(&'a self, area: &'a str) -> impl Iterator<Item = &'a Instance> {
        let listed = self.directory.instances.values();
        listed.filter(move |instance| &*instance.area == area && instance.name != self.name)
    }

    /// The instances that may have a role in an area.
    fn eligible<'a>(&'a self, area: &'a str) -> impl Iterator<Item = Candidate<'a>> {
        let others = self.others(area).filter(|instance| {
            let unavailable =
                self.is_unreachable(&instance.name) || self.leaving.contains(&instance.name);
            !instance.leaving && !unavailable
        });
        let others =
            others.map(|instance| Candidate { name: &instance.name, capacity: instance.capacity });
        let own = Candidate { name: &self.name, capacity: self.capacity };
        others.chain((area == &*self.area && !self.stopping).then_some(own))
    }

    /// The instances of an availability zone that may have a role in an area.
    fn eligible_in_zone<'a>(
        &'a self,
        area: &'a str,
        zone: &'a str,
    ) -> impl Iterator<Item = Candidate<'a>> {
        self.eligible(area).filter(move |candidate| {
            let listed = self.directory.instances.get(candidate.name);
            listed.map_or(&*self.availability_zone, |other| &*other.availability_zone) == zone
        })
    }

    /// The dispatcher of a pool in an area. That of a cell is in the cell's availability zone if any instance there is
    /// eligible.
    pub fn dispatcher(&self, pool: &Pool, area: &str) -> Option<Arc<str>> {
        let zone = pool.cell().map(|cell| &*cell.zone);
        let pool = pool.to_string();
        let in_zone = zone.and_then(|zone| rank::first(&pool, self.eligible_in_zone(area, zone)));
        let first = in_zone.or_else(|| rank::first(&pool, self.eligible(area))).map(Arc::from);
        let own_area = area == &*self.area;
        first.or_else(|| own_area.then(|| self.name.clone()))
    }

    /// The instances that read the store and pass its records on to the others, by rank. This instance is one of them
    /// only if it is listed: where 295 instances start at once, the first ones see fewer than [`READERS`] others, or
    /// none, and 250 read the store for nobody.
    pub fn readers(&self) -> Vec<Arc<str>> {
        let listed = self.directory.instances.contains_key(&self.name);
        let candidates = self.eligible(&self.area);
        let candidates = candidates.filter(|candidate| listed || candidate.name != &*self.name);
        let ranked = rank::order(STORE_RANKING, candidates);
        ranked.into_iter().take(READERS).map(Arc::from).collect()
    }

    /// The reader that passes the store's records on to this instance; `None` if this instance is a reader itself.
    /// The readers share the other instances: sending to all of them at their start is more than one reader can do. A
    /// reader that gets no answers from the store is skipped unless none gets any.
    pub fn assigned_reader(&self, now: Micros) -> Option<Arc<str>> {
        let readers = self.readers();
        if readers.contains(&self.name) {
            return None;
        }
        let names = readers.iter().map(|reader| &**reader);
        let with_answers = names.clone().filter(|reader| !self.is_unreadable(now, reader));
        let first = rank::first(&self.name, with_answers);
        first.or_else(|| rank::first(&self.name, names)).map(Arc::from)
    }

    /// Whether an instance reported lately that it gets no answers from the store.
    fn is_unreadable(&self, now: Micros, instance: &str) -> bool {
        self.unreadable.get(instance).is_some_and(|at| now < at + UNREADABLE_FOR)
    }

    /// Records whether an instance reads the store and gets answers.
    pub fn set_store_readable(&mut self, now: Micros, instance: &Arc<str>, readable: bool) {
        if readable {
            self.unreadable.remove(instance);
        } else {
            self.unreadable.insert(instance.clone(), now);
        }
    }

    /// The number of listed instances in this instance's area, and whether none of the others is reachable.
    pub fn isolation(&self) -> (usize, bool) {
        let listed = 1 + self.others(&self.area).count();
        let reachable = self.others(&self.area).any(|other| !self.is_unreachable(&other.name));
        (listed, listed > 1 && !reachable)
    }
}
