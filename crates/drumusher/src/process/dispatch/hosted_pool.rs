//! The state of one pool that this instance dispatches.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use drumusher_schedule::{
    ask::{Entry, Id},
    engine::Profile,
    event::Event,
    policy::Policy,
    pool, rank, server, version,
};

use super::{
    Bound, Budget, Divisor, Requesters, health, notices::Notices, streams::Stream,
    suspects::Subject, trials::Trials,
};
use crate::{
    settings::Regions,
    version::{Backend, Pool},
};

/// The state of a backend server as the scheduler was last given it.
#[derive(Debug, PartialEq)]
struct Applied {
    options: server::Options,
    leaving: bool,
    started_ms: Option<u64>,
}

/// The state of one pool that this instance dispatches: its scheduler, the names of its backend servers, its retry budget and its trials.
pub struct HostedPool {
    /// Decides which request runs where and when.
    pub(super) scheduler: pool::Pool,
    /// Names of backend servers, by key.
    pub(super) names: Vec<Arc<str>>,
    /// Keys by name; a key is the index in `names`.
    pub(super) keys: HashMap<Arc<str>, server::Key>,
    /// The state of each backend server that the scheduler was last given. All fields are compared, since a server
    /// may be known before the configuration that sets the kind of its window. When only the slots and the leaving
    /// state were compared, such a server kept a learned window, which starts at a third of 48 slots, and 456 of 1,111
    /// requests of a route were never granted within five seconds.
    applied: BTreeMap<Arc<str>, Applied>,
    /// Backend servers whose load report said that they are leaving, and when it did.
    pub(super) reported_leaving: BTreeMap<Arc<str>, u64>,
    /// What the configuration says of its engines.
    profile: Option<Profile>,
    /// Limits and departures that backend servers announced to entries.
    pub(super) notices: Notices,
    /// The other instances that use this dispatcher, by their connections.
    pub(super) requesters: Requesters,
    /// The retry budget.
    pub(super) budget: Budget,
    /// Retries with a reserved place in the budget that are not granted yet, with their entries.
    reserved: HashMap<Id, Entry>,
    /// Trial runs of suspect requests.
    pub(super) trials: Trials,
    /// What identifies the requests that were submitted to the scheduler when they come again.
    pub(super) subjects: HashMap<Id, Subject>,
    /// The streams among these requests that callers may take up again.
    pub(super) streams: HashMap<Id, Stream>,
    /// The requests that go on with a stream.
    pub(super) resumed: HashSet<Id>,
    /// The software versions of its backend servers; a key is the index.
    versions: Vec<Arc<str>>,
    /// Writes log lines on the health of its backend servers.
    pub(super) health: health::Log,
    /// When the latest event for this pool alone was handled.
    pub(super) last_used: u64,
}

impl HostedPool {
    /// Creates a pool without backend servers, with a bound on its retries.
    pub fn new(policy: Arc<Policy>, now: u64, bound: Bound) -> Self {
        HostedPool {
            scheduler: pool::Pool::new(policy, now),
            names: Vec::new(),
            keys: HashMap::new(),
            applied: BTreeMap::new(),
            reported_leaving: BTreeMap::new(),
            profile: None,
            notices: Notices::default(),
            requesters: Requesters::new(),
            budget: Budget::new(bound),
            reserved: HashMap::new(),
            trials: Trials::default(),
            subjects: HashMap::new(),
            streams: HashMap::new(),
            resumed: HashSet::new(),
            versions: Vec::new(),
            health: health::Log::new(now),
            last_used: now,
        }
    }

    /// Reserves a place in the retry budget, given the number of listed instances. Returns `false` if none is left.
    pub(super) fn reserve_retry(
        &mut self,
        now: u64,
        id: Id,
        entry: Entry,
        instances: usize,
    ) -> bool {
        if self.reserved.contains_key(&id) {
            return true;
        }
        let granted = self.budget.reserve(now, entry, instances);
        if granted {
            self.reserved.insert(id, entry);
        }
        granted
    }

    /// Counts the granted request if it is a retry. Returns whether it may be sent.
    pub(super) fn grant_retry(&mut self, now: u64, id: Id, instances: usize) -> bool {
        match self.reserved.remove(&id) {
            Some(entry) => self.budget.grant(now, entry, instances),
            None => true,
        }
    }

    /// Releases the reserved place of a retry that was withdrawn or refused.
    pub(super) fn release_retry(&mut self, id: Id) {
        if let Some(entry) = self.reserved.remove(&id) {
            self.budget.release(entry);
        }
    }

    /// Removes what is kept of requests that the scheduler no longer has, since their entry disconnected.
    pub(super) fn remove_ended(&mut self) {
        let scheduler = &self.scheduler;
        let is_known = |id: Id| scheduler.is_waiting(id) || scheduler.running_request(id).is_some();
        self.trials.retain(is_known);
        for (_, entry) in self.reserved.extract_if(|id, _| !is_known(*id)) {
            self.budget.release(entry);
        }
        if self.subjects.len() > scheduler.waiting() + scheduler.running() {
            self.subjects.retain(|id, _| is_known(*id));
        }
        if self.streams.len() > scheduler.waiting() + scheduler.running() {
            self.streams.retain(|id, _| is_known(*id));
        }
        if self.resumed.len() > scheduler.waiting() + scheduler.running() {
            self.resumed.retain(|id| is_known(*id));
        }
    }

