//! A request as the dispatcher sees it.

use crate::{policy, server, time::Micros};

/// The identity of a request, unique in the whole system (128 random bits chosen by its entry).
pub type Id = u128;

/// A request's place in the dispatcher's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u32);

/// The instance that holds the caller's connection, as a small key chosen by the dispatcher's host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Entry(pub u32);

/// One part of a prompt. Parts are shared between requests, so that what a backend server keeps of
/// one request spares work for the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its identity.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What an entry tells the dispatcher about a request it wants to run.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The request.
    pub id: Id,
    /// The instance that owns it.
    pub entry: Entry,
    /// Its class, which gives tier and targets.
    pub class: policy::ClassKey,
    /// The workspace it is charged to.
    pub workspace: policy::WorkspaceKey,
    /// When the caller's request first arrived.
    pub arrived: Micros,
    /// Length of the prompt in tokens, as estimated by the entry.
    pub prompt: u32,
    /// Hash of the prompt's beginning, salted by workspace; 0 for none.
    pub prefix: u64,
    /// Tokens already delivered to the caller by earlier attempts.
    pub produced: u32,
    /// Whether the request may be given to a backend server more than once.
    pub repeatable: bool,
    /// How often it was preempted before.
    pub preemptions: u8,
    /// The backend server whose attempt failed last.
    pub avoid: Option<server::Key>,
    /// Whether another dispatcher was asked before.
    pub migrated: bool,
    /// Backend servers beside whose requests it is not to run, if there is another one.
    pub anti_affinity: Vec<server::Key>,
    /// Expected tokens of the answer; 0 if the caller gave no hint.
    pub output: u32,
    /// The parts of the prompt in order; empty if the caller did not name them.
    pub parts: Vec<Part>,
}

/// How an attempt on a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was delivered.
    Done,
    /// The caller went away or the entry gave up; says nothing about the backend server.
    Cancelled,
    /// The attempt was stopped by order of the dispatcher.
    Preempted,
    /// The backend server failed or cut the stream.
    Failed,
    /// The backend server refused because it takes no more.
    Overloaded,
    /// The backend server ran it and answered with an error of its own, rightly or not.
    ErrorResponse,
    /// No connection to the backend server came up: it got nothing.
    ConnectFailed,
}

/// A request that waits for its turn.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The ask.
    pub ask: Ask,
    /// Tier, kept here so that a change of the class does not move a waiting request.
    pub tier: u8,
    /// When the first token is due.
    pub deadline: Micros,
    /// When it entered this dispatcher's queue.
    pub since: Micros,
    /// How long it may wait from then on.
    pub wait: Micros,
    /// Grants that the pool had given before.
    pub grants_before: u64,
}

/// A request that was granted a backend server.
#[derive(Clone, Debug)]
pub struct Running {
    /// The ask.
    pub ask: Ask,
    /// Tier at the time of the grant.
    pub tier: u8,
    /// Where it runs.
    pub server: server::Key,
    /// When it was granted.
    pub granted: Micros,
    /// When the entry last reported on it.
    pub heard: Micros,
    /// Whether the entry reported that the attempt began.
    pub started: bool,
    /// Whether its first token came.
    pub begun: bool,
    /// Tokens produced in all.
    pub produced: u32,
    /// Tokens charged to the workspace so far.
    pub charged: f64,
    /// Whether it runs on the capacity reserved for its class, or as a probe.
    pub reserved: bool,
    /// Whether an order to stop it is on its way.
    pub stopping: bool,
    /// Whether it was placed as one that bears long pauses.
    pub patient: bool,
}

/// Either state of a request known to the dispatcher.
#[derive(Clone, Debug)]
pub enum State {
    /// It waits.
    Waiting(Waiting),
    /// It was granted.
    Running(Running),
}
