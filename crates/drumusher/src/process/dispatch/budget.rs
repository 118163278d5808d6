//! The fleet-wide retry budget of a pool, as its dispatcher keeps it. Without I/O.
//!
//! In any window of time, all instances together may send a service a limited number of retries: a ratio of its
//! requests plus a fixed allowance. Every request and every retry goes through the dispatcher, which counts a request
//! when it arrives and a retry when it is granted, since a retry may wait for its grant. Until then its place is
//! reserved.
//!
//! The dispatcher of a pool may change, and a partitioned fleet may have several. So each instance counts what it sent
//! and passes the counts on to a dispatcher that does not know them: a dispatcher knows what all of its instances sent,
//! whichever dispatcher granted it.
//!
//! Each instance owns an equal share of the fixed allowance and delegates it to the dispatcher that it uses. A
//! dispatcher reports with each grant how much of the delegated shares is spent. An instance that changes its
//! dispatcher tells the new one how much of its share was spent elsewhere, until that spending leaves the window.
//!
//! Equal shares that are not pooled are too small: of 630 retries in 10 s, each of 295 instances has two, including
//! those that need none. Pooled, one instance may use 504 (see the tests in `unit::budget`).

use std::collections::HashMap;

use drumusher_schedule::{
    ask::Entry,
    time::{MILLISECOND, Micros},
};

use crate::process::counts::{Bucket, Counts};

/// Fraction of the fixed allowance that is used. The rest covers two cases: a former dispatcher may spend the share of
/// an instance for a while after it changed its dispatcher (see [`DELEGATION_DIVISOR`]), and instances may briefly
/// differ in how many instances they count.
const SLACK_USED: f64 = 0.8;
/// An instance that sent nothing for the window divided by this may have delegated its share to another dispatcher.
const DELEGATION_DIVISOR: u64 = 5;
/// How long the sums over all instances are cached.
const SUMS_MAX_AGE: Micros = 50 * MILLISECOND;

/// The bound on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// The fixed allowance: retries that all instances together may send beyond the ratio.
    pub slack: f64,
    /// The window of time, in microseconds.
    pub window: Micros,
}

/// An instance that uses this dispatcher.
#[derive(Clone, Debug)]
struct Account {
    /// When its latest request or retry arrived.
    latest: Micros,
    /// Its retries with a reserved place.
    reserved: u32,
    /// Fraction of its share of the fixed allowance that is spent elsewhere, 0 to 1.
    spent: f64,
    /// What it sent, whichever dispatcher granted it.
    counts: Counts,
}

/// Sums over all instances that use this dispatcher.
#[derive(Clone, Debug)]
struct Sums {
    /// When the sums were computed.
    at: Micros,
    /// What the instances sent.
    counts: Counts,
    /// The delegated shares, in shares of one instance, less what is spent elsewhere.
    left: f64,
    /// The delegated shares including what is spent elsewhere.
    total: f64,
}

/// The retry budget of one pool.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    accounts: HashMap<Entry, Account>,
    /// Requests that arrived at this dispatcher, and retries that it granted.
    local: Counts,
    /// Retries that disconnected instances sent beyond their own share.
    departed: Counts,
    /// Retries with a reserved place that are not granted yet.
    reserved: u32,
    sums: Option<Sums>,
}

impl Budget {
    /// Creates a budget that no instance uses yet.
    pub fn new(bound: Bound) -> Self {
        let (local, departed) = (Counts::new(bound.window), Counts::new(bound.window));
        Budget { bound, accounts: HashMap::new(), local, departed, reserved: 0, sums: None }
    }

    /// Records that an instance delegates its share, of which the fraction `spent` (0 to 1) is spent elsewhere.
    pub fn delegate(&mut self, now: Micros, entry: Entry, spent: f64) {
        let window = self.bound.window;
        let counts = || Counts::new(window);
        let fresh = || Account { latest: now, reserved: 0, spent: 0.0, counts: counts() };
        let known = self.accounts.contains_key(&entry);
        let account = self.accounts.entry(entry).or_insert_with(fresh);
        let spent = spent.clamp(0.0, 1.0);
        if !known || account.spent != spent {
            self.sums = None;
        }
        (account.latest, account.spent) = (now, spent);
    }

    /// Replaces the counts of an instance by the ones that it reports itself.
    pub fn replace_counts(
        &mut self,
        now: Micros,
        entry: Entry,
        buckets: impl IntoIterator<Item = Bucket>,
    ) {
        let Some(account) = self.accounts.get_mut(&entry) else { return };
        account.counts = Counts::new(self.bound.window);
        buckets.into_iter().for_each(|bucket| account.counts.merge_bucket(now, bucket));
        self.sums = None;
    }

    /// Whether an instance uses this dispatcher already.
    pub fn knows(&self, entry: Entry) -> bool {
        self.accounts.contains_key(&entry)
    }

