//! Streams that callers may take up again: the software version to which each is bound, and the instances that know it.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use drumusher_schedule::{
    ask::{Entry, Id},
    rank::{self, Candidate},
    server,
    time::{MILLISECOND, Micros, SECOND},
    version,
};
use drumusher_wire::peer::{self, Message};

use super::Dispatcher;
use crate::{
    process::{
        clock, platform,
        streams::{Key, Record},
    },
    version::Pool,
};

/// Number of instances, the next ones by rank, that know the streams of a dispatcher.
const COPIES: usize = 3;
/// Interval at which streams that nobody waits for are forgotten.
const EXPIRY_INTERVAL: Micros = SECOND;

/// Longest time for which an ask waits for a check of the software versions: one that is under way, the pause after it, and
/// its own.
const MAX_CHECK_TIME: Micros = 3 * SECOND;

/// An ask that goes on with a stream if a check shows that its service has a single software version.
#[derive(Debug)]
pub(super) struct Unchecked {
    pub(super) entry: Entry,
    pub(super) ask: peer::Ask,
    since: Micros,
}

/// A granted stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stream {
    key: Key,
    /// Until when its caller waits.
    until: Micros,
}

/// The connections of other instances, and which of them follow this one as the dispatcher of a pool.
#[derive(Debug, Default)]
pub(super) struct Successors {
    connections: HashMap<Arc<str>, Entry>,
    /// The successors of each pool, until connections or instances change.
    by_pool: HashMap<Pool, Vec<Entry>>,
    expired_at: Micros,
}

impl Successors {
    pub(super) fn disconnected(&mut self, entry: Entry) {
        let before = self.connections.len();
        self.connections.retain(|_, connection| *connection != entry);
        if self.connections.len() != before {
            self.forget();
        }
    }

    /// Forgets who follows whom.
    pub(super) fn forget(&mut self) {
        self.by_pool.clear();
    }
}

impl Dispatcher {
    /// The software versions at which a request may run.
    ///
    /// # Errors
    ///
    /// The refusal, if it goes on with a stream whose version is not known or has no backend server.
    pub(super) fn versions(&self, ask: &peer::Ask, pool: &Pool) -> Result<version::Set, Refused> {
        if ask.resumed.is_none() {
            return Ok(version::Set::All);
        }
        let (version, bound_by) = self.bind(ask, pool).ok_or(Refused::UnknownVersion)?;
        log::info!(
            pool = pool.to_string().as_str(), stream = ask.stream.unwrap_or(0), version = &*version,
            bound_by:? = bound_by; "a stream is bound to a version"
        );
        let hosted = self.pools.get(pool).ok_or(Refused::NoServer)?;
        hosted.version_key(&version).map(version::Set::Only).ok_or(Refused::NoServer)
    }

    /// The software version at which a stream goes on, and what tells it.
    fn bind(&self, ask: &peer::Ask, pool: &Pool) -> Option<(Arc<str>, Binding)> {
        let (now, streams) = (clock::now(), self.shared.streams());
        if ask.stream.is_some_and(|key| streams.is_of_other_service(now, Key(key as u64), pool)) {
            return None;
        }
        let entry = ask.version.as_deref().map(|version| (version.into(), Binding::Entry));
        let record = || Some((streams.version(now, Key(ask.stream? as u64))?, Binding::Record));
        // Another version may be added while the request waits.
        let single = || Some((streams.single_version(now, pool)?, Binding::SingleVersion));
        entry.or_else(record).or_else(single)
    }

    /// Whether an ask goes on with a stream only because its service is known to have a single software version. With a
    /// store, this instance may lack servers that are listed there.
    pub(super) fn needs_check(&self, ask: &peer::Ask, pool: &Pool) -> bool {
        let resumes = ask.resumed.is_some() && ask.server.is_none();
        let has_store = self.shared.settings.store.is_some();
        let is_single = || matches!(self.bind(ask, pool), Some((_, Binding::SingleVersion)));
        resumes && has_store && is_single()
    }

    /// Keeps an ask until the software versions are checked.
    pub(super) fn await_check(&mut self, entry: Entry, ask: peer::Ask) {
        self.unchecked.retain(|unchecked| unchecked.ask.id != ask.id);
        self.unchecked.push_back(Unchecked { entry, ask, since: clock::now() });
        if self.shared.platform.try_send(platform::Input::CheckVersions).is_err() {
            log::warn!("platform queue full; software versions are not checked");
        }
    }

    /// Submits the asks whose software versions were checked, and refuses those for which that failed.
    pub(super) fn admit_checked(&mut self) {
        let now = clock::now();
        let unchecked: VecDeque<Unchecked> = std::mem::take(&mut self.unchecked);
        for Unchecked { entry, ask, since } in unchecked {
            let Some(pool) = Pool::parse(&ask.pool) else { continue };
            let check = self.shared.streams().check_since(since);
            match check {
                None if now < since + MAX_CHECK_TIME => {
                    self.unchecked.push_back(Unchecked { entry, ask, since });
                }
                Some(true) => {
                    self.ensure_pool(&pool);
                    self.submit(entry, &ask, &pool);
                }
                _ => self.refuse_stream(entry, &ask, &pool, Refused::UnknownVersion),
            }
        }
    }

