//! To which dispatchers this instance lends its part of the fleet's repeats. Without I/O.

use std::{collections::HashMap, sync::Arc};

use drumusher_schedule::time::{Micros, SECOND};

use crate::version::Pool;

/// For how long repeats count unless set.
const WINDOW: Micros = 10 * SECOND;

/// What is lent to the dispatcher of one pool. Parts that are spent are numbers as on the wire.
#[derive(Clone, Debug)]
pub struct Loan {
    to: Arc<str>,
    /// Since when no other dispatcher was asked.
    pub since: Micros,
    /// How much of the part was spent before.
    pub brought: i16,
    /// How much is spent by what the dispatcher said last, or the one before.
    latest: i16,
    /// When that was said.
    heard: Micros,
}

/// What is lent, by pool.
#[derive(Debug)]
pub struct Loans {
    loans: HashMap<Pool, Loan>,
    window: Micros,
}

impl Default for Loans {
    fn default() -> Self {
        Loans { loans: HashMap::new(), window: WINDOW }
    }
}

impl Loans {
    /// Nothing is lent yet.
    pub fn new() -> Self {
        Loans::default()
    }

    /// Sets for how long repeats count.
    pub fn with_window(mut self, window: Micros) -> Self {
        self.window = window;
        self
    }

    /// Lends the part for a pool to the dispatcher `to`, if it is not lent to it yet.
    pub fn lend(&mut self, now: Micros, pool: &Pool, to: &Arc<str>) -> Loan {
        let fresh = || Loan { to: to.clone(), since: now, brought: 0, latest: 0, heard: now };
        let loan = self.loans.entry(pool.clone()).or_insert_with(fresh);
        if loan.to != *to {
            let over = now > loan.heard + self.window;
            loan.brought = if over { 0 } else { loan.latest };
            loan.latest = loan.brought;
            loan.since = now;
            loan.to = to.clone();
        }
        loan.clone()
    }

    /// Notes how much the dispatcher `from` says is spent of what was lent to it.
    pub fn note(&mut self, now: Micros, pool: &Pool, from: &Arc<str>, spent: i16) {
        if let Some(loan) = self.loans.get_mut(pool).filter(|loan| loan.to == *from) {
            loan.latest = spent;
            loan.heard = now;
        }
    }
}
