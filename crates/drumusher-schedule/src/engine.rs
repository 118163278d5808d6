//! What a dispatcher believes of an engine that reads prompts piece by piece between the tokens of
//! others and keeps what it read.
//!
//! While an engine reads a long prompt, every stream beside it gets its tokens late. So requests
//! are told apart: *patient* ones, whose prompts delay the streams with the tightest pauses too long
//! and which bear longer pauses themselves, and *pressing* ones. Patient requests gather on some
//! engines and pressing ones on the others; how many engines are on either side follows from the
//! waits. A part of a prompt that one engine keeps draws the requests that share it there, because
//! reading it again elsewhere is work for nothing. Where the wait there is long, another engine takes
//! over what the first one keeps, which is much faster than reading it again.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ask::{Id, Part},
    time::{MILLISECOND, Micros, SECOND},
};

/// Time to read a token before one was seen, in microseconds.
pub(crate) const READ_UNKNOWN: f64 = 20.0;
/// Weight of a new sample in the mean time to read a token.
const SMOOTHING: f64 = 0.15;
/// A prompt with fewer tokens to read says little about the time to read one.
const ENOUGH_TOKENS: u32 = 1_500;
/// Growth of the shortest time seen at each sample, so that an engine that became slow is found out
/// within some tens of prompts.
const DRIFT: f64 = 1.01;
/// Bounds of the time to read a token, in microseconds.
const READ_BOUNDS: (f64, f64) = (1.0, 1_000.0);
/// Time to take a token over from another engine before that was seen, in microseconds: a quarter of
/// the time to read it. Links of 180 to 740 Gbit/s take 3.5 to 7.3.
const MOVE_UNKNOWN: f64 = 5.0;
/// Bounds of that time, in microseconds.
const MOVE_BOUNDS: (f64, f64) = (0.5, 1_000.0);
/// Tokens that take less than this to read, in microseconds, are not taken over: setting a copy up takes
/// 2.5 to 4 ms on today's engines, and queues behind others on both links.
const MOVE_LEAST: f64 = 10.0 * MILLISECOND as f64;
/// Weight of the time that taking a token over takes: the links of two engines are in use.
const MOVE_COUNTS: f64 = 2.0;
/// What reading a shared token again counts, in microseconds of waiting: much more than the time
/// it takes, because users count it as waste whether or not somebody waits.
const AGAIN: f64 = 400.0;
/// A prompt delays the streams beside it too long if reading all of it takes more than this part of
/// the tightest pause. A stream's own steps take up the rest of the pause. Of today's classes those with
/// short prompts take 0.2 to 0.4 of it, and those with long ones 0.9 to 1.5.
pub(crate) const DELAYING: f64 = 0.6;
/// What each pressing stream beside it counts for a patient request, in times that its prompt takes
/// to read: the longer the prompt, the longer their tokens come late.
const SENSITIVE_STREAM_WEIGHT: f64 = 2.0;
/// What a request counts on the other side of the border, in microseconds of waiting, on top of the
/// harm: about the tightest target of today's classes.
const WRONG_PARTITION_COST: f64 = 300.0 * MILLISECOND as f64;
/// What the time spent on patient prompts lately counts for a pressing request.
const TOLERANT_LOAD_WEIGHT: f64 = 2.0;
/// For how long patient requests are remembered at an engine, as the time constant of a decay.
const TOLERANT_DECAY_TIME: f64 = 3.0 * SECOND as f64;
/// What a running stream counts, in microseconds of waiting: tokens come slower beside others.
const BESIDE: f64 = MILLISECOND as f64;
/// Parts remembered of an engine.
const PARTS: usize = 8_192;

/// A first event is overdue after twice the time that its prompt is believed to take, and this: the
/// first tokens are made, and reports of them come every 50 ms.
const TOLERANCE: Micros = 150 * MILLISECOND;

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// The parts of the prompt.
    pub parts: &'a [Part],
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Whether it bears long pauses between events.
    pub tolerant: bool,
    /// The tightest pause between events that the classes in use bear.
    pub tightest: Micros,
}

/// How an engine comes by the tokens of a prompt that it does not keep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Tokens it reads.
    pub tokens: u32,
    /// Those among them that belong to shared parts another engine keeps.
    pub again: u32,
    /// Tokens it takes over from another engine.
    pub moved: u32,
}

/// A part of a prompt at an engine.
#[derive(Clone, Copy, Debug)]
struct Kept {
    /// When a request with it was placed here last.
    used: Micros,
    /// Whether it was read whole, so that another engine can take it over.
    whole: bool,
}

/// A request whose first event did not come yet.
#[derive(Clone, Debug)]
struct Pending {
    granted: Micros,
    reading: Reading,
    /// The parts of its prompt.
    parts: Vec<u64>,
    /// Whether others were before it, so that its wait says nothing about the time to read.
    queued: bool,
    /// When its prompt is believed to be read.
    done: Micros,
}

