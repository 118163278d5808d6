//! Test harness: a pool with a manual clock.

use std::sync::Arc;

use drumusher_schedule::{
    ask::{Ask, Entry, Id, Outcome},
    engine::Profile,
    event::{Event, Progress},
    order::Order,
    policy::{Class, ClassKey, Policy, Workspace, WorkspaceKey},
    pool::Pool,
    server,
    time::{MILLISECOND, Micros, SECOND},
};

/// The highest of three classes; 1 and 2 are below it.
pub const URGENT: u16 = 0;
/// The lowest of three classes.
pub const BULK: u16 = 2;

/// A pool under test and its time.
pub struct Harness {
    /// The pool.
    pub pool: Pool,
    /// Current time.
    pub now: Micros,
}

/// A policy of three tiers and four workspaces, without a settle window.
pub fn policy() -> Policy {
    let classes = vec![Class::new("urgent", 0), Class::new("chat", 1), Class::new("bulk", 2)];
    let names = ["a", "b", "c", "d"];
    let mut policy = Policy::new(classes, names.map(Workspace::new).to_vec());
    policy.settle = 0;
    policy
}

/// A request of workspace 0.
pub fn ask(id: Id, class: u16, arrived: Micros) -> Ask {
    Ask {
        id,
        entry: Entry(0),
        class: ClassKey(class),
        workspace: WorkspaceKey(0),
        arrived,
        prompt: 10,
        prefix: 0,
        produced: 0,
        repeatable: true,
        preemptions: 0,
        avoid: None,
        migrated: false,
        anti_affinity: Vec::new(),
        versions: drumusher_schedule::version::Set::All,
        deadline: None,
        output: 0,
        parts: Vec::new(),
    }
}

/// A request of another workspace.
pub fn ask_in_workspace(workspace: u16, id: Id, class: u16, arrived: Micros) -> Ask {
    Ask { workspace: WorkspaceKey(workspace), ..ask(id, class, arrived) }
}

/// A pool with slack of some engines and one class of long prompts. Limits on prompts ahead and the
/// choice by pace are off, and so are the given mechanisms.
pub fn engine_pool(profile: Profile, engines: u16, off: &[&str]) -> Harness {
    let class = Class::new("long", 0).with_first_token(2 * SECOND);
    let mut policy = Policy::new(vec![class], vec![Workspace::new("a")]);
    for name in [off, &["read_ahead", "pace"]].concat() {
        policy.switches.turn_off(name).expect("there is such a switch");
    }
    let mut harness = Harness::new(policy, 0, 0);
    for key in 0..engines {
        let options = server::Options { profile: Some(profile), ..server::Options::default() };
        harness.handle(Event::Server(server::Key(key), options));
    }
    harness
}

impl Harness {
    /// A pool with backend servers of `slots` slots each.
    pub fn new(policy: Policy, servers: u16, slots: u32) -> Self {
        let now = 100 * SECOND;
        let mut harness = Harness { pool: Pool::new(Arc::new(policy), now), now };
        for key in 0..servers {
            let options =
                server::Options { slots, first_slots: slots, ..server::Options::default() };
            harness.handle(Event::Server(server::Key(key), options));
        }
        harness
    }

    /// Passes an event to the pool and returns its orders.
    pub fn handle(&mut self, event: Event) -> Vec<Order> {
        let mut orders = Vec::new();
        self.pool.handle(self.now, event, &mut orders);
        orders
    }

    /// Submits a request.
    pub fn ask(&mut self, ask: Ask) -> Vec<Order> {
        self.handle(Event::Ask(ask))
    }

    /// Ends an attempt.
    pub fn finish(&mut self, id: Id, outcome: Outcome) -> Vec<Order> {
        self.handle(Event::Finish(id, outcome, 8))
    }

    /// Reports progress of an attempt.
    pub fn progress(&mut self, id: Id, produced: u32, gap: Micros) -> Vec<Order> {
        let first_token = (produced == 1).then_some(20 * MILLISECOND);
        self.handle(Event::Progress(Progress { id, produced, first_token, gap }))
    }

    /// Advances the time in ticks.
    pub fn advance(&mut self, time: Micros) -> Vec<Order> {
        let until = self.now + time;
        let mut orders = Vec::new();
        while self.now < until {
            self.now += 50 * MILLISECOND;
            orders.extend(self.handle(Event::Tick));
        }
        orders
    }
}

/// The requests granted by some orders, with their backend servers.
pub fn granted(orders: &[Order]) -> Vec<(Id, u16)> {
    let grants = orders.iter().filter_map(|order| match order {
        Order::Grant { id, server, .. } => Some((*id, server.0)),
        _ => None,
    });
    grants.collect()
}

/// The requests refused by some orders.
pub fn refused(orders: &[Order]) -> Vec<Id> {
    let refusals = orders.iter().filter_map(|order| match order {
        Order::Refuse { id, .. } => Some(*id),
        _ => None,
    });
    refusals.collect()
}

/// The requests preempted by some orders.
pub fn preempted(orders: &[Order]) -> Vec<Id> {
    let preemptions = orders.iter().filter_map(|order| match order {
        Order::Preempt { id, .. } => Some(*id),
        _ => None,
    });
    preemptions.collect()
}
