//! Steps of the lease on the duties, and the calls of the instance that holds it.
//!
//! One task does everything in sequence, so that no call is under way while a step releases or loses the lease, and the
//! end of the latest call is known.

use std::{
    rc::Rc,
    sync::{Arc, atomic::Ordering},
};

use drumusher_duty::{
    lease::{self, Holder, Lease, Permit, Replaced, State, Step, Version},
    sizing::{Kind, Outcome},
    usage::{self, Aggregate, Instances, Progress, ReadSpan, Update},
};
use drumusher_log::position::Position;
use drumusher_platform::{
    Error,
    duty::{self, Caller, Register, Verdict},
};
use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};
use ntex::time::{Millis, sleep};

use super::autoscale::Autoscaler;
use crate::{
    process::{Shared, clock},
    settings,
};

/// Interval at which an instance that is not a standby checks whether it has become one.
const INACTIVE_POLL: Millis = Millis(200);
/// Longest sleep of a standby or holder, which bounds the delay of orders and reports.
const MAX_SLEEP: Micros = 100 * MILLISECOND;
/// Longest duration of a call of a duty, including its start.
const CALL_TIME: Micros = 800 * MILLISECOND;
/// Interval between two reads of the published updates, within which a burst becomes visible.
const READ_INTERVAL: Micros = SECOND;
/// Interval between two reads while a report waits for counts and is due soon.
const URGENT_READ_INTERVAL: Micros = 250 * MILLISECOND;
/// Interval at which the reachable instances are recorded.
const RECORD_INTERVAL: Micros = 250 * MILLISECOND;
/// After a failed call, reports do not wait for missing counts until shortly before they are due for this time, since
/// the next calls may fail too.
const FAILURE_MEMORY: Micros = 10 * SECOND;
/// First pause after a failed call, doubled with each further one up to [`MAX_RETRY_PAUSE`].
const MIN_RETRY_PAUSE: Micros = 300 * MILLISECOND;
/// Longest pause after a failed call: a report is due some seconds after its first attempt.
const MAX_RETRY_PAUSE: Micros = 2 * SECOND;

/// Runs the lease, and the duties while this instance holds it. Never returns.
pub(super) async fn run<S: duty::Duties>(
    shared: Arc<Shared>,
    platform: Rc<S>,
    settings: settings::Duties,
    boot: u64,
) {
    let mut runner = Runner::new(shared.clone(), platform, settings, boot);
    loop {
        let is_standby = shared.reader.load(Ordering::Acquire) && shared.ready();
        if is_standby || runner.lease.token().is_some() {
            runner.record_instances();
            runner.step().await;
        } else {
            sleep(INACTIVE_POLL).await;
        }
    }
}

/// The pause after failed calls of one duty, so that a failed order does not delay a report.
#[derive(Clone, Copy, Debug, Default)]
struct Retry {
    until: Micros,
    pause: Micros,
}

impl Retry {
    /// Records the end of a call. The pause grows with each one that failed.
    fn ended(&mut self, now: Micros, failed: bool) {
        self.pause = match failed {
            true => (self.pause * 2).clamp(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE),
            false => 0,
        };
        self.until = now + self.pause;
    }
}

/// The state of the duties in this instance.
struct Runner<S> {
    shared: Arc<Shared>,
    platform: Rc<S>,
    settings: settings::Duties,
    lease: Lease,
    /// Progress that is to be written to the register.
    pending_progress: Option<Progress>,
    counts: Aggregate,
    instances: Instances,
    /// When the reachable instances were last recorded.
    recorded_at: Micros,
    autoscaler: Autoscaler,
    /// Position from which the next updates are read.
    read_from: Position,
    /// The span over which the updates were read; `None` before the first read of this term, or if the latest one
    /// failed.
    read: Option<ReadSpan>,
    /// When the updates were last read; 0 to read them at once.
    read_at: Micros,
    /// No call of a duty is made before this time, by the platform's rate.
    paused_until: Micros,
    /// The pauses after failed calls.
    report_retry: Retry,
    order_retry: Retry,
    /// When a call last failed; `None` if none did.
    failed_at: Option<Micros>,
    /// The token of the term that was last logged.
    logged_token: Option<u64>,
}

