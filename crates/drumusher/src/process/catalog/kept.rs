//! Asking engines what they keep, once for each pool that this instance begins to dispatch for others.
//!
//! A new dispatcher, after a restart or a change of the role, knows nothing of what earlier ones placed.
//! Without this it has prompts read again whose parts some engine keeps.
//!
//! An instance that only decides for itself, because its dispatcher is silent, asks nothing: each of 295
//! instances would ask each of 160 engines.

use std::{collections::BTreeSet, rc::Rc, sync::Arc};

use drumusher_platform::{catalog::Store, engine::Engines};
use futures_util::{StreamExt, stream};
use ntex::time::{Millis, sleep};

use super::Catalog;
use crate::{
    process::dispatch::Input,
    version::{Backend, Pool},
};

/// Time between two looks at the pools that are dispatched here.
const LOOK: Millis = Millis(100);
/// Engines asked at the same time: lists are some kilobytes long, and links may be narrow.
const AT_ONCE: usize = 4;

/// Asks the engines of each pool that is newly dispatched for others here.
pub(super) async fn learn<S: Store + Engines + 'static>(catalog: Rc<Catalog<S>>) {
    let mut known: BTreeSet<Pool> = BTreeSet::new();
    loop {
        sleep(LOOK).await;
        let led = catalog.shared.led.load_full();
        known.retain(|pool| led.contains(pool));
        for pool in led.iter() {
            if known.insert(pool.clone()) && catalog.is_engines(pool) {
                catalog.ask_engines(pool).await;
            }
        }
    }
}

impl<S: Store + Engines> Catalog<S> {
    /// Whether a pool's backend servers are engines.
    fn is_engines(&self, pool: &Pool) -> bool {
        let Pool::Service(service) = pool else {
            return false;
        };
        self.shared.routing.load().as_ref().is_some_and(|routing| routing.is_engine(service))
    }

    async fn ask_engines(&self, pool: &Pool) {
        let directory = self.shared.directory.load_full();
        let engines = directory.backends(pool, &self.shared.area).filter(|engine| !engine.leaving);
        let asks = engines.map(|engine| self.ask_engine(pool, engine));
        stream::iter(asks).buffer_unordered(AT_ONCE).for_each(|()| async {}).await;
    }

    async fn ask_engine(&self, pool: &Pool, engine: &Backend) {
        let parts = match self.store.cached_parts(&engine.address).await {
            Ok(parts) => parts,
            Err(error) => {
                log::info!(server = &*engine.name; "what an engine keeps is not known: it {error}");
                return;
            }
        };
        let parts = parts.into_iter().map(|part| part.id).collect();
        let input = Input::Kept { pool: pool.clone(), server: Arc::clone(&engine.name), parts };
        if self.shared.dispatch.try_send(input).is_err() {
            log::warn!(server = &*engine.name; "the decisions are too busy to be told what an engine keeps");
        }
    }
}
