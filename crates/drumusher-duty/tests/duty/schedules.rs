//! The lease over random schedules: the platform sees one holder at a time, whatever messages are delayed, lost or
//! applied late, whichever instances freeze or restart, and whenever the store is restored from a backup.
//!
//! These mechanisms are guarded; the schedules were also run with each of them removed by hand: the safety margin,
//! the wait of the successor, counting a lease from the sending of its renewal, the gap between two terms of one
//! instance, reading the register before the next replacement, and the wait after a restore.

use drumusher_duty::{
    lease::{Holder, Lease, Options, Replaced, State, Step, Version},
    time::{MILLISECOND, Micros, SECOND},
};
use drumusher_log::position::Position;
use proptest::prelude::*;

const INSTANCES: usize = 4;
const LENGTH: Micros = 3 * SECOND;
/// Longest duration of a call of a duty.
const WITHIN: Micros = 700 * MILLISECOND;
/// Longest delay of a thread between reading the clock and sending a call.
const MAX_SEND_DELAY: Micros = 300 * MILLISECOND;
/// Maximum age of a backup from which the store is restored.
const MAX_BACKUP_AGE: Micros = 8 * SECOND;
/// Duration of a schedule.
const DURATION: Micros = 60 * SECOND;

/// Random number generator (xorshift).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn below(&mut self, most: u64) -> u64 {
        self.next() % most.max(1)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// A scheduled event.
enum Event {
    /// An instance takes its next step.
    Step(usize, u64),
    /// A replacement arrives at the store.
    Arrive { by: usize, boot: u64, sent: Micros, expect: Position, state: State, answered: bool },
    /// The outcome of a replacement arrives at its instance, or the instance times out.
    Answer { by: usize, boot: u64, sent: Micros, expect: Position, state: State, how: Replaced },
    /// The answer to a read arrives at its instance.
    Read { by: usize, boot: u64, version: Version },
    /// A call arrives at the platform.
    Call { by: usize, token: u64 },
    /// A call ended.
    CallEnded { by: usize, boot: u64 },
}

/// A call as the platform received it.
#[derive(Clone, Copy, Debug)]
struct Call {
    at: Micros,
    by: usize,
    token: u64,
}

