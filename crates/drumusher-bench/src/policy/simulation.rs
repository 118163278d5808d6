//! Discrete-event simulation of one run in virtual time.

mod action;
mod attempt;
mod engines;
mod report;
mod result;

pub use result::{RequestResult, RunResult};

use std::{collections::HashMap, sync::Arc};

use drumusher_schedule::{
    ask::Id,
    event::Event,
    order::{Order, Refusal},
    policy::Policy,
    pool::{Pool, TICK},
    server,
    time::{MILLISECOND, Micros, SECOND},
};

use self::{
    action::{Action, Queue as Actions},
    attempt::Attempt,
    report::{LOAD_INTERVAL, PROGRESS_BATCH_INTERVAL},
};
use super::{
    Decider, Scheduler,
    baseline::{Queue, TwoChoices},
    engine::Engine,
    scenario::{BATCH, Request, STEP, Scenario},
};

/// One-way network latency between an entry, a dispatcher and an engine.
const HOP: Micros = MILLISECOND / 2;
/// Time for which a run continues after arrivals end.
const DRAIN: Micros = 40 * SECOND;
/// Slots of an engine for a scheduler that learns how many requests an engine runs well.
const MAX_SLOTS: u32 = 64;

/// A run under way. Requests are numbered in order of arrival; vectors with one element for each request or engine
/// are indexed by its number.
struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    scheduler: Box<dyn Scheduler>,
    /// Whether a retry continues after the tokens already delivered.
    resumes: bool,
    /// Whether requests carry their tier to the engines' queues.
    honours_priority: bool,
    now: Micros,
    actions: Actions,
    engines: Vec<Engine>,
    /// Whether each engine is in a step.
    stepping: Vec<bool>,
    requests: Vec<Request>,
    results: Vec<RequestResult>,
    /// Running attempts by request.
    running: HashMap<usize, Attempt>,
    /// Number of the current attempt of each request. Events of earlier attempts are ignored.
    current_attempt: Vec<u32>,
    /// How often each request was preempted.
    preemptions_of: Vec<u8>,
    /// The crashed engine that the next attempt of each request avoids.
    avoid: Vec<Option<server::Key>>,
    /// Buffer for the orders of one event.
    orders: Vec<Order>,
    work: u64,
    wasted: u64,
    inversions: u32,
    preemptions: u32,
}

/// Runs a scenario with a scheduler.
pub fn run(scenario: &Scenario, decider: Decider, seed: u64) -> RunResult {
    let requests = scenario.requests(seed);
    let mut policy = scenario.policy();
    if let Decider::Drumusher(switches) = decider {
        policy.switches = switches;
    }
    let scheduler = scheduler(decider, &policy, seed);
    let is_drumusher = matches!(decider, Decider::Drumusher(_));
    let count = requests.len();
    let mut simulation = Simulation {
        scenario,
        policy,
        scheduler,
        resumes: is_drumusher,
        honours_priority: is_drumusher,
        now: 0,
        actions: Actions::default(),
        engines: vec![Engine::new(BATCH, STEP); scenario.engines],
        stepping: vec![false; scenario.engines],
        results: vec![RequestResult::default(); count],
        current_attempt: vec![0; count],
        preemptions_of: vec![0; count],
        avoid: vec![None; count],
        requests,
        running: HashMap::new(),
        orders: Vec::new(),
        work: 0,
        wasted: 0,
        inversions: 0,
        preemptions: 0,
    };
    simulation.start(if is_drumusher { MAX_SLOTS } else { BATCH as u32 });
    simulation.run();
    RunResult {
        requests: simulation.requests,
        results: simulation.results,
        work: simulation.work,
        wasted: simulation.wasted,
        inversions: simulation.inversions,
        preemptions: simulation.preemptions,
    }
}

