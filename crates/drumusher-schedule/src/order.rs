//! What a pool decides.

use crate::{
    ask::{Entry, Id},
    server,
    time::Micros,
};

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The pool's queue is full and this request was the one to go.
    QueueFull,
    /// It would wait, or has waited, longer than its class allows.
    WaitBound,
    /// Its workspace is at its own limit.
    WorkspaceLimit,
    /// The pool has no backend server.
    NoServer,
    /// It would be a repeat, and the fleet may send no more of them now.
    NoRepeat,
    /// Backend servers ended each time it ran.
    HeldBack,
}

/// Why a request got the backend server it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The least loaded one.
    LeastLoaded,
    /// The one that holds the prompt's beginning.
    Prefix,
    /// Capacity set apart for its class.
    Floor,
    /// A trial of a backend server that was slow or down.
    Probe,
}

/// Why an attempt is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// A request of a higher tier would miss its target otherwise.
    HigherTier,
    /// Its backend server is too slow or silent.
    SlowServer,
}

/// A decision, addressed to the entry that owns the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Run the request on this backend server.
    Grant {
        /// The request.
        id: Id,
        /// Its entry.
        entry: Entry,
        /// Where to run it.
        server: server::Key,
        /// The engine from which it takes over what that one keeps of the prompt.
        source: Option<server::Key>,
        /// How long its first event is expected to take from now on; 0 if nothing is known.
        expected: Micros,
        /// Why there.
        choice: Choice,
        /// How long it waited at this dispatcher.
        waited: Micros,
        /// Grants to other requests while it waited.
        overtaken: u64,
    },
    /// Tell the caller that the request was not run.
    Refuse {
        /// The request.
        id: Id,
        /// Its entry.
        entry: Entry,
        /// Why.
        refusal: Refusal,
        /// When to come back.
        retry_after: Micros,
    },
    /// Stop the attempt and ask again with what was delivered.
    Preempt {
        /// The request.
        id: Id,
        /// Its entry.
        entry: Entry,
        /// Why.
        preemption: Stop,
    },
}
