//! For how long a kept connection may have rested before a request that is handed over at most once
//! goes on it.
//!
//! A backend server names the time after which it closes a resting connection, but it may forget one
//! sooner and say nothing; what is sent then meets a reset, and nobody can tell whether it ran. So the
//! time is learned: requests that may be repeated go on connections that rested longer, and when
//! several in a row were answered, the others may follow; one reset takes the time back. Without I/O.

use drumusher_schedule::time::{Micros, SECOND};

/// The time before anything was learned: connections in steady use rest for less.
pub const FIRST: Micros = SECOND;
/// Answers in a row on connections that rested longer before the time is raised.
const PROVEN: u32 = 5;
/// How long requests that may be repeated keep to a limit below [`FIRST`] after a connection was
/// forgotten. Then they try longer rests again, so that the limit can rise.
const DISTRUST: Micros = 10 * SECOND;

/// What is known of connections that rested.
#[derive(Clone, Copy, Debug)]
pub struct Trust {
    limit: Micros,
    /// Answers in a row on connections that rested for longer than the limit.
    proven: u32,
    /// The shortest rest among them.
    shortest: Micros,
    /// When a connection was forgotten last.
    forgotten: Option<Micros>,
}

impl Default for Trust {
    fn default() -> Self {
        Trust { limit: FIRST, proven: 0, shortest: Micros::MAX, forgotten: None }
    }
}

impl Trust {
    /// Nothing was learned yet.
    pub fn new() -> Self {
        Trust::default()
    }

    /// A connection that rested for less may take any request.
    pub fn limit(&self) -> Micros {
        self.limit
    }

    /// The longest rest for a request that may be repeated: once connections were forgotten sooner
    /// than expected, it keeps to the limit too; otherwise what the backend server names decides.
    pub fn limit_repeatable(&self, now: Micros) -> Micros {
        let lately = self.forgotten.is_some_and(|at| now < at + DISTRUST);
        if lately && self.limit < FIRST { self.limit } else { Micros::MAX }
    }

    /// A connection that had rested for `rested` brought an answer.
    pub fn answered(&mut self, rested: Micros) {
        if rested <= self.limit {
            return;
        }
        self.proven += 1;
        self.shortest = self.shortest.min(rested);
        if self.proven >= PROVEN {
            *self = Trust { limit: self.shortest, forgotten: self.forgotten, ..Trust::default() };
        }
    }

    /// A connection that had rested for `rested` broke before any answer.
    pub fn forgotten(&mut self, now: Micros, rested: Micros) {
        let limit = self.limit.min(rested / 2);
        *self = Trust { limit, forgotten: Some(now), ..Trust::default() };
    }
}
