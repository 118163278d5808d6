//! Discrete-event simulation of one run in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
};

use drumusher_schedule::{
    ask::{Ask, Entry, Id, Outcome},
    event::{Event, Load, Progress},
    order::{Order, Refusal},
    policy::Policy,
    pool::{Pool, TICK},
    server,
    time::{MILLISECOND, Micros, SECOND},
};

use super::{
    Decider, Scheduler,
    baseline::{Queue, TwoChoices},
    engine::{Engine, Sequence},
    scenario::{BATCH, Fault, Request, STEP, Scenario},
};

/// One-way network latency between an entry, a dispatcher and an engine.
const HOP: Micros = MILLISECOND / 2;
/// Interval between batches of progress reports. An attempt is included once its first token has come.
const REPORT_BATCH_INTERVAL: Micros = 50 * MILLISECOND;
/// Interval at which an attempt is included again. It is also reported when it ends.
const REPORT_INTERVAL: Micros = 500 * MILLISECOND;
/// Interval between load reports.
const LOAD_INTERVAL: Micros = 250 * MILLISECOND;
/// Time for which a run continues after arrivals end.
const DRAIN: Micros = 40 * SECOND;

/// RunResult of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestResult {
    /// Time of its first token.
    pub first: Option<Micros>,
    /// Time of its last token.
    pub done: Option<Micros>,
    /// Time at which it was refused.
    pub refused: Option<Micros>,
    /// Whether the client stopped waiting for the first token.
    pub gave_up: bool,
    /// Tokens delivered.
    pub delivered: u32,
    /// Tokens delivered while requests still arrived.
    pub in_time: u32,
    /// Number of attempts.
    pub attempts: u32,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Requests in order of arrival.
    pub requests: Vec<Request>,
    /// Results of the requests, in the same order.
    pub results: Vec<RequestResult>,
    /// Number of steps that engines ran, counted once per sequence in the batch.
    pub work: u64,
    /// Part of `work` whose output was not delivered.
    pub wasted: u64,
    /// Number of refusals of a higher tier while a lower one waited or ran outside reserved capacity.
    pub inversions: u32,
    /// Number of attempts preempted for a higher tier.
    pub preemptions: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    Arrive(usize),
    GiveUp(usize),
    Ask(usize),
    Granted(usize, u16, u32),
    Preempted(usize, u32),
    StepEnds(usize),
    Finished(usize, u32, u8),
    Reports,
    Loads,
    Reported(u16, Micros, u32, u32),
    Tick,
    Fault(usize),
    Delisted(usize),
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    scheduler: Box<dyn Scheduler>,
    resumes: bool,
    honours_priority: bool,
    now: Micros,
    order: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Action)>>,
    engines: Vec<Engine>,
    stepping: Vec<bool>,
    requests: Vec<Request>,
    results: Vec<RequestResult>,
    /// Running attempts by request.
    runs: HashMap<usize, Attempt>,
    /// Number of the current attempt of each request. Events of earlier attempts are ignored.
    attempt: Vec<u32>,
    preempted: Vec<u8>,
    avoid: Vec<Option<server::Key>>,
    orders: Vec<Order>,
    work: u64,
    wasted: u64,
    inversions: u32,
    preemptions: u32,
}

/// An attempt that runs on an engine.
struct Attempt {
    engine: usize,
    started: Micros,
    work: u64,
    reported_first: bool,
    last_report: Micros,
    last_produced: u32,
}

