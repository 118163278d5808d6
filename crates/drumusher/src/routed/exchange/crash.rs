//! Whether a backend server ended while it ran a request.

use drumusher_platform::dialect::Dialect;
use ntex::{rt, time::Millis};

use super::{Exchange, Failure};
use crate::{
    process::broker::{Crash, Input},
    upstream::{self, Presence},
    version::{Backend, Pool},
};

/// Longest wait for a sign that a backend server is there. One that ended refuses a connection within a round trip; one
/// that says nothing for longer than connecting may take anyway shows nothing.
const PROBE: Millis = Millis(200);

impl<D: Dialect> Exchange<D> {
    /// After an attempt that broke: finds out whether its backend server ended, and tells the dispatcher. A connection
    /// that is reset says nothing, since the backend server may be there; nor does silence, which is a loss of power or
    /// of the way there; nor does the end of one that is leaving or no longer listed.
    pub(super) fn look_for_crash(&self, backend: &Backend, failure: &Failure) {
        if !matches!(failure, Failure::Broken(upstream::Error::Closed)) {
            return;
        }
        let pool = Pool::Service(self.request.found.service.clone());
        let directory = self.worker.shared.directory.load();
        let listed = directory.backend(&pool, &backend.name);
        let stays = listed.is_some_and(|now| !now.leaving && now.started_ms == backend.started_ms);
        let Ok(address) = backend.address.parse() else { return };
        if !stays {
            return;
        }
        let crash = Crash {
            id: self.ticket.id(),
            digest: self.digest,
            pool,
            area: self.worker.shared.area.clone(),
            server: backend.name.clone(),
            started_ms: backend.started_ms,
            alone: self.alone,
            workspace: self.request.found.workspace.clone().unwrap_or_else(|| "".into()),
            route: self.request.found.route.clone(),
        };
        let (worker, backend) = (self.worker.clone(), backend.clone());
        rt::spawn(async move {
            match upstream::presence(address, PROBE).await {
                Presence::Refused => {
                    log::info!(server = &*crash.server, route = &*crash.route; "a backend server ended under a request");
                    worker.shared.broker.send(Input::Crash(Box::new(crash)));
                }
                // Other requests can use it.
                Presence::There(conn) => worker.conns.give(&backend, conn),
                Presence::Unknown => {}
            }
        });
    }
}
