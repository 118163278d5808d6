//! Duties that one instance at a time has towards the platform.
//!
//! | module | what |
//! |---|---|
//! | `tell` | every instance tells what its dispatcher counted |
//! | `hold` | the lease, and the acts of the instance that has it |
//! | `order` | ordering backend servers |
//!
//! What is decided stands in `drumusher-duty`. The instances that read the store for others stand by; there are
//! few of them, and one is always there. Without duties in the settings nothing of this runs.

mod hold;
mod order;
mod tell;

use std::{rc::Rc, sync::Arc};

use drumusher_duty::usage;
use drumusher_platform::duty;
use ntex::rt;

use super::Shared;
use crate::settings;

/// Runs the duties on the current thread, if there are any.
pub(super) fn start<S: duty::Duties + 'static>(shared: &Arc<Shared>, platform: Rc<S>) {
    let Some(settings) = shared.settings.duties.clone() else {
        return;
    };
    // Drawn at each start, so that two processes of one instance are told apart.
    let boot = rand::random();
    rt::spawn(tell::run(shared.clone(), platform.clone(), boot));
    rt::spawn(hold::run(shared.clone(), platform, settings, boot));
}

/// Those who could not tell what they counted have told it again within this: the time between two trials, and
/// that of a call which fails.
const SETTLE_MS: u64 = 2_000;

/// When windows of usage are reported.
fn windows(settings: &settings::Duties) -> usage::Options {
    let settings::Duties { window_ms, due_ms, .. } = *settings;
    usage::Options { window_ms, due_ms, settle_ms: SETTLE_MS }
}