/// A simulation of the instances, the store and the platform.
struct Simulation {
    random: Random,
    events: Vec<(Micros, u64, Event)>,
    /// Number of the latest scheduled event, to order events at the same time.
    number: u64,
    register: Version,
    /// Earlier versions of the register, each with the time at which it was replaced.
    replaced: Vec<(Micros, Version)>,
    /// Whether the store may be restored from a backup.
    restores: bool,
    leases: Vec<(Lease, u64)>,
    /// Until when each instance is frozen.
    frozen_until: [Micros; INSTANCES],
    /// Until when the store is unavailable.
    unavailable_until: Micros,
    calls: Vec<Call>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let register = Version { end: Position::default(), state: State::default() };
        let leases = (0..INSTANCES).map(|by| (new_lease(by, 0, 0), 0)).collect();
        let mut simulation = Simulation {
            random: Random(seed | 1),
            events: Vec::new(),
            number: 0,
            register,
            replaced: Vec::new(),
            restores: false,
            leases,
            frozen_until: [0; INSTANCES],
            unavailable_until: 0,
            calls: Vec::new(),
        };
        (0..INSTANCES).for_each(|by| simulation.schedule(0, Event::Step(by, 0)));
        simulation
    }

    /// Restores the store from a backup now and then.
    fn with_restores(mut self) -> Self {
        self.restores = true;
        self.register.end.era = 1;
        self
    }

    /// Restores the store from a backup that is some seconds old.
    fn restore(&mut self, now: Micros) {
        let backup_at = now.saturating_sub(self.random.below(MAX_BACKUP_AGE));
        let mut later = self.replaced.iter().filter(|(at, _)| *at > backup_at);
        let backup = later.next().map_or(self.register.clone(), |(_, version)| version.clone());
        let end = Position::new(self.register.end.era + 1, backup.end.offset);
        let restored = Version { end, state: backup.state };
        self.replace(now, restored);
    }

    fn replace(&mut self, now: Micros, version: Version) {
        let before = std::mem::replace(&mut self.register, version);
        self.replaced.push((now, before));
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.events.push((at, self.number, event));
    }

    fn run(mut self) -> Vec<Call> {
        loop {
            let next =
                (0..self.events.len()).min_by_key(|at| (self.events[*at].0, self.events[*at].1));
            let Some(next) = next else { return self.calls };
            let (now, _, event) = self.events.swap_remove(next);
            if now > DURATION {
                return self.calls;
            }
            self.handle(now, event);
        }
    }

    fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::Step(by, boot) if self.leases[by].1 == boot => self.step(now, by),
            Event::Arrive { by, boot, sent, expect, state, answered } => {
                let end = self.register.end;
                let done = end.offset == expect.offset && now >= self.unavailable_until;
                if done {
                    self.replace(now, Version { end: end.advance(1), state: state.clone() });
                }
                let how = match done {
                    _ if !answered || now < self.unavailable_until => Replaced::Unknown,
                    true if end.era != expect.era => Replaced::Unknown,
                    true => Replaced::Done,
                    false => Replaced::Outdated,
                };
                let back =
                    if how == Replaced::Unknown { SECOND } else { self.random.below(WITHIN) };
                self.schedule(now + back, Event::Answer { by, boot, sent, expect, state, how });
            }
            Event::Answer { by, boot, sent, expect, state, how } if self.leases[by].1 == boot => {
                let now = now.max(self.frozen_until[by]);
                self.leases[by].0.replaced(now, sent, expect, state, how);
                self.schedule(now, Event::Step(by, boot));
            }
            Event::Read { by, boot, version } if self.leases[by].1 == boot => {
                let now = now.max(self.frozen_until[by]);
                self.leases[by].0.read(now, version);
                self.schedule(now, Event::Step(by, boot));
            }
            Event::Call { by, token } => self.calls.push(Call { at: now, by, token }),
            Event::CallEnded { by, boot } if self.leases[by].1 == boot => {
                let now = now.max(self.frozen_until[by]);
                self.leases[by].0.call_ended(now);
                self.schedule(now, Event::Step(by, boot));
            }
            _ => {}
        }
    }

    /// Takes the next step of an instance, unless it freezes or restarts.
    fn step(&mut self, now: Micros, by: usize) {
        let boot = self.leases[by].1;
        if now < self.frozen_until[by] {
            return self.schedule(self.frozen_until[by], Event::Step(by, boot));
        }
        match self.random.below(400) {
            0 => {
                self.frozen_until[by] = now + self.random.below(6 * SECOND);
                return self.schedule(self.frozen_until[by], Event::Step(by, boot));
            }
            1 => {
                self.leases[by] = (new_lease(by, boot + 1, now), boot + 1);
                return self.schedule(now, Event::Step(by, boot + 1));
            }
            2 => self.unavailable_until = now + self.random.below(5 * SECOND),
            3 if self.restores => self.restore(now),
            _ => {}
        }
        let leave = self.random.chance(2);
        let lease = &self.leases[by].0;
        let usage = lease.usage().cloned().unwrap_or_default();
        if let Some(pass) = lease.permit(now, WITHIN)
            && self.random.chance(60)
        {
            let delay = self.random.below(MAX_SEND_DELAY);
            let arrives = now + delay + self.random.below(WITHIN);
            self.schedule(arrives, Event::Call { by, token: pass.token });
            self.schedule(arrives, Event::CallEnded { by, boot });
            return;
        }
        match lease.next(now, &usage, leave) {
            Step::Wait(until) => {
                let least = self.random.below(300 * MILLISECOND) + MILLISECOND;
                self.schedule(until.min(now + least).max(now + MILLISECOND), Event::Step(by, boot));
            }
            Step::Read => {
                let version = self.register.clone();
                let back = now + self.random.below(WITHIN);
                if now < self.unavailable_until || self.random.chance(5) {
                    self.leases[by].0.read_failed(now);
                    return self.schedule(back, Event::Step(by, boot));
                }
                self.schedule(back, Event::Read { by, boot, version });
            }
            Step::Replace { expect, state } => {
                // Some replacements are applied seconds later, without an answer.
                let late = self.random.chance(10);
                let travel =
                    if late { self.random.below(6 * SECOND) } else { self.random.below(WITHIN) };
                let answered = !late && !self.random.chance(15);
                if late {
                    let how = Replaced::Unknown;
                    let state = state.clone();
                    self.schedule(
                        now + SECOND,
                        Event::Answer { by, boot, sent: now, expect, state, how },
                    );
                }
                let answered_boot = if late { u64::MAX } else { boot };
                let event =
                    Event::Arrive { by, boot: answered_boot, sent: now, expect, state, answered };
                self.schedule(now + travel, event);
            }
        }
    }
}

