//! Giving free places to waiting requests.

use super::Pool;
use crate::{
    ask::{Ask, Key, Running, State, Waiting},
    engine::{Engine, Reading, Work},
    order::{Choice, Order},
    policy::{ClassKey, WorkspaceKey},
    server::{self, Server},
    time::{MILLISECOND, Micros},
};

/// One grant in so many goes to the most urgent request even if it is late, so that late ones are
/// served eventually.
const LATE_EVERY: u64 = 16;
/// Workspaces that are looked at for a request that can still be in time.
const LOOK: usize = 32;
/// Factor on the expected time to the first token, for a request to count as in time.
const FIRST_TOKEN_MARGIN: f64 = 2.0;

/// What placing a prompt that no engine keeps elsewhere than on its usual engine counts for each
/// token of its shared part, in microseconds of waiting: twice the time to read it.
const ELSEWHERE: f64 = 40.0;

/// What a stream that may not go on elsewhere counts in another availability zone, as a part of the
/// target for its first event: a cut between zones breaks it off, and a wait that is short against
/// the target harms nobody.
const AWAY: f64 = 0.25;

/// What failing all of its requests lately adds to the cost of a backend server, as a part of it: it
/// loses to one that is as busy, and not to one that is half as busy again.
const FAILING: f64 = 1.0;

/// An engine is slow if it reads a token in so many times the usual time.
const SLOW_READ: f64 = 1.15;

/// Where a request is to run.
struct Place {
    server: server::Key,
    /// How the engine comes by the prompt; nothing to read for a plain service.
    reading: Reading,
    /// The engine from which it takes over what that one keeps.
    source: Option<server::Key>,
    /// How long its first event is expected to take; 0 if nothing is known.
    expected: Micros,
}

/// Which backend servers come into question.
#[derive(Clone, Copy, PartialEq)]
enum Scope {
    /// Those with a free place.
    Free,
    /// Those to be tried out.
    Probe,
}

impl Pool {
    /// Grants until no place is free or nobody may use it.
    pub(super) fn fill(&mut self, now: Micros, orders: &mut Vec<Order>) {
        self.probe(now, orders);
        while self.free(now) > 0 {
            let due = self.floor_due();
            let floor = due.and_then(|class| self.next_of_class(now, class));
            let reserved = floor.is_some();
            let Some(key) = floor.or_else(|| self.next(now)) else {
                break;
            };
            if !self.grant(now, key, Scope::Free, reserved, orders) {
                break;
            }
        }
    }

    /// The class whose reserved grant is due and not of the highest waiting tier.
    fn floor_due(&self) -> Option<ClassKey> {
        if !self.policy.switches.floor {
            return None;
        }
        let highest = self.queue.tiers().next()?;
        let classes = (0..self.policy.classes.len()).map(|at| ClassKey(at as u16));
        let mut due = classes.filter(|class| {
            let credit = self.credit[usize::from(class.0)];
            credit > 0.0
                && self.policy.tier(*class) > highest
                && self.next_cost(*class).is_some_and(|cost| credit >= cost)
        });
        due.next()
    }

    /// Expected tokens of the class's next request on its reserved capacity.
    fn next_cost(&self, class: ClassKey) -> Option<f64> {
        let waiting = self.waiting_at(self.queue.oldest_of(class)?)?;
        Some(self.cost(&waiting.ask))
    }

    /// Expected tokens still to be produced for a request.
    fn cost(&self, ask: &Ask) -> f64 {
        f64::from(self.lengths.remaining(ask.class, ask.workspace, ask.produced))
    }

    fn next_of_class(&self, now: Micros, class: ClassKey) -> Option<Key> {
        let key = self.queue.oldest_of(class)?;
        let workspace = self.waiting_at(key)?.ask.workspace;
        self.share.may_run(&self.policy, workspace, now).then_some(key)
    }

    /// The request whose turn it is: highest tier, least served workspace, earliest deadline
    /// among those that can still be met.
    fn next(&self, now: Micros) -> Option<Key> {
        let tiers: Vec<u8> = self.queue.tiers().collect();
        tiers.into_iter().find_map(|tier| self.next_in_tier(now, tier))
    }

    fn next_in_tier(&self, now: Micros, tier: u8) -> Option<Key> {
        if !self.policy.switches.fairness {
            return self.most_urgent(now, tier);
        }
        let late_turn = self.grants % LATE_EVERY == LATE_EVERY - 1;
        let reachable =
            if late_turn || !self.policy.switches.deadlines { 0 } else { now + self.first_token() };
        let in_time = self.least_served(now, tier, reachable);
        in_time.or_else(|| self.least_served(now, tier, 0))
    }

