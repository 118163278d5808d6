//! Inputs of a pool.

use std::sync::Arc;

use crate::{
    ask::{Ask, Entry, Id, Outcome, Part},
    policy::Policy,
    server,
    time::Micros,
};

/// A report on a running attempt.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Identifies the request.
    pub id: Id,
    /// Tokens delivered by all attempts.
    pub produced: u32,
    /// Time from handing the request over to its first token, reported once.
    pub first_token: Option<Micros>,
    /// Mean time between tokens since the last report; 0 if there was none.
    pub gap: Micros,
}

/// A backend server's own load report, which arrives with a lag.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The backend server.
    pub server: server::Key,
    /// When the load was measured.
    pub as_of: Micros,
    /// Requests running on it.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// How long it accepts no more requests, if it said so; 0 if it did not say how long.
    pub full: Option<Micros>,
}

/// Reported changes of an engine's cache, which arrive with a lag.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Whether `added` is the whole content of the cache.
    pub complete: bool,
    /// Parts that are cached now.
    pub added: Vec<Part>,
    /// IDs of parts that are not cached any more.
    pub removed: Vec<u64>,
}

/// Input that may lead to decisions.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request asks for a grant.
    Ask(Ask),
    /// An entry instance declares a running grant that another dispatcher gave.
    Declare(Ask, server::Key),
    /// A request was cancelled or moved to another dispatcher.
    Withdraw(Id),
    /// A running attempt made progress.
    Progress(Progress),
    /// An attempt ended; the count is the tokens delivered by all attempts.
    Finish(Id, Outcome, u32),
    /// A load report, which arrives with a lag.
    Load(Load),
    /// A backend server did not answer the query for its load.
    Unreachable(server::Key),
    /// An engine reported which prompt parts it has cached.
    CachedParts(server::Key, Vec<u64>),
    /// An engine reported changes of its cache.
    CacheChanges(server::Key, Changes),
    /// A backend server joined or its options changed.
    Server(server::Key, server::Options),
    /// A backend server is leaving or gone: it gets no new work.
    Leave(server::Key),
    /// A backend server's rate limit for this dispatcher, in requests per second; `None` lifts it.
    RateLimit(server::Key, Option<f64>),
    /// A backend server said how many rejections in a second it bears before it falls over.
    Brittle(server::Key, u32),
    /// A backend server asked to get no requests from one entry instance until the given time.
    Cooldown(Entry, server::Key, Micros),
    /// The process of an entry instance is gone with all its requests.
    EntryGone(Entry),
    /// A new version of the policy.
    Policy(Arc<Policy>),
    /// Time passed.
    Tick,
}