fn scheduler(decider: Decider, policy: &Policy, seed: u64) -> Box<dyn Scheduler> {
    match decider {
        Decider::Drumusher(_) => Box::new(Pool::new(Arc::new(policy.clone()), 0)),
        Decider::TwoChoices => Box::new(TwoChoices::new(seed)),
        Decider::Fifo => Box::new(Queue::new(policy.clone(), false)),
        Decider::Strict => Box::new(Queue::new(policy.clone(), true)),
    }
}

impl Simulation<'_> {
    fn schedule(&mut self, time: Micros, action: Action) {
        self.actions.push(time, action);
    }

    /// Registers the engines, each with the given number of slots, and schedules arrivals, faults and periodic
    /// actions.
    fn start(&mut self, slots: u32) {
        for number in 0..self.engines.len() {
            let options = server::Options { slots, ..server::Options::default() };
            self.notify_scheduler(Event::Server(server::Key(number as u16), options));
        }
        for number in 0..self.requests.len() {
            self.schedule(self.requests[number].arrives, Action::Arrive(number));
        }
        for number in 0..self.scenario.faults.len() {
            self.schedule(self.scenario.faults[number].0, Action::InjectFault(number));
        }
        self.schedule(PROGRESS_BATCH_INTERVAL, Action::SendProgress);
        self.schedule(LOAD_INTERVAL, Action::SendLoads);
        self.schedule(TICK, Action::Tick);
    }

    fn run(&mut self) {
        let end = self.scenario.duration + DRAIN;
        while let Some((time, action)) = self.actions.pop() {
            if time > end {
                return;
            }
            self.now = time;
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Arrive(number) => {
                let class = self.policy.class(self.requests[number].class);
                self.schedule(self.now + class.wait, Action::GiveUp(number));
                self.schedule(self.now + HOP, Action::Ask(number));
            }
            Action::GiveUp(number) => self.give_up(number),
            Action::Ask(number) => self.ask(number),
            Action::Start { request, attempt, engine } => {
                self.start_attempt(request, attempt, engine);
            }
            Action::Preempt { request, attempt } => self.preempt(request, attempt),
            Action::EndStep(engine) => self.end_step(engine),
            Action::Finish { request, produced, outcome } => {
                self.notify_scheduler(Event::Finish(request as Id, outcome, produced));
            }
            Action::SendProgress => self.send_progress(),
            Action::SendLoads => self.send_loads(),
            Action::ReceiveLoad(load) => self.notify_scheduler(Event::Load(load)),
            Action::Tick => {
                self.notify_scheduler(Event::Tick);
                self.schedule(self.now + TICK, Action::Tick);
            }
            Action::InjectFault(number) => self.inject_fault(number),
            Action::Delist(engine) => {
                self.notify_scheduler(Event::Leave(server::Key(engine as u16)));
            }
        }
    }

    /// Passes an event to the scheduler and executes the resulting orders.
    fn notify_scheduler(&mut self, event: Event) {
        let mut orders = std::mem::take(&mut self.orders);
        self.scheduler.handle(self.now, event, &mut orders);
        for order in orders.drain(..) {
            self.execute(order);
        }
        self.orders = orders;
    }

    fn execute(&mut self, order: Order) {
        match order {
            Order::Grant { id, server, .. } => {
                let number = id as usize;
                let attempt = self.current_attempt[number];
                self.schedule(
                    self.now + 2 * HOP,
                    Action::Start { request: number, attempt, engine: usize::from(server.0) },
                );
            }
            Order::Refuse { id, refusal, .. } => {
                let number = id as usize;
                let tier = self.policy.class(self.requests[number].class).tier;
                let own = refusal == Refusal::WorkspaceLimit || refusal == Refusal::NoServer;
                if !own && self.scheduler.lower_may_yield(tier) {
                    self.inversions += 1;
                }
                self.results[number].refused = Some(self.now + HOP);
            }
            Order::Preempt { id, .. } => {
                self.preemptions += 1;
                let number = id as usize;
                let attempt = self.current_attempt[number];
                self.schedule(self.now + HOP, Action::Preempt { request: number, attempt });
            }
        }
    }
}