    /// Expected time from a grant to its first token.
    fn first_token(&self) -> Micros {
        let known = self.servers().filter_map(|(_, server)| server.known_first_token());
        let shortest = known.min_by(f64::total_cmp).unwrap_or(MILLISECOND as f64);
        (shortest * FIRST_TOKEN_MARGIN) as Micros
    }

    /// Of the workspaces that wait, least served first, the first that may run and has a request
    /// whose deadline is not before `reachable`: its most urgent one.
    fn least_served(&self, now: Micros, tier: u8, reachable: Micros) -> Option<Key> {
        let may_run = |workspace: &WorkspaceKey| self.share.may_run(&self.policy, *workspace, now);
        let most = if reachable > 0 { LOOK } else { usize::MAX };
        let workspaces = self.share.active(tier).filter(may_run).take(most);
        let mut keys = workspaces
            .filter_map(|workspace| self.queue.next_reachable(tier, workspace, reachable));
        keys.next()
    }

    /// The most urgent request of a tier, whatever its workspace has used.
    fn most_urgent(&self, now: Micros, tier: u8) -> Option<Key> {
        let workspaces = self.queue.workspaces(tier).map(|(workspace, _)| workspace);
        let may_run = workspaces.filter(|w| self.share.may_run(&self.policy, *w, now));
        let first = may_run.min_by_key(|w| self.queue.first_deadline(tier, *w))?;
        self.queue.next_reachable(tier, first, 0)
    }

    /// Sends a request to a backend server that is to be tried.
    fn probe(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if let Some(key) = self.next_probe(now) {
            self.grant(now, key, Scope::Probe, true, orders);
        }
    }

    /// The request for a probe that is due: a repeatable one of the lowest waiting tier. The
    /// highest tier is spared unless the probe is overdue. While no backend server is good there
    /// is nothing better for the request whose turn it is, repeatable or not.
    fn next_probe(&self, now: Micros) -> Option<Key> {
        let mut due = self.servers().filter(|(_, server)| server.may_probe(now)).peekable();
        due.peek()?;
        if self.outage().is_some() {
            return self.next(now);
        }
        let lowest = self.queue.tiers().last()?;
        let spared = lowest == self.policy.highest_tier();
        if spared && !due.any(|(_, server)| server.probe_overdue(now)) {
            return None;
        }
        let key = self.next_in_tier(now, lowest)?;
        self.waiting_at(key)?.ask.repeatable.then_some(key)
    }

    fn grant(
        &mut self,
        now: Micros,
        key: Key,
        scope: Scope,
        reserved: bool,
        orders: &mut Vec<Order>,
    ) -> bool {
        let Some(waiting) = self.waiting_at(key) else {
            return false;
        };
        let ask = waiting.ask.clone();
        let Some(Place { server, reading, source, expected }) = self.choose(now, &ask, scope)
        else {
            return false;
        };
        let Some(waiting) = self.remove_waiting(key) else {
            return false;
        };
        let choice = self.explain(&waiting.ask, server, scope, reserved);
        orders.push(Order::Grant {
            id: waiting.ask.id,
            entry: waiting.ask.entry,
            server,
            source,
            expected,
            choice,
            waited: now.saturating_sub(waiting.since),
        });
        self.grants += 1;
        let cost = self.cost(&waiting.ask);
        self.credit_floors(waiting.ask.class, cost, reserved);
        self.run(now, waiting, server, reading, reserved);
        true
    }

    fn explain(&self, ask: &Ask, server: server::Key, scope: Scope, reserved: bool) -> Choice {
        let holds = self.servers[usize::from(server.0)]
            .as_ref()
            .is_some_and(|server| server.holds(ask.prefix));
        match (scope, reserved, holds) {
            (Scope::Probe, _, _) => Choice::Probe,
            (_, true, _) => Choice::Floor,
            (_, _, true) => Choice::Prefix,
            _ => Choice::LeastLoaded,
        }
    }

    /// Credits the classes that wait with their part of a grant's expected tokens, and takes from
    /// the class what it was granted on its reserved capacity.
    fn credit_floors(&mut self, class: ClassKey, cost: f64, reserved: bool) {
        for at in 0..self.credit.len() {
            let every = self.policy.classes[at].floor_every;
            let waits = self.queue.class_len(ClassKey(at as u16)) > 0;
            if every == 0 || !waits {
                self.credit[at] = 0.0;
            } else if at != usize::from(class.0) {
                self.credit[at] += cost / f64::from(every);
            }
        }
        if reserved && let Some(credit) = self.credit.get_mut(usize::from(class.0)) {
            *credit = (*credit - cost).max(0.0);
        }
    }

