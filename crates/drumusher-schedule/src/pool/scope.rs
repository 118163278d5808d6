//! Which backend servers are eligible for a grant.

use crate::{
    region,
    server::{Server, Urgency},
    time::Micros,
    version,
};

/// Which backend servers are eligible because of their state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Availability {
    /// Those with a free slot.
    Free,
    /// Those with a probe due.
    Probe(Urgency),
}

/// Which backend servers are eligible for a grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Scope {
    pub(super) availability: Availability,
    /// The regions in which the request may run.
    pub(super) regions: region::Set,
    /// The software versions at which it may run.
    pub(super) versions: version::Set,
}

impl Scope {
    /// Whether a backend server is eligible.
    pub(super) fn includes(self, server: &Server, now: Micros) -> bool {
        let available = match self.availability {
            Availability::Free => server.free(now) > 0,
            Availability::Probe(urgency) => server.may_probe(now, urgency),
        };
        available && self.allows(server)
    }

    /// Whether it allows all backend servers that another one allows.
    pub(super) fn covers(self, other: Scope) -> bool {
        self.regions.covers(other.regions) && self.versions.covers(other.versions)
    }

    /// Whether the request may run on a backend server at all.
    pub(super) fn allows(self, server: &Server) -> bool {
        self.regions.contains(server.region()) && self.versions.contains(server.version())
    }
}