impl<S: duty::Duties> Runner<S> {
    fn new(shared: Arc<Shared>, platform: Rc<S>, settings: settings::Duties, boot: u64) -> Self {
        let length = settings.lease_ms * MILLISECOND;
        let own = Holder { name: shared.name.to_string(), boot };
        let lease = Lease::new(own, lease::Options { length, min_gap: length }, shared.began);
        Runner {
            shared,
            platform,
            settings,
            lease,
            pending_progress: None,
            counts: Aggregate::new(),
            instances: Instances::new(),
            recorded_at: 0,
            autoscaler: Autoscaler::new(),
            read_from: Position::default(),
            read: None,
            read_at: 0,
            paused_until: 0,
            report_retry: Retry::default(),
            order_retry: Retry::default(),
            failed_at: None,
            logged_token: None,
        }
    }

    /// Records which instances are reachable. A standby does so too, since it may soon have the duties.
    fn record_instances(&mut self) {
        let now = clock::now();
        if now < self.recorded_at + RECORD_INTERVAL {
            return;
        }
        self.recorded_at = now;
        let directory = self.shared.directory.load();
        let unreachable = self.shared.unreachable.load();
        let staying = directory.instances.values().filter(|instance| !instance.leaving);
        let listed = staying.map(|instance| {
            let reachable = !unreachable.contains(&instance.name);
            (&*instance.name, reachable)
        });
        self.instances.record(clock::steady_unix_ms(), listed);
    }

    /// When windows are reported. After a failed call a report waits less long for missing counts.
    fn usage_options(&self, now: Micros) -> usage::Options {
        let options = super::usage_options(&self.settings);
        let failed = self.failed_at.is_some_and(|at| now < at + FAILURE_MEMORY);
        if failed { usage::Options { send_ms: options.due_ms, ..options } } else { options }
    }

    /// Whether a report waits for counts and has to be fixed soon.
    fn is_report_urgent(&self, now: Micros) -> bool {
        let usage = self.lease.usage().filter(|usage| usage.fixed.is_none() && !usage.lost);
        let unix_ms = clock::steady_unix_ms();
        self.settings.usage_report
            && usage.is_some_and(|u| self.counts.is_urgent(u, &self.usage_options(now), unix_ms))
    }

    /// Takes one step of the lease, or makes one call if no step is due.
    async fn step(&mut self) {
        let now = clock::now();
        let known = self.lease.usage().cloned().unwrap_or_default();
        // A replacement without an answer has been applied.
        self.pending_progress.take_if(|pending_progress| *pending_progress == known);
        let usage = self.pending_progress.clone().unwrap_or(known);
        match self.lease.next(now, &usage, self.shared.stopping()) {
            Step::Read => self.read_register().await,
            Step::Replace { expect, state } => self.replace(expect, state).await,
            Step::Wait(until) => {
                if !self.run_due().await {
                    let left = until.saturating_sub(now).clamp(MILLISECOND, MAX_SLEEP);
                    sleep(Millis((left / MILLISECOND) as u32)).await;
                }
            }
        }
        self.log_term();
    }

    async fn read_register(&mut self) {
        match self.platform.register().await {
            Ok(register) => self.lease.read(clock::now(), version(&register)),
            Err(error) => {
                log::debug!("the duty register could not be read: the store {error}");
                self.lease.read_failed(clock::now());
            }
        }
    }

    async fn replace(&mut self, expect: Position, state: State) {
        let value = serde_json::to_string(&state).expect("texts and numbers can be written");
        let sent = clock::now();
        let how = match self.platform.replace(expect, &value).await {
            Ok(true) => Replaced::Done,
            Ok(false) => Replaced::Outdated,
            Err(error) => {
                log::info!("the lease on the duties was not renewed for sure: the store {error}");
                Replaced::Unknown
            }
        };
        if how == Replaced::Done {
            self.pending_progress = None;
        }
        self.lease.replaced(clock::now(), sent, expect, state, how);
    }

