//! One run in virtual time.

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
    Decide, Decider,
    baseline::{Queue, TwoChoices},
    engine::{Engine, Sequence},
    scenario::{BATCH, Fault, Request, STEP, Scenario},
};

/// One way between an entry, a dispatcher or an engine.
const HOP: Micros = MILLISECOND / 2;
/// Time between two batches of reports: an attempt's first token is in the next one…
const REPORTS: Micros = 50 * MILLISECOND;
/// …and then it is reported on every so often, and with its end.
const REPORT_EVERY: Micros = 500 * MILLISECOND;
/// Time between two load reports.
const LOADS: Micros = 250 * MILLISECOND;
/// How long after the last arrival a run goes on.
const AFTER: Micros = 40 * SECOND;

/// What became of a request.
#[derive(Clone, Debug, Default)]
pub struct Fate {
    /// When its first token came.
    pub first: Option<Micros>,
    /// When its last token came.
    pub done: Option<Micros>,
    /// Whether and when it was refused.
    pub refused: Option<Micros>,
    /// Whether the caller gave up.
    pub gave_up: bool,
    /// Tokens delivered.
    pub delivered: u32,
    /// Tokens delivered while requests still arrived.
    pub in_time: u32,
    /// Attempts.
    pub attempts: u32,
}

/// All that a run brought.
#[derive(Clone, Debug)]
pub struct Result {
    /// What was asked.
    pub requests: Vec<Request>,
    /// What became of each.
    pub fates: Vec<Fate>,
    /// Sequence-steps that engines made.
    pub work: u64,
    /// Sequence-steps whose outcome nobody got.
    pub wasted: u64,
    /// Refusals of a higher tier while a lower one waited or ran outside reserved capacity.
    pub inversions: u32,
    /// Attempts stopped for a higher tier.
    pub preemptions: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
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
    Listed(usize),
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    decider: Box<dyn Decide>,
    resumes: bool,
    honours_priority: bool,
    now: Micros,
    order: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, What)>>,
    engines: Vec<Engine>,
    stepping: Vec<bool>,
    requests: Vec<Request>,
    fates: Vec<Fate>,
    /// Where each request runs, and the work of this attempt.
    runs: HashMap<usize, Run>,
    /// Number of the current attempt of each request.
    attempt: Vec<u32>,
    preempted: Vec<u8>,
    avoid: Vec<Option<server::Key>>,
    orders: Vec<Order>,
    work: u64,
    wasted: u64,
    inversions: u32,
    preemptions: u32,
}

struct Run {
    engine: usize,
    handed: Micros,
    work: u64,
    reported_first: bool,
    last: Micros,
    last_produced: u32,
}

