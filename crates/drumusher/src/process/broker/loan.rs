//! What this instance tells the dispatchers that it asks: what it sent, and how much of its part of the fleet's repeats
//! is spent elsewhere. Without I/O.

use std::{collections::HashMap, sync::Arc};

use drumusher_schedule::time::{Micros, SECOND};

use crate::{
    process::counts::{Counts, Bucket},
    version::Pool,
};

/// For how long repeats count unless set.
const WINDOW: Micros = 10 * SECOND;
/// What stands for all of a part that is lent, as on the wire.
const WHOLE: i32 = 1_000;

/// How much of the own part a dispatcher spent, as on the wire, and until when that counts.
#[derive(Clone, Copy, Debug)]
struct Share {
    spent: i16,
    until: Micros,
}

/// What is lent to the dispatcher of one pool.
#[derive(Clone, Debug)]
struct Delegation {
    to: Arc<str>,
    /// Whether that one knows what this instance sent.
    told: bool,
    /// What each dispatcher spent.
    shares: HashMap<Arc<str>, Share>,
    counts: Counts,
}

/// What an ask tells its dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Offer {
    /// How much of the part is spent elsewhere, as on the wire.
    pub spent: i16,
    /// What this instance sent so far, unless the dispatcher knows it.
    pub sent: Option<Vec<Bucket>>,
}

/// What is lent, by pool.
#[derive(Debug)]
pub struct Delegations {
    loans: HashMap<Pool, Delegation>,
    window: Micros,
}

impl Default for Delegations {
    fn default() -> Self {
        Delegations { loans: HashMap::new(), window: WINDOW }
    }
}

impl Delegations {
    /// Nothing is lent yet.
    pub fn new() -> Self {
        Delegations::default()
    }

    /// Sets for how long repeats count.
    pub fn with_window(mut self, window: Micros) -> Self {
        self.window = window;
        self
    }

    /// Lends the part for a pool to the dispatcher `to`, with an ask that is the first one for its request or not.
    pub fn delegate(&mut self, now: Micros, pool: &Pool, to: &Arc<str>, first: bool) -> Offer {
        let loan = self.loans.entry(pool.clone()).or_insert_with(|| Delegation {
            to: to.clone(),
            told: false,
            shares: HashMap::new(),
            counts: Counts::new(self.window),
        });
        if loan.to != *to {
            (loan.to, loan.told) = (to.clone(), false);
        }
        loan.shares.retain(|_, share| now <= share.until);
        let sent = (!loan.told).then(|| loan.counts.told(now).collect());
        if first {
            loan.counts.request(now);
        }
        Offer { spent: loan.spent_elsewhere(), sent }
    }

    /// The dispatcher that was asked last for a pool.
    pub fn asked(&self, pool: &Pool) -> Option<&Arc<str>> {
        self.loans.get(pool).map(|loan| &loan.to)
    }

    /// The dispatcher `from` has an ask: it knows what came with it.
    pub fn heard(&mut self, pool: &Pool, from: &Arc<str>) {
        if let Some(loan) = self.loans.get_mut(pool).filter(|loan| loan.to == *from) {
            loan.told = true;
        }
    }

    /// The dispatcher `from` granted a request, a repeat or not, and says how much is spent of what was lent to it.
    pub fn granted(&mut self, now: Micros, pool: &Pool, from: &Arc<str>, repeat: bool, spent: i16) {
        self.heard(pool, from);
        let Some(loan) = self.loans.get_mut(pool) else { return };
        if repeat {
            loan.counts.repeat(now, 1);
        }
        if loan.to == *from {
            let left = (WHOLE - i32::from(loan.spent_elsewhere())).max(0);
            let spent = (i32::from(spent) * left / WHOLE) as i16;
            loan.shares.insert(from.clone(), Share { spent, until: now + self.window });
        }
    }

    /// There is a new connection with an instance, whose process may be another one: it knows nothing.
    pub fn connected(&mut self, instance: &Arc<str>) {
        for loan in self.loans.values_mut().filter(|loan| loan.to == *instance) {
            loan.told = false;
        }
    }
}

impl Delegation {
    /// How much of the part others than the present dispatcher spent.
    fn spent_elsewhere(&self) -> i16 {
        let others = self.shares.iter().filter(|(name, _)| **name != self.to);
        let sum: i32 = others.map(|(_, share)| i32::from(share.spent)).sum();
        sum.min(WHOLE) as i16
    }
}