    /// The key of a software version, if a backend server ever had it.
    pub(super) fn version_key(&self, version: &str) -> Option<version::Key> {
        let index = self.versions.iter().position(|known| **known == *version)?;
        Some(version::Key(index as u16))
    }

    /// The software version with this key.
    pub(super) fn version_at(&self, key: version::Key) -> Option<Arc<str>> {
        self.versions.get(usize::from(key.0)).cloned()
    }

    fn add_version(&mut self, version: &Arc<str>) -> version::Key {
        self.version_key(version).unwrap_or_else(|| {
            self.versions.push(version.clone());
            version::Key(self.versions.len() as u16 - 1)
        })
    }

    /// Sets the rate limit of each backend server that warms up, from all instances together.
    pub(super) fn set_warm_up_rate(&mut self, rate: Option<f64>) {
        self.notices.set_warm_up_rate(rate);
    }

    /// Sets what the configuration says of its engines, before the next [`HostedPool::refresh`].
    pub(super) fn set_profile(&mut self, profile: Option<Profile>) {
        self.profile = profile;
    }

    /// The name and key of a backend server if its listed start time is `started_ms`, in Unix milliseconds.
    pub(super) fn incarnation(
        &self,
        name: &str,
        started_ms: Option<u64>,
    ) -> Option<(Arc<str>, server::Key)> {
        let (name, applied) = self.applied.get_key_value(name)?;
        let key = self.keys.get(name)?;
        (applied.started_ms == started_ms).then(|| (name.clone(), *key))
    }

    /// The key of a name; assigns a new one if it has none.
    fn key(&mut self, name: &Arc<str>) -> server::Key {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = server::Key(self.names.len() as u16);
        self.names.push(name.clone());
        self.keys.insert(name.clone(), key);
        key
    }

    /// Writes the log lines that are due on the health of its backend servers.
    pub(super) fn log_health(&mut self, pool: &Pool, now: u64) {
        self.health.write(pool, &self.scheduler, &self.names, now);
    }

    /// Returns the events that update the scheduler to the listed backend servers `wanted`, by name, with concurrency
    /// windows divided by `divisor`.
    pub fn refresh(
        &mut self,
        pool: &str,
        wanted: &BTreeMap<Arc<str>, &Backend>,
        regions: &Regions,
        learned: bool,
        divisor: Divisor,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for (name, backend) in wanted {
            let announced =
                self.reported_leaving.contains_key(name) || self.notices.is_leaving(name);
            let leaving = backend.leaving || announced;
            let slots = (backend.slots / divisor).max(1);
            self.notices.set_warm_at(name, backend.warm_at);
            let options = server::Options {
                version: self.add_version(&backend.version),
                region: regions.key_of_zone(&backend.availability_zone),
                profile: self.profile,
                ..options(slots, learned, rank::weight(pool, name))
            };
            let mut applied = Applied { options, leaving, started_ms: backend.started_ms };
            let before = self.applied.get(name);
            if before == Some(&applied) {
                continue;
            }
            if before.is_some_and(|before| before.started_ms < applied.started_ms) {
                events.extend(self.retire_key(name));
                self.notices.set_warm_at(name, backend.warm_at);
                applied.leaving = backend.leaving;
            }
            let leaving = applied.leaving;
            self.applied.insert(name.clone(), applied);
            let key = self.key(name);
            events.push(if leaving { Event::Leave(key) } else { Event::Server(key, options) });
        }
        let unlisted: Vec<Arc<str>> =
            self.applied.keys().filter(|name| !wanted.contains_key(*name)).cloned().collect();
        for name in unlisted {
            self.applied.remove(&name);
            self.reported_leaving.remove(&name);
            // The scheduler forgets the limit too: nothing would lift it when the server is listed again.
            self.notices.remove(&name);
            let key = self.key(&name);
            events.extend([Event::Leave(key), Event::RateLimit(key, None)]);
        }
        events
    }
}

impl HostedPool {
    /// Handles the restart of a backend server under the same name. The new process gets a key of its own, without
    /// learned state; the key of the old one gets no new work.
    fn retire_key(&mut self, name: &Arc<str>) -> Option<Event> {
        self.reported_leaving.remove(name);
        self.notices.remove(name);
        let key = self.keys.remove(name)?;
        log::info!(server = &**name; "backend server restarted under the same name");
        Some(Event::Leave(key))
    }
}

fn options(slots: u32, learned: bool, rank: u64) -> server::Options {
    let first_slots =
        if learned { slots.min(server::Options::default().first_slots) } else { slots };
    server::Options { slots, first_slots, learned, rank, ..server::Options::default() }
}
