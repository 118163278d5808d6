//! Queries the cache contents of engines, once for each pool that this instance begins to dispatch for others, and
//! follows their changes in pools whose requests can wait at the dispatcher.
//!
//! A new dispatcher, after a restart or a change of the role, does not know what earlier ones placed. Without this
//! query it would have engines recompute prompts although parts of them are cached on some engine.
//!
//! An instance that decides only for itself, because its dispatcher is silent, queries nothing: each of 295
//! instances would query each of 160 engines.

pub mod follower;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
};

use drumusher_platform::{Error, catalog::Store, engine::Engines};
use drumusher_schedule::{
    event::Changes,
    time::{MILLISECOND, Micros},
};
use futures_util::{StreamExt, stream};
use ntex::{
    rt,
    time::{Millis, sleep},
};

use self::follower::{CALL_INTERVAL, Call, Follower, LIST_INTERVAL};
use super::Catalog;
use crate::{
    process::{clock, dispatch::Input},
    version::{Backend, Pool},
};

/// Interval between checks for newly dispatched pools.
const POLL_INTERVAL: Millis = Millis(100);
/// Engines queried concurrently: lists are some kilobytes long, and links may be narrow.
const MAX_CONCURRENT_QUERIES: usize = 4;
/// How long an engine waits for a change of its cache: the most that engines do, and the interval of the calls.
const CHANGE_WAIT: Millis = Millis((CALL_INTERVAL / MILLISECOND) as u32);
/// Counter of the changes.
const CHANGE_COUNTER: &str = "drumusher.engine.cache_changes";

/// An engine that is followed.
type Key = (Pool, Arc<str>);

/// The engines that are followed.
#[derive(Default)]
struct Followed {
    /// One task for each engine, and whether it goes on. A task that does not ends after its call, and only then may
    /// another one begin, so that an engine has one call at a time.
    tasks: RefCell<BTreeMap<Key, bool>>,
    /// When the whole content of each engine was queried last.
    listed: RefCell<HashMap<Arc<str>, Micros>>,
}

/// Queries the engines of each pool that this instance newly dispatches for others.
pub(super) async fn query_new_pools<S: Store + Engines + 'static>(catalog: Rc<Catalog<S>>) {
    let mut known: BTreeSet<Pool> = BTreeSet::new();
    loop {
        sleep(POLL_INTERVAL).await;
        let dispatched = catalog.shared.led.load_full();
        known.retain(|pool| dispatched.contains(pool));
        for pool in dispatched.iter() {
            let is_new = known.insert(pool.clone()) && catalog.is_engine_pool(pool);
            if is_new && !catalog.shared.followed.load().contains(pool) {
                catalog.query_engines(pool).await;
            }
        }
    }
}

/// Follows the caches of the engines of each followed pool, for as long as the pool is followed and the engine stays.
pub(super) async fn follow_engines<S: Store + Engines + 'static>(catalog: Rc<Catalog<S>>) {
    let followed: Rc<Followed> = Rc::default();
    loop {
        sleep(POLL_INTERVAL).await;
        let wanted = catalog.engines_to_follow();
        let mut tasks = followed.tasks.borrow_mut();
        tasks.iter_mut().for_each(|(key, goes_on)| *goes_on &= wanted.contains(key));
        for key in wanted {
            if !tasks.contains_key(&key) {
                tasks.insert(key.clone(), true);
                rt::spawn(catalog.clone().follow(followed.clone(), key));
            }
        }
        drop(tasks);
        followed.listed.borrow_mut().retain(|_, at| clock::now() < *at + LIST_INTERVAL);
    }
}

impl Followed {
    fn goes_on(&self, key: &Key) -> bool {
        self.tasks.borrow().get(key).is_some_and(|goes_on| *goes_on)
    }
}

