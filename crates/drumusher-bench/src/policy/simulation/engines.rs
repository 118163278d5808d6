//! Steps and faults of the engines.

use drumusher_schedule::ask::Outcome;

use super::{HOP, Simulation, action::Action};
use crate::policy::scenario::Fault;

impl Simulation<'_> {
    /// Begins a step of an engine that is neither idle nor in a step.
    pub(super) fn begin_step(&mut self, engine: usize) {
        if self.stepping[engine] || self.engines[engine].idle() {
            return;
        }
        let duration = self.engines[engine].begin_step();
        self.stepping[engine] = true;
        self.schedule(self.now + duration, Action::EndStep(engine));
    }

    /// Ends a step: records the generated tokens and the completed requests, and begins the next step.
    pub(super) fn end_step(&mut self, engine: usize) {
        self.stepping[engine] = false;
        self.work += self.engines[engine].running() as u64;
        let step = self.engines[engine].end_step();
        for number in &step.produced {
            let result = &mut self.results[*number];
            result.delivered += 1;
            result.in_time += u32::from(self.now < self.scenario.duration);
            result.first.get_or_insert(self.now + 2 * HOP);
            if let Some(attempt) = self.running.get_mut(number) {
                attempt.work += 1;
            }
        }
        for number in step.finished {
            self.report_progress(number);
            self.running.remove(&number);
            self.results[number].done = Some(self.now + 2 * HOP);
            let tokens = self.requests[number].tokens;
            self.schedule(
                self.now + 2 * HOP,
                Action::Finish { request: number, produced: tokens, outcome: Outcome::Done },
            );
        }
        self.begin_step(engine);
    }

    /// Injects the scenario's fault with this index.
    pub(super) fn inject_fault(&mut self, index: usize) {
        match self.scenario.faults[index].1 {
            Fault::Slow(engine, factor) => self.engines[engine].slow = factor,
            Fault::Crash(engine, delisted_after) => {
                self.schedule(self.now + delisted_after, Action::Delist(engine));
                for number in self.engines[engine].crash() {
                    self.running.remove(&number);
                    self.fail(number, engine);
                }
            }
        }
    }
}
