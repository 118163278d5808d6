//! Which software version began each stream that its caller may take up again. Without I/O.
//!
//! Versions of the software of a service's backend servers have no order, and what two of them write does not fit together.
//! An instance knows the streams that it sent as their entry, those that it granted as their dispatcher, and those of
//! dispatchers that it may follow: a dispatcher passes its records on when the first event is reported. So a caller can
//! take its stream up at another instance after its entry and its dispatcher ended together.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
};

use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};
use drumusher_wire::peer;
use serde::{Deserialize, Serialize};

use crate::version::{Directory, Pool};

/// How long a software version counts after its last server was listed; streams don't live as long.
const MEMORY: Micros = 60 * SECOND;
/// Longest time for which a stream may be taken up.
const MAX_PATIENCE: Micros = 600 * SECOND;
/// Maximum number of records: a minute of the streams that one dispatcher grants, with a margin of four.
const MAX_RECORDS: usize = 262_144;
/// Maximum number of streams in one message.
const MAX_SHARED: usize = 1_024;

/// Tells a stream from others: a keyed hash of its workspace and of the caller's attempt that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u64);

/// A stream that may be taken up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its pool.
    pub pool: Pool,
    /// The software version that began it.
    pub version: Arc<str>,
    /// When its first event was reported.
    pub began_at: Micros,
    /// Until when its caller waits.
    pub until: Micros,
}

/// The software versions at which streams may have begun, by service.
pub type InService = BTreeMap<Pool, BTreeSet<Arc<str>>>;

/// Streams that were granted at a software version, as they are kept in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// Their pool.
    pub pool: String,
    /// The version.
    pub version: String,
    /// Their keys, with the time in milliseconds for which their callers wait from the writing on.
    pub streams: Vec<(u64, u64)>,
}

/// The software versions of a service.
#[derive(Debug, Default)]
struct Versions {
    listed: BTreeSet<Arc<str>>,
    /// Those that are no longer listed, and until when their streams may be taken up.
    former: BTreeMap<Arc<str>, Micros>,
}

impl Versions {
    /// The versions at which streams may have begun that are not over.
    fn in_service(&self, now: Micros) -> BTreeSet<Arc<str>> {
        let former = self.former.iter().filter(|(_, until)| now < **until);
        self.listed.iter().chain(former.map(|(version, _)| version)).cloned().collect()
    }

    fn retire(&mut self, now: Micros, versions: impl IntoIterator<Item = Arc<str>>) {
        self.former.retain(|_, until| now < *until);
        self.former.extend(versions.into_iter().map(|version| (version, now + MEMORY)));
    }
}

/// The streams that an instance knows.
#[derive(Debug, Default)]
pub struct Streams {
    records: HashMap<Key, Record>,
    /// Those that this instance granted, and of these the ones that have to be written to the store.
    granted: HashSet<Key>,
    unwritten: Vec<Key>,
    /// Number of streams that were read from the store.
    restored: u64,
    services: BTreeMap<Pool, Versions>,
    /// Since when the listed versions are followed.
    since: Option<Micros>,
    /// Whether the versions from before that time are known.
    knows_history: bool,
    /// When the latest check with the store began, and whether it shows that the known versions are the present ones.
    check: Option<(Micros, bool)>,
}

