//! Which backend servers are eligible for a grant.

use crate::{server::Server, time::Micros};

/// Which backend servers are eligible for a grant.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Scope {
    /// Those with a free slot.
    Free,
    /// Those with a probe due.
    Probe,
}

impl Scope {
    /// Whether a backend server is eligible.
    pub(super) fn includes(self, server: &Server, now: Micros) -> bool {
        match self {
            Scope::Free => server.free(now) > 0,
            Scope::Probe => server.may_probe(now),
        }
    }
}
