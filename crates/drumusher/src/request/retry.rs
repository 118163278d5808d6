//! Retry budgets per traffic class.

use std::{collections::HashMap, sync::Mutex};

use drumusher_schedule::retry::Budget;

/// Maximum number of retries that a class can accumulate.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Retry budget of each class.
#[derive(Debug)]
pub struct Budgets {
    share: f64,
    by_class: Mutex<HashMap<String, Budget>>,
}

impl Budgets {
    /// Creates budgets that earn `share` retries per first attempt.
    pub fn new(share: f64) -> Self {
        Budgets { share, by_class: Mutex::default() }
    }

    /// Counts a first attempt, which earns a share of a retry.
    pub fn earn(&self, class: &str) {
        self.with(class, Budget::earn);
    }

    /// Spends a retry. Returns `false` if the budget is exhausted.
    pub fn spend(&self, class: &str) -> bool {
        self.with(class, Budget::spend)
    }

    fn with<T>(&self, class: &str, apply: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.by_class.lock().expect("no holder panics");
        if let Some(budget) = budgets.get_mut(class) {
            return apply(budget);
        }
        let budget = budgets
            .entry(class.into())
            .or_insert_with(|| Budget::new(self.share, MAX_SAVED_RETRIES));
        apply(budget)
    }
}
