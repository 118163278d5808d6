//! The requests a second that a backend server takes from all instances together, as far as is known. Without I/O.

use drumusher_platform::dialect::Rate;
use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};

/// A limit that was named last so long ago is lifted by an answer that names none. Answers overtake each other, and one
/// that lifts a limit too soon lets all through that waits for it.
const LIFTED_AFTER: Micros = SECOND;
/// A limit of less is tried at this rate, to find out when it ends: a backend server that gets nothing says nothing.
const TRIED: Rate = Rate(200);

/// A limit with what it was learned from. Times are on the own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    rate: Option<Rate>,
    /// Since when it is in force.
    since: Micros,
    /// When it was named last.
    announced: Micros,
    /// When the latest request was sent whose answer named none.
    lifted: Micros,
}

impl Limit {
    /// What is in force.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// The same, but not so little that its end would not be noticed.
    pub fn tried(&self) -> Option<Rate> {
        self.rate.map(|rate| rate.max(TRIED))
    }

    /// Since when it is in force, whatever it was at first.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// When it was named last.
    pub fn announced(&self) -> Micros {
        self.announced
    }

    /// When the request was sent whose answer lifted it; `None` if it is in force or there never was one.
    pub fn lifted(&self) -> Option<Micros> {
        (self.rate.is_none() && self.lifted > 0).then_some(self.lifted)
    }

    /// An answer that came at a time named a limit. Returns whether that changes it.
    pub fn announce(&mut self, at: Micros, rate: Rate) -> bool {
        if at < self.announced || at <= self.lifted {
            return false;
        }
        if self.rate.is_none() {
            self.since = at;
        }
        self.announced = at;
        self.rate.replace(rate) != Some(rate)
    }

    /// The answer to a request that was sent at a time named none. Returns whether that lifts it.
    pub fn lift(&mut self, sent: Micros) -> bool {
        let is_later = self.announced == 0 || sent > self.announced + LIFTED_AFTER;
        if !is_later || sent <= self.lifted {
            return false;
        }
        self.lifted = sent;
        self.rate.take().is_some()
    }

    /// Whether a grant may be obeyed whose dispatcher knows of no limit, or of one that was lifted by a request sent at a
    /// time. That one may know more than this instance.
    pub fn allows(&self, lifted: Option<Micros>) -> bool {
        let slack = 10 * MILLISECOND;
        self.rate.is_none() || lifted.is_some_and(|lifted| lifted + slack > self.announced)
    }
}
