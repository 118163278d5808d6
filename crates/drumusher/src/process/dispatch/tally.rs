//! Counting the requests that began to run, for the usage of workspaces, and those that run or wait, for ordering
//! backend servers.

use drumusher_schedule::{
    ask::{Id, Outcome, Running},
    time::{MILLISECOND, Micros},
};

use super::Dispatch;
use crate::{process::clock, version::Pool};

/// An engine that said nothing for so long after it got a request is taken to have begun it: of its first events
/// half come within 60 ms. One that fails a request as soon as it gets it did not.
const BEGUN: Micros = 400 * MILLISECOND;

/// Longest time from one event to the next that is believed of an engine.
const MOST_GAP: Micros = 500 * MILLISECOND;

impl Dispatch {
    /// The first event of a request came. It began with the first token of that event, about as long before as the
    /// engine takes from one event to the next: under a burst a tenth of a second and more.
    pub(super) fn count_begun(&self, pool: &str, id: Id) {
        let now = clock::now();
        let gap = |running: &Running| {
            let host = self.hosts.get(&Pool::parse(pool)?)?;
            host.pool.server_at(running.server)?.estimated_gap()
        };
        self.count(pool, id, |running| {
            let gap = gap(running).unwrap_or(0.0) as Micros;
            Some(now.saturating_sub(gap.min(MOST_GAP)))
        });
    }

    /// A request ended; it began when it was granted, more or less. Those of plain services are counted at their
    /// end. Those of engines were counted by their first events; but where an engine failed them, or said nothing,
    /// there was none: without these, windows in which engines failed 45 in 100 requests, or were mute, were off by
    /// 7 to 26 in 100.
    pub(super) fn count_ended(&self, pool: &str, id: Id, outcome: Outcome) {
        let now = clock::now();
        let engine = self.is_engine(pool);
        let ran = |running: &Running| match outcome {
            Outcome::ErrorResponse => !running.started,
            Outcome::Done => !engine,
            Outcome::Failed if engine => !running.started && now >= running.granted + BEGUN,
            Outcome::Failed => true,
            Outcome::Cancelled
            | Outcome::Preempted
            | Outcome::Overloaded
            | Outcome::ConnectFailed => false,
        };
        self.count(pool, id, |running| ran(running).then_some(running.granted));
    }

    /// Counts a request by when it began, if it did and if usage is reported. A stream that goes on at another
    /// server began before; one that came from another dispatcher while it ran did not, since what is told here was
    /// not told there. Callers of public routes have no workspace.
    fn count(&self, pool: &str, id: Id, began: impl FnOnce(&Running) -> Option<Micros>) {
        let Some(duties) = self.shared.settings.duties.as_ref().filter(|d| d.usage_report) else {
            return;
        };
        let host = Pool::parse(pool).and_then(|pool| self.hosts.get(&pool));
        let Some(running) = host.and_then(|host| host.pool.running_request(id)) else {
            return;
        };
        let version = self.shared.version.load();
        let Some(workspace) = version.policy.workspace(running.ask.workspace) else {
            return;
        };
        let goes_on = running.ask.produced > 0 && !running.started;
        if goes_on || workspace.name.is_empty() {
            return;
        }
        let Some(at) = began(running) else {
            return;
        };
        let age_ms = clock::now().saturating_sub(at) / MILLISECOND;
        let window = clock::steady_unix_ms().saturating_sub(age_ms) / duties.window_ms;
        self.shared.tally().began(window, &workspace.name);
    }

    /// Notes how busy the services are that are dispatched here, if servers are ordered by that.
    pub(super) fn note_busy(&self) {
        if !self.shared.settings.duties.as_ref().is_some_and(|duties| duties.autoscale) {
            return;
        }
        for (pool, host) in &self.hosts {
            let busy = (host.pool.waiting() + host.pool.running()) as u32;
            if let Pool::Service(service) = pool
                && busy > 0
            {
                self.shared.tally().busy(service, busy);
            }
        }
    }

    fn is_engine(&self, pool: &str) -> bool {
        let routing = self.shared.routing.load();
        let Some(Pool::Service(service)) = Pool::parse(pool) else {
            return false;
        };
        routing.as_ref().is_some_and(|routing| routing.is_engine(&service))
    }
}
