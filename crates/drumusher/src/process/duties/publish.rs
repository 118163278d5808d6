//! Publication of the counts of this instance's dispatcher.

use std::{rc::Rc, sync::Arc};

use drumusher_duty::usage::Update;
use drumusher_platform::duty;
use drumusher_schedule::time::MILLISECOND;
use ntex::time::{Millis, sleep};

use crate::{
    process::{Shared, clock},
    settings,
};

/// Interval at which it is checked whether an update is due.
const POLL_INTERVAL: Millis = Millis(50);

/// Publishes the counts at their interval. Never returns.
pub(super) async fn run<S: duty::Duties>(
    shared: Arc<Shared>,
    platform: Rc<S>,
    settings: settings::Duties,
    boot: u64,
) {
    let mut latest = clock::now();
    let mut era = shared.store_era();
    loop {
        sleep(POLL_INTERVAL).await;
        let dispatches = !shared.led.load().is_empty();
        if clock::now() < latest + super::publish_ms(&settings, dispatches) * MILLISECOND {
            continue;
        }
        latest = clock::now();
        let known = shared.store_era();
        if std::mem::replace(&mut era, known) != known {
            shared.tally().republish_all();
        }
        let update = shared.tally().take_update(&shared.name, boot);
        if let Some(update) = update {
            publish(&shared, &*platform, &update).await;
        }
    }
}

async fn publish<S: duty::Duties>(shared: &Shared, platform: &S, update: &Update) {
    let value = serde_json::to_string(update).expect("texts and numbers can be written");
    if let Err(error) = platform.publish(&value).await {
        shared.tally().mark_unpublished(update);
        shared.telemetry.count("drumusher.duty.untold", &[]);
        log::debug!("usage counts could not be published: {error}");
    }
}
