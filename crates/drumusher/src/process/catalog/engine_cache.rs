//! Queries the cache contents of engines, once for each pool that this instance begins to dispatch for others.
//!
//! A new dispatcher, after a restart or a change of the role, does not know what earlier ones placed. Without this
//! query it would have engines recompute prompts although parts of them are cached on some engine.
//!
//! An instance that decides only for itself, because its dispatcher is silent, queries nothing: each of 295
//! instances would query each of 160 engines.

use std::{collections::BTreeSet, rc::Rc, sync::Arc};

use drumusher_platform::{catalog::Store, engine::Engines};
use futures_util::{StreamExt, stream};
use ntex::time::{Millis, sleep};

use super::Catalog;
use crate::{
    process::dispatch::Input,
    version::{Backend, Pool},
};

/// Interval between checks for newly dispatched pools.
const POLL_INTERVAL: Millis = Millis(100);
/// Engines queried concurrently: lists are some kilobytes long, and links may be narrow.
const MAX_CONCURRENT_QUERIES: usize = 4;

/// Queries the engines of each pool that this instance newly dispatches for others.
pub(super) async fn query_new_pools<S: Store + Engines + 'static>(catalog: Rc<Catalog<S>>) {
    let mut known: BTreeSet<Pool> = BTreeSet::new();
    loop {
        sleep(POLL_INTERVAL).await;
        let dispatched = catalog.shared.led.load_full();
        known.retain(|pool| dispatched.contains(pool));
        for pool in dispatched.iter() {
            if known.insert(pool.clone()) && catalog.is_engine_pool(pool) {
                catalog.query_engines(pool).await;
            }
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