/// What is believed of one engine.
#[derive(Debug)]
pub struct Engine {
    kept: HashMap<u64, Kept>,
    pending: HashMap<Id, Pending>,
    read: f64,
    /// Time to take over a token.
    moving: f64,
    /// The shortest time to read a token that was seen lately: without others beside it.
    fastest: Option<f64>,
    sensitive: u32,
    running: u32,
    /// Time spent on patient prompts lately, decayed to `patient_at`.
    tolerant_load: f64,
    tolerant_at: Micros,
}

impl Work<'_> {
    /// The longest part that other requests may share: the last one is the request's own.
    pub fn shared(&self) -> Option<Part> {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().copied().max_by_key(|part| part.tokens)
    }
}

impl Default for Engine {
    fn default() -> Self {
        Engine::new()
    }
}

impl Engine {
    /// An engine of which nothing is known.
    pub fn new() -> Self {
        Engine {
            kept: HashMap::new(),
            pending: HashMap::new(),
            read: READ_UNKNOWN,
            moving: MOVE_UNKNOWN,
            fastest: None,
            sensitive: 0,
            running: 0,
            tolerant_load: 0.0,
            tolerant_at: 0,
        }
    }

    /// Microseconds to read a token.
    pub fn read_time(&self) -> f64 {
        self.read
    }

    /// The shortest time to read a token that was seen lately, in microseconds.
    pub fn fastest(&self) -> Option<f64> {
        self.fastest
    }

    /// Whether it keeps a part.
    pub fn keeps(&self, part: u64) -> bool {
        self.kept.contains_key(&part)
    }

    /// It told that it keeps these parts.
    pub fn keep(&mut self, now: Micros, parts: &[u64]) {
        for part in parts {
            self.kept.insert(*part, Kept { used: now, whole: true });
        }
        self.forget_oldest();
    }

    /// Tokens of a prompt that it does not keep: from the first part that it does not keep.
    pub fn to_read(&self, work: &Work<'_>) -> u32 {
        let kept = work.parts.iter().take_while(|part| self.keeps(part.id));
        work.prompt.saturating_sub(kept.map(|part| part.tokens).sum())
    }

    /// Tokens at the beginning of a prompt that another engine can take over from here, and when the
    /// last of their parts was used.
    pub fn offers(&self, work: &Work<'_>) -> (u32, Micros) {
        let kept = work.parts.iter().map_while(|part| {
            let kept = self.kept.get(&part.id).filter(|kept| kept.whole)?;
            Some((part.tokens, kept.used))
        });
        kept.fold((0, Micros::MAX), |(sum, oldest), (tokens, used)| {
            (sum + tokens, oldest.min(used))
        })
    }

    /// How it comes by a prompt of which other engines keep `again` tokens and one offers `offered`.
    pub fn reading(&self, work: &Work<'_>, again: u32, offered: u32) -> Reading {
        let missing = self.to_read(work);
        let kept = work.prompt.saturating_sub(missing);
        let moved = offered.saturating_sub(kept);
        let moved = if f64::from(moved) * self.read < MOVE_LEAST { 0 } else { moved };
        Reading {
            tokens: missing.saturating_sub(moved),
            again: again.saturating_sub(kept + moved),
            moved,
        }
    }

    /// The time that takes, in microseconds.
    pub fn reading_time(&self, reading: Reading) -> f64 {
        f64::from(reading.tokens) * self.read + f64::from(reading.moved) * self.moving
    }

    /// The weight of the engine of a rank for a part that none keeps. All dispatchers compute it
    /// alike, so that a new one places requests as the last one did.
    pub fn weight(part: u64, rank: u64) -> u64 {
        xxh3_64_with_seed(&part.to_be_bytes(), rank)
    }

    /// Time until the prompts it was given are read. One that is overdue is expected to take as long
    /// again, so that an engine that became slow or silent draws nothing more.
    pub fn wait(&self, now: Micros) -> Micros {
        let done = self.pending.values().map(|pending| pending.done).max().unwrap_or(0);
        done.saturating_sub(now).max(self.overdue(now))
    }

    /// For how long the first event of a request has been overdue.
    fn overdue(&self, now: Micros) -> Micros {
        let due = |pending: &Pending| pending.done + (pending.done - pending.granted) + TOLERANCE;
        let first = self.pending.values().map(due).min().unwrap_or(now);
        now.saturating_sub(first)
    }

