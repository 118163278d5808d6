//! Holding over random schedules: whatever is delayed, lost, done late, frozen or started again, and whenever the store
//! comes back from a copy, the platform sees one holder at a time.
//!
//! Guards, each played without it by hand: the margin, the wait of the successor, counting from the sending, the
//! pause between two spells of one instance, the look at the register before the next replacement, and the wait for a
//! foreign version.

use drumusher_duty::{
    lease::{Holder, Lease, Options, Replaced, State, Step, Version},
    time::{MILLISECOND, Micros, SECOND},
};
use drumusher_log::position::Position;
use proptest::prelude::*;

const INSTANCES: usize = 4;
const LENGTH: Micros = 3 * SECOND;
/// Longest time of a call of a duty.
const WITHIN: Micros = 700 * MILLISECOND;
/// For how long a thread may be put off between its look at the clock and the sending.
const PUT_OFF: Micros = 300 * MILLISECOND;
/// Greatest age of a copy from which the store comes back.
const COPY_AGE: Micros = 8 * SECOND;
/// How long a schedule lasts.
const SPAN: Micros = 60 * SECOND;

/// Numbers drawn from a seed (xorshift).
struct Draw(u64);

impl Draw {
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

/// What is under way.
enum Under {
    /// An instance looks what to do.
    Turn(usize, u64),
    /// A replacement arrives at the store.
    Arrive { by: usize, boot: u64, sent: Micros, expect: Position, state: State, answered: bool },
    /// The outcome of a replacement, or the time at which it is given up.
    Answer { by: usize, boot: u64, sent: Micros, expect: Position, state: State, how: Replaced },
    /// A read comes back.
    Read { by: usize, boot: u64, version: Version },
    /// A call arrives at the platform.
    Act { by: usize, token: u64 },
    /// A call ended.
    Acted { by: usize, boot: u64 },
}

/// A call as the platform saw it.
#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Micros,
    by: usize,
    token: u64,
}

struct World {
    draw: Draw,
    events: Vec<(Micros, u64, Under)>,
    number: u64,
    register: Version,
    /// Earlier versions of the register, with the time at which each was replaced.
    replaced: Vec<(Micros, Version)>,
    /// Whether the store may come back from a copy.
    restores: bool,
    leases: Vec<(Lease, u64)>,
    /// Until when each instance stands still.
    frozen: [Micros; INSTANCES],
    /// Until when the store is away.
    away: Micros,
    seen: Vec<Seen>,
}

impl World {
    fn new(seed: u64) -> Self {
        let register = Version { end: Position::default(), state: State::default() };
        let leases = (0..INSTANCES).map(|by| (new_lease(by, 0, 0), 0)).collect();
        let mut world = World {
            draw: Draw(seed | 1),
            events: Vec::new(),
            number: 0,
            register,
            replaced: Vec::new(),
            restores: false,
            leases,
            frozen: [0; INSTANCES],
            away: 0,
            seen: Vec::new(),
        };
        (0..INSTANCES).for_each(|by| world.at(0, Under::Turn(by, 0)));
        world
    }

    /// The store comes back from copies now and then.
    fn with_restores(mut self) -> Self {
        self.restores = true;
        self.register.end.era = 1;
        self
    }

    /// The store comes back from a copy of some seconds before.
    fn restore(&mut self, now: Micros) {
        let copied = now.saturating_sub(self.draw.below(COPY_AGE));
        let mut later = self.replaced.iter().filter(|(at, _)| *at > copied);
        let copy = later.next().map_or(self.register.clone(), |(_, version)| version.clone());
        let end = Position::new(self.register.end.era + 1, copy.end.offset);
        let restored = Version { end, state: copy.state };
        self.replace(now, restored);
    }

    fn replace(&mut self, now: Micros, version: Version) {
        let before = std::mem::replace(&mut self.register, version);
        self.replaced.push((now, before));
    }

    fn at(&mut self, at: Micros, under: Under) {
        self.number += 1;
        self.events.push((at, self.number, under));
    }

    fn play(mut self) -> Vec<Seen> {
        loop {
            let next =
                (0..self.events.len()).min_by_key(|at| (self.events[*at].0, self.events[*at].1));
            let Some(next) = next else { return self.seen };
            let (now, _, under) = self.events.swap_remove(next);
            if now > SPAN {
                return self.seen;
            }
            self.happen(now, under);
        }
    }

    fn happen(&mut self, now: Micros, under: Under) {
        match under {
            Under::Turn(by, boot) if self.leases[by].1 == boot => self.turn(now, by),
            Under::Arrive { by, boot, sent, expect, state, answered } => {
                let end = self.register.end;
                let done = end.offset == expect.offset && now >= self.away;
                if done {
                    self.replace(now, Version { end: end.advance(1), state: state.clone() });
                }
                let how = match done {
                    _ if !answered || now < self.away => Replaced::Unknown,
                    true if end.era != expect.era => Replaced::Unknown,
                    true => Replaced::Done,
                    false => Replaced::Outdated,
                };
                let back = if how == Replaced::Unknown { SECOND } else { self.draw.below(WITHIN) };
                self.at(now + back, Under::Answer { by, boot, sent, expect, state, how });
            }
            Under::Answer { by, boot, sent, expect, state, how } if self.leases[by].1 == boot => {
                let now = now.max(self.frozen[by]);
                self.leases[by].0.replaced(now, sent, expect, state, how);
                self.at(now, Under::Turn(by, boot));
            }
            Under::Read { by, boot, version } if self.leases[by].1 == boot => {
                let now = now.max(self.frozen[by]);
                self.leases[by].0.read(now, version);
                self.at(now, Under::Turn(by, boot));
            }
            Under::Act { by, token } => self.seen.push(Seen { at: now, by, token }),
            Under::Acted { by, boot } if self.leases[by].1 == boot => {
                let now = now.max(self.frozen[by]);
                self.leases[by].0.acted(now);
                self.at(now, Under::Turn(by, boot));
            }
            _ => {}
        }
    }

