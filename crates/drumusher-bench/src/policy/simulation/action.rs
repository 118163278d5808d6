//! Actions that are still to come, in order of their times.

use std::collections::BTreeMap;

use drumusher_schedule::{ask::Outcome, event::Load, time::Micros};

/// What happens at a time. Requests and engines are given by their numbers.
#[derive(Clone, Copy, Debug)]
pub(super) enum Action {
    /// A request arrives at its entry.
    Arrive(usize),
    /// The client of a request stops waiting for the first token.
    GiveUp(usize),
    /// A request reaches the scheduler.
    Ask(usize),
    /// An attempt reaches the engine that the scheduler granted.
    Start { request: usize, attempt: u32, engine: usize },
    /// A preemption reaches the engine of an attempt.
    Preempt { request: usize, attempt: u32 },
    /// An engine ends its step.
    EndStep(usize),
    /// The scheduler learns that an attempt has ended.
    Finish { request: usize, produced: u32, outcome: Outcome },
    /// The entries send the progress reports that are due.
    SendProgress,
    /// The engines send load reports.
    SendLoads,
    /// A load report reaches the scheduler.
    ReceiveLoad(Load),
    /// The scheduler's timer fires.
    Tick,
    /// The scenario's fault with this index occurs.
    InjectFault(usize),
    /// The scheduler learns that an engine has left the member list.
    Delist(usize),
}

/// The actions to come.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Actions by time and then by the number that they were given when they were scheduled.
    actions: BTreeMap<(Micros, u64), Action>,
    scheduled: u64,
}

impl Queue {
    /// Schedules an action. Actions at the same time run in the order in which they were scheduled.
    pub(super) fn push(&mut self, time: Micros, action: Action) {
        self.scheduled += 1;
        self.actions.insert((time, self.scheduled), action);
    }

    /// Removes the next action. Returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(Micros, Action)> {
        self.actions.pop_first().map(|((time, _), action)| (time, action))
    }
}
