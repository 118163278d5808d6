//! Obtains a grant from the dispatcher for a backend server that this instance considers usable.

use std::sync::Arc;

use drumusher_log::quarantine::Verdict;
use drumusher_platform::dialect::Dialect;
use drumusher_schedule::{ask::Outcome, order::Refusal, time::MILLISECOND};

use super::{Exchange, RETRY_AFTER_MS};
use crate::{
    error::{Error, Kind as ErrorKind, STOPPING, STOPPING_RETRY_MS},
    process::{
        broker::{Attempt, Decision, Grant},
        clock,
        notices::Withheld,
    },
    routed::digest,
    version::Backend,
};

/// Number of unusable grants after which a request is given up.
const MAX_UNUSABLE_GRANTS: u32 = 4;

/// The request got no backend server.
#[derive(Debug)]
pub struct Refused {
    /// The error to respond with.
    pub error: Error,
    /// Whether the fleet's retry budget is exhausted; the request then ends with the result of its previous attempt.
    pub retry_budget_exhausted: bool,
}

impl<D: Dialect> Exchange<D> {
    /// Classifies the next request for a grant: first, again before anything was sent, or a retry.
    fn attempt_kind(&mut self) -> Attempt {
        let grant_requested = std::mem::replace(&mut self.grant_requested, true);
        match (grant_requested, self.attempts_sent) {
            (false, _) => Attempt::First,
            (true, 0) => Attempt::Resent,
            (true, _) => Attempt::Retry,
        }
    }

    /// Whether the request or a part of its prompt is held back.
    fn is_held(&self) -> bool {
        let shared = &self.worker.shared;
        if !shared.holds_any() {
            return false;
        }
        let parts = self.part_digests.get_or_init(|| {
            let workspace = self.request.route_match.workspace.as_deref().unwrap_or_default();
            let parts = digest::shared_parts(self.ticket.parts()).iter();
            let secret = &shared.settings.fleet_secret;
            parts.map(|part| digest::of_part(secret, workspace, part.id)).collect()
        });
        let table = shared.quarantine();
        let mut digests = parts.iter().chain([&self.digest]);
        digests.any(|digest| table.verdict(*digest) == Verdict::Held)
    }

    /// Requests grants until one names a backend server that this instance considers usable.
    ///
    /// # Errors
    ///
    /// [`Refused`] if no usable backend server was granted.
    pub async fn acquire_backend(&mut self) -> Result<Backend, Refused> {
        let mut retry_after_ms = RETRY_AFTER_MS;
        for _ in 0..MAX_UNUSABLE_GRANTS {
            if self.is_held() {
                return Err(Refused {
                    error: self.quarantined_error(),
                    retry_budget_exhausted: false,
                });
            }
            let attempt = self.attempt_kind();
            self.grant_requested_at = clock::now();
            match self.ticket.request_grant(self.avoid.clone(), attempt, self.deadline).await {
                Decision::Granted(grant) => match self.accept(grant) {
                    Ok(backend) => return Ok(backend),
                    Err(again) => retry_after_ms = again.unwrap_or(retry_after_ms),
                },
                Decision::Refused(refusal, _) if self.turn_to_next_pool(refusal) => {}
                Decision::Refused(refusal, retry_after) => {
                    let retry_budget_exhausted = refusal == Refusal::NoRepeat as i16;
                    if retry_budget_exhausted {
                        self.worker.shared.telemetry.count("drumusher.budget.spent", &[]);
                    }
                    if refusal == Refusal::Unmeetable as i16 {
                        let class = &self.request.route_match.class;
                        let telemetry = &self.worker.shared.telemetry;
                        telemetry.count("drumusher.requests.unmeetable", &[("class", class)]);
                    }
                    let error = self.refusal_error(refusal, retry_after / MILLISECOND);
                    return Err(Refused { error, retry_budget_exhausted });
                }
                Decision::Expired => {
                    let message = "no backend server had capacity in time";
                    let error = self.not_run_error(ErrorKind::WaitBound, message, RETRY_AFTER_MS);
                    return Err(Refused { error, retry_budget_exhausted: false });
                }
                Decision::Stopping => {
                    let error =
                        self.not_run_error(ErrorKind::NotReady, STOPPING, STOPPING_RETRY_MS);
                    return Err(Refused { error, retry_budget_exhausted: false });
                }
            }
        }
        let message = "no backend server is usable";
        let error = self.not_run_error(ErrorKind::NoServer, message, retry_after_ms);
        Err(Refused { error, retry_budget_exhausted: false })
    }