impl<S: Store + Engines + 'static> Catalog<S> {
    /// The engines whose caches are to be followed.
    fn engines_to_follow(&self) -> BTreeSet<Key> {
        let pools = self.shared.followed.load();
        let directory = self.shared.directory.load();
        let engines = pools.iter().flat_map(|pool| {
            let engines = directory.backends(pool, &self.shared.area);
            engines
                .filter(|engine| !engine.leaving)
                .map(|engine| (pool.clone(), engine.name.clone()))
        });
        engines.collect()
    }

    /// Follows the cache of an engine until its task is told to end.
    async fn follow(self: Rc<Self>, followed: Rc<Followed>, key: Key) {
        let listed_at = followed.listed.borrow().get(&key.1).copied();
        let mut follower = Follower::new(listed_at);
        // The first call comes at a random time of the interval, and those after it at the same time.
        let mut pause = rand::random_range(0..CALL_INTERVAL);
        loop {
            sleep(Millis((pause / MILLISECOND) as u32)).await;
            if !followed.goes_on(&key) {
                break;
            }
            let began = clock::now();
            self.call(&followed, &key, &mut follower).await;
            pause = follower.next_at(began, clock::now()).saturating_sub(clock::now());
        }
        followed.tasks.borrow_mut().remove(&key);
    }

    /// Makes the next call to an engine and passes the changes on to the dispatcher.
    async fn call(&self, followed: &Followed, key: &Key, follower: &mut Follower) {
        let (pool, name) = key;
        let directory = self.shared.directory.load_full();
        let engine = directory.backend(pool, name);
        let Some(address) = engine.map(|engine| &engine.address) else {
            return;
        };
        let now = clock::now();
        let result = match follower.next_call(now) {
            Call::Content => {
                followed.listed.borrow_mut().insert(name.clone(), now);
                follower.query_content(now);
                let content = self.store.cache_content(address).await;
                content.map(|content| (content.malformed, follower.apply_content(content)))
            }
            Call::Changes(since) => {
                let changes = self.store.cache_changes(address, since, CHANGE_WAIT).await;
                changes.map(|changes| {
                    let malformed = changes.malformed;
                    let (changes, gap) = follower.apply_changes(changes);
                    if gap {
                        log::info!(server = &**name; "changes of the cache of an engine are missing");
                        self.count_changes("gap", 1);
                    }
                    (malformed, changes)
                })
            }
            Call::None => return,
        };
        match result {
            Ok((malformed, changes)) => {
                self.note_malformed(name, malformed, follower);
                if followed.goes_on(key) {
                    self.pass_changes(key, changes, follower);
                }
            }
            Err(error) => self.note_failed_call(name, &error, follower),
        }
    }

    /// Passes changes of the cache of an engine on to the dispatcher.
    fn pass_changes(&self, (pool, name): &Key, changes: Changes, follower: &mut Follower) {
        let (added, removed) = (changes.added.len() as u64, changes.removed.len() as u64);
        let complete = changes.complete;
        if !complete && added + removed == 0 {
            return;
        }
        let input = Input::CacheChanged { pool: pool.clone(), server: name.clone(), changes };
        if self.shared.dispatch.try_send(input).is_err() {
            log::warn!(server = &**name; "dispatch queue full; dropped changes of the cache of an engine");
            follower.require_content();
            return;
        }
        if complete {
            log::info!(server = &**name, parts = added; "queried the content of the cache of an engine");
            self.count_changes("list", 1);
        } else {
            self.count_changes("added", added);
            self.count_changes("removed", removed);
        }
    }

    fn note_failed_call(&self, name: &str, error: &Error, follower: &mut Follower) {
        if follower.fail() {
            log::warn!(server = name; "cannot follow the cache of an engine: it {error}");
        }
        self.count_changes("failed", 1);
    }

    fn note_malformed(&self, name: &str, rows: usize, follower: &mut Follower) {
        if follower.note_malformed(rows > 0) {
            log::warn!(server = name, rows = rows; "skipped malformed rows about the cache of an engine");
        }
        self.count_changes("failed", rows as u64);
    }

    fn count_changes(&self, change: &str, number: u64) {
        if number > 0 {
            self.shared.telemetry.count_many(CHANGE_COUNTER, &[("change", change)], number);
        }
    }
}

impl<S: Store + Engines> Catalog<S> {
    /// Whether a pool's backend servers are engines.
    fn is_engine_pool(&self, pool: &Pool) -> bool {
        let Some(service) = pool.service() else {
            return false;
        };
        self.shared.routing.load().as_ref().is_some_and(|routing| routing.is_engine(service))
    }

    async fn query_engines(&self, pool: &Pool) {
        let directory = self.shared.directory.load_full();
        let engines = directory.backends(pool, &self.shared.area).filter(|engine| !engine.leaving);
        let queries = engines.map(|engine| self.query_engine(pool, engine));
        stream::iter(queries)
            .buffer_unordered(MAX_CONCURRENT_QUERIES)
            .for_each(|()| async {})
            .await;
    }

    async fn query_engine(&self, pool: &Pool, engine: &Backend) {
        let parts = match self.store.cached_parts(&engine.address).await {
            Ok(parts) => parts,
            Err(error) => {
                log::info!(server = &*engine.name; "cannot list the cache contents of an engine: it {error}");
                return;
            }
        };
        let parts = parts.into_iter().map(|part| part.id).collect();
        let input =
            Input::CachedParts { pool: pool.clone(), server: Arc::clone(&engine.name), parts };
        if self.shared.dispatch.try_send(input).is_err() {
            log::warn!(server = &*engine.name; "dispatch queue full; dropped the cache contents of an engine");
        }
    }
}
