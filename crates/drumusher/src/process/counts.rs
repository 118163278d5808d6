//! Requests and retries in buckets of time, for the bound on retries. Without I/O.
//!
//! The bound holds for any window of time: the retries of a window must not exceed a ratio of the requests of that
//! window, of the window before it, or of the window that began half a window earlier, whichever has most, plus a
//! fixed allowance. Of a bucket that overlaps a window only in part, all retries count and no requests.

use std::collections::VecDeque;

use drumusher_schedule::time::Micros;

/// Buckets of a window. With 20 of them the ratio is taken of at least 19 in 20 of the requests.
const BUCKETS: u64 = 20;

/// Upper bound of the rounding error of a ratio times some thousands of requests.
const ROUNDING: f64 = 1e-6;

/// The counts of one bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bucket {
    /// Age of the bucket, in buckets before the current one.
    pub age: u64,
    /// Requests, without their retries.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
}

/// The counts of the latest two windows.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Length of a bucket.
    length: Micros,
    /// Buckets with their numbers since the start of the clock, oldest first.
    buckets: VecDeque<(u64, Bucket)>,
}

impl Counts {
    /// Creates empty counts; `window` is the window of the bound.
    pub fn new(window: Micros) -> Self {
        Counts { length: (window / BUCKETS).max(1), buckets: VecDeque::new() }
    }

    /// Counts a request.
    pub fn add_request(&mut self, now: Micros) {
        self.current_bucket(now).requests += 1;
    }

    /// Counts retries.
    pub fn add_retries(&mut self, now: Micros, count: u32) {
        self.current_bucket(now).retries += count;
    }

    /// Adds other counts.
    pub fn merge(&mut self, now: Micros, other: &Counts) {
        for bucket in other.recent(now) {
            self.merge_bucket(now, bucket);
        }
    }

    /// Adds a bucket that was counted elsewhere, unless it is too old. It may come from another instance with any
    /// values.
    pub fn merge_bucket(&mut self, now: Micros, bucket: Bucket) {
        let age = Some(bucket.age).filter(|age| *age <= 2 * BUCKETS);
        let Some(number) = age.and_then(|age| self.number(now).checked_sub(age)) else { return };
        let at = match self.buckets.binary_search_by_key(&number, |(number, _)| *number) {
            Ok(at) => at,
            Err(at) => {
                self.buckets.insert(at, (number, Bucket::default()));
                at
            }
        };
        let known = &mut self.buckets[at].1;
        known.requests = known.requests.saturating_add(bucket.requests);
        known.retries = known.retries.saturating_add(bucket.retries);
    }

    /// The buckets that still count, each with its age.
    pub fn recent(&self, now: Micros) -> impl Iterator<Item = Bucket> {
        let number = self.number(now);
        let kept = self.buckets.iter().filter(move |(at, _)| at + 2 * BUCKETS >= number);
        kept.map(move |(at, bucket)| Bucket { age: number.saturating_sub(*at), ..*bucket })
    }

    /// The maximum, over all windows that are not over, of the retries beyond `ratio` times the requests; negative if
    /// no window exceeds the ratio. The allowed number is rounded up, by less than one retry, which the unused part
    /// of the fixed allowance covers; without it a service with few requests could not retry at all by its ratio.
    pub fn excess(&self, now: Micros, ratio: f64) -> f64 {
        // Prefix sums over the buckets of two windows and the current bucket, oldest first.
        let mut requests = [0.0; 2 * BUCKETS as usize + 2];
        let mut retries = requests;
        let last = 2 * BUCKETS as usize;
        for bucket in self.recent(now) {
            let at = last.saturating_sub(bucket.age as usize);
            requests[at + 1] += f64::from(bucket.requests);
            retries[at + 1] += f64::from(bucket.retries);
        }
        for at in 1..requests.len() {
            requests[at] += requests[at - 1];
            retries[at] += retries[at - 1];
        }
        // The sum from one bucket to another, both included.
        let sum = |sums: &[f64], from: usize, to: usize| {
            if from > to { 0.0 } else { sums[to.min(last) + 1] - sums[from] }
        };
        let (window, half) = (BUCKETS as usize, BUCKETS as usize / 2);
        let excess = (last - window..=last).map(|first| {
            let own = sum(&requests, first + 1, last);
            let half_before = sum(&requests, first + 1 - half, first + half - 1);
            let before = sum(&requests, first + 1 - window, first - 1);
            let share = ratio * own.max(half_before).max(before);
            sum(&retries, first, last) - (share - ROUNDING).ceil()
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Requests and retries of the latest window.
    pub fn latest(&self, now: Micros) -> (u32, u32) {
        let latest = self.recent(now).filter(|bucket| bucket.age <= BUCKETS);
        latest.fold((0, 0), |sum, bucket| (sum.0 + bucket.requests, sum.1 + bucket.retries))
    }

    /// The number of the bucket that `now` falls into.
    fn number(&self, now: Micros) -> u64 {
        now / self.length
    }

    /// The bucket that `now` falls into. Drops the buckets that no longer count.
    fn current_bucket(&mut self, now: Micros) -> &mut Bucket {
        let number = self.number(now);
        while self.buckets.front().is_some_and(|(at, _)| at + 2 * BUCKETS < number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|(at, _)| *at < number) {
            self.buckets.push_back((number, Bucket::default()));
        }
        &mut self.buckets.back_mut().expect("a bucket was just added").1
    }
}
