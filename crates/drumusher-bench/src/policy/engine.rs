//! Model of an inference engine in virtual time: continuous batching with a step duration that grows with the batch,
//! a priority queue and a prefix cache.

use std::collections::{HashMap, VecDeque};

use drumusher_schedule::time::Micros;

/// Prompt tokens that one step processes per sequence.
const PREFILL_PER_STEP: u32 = 512;
/// Capacity of an engine's prefix cache, in prefixes.
const CACHE_CAPACITY: usize = 64;

/// A request on an engine.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Number of the request.
    pub request: usize,
    /// Priority in the queue; lower values run first.
    pub priority: u8,
    /// Tokens left to prefill.
    pub prefill: u32,
    /// Output tokens generated so far, including earlier attempts if it was resumed.
    pub produced: u32,
    /// Output tokens of the complete response.
    pub total: u32,
}

/// Result of a step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Requests for which a token was generated.
    pub produced: Vec<usize>,
    /// Requests that are complete.
    pub finished: Vec<usize>,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Maximum number of sequences in a batch.
    pub batch_limit: usize,
    /// Duration of a step with an empty batch.
    pub step: Micros,
    /// Factor by which the duration of a step is multiplied.
    pub slow: f64,
    /// Whether it has crashed.
    pub down: bool,
    batch: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    /// Cached prefixes, each with the value of `uses` at its last use.
    cache: HashMap<u64, u64>,
    uses: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(batch_limit: usize, step: Micros) -> Self {
        Engine {
            batch_limit,
            step,
            slow: 1.0,
            down: false,
            batch: Vec::new(),
            waiting: VecDeque::new(),
            cache: HashMap::new(),
            uses: 0,
        }
    }

    /// Number of sequences in the batch.
    pub fn running(&self) -> usize {
        self.batch.len()
    }

    /// Number of sequences waiting to join the batch.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether it has nothing to do.
    pub fn idle(&self) -> bool {
        self.batch.is_empty() && self.waiting.is_empty()
    }

    /// Enqueues a request. If `prefix` is cached, its `shared` tokens are not prefilled again.
    pub fn push(&mut self, mut sequence: Sequence, prefix: u64, shared: u32) {
        self.uses += 1;
        if prefix != 0 {
            let cached = self.cache.insert(prefix, self.uses).is_some();
            if cached {
                sequence.prefill = sequence.prefill.saturating_sub(shared).max(1);
            }
            if self.cache.len() > CACHE_CAPACITY {
                let oldest = self.cache.iter().min_by_key(|(_, used)| **used);
                let oldest = *oldest.expect("the cache is not empty").0;
                self.cache.remove(&oldest);
            }
        }
        let later = self.waiting.iter().position(|other| other.priority > sequence.priority);
        self.waiting.insert(later.unwrap_or(self.waiting.len()), sequence);
    }

    /// Removes a request. Returns whether it was on this engine.
    pub fn cancel(&mut self, request: usize) -> bool {
        let before = self.batch.len() + self.waiting.len();
        self.batch.retain(|sequence| sequence.request != request);
        self.waiting.retain(|sequence| sequence.request != request);
        self.batch.len() + self.waiting.len() < before
    }

    /// Crashes the engine and returns the requests that were on it.
    pub fn crash(&mut self) -> Vec<usize> {
        self.down = true;
        let all = self.batch.drain(..).chain(self.waiting.drain(..));
        all.map(|sequence| sequence.request).collect()
    }

    /// Fills the batch and returns the duration of the next step.
    pub fn begin_step(&mut self) -> Micros {
        while self.batch.len() < self.batch_limit {
            let Some(sequence) = self.waiting.pop_front() else { break };
            self.batch.push(sequence);
        }
        let occupancy = self.batch.len() as f64 / self.batch_limit as f64;
        (self.step as f64 * (1.0 + 0.5 * occupancy) * self.slow) as Micros
    }

    /// Ends a step and returns its result.
    pub fn end_step(&mut self) -> Step {
        let mut step = Step::default();
        self.batch.retain_mut(|sequence| {
            if sequence.prefill > 0 {
                sequence.prefill = sequence.prefill.saturating_sub(PREFILL_PER_STEP);
                return true;
            }
            sequence.produced += 1;
            step.produced.push(sequence.request);
            let ended = sequence.produced >= sequence.total;
            if ended {
                step.finished.push(sequence.request);
            }
            !ended
        });
        step
    }
}
