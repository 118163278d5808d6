//! What a pool is told.

use std::sync::Arc;

use crate::{
    ask::{Ask, Entry, Id, Outcome},
    policy::Policy,
    server,
    time::Micros,
};

/// A report on a running attempt.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The request.
    pub id: Id,
    /// Tokens delivered in all.
    pub produced: u32,
    /// Time from handing the request over to its first token, once.
    pub first_token: Option<Micros>,
    /// Mean time between tokens since the last report; 0 if there was none.
    pub gap: Micros,
}

/// A backend server's own report, which lags.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The backend server.
    pub server: server::Key,
    /// When the report was true.
    pub as_of: Micros,
    /// Requests running in it.
    pub running: u32,
    /// Requests waiting in it.
    pub waiting: u32,
    /// For how long it takes no more, if it said so; 0 if it did not say how long.
    pub full: Option<Micros>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request wants to run.
    Ask(Ask),
    /// An entry declares a grant that another dispatcher gave.
    Declare(Ask, server::Key),
    /// A request no longer wants to run, or moved to another dispatcher.
    Withdraw(Id),
    /// A running attempt made progress.
    Progress(Progress),
    /// An attempt ended; the count is the tokens delivered in all.
    Finish(Id, Outcome, u32),
    /// A lagging load report.
    Load(Load),
    /// An engine told which parts of prompts it keeps.
    CachedParts(server::Key, Vec<u64>),
    /// A backend server joined or changed.
    Server(server::Key, server::Options),
    /// A backend server is leaving or gone: it gets no new work.
    Leave(server::Key),
    /// A backend server takes so many requests a second from this dispatcher, or as many as it has room for.
    RateLimit(server::Key, Option<f64>),
    /// A backend server wants nothing from an entry until a time.
    Cooldown(Entry, server::Key, Micros),
    /// An entry's process is gone with all its requests.
    EntryGone(Entry),
    /// A new version of the policy.
    Policy(Arc<Policy>),
    /// Time passed.
    Tick,
}
