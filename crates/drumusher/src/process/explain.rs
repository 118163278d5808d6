//! The history of recent requests with the reason of each step, for `show request`.

use std::{collections::VecDeque, sync::Mutex};

use drumusher_schedule::ask::Id;

use super::clock;

/// Maximum number of steps kept by an instance.
const MAX_STEPS: usize = 16_384;

/// One step in the history of a request.
#[derive(Clone, Debug)]
pub struct Step {
    /// The request.
    pub id: Id,
    /// When it happened, in Unix milliseconds.
    pub time_ms: u64,
    /// What happened, as a sentence.
    pub what: String,
}

/// The latest steps, oldest first.
#[derive(Debug)]
pub struct Explanations {
    steps: Mutex<VecDeque<Step>>,
}

impl Default for Explanations {
    fn default() -> Self {
        Self::new()
    }
}

impl Explanations {
    /// Creates an empty history.
    pub fn new() -> Self {
        Explanations { steps: Mutex::new(VecDeque::new()) }
    }

    /// Adds a step of a request. The oldest step is dropped if the history is full.
    pub fn add(&self, id: Id, what: impl Into<String>) {
        let step = Step { id, time_ms: clock::unix_ms(), what: what.into() };
        let mut steps = self.steps.lock().expect("no holder panics");
        if steps.len() == MAX_STEPS {
            steps.pop_front();
        }
        steps.push_back(step);
    }

    /// The steps of a request, oldest first.
    pub fn of(&self, id: Id) -> Vec<Step> {
        let steps = self.steps.lock().expect("no holder panics");
        steps.iter().filter(|step| step.id == id).cloned().collect()
    }
}
