//! Comparison of the scheduling decisions with baselines in virtual time. Random seeds are fixed and no clock is read,
//! so that the results are the same on every run and every machine.

pub mod baseline;
pub mod engine;
pub mod report;
pub mod scenario;
pub mod simulation;

use drumusher_schedule::{event::Event, order::Order, policy::Switches, pool::Pool, time::Micros};

/// A scheduler of one pool.
pub trait Scheduler {
    /// Handles an event and appends the resulting orders.
    fn handle(&mut self, now: Micros, event: Event, orders: &mut Vec<Order>);

    /// Whether a request of a tier lower than `tier` waits, or runs outside reserved capacity.
    fn lower_may_yield(&self, tier: u8) -> bool;
}

impl Scheduler for Pool {
    fn handle(&mut self, now: Micros, event: Event, orders: &mut Vec<Order>) {
        Pool::handle(self, now, event, orders);
    }

    fn lower_may_yield(&self, tier: u8) -> bool {
        Pool::lower_may_yield(self, tier)
    }
}

/// Which scheduler a run uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decider {
    /// The scheduler of this project, possibly with some mechanisms switched off.
    Drumusher(Switches),
    /// No shared queue: each request goes to the less loaded of two random backend servers, by delayed load reports.
    TwoChoices,
    /// One queue for the pool, first in, first out.
    Fifo,
    /// One queue for the pool with strict priority of higher tiers, without deadlines or fairness.
    Strict,
}

impl Decider {
    /// Name in tables.
    pub fn name(self) -> String {
        match self {
            Decider::Drumusher(switches) => {
                let off = switched_off(switches);
                if off.is_empty() { "drumusher".into() } else { format!("without {off}") }
            }
            Decider::TwoChoices => "two choices".into(),
            Decider::Fifo => "one queue".into(),
            Decider::Strict => "strict tiers".into(),
        }
    }

    /// The scheduler of this project and all baselines.
    pub fn all() -> [Decider; 4] {
        let unmodified = Decider::Drumusher(Switches::default());
        [unmodified, Decider::TwoChoices, Decider::Fifo, Decider::Strict]
    }

    /// The scheduler of this project with one mechanism switched off at a time.
    pub fn ablations() -> Vec<Decider> {
        let on = Switches::default();
        let ablated = [
            Switches { tiers: false, ..on },
            Switches { fairness: false, ..on },
            Switches { deadlines: false, ..on },
            Switches { preemption: false, ..on },
            Switches { learning: false, ..on },
            Switches { affinity: false, ..on },
            Switches { shedding: false, ..on },
            Switches { floor: false, ..on },
        ];
        ablated.into_iter().map(Decider::Drumusher).collect()
    }
}

/// Names the mechanisms that are switched off, separated by commas.
fn switched_off(switches: Switches) -> String {
    let names = [
        (switches.tiers, "tiers"),
        (switches.fairness, "fairness"),
        (switches.deadlines, "deadlines"),
        (switches.preemption, "preemption"),
        (switches.learning, "learning"),
        (switches.affinity, "affinity"),
        (switches.shedding, "shedding"),
        (switches.floor, "floor"),
    ];
    let off = names.iter().filter(|(on, _)| !on).map(|(_, name)| *name);
    off.collect::<Vec<&str>>().join(", ")
}
