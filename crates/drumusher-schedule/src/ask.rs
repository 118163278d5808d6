//! Requests as the dispatcher sees them.

use crate::{policy, server, time::Micros, version};

/// Identifies a request in the whole system: 128 random bits chosen by its entry instance.
pub type Id = u128;

/// Index of a request in the dispatcher's slab.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u32);

/// The entry instance, which holds the caller's connection, as a small key chosen by the
/// dispatcher's host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Entry(pub u32);

/// One part of a prompt. Requests share parts, so that what a backend server has cached for one
/// request saves work for the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifies the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A request for a grant, as its entry instance sends it to the dispatcher.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Identifies the request.
    pub id: Id,
    /// The entry instance that owns it.
    pub entry: Entry,
    /// Request class, which determines tier and latency targets.
    pub class: policy::ClassKey,
    /// Workspace that is charged for it.
    pub workspace: policy::WorkspaceKey,
    /// When the caller's request first arrived.
    pub arrived: Micros,
    /// Prompt length in tokens, as estimated by the entry instance.
    pub prompt: u32,
    /// Hash of the start of the prompt, salted by workspace; 0 for none.
    pub prefix: u64,
    /// Tokens already delivered to the caller by earlier attempts.
    pub produced: u32,
    /// Whether the request may be sent to a backend server more than once.
    pub repeatable: bool,
    /// Number of earlier preemptions.
    pub preemptions: u8,
    /// Backend server of the last failed attempt.
    pub avoid: Option<server::Key>,
    /// Whether the request was sent to another dispatcher before.
    pub migrated: bool,
    /// Anti-affinity: backend servers whose requests it must not run beside, if there is an
    /// alternative.
    pub anti_affinity: Vec<server::Key>,
    /// Expected output length in tokens; 0 if the caller gave no hint.
    pub output: u32,
    /// Parts of the prompt in order; empty if the caller did not name them.
    pub parts: Vec<Part>,
    /// When its caller stops waiting for the answer; `None` if unknown.
    pub deadline: Option<Micros>,
    /// The software versions at which it may run.
    pub versions: version::Set,
}

impl Ask {
    /// Whether the caller has a part of the answer, which would be lost if the request were refused.
    pub fn has_begun(&self) -> bool {
        self.produced > 0
    }
}

/// Outcome of an attempt on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was delivered.
    Done,
    /// The caller disconnected or the entry instance gave up; says nothing about the backend
    /// server.
    Cancelled,
    /// The dispatcher preempted the attempt.
    Preempted,
    /// The backend server failed or cut the stream.
    Failed,
    /// The backend server rejected the request for lack of capacity.
    Overloaded,
    /// The backend server ran the request and answered with an error, which may be the request's
    /// own fault.
    ErrorResponse,
    /// No connection to the backend server could be opened, so it received nothing.
    ConnectFailed,
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request as submitted.
    pub ask: Ask,
    /// Tier when the request was queued; a later change of the class does not move it.
    pub tier: u8,
    /// When the first token is due.
    pub deadline: Micros,
    /// When it entered this dispatcher's queue.
    pub since: Micros,
    /// Longest time in this queue, counted from `since`.
    pub wait: Micros,
    /// Whether it continues after a failure and is before the other requests of its tier.
    pub is_first: bool,
    /// Tokens of its prompt that have to be prefilled; 0 in a pool without slack.
    pub prefill: f64,
    /// The last moment at which it may begin to be prefilled and end while its caller still waits.
    pub latest_start: Option<Micros>,
    /// Number of grants that the pool had given when the request was queued.
    pub grants_before: u64,
}

/// A request that was granted a backend server.
#[derive(Clone, Debug)]
pub struct Running {
    /// The request as submitted.
    pub ask: Ask,
    /// Tier at the time of the grant.
    pub tier: u8,
    /// Backend server on which it runs.
    pub server: server::Key,
    /// When it was granted.
    pub granted: Micros,
    /// When its entry instance last reported on it.
    pub last_report: Micros,
    /// Whether the entry instance reported that the attempt began.
    pub started: bool,
    /// Whether its first token has arrived.
    pub has_first_token: bool,
    /// Tokens produced by all attempts.
    pub produced: u32,
    /// Output tokens charged to the workspace so far.
    pub charged: f64,
    /// Whether it uses the capacity reserved for its class, or is a probe.
    pub reserved: bool,
    /// Whether its preemption was ordered and is not confirmed yet.
    pub stopping: bool,
    /// Whether it was placed as a delay-tolerant request.
    pub tolerant: bool,
}

/// State of a request that the dispatcher knows.
#[derive(Clone, Debug)]
pub enum State {
    /// In the queue.
    Waiting(Waiting),
    /// Granted a backend server.
    Running(Running),
}
