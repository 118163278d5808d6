//! Detects that a backend server crashed while it ran a request.

use drumusher_platform::dialect::Dialect;
use ntex::{rt, time::Millis};

use super::{Exchange, Failure};
use crate::{
    process::broker::{Crash, Input},
    upstream::{self, Probe},
    version::Backend,
};

/// Timeout of the probe. The host of a crashed server refuses the connection within one round trip; a host that stays
/// silent for longer than a connect may take proves nothing.
const PROBE_TIMEOUT: Millis = Millis(200);

impl<D: Dialect> Exchange<D> {
    /// After a broken attempt, probes whether the backend server crashed and reports a crash to the dispatcher. A
    /// reset connection proves nothing, since the server may still run; neither does silence, which points to a power
    /// loss or a network fault, nor the end of a server that is leaving or no longer listed.
    pub(super) fn detect_crash(&self, backend: &Backend, failure: &Failure) {
        if !matches!(failure, Failure::Broken(upstream::Error::Closed)) {
            return;
        }
        let pool = self.ticket.pool().clone();
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
            alone: self.isolated,
            workspace: self.request.route_match.workspace.clone().unwrap_or_else(|| "".into()),
            route: self.request.route_match.route.clone(),
        };
        let (worker, backend) = (self.worker.clone(), backend.clone());
        rt::spawn(async move {
            match upstream::probe(address, PROBE_TIMEOUT).await {
                Probe::Refused => {
                    log::info!(
                        server = &*crash.server, route = &*crash.route;
                        "a backend server crashed while it ran a request"
                    );
                    worker.shared.broker.send(Input::Crash(Box::new(crash)));
                }
                // The probe's connection is good for other requests.
                Probe::Connected(conn) => worker.conns.put(&backend, conn),
                Probe::Inconclusive => {}
            }
        });
    }
}
