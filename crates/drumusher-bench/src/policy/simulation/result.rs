//! Results of a run.

use drumusher_schedule::time::Micros;

use crate::policy::scenario::Request;

/// Result of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestResult {
    /// Time of its first token.
    pub first: Option<Micros>,
    /// Time of its last token.
    pub done: Option<Micros>,
    /// Time at which it was refused.
    pub refused: Option<Micros>,
    /// Whether the client stopped waiting for the first token.
    pub gave_up: bool,
    /// Tokens delivered.
    pub delivered: u32,
    /// Tokens delivered while requests still arrived.
    pub in_time: u32,
    /// Number of attempts.
    pub attempts: u32,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Requests in order of arrival.
    pub requests: Vec<Request>,
    /// Results of the requests, in the same order.
    pub results: Vec<RequestResult>,
    /// Number of steps that engines ran, counted once per sequence in the batch.
    pub work: u64,
    /// Part of `work` whose output was not delivered.
    pub wasted: u64,
    /// Number of refusals of a higher tier while a lower one waited or ran outside reserved capacity.
    pub inversions: u32,
    /// Number of attempts preempted for a higher tier.
    pub preemptions: u32,
}
