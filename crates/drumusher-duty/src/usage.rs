//! Usage of each workspace by windows of wall-clock time, and the window that is to be reported next.
//!
//! Each dispatcher counts the requests that started to run ([`Tally`]) and publishes the complete counts of each
//! window ([`Update`]), so that an update that is read twice, late or out of order counts once. The lease holder adds
//! the counts up ([`Aggregate`]). The report of a window is written to the register before it is sent ([`Progress`]),
//! so that another holder sends the same report.
//!
//! Instances that cannot reach the store dispatch for themselves, and publish their counts once it answers. So a report
//! is fixed late while counts may be missing: those of writers that reported lately, and those of instances that are or
//! were unreachable ([`Instances`]). It is still sent in time without them.

use std::collections::{BTreeMap, BTreeSet};

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
    /// All requests that started before this time are counted, in Unix milliseconds; 0 from software that does not
    /// send it.
    #[serde(default)]
    pub through_ms: u64,
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
    /// The latest window with counts, unless an update after the end of the window that follows it was published.
    unclosed: Option<Window>,
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
        self.unclosed = self.unclosed.max(Some(window));
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

    /// Marks the latest window with counts to be published once more after the end of the window that follows it. The
    /// lease holder awaits the counts of recent writers, and so learns that there are none in that window.
    pub fn close_ended(&mut self, current: Window) {
        let Some(last) = self.unclosed.take_if(|last| current > *last + 1) else {
            return;
        };
        if self.windows.contains_key(&last) && !self.changed.contains(&last) {
            self.changed.push(last);
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
        Some(Update { writer: writer.into(), boot, through_ms: 0, windows, busy })
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
    /// Time before a report is due at which it is fixed although counts are missing, in milliseconds. The report has
    /// to be written to the register and sent within it. It is at most the rest of the time after [`DEADLINE_AT`].
    pub send_ms: u64,
}

/// Fraction of the due time after which a window is reported: updates that were delayed for seconds still arrive, and
/// there is time left to retry the report.
const REPORT_AT: f64 = 0.5;
/// Fraction of the due time after which it is reported without waiting for delayed updates.
const DEADLINE_AT: f64 = 0.8;
/// A removed instance is forgotten after this time, in milliseconds.
const FORGET_MS: u64 = 600_000;
/// An instance that has been unreachable for this many times the due time is no longer awaited: it has most likely
/// ended. Reports that wait have less time for retries.
const MAX_ABSENCE: u64 = 3;

/// The span over which the published updates were read, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSpan {
    /// Since when they are read without a failure.
    pub since_ms: u64,
    /// When they were last read.
    pub until_ms: u64,
}

impl ReadSpan {
    /// Whether the updates were read for so long that processes that could not reach the store have published again.
    pub fn is_settled(&self, options: &Options) -> bool {
        self.until_ms >= self.since_ms + options.settle_ms
    }
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

    /// The end of a window in Unix milliseconds.
    fn end(&self, window: Window) -> u64 {
        (window + 1) * self.window_ms
    }

    /// The time in Unix milliseconds at which this part of the due time of a window has passed.
    fn part(&self, window: Window, part: f64) -> u64 {
        self.end(window) + (self.due_ms as f64 * part) as u64
    }

    /// When a window is reported although counts are missing, in Unix milliseconds.
    fn latest(&self, window: Window) -> u64 {
        let due = self.end(window) + self.due_ms;
        due.saturating_sub(self.send_ms).max(self.part(window, DEADLINE_AT))
    }

    /// Whether a window is due to be reported, while counts of some instances are `missing` or not. After a failure of
    /// the store, processes get time to publish the counts that they could not publish before. No report waits so long
    /// that it is late. One that is late already waits for the time after a failure of the store, but for no instance.
    fn is_due(&self, window: Window, read: ReadSpan, missing: bool) -> bool {
        let (now, deadline) = (read.until_ms, self.part(window, DEADLINE_AT));
        if now >= self.end(window) + self.due_ms {
            return read.is_settled(self);
        }
        let settled = read.is_settled(self) || (read.since_ms < deadline && now >= deadline);
        let complete = settled && !missing;
        now >= self.part(window, REPORT_AT) && (complete || now >= self.latest(window))
    }
}

/// The other instances as the lease holder sees them.
#[derive(Debug, Default)]
pub struct Instances {
    /// The listed ones, and those that were removed while they were unreachable, each with its latest absence.
    known: BTreeMap<String, Option<Absence>>,
}

/// The time in which an instance was unreachable, in Unix milliseconds.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since_ms: u64,
    /// `None` while it lasts.
    until_ms: Option<u64>,
}

impl Instances {
    /// Creates a view without instances.
    pub fn new() -> Self {
        Instances::default()
    }

