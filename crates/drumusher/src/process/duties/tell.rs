//! Telling what the dispatcher of this instance counted.

use std::{rc::Rc, sync::Arc};

use drumusher_duty::usage::Told;
use drumusher_platform::duty;
use drumusher_schedule::time::MILLISECOND;
use ntex::time::{Millis, sleep};

use crate::{
    process::{Shared, clock},
    settings,
};

/// Time between two looks at whether it is time to tell.
const LOOK: Millis = Millis(50);

/// Tells what was counted, for ever.
pub(super) async fn run<S: duty::Duties>(
    shared: Arc<Shared>,
    platform: Rc<S>,
    settings: settings::Duties,
    boot: u64,
) {
    let mut latest = clock::now();
    let mut era = shared.store_era();
    loop {
        sleep(LOOK).await;
        let dispatches = !shared.led.load().is_empty();
        if clock::now() < latest + super::tell_ms(&settings, dispatches) * MILLISECOND {
            continue;
        }
        latest = clock::now();
        let known = shared.store_era();
        if std::mem::replace(&mut era, known) != known {
            shared.tally().tell_again();
        }
        let told = shared.tally().tell(&shared.name, boot);
        if let Some(told) = told {
            tell(&shared, &*platform, &told).await;
        }
    }
}

async fn tell<S: duty::Duties>(shared: &Shared, platform: &S, told: &Told) {
    let value = serde_json::to_string(told).expect("texts and numbers can be written");
    if let Err(error) = platform.publish(&value).await {
        shared.tally().untold(told);
        shared.telemetry.count("drumusher.duty.untold", &[]);
        log::debug!("what was counted could not be told: {error}");
    }
}
