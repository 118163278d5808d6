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
    rt::spawn(tell::run(shared.clone(), platform.clone(), settings.clone(), boot));
    rt::spawn(hold::run(shared.clone(), platform, settings, boot));
}

/// An instance that dispatches for others tells what it counted so often. What it counted since is lost with it: at
/// most a twentieth of a window of five seconds, which is as much as a report may be off. With a second between them
/// the loss of the busiest dispatcher made a window miss 555 of 4,422 requests.
const TELL_MS: u64 = 250;
/// One that decided for itself for a moment counted little, and there are many such: it tells in this part of the
/// time within which a report is due.
const TELL_PART: u64 = 4;
/// Longest time of a call that fails, in milliseconds.
const CALL_MS: u64 = 700;

/// Time between two trials to tell, in milliseconds.
fn tell_ms(settings: &settings::Duties, dispatches: bool) -> u64 {
    if dispatches { TELL_MS } else { settings.due_ms / TELL_PART }
}

/// When windows of usage are reported.
fn windows(settings: &settings::Duties) -> usage::Options {
    let settings::Duties { window_ms, due_ms, .. } = *settings;
    usage::Options { window_ms, due_ms, settle_ms: tell_ms(settings, false) + CALL_MS }
}
