//! Which backend servers come into question for a grant.

use crate::{server::Server, time::Micros};

/// Which backend servers come into question.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Scope {
    /// Those with a free place.
    Free,
    /// Those to be tried out.
    Probe,
}

impl Scope {
    /// Whether a backend server comes into question.
    pub(super) fn has(self, server: &Server, now: Micros) -> bool {
        match self {
            Scope::Free => server.free(now) > 0,
            Scope::Probe => server.may_probe(now),
        }
    }
}
