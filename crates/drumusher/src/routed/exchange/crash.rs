//! Detects that a backend server crashed while it ran a request.

use drumusher_log::quarantine::PROOF_TIME;
use drumusher_platform::dialect::Dialect;
use ntex::{rt, time::Millis};

use super::{Exchange, Failure, path};
use crate::{
    process::{
        broker::{Crash, Input},
        clock,
    },
    routed::{Handle, digest},
    upstream::{self, Probe, tunnel},
    version::{Backend, Pool},
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
        if !stays {
            return;
        }
        let crash = Crash {
            id: self.ticket.id(),
            digest: self.digest,
            pool: pool.clone(),
            area: self.worker.shared.area.clone(),
            server: backend.name.clone(),
            started_ms: backend.started_ms,
            alone: self.isolated,
            workspace: self.request.route_match.workspace.clone().unwrap_or_else(|| "".into()),
            route: self.request.route_match.route.clone(),
            parts: self.suspected_parts(),
        };
        let mut checks = self.worker.crash_checks.borrow_mut();
        let suspects = checks.entry((backend.name.clone(), backend.started_ms)).or_default();
        suspects.push(crash);
        // The check that the first one began is for all.
        if suspects.len() == 1 {
            rt::spawn(check(self.worker.clone(), pool, backend.clone(), self.tunnelled));
        }
    }
}

impl<D: Dialect> Exchange<D> {
    /// The parts of the prompt that may have crashed the backend server: none once it has answered for
    /// [`PROOF_TIME`].
    fn suspected_parts(&self) -> Vec<u64> {
        let answered = self.first_event_at.is_some_and(|at| clock::now() > at + PROOF_TIME);
        let parts = if answered { &[] } else { digest::shared_parts(self.ticket.parts()) };
        parts.iter().map(|part| part.id).collect()
    }
}

/// Checks whether a backend server crashed, and reports the requests that it ran.
async fn check<D: Dialect>(worker: Handle<D>, pool: Pool, backend: Backend, tunnelled: bool) {
    let crashed = has_crashed(&worker, &pool, &backend, tunnelled).await;
    let incarnation = (backend.name, backend.started_ms);
    let suspects = worker.crash_checks.borrow_mut().remove(&incarnation).unwrap_or_default();
    for crash in suspects.into_iter().filter(|_| crashed) {
        log::info!(
            server = &*crash.server, route = &*crash.route;
            "a backend server crashed while it ran a request"
        );
        worker.shared.broker.send(Input::Crash(Box::new(crash)));
    }
}

/// Whether a backend server refuses connections, of this instance and of another one: a lost path may refuse them too.
/// If no other instance can be asked, the refusal here counts alone.
async fn has_crashed<D: Dialect>(
    worker: &Handle<D>,
    pool: &Pool,
    backend: &Backend,
    tunnelled: bool,
) -> bool {
    let reached = if tunnelled { Reached::Refused } else { reach(worker, pool, backend).await };
    if reached == Reached::Answered {
        return false;
    }
    match path::connect_tunnel(worker, pool, backend).await {
        Ok(()) => false,
        Err(tunnel::Error::Refused) => reached == Reached::Refused,
        Err(tunnel::Error::NoAnswer) => false,
        Err(tunnel::Error::NoPath) => {
            let alone = !tunnelled && !worker.shared.paths.is_isolated();
            alone && reached == Reached::Refused
        }
    }
}

/// What a probe over this instance's own path found.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reached {
    Answered,
    Refused,
    Nothing,
}

async fn reach<D: Dialect>(worker: &Handle<D>, pool: &Pool, backend: &Backend) -> Reached {
    let Ok(address) = backend.address.parse() else { return Reached::Nothing };
    match upstream::probe(address, PROBE_TIMEOUT).await {
        Probe::Refused => Reached::Refused,
        Probe::Connected(conn) => match path::answers(worker, pool, backend, conn).await {
            // The probe's connection is good for other requests.
            Some(conn) => {
                worker.conns.put(backend, conn);
                Reached::Answered
            }
            None => Reached::Nothing,
        },
        Probe::Inconclusive => Reached::Nothing,
    }
}
