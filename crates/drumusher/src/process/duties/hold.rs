//! The lease on the duties, and what the instance that has it does.
//!
//! One task does everything in turn, so that no act is under way while the lease is given up or lost by a step of
//! its own, and the end of the latest act is known.

use std::{
    rc::Rc,
    sync::{Arc, atomic::Ordering},
};

use drumusher_duty::{
    lease::{self, Holder, Lease, Pass, Replaced, State, Step, Version},
    sizing::{Kind, Outcome},
    usage::{Book, Progress, Read, Told},
};
use drumusher_log::position::Position;
use drumusher_platform::{
    Error,
    duty::{self, Caller, Register, Verdict},
};
use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};
use ntex::time::{Millis, sleep};

use super::order::Orders;
use crate::{
    process::{Shared, clock},
    settings,
};

/// Time between two looks of an instance that does not stand by.
const IDLE: Millis = Millis(200);
/// Longest pause between two looks of one that does: orders and reports are not late by more.
const PAUSE: Micros = 100 * MILLISECOND;
/// Longest time of a call of a duty, with the time to begin it.
const CALL: Micros = 800 * MILLISECOND;
/// Time between two reads of what others told: a burst is seen within it.
const READ_EVERY: Micros = SECOND;
/// First pause after a call that failed, doubled up to [`RETRY_MOST`].
const RETRY_FIRST: Micros = 300 * MILLISECOND;
/// Longest pause after a call that failed: a report is due some seconds after it was tried first.
const RETRY_MOST: Micros = 2 * SECOND;

/// Stands by, and does the duties while this instance has them, for ever.
pub(super) async fn run<S: duty::Duties>(
    shared: Arc<Shared>,
    platform: Rc<S>,
    settings: settings::Duties,
    boot: u64,
) {
    let mut hold = Hold::new(shared.clone(), platform, settings, boot);
    loop {
        let stands_by = shared.reader.load(Ordering::Acquire) && shared.ready();
        if stands_by || hold.lease.token().is_some() {
            hold.step().await;
        } else {
            sleep(IDLE).await;
        }
    }
}

/// One instance's part in the duties.
struct Hold<S> {
    shared: Arc<Shared>,
    platform: Rc<S>,
    settings: settings::Duties,
    lease: Lease,
    /// Progress that is to be written.
    wish: Option<Progress>,
    book: Book,
    orders: Orders,
    /// From where to read on what others told.
    from: Position,
    /// How far what others told was read; `None` if not yet in this spell, or if the latest read failed.
    read: Option<Read>,
    read_at: Micros,
    /// No call of a duty before this.
    paused: Micros,
    pause: Micros,
    /// The token of the spell that was logged last.
    logged: Option<u64>,
}

impl<S: duty::Duties> Hold<S> {
    fn new(shared: Arc<Shared>, platform: Rc<S>, settings: settings::Duties, boot: u64) -> Self {
        let length = settings.lease_ms * MILLISECOND;
        let own = Holder { name: shared.name.to_string(), boot };
        let lease = Lease::new(own, lease::Options { length, apart: length }, shared.began);
        Hold {
            shared,
            platform,
            settings,
            lease,
            wish: None,
            book: Book::new(),
            orders: Orders::new(),
            from: Position::default(),
            read: None,
            read_at: 0,
            paused: 0,
            pause: 0,
            logged: None,
        }
    }

    /// One step of the lease, or one act if there is none to do.
    async fn step(&mut self) {
        let now = clock::now();
        let known = self.lease.usage().cloned().unwrap_or_default();
        // Written after all, by a call that was not answered.
        self.wish.take_if(|wish| *wish == known);
        let usage = self.wish.clone().unwrap_or(known);
        match self.lease.next(now, &usage, self.shared.stopping()) {
            Step::Look => self.look().await,
            Step::Replace { expect, state } => self.replace(expect, state).await,
            Step::Wait(until) => {
                if !self.act().await {
                    let left = until.saturating_sub(now).clamp(MILLISECOND, PAUSE);
                    sleep(Millis((left / MILLISECOND) as u32)).await;
                }
            }
        }
        self.tell_spell();
    }