    /// The cheapest backend server in scope, another than the one to avoid if there is one.
    fn choose(&mut self, now: Micros, ask: &Ask, scope: Scope) -> Option<Place> {
        if !ask.parts.is_empty() {
            return self.place(now, ask, scope);
        }
        let prefix = if self.policy.switches.affinity { ask.prefix } else { 0 };
        let usual = self.usual_gap();
        let mut best: Option<(bool, f64, server::Key)> = None;
        for (key, server) in self.servers() {
            if !fits(server, now, scope) {
                continue;
            }
            let avoided = ask.avoid == Some(key);
            let failing = server.failing(now).unwrap_or(0.0);
            let cost = server.cost(ask.prompt, prefix, usual) * (1.0 + FAILING * failing);
            let better = best.is_none_or(|(a, c, _)| (avoided, cost) < (a, c));
            if better {
                best = Some((avoided, cost, key));
            }
        }
        let (_, _, server) = best?;
        Some(Place { server, reading: Reading::default(), source: None, expected: 0 })
    }

    /// The engine in scope on which the request costs least, another than the one to avoid if there
    /// is one.
    fn place(&mut self, now: Micros, ask: &Ask, scope: Scope) -> Option<Place> {
        let work = self.work(now, ask);
        let again = self.kept_somewhere(&work);
        let source = self.policy.switches.sources.then(|| self.source(&work, ask.avoid)).flatten();
        let offered = source.map_or(0, |(tokens, _)| tokens);
        let patient_side = self.patient_side(now);
        let on_side = |key: server::Key| {
            patient_side
                .as_ref()
                .is_none_or(|side| side.binary_search(&key).is_ok() == work.patient)
        };
        let shared = work.shared().map_or(0.0, |part| f64::from(part.tokens));
        let usual_engine = again == 0 && self.policy.switches.usual_engine;
        let usual = if usual_engine { self.usual_engine(&work, on_side) } else { None };
        let away = self.policy.class(ask.class).first_token as f64 * AWAY;
        let mut best: Option<(bool, f64, server::Key, Reading)> = None;
        for (key, server) in self.servers() {
            if !fits(server, now, scope) {
                continue;
            }
            let reading = server.engine().reading(&work, again, offered);
            let avoided = ask.avoid == Some(key);
            let elsewhere = usual.is_some_and(|usual| usual != key);
            let strange = if elsewhere { shared * ELSEWHERE } else { 0.0 };
            let away = if self.crosses_zones(ask, server) { away } else { 0.0 };
            let cost = server.engine().cost(now, &work, reading, on_side(key)) + strange + away;
            if best.is_none_or(|(a, c, ..)| (avoided, cost) < (a, c)) {
                best = Some((avoided, cost, key, reading));
            }
        }
        let (_, _, server, reading) = best?;
        let source = source.filter(|_| reading.moved > 0).map(|(_, key)| key);
        let engine = self.servers[usize::from(server.0)].as_ref()?.engine();
        let expected = engine.wait(now) + engine.reading_time(reading) as Micros;
        let expected = if self.policy.switches.expected { expected } else { 0 };
        Some(Place { server, reading, source, expected })
    }

    /// Whether a stream that may not go on elsewhere would run in another availability zone than its
    /// entry's.
    fn crosses_zones(&self, ask: &Ask, server: &Server) -> bool {
        let zones = ask.zone.zip(server.zone());
        self.policy.switches.zones
            && !ask.repeatable
            && zones.is_some_and(|(entry, server)| entry != server)
    }

