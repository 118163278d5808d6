//! Repeats that a dispatcher may still grant. Without I/O.
//!
//! All instances together may send a service, in any window of time, so many repeats: a share of the requests for it and
//! a fixed number on top. Every request asks its dispatcher for a backend server, and so does every repeat; the
//! dispatcher counts a request as it comes, and a repeat as it is granted, since it may wait for that. Until then its
//! place is reserved.
//!
//! Dispatchers change hands, and the fleet may be divided between several. So each instance counts what it sends itself,
//! and brings that along to a dispatcher that does not know it: what all who ask sent is known there, whoever granted it.
//!
//! Of the fixed number each instance has an equal part, which it lends to the dispatcher that it asks. Instances that ask
//! another one may have spent it there. A dispatcher tells with each grant how much of what was lent to it is spent; an
//! instance that turns to another one tells that one how much of its part is gone, until it no longer counts.
//!
//! Equal parts that nobody adds up are too small to be of use: of 630 repeats in 10 s each of 295 instances
//! has two, also those that need none. Added up, one instance may use 504 (`unit::budget`).

use std::collections::HashMap;

use drumusher_schedule::{
    ask::Entry,
    time::{MILLISECOND, Micros},
};

use crate::process::counts::{Counts, Bucket};

/// Part of the fixed number that is used. What an instance that turned away from a dispatcher had lent may
/// be spent there for as long as [`LENT_FOR`] says, and what instances believe about how many there are
/// may differ for a moment.
const SLACK_USED: f64 = 0.8;
/// An instance that did not ask for this part of the window may have lent its part to another one.
const LENT_FOR: u64 = 5;
/// How long a sum over all instances is used again.
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

/// An instance that asks.
#[derive(Clone, Debug)]
struct Account {
    /// When it asked last.
    asked: Micros,
    /// Its repeats for which a place is reserved.
    reserved: u32,
    /// How much of its part of the fixed number is spent elsewhere, of 1.
    spent: f64,
    /// What it sent, whoever granted it.
    counts: Counts,
}

/// The sums over all instances that ask.
#[derive(Clone, Debug)]
struct Sums {
    at: Micros,
    /// What they sent.
    counts: Counts,
    /// What they lend, in parts of one instance, without what is spent elsewhere.
    left: f64,
    /// The same with it.
    whole: f64,
}

/// The requests and repeats of one service, as its dispatcher counts them.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    accounts: HashMap<Entry, Account>,
    /// What was asked for and granted here.
    here: Counts,
    /// Repeats beyond their own part of instances that are gone.
    gone: Counts,
    /// Repeats that may be granted and are not yet.
    reserved: u32,
    sums: Option<Sums>,
}

impl Budget {
    /// Nobody asked yet.
    pub fn new(bound: Bound) -> Self {
        let (here, gone) = (Counts::new(bound.window), Counts::new(bound.window));
        Budget { bound, accounts: HashMap::new(), here, gone, reserved: 0, sums: None }
    }

    /// An instance asks, of whose part `spent` of 1 is gone elsewhere.
    pub fn delegate(&mut self, now: Micros, entry: Entry, spent: f64) {
        let window = self.bound.window;
        let counts = || Counts::new(window);
        let fresh = || Account { asked: now, reserved: 0, spent: 0.0, counts: counts() };
        let known = self.accounts.contains_key(&entry);
        let account = self.accounts.entry(entry).or_insert_with(fresh);
        let spent = spent.clamp(0.0, 1.0);
        if !known || account.spent != spent {
            self.sums = None;
        }
        (account.asked, account.spent) = (now, spent);
    }

    /// Takes what an instance counted itself, in place of what is known of it.
    pub fn replace_counts(&mut self, now: Micros, entry: Entry, parts: impl IntoIterator<Item = Bucket>) {
        let Some(account) = self.accounts.get_mut(&entry) else { return };
        account.counts = Counts::new(self.bound.window);
        parts.into_iter().for_each(|part| account.counts.bring(now, part));
        self.sums = None;
    }

    /// Whether an instance asked before.
    pub fn knows(&self, entry: Entry) -> bool {
        self.accounts.contains_key(&entry)
    }

    /// The connection with an instance ended. What it sent beyond its own part was others', and stays counted.
    pub fn remove(&mut self, now: Micros, entry: Entry, instances: usize) {
        let Some(account) = self.accounts.remove(&entry) else { return };
        let (requests, repeats) = account.counts.latest(now);
        let own = self.bound.ratio * f64::from(requests) + self.slack(1.0, instances);
        let beyond = (f64::from(repeats) - own).max(0.0).ceil();
        self.gone.repeat(now, beyond as u32);
        self.sums = None;
    }

