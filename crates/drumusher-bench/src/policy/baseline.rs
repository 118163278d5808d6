//! Baseline schedulers.

use std::collections::{BTreeMap, HashMap};

use drumusher_schedule::{
    ask::{Ask, Id},
    event::Event,
    order::{Choice, Order},
    policy::Policy,
    server,
    time::Micros,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::Scheduler;

/// The grant of a baseline, which keeps no account of expected or waited time.
fn grant(ask: &Ask, server: server::Key) -> Order {
    Order::Grant {
        id: ask.id,
        entry: ask.entry,
        server,
        source: None,
        expected: 0,
        urgency: None,
        choice: Choice::LeastLoaded,
        waited: 0,
        overtaken: 0,
    }
}

/// One queue for the pool, ordered by tier and arrival or by arrival alone. Grants go to the backend server with the
/// fewest running requests.
pub struct Queue {
    policy: Policy,
    strict: bool,
    waiting: BTreeMap<(u8, Micros, Id), Ask>,
    running: HashMap<Id, (server::Key, u8)>,
    /// Running requests and slots of each backend server.
    servers: BTreeMap<server::Key, (u32, u32)>,
}

impl Queue {
    /// Creates an empty queue. If `strict`, higher tiers run first.
    pub fn new(policy: Policy, strict: bool) -> Self {
        let (waiting, running, servers) = Default::default();
        Queue { policy, strict, waiting, running, servers }
    }

    /// Grants waiting requests until no slot is free.
    fn grant_waiting(&mut self, orders: &mut Vec<Order>) {
        loop {
            let free = self.servers.iter().filter(|(_, (running, slots))| running < slots);
            let Some(server) = free.min_by_key(|(_, (running, _))| *running).map(|(key, _)| *key)
            else {
                return;
            };
            let Some((_, ask)) = self.waiting.pop_first() else {
                return;
            };
            let tier = self.policy.class(ask.class).tier;
            self.running.insert(ask.id, (server, tier));
            self.servers.entry(server).and_modify(|(running, _)| *running += 1);
            orders.push(grant(&ask, server));
        }
    }

    /// Frees the slot of a running request.
    fn release(&mut self, id: Id) {
        if let Some((server, _)) = self.running.remove(&id) {
            self.servers.entry(server).and_modify(|(running, _)| *running -= 1);
        }
    }
}

impl Scheduler for Queue {
    fn handle(&mut self, _: Micros, event: Event, orders: &mut Vec<Order>) {
        match event {
            Event::Ask(ask) => {
                let tier = if self.strict { self.policy.class(ask.class).tier } else { 0 };
                self.waiting.insert((tier, ask.arrived, ask.id), ask);
            }
            Event::Withdraw(id) => {
                self.waiting.retain(|(_, _, other), _| *other != id);
                self.release(id);
            }
            Event::Finish(id, _, _) => self.release(id),
            Event::Server(key, options) => {
                self.servers.insert(key, (0, options.slots));
            }
            Event::Leave(key) => {
                self.servers.remove(&key);
            }
            _ => {}
        }
        self.grant_waiting(orders);
    }

    fn lower_may_yield(&self, tier: u8) -> bool {
        self.running.values().any(|(_, other)| *other > tier)
    }
}

/// No shared queue: of two backend servers chosen at random, each request goes to the one with the lower reported load.
pub struct TwoChoices {
    reported: BTreeMap<server::Key, u32>,
    random: StdRng,
}

impl TwoChoices {
    /// Creates a scheduler without load reports.
    pub fn new(seed: u64) -> Self {
        TwoChoices { reported: BTreeMap::new(), random: StdRng::seed_from_u64(seed) }
    }

    fn choose(&mut self) -> Option<server::Key> {
        let servers: Vec<(server::Key, u32)> =
            self.reported.iter().map(|(key, load)| (*key, *load)).collect();
        if servers.is_empty() {
            return None;
        }
        let mut sample = || servers[self.random.random_range(0..servers.len())];
        let (first, second) = (sample(), sample());
        Some(if first.1 <= second.1 { first.0 } else { second.0 })
    }
}

impl Scheduler for TwoChoices {
    fn handle(&mut self, _: Micros, event: Event, orders: &mut Vec<Order>) {
        match event {
            Event::Ask(ask) => {
                let Some(server) = self.choose() else {
                    return;
                };
                orders.push(grant(&ask, server));
            }
            Event::Server(key, _) => {
                self.reported.insert(key, 0);
            }
            Event::Leave(key) => {
                self.reported.remove(&key);
            }
            Event::Load(load) => {
                self.reported.insert(load.server, load.running + load.waiting);
            }
            _ => {}
        }
    }

    fn lower_may_yield(&self, _: u8) -> bool {
        true
    }
}