    /// Records the listed instances, and of each whether it is reachable.
    pub fn record<'a>(&mut self, now_ms: u64, listed: impl Iterator<Item = (&'a str, bool)>) {
        let mut names = BTreeSet::new();
        for (name, reachable) in listed {
            names.insert(name);
            let absence = match self.known.get_mut(name) {
                Some(absence) => absence,
                None => self.known.entry(name.into()).or_default(),
            };
            match absence {
                Some(absence) if reachable => {
                    absence.until_ms.get_or_insert(now_ms);
                }
                Some(Absence { until_ms: None, .. }) => {}
                _ if reachable => {}
                _ => *absence = Some(Absence { since_ms: now_ms, until_ms: None }),
            }
        }
        // One that is removed while it is unreachable may still have counts; one that left has published them.
        let is_cut_off = |absence: &Option<Absence>| {
            absence.is_some_and(|a| a.until_ms.is_none() && now_ms < a.since_ms + FORGET_MS)
        };
        self.known.retain(|name, absence| names.contains(&**name) || is_cut_off(absence));
    }

    /// The instances that are unreachable, or have not had the time to publish since they were, and may have counts of
    /// a window.
    fn absent(&self, window: Window, options: &Options, now_ms: u64) -> impl Iterator<Item = &str> {
        let start_ms = window * options.window_ms;
        let max_ms = MAX_ABSENCE * options.due_ms;
        let absent = move |absence: &Absence| match absence.until_ms {
            None => now_ms < absence.since_ms + max_ms,
            Some(until_ms) => until_ms >= start_ms && now_ms < until_ms + options.settle_ms,
        };
        let known = self.known.iter();
        known.filter(move |(_, a)| a.as_ref().is_some_and(absent)).map(|(name, _)| name.as_str())
    }
}

/// What is known of a writer of updates.
#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    /// See [`Update::through_ms`].
    through_ms: u64,
    /// The latest window of which it published counts.
    last: Window,
}

/// The counts that all processes published.
#[derive(Debug, Default)]
pub struct Aggregate {
    /// Counts by window and process. Later counts of a process replace earlier ones.
    windows: BTreeMap<Window, BTreeMap<(String, u64), Counts>>,
    /// The writers of these counts.
    heard: BTreeMap<String, Heard>,
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
        self.record_heard(update);
    }

    fn record_heard(&mut self, update: &Update) {
        let counted = update.windows.keys().next_back().copied();
        if !self.heard.contains_key(&update.writer) && counted.is_none() {
            return;
        }
        let heard = self.heard.entry(update.writer.clone()).or_default();
        heard.through_ms = heard.through_ms.max(update.through_ms);
        heard.last = heard.last.max(counted.unwrap_or(0));
        let first = self.windows.first_key_value().map_or(0, |(first, _)| *first);
        self.heard.retain(|_, heard| heard.last >= first);
    }

    /// The instances whose counts of a window may be missing at a time: listed ones that published counts of this
    /// window or the one before, and nothing since the end of this window; and those that are unreachable, or returned
    /// a moment ago.
    pub fn missing<'a>(
        &'a self,
        window: Window,
        options: &Options,
        now_ms: u64,
        instances: &'a Instances,
    ) -> BTreeSet<&'a str> {
        let end = options.end(window);
        let silent = self.heard.iter().filter(|(name, heard)| {
            let sends_through = heard.through_ms > 0;
            let recent = heard.last + 1 >= window && heard.through_ms < end;
            sends_through && recent && instances.known.contains_key(*name)
        });
        let is_complete = |name| self.heard.get(name).is_some_and(|heard| heard.through_ms >= end);
        let absent = instances.absent(window, options, now_ms).filter(|name| !is_complete(*name));
        silent.map(|(name, _)| name.as_str()).chain(absent).collect()
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

    /// The window that is to be reported next; `None` before there are counts.
    fn next(&self, progress: &Progress) -> Option<Window> {
        let first = *self.windows.first_key_value()?.0;
        Some(match progress.reported {
            None => first,
            Some(reported) if reported + 1 + MAX_LAG < first => first,
            Some(reported) => reported + 1,
        })
    }

    /// The window that is to be reported next, if it is due.
    pub fn due(
        &self,
        progress: &Progress,
        options: &Options,
        read: ReadSpan,
        instances: &Instances,
    ) -> Option<Window> {
        let next = self.next(progress)?;
        let missing = !self.missing(next, options, read.until_ms, instances).is_empty();
        options.is_due(next, read, missing).then_some(next)
    }

    /// The next window, if it could have been reported but waits for missing counts at this time.
    pub fn waiting(&self, progress: &Progress, options: &Options, now_ms: u64) -> Option<Window> {
        let next = self.next(progress)?;
        let reportable = options.part(next, REPORT_AT)..options.end(next) + options.due_ms;
        reportable.contains(&now_ms).then_some(next)
    }

    /// Whether the next window waits and has to be reported soon, so that counts are to be read at short intervals.
    pub fn is_urgent(&self, progress: &Progress, options: &Options, now_ms: u64) -> bool {
        let window = self.waiting(progress, options, now_ms);
        window.is_some_and(|window| now_ms >= options.part(window, DEADLINE_AT))
    }

    /// The report of a window.
    pub fn report(&self, window: Window) -> Report {
        Report { window, counts: self.counts(window) }
    }
}
