//! The rate limit of a backend server, in requests per second from all instances together. Without I/O.

use drumusher_platform::dialect::Rate;
use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};

/// An answer without a limit lifts a limit only if its request was sent this long after the limit was last announced.
/// Answers may overtake each other, and lifting a limit too soon releases all waiting requests at once.
const LIFT_DELAY: Micros = SECOND;
/// Lower limits are treated as this rate: a backend server that gets no requests cannot announce the end of its limit.
const MIN_RATE: Rate = Rate(200);

/// A rate limit and how it was learned. Times are on the clock of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    rate: Option<Rate>,
    /// Since when it is in force.
    since: Micros,
    /// When it was last announced.
    announced: Micros,
    /// When the latest request was sent whose answer announced no limit.
    lifted: Micros,
}

impl Limit {
    /// The limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// The limit in force, but at least the rate at which its end is noticed.
    pub fn rate_with_floor(&self) -> Option<Rate> {
        self.rate.map(|rate| rate.max(MIN_RATE))
    }

    /// Since when a limit is in force; its rate may have changed since.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// When it was last announced.
    pub fn announced(&self) -> Micros {
        self.announced
    }

    /// When the request was sent whose answer lifted it; `None` if a limit is in force or there was none.
    pub fn lifted(&self) -> Option<Micros> {
        (self.rate.is_none() && self.lifted > 0).then_some(self.lifted)
    }

    /// Records that an answer which arrived at `at` announced a limit. Returns whether the limit changed.
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

    /// Records that the answer to a request sent at `sent` announced no limit. Returns whether that lifted the limit.
    pub fn lift(&mut self, sent: Micros) -> bool {
        let is_later = self.announced == 0 || sent > self.announced + LIFT_DELAY;
        if !is_later || sent <= self.lifted {
            return false;
        }
        self.lifted = sent;
        self.rate.take().is_some()
    }

    /// Whether a request may be sent whose grant was not counted against a limit. `lifted` is when the request was sent
    /// whose answer lifted the limit, if the dispatcher knows of one: it may know more than this instance.
    pub fn allows(&self, lifted: Option<Micros>) -> bool {
        let slack = 10 * MILLISECOND;
        self.rate.is_none() || lifted.is_some_and(|lifted| lifted + slack > self.announced)
    }
}
