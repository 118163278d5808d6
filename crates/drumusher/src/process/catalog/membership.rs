//! The table of instances: entering the own instance, and forgetting those that are gone for good.

use std::{rc::Rc, sync::atomic::Ordering};

use drumusher_platform::catalog::{Record, Store, Table};
use drumusher_schedule::rank;
use ntex::time::{Millis, sleep};
use serde::{Deserialize, Serialize};

use super::{
    Catalog,
    follow::{PAUSE, longer},
};

/// Time between two looks at the entries of instances: the own one, and those of instances that are
/// gone. Both matter after minutes.
const ENTRY_LOOK: Millis = Millis(5_000);

/// What an instance writes about itself.
#[derive(Serialize, Deserialize)]
pub(super) struct Instance {
    availability_zone: String,
    /// Where other instances reach it.
    pub(super) address: String,
    /// Its processor time, in thousandths of a core.
    #[serde(default = "usual_capacity")]
    pub(super) capacity: u32,
}

/// The capacity of an instance that does not tell its own.
fn usual_capacity() -> u32 {
    rank::CAPACITY
}

/// Keeps this instance entered in the store. Another one may have dropped the entry, because this one
/// was out of reach for long.
pub(super) async fn stay_entered<S: Store>(catalog: Rc<Catalog<S>>) {
    let name = catalog.shared.settings.name.clone();
    enter(&catalog).await;
    loop {
        sleep(ENTRY_LOOK).await;
        let known = catalog.shared.records().end(Table::Instances) > 0;
        let entered = catalog.shared.records().keys(Table::Instances).any(|(key, _)| key == name);
        if known && !entered && !catalog.shared.stopping() {
            log::warn!("the own entry is gone from the store; it is written again");
            enter(&catalog).await;
        }
    }
}

/// Drops the entries of instances that are gone for good, as the first reader.
pub(super) async fn forget<S: Store>(catalog: Rc<Catalog<S>>) {
    loop {
        sleep(ENTRY_LOOK).await;
        let shared = &catalog.shared;
        let away = shared.store_away.load(Ordering::Acquire);
        if away || !shared.first_reader.load(Ordering::Acquire) {
            continue;
        }
        for name in shared.lost.load_full().iter() {
            let end = Record { key: name.to_string(), value: None };
            match catalog.store.put(&end).await {
                Ok(()) => {
                    log::info!(instance = &**name; "an instance out of reach for long is off the list")
                }
                Err(error) => catalog.failed(Table::Instances, &error),
            }
        }
    }
}

/// Tells the others of this instance.
async fn enter<S: Store>(catalog: &Catalog<S>) {
    let settings = &catalog.shared.settings;
    let instance = Instance {
        availability_zone: settings.availability_zone.clone(),
        address: settings.advertise.to_string(),
        capacity: settings.capacity,
    };
    let value = serde_json::to_string(&instance).expect("two texts can be written");
    let own = Record { key: settings.name.clone(), value: Some(value) };
    let mut pause = PAUSE;
    while let Err(error) = catalog.store.put(&own).await {
        catalog.failed(Table::Instances, &error);
        sleep(pause).await;
        pause = longer(pause);
    }
}