fn new_lease(by: usize, boot: u64, started: Micros) -> Lease {
    let own = Holder { name: format!("i{by}"), boot };
    Lease::new(own, Options { length: LENGTH, min_gap: LENGTH }, started)
}

/// The violation of the platform's rules in a sequence of calls, if there is one.
fn violation(calls: &[Call]) -> Option<String> {
    for pair in calls.windows(2) {
        if pair[1].token < pair[0].token {
            return Some(format!("a token lower than an earlier one: {pair:?}"));
        }
        if pair[1].token == pair[0].token && pair[1].by != pair[0].by {
            return Some(format!("two holders with the same token: {pair:?}"));
        }
    }
    for (at, call) in calls.iter().enumerate() {
        let between = calls[..at].iter().rposition(|other| other.by != call.by);
        let before = between.and_then(|b| calls[..b].iter().rfind(|other| other.by == call.by));
        if let Some(before) = before
            && call.at < before.at + LENGTH
        {
            return Some(format!(
                "an instance returned too soon after another one: {before:?} to {call:?}"
            ));
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn the_platform_sees_one_holder_at_a_time(seed in any::<u64>()) {
        let calls = Simulation::new(seed).run();
        prop_assert_eq!(violation(&calls), None, "of {} calls", calls.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn the_platform_sees_one_holder_at_a_time_over_restores(seed in any::<u64>()) {
        let calls = Simulation::new(seed).with_restores().run();
        prop_assert_eq!(violation(&calls), None, "of {} calls", calls.len());
    }
}

/// An instance may make calls regularly although the store is restored from backups.
#[test]
fn duties_are_performed_over_restores() {
    let run = |seed: u64| Simulation::new(seed * 7_919).with_restores().run().len();
    let calls: usize = (1..40).map(run).sum();
    assert!(calls > 39 * 20, "{calls} calls in 39 minutes");
}

/// Over these schedules an instance may make calls for most of the time, and the holder changes.
#[test]
fn duties_are_performed() {
    let runs: Vec<Vec<Call>> = (1..40).map(|seed| Simulation::new(seed * 7_919).run()).collect();
    let calls: usize = runs.iter().map(Vec::len).sum();
    let changes: usize =
        runs.iter().map(|calls| calls.windows(2).filter(|w| w[0].by != w[1].by).count()).sum();
    assert!(calls > 39 * 40, "{calls} calls in {} minutes", runs.len());
    assert!(changes > 39, "{changes} changes of the holder");
}

/// Guards against a holder that released the lease, got no answer, and continued for the rest of the lease while
/// another instance had already taken it.
#[test]
fn a_holder_stops_when_its_release_is_not_answered() {
    assert_eq!(violation(&Simulation::new(7_990_032_816_552_247_000).run()), None);
}