    async fn look(&mut self) {
        match self.platform.register().await {
            Ok(register) => self.lease.read(clock::now(), version(&register)),
            Err(error) => {
                log::debug!("the register of duties {error}");
                self.lease.failed(clock::now());
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
            self.wish = None;
        }
        self.lease.replaced(clock::now(), sent, expect, state, how);
    }

    /// Logs the beginning and the end of a spell.
    fn tell_spell(&mut self) {
        let token = self.lease.token();
        if token == self.logged {
            return;
        }
        if let Some(token) = self.logged {
            self.shared.telemetry.count("drumusher.duty.spells", &[("what", "ended")]);
            log::info!(token = token; "this instance no longer has the duties");
        }
        if let Some(token) = token {
            self.shared.telemetry.count("drumusher.duty.spells", &[("what", "began")]);
            let reported = self.lease.usage().and_then(|usage| usage.reported);
            log::info!(token = token, reported = reported.unwrap_or(0); "this instance has the duties");
            self.read = None;
        }
        self.wish = None;
        self.logged = token;
    }

    /// Does what is due. Returns whether something was.
    async fn act(&mut self) -> bool {
        if self.lease.token().is_none() || self.shared.stopping() {
            return false;
        }
        let now = clock::now();
        if now >= self.read_at + READ_EVERY {
            self.read_at = now;
            self.read().await;
            return true;
        }
        let (Some(pass), Some(read)) = (self.lease.pass(now, CALL), self.read) else {
            return false;
        };
        if now < self.paused || self.wish.is_some() {
            return false;
        }
        let usage = self.settings.usage_report && self.report(pass, read).await;
        usage || (self.settings.autoscale && self.order(pass).await)
    }

    /// Reads what others told.
    async fn read(&mut self) {
        let asked_ms = clock::steady_unix_ms();
        match self.platform.read_published(self.from).await {
            Ok(told) => {
                self.from = told.next;
                if told.overlaps {
                    log::info!(from:% = told.next, values = told.values.len(); "what instances counted is read again");
                    // Others may have to tell again what the store lost.
                    self.read = None;
                }
                told.values.iter().for_each(|value| self.take(value, told.overlaps));
                if told.more {
                    // A window is not reported by a part of what was told.
                    self.read_at = 0;
                    return;
                }
                let since_ms = self.read.map_or(asked_ms, |read| read.since_ms);
                self.read = Some(Read { since_ms, until_ms: asked_ms });
            }
            Err(error) => {
                self.read = None;
                log::debug!("what instances counted: the store {error}");
            }
        }
    }

    /// Takes what an instance told. Of what is read `again` only counts are taken: how busy services were is over.
    fn take(&mut self, value: &str, again: bool) {
        match serde_json::from_str::<Told>(value) {
            Ok(told) => {
                self.book.take(&told);
                if !again {
                    self.orders.take(clock::now(), &told);
                }
            }
            Err(error) => {
                self.shared.telemetry.count("drumusher.duty.unreadable", &[]);
                log::error!("what an instance counted cannot be read: {error}");
            }
        }
    }

    /// Sends the report that is fixed, or fixes the next one. Returns whether there was one.
    async fn report(&mut self, pass: Pass, read: Read) -> bool {
        let Some(usage) = self.lease.usage().cloned() else {
            return false;
        };
        if usage.lost {
            let latest = super::windows(&self.settings).latest_sent(clock::steady_unix_ms());
            log::warn!(token = pass.token, window = latest; "usage up to a window is not reported, since the store lost what was");
            self.wish = Some(usage.resume_after(latest));
            return true;
        }
        let Some(fixed) = &usage.fixed else {
            let due = self.book.due(&usage, &super::windows(&self.settings), read);
            self.wish = due.map(|window| usage.with(self.book.report(window)));
            return due.is_some();
        };
        let caller = self.caller(pass);
        let answer = self.platform.report(caller, fixed.window, &fixed.counts).await;
        self.acted(&answer);
        log::info!(
            window = fixed.window, token = pass.token,
            requests = fixed.counts.values().sum::<u64>(), workspaces = fixed.counts.len();
            "usage reported: {}", word(&answer)
        );
        match answer {
            // Sent again a call that is not understood fares no better, and the others are to come.
            Ok(Verdict::Accepted | Verdict::Rejected(_)) => self.wish = Some(usage.taken()),
            Ok(Verdict::Conflict) => self.lease.refused(clock::now()),
            Ok(Verdict::Retry(_)) | Err(_) => {}
        }
        true
    }

    /// Orders backend servers. Returns whether there was an order.
    async fn order(&mut self, pass: Pass) -> bool {
        let Some((service, order)) = self.orders.next(clock::now(), &self.shared) else {
            return false;
        };
        let call = duty::Order {
            service: &service,
            availability_zone: &order.zone,
            count: order.count,
            spot: order.kind == Kind::Spot,
        };
        let answer = self.platform.order(self.caller(pass), call).await;
        log::info!(
            service = service.as_str(), availability_zone = order.zone.as_str(),
            count = order.count, spot = call.spot, token = pass.token;
            "backend servers ordered: {}", word(&answer)
        );
        let outcome = match answer {
            Ok(Verdict::Accepted) => Outcome::Taken,
            // Where the platform compares tokens nothing tells the two conflicts apart but the kind: there are
            // always ordinary servers to be had.
            Ok(Verdict::Conflict) if self.settings.fenced && order.kind == Kind::Ordinary => {
                self.lease.refused(clock::now());
                Outcome::Unknown
            }
            Ok(Verdict::Conflict) => Outcome::Dry,
            Ok(Verdict::Retry(_) | Verdict::Rejected(_)) | Err(_) => Outcome::Unknown,
        };
        self.acted(&answer);
        self.orders.ended(clock::now(), &service, &order, outcome);
        true
    }

    fn caller(&self, pass: Pass) -> Caller<'_> {
        Caller { holder: &self.shared.name, token: pass.token, until: pass.until }
    }

    /// A call ended: the next one keeps the platform's rate, and waits longer after a failure.
    fn acted(&mut self, answer: &Result<Verdict, Error>) {
        let now = clock::now();
        self.lease.acted(now);
        self.shared.telemetry.count("drumusher.duty.calls", &[("answer", word(answer))]);
        let failed = matches!(answer, Err(_) | Ok(Verdict::Retry(_)));
        self.pause = match failed {
            true => (self.pause * 2).clamp(RETRY_FIRST, RETRY_MOST),
            false => 0,
        };
        // Half of the rate: another instance may have had the duties a moment ago.
        let spacing = 2.0 * SECOND as f64 / self.settings.calls_per_second;
        self.paused = now + self.pause.max(spacing as Micros);
    }
}

/// The register as the lease knows it. What cannot be read was written by somebody else: it is waited for like
/// another holder's, and then replaced.
fn version(register: &Register) -> Version {
    let state = match &register.value {
        None => State::default(),
        Some(value) => serde_json::from_str(value).unwrap_or_else(|error| {
            log::error!("the register of duties cannot be read: {error}");
            State { holder: Some(Holder { name: String::new(), boot: 0 }), ..State::default() }
        }),
    };
    Version { end: register.end, state }
}

/// A word for the answer to a call, in logs and metrics.
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
