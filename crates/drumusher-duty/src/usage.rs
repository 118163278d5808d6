//! Usage of each workspace by windows of wall-clock time, and the window that is to be reported next.
//!
//! Each dispatcher counts the requests that started to run ([`Tally`]) and publishes the complete counts of each
//! window ([`Update`]), so that an update that is read twice, late or out of order counts once. The lease holder adds
//! the counts up ([`Aggregate`]). The report of a window is written to the register before it is sent ([`Progress`]),
//! so that another holder sends the same report.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The number of a window: window k starts k window lengths after 1 January 1970.
pub type Window = u64;
/// The number of requests that started to run, by workspace.
pub type Counts = BTreeMap<String, u64>;

/// Number of windows for which a process keeps its own counts: more than pass until a report is due.
const OWN_WINDOWS: usize = 8;
/// Number of windows for which a lease holder keeps the counts.
const KEPT_WINDOWS: u64 = 64;
/// A holder that lags by more windows than this continues with the oldest window that has counts: the counts of the
/// missing ones are no longer known.
const MAX_LAG: u64 = 12;

/// The report of a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The window.
    pub window: Window,
    /// Requests by workspace.
    pub counts: Counts,
}

/// Progress of the usage reports, as it is stored in the register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The current report, which may have been sent; its content never changes.
    pub fixed: Option<Report>,
    /// The latest window whose report the platform accepted.
    pub reported: Option<Window>,
    /// Whether reports may have been sent that are no longer known.
    #[serde(default)]
    pub lost: bool,
}

impl Progress {
    /// The progress after the platform accepted the fixed report.
    pub fn accepted(&self) -> Progress {
        let reported = self.fixed.as_ref().map(|report| report.window).or(self.reported);
        Progress { fixed: None, reported, lost: self.lost }
    }

    /// The progress with a report fixed.
    pub fn with_fixed(&self, report: Report) -> Progress {
        Progress { fixed: Some(report), reported: self.reported, lost: self.lost }
    }

    /// The progress after the store was restored from a backup, which may have lost later progress.
    pub fn after_loss(&self) -> Progress {
        Progress { fixed: None, reported: self.reported, lost: true }
    }

    /// The progress that skips the windows up to this one, since another report of them may have been sent.
    pub fn resume_after(&self, window: Window) -> Progress {
        Progress { fixed: None, reported: self.reported.max(Some(window)), lost: false }
    }
}

/// What one process publishes: the complete counts of its latest windows, and the load of the services it dispatches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The instance.
    pub writer: String,
    /// Drawn at each start of its process.
    pub boot: u64,
    /// Complete counts by window.
    pub windows: BTreeMap<Window, Counts>,
    /// The maximum number of requests that ran or waited since the previous update, by service.
    pub busy: BTreeMap<String, u32>,
}

/// The counts of one process.
#[derive(Debug, Default)]
pub struct Tally {
    windows: BTreeMap<Window, Counts>,
    /// Windows that changed since they were last published.
    changed: Vec<Window>,
    busy: BTreeMap<String, u32>,
}

impl Tally {
    /// Creates empty counts.
    pub fn new() -> Self {
        Tally::default()
    }

    /// Counts a request of a workspace that started to run.
    pub fn count_started(&mut self, window: Window, workspace: &str) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                counts.insert(workspace.into(), 1);
            }
        }
        if !self.changed.contains(&window) {
            self.changed.push(window);
        }
        if self.windows.len() > OWN_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Records the number of requests of a service that run or wait.
    pub fn record_load(&mut self, service: &str, requests: u32) {
        match self.busy.get_mut(service) {
            Some(most) => *most = requests.max(*most),
            None => {
                self.busy.insert(service.into(), requests);
            }
        }
    }

    /// Takes the update to be published now; `None` if nothing changed.
    pub fn take_update(&mut self, writer: &str, boot: u64) -> Option<Update> {
        let changed = std::mem::take(&mut self.changed);
        let busy = std::mem::take(&mut self.busy);
        if changed.is_empty() && busy.is_empty() {
            return None;
        }
        let windows = changed.into_iter().filter_map(|window| {
            let counts = self.windows.get(&window)?;
            Some((window, counts.clone()))
        });
        let windows = windows.collect();
        Some(Update { writer: writer.into(), boot, windows, busy })
    }

    /// Marks all windows to be published again, since the store may have lost earlier updates.
    pub fn republish_all(&mut self) {
        self.changed = self.windows.keys().copied().collect();
    }

    /// Marks the windows of an update to be published again, since it may not have arrived.
    pub fn mark_unpublished(&mut self, update: &Update) {
        let kept = update.windows.keys().filter(|window| self.windows.contains_key(window));
        let missing: Vec<Window> = kept.filter(|w| !self.changed.contains(w)).copied().collect();
        self.changed.extend(missing);
    }
}