    /// Logs the start and the end of a term.
    fn log_term(&mut self) {
        let token = self.lease.token();
        if token == self.logged_token {
            return;
        }
        if let Some(token) = self.logged_token {
            self.shared.telemetry.count("drumusher.duty.spells", &[("what", "ended")]);
            log::info!(token = token; "this instance no longer has the duties");
        }
        if let Some(token) = token {
            self.shared.telemetry.count("drumusher.duty.spells", &[("what", "began")]);
            let reported = self.lease.usage().and_then(|usage| usage.reported);
            log::info!(token = token, reported = reported.unwrap_or(0); "this instance has the duties");
            self.read = None;
        }
        self.pending_progress = None;
        self.logged_token = token;
    }

    /// Makes the call that is due. Returns whether there was one.
    async fn run_due(&mut self) -> bool {
        if self.lease.token().is_none() || self.shared.stopping() {
            return false;
        }
        let now = clock::now();
        let urgent = self.is_report_urgent(now);
        let interval = if urgent { URGENT_READ_INTERVAL } else { READ_INTERVAL };
        if now >= self.read_at + interval {
            self.read_at = now;
            self.read().await;
            return true;
        }
        let (Some(permit), Some(read)) = (self.lease.permit(now, CALL_TIME), self.read) else {
            return false;
        };
        if now < self.paused_until || self.pending_progress.is_some() {
            return false;
        }
        let usage = self.settings.usage_report && self.report(permit, read).await;
        // An order would delay a report that is due soon.
        let may_order = self.settings.autoscale && !urgent && now >= self.order_retry.until;
        usage || (may_order && self.order(permit).await)
    }

    /// Reads the updates that instances published.
    async fn read(&mut self) {
        let asked_ms = clock::steady_unix_ms();
        match self.platform.read_published(self.read_from).await {
            Ok(told) => {
                self.read_from = told.next;
                if told.overlaps {
                    log::info!(from:% = told.next, values = told.values.len(); "published usage counts are read again");
                    // Other instances may have to publish again what the store lost.
                    self.read = None;
                }
                told.values.iter().for_each(|value| self.apply_update(value, told.overlaps));
                if told.more {
                    // A window is not reported before all updates are read.
                    self.read_at = 0;
                    return;
                }
                let since_ms = self.read.map_or(asked_ms, |read| read.since_ms);
                self.read = Some(ReadSpan { since_ms, until_ms: asked_ms });
            }
            Err(error) => {
                self.read = None;
                log::debug!("published usage counts could not be read: the store {error}");
            }
        }
    }

    /// Applies an update. Of updates that are read `again` only the counts are used, since their load is outdated.
    fn apply_update(&mut self, value: &str, again: bool) {
        match serde_json::from_str::<Update>(value) {
            Ok(update) => {
                self.counts.add(&update);
                if !again {
                    self.autoscaler.record_load(clock::now(), &update);
                }
            }
            Err(error) => {
                self.shared.telemetry.count("drumusher.duty.unreadable", &[]);
                log::error!("published usage counts cannot be read: {error}");
            }
        }
    }

