//! Delegation of this instance's share of the retry budget to the dispatchers that it uses. Without I/O.
//!
//! A dispatcher is told what this instance sent, and how much of its share was spent by other dispatchers. What can't be known,
//! since a process ended that knew it, counts as spent.

use std::{collections::HashMap, sync::Arc};

use drumusher_schedule::time::{Micros, SECOND};

use crate::{
    process::counts::{Bucket, Counts},
    version::Pool,
};

/// Default window of the retry budget.
const WINDOW: Micros = 10 * SECOND;
/// A whole share, in thousandths as in peer messages.
const SPENT_SCALE: i16 = 1_000;

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
    /// What they spent before their latest connections, which their processes may not know any more.
    former_shares: Vec<Share>,
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
    /// Time from which on nothing counts any more that this instance sent before its start.
    known_from: Micros,
}

impl Default for Delegations {
    fn default() -> Self {
        Delegations { delegations: HashMap::new(), window: WINDOW, known_from: 0 }
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

    /// Sets the time at which the process started. It doesn't know what was spent of its share before, so for one window the
    /// whole share counts as spent.
    pub fn with_start(mut self, started: Micros) -> Self {
        self.known_from = started + self.window;
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
            former_shares: Vec::new(),
            counts: Counts::new(self.window),
        });
        if delegation.to != *to {
            (delegation.to, delegation.has_counts) = (to.clone(), false);
        }
        delegation.shares.retain(|_, share| now <= share.until);
        delegation.former_shares.retain(|share| now <= share.until);
        let sent = (!delegation.has_counts).then(|| delegation.counts.recent(now).collect());
        if first {
            delegation.counts.add_request(now);
        }
        let is_known = now >= self.known_from;
        let spent = if is_known { delegation.spent_elsewhere() } else { SPENT_SCALE };
        BudgetReport { spent, sent }
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
            let left = i32::from((SPENT_SCALE - delegation.spent_elsewhere()).max(0));
            let spent = (i32::from(spent) * left / i32::from(SPENT_SCALE)) as i16;
            delegation.shares.insert(from.clone(), Share { spent, until: now + self.window });
        }
    }

    /// Records that an instance became unreachable. What was last heard of the spending of the current dispatcher may be
    /// outdated, and who else knows it may have ended too, so for one window the whole share counts as spent there.
    pub fn disconnected(&mut self, now: Micros, instance: &Arc<str>) {
        let whole = Share { spent: SPENT_SCALE, until: now + self.window };
        for delegation in self.delegations.values_mut() {
            let known = delegation.shares.remove(instance);
            let is_current = delegation.to == *instance;
            delegation.former_shares.extend(if is_current { Some(whole) } else { known });
        }
    }

    /// Records a new connection with an instance. Its process may have restarted, so it is told the counts again, and what it
    /// spent so far counts as spent elsewhere.
    pub fn connected(&mut self, instance: &Arc<str>) {
        for delegation in self.delegations.values_mut() {
            delegation.former_shares.extend(delegation.shares.remove(instance));
            delegation.has_counts &= delegation.to != *instance;
        }
    }
}

impl Delegation {
    /// How much of the share was spent by dispatchers other than the current one, in thousandths.
    fn spent_elsewhere(&self) -> i16 {
        let others = self.shares.iter().filter(|(name, _)| **name != self.to);
        let shares = others.map(|(_, share)| share).chain(&self.former_shares);
        let sum: i32 = shares.map(|share| i32::from(share.spent)).sum();
        sum.min(i32::from(SPENT_SCALE)) as i16
    }
}
