//! Which instance has the duties, and until when it may act.
//!
//! The platform's store holds one [`State`]. It is replaced only by who knows its version, the offset after it,
//! so that of two replacements at most one is done. The holder renews it. Who stands by looks at it, and takes it
//! over once it has seen the same version for the whole length of the lease. The holder itself counts that time
//! from before it sent the renewal, which is earlier than anybody can have seen it, and stops [`MARGIN`] before
//! its end: so it has stopped, by its own clock alone, when another begins. No clock is compared with another's.
//!
//! The store may come back from a copy and have lost the latest versions, so that what it holds says nothing of who
//! holds the lease: it is foreign. Whoever stands by waits for the whole length from when it saw a foreign version first.
//! The holder whose lease still runs replaces it at once, since nobody else can have begun.
//!
//! A replacement that was not answered may be done later, or never. What it was meant for counts only once it is
//! read back, with the time at which it was sent.

use drumusher_log::position::{Era, Position};
use serde::{Deserialize, Serialize};

use crate::{
    time::{MILLISECOND, Micros},
    usage::Progress,
};

/// The holder stops so long before its lease ends. Between its last look at the clock and the arrival of what it
/// sends lie the scheduling of a thread and a link: some tens of milliseconds on a slowed machine.
pub const MARGIN: Micros = 300 * MILLISECOND;
/// Renewals within the length of a lease: two may fail before it ends.
const RENEWALS: u64 = 3;
/// Looks within the length of a lease by those who stand by. A lease is taken over at the first look after its
/// end, so that more of them shorten a gap by less than they cost.
const LOOKS: u64 = 2;
/// Pause after a call that failed.
const RETRY: Micros = 250 * MILLISECOND;
/// Pause after a replacement that came too late.
const OUTDATED: Micros = 20 * MILLISECOND;
/// Bits of a token below its era: more offsets than a register gets in one.
const OFFSET_BITS: u32 = 40;

/// A process of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The instance's name.
    pub name: String,
    /// Drawn at each start of its process.
    pub boot: u64,
}

/// What the register holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Who has the duties; nobody after a planned stop.
    pub holder: Option<Holder>,
    /// Goes along with each call of this holder. It follows from the version that the holder replaced when it
    /// began, with its era, and rises with each new one. 0 before the first one.
    pub token: u64,
    /// How far the usage is reported.
    pub usage: Progress,
}

/// The register as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The position after it, by which it is replaced.
    pub end: Position,
    /// What it holds; the default if nobody wrote it yet.
    pub state: State,
}

impl Version {
    /// Whether it was written in another era than that of the register: later versions may be lost.
    pub fn is_foreign(&self) -> bool {
        era_of(self.state.token) != self.end.era
    }

    /// The token of who replaces it and begins.
    fn next_token(&self) -> u64 {
        (self.end.era << OFFSET_BITS) + self.end.offset + 1
    }
}

/// The era in which a token was given.
fn era_of(token: u64) -> Era {
    token >> OFFSET_BITS
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the register.
    Look,
    /// Replace the version that ends at `expect`.
    Replace {
        /// The end of the version to be replaced.
        expect: Position,
        /// What takes its place.
        state: State,
    },
    /// Nothing until then.
    Wait(Micros),
}

/// What became of a replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replaced {
    /// It is done.
    Done,
    /// Another version stands there; it is not done and never will be.
    Outdated,
    /// Nothing was done, or nobody knows.
    Unknown,
}

/// Leave to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Goes along with the call.
    pub token: u64,
    /// Nothing may be sent after this.
    pub until: Micros,
}

/// How a lease is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a lease lasts without being renewed.
    pub length: Micros,
    /// Two spells of the same instance, with another's between them, are so far apart that nobody takes the three
    /// for one confusion.
    pub min_gap: Micros,
}

/// A replacement whose outcome is not known.
#[derive(Clone, Debug)]
struct Unsure {
    sent: Micros,
    expect: Position,
    state: State,
}

/// One instance's part in holding the duties.
#[derive(Clone, Debug)]
pub struct Lease {
    own: Holder,
    options: Options,
    /// The register as it was read or written last, and when that version was seen first.
    seen: Option<(Version, Micros)>,
    /// Whether it has to be read before anything else.
    stale: bool,
    looked: Micros,
    unsure: Option<Unsure>,
    /// The end of the own lease, if there is one.
    until: Micros,
    /// When the latest renewal that was done was sent.
    renewed: Micros,
    /// The token of the current spell.
    token: Option<u64>,
    /// The progress in the latest own version.
    progress: Progress,
    /// The end of the latest own act; the start of the process before one.
    acted: Micros,
    /// No act before this.
    quiet: Micros,
    /// No call before this.
    paused: Micros,
    /// A token that the platform refused.
    refused: Option<u64>,
}

impl Lease {
    /// An instance whose process started at `started`.
    pub fn new(own: Holder, options: Options, started: Micros) -> Self {
        Lease {
            own,
            options,
            seen: None,
            stale: true,
            looked: 0,
            unsure: None,
            until: 0,
            renewed: 0,
            token: None,
            progress: Progress::default(),
            acted: started,
            quiet: 0,
            paused: 0,
            refused: None,
        }
    }

