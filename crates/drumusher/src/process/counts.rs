//! Requests and repeats by the time at which they were sent, for the bound on repeats. Without I/O.
//!
//! The bound is over any window of time: its repeats may be a share of the requests of that window, of the one before it
//! or of the one half a window before, whichever has most, and a fixed number. Counts are kept in parts of the window. Of a
//! part that lies in a window with an end alone all repeats count, and no request.

use std::collections::VecDeque;

use drumusher_schedule::time::Micros;

/// Parts of a window. With 20 of them a share is taken of 19 parts in 20 of the requests at least.
const PARTS: u64 = 20;

/// What products of two numbers may be off by, with some thousands of requests.
const ROUNDING: f64 = 1e-6;

/// What was counted in a part of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bucket {
    /// How many parts before the latest one it lies.
    pub age: u64,
    /// Requests that were asked for the first time.
    pub requests: u32,
    /// Repeats that were sent.
    pub repeats: u32,
}

/// The counts of the latest two windows.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Length of a part.
    length: Micros,
    /// By the number of the part since the beginning of the clock.
    parts: VecDeque<(u64, Bucket)>,
}

impl Counts {
    /// Nothing was counted yet; `window` is the window of the bound.
    pub fn new(window: Micros) -> Self {
        Counts { length: (window / PARTS).max(1), parts: VecDeque::new() }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Micros) {
        self.part(now).requests += 1;
    }

    /// Counts repeats.
    pub fn repeat(&mut self, now: Micros, count: u32) {
        self.part(now).repeats += count;
    }

    /// Adds what others counted.
    pub fn add(&mut self, now: Micros, other: &Counts) {
        for part in other.told(now) {
            self.bring(now, part);
        }
    }

    /// Adds a part that was counted elsewhere, unless it matters no more. Another instance may say anything.
    pub fn bring(&mut self, now: Micros, part: Bucket) {
        let age = Some(part.age).filter(|age| *age <= 2 * PARTS);
        let Some(number) = age.and_then(|age| self.number(now).checked_sub(age)) else { return };
        let at = match self.parts.binary_search_by_key(&number, |(number, _)| *number) {
            Ok(at) => at,
            Err(at) => {
                self.parts.insert(at, (number, Bucket::default()));
                at
            }
        };
        let known = &mut self.parts[at].1;
        known.requests = known.requests.saturating_add(part.requests);
        known.repeats = known.repeats.saturating_add(part.repeats);
    }

    /// The parts that may still matter, each with its age.
    pub fn told(&self, now: Micros) -> impl Iterator<Item = Bucket> {
        let number = self.number(now);
        let kept = self.parts.iter().filter(move |(at, _)| at + 2 * PARTS >= number);
        kept.map(move |(at, part)| Bucket { age: number.saturating_sub(*at), ..*part })
    }

    /// The most repeats, over all windows that are not over, beyond what their requests allow at `ratio` for each, rounded
    /// up; below zero if there are fewer in each. What is rounded is less than one repeat, which the unused part of the
    /// fixed number covers; without it a service of a few requests would have none of its share.
    pub fn beyond(&self, now: Micros, ratio: f64) -> f64 {
        // Counts of the parts of two windows and the present one, oldest first, and their sums up to each of them.
        let mut requests = [0.0; 2 * PARTS as usize + 2];
        let mut repeats = requests;
        let last = 2 * PARTS as usize;
        for part in self.told(now) {
            let at = last.saturating_sub(part.age as usize);
            requests[at + 1] += f64::from(part.requests);
            repeats[at + 1] += f64::from(part.repeats);
        }
        for at in 1..requests.len() {
            requests[at] += requests[at - 1];
            repeats[at] += repeats[at - 1];
        }
        // The sum from a part to another one, both included.
        let sum = |sums: &[f64], from: usize, to: usize| {
            if from > to { 0.0 } else { sums[to.min(last) + 1] - sums[from] }
        };
        let (window, half) = (PARTS as usize, PARTS as usize / 2);
        let beyond = (last - window..=last).map(|first| {
            let own = sum(&requests, first + 1, last);
            let half_before = sum(&requests, first + 1 - half, first + half - 1);
            let before = sum(&requests, first + 1 - window, first - 1);
            let share = ratio * own.max(half_before).max(before);
            sum(&repeats, first, last) - (share - ROUNDING).ceil()
        });
        beyond.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Requests and repeats of the latest window.
    pub fn latest(&self, now: Micros) -> (u32, u32) {
        let latest = self.told(now).filter(|part| part.age <= PARTS);
        latest.fold((0, 0), |sum, part| (sum.0 + part.requests, sum.1 + part.repeats))
    }

    /// The number of the part that `now` falls in.
    fn number(&self, now: Micros) -> u64 {
        now / self.length
    }

    /// The part that `now` falls in; those that matter no more are dropped.
    fn part(&mut self, now: Micros) -> &mut Bucket {
        let number = self.number(now);
        while self.parts.front().is_some_and(|(at, _)| at + 2 * PARTS < number) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|(at, _)| *at < number) {
            self.parts.push_back((number, Bucket::default()));
        }
        &mut self.parts.back_mut().expect("a part was just entered").1
    }
}
