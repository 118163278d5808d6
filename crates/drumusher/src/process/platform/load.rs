//! Polls the load reports of the engines in the pools that this instance dispatches.

use drumusher_platform::{
    Error,
    load::{Load, State, Status},
};
use drumusher_schedule::time::SECOND;
use ntex::{
    rt,
    time::{Millis, sleep},
};

use super::Context;
use crate::{
    process::{clock, dispatch},
    version::{Backend, Pool},
};

/// Longest time, in seconds, for which an engine counts as saturated unless it reports so again.
const MAX_SATURATED_S: u64 = 60;

/// Reads all reports at the configured interval; never returns.
pub(super) async fn follow(context: Context) {
    let pause = Millis(context.shared.settings.platform.load_ms as u32);
    loop {
        let directory = context.shared.directory.load_full();
        let pools = context.shared.hosted.load_full();
        // Only engines have a load report; a plain service would treat the read as a request.
        for pool in pools.iter().filter(|pool| matches!(pool, Pool::Model(_))) {
            let area = &context.shared.area;
            for backend in directory.backends(pool, area) {
                rt::spawn(read(context.clone(), pool.clone(), backend.clone()));
            }
        }
        sleep(pause).await;
    }
}

async fn read(context: Context, pool: Pool, backend: Backend) {
    let report = match context.http.load(&backend.address).await {
        Ok(Status::Report(report)) if report.state == State::Leaving => None,
        Ok(Status::Report(report)) => Some(dispatch::Report {
            age: clock::unix_ms().saturating_sub(report.as_of_ms) * 1_000,
            running: report.running,
            waiting: report.waiting,
            full: None,
        }),
        Ok(Status::Saturated(seconds)) => Some(dispatch::Report {
            age: 0,
            running: 0,
            waiting: 0,
            full: Some(seconds.min(MAX_SATURATED_S) * SECOND),
        }),
        Err(error) => {
            context.shared.telemetry.count("drumusher.load.failures", &[]);
            if matches!(error, Error::Unreachable | Error::NoAnswer) {
                let unreachable = dispatch::Input::Unreachable { pool, server: backend.name };
                let _ = context.shared.dispatch.try_send(unreachable);
            }
            return;
        }
    };
    let server = backend.name;
    let input = dispatch::Input::Load { pool, server, report };
    let _ = context.shared.dispatch.try_send(input);
}