    /// Sends the fixed report, or fixes the next one. Returns whether there was one.
    async fn report(&mut self, permit: Permit, read: ReadSpan) -> bool {
        let Some(usage) = self.lease.usage().cloned() else {
            return false;
        };
        if usage.lost {
            let latest = super::usage_options(&self.settings).latest_sent(clock::steady_unix_ms());
            log::warn!(token = permit.token, window = latest; "usage up to this window is not reported: the store lost which reports were sent");
            self.pending_progress = Some(usage.resume_after(latest));
            return true;
        }
        let Some(fixed) = &usage.fixed else {
            let options = self.usage_options(clock::now());
            let due = self.counts.due(&usage, &options, read, &self.instances);
            self.pending_progress = due.map(|window| usage.with_fixed(self.counts.report(window)));
            return due.is_some();
        };
        if clock::now() < self.report_retry.until {
            return false;
        }
        let caller = self.caller(permit);
        let answer = self.platform.report(caller, fixed.window, &fixed.counts).await;
        let failed = self.call_ended(&answer);
        self.report_retry.ended(clock::now(), failed);
        log::info!(
            window = fixed.window, token = permit.token,
            requests = fixed.counts.values().sum::<u64>(), workspaces = fixed.counts.len();
            "usage reported: {}", word(&answer)
        );
        match answer {
            // A report that the platform does not understand would fail again, and must not hold up the next ones.
            Ok(Verdict::Accepted | Verdict::Rejected(_)) => {
                self.pending_progress = Some(usage.accepted())
            }
            Ok(Verdict::Conflict) => self.lease.token_refused(clock::now()),
            Ok(Verdict::Retry(_)) | Err(_) => {}
        }
        true
    }

    /// Makes the next order of backend servers. Returns whether there was one.
    async fn order(&mut self, permit: Permit) -> bool {
        let Some((service, order)) = self.autoscaler.next(clock::now(), &self.shared) else {
            return false;
        };
        let call = duty::Order {
            service: &service,
            availability_zone: &order.zone,
            count: order.count,
            spot: order.kind == Kind::Spot,
        };
        let answer = self.platform.order(self.caller(permit), call).await;
        log::info!(
            service = service.as_str(), availability_zone = order.zone.as_str(),
            count = order.count, spot = call.spot, token = permit.token;
            "backend servers ordered: {}", word(&answer)
        );
        let outcome = match answer {
            Ok(Verdict::Accepted) => Outcome::Accepted,
            // If the platform compares tokens, a conflict means either an outdated token or no available servers.
            // On-demand servers are always available, so their conflicts are about the token.
            Ok(Verdict::Conflict) if self.settings.fenced && order.kind == Kind::OnDemand => {
                self.lease.token_refused(clock::now());
                Outcome::Unknown
            }
            Ok(Verdict::Conflict) => Outcome::Unavailable,
            Ok(Verdict::Retry(_) | Verdict::Rejected(_)) | Err(_) => Outcome::Unknown,
        };
        let failed = self.call_ended(&answer);
        self.order_retry.ended(clock::now(), failed);
        self.autoscaler.ended(clock::now(), &service, &order, outcome);
        true
    }

    fn caller(&self, permit: Permit) -> Caller<'_> {
        Caller { holder: &self.shared.name, token: permit.token, until: permit.until }
    }

    /// Records the end of a call. The next one keeps to the platform's rate. Returns whether the call failed.
    fn call_ended(&mut self, answer: &Result<Verdict, Error>) -> bool {
        let now = clock::now();
        self.lease.call_ended(now);
        self.shared.telemetry.count("drumusher.duty.calls", &[("answer", word(answer))]);
        let failed = matches!(answer, Err(_) | Ok(Verdict::Retry(_)));
        if failed {
            self.failed_at = Some(now);
        }
        self.paused_until = now + super::call_spacing_ms(&self.settings) * MILLISECOND;
        failed
    }
}

/// The register as a version of the lease. Content that cannot be parsed was written by other software: it is treated
/// like the lease of another holder, and replaced once that has run out.
fn version(register: &Register) -> Version {
    let state = match &register.value {
        None => State::default(),
        Some(value) => serde_json::from_str(value).unwrap_or_else(|error| {
            log::error!("the duty register cannot be read: {error}");
            State { holder: Some(Holder { name: String::new(), boot: 0 }), ..State::default() }
        }),
    };
    Version { end: register.end, state }
}

/// The answer to a call as a word for logs and metrics.
fn word(answer: &Result<Verdict, Error>) -> &'static str {
    match answer {
        Ok(Verdict::Accepted) => "taken",
        Ok(Verdict::Conflict) => "conflict",
        Ok(Verdict::Retry(_)) => "later",
        Ok(Verdict::Rejected(_)) => "wrong",
        Err(Error::Unreachable) => "not sent",
        Err(_) => "no answer",
    }
}