/// Runs a scenario with a scheduler.
pub fn run(scenario: &Scenario, decider: Decider, seed: u64) -> RunResult {
    let requests = scenario.requests(seed);
    let mut policy = scenario.policy();
    if let Decider::Drumusher(switches) = decider {
        policy.switches = switches;
    }
    let scheduler: Box<dyn Scheduler> = match decider {
        Decider::Drumusher(_) => Box::new(Pool::new(Arc::new(policy.clone()), 0)),
        Decider::TwoChoices => Box::new(TwoChoices::new(seed)),
        Decider::Fifo => Box::new(Queue::new(policy.clone(), false)),
        Decider::Strict => Box::new(Queue::new(policy.clone(), true)),
    };
    let is_drumusher = matches!(decider, Decider::Drumusher(_));
    let count = requests.len();
    let mut simulation = Simulation {
        scenario,
        policy,
        scheduler,
        resumes: is_drumusher,
        honours_priority: is_drumusher,
        now: 0,
        order: 0,
        queue: BinaryHeap::new(),
        engines: vec![Engine::new(BATCH, STEP); scenario.engines],
        stepping: vec![false; scenario.engines],
        results: vec![RequestResult::default(); count],
        attempt: vec![0; count],
        preempted: vec![0; count],
        avoid: vec![None; count],
        requests,
        runs: HashMap::new(),
        orders: Vec::new(),
        work: 0,
        wasted: 0,
        inversions: 0,
        preemptions: 0,
    };
    simulation.start(is_drumusher);
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

impl Simulation<'_> {
    /// Schedules an action at a time. Actions at the same time run in the order in which they were scheduled.
    fn schedule(&mut self, time: Micros, action: Action) {
        self.order += 1;
        self.queue.push(Reverse((time, self.order, action)));
    }

    /// Registers the engines and schedules arrivals, faults and periodic actions.
    fn start(&mut self, learns: bool) {
        let slots = if learns { 64 } else { BATCH as u32 };
        for number in 0..self.engines.len() {
            let options = server::Options { slots, ..server::Options::default() };
            self.notify_scheduler(Event::Server(server::Key(number as u16), options));
        }
        for number in 0..self.requests.len() {
            self.schedule(self.requests[number].arrives, Action::Arrive(number));
        }
        for number in 0..self.scenario.faults.len() {
            self.schedule(self.scenario.faults[number].0, Action::Fault(number));
        }
        self.schedule(REPORT_BATCH_INTERVAL, Action::Reports);
        self.schedule(LOAD_INTERVAL, Action::Loads);
        self.schedule(TICK, Action::Tick);
    }

    fn run(&mut self) {
        let end = self.scenario.duration + DRAIN;
        while let Some(Reverse((time, _, action))) = self.queue.pop() {
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
            Action::Granted(number, server, attempt) => self.start_attempt(number, server, attempt),
            Action::Preempted(number, attempt) => self.preempt(number, attempt),
            Action::StepEnds(engine) => self.end_step(engine),
            Action::Finished(number, produced, outcome) => {
                let outcome = match outcome {
                    0 => Outcome::Done,
                    1 => Outcome::Cancelled,
                    2 => Outcome::Preempted,
                    _ => Outcome::Failed,
                };
                self.notify_scheduler(Event::Finish(number as Id, outcome, produced));
            }
            Action::Reports => self.send_reports(),
            Action::Loads => self.send_loads(),
            Action::Reported(server, as_of, running, waiting) => {
                let server = server::Key(server);
                self.notify_scheduler(Event::Load(Load {
                    server,
                    as_of,
                    running,
                    waiting,
                    full: None,
                }));
            }
            Action::Tick => {
                self.notify_scheduler(Event::Tick);
                self.schedule(self.now + TICK, Action::Tick);
            }
            Action::Fault(number) => self.inject_fault(number),
            Action::Delisted(engine) => {
                self.notify_scheduler(Event::Leave(server::Key(engine as u16)))
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
                let attempt = self.attempt[number];
                self.schedule(self.now + 2 * HOP, Action::Granted(number, server.0, attempt));
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
                let attempt = self.attempt[number];
                self.schedule(self.now + HOP, Action::Preempted(number, attempt));
            }
        }
    }

    /// Whether a request was completed, refused or given up.
    fn ended(&self, number: usize) -> bool {
        let result = &self.results[number];
        result.done.is_some() || result.refused.is_some() || result.gave_up
    }

    /// Passes a request to the scheduler, unless it has ended.
    fn ask(&mut self, number: usize) {
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
            preemptions: self.preempted[number],
            avoid: self.avoid[number],
            migrated: false,
            anti_affinity: Vec::new(),
            output: 0,
            parts: Vec::new(),
        };
        self.notify_scheduler(Event::Ask(ask));
    }

    /// Starts an attempt on the granted backend server, unless the grant is obsolete.
    fn start_attempt(&mut self, number: usize, server: u16, attempt: u32) {
        if self.ended(number) || self.attempt[number] != attempt {
            self.schedule(self.now + HOP, Action::Finished(number, 0, 1));
            return;
        }
        let engine = usize::from(server);
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
        let run = Attempt {
            engine,
            started: self.now,
            work: 0,
            reported_first: false,
            last_report: self.now,
            last_produced: produced,
        };
        self.runs.insert(number, run);
        self.begin_step(engine);
    }

    /// Begins a step of an engine that is neither idle nor in a step.
    fn begin_step(&mut self, engine: usize) {
        if self.stepping[engine] || self.engines[engine].idle() {
            return;
        }
        let duration = self.engines[engine].begin_step();
        self.stepping[engine] = true;
        self.schedule(self.now + duration, Action::StepEnds(engine));
    }

    /// Ends a step: records the generated tokens and the completed requests, and begins the next step.
    fn end_step(&mut self, engine: usize) {
        self.stepping[engine] = false;
        self.work += self.engines[engine].running() as u64;
        let step = self.engines[engine].end_step();
        for number in &step.produced {
            let result = &mut self.results[*number];
            result.delivered += 1;
            result.in_time += u32::from(self.now < self.scenario.duration);
            result.first.get_or_insert(self.now + 2 * HOP);
            if let Some(run) = self.runs.get_mut(number) {
                run.work += 1;
            }
        }
        for number in step.finished {
            self.report(number);
            self.runs.remove(&number);
            self.results[number].done = Some(self.now + 2 * HOP);
            let tokens = self.requests[number].tokens;
            self.schedule(self.now + 2 * HOP, Action::Finished(number, tokens, 0));
        }
        self.begin_step(engine);
    }

    /// Cancels a request whose client no longer waits for its first token.
    fn give_up(&mut self, number: usize) {
        if self.ended(number) || self.results[number].first.is_some() {
            return;
        }
        self.results[number].gave_up = true;
        if let Some(run) = self.runs.remove(&number) {
            self.engines[run.engine].cancel(number);
            self.wasted += run.work;
        }
        self.notify_scheduler(Event::Withdraw(number as Id));
    }

    /// Stops an attempt that the scheduler has preempted, and retries the request.
    fn preempt(&mut self, number: usize, attempt: u32) {
        if self.ended(number) || self.attempt[number] != attempt {
            return;
        }
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        self.engines[run.engine].cancel(number);
        self.preempted[number] += 1;
        self.retry(number, 2);
    }

    /// Retries a request whose attempt failed on a crashed engine, which the retry avoids.
    fn fail(&mut self, number: usize, engine: usize) {
        self.avoid[number] = Some(server::Key(engine as u16));
        self.retry(number, 3);
    }

    /// Reports an attempt that ended without the complete response, and queues the request again. `outcome` is the
    /// code that [`Action::Finished`] carries.
    fn retry(&mut self, number: usize, outcome: u8) {
        self.attempt[number] += 1;
        let delivered = self.results[number].delivered;
        if !self.resumes {
            self.wasted += u64::from(delivered);
            self.results[number].delivered = 0;
        }
        self.schedule(self.now + HOP, Action::Finished(number, delivered, outcome));
        self.schedule(self.now + HOP, Action::Ask(number));
    }

    /// Sends the progress reports that are due.
    fn send_reports(&mut self) {
        let due = |(number, run): (&usize, &Attempt)| {
            let first = self.results[*number].first.is_some() && !run.reported_first;
            (first || self.now >= run.last_report + REPORT_INTERVAL).then_some(*number)
        };
        let mut due: Vec<usize> = self.runs.iter().filter_map(due).collect();
        due.sort_unstable();
        for number in due {
            self.report(number);
        }
        self.schedule(self.now + REPORT_BATCH_INTERVAL, Action::Reports);
    }

    /// Reports the progress of an attempt: output tokens, time to first token, and mean gap between tokens since the
    /// last report.
    fn report(&mut self, number: usize) {
        let produced = self.results[number].delivered;
        let first = self.results[number].first;
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let new = u64::from(produced.saturating_sub(run.last_produced));
        let gap =
            if new > 0 && run.reported_first { (self.now - run.last_report) / new } else { 0 };
        let first = first.filter(|_| !run.reported_first);
        if first.is_some() || new > 0 {
            run.reported_first = true;
            run.last_report = self.now;
            run.last_produced = produced;
        }
        let first_token = first.map(|first| first.saturating_sub(run.started));
        let id = number as Id;
        self.notify_scheduler(Event::Progress(Progress { id, produced, first_token, gap }));
    }

    /// Samples the load of the engines, which the scheduler receives after the scenario's delay.
    fn send_loads(&mut self) {
        for number in 0..self.engines.len() {
            let engine = &self.engines[number];
            if engine.down {
                continue;
            }
            let (running, waiting) = (engine.running() as u32, engine.waiting() as u32);
            let arrives = self.now + self.scenario.lag;
            self.schedule(arrives, Action::Reported(number as u16, self.now, running, waiting));
        }
        self.schedule(self.now + LOAD_INTERVAL, Action::Loads);
    }

    fn inject_fault(&mut self, number: usize) {
        match self.scenario.faults[number].1 {
            Fault::Slow(engine, factor) => self.engines[engine].slow = factor,
            Fault::Crash(engine, listed) => {
                self.schedule(self.now + listed, Action::Delisted(engine));
                for number in self.engines[engine].crash() {
                    self.runs.remove(&number);
                    self.fail(number, engine);
                }
            }
        }
    }
}
