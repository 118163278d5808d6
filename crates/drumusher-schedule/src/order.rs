//! Decisions of a pool.

use crate::{
    ask::{Entry, Id},
    server,
    time::Micros,
};

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The pool's queue is full and this request was chosen to make room.
    QueueFull,
    /// It would wait, or has waited, longer than its class allows.
    WaitBound,
    /// Its workspace has as many waiting requests as it may have.
    WorkspaceLimit,
    /// The pool has no usable backend server.
    NoServer,
    /// It would be a retry, and the fleet's retry budget is spent.
    NoRepeat,
    /// It is quarantined: backend servers crashed whenever it ran.
    HeldBack,
    /// A backend server that ran it on trial does not answer, and may have crashed.
    Undecided,
    /// It goes on with a stream, and it is not known which software version began that.
    UnknownVersion,
    /// It cannot end before its caller stops waiting.
    Unmeetable,
}

/// Why a request was placed on its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Least loaded.
    LeastLoaded,
    /// Has the start of the prompt cached.
    Prefix,
    /// Used the capacity reserved for the request's class.
    Floor,
    /// Probe of a backend server that was slow, failing or down.
    Probe,
}

/// Why an attempt is preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// A request of a higher tier would miss its target otherwise.
    HigherTier,
    /// Its backend server is too slow.
    SlowServer,
}

/// A decision, addressed to the entry instance that owns the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Run the request on this backend server.
    Grant {
        /// Identifies the request.
        id: Id,
        /// Its entry instance.
        entry: Entry,
        /// Backend server to run it on.
        server: server::Key,
        /// Engine from which the cached part of the prompt is transferred.
        source: Option<server::Key>,
        /// Expected time from now to the first event; 0 if unknown.
        expected: Micros,
        /// The urgency of the request inside the engine, if it is not the priority of its route;
        /// 0 is the highest.
        urgency: Option<u8>,
        /// Why this backend server was chosen.
        choice: Choice,
        /// Time spent in this dispatcher's queue.
        waited: Micros,
        /// Grants to other requests while it waited.
        overtaken: u64,
    },
    /// Tell the caller that the request was not run.
    Refuse {
        /// Identifies the request.
        id: Id,
        /// Its entry instance.
        entry: Entry,
        /// Why it was refused.
        refusal: Refusal,
        /// How long the caller should wait before it tries again.
        retry_after: Micros,
    },
    /// Stop the attempt and submit the request again with the output delivered so far.
    Preempt {
        /// Identifies the request.
        id: Id,
        /// Its entry instance.
        entry: Entry,
        /// Why it is preempted.
        preemption: Preemption,
    },
}