    /// An instance looks what to do, unless something befalls it.
    fn turn(&mut self, now: Micros, by: usize) {
        let boot = self.leases[by].1;
        if now < self.frozen[by] {
            return self.at(self.frozen[by], Under::Turn(by, boot));
        }
        match self.draw.below(400) {
            0 => {
                self.frozen[by] = now + self.draw.below(6 * SECOND);
                return self.at(self.frozen[by], Under::Turn(by, boot));
            }
            1 => {
                self.leases[by] = (new_lease(by, boot + 1, now), boot + 1);
                return self.at(now, Under::Turn(by, boot + 1));
            }
            2 => self.away = now + self.draw.below(5 * SECOND),
            3 if self.restores => self.restore(now),
            _ => {}
        }
        let leave = self.draw.chance(2);
        let lease = &self.leases[by].0;
        let usage = lease.usage().cloned().unwrap_or_default();
        if let Some(pass) = lease.permit(now, WITHIN)
            && self.draw.chance(60)
        {
            let put_off = self.draw.below(PUT_OFF);
            let arrives = now + put_off + self.draw.below(WITHIN);
            self.at(arrives, Under::Act { by, token: pass.token });
            self.at(arrives, Under::Acted { by, boot });
            return;
        }
        match lease.next(now, &usage, leave) {
            Step::Wait(until) => {
                let least = self.draw.below(300 * MILLISECOND) + MILLISECOND;
                self.at(until.min(now + least).max(now + MILLISECOND), Under::Turn(by, boot));
            }
            Step::Look => {
                let version = self.register.clone();
                let back = now + self.draw.below(WITHIN);
                if now < self.away || self.draw.chance(5) {
                    self.leases[by].0.failed(now);
                    return self.at(back, Under::Turn(by, boot));
                }
                self.at(back, Under::Read { by, boot, version });
            }
            Step::Replace { expect, state } => {
                // Some are done seconds later, with nobody told.
                let late = self.draw.chance(10);
                let travel =
                    if late { self.draw.below(6 * SECOND) } else { self.draw.below(WITHIN) };
                let answered = !late && !self.draw.chance(15);
                if late {
                    let how = Replaced::Unknown;
                    let state = state.clone();
                    self.at(
                        now + SECOND,
                        Under::Answer { by, boot, sent: now, expect, state, how },
                    );
                }
                let boot_told = if late { u64::MAX } else { boot };
                let under =
                    Under::Arrive { by, boot: boot_told, sent: now, expect, state, answered };
                self.at(now + travel, under);
            }
        }
    }
}

fn new_lease(by: usize, boot: u64, started: Micros) -> Lease {
    let own = Holder { name: format!("i{by}"), boot };
    Lease::new(own, Options { length: LENGTH, min_gap: LENGTH }, started)
}

/// What the platform holds against a sequence of calls, if anything.
fn fault(seen: &[Seen]) -> Option<String> {
    for pair in seen.windows(2) {
        if pair[1].token < pair[0].token {
            return Some(format!("a token lower than one before: {pair:?}"));
        }
        if pair[1].token == pair[0].token && pair[1].by != pair[0].by {
            return Some(format!("two holders with one token: {pair:?}"));
        }
    }
    for (at, call) in seen.iter().enumerate() {
        let between = seen[..at].iter().rposition(|other| other.by != call.by);
        let before = between.and_then(|b| seen[..b].iter().rfind(|other| other.by == call.by));
        if let Some(before) = before
            && call.at < before.at + LENGTH
        {
            return Some(format!("one, another, and the one again: {before:?} to {call:?}"));
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn the_platform_sees_one_holder_at_a_time(seed in any::<u64>()) {
        let seen = World::new(seed).play();
        prop_assert_eq!(fault(&seen), None, "of {} calls", seen.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn the_platform_sees_one_holder_at_a_time_over_restores(seed in any::<u64>()) {
        let seen = World::new(seed).with_restores().play();
        prop_assert_eq!(fault(&seen), None, "of {} calls", seen.len());
    }
}

/// The same where the store comes back from copies.
#[test]
fn duties_are_done_over_restores() {
    let play = |seed: u64| World::new(seed * 7_919).with_restores().play().len();
    let calls: usize = (1..40).map(play).sum();
    assert!(calls > 39 * 20, "{calls} calls in 39 minutes");
}

/// The duties are done: over these schedules an instance may act for most of the time, and holders change.
#[test]
fn duties_are_done() {
    let plays: Vec<Vec<Seen>> = (1..40).map(|seed| World::new(seed * 7_919).play()).collect();
    let calls: usize = plays.iter().map(Vec::len).sum();
    let changes: usize =
        plays.iter().map(|seen| seen.windows(2).filter(|w| w[0].by != w[1].by).count()).sum();
    assert!(calls > 39 * 40, "{calls} calls in {} minutes", plays.len());
    assert!(changes > 39, "{changes} changes of the holder");
}

/// One gave the lease up, the answer to that was lost, and it went on for as long as the lease would have lasted
/// while another had taken it.
#[test]
fn one_that_gave_the_lease_up_without_an_answer_has_stopped() {
    assert_eq!(fault(&World::new(7_990_032_816_552_247_000).play()), None);
}