    /// Removes a disconnected instance. The retries that it sent beyond its own share used the shares of others, so
    /// they stay counted.
    pub fn remove(&mut self, now: Micros, entry: Entry, instances: usize) {
        let Some(account) = self.accounts.remove(&entry) else { return };
        let (requests, retries) = account.counts.latest(now);
        let own = self.bound.ratio * f64::from(requests) + self.allowance(1.0, instances);
        let excess = (f64::from(retries) - own).max(0.0).ceil();
        self.departed.add_retries(now, excess as u32);
        self.sums = None;
    }

    /// Counts a request of an instance.
    pub fn request(&mut self, now: Micros, entry: Entry) {
        self.local.add_request(now);
        if let Some(account) = self.accounts.get_mut(&entry) {
            account.counts.add_request(now);
        }
        if let Some(sums) = &mut self.sums {
            sums.counts.add_request(now);
        }
    }

    /// Reserves a place for a retry, given the number of listed instances. Returns `false` if none is left.
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

    /// Releases the reserved place of a retry that is no longer wanted.
    pub fn release(&mut self, entry: Entry) {
        self.reserved = self.reserved.saturating_sub(1);
        if let Some(account) = self.accounts.get_mut(&entry) {
            account.reserved = account.reserved.saturating_sub(1);
        }
    }

    /// Counts a retry with a reserved place as granted. Returns `false` if it may no longer be sent, since the requests
    /// that allowed it have left the window.
    pub fn grant(&mut self, now: Micros, entry: Entry, instances: usize) -> bool {
        let may_be_sent = self.left(now, instances) >= 1.0;
        self.release(entry);
        if !may_be_sent {
            return false;
        }
        self.local.add_retries(now, 1);
        if let Some(account) = self.accounts.get_mut(&entry) {
            account.counts.add_retries(now, 1);
        }
        if let Some(sums) = &mut self.sums {
            sums.counts.add_retries(now, 1);
        }
        true
    }

    /// Fraction, 0 to 1, of the delegated shares (less what is spent elsewhere) that was spent here in the latest
    /// window.
    pub fn spent(&mut self, now: Micros, instances: usize) -> f64 {
        let left = self.sums(now).left;
        let (delegated, spent) =
            (self.allowance(left, instances), self.local.excess(now, self.bound.ratio));
        if spent <= 0.0 { 0.0 } else { (spent / delegated.max(1.0)).min(1.0) }
    }

    /// Fraction of the listed instances that used this dispatcher in the latest window. In a large fleet some instances
    /// use a service only now and then; disconnected ones are removed at once.
    pub fn share(&self, now: Micros, instances: usize) -> f64 {
        let is_active = |account: &&Account| now <= account.latest + self.bound.window;
        let active = self.accounts.values().filter(is_active).count();
        (active as f64 / instances.max(1) as f64).min(1.0)
    }

    /// How many retries may still be granted: the lesser of what the counts of all instances and the local counts
    /// allow.
    fn left(&mut self, now: Micros, instances: usize) -> f64 {
        let ratio = self.bound.ratio;
        let sums = self.sums(now);
        let (left, total, sent) = (sums.left, sums.total, sums.counts.excess(now, ratio));
        let by_all = self.allowance(total, instances) - sent;
        let by_local = self.allowance(left, instances) - self.local.excess(now, ratio);
        by_all.min(by_local)
    }

    /// The retries in `shares` equal shares of the fixed allowance, given the number of listed instances.
    fn allowance(&self, shares: f64, instances: usize) -> f64 {
        self.bound.slack * SLACK_USED * (shares / instances.max(1) as f64).min(1.0)
    }

    /// The sums over all instances, from the cache if they are recent. Of an instance that sent nothing lately and
    /// has no waiting retry only the retries count, not its share or its requests: it may use another dispatcher by
    /// now.
    fn sums(&mut self, now: Micros) -> &Sums {
        let is_fresh = self.sums.as_ref().is_some_and(|sums| now < sums.at + SUMS_MAX_AGE);
        if !is_fresh {
            self.sums = Some(self.sum_accounts(now));
        }
        self.sums.as_ref().expect("the sums were just computed")
    }

    fn sum_accounts(&self, now: Micros) -> Sums {
        let window = self.bound.window;
        let mut sums = Sums { at: now, counts: Counts::new(window), left: 0.0, total: 0.0 };
        sums.counts.merge(now, &self.departed);
        for account in self.accounts.values() {
            let delegates =
                account.reserved > 0 || now <= account.latest + window / DELEGATION_DIVISOR;
            if delegates {
                sums.left += 1.0 - account.spent;
                sums.total += 1.0;
            }
            for bucket in account.counts.recent(now) {
                let requests = if delegates { bucket.requests } else { 0 };
                sums.counts.merge_bucket(now, Bucket { requests, ..bucket });
            }
        }
        sums
    }
}
