//! Attempts at requests: how they are asked for, start on an engine, end early and are retried.

use drumusher_schedule::{
    ask::{Ask, Entry, Id, Outcome},
    event::Event,
    server,
    time::Micros,
};

use super::{HOP, Simulation, action::Action};
use crate::policy::engine::Sequence;

/// An attempt that runs on an engine.
pub(super) struct Attempt {
    /// The engine.
    pub(super) engine: usize,
    /// Time at which it started.
    pub(super) started: Micros,
    /// Tokens that it generated.
    pub(super) work: u64,
    /// Whether its first token was reported.
    pub(super) reported_first: bool,
    /// Time of the last progress report.
    pub(super) last_report: Micros,
    /// Tokens delivered by all attempts at the last progress report.
    pub(super) last_produced: u32,
}

impl Simulation<'_> {
    /// Whether a request was completed, refused or given up.
    fn ended(&self, number: usize) -> bool {
        let result = &self.results[number];
        result.done.is_some() || result.refused.is_some() || result.gave_up
    }

    /// Passes a request to the scheduler, unless it has ended.
    pub(super) fn ask(&mut self, number: usize) {
        if self.ended(number) {
            return;
        }
        let request = &self.requests[number];
        let ask = Ask {
            id: number as Id,
            entry: Entry(request.entry),
            class: request.class,
            workspace: request.workspace,
            arrived: request.arrives,
            prompt: request.prompt,
            prefix: request.prefix,
            produced: if self.resumes { self.results[number].delivered } else { 0 },
            repeatable: true,
            preemptions: self.preemptions_of[number],
            avoid: self.avoid[number],
            migrated: false,
            anti_affinity: Vec::new(),
            versions: drumusher_schedule::version::Set::All,
            deadline: None,
            output: 0,
            parts: Vec::new(),
        };
        self.notify_scheduler(Event::Ask(ask));
    }

    /// Starts an attempt on the granted engine, unless the grant is obsolete.
    pub(super) fn start_attempt(&mut self, number: usize, attempt: u32, engine: usize) {
        if self.ended(number) || self.current_attempt[number] != attempt {
            self.schedule(
                self.now + HOP,
                Action::Finish { request: number, produced: 0, outcome: Outcome::Cancelled },
            );
            return;
        }
        self.results[number].attempts += 1;
        if self.engines[engine].down {
            self.fail(number, engine);
            return;
        }
        let request = &self.requests[number];
        let produced = if self.resumes { self.results[number].delivered } else { 0 };
        let tier = self.policy.class(request.class).tier;
        let sequence = Sequence {
            request: number,
            priority: if self.honours_priority { tier } else { 0 },
            prefill: request.prompt + produced,
            produced,
            total: request.tokens,
        };
        let (prefix, shared) = (request.prefix, request.shared);
        self.engines[engine].push(sequence, prefix, shared);
        self.running.insert(
            number,
            Attempt {
                engine,
                started: self.now,
                work: 0,
                reported_first: false,
                last_report: self.now,
                last_produced: produced,
            },
        );
        self.begin_step(engine);
    }

    /// Cancels a request whose client no longer waits for its first token.
    pub(super) fn give_up(&mut self, number: usize) {
        if self.ended(number) || self.results[number].first.is_some() {
            return;
        }
        self.results[number].gave_up = true;
        if let Some(stopped) = self.running.remove(&number) {
            self.engines[stopped.engine].cancel(number);
            self.wasted += stopped.work;
        }
        self.notify_scheduler(Event::Withdraw(number as Id));
    }

    /// Stops an attempt that the scheduler has preempted, and retries the request.
    pub(super) fn preempt(&mut self, number: usize, attempt: u32) {
        if self.ended(number) || self.current_attempt[number] != attempt {
            return;
        }
        let Some(stopped) = self.running.remove(&number) else {
            return;
        };
        self.engines[stopped.engine].cancel(number);
        self.preemptions_of[number] += 1;
        self.retry(number, Outcome::Preempted);
    }

    /// Retries a request whose attempt failed on a crashed engine, which the retry avoids.
    pub(super) fn fail(&mut self, number: usize, engine: usize) {
        self.avoid[number] = Some(server::Key(engine as u16));
        self.retry(number, Outcome::Failed);
    }

    /// Reports an attempt that ended without the complete response, and queues the request again.
    fn retry(&mut self, number: usize, outcome: Outcome) {
        self.current_attempt[number] += 1;
        let delivered = self.results[number].delivered;
        if !self.resumes {
            self.wasted += u64::from(delivered);
            self.results[number].delivered = 0;
        }
        self.schedule(
            self.now + HOP,
            Action::Finish { request: number, produced: delivered, outcome },
        );
        self.schedule(self.now + HOP, Action::Ask(number));
    }
}