    /// What to do next, to hold the lease with this progress. With `leave` it is given up.
    pub fn next(&self, now: Micros, usage: &Progress, leave: bool) -> Step {
        if now < self.paused {
            return Step::Wait(self.paused);
        }
        let Some((version, since)) = self.seen.as_ref().filter(|_| !self.stale) else {
            return Step::Look;
        };
        match (self.is_own(version), leave) {
            (true, true) => self.replace(version, None, usage),
            (false, true) => Step::Wait(now + self.options.length),
            (true, false) => self.renew(now, version, usage),
            (false, false) => self.stand_by(now, version, *since),
        }
    }

    fn renew(&self, now: Micros, version: &Version, usage: &Progress) -> Step {
        let due = self.renewed + self.options.length / RENEWALS;
        if now < due && version.state.usage == *usage {
            return Step::Wait(due);
        }
        self.replace(version, Some(version.state.token), usage)
    }

    fn stand_by(&self, now: Micros, version: &Version, since: Micros) -> Step {
        let runs = version.is_foreign() && now < self.until;
        let ends = match &version.state.holder {
            _ if runs => now,
            _ if version.is_foreign() => since + self.options.length,
            None => now,
            // The earlier process of the same instance has ended.
            Some(holder) if holder.name == self.own.name => now,
            Some(_) => since + self.options.length,
        };
        if now >= ends {
            let usage = match version.is_foreign() {
                true if runs => self.progress.clone(),
                true => version.state.usage.after_loss(),
                false => version.state.usage.clone(),
            };
            return self.replace(version, Some(version.next_token()), &usage);
        }
        let look = self.looked + self.options.length / LOOKS;
        if now >= look { Step::Look } else { Step::Wait(look.min(ends)) }
    }

    /// The step that puts this instance with a token, or nobody, in place of a version.
    fn replace(&self, version: &Version, token: Option<u64>, usage: &Progress) -> Step {
        let state = State {
            holder: token.map(|_| self.own.clone()),
            token: token.unwrap_or(version.state.token),
            usage: usage.clone(),
        };
        Step::Replace { expect: version.end, state }
    }

    fn is_own(&self, version: &Version) -> bool {
        let State { holder, token, .. } = &version.state;
        holder.as_ref() == Some(&self.own) && self.refused != Some(*token) && !version.is_foreign()
    }

    /// The register was read.
    pub fn read(&mut self, now: Micros, version: Version) {
        self.looked = now;
        self.stale = false;
        if let Some(unsure) = self.unsure.take()
            && version.end == unsure.expect.advance(1)
            && version.state == unsure.state
        {
            self.done(now, unsure.sent, version);
            return;
        }
        self.see(now, version);
    }

    /// A step of [`Step::Replace`] that was sent at `sent` came to an end.
    pub fn replaced(
        &mut self,
        now: Micros,
        sent: Micros,
        expect: Position,
        state: State,
        how: Replaced,
    ) {
        // Who gives the lease up has stopped, also if nobody answers: another may take it at once.
        if state.holder.is_none() {
            self.until = 0;
        }
        match how {
            Replaced::Done => self.done(now, sent, Version { end: expect.advance(1), state }),
            Replaced::Outdated => {
                self.stale = true;
                self.paused = now + OUTDATED;
            }
            Replaced::Unknown => {
                self.stale = true;
                self.paused = now + RETRY;
                self.unsure = Some(Unsure { sent, expect, state });
            }
        }
    }

    /// A read failed.
    pub fn failed(&mut self, now: Micros) {
        self.paused = now + RETRY;
    }

    fn done(&mut self, now: Micros, sent: Micros, version: Version) {
        self.unsure = None;
        let runs = sent < self.until;
        if self.is_own(&version) {
            self.renewed = sent;
            self.until = sent + self.options.length;
            if runs {
                // Nobody else can have begun, so that this spell goes on with what may be a new token.
                self.token = Some(version.state.token);
            }
        }
        self.see(now, version);
    }

    fn see(&mut self, now: Micros, version: Version) {
        let token = self.is_own(&version).then_some(version.state.token);
        if token.is_some() {
            self.progress = version.state.usage.clone();
        } else if !version.is_foreign() {
            self.until = 0;
        }
        if token.is_some() && token != self.token {
            // Before the first holder nobody can have acted.
            let first = version.end <= Position::new(0, 1);
            self.quiet = if first { now } else { self.acted + self.options.min_gap };
        }
        self.token = token;
        let since = self.seen.take().filter(|(before, _)| *before == version);
        let since = since.map_or(now, |(_, since)| since);
        self.seen = Some((version, since));
    }

    /// Leave for an act that ends within `within`, if this instance has the duties.
    pub fn permit(&self, now: Micros, within: Micros) -> Option<Permit> {
        let until = self.until.saturating_sub(MARGIN);
        let token = self.token?;
        (now >= self.quiet && now + within <= until).then_some(Permit { token, until })
    }

    /// An act ended, or was given up.
    pub fn acted(&mut self, now: Micros) {
        self.acted = now;
    }

    /// The platform refused the token, because it has seen a higher one. It is not used again.
    pub fn refused(&mut self, now: Micros) {
        self.refused = self.token.take();
        self.until = 0;
        self.stale = true;
        self.paused = now + self.options.min_gap;
    }

    /// The progress that stands in the register, if this instance has the duties.
    pub fn usage(&self) -> Option<&Progress> {
        self.token?;
        self.seen.as_ref().map(|(version, _)| &version.state.usage)
    }

    /// The token of the current spell, if this instance has the duties.
    pub fn token(&self) -> Option<u64> {
        self.token
    }

    /// Time until the own lease ends; 0 without one.
    pub fn left(&self, now: Micros) -> Micros {
        self.until.saturating_sub(now)
    }
}
