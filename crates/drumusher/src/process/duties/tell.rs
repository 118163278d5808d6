//! Telling what the dispatcher of this instance counted.

use std::{rc::Rc, sync::Arc};

use drumusher_duty::usage::Told;
use drumusher_platform::duty;
use ntex::time::{Millis, sleep};

use crate::process::Shared;

/// Time between two looks at whether something new was counted. What an instance counted since is lost with it: a
/// fifth of a window of five seconds. Only those that dispatch have something to tell.
const EVERY: Millis = Millis(1_000);

/// Tells what was counted, for ever.
pub(super) async fn run<S: duty::Duties>(shared: Arc<Shared>, platform: Rc<S>, boot: u64) {
    loop {
        sleep(EVERY).await;
        let told = shared.tally().tell(&shared.name, boot);
        if let Some(told) = told {
            tell(&shared, &*platform, &told).await;
        }
    }
}

async fn tell<S: duty::Duties>(shared: &Shared, platform: &S, told: &Told) {
    let value = serde_json::to_string(told).expect("texts and numbers can be written");
    if let Err(error) = platform.tell(&value).await {
        shared.tally().untold(told);
        shared.telemetry.count("drumusher.duty.untold", &[]);
        log::debug!("what was counted could not be told: {error}");
    }
}
