//! Asking the dispatcher for a backend server that can be used as seen from here.

use std::sync::Arc;

use drumusher_platform::dialect::Dialect;
use drumusher_schedule::{ask::Outcome, order::Refusal, time::MILLISECOND};

use super::{AGAIN_MS, Exchange};
use crate::{
    error::{Error, Kind as ErrorKind},
    process::{
        broker::{Attempt, Grant},
        clock,
        notices::Withheld,
    },
    routed::ticket::Decision,
    version::{Backend, Pool},
};

/// Decisions that turned out to be of no use before a request is given up.
const MOST_UNUSABLE: u32 = 4;

/// No backend server was granted.
#[derive(Debug)]
pub struct Refused {
    /// The answer for the caller.
    pub error: Error,
    /// Whether the reason is that the fleet may send no more repeats now: then the request ends with what
    /// its attempt before brought.
    pub repeat: bool,
}

impl<D: Dialect> Exchange<D> {
    /// What came before the next ask.
    fn next_attempt(&mut self) -> Attempt {
        let asked = std::mem::replace(&mut self.asked, true);
        match (asked, self.sent) {
            (false, _) => Attempt::First,
            (true, 0) => Attempt::Resent,
            (true, _) => Attempt::Retry,
        }
    }

    /// Asks until a backend server is granted that can be used as seen from here.
    ///
    /// # Errors
    ///
    /// [`Refused`].
    pub async fn granted(&mut self) -> Result<Backend, Refused> {
        let mut again_ms = AGAIN_MS;
        for _ in 0..MOST_UNUSABLE {
            if self.worker.shared.is_held(self.digest) {
                return Err(Refused { error: self.held_back(), repeat: false });
            }
            let attempt = self.next_attempt();
            self.asked_at = clock::now();
            match self.ticket.decide(self.avoid.clone(), attempt, self.due).await {
                Decision::Run(grant) => match self.accept(grant) {
                    Ok(backend) => return Ok(backend),
                    Err(again) => again_ms = again.unwrap_or(again_ms),
                },
                Decision::Refused(refusal, retry_after) => {
                    let repeat = refusal == Refusal::NoRepeat as i16;
                    if repeat {
                        self.worker.shared.telemetry.count("drumusher.budget.spent", &[]);
                    }
                    let error = self.refusal(refusal, retry_after / MILLISECOND);
                    return Err(Refused { error, repeat });
                }
                Decision::Expired => {
                    let message = "no backend server had room in time";
                    let error = self.not_run(ErrorKind::WaitBound, message, AGAIN_MS);
                    return Err(Refused { error, repeat: false });
                }
            }
        }
        let message = "no backend server can be used";
        let error = self.not_run(ErrorKind::NoServer, message, again_ms);
        Err(Refused { error, repeat: false })
    }

    /// Takes a grant, or gives it back if its backend server cannot be used as seen from here.
    ///
    /// # Errors
    ///
    /// In how many milliseconds it can, if that is known.
    fn accept(&mut self, grant: Grant) -> Result<Backend, Option<u64>> {
        let Grant { server, source, expected, dispatcher, alone, known_limit } = grant;
        (self.alone, self.known_limit, self.expected) = (alone, known_limit, expected);
        self.dispatcher = Some(dispatcher);
        self.source = self.source_of(source);
        let usable = self.usable(&server);
        let withheld = usable.as_ref().and_then(|backend| self.may_send(backend).err());
        if let Some(backend) = usable.filter(|_| withheld.is_none()) {
            log::debug!(
                request = self.request.head.id.as_str(), server = &*server,
                dispatcher = self.dispatcher.as_deref().unwrap_or(""); "granted"
            );
            return Ok(backend);
        }
        self.avoid = Some(server);
        self.ticket.end(Outcome::Cancelled);
        match withheld {
            Some(Withheld::Resting(left)) => Err(Some(left / MILLISECOND)),
            _ => Err(None),
        }
    }

    /// The backend server from which the next attempt takes over what that one keeps of the prompt.
    /// After an attempt that failed with one there is none: it may have been the reason.
    fn source_of(&self, name: Option<Arc<str>>) -> Option<Backend> {
        if self.source_failed {
            return None;
        }
        self.usable(&name?).filter(|backend| !self.worker.shared.notices.leaves(backend))
    }

    /// The backend server, unless it is leaving or gone by the own view.
    fn usable(&self, server: &str) -> Option<Backend> {
        let pool = Pool::Service(self.request.found.service.clone());
        let directory = self.worker.shared.directory.load();
        directory.backend(&pool, server).filter(|backend| !backend.leaving).cloned()
    }
}
