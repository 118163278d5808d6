//! Duties towards the platform that one instance performs at a time: usage reports and autoscaling.
//!
//! | module | contents |
//! |---|---|
//! | `publish` | every instance publishes the counts of its dispatcher |
//! | `runner` | the lease, and the calls of the instance that holds it |
//! | `autoscale` | orders of backend servers |
//!
//! The decisions are made in `drumusher-duty`. The instances that read the store for others are the standbys: they are
//! few, and there is always one. Without duties in the settings none of this runs.

mod autoscale;
mod publish;
mod runner;

use std::{rc::Rc, sync::Arc};

use drumusher_duty::usage;
use drumusher_platform::duty;
use ntex::rt;

use super::Shared;
use crate::settings;

/// Starts the duties on the current thread, if the settings have any.
pub(super) fn start<S: duty::Duties + 'static>(shared: &Arc<Shared>, platform: Rc<S>) {
    let Some(settings) = shared.settings.duties.clone() else {
        return;
    };
    // A random number that identifies this process among all processes of the same instance.
    let boot = rand::random();
    rt::spawn(publish::run(shared.clone(), platform.clone(), settings.clone(), boot));
    rt::spawn(runner::run(shared.clone(), platform, settings, boot));
}

/// Interval at which an instance that dispatches for others publishes its counts, in milliseconds. Counts since the
/// last update are lost if the instance ends: at most a twentieth of a window of five seconds, which is the permitted
/// error of a report. With an interval of one second, a window missed 555 of 4,422 requests when the busiest
/// dispatcher ended.
const PUBLISH_MS: u64 = 250;
/// Other instances publish at the interval within which a report is due divided by this: there are many of them, and
/// each counted little, while it briefly dispatched for itself.
const PUBLISH_DIVISOR: u64 = 4;
/// Longest duration of a failing call, in milliseconds.
const CALL_MS: u64 = 700;

/// Interval between two updates, in milliseconds.
fn publish_ms(settings: &settings::Duties, dispatches: bool) -> u64 {
    if dispatches { PUBLISH_MS } else { settings.due_ms / PUBLISH_DIVISOR }
}

/// Time for the last read of the counts, for writing a report to the register and for sending it, in milliseconds. A
/// first attempt at one of these calls may fail at once.
const SEND_MS: u64 = 800;

/// Interval between two calls to the platform, in milliseconds: for half of its rate, since another instance may have
/// had the duties a moment ago.
fn call_spacing_ms(settings: &settings::Duties) -> u64 {
    (2_000.0 / settings.calls_per_second) as u64
}

/// When windows of usage are reported, by the settings.
fn usage_options(settings: &settings::Duties) -> usage::Options {
    let settings::Duties { window_ms, due_ms, .. } = *settings;
    let settle_ms = publish_ms(settings, false) + CALL_MS;
    usage::Options { window_ms, due_ms, settle_ms, send_ms: SEND_MS + call_spacing_ms(settings) }
}