    /// What placing a request here costs, in microseconds of waiting.
    /// `own_side` tells whether it is on the request's side of the border.
    pub fn cost(&self, now: Micros, work: &Work<'_>, reading: Reading, in_partition: bool) -> f64 {
        let waiting = self.wait(now) as f64 + self.reading_time(reading);
        let again = f64::from(reading.again) * AGAIN;
        let moved = f64::from(reading.moved) * self.moving * (MOVE_COUNTS - 1.0);
        let beside = f64::from(self.running) * BESIDE;
        let apart = if work.tolerant {
            self.harm(waiting, work, reading)
        } else {
            self.recent_tolerant_load(now) * if in_partition { 0.0 } else { TOLERANT_LOAD_WEIGHT }
        };
        let side = if in_partition { 0.0 } else { WRONG_PARTITION_COST };
        waiting + again + moved + beside + apart + side
    }

    /// What a patient prompt does to the pressing streams beside it: nothing if it and those before
    /// it are read within a part of the pause that they bear. So a burst of long prompts may use the
    /// engines of both sides.
    fn harm(&self, waiting: f64, work: &Work<'_>, reading: Reading) -> f64 {
        if waiting <= work.tightest as f64 * DELAYING {
            return 0.0;
        }
        f64::from(self.sensitive) * self.reading_time(reading) * SENSITIVE_STREAM_WEIGHT
    }

    fn recent_tolerant_load(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.tolerant_at) as f64;
        self.tolerant_load * (-age / TOLERANT_DECAY_TIME).exp()
    }

    /// A request was placed here.
    pub fn start(&mut self, now: Micros, id: Id, work: &Work<'_>, reading: Reading) {
        let time = self.reading_time(reading) as Micros;
        let wait = self.wait(now);
        let parts = work.parts.iter().map(|part| part.id).collect();
        let (queued, done) = (wait > 0, now + wait + time);
        self.pending.insert(id, Pending { granted: now, reading, parts, queued, done });
        self.running += 1;
        if work.tolerant {
            self.tolerant_load = self.recent_tolerant_load(now) + time as f64;
            self.tolerant_at = now;
        } else {
            self.sensitive += 1;
        }
        for part in work.parts {
            let whole = self.kept.get(&part.id).is_some_and(|kept| kept.whole);
            self.kept.insert(part.id, Kept { used: now, whole });
        }
        self.forget_oldest();
    }

    fn forget_oldest(&mut self) {
        if self.kept.len() <= PARTS {
            return;
        }
        let sum: u128 = self.kept.values().map(|kept| u128::from(kept.used)).sum();
        let middle = (sum / self.kept.len() as u128) as Micros;
        self.kept.retain(|_, kept| kept.used >= middle);
    }

    /// The first event of a request came `first` after it was handed over.
    pub fn first_event(&mut self, id: Id, first: Micros) {
        let Some(pending) = self.read_whole(id) else {
            return;
        };
        let Reading { tokens, moved, .. } = pending.reading;
        if pending.queued {
            return;
        }
        if moved > 0 {
            self.learn_move(first as f64 - f64::from(tokens) * self.read, moved);
            return;
        }
        if tokens < ENOUGH_TOKENS {
            return;
        }
        let seen = first as f64 / f64::from(tokens);
        let seen = seen.clamp(READ_BOUNDS.0, READ_BOUNDS.1);
        self.read += (seen - self.read) * SMOOTHING;
        self.fastest = Some(self.fastest.map_or(seen, |fastest| seen.min(fastest * DRIFT)));
    }

    /// Taking over `moved` tokens took `time` microseconds.
    fn learn_move(&mut self, time: f64, moved: u32) {
        let seen = (time / f64::from(moved)).clamp(MOVE_BOUNDS.0, MOVE_BOUNDS.1);
        self.moving += (seen - self.moving) * SMOOTHING;
    }

    /// The prompt of a request was read.
    fn read_whole(&mut self, id: Id) -> Option<Pending> {
        let pending = self.pending.remove(&id)?;
        for part in &pending.parts {
            self.kept.insert(*part, Kept { used: pending.granted, whole: true });
        }
        Some(pending)
    }

    /// A request that another dispatcher placed here has its first event already.
    pub fn begun(&mut self, id: Id) {
        self.read_whole(id);
    }

    /// A request ended. What was not read until then may be missing.
    pub fn end(&mut self, id: Id, tolerant: bool) {
        if let Some(pending) = self.pending.remove(&id) {
            for part in &pending.parts {
                if self.kept.get(part).is_some_and(|kept| !kept.whole) {
                    self.kept.remove(part);
                }
            }
        }
        self.running = self.running.saturating_sub(1);
        if !tolerant {
            self.sensitive = self.sensitive.saturating_sub(1);
        }
    }

    /// Since when the request that waits longest for its first event was given to it.
    pub fn longest_pending(&self) -> Option<Micros> {
        self.pending.values().map(|pending| pending.granted).min()
    }
}
