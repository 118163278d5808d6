//! The lease on the duties: which instance has them, and until when it may act.
//!
//! A register of the platform's store holds the [`State`]. It is replaced by compare-and-swap on its version, the
//! offset after it, so that of two concurrent replacements at most one succeeds. The holder renews the lease. A
//! standby reads the register, and takes the lease over once it has seen the same version for the whole length of the
//! lease. The holder counts that length from before it sent the renewal, which is earlier than any other instance can
//! have seen it, and stops [`SAFETY_MARGIN`] before the end. So it has stopped, by its own clock alone, before
//! another instance starts. Clocks of different instances are never compared.
//!
//! The store may be restored from a backup and have lost the latest versions. A version from before the restore says
//! nothing about who holds the lease. A standby waits for the whole length after it first saw such a version. A holder
//! whose lease is still valid replaces it at once, since no other instance can have started.
//!
//! A replacement without an answer may be applied later, or never. Its lease counts only once the register is read back
//! with it, from the time at which it was sent.

use drumusher_log::position::{Era, Position};
use serde::{Deserialize, Serialize};

use crate::{
    time::{MILLISECOND, Micros},
    usage::Progress,
};

/// The holder stops this long before its lease ends. Between its last reading of the clock and the arrival of a call,
/// thread scheduling and the network take some tens of milliseconds on a slow machine.
pub const SAFETY_MARGIN: Micros = 300 * MILLISECOND;
/// Renewals within the length of a lease: two of them may fail before it ends.
const RENEWALS_PER_LEASE: u64 = 3;
/// Reads of the register by a standby within the length of a lease. A lease is taken over at the first read after its
/// end, and more reads would cost more than the shorter gap is worth.
const READS_PER_LEASE: u64 = 2;
/// Pause after a call that failed.
const RETRY_PAUSE: Micros = 250 * MILLISECOND;
/// Pause after a replacement that lost against another one.
const CONFLICT_PAUSE: Micros = 20 * MILLISECOND;
/// Bits of a token below its era, enough for all offsets of a register in one era.
const OFFSET_BITS: u32 = 40;

/// A process of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The instance's name.
    pub name: String,
    /// Random number drawn at each start of the process.
    pub boot: u64,
}

/// The content of the register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The lease holder; `None` after a planned stop.
    pub holder: Option<Holder>,
    /// Fencing token that is sent with each call of this holder. It is derived from the era and offset of the version
    /// that the holder replaced when its term started, and grows with each term. 0 before the first holder.
    pub token: u64,
    /// Progress of the usage reports.
    pub usage: Progress,
}

/// A version of the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The position after it, which a replacement has to name.
    pub end: Position,
    /// Its content; the default if the register was never written.
    pub state: State,
}

impl Version {
    /// Whether it was written in an earlier era than the register's current one, so that later versions may be lost.
    pub fn predates_restore(&self) -> bool {
        era_of(self.state.token) != self.end.era
    }

    /// The token of a holder whose term starts by replacing it.
    fn next_token(&self) -> u64 {
        (self.end.era << OFFSET_BITS) + self.end.offset + 1
    }
}

/// The era in which a token was issued.
fn era_of(token: u64) -> Era {
    token >> OFFSET_BITS
}

/// The next step of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the register.
    Read,
    /// Replace the version that ends at `expect`.
    Replace {
        /// The end position of the version to be replaced.
        expect: Position,
        /// The new content.
        state: State,
    },
    /// Wait until this time.
    Wait(Micros),
}

/// The outcome of a replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replaced {
    /// It was applied.
    Done,
    /// The register has another version: it was not applied and never will be.
    Outdated,
    /// It was not applied, or the outcome is unknown.
    Unknown,
}

/// Permission to make a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The fencing token to be sent with the call.
    pub token: u64,
    /// Nothing may be sent after this time.
    pub until: Micros,
}

