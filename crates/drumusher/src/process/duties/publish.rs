//! Publication of the counts of this instance's dispatcher.

use std::{rc::Rc, sync::Arc};

use drumusher_duty::usage::Update;
use drumusher_platform::{Error, duty};
use drumusher_schedule::time::{MILLISECOND, Micros};
use ntex::time::{Millis, sleep};

use crate::{
    process::{Shared, clock},
    settings,
};

/// Interval at which it is checked whether an update is due.
const POLL_INTERVAL: Millis = Millis(50);

/// First pause between the starts of two attempts while updates fail. Instances that return from a partition publish
/// what they counted before the report of the window is fixed: of a partition that ended two seconds before a report
/// was due, the counts came up to 2.5 s later.
const MIN_RETRY_PAUSE: Micros = 250 * MILLISECOND;

/// Publishes the counts at their interval, and more often after a failure. Never returns.
pub(super) async fn run<S: duty::Duties>(
    shared: Arc<Shared>,
    platform: Rc<S>,
    settings: settings::Duties,
    boot: u64,
) {
    let mut latest = clock::now();
    // The pause after a failure; `None` after a success.
    let mut retry_pause: Option<Micros> = None;
    let mut era = shared.store_era();
    loop {
        sleep(POLL_INTERVAL).await;
        let dispatches = !shared.led.load().is_empty();
        let interval = super::publish_ms(&settings, dispatches) * MILLISECOND;
        if clock::now() < latest + retry_pause.map_or(interval, |pause| pause.min(interval)) {
            continue;
        }
        latest = clock::now();
        let known = shared.store_era();
        if std::mem::replace(&mut era, known) != known {
            shared.tally().republish_all();
        }
        let Some(update) = take_update(&shared, &settings, boot) else {
            retry_pause = None;
            continue;
        };
        retry_pause = publish(&shared, &*platform, &update).await.err().map(|error| match error {
            // The store got nothing, or has no time: a partition is not made worse by further attempts.
            Error::Unreachable | Error::NoAnswer => MIN_RETRY_PAUSE,
            _ => retry_pause.map_or(MIN_RETRY_PAUSE, |pause| 2 * pause),
        });
    }
}

/// Takes the update to be published now. Its time is read before it is taken, so that the counts are complete up to it.
fn take_update(shared: &Shared, settings: &settings::Duties, boot: u64) -> Option<Update> {
    let through_ms = clock::steady_unix_ms();
    let mut tally = shared.tally();
    if settings.usage_report {
        tally.close_ended(super::usage_options(settings).window(through_ms));
    }
    let update = tally.take_update(&shared.name, boot)?;
    Some(Update { through_ms, ..update })
}

async fn publish<S: duty::Duties>(
    shared: &Shared,
    platform: &S,
    update: &Update,
) -> Result<(), Error> {
    let value = serde_json::to_string(update).expect("texts and numbers can be written");
    let published = platform.publish(&value).await;
    if let Err(error) = &published {
        shared.tally().mark_unpublished(update);
        shared.telemetry.count("drumusher.duty.untold", &[]);
        log::debug!("usage counts could not be published: {error}");
    }
    published
}