    fn work<'a>(&self, now: Micros, ask: &'a Ask) -> Work<'a> {
        let tightest = self.tightest_pause(now).unwrap_or(0);
        Work {
            parts: &ask.parts,
            prompt: ask.prompt,
            patient: self.patient(now, ask.class),
            tightest: if self.policy.switches.harm { tightest } else { 0 },
        }
    }

    /// The engine from which most of a prompt can be taken over, another than the one to avoid, with
    /// the tokens of that; of equal ones that which used them last.
    fn source(&self, work: &Work<'_>, avoid: Option<server::Key>) -> Option<(u32, server::Key)> {
        let engines = self.servers().filter(|(key, server)| {
            avoid != Some(*key) && !server.leaving() && server.next_probe().is_none()
        });
        let offers = engines.map(|(key, server)| (server.engine().offers(work), key));
        let ((tokens, _), key) = offers.max_by_key(|(offer, _)| *offer)?;
        (tokens > 0).then_some((tokens, key))
    }

    /// The engine on which the shared part of a prompt belongs as long as none keeps it.
    fn usual_engine(
        &self,
        work: &Work<'_>,
        on_side: impl Fn(server::Key) -> bool,
    ) -> Option<server::Key> {
        let part = work.shared()?;
        let engines = self.servers().filter(|(_, s)| !s.leaving() && s.next_probe().is_none());
        let engines = engines.filter(|(key, _)| on_side(*key));
        let weighed = engines.map(|(key, server)| (Engine::weight(part.id, server.rank()), key));
        weighed.max().map(|(_, key)| key)
    }

    /// The engines on the patient side in the order of their keys; `None` if there are no sides.
    ///
    /// Slow ones are the first, because on them even a prompt of a pressing class delays the tokens of
    /// others too long. Then availability zones take turns, so that each has engines on both sides.
    fn patient_side(&mut self, now: Micros) -> Option<Vec<server::Key>> {
        if !self.has_both_kinds(now) {
            return None;
        }
        let usual_read = self.usual_read();
        let engines = self.servers().filter(|(_, s)| !s.leaving() && s.next_probe().is_none());
        let mut engines: Vec<_> = engines
            .map(|(key, server)| (server.zone(), !is_slow(server, usual_read), server.rank(), key))
            .collect();
        engines.sort_unstable();
        let mut places: Vec<_> = engines
            .chunk_by(|a, b| (a.0, a.1) == (b.0, b.1))
            .flat_map(|zone| zone.iter().enumerate())
            .map(|(turn, (_, fast, rank, key))| (*fast, turn, *rank, *key))
            .collect();
        places.sort_unstable();
        let patient = self.border.patient(now, places.len());
        places.truncate(patient);
        let mut side: Vec<server::Key> = places.into_iter().map(|(.., key)| key).collect();
        side.sort_unstable();
        (patient > 0).then_some(side)
    }

    /// The median of the engines' shortest times to read a token.
    pub(super) fn usual_read(&self) -> Option<f64> {
        let seen = self.servers().filter_map(|(_, server)| server.engine().fastest());
        let mut seen: Vec<f64> = seen.collect();
        seen.sort_by(f64::total_cmp);
        seen.get(seen.len() / 2).copied()
    }

    /// Tokens at the beginning of a prompt that some engine keeps.
    fn kept_somewhere(&self, work: &Work<'_>) -> u32 {
        let engines = self.servers().filter(|(_, server)| !server.leaving());
        let kept = engines.map(|(_, server)| work.prompt - server.engine().to_read(work));
        kept.max().unwrap_or(0)
    }

    /// Mean time between tokens over the backend servers of which it was seen.
    fn usual_gap(&self) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        for (_, server) in self.servers() {
            if let Some(gap) = server.seen_gap() {
                sum += gap;
                count += 1.0;
            }
        }
        if count == 0.0 { MILLISECOND as f64 } else { sum / count }
    }

    /// Enters a granted request among those that run.
    pub(super) fn run(
        &mut self,
        now: Micros,
        waiting: Waiting,
        server: server::Key,
        reading: Reading,
        reserved: bool,
    ) {
        let Waiting { ask, tier, .. } = waiting;
        let charged = self.cost(&ask);
        let policy = self.policy.clone();
        let prompt = f64::from(ask.prompt);
        self.share.charge(&policy, tier, ask.workspace, prompt + charged);
        self.share.draw(&policy, ask.workspace, prompt, now);
        self.share.usage(ask.workspace).running += 1;
        let patient = self.patient(now, ask.class);
        if let Some(server) = self.server(server) {
            server.start(now, ask.prefix);
            let work = Work { parts: &ask.parts, prompt: ask.prompt, patient, tightest: 0 };
            let time = f64::from(reading.tokens) * server.engine().read_time();
            server.engine_mut().start(now, ask.id, &work, reading);
            self.border.note(now, patient, time);
        }
        let stoppable = ask.repeatable && !reserved && ask.preemptions < policy.preemptions;
        let id = ask.id;
        let running = Running {
            tier,
            server,
            granted: now,
            heard: now,
            started: false,
            produced: ask.produced,
            charged,
            reserved,
            stopping: false,
            patient,
            ask,
        };
        let key = Key(self.asks.insert(State::Running(running)) as u32);
        self.ids.insert(id, key);
        if stoppable {
            self.victims.entry(tier).or_default().insert((now, key));
        }
        if !reserved {
            *self.running_tiers.entry(tier).or_default() += 1;
        }
    }
}

/// Whether an engine reads more slowly than is usual in its pool.
fn is_slow(server: &Server, usual_read: Option<f64>) -> bool {
    let fastest = server.engine().fastest();
    fastest.zip(usual_read).is_some_and(|(own, usual)| own > usual * SLOW_READ)
}

fn fits(server: &Server, now: Micros, scope: Scope) -> bool {
    match scope {
        Scope::Free => server.free(now) > 0,
        Scope::Probe => server.may_probe(now),
    }
}