/// Settings of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a lease lasts without being renewed.
    pub length: Micros,
    /// Minimum time between the calls of two terms of the same instance with another's term between them, so that the
    /// alternation is not taken for two concurrent holders.
    pub min_gap: Micros,
}

/// A replacement whose outcome is unknown.
#[derive(Clone, Debug)]
struct Unconfirmed {
    sent: Micros,
    expect: Position,
    state: State,
}

/// The lease as one instance sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    own: Holder,
    options: Options,
    /// The version of the register that was last read or written, and when this instance first saw it.
    observed: Option<(Version, Micros)>,
    /// Whether the register has to be read before any other step.
    must_read: bool,
    /// When the register was last read.
    read_at: Micros,
    unconfirmed: Option<Unconfirmed>,
    /// The end of this instance's lease; 0 without one.
    until: Micros,
    /// When the latest successful renewal was sent.
    renewed_at: Micros,
    /// The token of the current term.
    token: Option<u64>,
    /// The progress in the latest version that this instance wrote.
    progress: Progress,
    /// When the latest call of this instance ended; the start of its process if there was none.
    call_ended: Micros,
    /// No call is permitted before this time.
    no_call_before: Micros,
    /// No step is taken before this time.
    paused_until: Micros,
    /// A token that the platform refused.
    refused_token: Option<u64>,
}

impl Lease {
    /// Creates the lease of an instance whose process started at `started`.
    pub fn new(own: Holder, options: Options, started: Micros) -> Self {
        Lease {
            own,
            options,
            observed: None,
            must_read: true,
            read_at: 0,
            unconfirmed: None,
            until: 0,
            renewed_at: 0,
            token: None,
            progress: Progress::default(),
            call_ended: started,
            no_call_before: 0,
            paused_until: 0,
            refused_token: None,
        }
    }

    /// The next step to acquire or renew the lease with this progress. With `leave` the lease is released.
    pub fn next(&self, now: Micros, usage: &Progress, leave: bool) -> Step {
        if now < self.paused_until {
            return Step::Wait(self.paused_until);
        }
        let Some((version, since)) = self.observed.as_ref().filter(|_| !self.must_read) else {
            return Step::Read;
        };
        match (self.is_own(version), leave) {
            (true, true) => self.replacement(version, None, usage),
            (false, true) => Step::Wait(now + self.options.length),
            (true, false) => self.renewal_step(now, version, usage),
            (false, false) => self.standby_step(now, version, *since),
        }
    }

    fn renewal_step(&self, now: Micros, version: &Version, usage: &Progress) -> Step {
        let due = self.renewed_at + self.options.length / RENEWALS_PER_LEASE;
        if now < due && version.state.usage == *usage {
            return Step::Wait(due);
        }
        self.replacement(version, Some(version.state.token), usage)
    }

    fn standby_step(&self, now: Micros, version: &Version, since: Micros) -> Step {
        let is_valid = version.predates_restore() && now < self.until;
        let ends = match &version.state.holder {
            _ if is_valid => now,
            _ if version.predates_restore() => since + self.options.length,
            None => now,
            // An earlier process of this instance has ended.
            Some(holder) if holder.name == self.own.name => now,
            Some(_) => since + self.options.length,
        };
        if now >= ends {
            let usage = match version.predates_restore() {
                true if is_valid => self.progress.clone(),
                true => version.state.usage.after_loss(),
                false => version.state.usage.clone(),
            };
            return self.replacement(version, Some(version.next_token()), &usage);
        }
        let next_read = self.read_at + self.options.length / READS_PER_LEASE;
        if now >= next_read { Step::Read } else { Step::Wait(next_read.min(ends)) }
    }

    /// The step that replaces a version by one that names this instance as holder if a token is given, else no holder.
    fn replacement(&self, version: &Version, token: Option<u64>, usage: &Progress) -> Step {
        let state = State {
            holder: token.map(|_| self.own.clone()),
            token: token.unwrap_or(version.state.token),
            usage: usage.clone(),
        };
        Step::Replace { expect: version.end, state }
    }