/// Runs a scenario with a decider.
pub fn run(scenario: &Scenario, decider: Decider, seed: u64) -> Result {
    let requests = scenario.requests(seed);
    let mut policy = scenario.policy();
    if let Decider::Drumusher(switches) = decider {
        policy.switches = switches;
    }
    let decide: Box<dyn Decide> = match decider {
        Decider::Drumusher(_) => Box::new(Pool::new(Arc::new(policy.clone()), 0)),
        Decider::TwoChoices => Box::new(TwoChoices::new(seed)),
        Decider::Fifo => Box::new(Queue::new(policy.clone(), false)),
        Decider::Strict => Box::new(Queue::new(policy.clone(), true)),
    };
    let ours = matches!(decider, Decider::Drumusher(_));
    let count = requests.len();
    let mut simulation = Simulation {
        scenario,
        policy,
        decider: decide,
        resumes: ours,
        honours_priority: ours,
        now: 0,
        order: 0,
        queue: BinaryHeap::new(),
        engines: vec![Engine::new(BATCH, STEP); scenario.engines],
        stepping: vec![false; scenario.engines],
        fates: vec![Fate::default(); count],
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
    simulation.begin(ours);
    simulation.run();
    Result {
        requests: simulation.requests,
        fates: simulation.fates,
        work: simulation.work,
        wasted: simulation.wasted,
        inversions: simulation.inversions,
        preemptions: simulation.preemptions,
    }
}

impl Simulation<'_> {
    fn at(&mut self, when: Micros, what: What) {
        self.order += 1;
        self.queue.push(Reverse((when, self.order, what)));
    }

    fn begin(&mut self, learns: bool) {
        let slots = if learns { 64 } else { BATCH as u32 };
        for number in 0..self.engines.len() {
            let options = server::Options { slots, ..server::Options::default() };
            self.tell(Event::Server(server::Key(number as u16), options));
        }
        for number in 0..self.requests.len() {
            self.at(self.requests[number].arrives, What::Arrive(number));
        }
        for number in 0..self.scenario.faults.len() {
            self.at(self.scenario.faults[number].0, What::Fault(number));
        }
        self.at(REPORTS, What::Reports);
        self.at(LOADS, What::Loads);
        self.at(TICK, What::Tick);
    }

    fn run(&mut self) {
        let end = self.scenario.lasts + AFTER;
        while let Some(Reverse((when, _, what))) = self.queue.pop() {
            if when > end {
                return;
            }
            self.now = when;
            self.take(what);
        }
    }

    fn take(&mut self, what: What) {
        match what {
            What::Arrive(number) => {
                let class = self.policy.class(self.requests[number].class);
                self.at(self.now + class.wait, What::GiveUp(number));
                self.at(self.now + HOP, What::Ask(number));
            }
            What::GiveUp(number) => self.give_up(number),
            What::Ask(number) => self.ask(number),
            What::Granted(number, server, attempt) => self.granted(number, server, attempt),
            What::Preempted(number, attempt) => self.stopped(number, attempt),
            What::StepEnds(engine) => self.step_ends(engine),
            What::Finished(number, produced, outcome) => {
                let outcome = match outcome {
                    0 => Outcome::Done,
                    1 => Outcome::Cancelled,
                    2 => Outcome::Preempted,
                    _ => Outcome::Failed,
                };
                self.tell(Event::Finish(number as Id, outcome, produced));
            }
            What::Reports => self.reports(),
            What::Loads => self.loads(),
            What::Reported(server, as_of, running, waiting) => {
                let server = server::Key(server);
                self.tell(Event::Load(Load { server, as_of, running, waiting, full: None }));
            }
            What::Tick => {
                self.tell(Event::Tick);
                self.at(self.now + TICK, What::Tick);
            }
            What::Fault(number) => self.fault(number),
            What::Listed(engine) => self.tell(Event::Leave(server::Key(engine as u16))),
        }
    }

    fn tell(&mut self, event: Event) {
        let mut orders = std::mem::take(&mut self.orders);
        self.decider.handle(self.now, event, &mut orders);
        for order in orders.drain(..) {
            self.carry_out(order);
        }
        self.orders = orders;
    }

    fn carry_out(&mut self, order: Order) {
        match order {
            Order::Grant { id, server, .. } => {
                let number = id as usize;
                let attempt = self.attempt[number];
                self.at(self.now + 2 * HOP, What::Granted(number, server.0, attempt));
            }
            Order::Refuse { id, refusal, .. } => {
                let number = id as usize;
                let tier = self.policy.class(self.requests[number].class).tier;
                let own = refusal == Refusal::WorkspaceLimit || refusal == Refusal::NoServer;
                if !own && self.decider.lower_may_yield(tier) {
                    self.inversions += 1;
                }
                self.fates[number].refused = Some(self.now + HOP);
            }
            Order::Preempt { id, .. } => {
                self.preemptions += 1;
                let number = id as usize;
                let attempt = self.attempt[number];
                self.at(self.now + HOP, What::Preempted(number, attempt));
            }
        }
    }

    fn ended(&self, number: usize) -> bool {
        let fate = &self.fates[number];
        fate.done.is_some() || fate.refused.is_some() || fate.gave_up
    }

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
            produced: if self.resumes { self.fates[number].delivered } else { 0 },
            repeatable: true,
            preemptions: self.preempted[number],
            avoid: self.avoid[number],
            migrated: false,
            anti_affinity: Vec::new(),
            output: 0,
            parts: Vec::new(),
        };
        self.tell(Event::Ask(ask));
    }

    fn granted(&mut self, number: usize, server: u16, attempt: u32) {
        if self.ended(number) || self.attempt[number] != attempt {
            self.at(self.now + HOP, What::Finished(number, 0, 1));
            return;
        }
        let engine = usize::from(server);
        self.fates[number].attempts += 1;
        if self.engines[engine].down {
            self.failed(number, engine);
            return;
        }
        let request = &self.requests[number];
        let produced = if self.resumes { self.fates[number].delivered } else { 0 };
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
        let run = Run {
            engine,
            handed: self.now,
            work: 0,
            reported_first: false,
            last: self.now,
            last_produced: produced,
        };
        self.runs.insert(number, run);
        self.step(engine);
    }

    fn step(&mut self, engine: usize) {
        if self.stepping[engine] || self.engines[engine].idle() {
            return;
        }
        let lasts = self.engines[engine].begin_step();
        self.stepping[engine] = true;
        self.at(self.now + lasts, What::StepEnds(engine));
    }

    fn step_ends(&mut self, engine: usize) {
        self.stepping[engine] = false;
        self.work += self.engines[engine].running() as u64;
        let step = self.engines[engine].end_step();
        for number in &step.produced {
            let fate = &mut self.fates[*number];
            fate.delivered += 1;
            fate.in_time += u32::from(self.now < self.scenario.lasts);
            fate.first.get_or_insert(self.now + 2 * HOP);
            if let Some(run) = self.runs.get_mut(number) {
                run.work += 1;
            }
        }
        for number in step.finished {
            self.report(number);
            self.runs.remove(&number);
            self.fates[number].done = Some(self.now + 2 * HOP);
            let tokens = self.requests[number].tokens;
            self.at(self.now + 2 * HOP, What::Finished(number, tokens, 0));
        }
        self.step(engine);
    }

    /// The caller does not wait longer for its first token.
    fn give_up(&mut self, number: usize) {
        if self.ended(number) || self.fates[number].first.is_some() {
            return;
        }
        self.fates[number].gave_up = true;
        if let Some(run) = self.runs.remove(&number) {
            self.engines[run.engine].cancel(number);
            self.wasted += run.work;
        }
        self.tell(Event::Withdraw(number as Id));
    }

    fn stopped(&mut self, number: usize, attempt: u32) {
        if self.ended(number) || self.attempt[number] != attempt {
            return;
        }
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        self.engines[run.engine].cancel(number);
        self.preempted[number] += 1;
        self.again(number, 2);
    }

    fn failed(&mut self, number: usize, engine: usize) {
        self.avoid[number] = Some(server::Key(engine as u16));
        self.again(number, 3);
    }

    /// An attempt ended without the whole answer: asks again.
    fn again(&mut self, number: usize, outcome: u8) {
        self.attempt[number] += 1;
        let delivered = self.fates[number].delivered;
        if !self.resumes {
            self.wasted += u64::from(delivered);
            self.fates[number].delivered = 0;
        }
        self.at(self.now + HOP, What::Finished(number, delivered, outcome));
        self.at(self.now + HOP, What::Ask(number));
    }

    fn reports(&mut self) {
        let due = |(number, run): (&usize, &Run)| {
            let first = self.fates[*number].first.is_some() && !run.reported_first;
            (first || self.now >= run.last + REPORT_EVERY).then_some(*number)
        };
        let mut due: Vec<usize> = self.runs.iter().filter_map(due).collect();
        due.sort_unstable();
        for number in due {
            self.report(number);
        }
        self.at(self.now + REPORTS, What::Reports);
    }

    /// Reports on an attempt: tokens, time to the first one, and their gap since the last report.
    fn report(&mut self, number: usize) {
        let produced = self.fates[number].delivered;
        let first = self.fates[number].first;
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let new = u64::from(produced.saturating_sub(run.last_produced));
        let gap = if new > 0 && run.reported_first { (self.now - run.last) / new } else { 0 };
        let first = first.filter(|_| !run.reported_first);
        if first.is_some() || new > 0 {
            run.reported_first = true;
            run.last = self.now;
            run.last_produced = produced;
        }
        let first_token = first.map(|first| first.saturating_sub(run.handed));
        let id = number as Id;
        self.tell(Event::Progress(Progress { id, produced, first_token, gap }));
    }

    fn loads(&mut self) {
        for number in 0..self.engines.len() {
            let engine = &self.engines[number];
            if engine.down {
                continue;
            }
            let (running, waiting) = (engine.running() as u32, engine.waiting() as u32);
            let arrives = self.now + self.scenario.lag;
            self.at(arrives, What::Reported(number as u16, self.now, running, waiting));
        }
        self.at(self.now + LOADS, What::Loads);
    }

    fn fault(&mut self, number: usize) {
        match self.scenario.faults[number].1 {
            Fault::Slow(engine, factor) => self.engines[engine].slow = factor,
            Fault::Crash(engine, listed) => {
                self.at(self.now + listed, What::Listed(engine));
                for number in self.engines[engine].crash() {
                    self.runs.remove(&number);
                    self.failed(number, engine);
                }
            }
        }
    }
}