    /// Turns to the next pool of the service if this one refused the request for lack of capacity. Returns whether there
    /// is one.
    fn turn_to_next_pool(&mut self, refusal: i16) -> bool {
        let reasons = [
            Refusal::NoServer,
            Refusal::QueueFull,
            Refusal::WaitBound,
            Refusal::UnknownVersion,
            Refusal::Unmeetable,
        ];
        if !reasons.iter().any(|reason| *reason as i16 == refusal) {
            return false;
        }
        let (shared, route_match) = (&self.worker.shared, &self.request.route_match);
        let (id, parts) = (self.ticket.id(), self.ticket.parts());
        let next = self.pools.after(self.ticket.pool(), shared, route_match, id, parts);
        let Some(pool) = next else { return false };
        self.worker.shared.telemetry.count("drumusher.overflow", &[]);
        self.ticket.set_pool(pool);
        true
    }

    /// Accepts a grant, or returns it to the dispatcher if this instance considers the backend server unusable.
    ///
    /// # Errors
    ///
    /// The time in milliseconds after which the server is usable again, if known.
    fn accept(&mut self, grant: Grant) -> Result<Backend, Option<u64>> {
        let usable = self.usable_backend(&grant.server);
        let usable = usable.filter(|backend| self.may_continue(&grant, backend));
        let Grant { server, source, expected, dispatcher, alone, known_limit, urgency, .. } = grant;
        self.urgency = urgency;
        (self.isolated, self.known_limit, self.expected_first_event) =
            (alone, known_limit, expected);
        self.dispatcher = Some(dispatcher);
        self.cache_source = self.find_cache_source(source);
        let withheld = usable.as_ref().and_then(|backend| self.check_withheld(backend).err());
        if let Some(backend) = usable.filter(|_| withheld.is_none()) {
            log::debug!(
                request = self.request.head.id.as_str(), server = &*server,
                dispatcher = self.dispatcher.as_deref().unwrap_or(""); "granted"
            );
            self.log_resumed(&backend);
            return Ok(backend);
        }
        self.avoid = Some(server);
        self.ticket.finish(Outcome::Cancelled);
        match withheld {
            Some(Withheld::Resting(left)) => Err(Some(left / MILLISECOND)),
            _ => Err(None),
        }
    }

    /// Returns the backend server from which the next attempt fetches cached prompt state. There is none after a
    /// failed attempt that had one, since it may have caused the failure. One that is leaving still serves its cache, so
    /// the dispatcher may name it.
    fn find_cache_source(&self, name: Option<Arc<str>>) -> Option<Backend> {
        if self.cache_source_failed {
            return None;
        }
        self.allowed_backend(&name?)
    }

    /// Returns the backend server unless it is leaving, missing in this instance's directory, or in a region in which
    /// the request may not run: the dispatcher may have another version of the configuration.
    fn usable_backend(&self, server: &str) -> Option<Backend> {
        self.allowed_backend(server).filter(|backend| !backend.leaving)
    }

    /// Returns the backend server unless it is missing in this instance's directory, or in a region in which the
    /// request may not run.
    fn allowed_backend(&self, server: &str) -> Option<Backend> {
        let pool = self.ticket.pool().clone();
        let directory = self.worker.shared.directory.load();
        let backend = directory.backend(&pool, server)?;
        let regions = &self.worker.shared.settings.regions;
        let region = regions.of_zone(&backend.availability_zone);
        self.request.route_match.allows_region(region).then(|| backend.clone())
    }
}