    /// Notes the stream of an ask, to record it with its grant.
    pub(super) fn note_stream(&mut self, ask: &peer::Ask, id: Id, pool: &Pool) {
        let Some(hosted) = self.pools.get_mut(pool) else { return };
        if ask.resumed.is_some() {
            hosted.resumed.insert(id);
        }
        let (Some(key), None) = (ask.stream, ask.resumed) else {
            hosted.streams.remove(&id);
            return;
        };
        let patience = ask.patience.unwrap_or(0).max(0) as u64 * MILLISECOND;
        let stream = Stream { key: Key(key as u64), until: clock::now() + patience };
        hosted.streams.insert(id, stream);
    }

    /// The software version of the granted backend server, for a request that goes on with a stream.
    pub(super) fn bound_version(
        &self,
        pool: &Pool,
        id: Id,
        server: server::Key,
    ) -> Option<Arc<str>> {
        let hosted = self.pools.get(pool)?;
        if !hosted.resumed.contains(&id) {
            return None;
        }
        let version = hosted.scheduler.server_at(server)?.version();
        hosted.version_at(version)
    }

    /// Records the software version of the backend server that was granted to a stream. Returns the stream's key.
    pub(super) fn record_stream(&self, pool: &Pool, id: Id, server: &str) -> Option<Key> {
        let Stream { key, until } = *self.pools.get(pool)?.streams.get(&id)?;
        let directory = self.shared.directory.load();
        let version = directory.backend(pool, server)?.version.clone();
        let now = clock::now();
        let record = Record { pool: pool.clone(), version, began_at: now, until };
        self.shared.streams().grant(now, key, record);
        Some(key)
    }

    /// The messages that pass streams on to the instances which may become the dispatcher of a pool.
    pub(super) fn copies(&mut self, pool: &Pool, keys: &[Key]) -> Vec<(Entry, Message)> {
        if keys.is_empty() {
            return Vec::new();
        }
        let successors = self.successors(pool);
        let shared = self.shared.streams().share_some(clock::now(), pool, keys);
        let messages = successors.into_iter().map(|to| (to, Message::Streams(shared.clone())));
        messages.collect()
    }

    /// Passes all known streams on to an instance that was connected, of the pools whose dispatcher it may become.
    pub(super) fn share_streams(&mut self, entry: Entry, name: Arc<str>) {
        self.successors.connections.insert(name, entry);
        self.successors.forget();
        let pools = self.shared.streams().pools();
        for pool in pools {
            if self.successors(&pool).contains(&entry) {
                let shared = self.shared.streams().share(clock::now(), &pool);
                let messages = shared.into_iter().map(|shared| (entry, Message::Streams(shared)));
                self.unsent.extend(messages);
            }
        }
        self.flush();
    }

    /// The connected instances that follow by rank as the dispatcher of a pool.
    fn successors(&mut self, pool: &Pool) -> Vec<Entry> {
        if let Some(known) = self.successors.by_pool.get(pool) {
            return known.clone();
        }
        let directory = self.shared.directory.load();
        let zone = pool.cell().map(|cell| &cell.zone);
        let eligible = directory.instances.values().filter(|instance| {
            let near = zone.is_none_or(|zone| *zone == instance.availability_zone);
            near && instance.area == self.shared.area && !instance.leaving
        });
        let candidates = eligible
            .map(|instance| Candidate { name: &instance.name, capacity: instance.capacity });
        let ranked = rank::order(&pool.to_string(), candidates);
        let connected = ranked.iter().filter_map(|name| self.successors.connections.get(*name));
        let successors: Vec<Entry> = connected.take(COPIES).copied().collect();
        self.successors.by_pool.insert(pool.clone(), successors.clone());
        successors
    }

    /// Forgets the streams that nobody waits for.
    pub(super) fn expire_streams(&mut self) {
        let now = clock::now();
        if now < self.successors.expired_at + EXPIRY_INTERVAL {
            return;
        }
        self.successors.expired_at = now;
        let mut streams = self.shared.streams();
        streams.expire(now);
        self.shared.telemetry.gauge("drumusher.streams.known", streams.len() as u64);
    }
}

/// What tells the software version at which a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Binding {
    /// Its entry.
    Entry,
    /// A record of its grant.
    Record,
    /// Its service has had no other one.
    SingleVersion,
}

/// Why a request that goes on with a stream is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refused {
    /// The version that began the stream has no backend server.
    NoServer,
    /// It is not known which version began the stream.
    UnknownVersion,
}