impl Streams {
    /// Records a stream, unless a later grant of it is known.
    pub fn record(&mut self, now: Micros, key: Key, record: Record) {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&key) {
            self.expire(now);
            if self.records.len() >= MAX_RECORDS {
                log::warn!("a stream cannot be taken up elsewhere: too many are known");
                return;
            }
        }
        let known = self.records.get(&key);
        if known.is_none_or(|known| known.began_at <= record.began_at) {
            let until = record.until.min(now + MAX_PATIENCE);
            self.records.insert(key, Record { until, ..record });
        }
    }

    /// Records a stream that this instance grants as a dispatcher.
    pub fn grant(&mut self, now: Micros, key: Key, record: Record) {
        if self.is_mixed(now, &record.pool) {
            self.unwritten.push(key);
        }
        self.granted.insert(key);
        self.record(now, key, record);
    }

    /// Takes at most `max` of the streams that have to be written to the store, by pool and version.
    pub fn take_unwritten(&mut self, now: Micros, max: usize) -> Vec<Granted> {
        let records = &self.records;
        self.unwritten.retain(|key| records.get(key).is_some_and(|record| now < record.until));
        let mut batch: BTreeMap<(String, String), Vec<(u64, u64)>> = BTreeMap::new();
        for key in self.unwritten.drain(..max.min(self.unwritten.len())) {
            let record = &records[&key];
            let streams = batch.entry((record.pool.to_string(), record.version.to_string()));
            streams.or_default().push((key.0, (record.until - now) / MILLISECOND));
        }
        let batch = batch.into_iter();
        batch.map(|((pool, version), streams)| Granted { pool, version, streams }).collect()
    }

    /// Returns streams that could not be written.
    pub fn put_back(&mut self, batch: &[Granted]) {
        let streams = batch.iter().flat_map(|granted| &granted.streams);
        self.unwritten.extend(streams.map(|(key, _)| Key(*key)));
    }

    /// Adds streams that were kept in the store, in the order of their writing. What is known otherwise is newer. Returns
    /// their number.
    pub fn restore(&mut self, now: Micros, batch: &[Granted]) -> usize {
        let before = self.restored;
        for granted in batch {
            let Some(pool) = Pool::parse(&granted.pool) else { continue };
            for (key, patience) in &granted.streams {
                self.restored += 1;
                let record = Record {
                    pool: pool.clone(),
                    version: granted.version.as_str().into(),
                    began_at: self.restored,
                    until: now + (patience * MILLISECOND).min(MAX_PATIENCE),
                };
                self.record(now, Key(*key), record);
            }
        }
        (self.restored - before) as usize
    }

    /// The software version that began a stream.
    pub fn version(&self, now: Micros, key: Key) -> Option<Arc<str>> {
        let record = self.records.get(&key).filter(|record| now < record.until)?;
        Some(record.version.clone())
    }

    /// Whether a stream is known to have begun at another service than that of `pool`.
    pub fn is_of_other_service(&self, now: Micros, key: Key, pool: &Pool) -> bool {
        let record = self.records.get(&key).filter(|record| now < record.until);
        record.is_some_and(|record| record.pool.whole() != pool.whole())
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The pools of all streams.
    pub fn pools(&self) -> BTreeSet<Pool> {
        self.records.values().map(|record| record.pool.clone()).collect()
    }

    /// Forgets the streams that nobody waits for.
    pub fn expire(&mut self, now: Micros) {
        self.records.retain(|_, record| now < record.until);
        self.granted.retain(|key| self.records.contains_key(key));
    }

    /// Follows the software versions that are listed.
    pub fn set_directory(&mut self, now: Micros, directory: &Directory) {
        self.since.get_or_insert(now);
        for (pool, backends) in &directory.pools {
            let versions = self.services.entry(pool.clone()).or_default();
            let is_same = versions.listed.len() == backends.versions().len()
                && backends.versions().all(|version| versions.listed.contains(version));
            if !is_same {
                let listed = backends.versions().cloned().collect();
                let was_mixed = versions.in_service(now).len() > 1;
                let before = std::mem::replace(&mut versions.listed, listed);
                versions.retire(now, before);
                if !was_mixed && versions.in_service(now).len() > 1 {
                    let records = &self.records;
                    let is_of_pool = |key: &&Key| {
                        records.get(*key).is_some_and(|record| record.pool.whole() == *pool)
                    };
                    self.unwritten.extend(self.granted.iter().filter(is_of_pool));
                }
            }
        }
    }

    /// Whether streams of a pool may have begun at several software versions.
    fn is_mixed(&self, now: Micros, pool: &Pool) -> bool {
        let versions = self.services.get(&pool.whole());
        versions.is_some_and(|versions| versions.in_service(now).len() > 1)
    }

    /// The services whose streams may have begun at several software versions.
    pub fn mixed_services(&self, now: Micros) -> impl Iterator<Item = &Pool> {
        let services = self.services.iter();
        services.filter(move |(_, v)| v.in_service(now).len() > 1).map(|(pool, _)| pool)
    }

    /// Adds versions in service that this instance may not have seen listed: from before it began to follow them, or
    /// while it was out of step.
    pub fn set_history(&mut self, now: Micros, earlier: &InService) {
        for (pool, versions) in earlier {
            let known = self.services.entry(pool.clone()).or_default();
            let in_service = known.in_service(now);
            known.retire(now, versions.difference(&in_service).cloned());
        }
        self.knows_history = true;
    }

    /// Records a check with the store that began at `began`: whether the known versions are the present ones.
    pub fn record_check(&mut self, began: Micros, is_current: bool) {
        self.check = Some((began, is_current));
    }

    /// What the latest check showed, if it began at `time` or later.
    pub fn check_since(&self, time: Micros) -> Option<bool> {
        self.check.filter(|(began, _)| *began >= time).map(|(_, is_current)| is_current)
    }

    /// Whether the versions from before this instance began to follow them are known.
    pub fn knows_history(&self) -> bool {
        self.knows_history
    }

    /// The software versions at which streams may have begun, by service.
    pub fn in_service(&self, now: Micros) -> InService {
        let services = self.services.iter();
        services.map(|(pool, versions)| (pool.clone(), versions.in_service(now))).collect()
    }

    /// The software version of a service's backend servers, if they have had the same one for longer than a stream may be
    /// taken up. A stream may have begun before this instance started.
    pub fn single_version(&self, now: Micros, pool: &Pool) -> Option<Arc<str>> {
        let versions = self.services.get(&pool.whole())?;
        let is_followed = self.since.is_some_and(|since| now >= since + MEMORY);
        if versions.in_service(now).len() != 1 || !(self.knows_history || is_followed) {
            return None;
        }
        versions.listed.first().cloned()
    }

    /// Encodes the streams of a pool for another instance.
    pub fn share(&self, now: Micros, pool: &Pool) -> Vec<peer::Streams> {
        let own = self.records.iter().filter(|(_, record)| record.pool == *pool);
        let streams: Vec<(Key, &Record)> = own.map(|(key, record)| (*key, record)).collect();
        streams.chunks(MAX_SHARED).map(|chunk| encode(now, pool, chunk)).collect()
    }

    /// Encodes these streams of a pool for another instance.
    pub fn share_some(&self, now: Micros, pool: &Pool, keys: &[Key]) -> peer::Streams {
        let known = keys.iter().filter_map(|key| Some((*key, self.records.get(key)?)));
        encode(now, pool, &known.collect::<Vec<_>>())
    }

    /// Adds the streams that another instance knows. Those that cannot be decoded are passed over.
    pub fn merge(&mut self, now: Micros, shared: &peer::Streams) {
        let Some(pool) = Pool::parse(&shared.pool) else { return };
        let versions: Vec<Arc<str>> =
            shared.versions.iter().map(|version| version.as_str().into()).collect();
        for stream in &shared.streams {
            let Some(version) = versions.get(stream.version as usize) else { continue };
            let time = |milliseconds: i64| milliseconds.max(0) as u64 * MILLISECOND;
            let record = Record {
                pool: pool.clone(),
                version: version.clone(),
                began_at: now.saturating_sub(time(stream.age)),
                until: now + time(stream.patience).min(MAX_PATIENCE),
            };
            self.record(now, Key(stream.key as u64), record);
        }
    }
}

fn encode(now: Micros, pool: &Pool, streams: &[(Key, &Record)]) -> peer::Streams {
    let mut versions: Vec<&str> = Vec::new();
    let streams = streams.iter().map(|(key, record)| {
        let known = versions.iter().position(|version| *version == &*record.version);
        let version = known.unwrap_or_else(|| {
            versions.push(&record.version);
            versions.len() - 1
        });
        let milliseconds = |time: Micros| (time / MILLISECOND) as i64;
        peer::Stream {
            key: key.0 as i64,
            version: version as i16,
            age: milliseconds(now.saturating_sub(record.began_at)),
            patience: milliseconds(record.until.saturating_sub(now)),
        }
    });
    let streams = streams.collect();
    let versions = versions.into_iter().map(String::from).collect();
    peer::Streams { pool: pool.to_string(), versions, streams }
}