    /// Counts a request.
    pub fn request(&mut self, now: Micros, entry: Entry) {
        self.here.request(now);
        if let Some(account) = self.accounts.get_mut(&entry) {
            account.counts.request(now);
        }
        if let Some(sums) = &mut self.sums {
            sums.counts.request(now);
        }
    }

    /// Reserves a place for a repeat of an instance, where so many are listed; `false` if there is none left.
    pub fn reserve(&mut self, now: Micros, entry: Entry, instances: usize) -> bool {
        if self.left(now, instances) < f64::from(self.reserved + 1) {
            return false;
        }
        self.reserved += 1;
        if let Some(account) = self.accounts.get_mut(&entry) {
            account.reserved += 1;
        }
        true
    }

    /// A repeat of an instance for which a place is reserved is not wanted any more.
    pub fn release(&mut self, entry: Entry) {
        self.reserved = self.reserved.saturating_sub(1);
        if let Some(account) = self.accounts.get_mut(&entry) {
            account.reserved = account.reserved.saturating_sub(1);
        }
    }

    /// A repeat for which a place is reserved is granted to an instance now; `false` if it came too late, since the
    /// requests by which it was allowed are too long ago.
    pub fn grant(&mut self, now: Micros, entry: Entry, instances: usize) -> bool {
        let may_be_sent = self.left(now, instances) >= 1.0;
        self.release(entry);
        if !may_be_sent {
            return false;
        }
        self.here.repeat(now, 1);
        if let Some(account) = self.accounts.get_mut(&entry) {
            account.counts.repeat(now, 1);
        }
        if let Some(sums) = &mut self.sums {
            sums.counts.repeat(now, 1);
        }
        true
    }

    /// How much of what is lent, without what is spent elsewhere, was spent here in the latest window, of 1.
    pub fn spent(&mut self, now: Micros, instances: usize) -> f64 {
        let left = self.sums(now).left;
        let (lent, spent) = (self.slack(left, instances), self.here.beyond(now, self.bound.ratio));
        if spent <= 0.0 { 0.0 } else { (spent / lent.max(1.0)).min(1.0) }
    }

    /// The part of all instances, where so many are listed, that asked this dispatcher in the latest window. Some of a large
    /// fleet ask for a service only now and then; one that cannot be reached any more is removed at once.
    pub fn share(&self, now: Micros, instances: usize) -> f64 {
        let asked = |account: &&Account| now <= account.asked + self.bound.window;
        let asked = self.accounts.values().filter(asked).count();
        (asked as f64 / instances.max(1) as f64).min(1.0)
    }

    /// How many repeats may be granted in all: by what all sent, and by what was granted here.
    fn left(&mut self, now: Micros, instances: usize) -> f64 {
        let ratio = self.bound.ratio;
        let sums = self.sums(now);
        let (left, whole, sent) = (sums.left, sums.whole, sums.counts.beyond(now, ratio));
        let by_all = self.slack(whole, instances) - sent;
        let by_own = self.slack(left, instances) - self.here.beyond(now, ratio);
        by_all.min(by_own)
    }

    /// The repeats that some of the equal parts are, where so many instances are listed.
    fn slack(&self, parts: f64, instances: usize) -> f64 {
        self.bound.slack * SLACK_USED * (parts / instances.max(1) as f64).min(1.0)
    }

    /// The sums over the instances that ask. Of one that asked for nothing lately, and has no repeat that waits, the repeats
    /// count, and neither its part nor its requests: it may ask another dispatcher.
    fn sums(&mut self, now: Micros) -> &Sums {
        let is_fresh = self.sums.as_ref().is_some_and(|sums| now < sums.at + SUM_FOR);
        if !is_fresh {
            self.sums = Some(self.add_up(now));
        }
        self.sums.as_ref().expect("they were just added up")
    }

    fn add_up(&self, now: Micros) -> Sums {
        let window = self.bound.window;
        let mut sums = Sums { at: now, counts: Counts::new(window), left: 0.0, whole: 0.0 };
        sums.counts.add(now, &self.gone);
        for account in self.accounts.values() {
            let lends = account.reserved > 0 || now <= account.asked + window / LENT_FOR;
            if lends {
                sums.left += 1.0 - account.spent;
                sums.whole += 1.0;
            }
            for part in account.counts.told(now) {
                let requests = if lends { part.requests } else { 0 };
                sums.counts.bring(now, Bucket { requests, ..part });
            }
        }
        sums
    }
}