    fn is_own(&self, version: &Version) -> bool {
        let State { holder, token, .. } = &version.state;
        holder.as_ref() == Some(&self.own)
            && self.refused_token != Some(*token)
            && !version.predates_restore()
    }

    /// Handles a successful read of the register.
    pub fn read(&mut self, now: Micros, version: Version) {
        self.read_at = now;
        self.must_read = false;
        if let Some(unconfirmed) = self.unconfirmed.take()
            && version.end == unconfirmed.expect.advance(1)
            && version.state == unconfirmed.state
        {
            self.confirm(now, unconfirmed.sent, version);
            return;
        }
        self.observe(now, version);
    }

    /// Handles the outcome of a [`Step::Replace`] that was sent at `sent`.
    pub fn replaced(
        &mut self,
        now: Micros,
        sent: Micros,
        expect: Position,
        state: State,
        how: Replaced,
    ) {
        // A released lease ends at once, even without an answer: another instance may take it immediately.
        if state.holder.is_none() {
            self.until = 0;
        }
        match how {
            Replaced::Done => self.confirm(now, sent, Version { end: expect.advance(1), state }),
            Replaced::Outdated => {
                self.must_read = true;
                self.paused_until = now + CONFLICT_PAUSE;
            }
            Replaced::Unknown => {
                self.must_read = true;
                self.paused_until = now + RETRY_PAUSE;
                self.unconfirmed = Some(Unconfirmed { sent, expect, state });
            }
        }
    }

    /// Handles a failed read of the register.
    pub fn read_failed(&mut self, now: Micros) {
        self.paused_until = now + RETRY_PAUSE;
    }

    fn confirm(&mut self, now: Micros, sent: Micros, version: Version) {
        self.unconfirmed = None;
        let is_continued = sent < self.until;
        if self.is_own(&version) {
            self.renewed_at = sent;
            self.until = sent + self.options.length;
            if is_continued {
                // No other instance can have started, so the term continues, possibly with a new token.
                self.token = Some(version.state.token);
            }
        }
        self.observe(now, version);
    }

    fn observe(&mut self, now: Micros, version: Version) {
        let token = self.is_own(&version).then_some(version.state.token);
        if token.is_some() {
            self.progress = version.state.usage.clone();
        } else if !version.predates_restore() {
            self.until = 0;
        }
        if token.is_some() && token != self.token {
            // Before the first holder no call can have been made.
            let first = version.end <= Position::new(0, 1);
            self.no_call_before = if first { now } else { self.call_ended + self.options.min_gap };
        }
        self.token = token;
        let since = self.observed.take().filter(|(before, _)| *before == version);
        let since = since.map_or(now, |(_, since)| since);
        self.observed = Some((version, since));
    }

    /// Permits a call that ends within `within`, if this instance has the duties.
    pub fn permit(&self, now: Micros, within: Micros) -> Option<Permit> {
        let until = self.until.saturating_sub(SAFETY_MARGIN);
        let token = self.token?;
        (now >= self.no_call_before && now + within <= until).then_some(Permit { token, until })
    }

    /// Records that a call ended or was given up.
    pub fn call_ended(&mut self, now: Micros) {
        self.call_ended = now;
    }

    /// Records that the platform refused the token, since it has seen a higher one. The token is not used again.
    pub fn token_refused(&mut self, now: Micros) {
        self.refused_token = self.token.take();
        self.until = 0;
        self.must_read = true;
        self.paused_until = now + self.options.min_gap;
    }

    /// The progress in the register, if this instance has the duties.
    pub fn usage(&self) -> Option<&Progress> {
        self.token?;
        self.observed.as_ref().map(|(version, _)| &version.state.usage)
    }

    /// The token of the current term, if this instance has the duties.
    pub fn token(&self) -> Option<u64> {
        self.token
    }

    /// Time until this instance's lease ends; 0 without one.
    pub fn left(&self, now: Micros) -> Micros {
        self.until.saturating_sub(now)
    }
}
