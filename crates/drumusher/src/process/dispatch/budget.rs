//! Repeats that a dispatcher may still grant. Without I/O.
//!
//! All instances together may send a service, in any window of time, so many repeats: a share of the
//! requests for it and a fixed number on top. Every request asks its dispatcher for a backend server, and
//! so does every repeat; the dispatcher counts both.
//!
//! Of the fixed number each instance has an equal part, which it lends to the dispatcher that it asks. A
//! dispatcher tells with each grant how much of what was lent to it is spent. Dispatchers change hands and
//! the fleet may be divided between several, so an instance that turns to another one tells that one how
//! much of its part is gone; it is whole again a window later.
//!
//! Equal parts that nobody adds up are too small to be of use: of 630 repeats in 10 s each of 295 instances
//! has two, also those that need none. Added up, one instance may use 504 (`unit::budget`).

use std::collections::{HashMap, VecDeque};

use drumusher_schedule::{
    ask::Entry,
    time::{MILLISECOND, Micros},
};

/// Parts of the window in which counts are kept.
const PARTS: u64 = 20;
/// Part of the fixed number that is used. What an instance that turned away from a dispatcher had lent may
/// be spent there for as long as [`LENT_FOR`] says, and what instances believe about how many there are
/// may differ for a moment.
const SLACK_USED: f64 = 0.8;
/// An instance that did not ask for this part of the window may have lent its part to another one.
const LENT_FOR: u64 = 5;
/// How long a sum over all loans is used again.
const SUM_FOR: Micros = 50 * MILLISECOND;

/// The bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top, of all instances together.
    pub slack: f64,
    /// The window of time.
    pub window: Micros,
}

/// Counts of one part of the window.
#[derive(Clone, Copy, Debug)]
struct Part {
    began: Micros,
    requests: u32,
    repeats: u32,
}

/// What an instance lent.
#[derive(Clone, Copy, Debug)]
struct Loan {
    /// Since when it asks this dispatcher and no other.
    since: Micros,
    /// When it asked last.
    asked: Micros,
    /// How much of its part was spent elsewhere before, of 1.
    spent: f64,
}

/// The requests and repeats of one service in the latest window, as its dispatcher counts them.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    parts: VecDeque<Part>,
    loans: HashMap<Entry, Loan>,
    /// What is lent, in parts of an instance, and when that was added up.
    lent: Option<(Micros, Lent)>,
}

/// What instances lend together, in parts of one.
#[derive(Clone, Copy, Debug, Default)]
struct Lent {
    /// Without what was spent elsewhere before.
    left: f64,
    /// With it.
    whole: f64,
}

impl Budget {
    /// Nobody asked yet.
    pub fn new(bound: Bound) -> Self {
        Budget { bound, parts: VecDeque::new(), loans: HashMap::new(), lent: None }
    }

    /// An instance asks, which has asked this dispatcher and no other for the time `lent`, and of whose
    /// part `spent` of 1 was gone before.
    pub fn lend(&mut self, now: Micros, entry: Entry, lent: Micros, spent: f64) {
        let loan =
            Loan { since: now.saturating_sub(lent), asked: now, spent: spent.clamp(0.0, 1.0) };
        let known = self.loans.insert(entry, loan);
        if known.is_none_or(|known| known.spent != loan.spent) {
            self.lent = None;
        }
    }

    /// Whether an instance asked before.
    pub fn knows(&self, entry: Entry) -> bool {
        self.loans.contains_key(&entry)
    }

    /// The connection with an instance ended.
    pub fn remove(&mut self, entry: Entry) {
        self.loans.remove(&entry);
        self.lent = None;
    }

    /// Counts a request.
    pub fn request(&mut self, now: Micros) {
        self.part(now).requests += 1;
    }

    /// Takes a repeat, where so many instances are listed; `false` if there is none left.
    pub fn repeat(&mut self, now: Micros, instances: usize) -> bool {
        let lent = self.lent(now).left;
        if self.beyond_ratio(now) + 1.0 > self.slack(lent, instances) {
            return false;
        }
        self.part(now).repeats += 1;
        true
    }

    /// How much of what is lent was spent in the latest window, of 1.
    pub fn spent(&mut self, now: Micros, instances: usize) -> f64 {
        let lent = self.lent(now);
        let whole = self.slack(lent.whole, instances);
        if whole <= 0.0 {
            return 1.0;
        }
        let left = self.slack(lent.left, instances) - self.beyond_ratio(now).max(0.0);
        (1.0 - left / whole).clamp(0.0, 1.0)
    }

    /// Repeats of the latest window beyond those that its requests allow; below zero if there are fewer. Of a part
    /// that lies in the window with its end alone all repeats count, and no request.
    fn beyond_ratio(&mut self, now: Micros) -> f64 {
        self.part(now);
        let oldest = now.saturating_sub(self.bound.window);
        let whole = self.parts.iter().filter(|part| part.began >= oldest);
        let requests: u32 = whole.map(|part| part.requests).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        f64::from(repeats) - self.bound.ratio * f64::from(requests)
    }

    /// The repeats that some of the equal parts are, where so many instances are listed.
    fn slack(&self, parts: f64, instances: usize) -> f64 {
        self.bound.slack * SLACK_USED * (parts / instances.max(1) as f64).min(1.0)
    }

    /// What is lent.
    fn lent(&mut self, now: Micros) -> Lent {
        if let Some((_, lent)) = self.lent.filter(|(at, _)| now < at + SUM_FOR) {
            return lent;
        }
        let window = self.bound.window;
        let mut lent = Lent::default();
        for loan in self.loans.values().filter(|loan| now <= loan.asked + window / LENT_FOR) {
            let fresh = now < loan.since + window;
            lent.left += if fresh { 1.0 - loan.spent } else { 1.0 };
            lent.whole += 1.0;
        }
        self.lent = Some((now, lent));
        lent
    }

    /// The part of the window that `now` falls in; parts that are over are dropped.
    fn part(&mut self, now: Micros) -> &mut Part {
        let length = (self.bound.window / PARTS).max(1);
        let began = now - now % length;
        let oldest = now.saturating_sub(self.bound.window + length);
        while self.parts.front().is_some_and(|part| part.began < oldest) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.began != began) {
            self.parts.push_back(Part { began, requests: 0, repeats: 0 });
        }
        self.parts.back_mut().expect("a part was just entered")
    }
}