/// When windows are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time after the end of a window within which its report is due, in milliseconds.
    pub due_ms: u64,
    /// Time within which processes that could not reach the store have published again, in milliseconds.
    pub settle_ms: u64,
}

/// Fraction of the due time after which a window is reported: updates that were delayed for seconds still arrive, and
/// there is time left to retry the report.
const REPORT_AT: f64 = 0.5;
/// Fraction of the due time after which it is reported without waiting for delayed updates.
const DEADLINE_AT: f64 = 0.8;

/// The span over which the published updates were read, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSpan {
    /// Since when they are read without a failure.
    pub since_ms: u64,
    /// When they were last read.
    pub until_ms: u64,
}

impl Options {
    /// The window that a time in Unix milliseconds falls into.
    pub fn window(&self, unix_ms: u64) -> Window {
        unix_ms / self.window_ms.max(1)
    }

    /// The latest window of which a report may have been sent by now, where the clocks of other instances may be
    /// ahead by up to one window.
    pub fn latest_sent(&self, unix_ms: u64) -> Window {
        let due = (self.due_ms as f64 * REPORT_AT) as u64;
        self.window(unix_ms.saturating_sub(due))
    }

    /// Whether a window is due to be reported. After a failure of the store, processes get time to publish the counts
    /// that they could not publish before, unless waiting would make a report late that is still in time.
    fn is_due(&self, window: Window, read: ReadSpan) -> bool {
        let end = (window + 1) * self.window_ms;
        let part = |part: f64| end + (self.due_ms as f64 * part) as u64;
        let settled = read.until_ms >= read.since_ms + self.settle_ms;
        let last = read.since_ms < part(DEADLINE_AT) && read.until_ms >= part(DEADLINE_AT);
        read.until_ms >= part(REPORT_AT) && (settled || last)
    }
}

/// The counts that all processes published.
#[derive(Debug, Default)]
pub struct Aggregate {
    /// Counts by window and process. Later counts of a process replace earlier ones.
    windows: BTreeMap<Window, BTreeMap<(String, u64), Counts>>,
}

impl Aggregate {
    /// Creates an empty aggregate.
    pub fn new() -> Self {
        Aggregate::default()
    }

    /// Adds the update of a process.
    pub fn add(&mut self, update: &Update) {
        for (window, counts) in &update.windows {
            let by_process = self.windows.entry(*window).or_default();
            let kept = by_process.entry((update.writer.clone(), update.boot)).or_default();
            // Counts only grow, so an update that arrives late is ignored.
            for (workspace, count) in counts {
                let kept = kept.entry(workspace.clone()).or_default();
                *kept = (*kept).max(*count);
            }
        }
        while let Some((first, _)) = self.windows.first_key_value() {
            let last = self.windows.last_key_value().map_or(0, |(last, _)| *last);
            if last - first < KEPT_WINDOWS {
                break;
            }
            self.windows.pop_first();
        }
    }

    /// The total counts of a window, by workspace.
    pub fn counts(&self, window: Window) -> Counts {
        let mut sum = Counts::new();
        for counts in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (workspace, count) in counts {
                *sum.entry(workspace.clone()).or_default() += count;
            }
        }
        sum
    }

    /// The window that is to be reported next, if it is due.
    pub fn due(&self, progress: &Progress, options: &Options, read: ReadSpan) -> Option<Window> {
        let first = *self.windows.first_key_value()?.0;
        let next = match progress.reported {
            None => first,
            Some(reported) if reported + 1 + MAX_LAG < first => first,
            Some(reported) => reported + 1,
        };
        options.is_due(next, read).then_some(next)
    }

    /// The report of a window.
    pub fn report(&self, window: Window) -> Report {
        Report { window, counts: self.counts(window) }
    }
}
