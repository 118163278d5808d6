//! Counts of the requests that started to run, for the usage reports of workspaces, and of those that run or wait, for
//! autoscaling.

use drumusher_schedule::{
    ask::{Id, Outcome, Running},
    time::{MILLISECOND, Micros},
};

use super::Dispatcher;
use crate::{process::clock, version::Pool};

/// An engine that sent nothing for this long after it got a request is assumed to have started it: half of all first
/// events come within 60 ms. An engine that fails a request at once did not start it.
const ASSUMED_STARTED_AFTER: Micros = 400 * MILLISECOND;

/// Upper bound of an engine's token gap when the start of a request is estimated.
const MAX_GAP: Micros = 500 * MILLISECOND;

impl Dispatcher {
    /// Counts a request at its first event. The request started with the first token of that event, which is about one
    /// token gap earlier: 0.1 s and more under a burst.
    pub(super) fn count_started(&self, pool: &str, id: Id) {
        let now = clock::now();
        let gap = |running: &Running| {
            let hosted = self.pools.get(&Pool::parse(pool)?)?;
            hosted.scheduler.server_at(running.server)?.estimated_gap()
        };
        self.count(pool, id, |running| {
            let gap = gap(running).unwrap_or(0.0) as Micros;
            Some(now.saturating_sub(gap.min(MAX_GAP)))
        });
    }

    /// Counts a request at its end, if it was not counted before; its start is taken to be its grant. Requests of
    /// services other than engines are counted here. Requests of engines are counted at their first event, but have
    /// none if the engine failed or sent nothing: without counting these here, windows in which engines failed 45 in
    /// 100 requests, or sent nothing, were off by 7 to 26 in 100.
    pub(super) fn count_ended(&self, pool: &str, id: Id, outcome: Outcome) {
        let now = clock::now();
        let engine = self.is_engine(pool);
        let ran = |running: &Running| match outcome {
            Outcome::ErrorResponse => !running.started,
            Outcome::Done => !engine,
            Outcome::Failed if engine => {
                !running.started && now >= running.granted + ASSUMED_STARTED_AFTER
            }
            Outcome::Failed => true,
            Outcome::Cancelled
            | Outcome::Preempted
            | Outcome::Overloaded
            | Outcome::ConnectFailed => false,
        };
        self.count(pool, id, |running| ran(running).then_some(running.granted));
    }

    /// Counts a request by its start time, if it started and usage reports are enabled. A stream that is resumed on
    /// another server was counted before. A running request that was taken over from another dispatcher was not, since
    /// only one dispatcher gets the reports on it. Callers of public routes have no workspace.
    fn count(&self, pool: &str, id: Id, began: impl FnOnce(&Running) -> Option<Micros>) {
        let Some(duties) = self.shared.settings.duties.as_ref().filter(|d| d.usage_report) else {
            return;
        };
        let hosted = Pool::parse(pool).and_then(|pool| self.pools.get(&pool));
        let Some(running) = hosted.and_then(|hosted| hosted.scheduler.running_request(id)) else {
            return;
        };
        let version = self.shared.version.load();
        let Some(workspace) = version.policy.workspace(running.ask.workspace) else {
            return;
        };
        let is_resumed = running.ask.produced > 0 && !running.started;
        if is_resumed || workspace.name.is_empty() {
            return;
        }
        let Some(at) = began(running) else {
            return;
        };
        let age_ms = clock::now().saturating_sub(at) / MILLISECOND;
        let window = clock::steady_unix_ms().saturating_sub(age_ms) / duties.window_ms;
        self.shared.tally().count_started(window, &workspace.name);
    }

    /// Records the load of each service here, if autoscaling is enabled.
    pub(super) fn record_load(&self) {
        if !self.shared.settings.duties.as_ref().is_some_and(|duties| duties.autoscale) {
            return;
        }
        let now = clock::now();
        for (pool, hosted) in &self.pools {
            let busy = hosted.scheduler.load(now);
            if let Some(service) = pool.service()
                && busy > 0
            {
                self.shared.tally().record_load(service, busy);
            }
        }
    }

    fn is_engine(&self, pool: &str) -> bool {
        let routing = self.shared.routing.load();
        let pool = Pool::parse(pool);
        let Some(service) = pool.as_ref().and_then(Pool::service) else {
            return false;
        };
        routing.as_ref().is_some_and(|routing| routing.is_engine(service))
    }
}
