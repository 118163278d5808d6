//! Retry budgets and backoff.

use crate::time::{MILLISECOND, Micros};

/// A token bucket that limits retries to a share of first attempts.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    capacity: f64,
    balance: f64,
}

impl Budget {
    /// A full budget of `share` retries for each first attempt that holds at most `capacity`
    /// retries.
    pub fn new(share: f64, capacity: f64) -> Self {
        Budget { share, capacity, balance: capacity }
    }

    /// Credits the budget for a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.share).min(self.capacity);
    }

    /// Takes one retry from the budget; `false` if it is spent.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// The shortest backoff.
pub const BACKOFF_BASE: Micros = 10 * MILLISECOND;
/// The longest backoff.
pub const BACKOFF_CAP: Micros = 1_000 * MILLISECOND;

/// Backoff with decorrelated jitter: the next pause after `previous`, from a uniform `random` in
/// `0.0..1.0`.
pub fn backoff(previous: Micros, random: f64) -> Micros {
    let upper = (previous.max(BACKOFF_BASE) * 3) as f64;
    let span = upper - BACKOFF_BASE as f64;
    let pause = BACKOFF_BASE + (span * random) as Micros;
    pause.min(BACKOFF_CAP)
}
