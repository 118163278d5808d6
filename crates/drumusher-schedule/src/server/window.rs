//! Concurrency window of a backend server: how many requests it is given at once, learned from the
//! gaps between its tokens, its load reports and its rejections.

use super::Server;
use crate::{
    event::Load,
    time::{MILLISECOND, Micros, SECOND},
};

/// Minimum time between two changes of the window.
const ADJUST_INTERVAL: Micros = 100 * MILLISECOND;
/// How long a rejection for lack of capacity counts.
const FULL_TTL: Micros = 200 * MILLISECOND;
/// Minimum requests in a backend server's queue for it to count as saturated.
const SATURATED_MIN_WAITING: u32 = 2;
/// The queue of a saturated backend server holds at least one request for this many that run.
const SATURATED_DIVISOR: u32 = 8;
/// How long an observed ceiling bounds the window.
const CEILING_TTL: Micros = 30 * SECOND;
/// How long a report counts for the maximum number of requests that a backend server runs at once.
const SAMPLE_TTL: Micros = 2 * SECOND;
/// Reports no further apart than this are the same one, read twice.
const SAME_REPORT: Micros = 2 * MILLISECOND;
/// How many changes of the number of own grants are remembered, to compare with a lagging report.
const HISTORY_LEN: usize = 128;

/// The request counts of a load report.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    as_of: Micros,
    running: u32,
    waiting: u32,
}

impl Sample {
    fn new(load: &Load) -> Self {
        Sample { as_of: load.as_of, running: load.running, waiting: load.waiting }
    }

    /// Whether so many requests wait that the backend server runs as many as it can.
    fn is_saturated(self) -> bool {
        self.waiting >= SATURATED_MIN_WAITING.max(self.running / SATURATED_DIVISOR)
    }
}

impl Server {
    /// The learned window, in requests.
    pub fn window(&self) -> u32 {
        self.window as u32
    }

    /// Records the number of own grants, which has just changed.
    pub(super) fn record_running(&mut self, now: Micros) {
        if self.history.len() == HISTORY_LEN {
            self.history.pop_front();
        }
        self.history.push_back((now, self.running));
    }

    /// Adds the latest grant, which an earlier dispatcher gave, to the history: reports from before
    /// the change of dispatchers include it.
    pub fn backdate_grant(&mut self) {
        let earlier = self.history.len().saturating_sub(1);
        for (_, running) in self.history.iter_mut().take(earlier) {
            *running += 1;
        }
    }

    /// Own grants that were running at `as_of`.
    fn running_at(&self, as_of: Micros) -> u32 {
        let before = self.history.iter().rev().find(|(at, _)| *at <= as_of);
        match (before, self.history.front()) {
            (Some((_, running)), _) => *running,
            (None, Some((_, oldest))) => *oldest,
            (None, None) => self.running,
        }
    }

    /// Forgets the requests of other dispatchers that reports showed.
    pub fn forget_foreign(&mut self) {
        self.foreign = 0;
    }

    /// Applies a lagging report. Requests in excess of the own grants at that time belong to other
    /// dispatchers, unless the report is older than `taken_over_at`, when this dispatcher took over.
    pub fn apply_report(&mut self, load: &Load, now: Micros, taken_over_at: Micros) {
        let reported = load.running + load.waiting;
        if load.as_of >= taken_over_at {
            self.foreign = reported.saturating_sub(self.running_at(load.as_of));
        }
        match load.full {
            Some(duration) => {
                self.full_until = self.full_until.max(now + duration.max(FULL_TTL));
                self.reported_full = true;
            }
            // It accepts requests again before the end of the time that it named.
            None if std::mem::take(&mut self.reported_full) => self.full_until = now,
            None => {}
        }
        let before = self.samples.back().copied();
        if before.is_some_and(|before| load.as_of <= before.as_of + SAME_REPORT) {
            return;
        }
        let sample = Sample::new(load);
        self.samples.retain(|earlier| load.as_of <= earlier.as_of + SAMPLE_TTL);
        self.samples.push_back(sample);
        if let Some(before) = before {
            self.lower_ceiling(before, sample, now);
        }
    }

    /// Records that attempts are being preempted for requests in its queue, so that earlier reports
    /// of that queue no longer count.
    pub fn note_queue_preemption(&mut self, now: Micros) {
        self.queue_preempted = now;
    }

    /// Length of its own queue in the latest report, and the time of that report; `None` if the
    /// queue is empty.
    pub fn reported_queue(&self) -> Option<(u32, Micros)> {
        let latest = self.samples.back()?;
        if latest.waiting == 0 || latest.as_of <= self.queue_preempted {
            return None;
        }
        Some((latest.waiting, latest.as_of))
    }

    /// Records that it rejected a request for lack of capacity.
    pub(super) fn record_rejection(&mut self, now: Micros) {
        self.full_until = self.full_until.max(now + FULL_TTL);
        self.record_brittle_rejection(now);
        if self.options.learned {
            self.window = (self.window - 1.0).max(1.0);
        }
    }

    /// Narrows the window to what the backend server runs at once. Two consecutive saturated
    /// reports with the same number running show that. The maximum over the latest reports counts:
    /// where many requests end in one step, reports may fall between their end and the start of
    /// those in the queue.
    fn lower_ceiling(&mut self, before: Sample, latest: Sample, now: Micros) {
        let changed = before.running.abs_diff(latest.running) > latest.running / SATURATED_DIVISOR;
        if !self.options.learned || !before.is_saturated() || !latest.is_saturated() || changed {
            return;
        }
        let max_running = self.samples.iter().map(|sample| sample.running).max();
        let ceiling = f64::from(max_running.unwrap_or(0).max(1));
        self.ceiling = Some((ceiling, now));
        self.window = self.window.min(ceiling);
    }

    /// Widens the window while it is used and the token gap is well below the target, and narrows
    /// it when the gap comes near the target.
    pub(super) fn adjust_window(&mut self, now: Micros, target: f64) {
        if !self.options.learned || now < self.window_adjusted + ADJUST_INTERVAL {
            return;
        }
        let used = f64::from(self.running) + 1.0 >= self.window;
        if self.gap > target * 0.95 {
            self.window = (self.window * 0.9).max(1.0);
        } else if self.gap < target * 0.8 && used {
            let growth = if self.gap < target * 0.5 { 0.25 } else { 0.05 };
            let wider = self.window + 1.0 + self.window * growth;
            self.window = wider.min(self.max_window(now));
        } else {
            return;
        }
        self.window_adjusted = now;
    }

    /// The widest window: as configured, and for a while no wider than the observed ceiling.
    fn max_window(&self, now: Micros) -> f64 {
        let slots = f64::from(self.options.slots);
        match self.ceiling {
            Some((ceiling, since)) if now < since + CEILING_TTL => ceiling.min(slots),
            _ => slots,
        }
    }
}
