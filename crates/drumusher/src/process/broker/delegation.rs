//! Delegation of this instance's share of the retry budget to the dispatchers that it uses. Without I/O.
//!
//! A dispatcher is told what this instance sent, and how much of its share was spent by other dispatchers.

use std::{collections::HashMap, sync::Arc};

use drumusher_schedule::time::{Micros, SECOND};

use crate::{
    process::counts::{Bucket, Counts},
    version::Pool,
};

/// Default window of the retry budget.
const WINDOW: Micros = 10 * SECOND;
/// A whole share, in thousandths as in peer messages.
const SPENT_SCALE: i32 = 1_000;

/// How much of this instance's share a dispatcher spent, in thousandths, and until when that counts.
#[derive(Clone, Copy, Debug)]
struct Share {
    spent: i16,
    until: Micros,
}

/// The delegation to the dispatcher of one pool.
#[derive(Clone, Debug)]
struct Delegation {
    /// The dispatcher.
    to: Arc<str>,
    /// Whether the dispatcher knows what this instance sent.
    has_counts: bool,
    /// What each dispatcher spent of the share.
    shares: HashMap<Arc<str>, Share>,
    counts: Counts,
}

/// What an `Ask` message tells the dispatcher for the retry budget.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BudgetReport {
    /// How much of the share is spent elsewhere, in thousandths.
    pub spent: i16,
    /// What this instance sent in the window, unless the dispatcher knows it.
    pub sent: Option<Vec<Bucket>>,
}

/// The delegations by pool.
#[derive(Debug)]
pub struct Delegations {
    delegations: HashMap<Pool, Delegation>,
    window: Micros,
}

impl Default for Delegations {
    fn default() -> Self {
        Delegations { delegations: HashMap::new(), window: WINDOW }
    }
}

impl Delegations {
    /// Creates an empty set.
    pub fn new() -> Self {
        Delegations::default()
    }

    /// Sets the window of the retry budget, in microseconds.
    pub fn with_window(mut self, window: Micros) -> Self {
        self.window = window;
        self
    }

    /// Delegates the share for a pool to the dispatcher `to`, and counts a request if `first` is set, that is if the
    /// ask is the first one for its request. Returns what the ask is to tell the dispatcher.
    pub fn delegate(
        &mut self,
        now: Micros,
        pool: &Pool,
        to: &Arc<str>,
        first: bool,
    ) -> BudgetReport {
        let delegation = self.delegations.entry(pool.clone()).or_insert_with(|| Delegation {
            to: to.clone(),
            has_counts: false,
            shares: HashMap::new(),
            counts: Counts::new(self.window),
        });
        if delegation.to != *to {
            (delegation.to, delegation.has_counts) = (to.clone(), false);
        }
        delegation.shares.retain(|_, share| now <= share.until);
        let sent = (!delegation.has_counts).then(|| delegation.counts.recent(now).collect());
        if first {
            delegation.counts.add_request(now);
        }
        BudgetReport { spent: delegation.spent_elsewhere(), sent }
    }

    /// The dispatcher that was last used for a pool.
    pub fn dispatcher(&self, pool: &Pool) -> Option<&Arc<str>> {
        self.delegations.get(pool).map(|delegation| &delegation.to)
    }

    /// Records that the dispatcher `from` got an ask, and with it the counts of this instance.
    pub fn acknowledged(&mut self, pool: &Pool, from: &Arc<str>) {
        if let Some(delegation) =
            self.delegations.get_mut(pool).filter(|delegation| delegation.to == *from)
        {
            delegation.has_counts = true;
        }
    }

    /// Records a grant of the dispatcher `from`, which reports how much of the shares delegated to it is `spent`, in
    /// thousandths. A retry is counted.
    pub fn granted(&mut self, now: Micros, pool: &Pool, from: &Arc<str>, retry: bool, spent: i16) {
        self.acknowledged(pool, from);
        let Some(delegation) = self.delegations.get_mut(pool) else { return };
        if retry {
            delegation.counts.add_retries(now, 1);
        }
        if delegation.to == *from {
            let left = (SPENT_SCALE - i32::from(delegation.spent_elsewhere())).max(0);
            let spent = (i32::from(spent) * left / SPENT_SCALE) as i16;
            delegation.shares.insert(from.clone(), Share { spent, until: now + self.window });
        }
    }

    /// Records a new connection with an instance. Its process may have restarted, so it is told the counts again.
    pub fn connected(&mut self, instance: &Arc<str>) {
        for delegation in
            self.delegations.values_mut().filter(|delegation| delegation.to == *instance)
        {
            delegation.has_counts = false;
        }
    }
}

impl Delegation {
    /// How much of the share was spent by dispatchers other than the current one, in thousandths.
    fn spent_elsewhere(&self) -> i16 {
        let others = self.shares.iter().filter(|(name, _)| **name != self.to);
        let sum: i32 = others.map(|(_, share)| i32::from(share.spent)).sum();
        sum.min(SPENT_SCALE) as i16
    }
}
