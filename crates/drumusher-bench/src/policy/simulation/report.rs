//! Reports to the scheduler: the progress of attempts and the load of engines.

use drumusher_schedule::{
    ask::Id,
    event::{Event, Load, Progress},
    server,
    time::{MILLISECOND, Micros},
};

use super::{Simulation, action::Action, attempt::Attempt};

/// Interval between batches of progress reports. An attempt is included once its first token has come.
pub(super) const PROGRESS_BATCH_INTERVAL: Micros = 50 * MILLISECOND;
/// Interval at which an attempt is included again. It is also reported when it ends.
const PROGRESS_INTERVAL: Micros = 500 * MILLISECOND;
/// Interval between load reports.
pub(super) const LOAD_INTERVAL: Micros = 250 * MILLISECOND;

impl Simulation<'_> {
    /// Sends the progress reports that are due.
    pub(super) fn send_progress(&mut self) {
        let due = |(number, attempt): (&usize, &Attempt)| {
            let first = self.results[*number].first.is_some() && !attempt.reported_first;
            (first || self.now >= attempt.last_report + PROGRESS_INTERVAL).then_some(*number)
        };
        let mut due: Vec<usize> = self.running.iter().filter_map(due).collect();
        due.sort_unstable();
        for number in due {
            self.report_progress(number);
        }
        self.schedule(self.now + PROGRESS_BATCH_INTERVAL, Action::SendProgress);
    }

    /// Reports the progress of an attempt: output tokens, time to first token, and mean gap between tokens since the
    /// last report.
    pub(super) fn report_progress(&mut self, number: usize) {
        let produced = self.results[number].delivered;
        let first = self.results[number].first;
        let Some(attempt) = self.running.get_mut(&number) else {
            return;
        };
        let new = u64::from(produced.saturating_sub(attempt.last_produced));
        let gap = if new > 0 && attempt.reported_first {
            (self.now - attempt.last_report) / new
        } else {
            0
        };
        let first = first.filter(|_| !attempt.reported_first);
        if first.is_some() || new > 0 {
            attempt.reported_first = true;
            attempt.last_report = self.now;
            attempt.last_produced = produced;
        }
        let first_token = first.map(|first| first.saturating_sub(attempt.started));
        let id = number as Id;
        self.notify_scheduler(Event::Progress(Progress { id, produced, first_token, gap }));
    }

    /// Samples the load of the engines, which the scheduler receives after the scenario's delay.
    pub(super) fn send_loads(&mut self) {
        for number in 0..self.engines.len() {
            let engine = &self.engines[number];
            if engine.down {
                continue;
            }
            let load = Load {
                server: server::Key(number as u16),
                as_of: self.now,
                running: engine.running() as u32,
                waiting: engine.waiting() as u32,
                full: None,
            };
            self.schedule(self.now + self.scenario.lag, Action::ReceiveLoad(load));
        }
        self.schedule(self.now + LOAD_INTERVAL, Action::SendLoads);
    }
}
