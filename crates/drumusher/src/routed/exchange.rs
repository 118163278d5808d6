//! One request's attempts at backend servers, until there is an answer or none is possible.
//!
//! | module | duty |
//! |---|---|
//! | `request` | the caller's request, and its head as it is sent |
//! | `answer` | reads the head and the body of an answer |
//! | `crash` | whether a backend server ended while it ran the request |
//! | `failure` | why an attempt brought no answer |
//! | `grant` | asking for a backend server that can be used as seen from here |
//! | `end` | whether another attempt follows, and the final answer |
//! | `notice` | what backend servers say of themselves: heard, and looked at before anything is sent |
//! | `pace` | the pauses between the events of a stream |

mod answer;
mod crash;
mod end;
mod failure;
mod grant;
mod notice;
mod pace;
mod request;

pub use answer::{Brought, Whole};
pub use failure::Failure;
pub use grant::Refused;
pub use pace::Pace;
pub use request::Request;

use std::{cell::Cell, sync::Arc};

use drumusher_log::quarantine::Digest;
use drumusher_platform::{dialect::Dialect, routing::Kind};
use drumusher_schedule::{
    ask,
    time::{MILLISECOND, Micros},
};
use ntex::{
    http::{Method, Response},
    time::Millis,
};

use super::{
    Handle, digest,
    relay::Relay,
    ticket::{Ask, Ticket},
};
use crate::{
    process::{clock, notices::Basis},
    request::{id, in_flight::InFlight},
    upstream::{self, Conn, response::Part},
    version::{Backend, Pool},
};

/// The last part of the time that a request has, in which its final answer is on the way.
const LAST: Micros = 40 * MILLISECOND;
/// Longest time to connect. A connection takes 2 to 10 ms; a backend server that lost power or is
/// cut off says nothing at all.
const CONNECT: Millis = Millis(200);
/// A repeatable request whose backend server says nothing for so many times its target goes to
/// another one, but not before [`SILENT_LEAST`].
const SILENT_TARGETS: u64 = 2;
/// What its dispatcher expects the first event to take counts so many times on top: elsewhere, the
/// prompt would be read again behind as many others.
const SILENT_EXPECTED: u64 = 2;
/// See [`SILENT_TARGETS`].
const SILENT_LEAST: Micros = 400 * MILLISECOND;
/// When a caller whose request did not run is to come back, in milliseconds, where nothing better
/// is known: backend servers that shed have room again within some tens of milliseconds.
const AGAIN_MS: u64 = 150;

/// One request's way to its answer.
pub struct Exchange<D: Dialect> {
    /// What the worker's requests share.
    pub worker: Handle<D>,
    /// The request.
    pub request: Request,
    /// What tells it from others when it comes anew.
    digest: Digest,
    /// Its place at the dispatcher.
    pub ticket: Ticket,
    /// When its final answer is due.
    pub due: Micros,
    /// Backend servers it was sent to.
    pub sent: u32,
    /// What its caller saw of its events.
    pub pace: Pace,
    avoid: Option<Arc<str>>,
    /// The backend server of the latest attempt.
    at: Option<Backend>,
    /// The backend server from which the latest attempt takes over what that one keeps of the prompt.
    source: Option<Backend>,
    /// Whether an attempt with a source failed.
    source_failed: bool,
    /// How long the first event of the latest attempt is expected to take; 0 if nothing is known.
    expected: Micros,
    /// The instance that granted the latest attempt.
    dispatcher: Option<Arc<str>>,
    /// What its dispatcher knew of the limit of its backend server.
    basis: Basis,
    /// When it was handed over.
    handed_at: Micros,
    /// Whether the latest attempt is on trial, apart from others.
    alone: bool,
    unconnected: u32,
    /// Whether a dispatcher was asked.
    asked: bool,
    /// When it was asked last.
    asked_at: Micros,
    may_have_run: bool,
    /// Whether the line of its end was written.
    told: Cell<bool>,
    _in_flight: InFlight,
}

impl<D: Dialect> Exchange<D> {
    /// A request that was read.
    pub fn new(worker: Handle<D>, in_flight: InFlight, request: Request) -> Self {
        let shared = worker.shared.clone();
        let found = &request.found;
        let least = request.head.deadline_ms.unwrap_or(u64::MAX).min(found.timeout_ms);
        let due = request.arrived + (least * MILLISECOND).saturating_sub(LAST);
        let parts = request.head.parts.iter();
        let digest = digest::of(&shared.settings.fleet_secret, &request);
        let ask = Ask {
            pool: Pool::Service(found.service.clone()),
            workspace: found.workspace.clone().unwrap_or_else(|| "".into()),
            class: found.class.clone(),
            arrived: request.arrived,
            prompt: request.head.prompt,
            output: request.head.hint.unwrap_or(0),
            parts: parts.map(|p| ask::Part { id: p.id, tokens: p.tokens }).collect(),
            repeatable: found.kind.repeatable(),
            digest,
        };
        let ticket = Ticket::new(shared, id::random(), ask);
        Exchange {
            worker,
            request,
            digest,
            ticket,
            due,
            sent: 0,
            pace: Pace::default(),
            avoid: None,
            at: None,
            source: None,
            source_failed: false,
            expected: 0,
            dispatcher: None,
            basis: Basis::default(),
            handed_at: 0,
            alone: false,
            unconnected: 0,
            asked: false,
            asked_at: 0,
            may_have_run: false,
            told: Cell::new(false),
            _in_flight: in_flight,
        }
    }

    /// The final answer: of a backend server, or of the instance.
    pub async fn answer(mut self) -> Response {
        let mut last = None;
        loop {
            let backend = match self.granted().await {
                Ok(backend) => backend,
                Err(Refused { error, repeat }) => {
                    return match last.filter(|_| repeat) {
                        Some((backend, failure)) => self.conclude(&backend, failure),
                        None => self.refuse(error),
                    };
                }
            };
            match self.attempt(&backend, None).await {
                Ok((Brought::Whole(whole), conn)) => {
                    self.keep(&backend, conn);
                    return self.deliver(&backend, whole);
                }
                Ok((Brought::Stream(relay), conn)) => {
                    return (*relay).respond(self, backend, conn);
                }
                Err(failure) => {
                    self.note(&backend, &failure);
                    if !self.may_go_on(&failure) {
                        return self.conclude(&backend, failure);
                    }
                    last = Some((backend, failure));
                }
            }
        }
    }

    /// Hands the request to a backend server and waits for its answer, or for the first events of
    /// it. `last_event` is the last event delivered, if the answer is to go on after it.
    ///
    /// # Errors
    ///
    /// [`Failure`].
    pub async fn attempt(
        &mut self,
        backend: &Backend,
        last_event: Option<u64>,
    ) -> Result<(Brought<D>, Conn), Failure> {
        let mut conn = self.connect(backend).await?;
        // Connecting takes a while, in which another answer may have come.
        if self.may_send(backend).is_err() {
            self.keep(backend, conn);
            return Err(Failure::Withheld);
        }
        self.at = Some(backend.clone());
        let began = clock::now();
        let dialect = &self.worker.dialect;
        let source = self.source.as_ref().map(|source| &*source.address);
        let left_ms = self.left_ms();
        let headers = self.request.attempt(dialect, &backend.name, source, left_ms, last_event);
        let head = self.request.head_with(&headers);
        let bodiless = self.request.method == Method::HEAD;
        self.sent += 1;
        self.handed_at = clock::now();
        self.tell_repeat(backend);
        conn.send(&head, &self.request.body, bodiless).map_err(Failure::Broken)?;
        let until = self.first_until(began);
        let (head, answer) = self.head(&mut conn, until).await?;
        if answer.not_run {
            self.drain(backend, conn).await;
            return Err(Failure::NotRun(head.status));
        }
        let success = (200..300).contains(&head.status);
        if success && !answer.signed {
            return Err(Failure::Broken(upstream::Error::Malformed));
        }
        if success && self.request.found.kind.streams() {
            let mut relay = Relay::new(head, began, last_event);
            relay.first(self, &mut conn, until).await.map_err(Failure::Broken)?;
            return Ok((Brought::Stream(Box::new(relay)), conn));
        }
        let body = self.body(&mut conn).await.map_err(Failure::Broken)?;
        let whole = Whole { head, body };
        if whole.head.status >= 500 && self.request.found.kind == Kind::Repeatable {
            self.keep(backend, conn);
            return Err(Failure::Failed(Box::new(whole)));
        }
        Ok((Brought::Whole(whole), conn))
    }

    /// Writes a line for an attempt beyond the first, with the time since its dispatcher was asked for it. The bound
    /// on repeats is over what is sent, so that the lines of all instances together show whether it holds.
    fn tell_repeat(&self, backend: &Backend) {
        if self.sent < 2 {
            return;
        }
        log::info!(
            request = self.request.head.id.as_str(), service = &*self.request.found.service,
            server = &*backend.name, attempt = self.sent,
            dispatcher = self.dispatcher.as_deref().unwrap_or(""),
            waited_ms = clock::now().saturating_sub(self.asked_at) / MILLISECOND;
            "request sent again"
        );
    }

    async fn connect(&mut self, backend: &Backend) -> Result<Conn, Failure> {
        let address = backend.address.parse().map_err(|_| Failure::NotConnected)?;
        let fresh = !self.request.found.kind.repeatable();
        let limit = Millis(self.left_ms().clamp(1, u64::from(CONNECT.0)) as u32);
        let taken = self.worker.conns.take(backend, address, fresh, limit).await;
        taken.map_err(|_| Failure::NotConnected)
    }

    /// Milliseconds until the final answer is due.
    fn left_ms(&self) -> u64 {
        self.due.saturating_sub(clock::now()) / MILLISECOND
    }

    /// Until when the first sign of an answer is waited for: a request that can go elsewhere does
    /// not wait for a silent backend server until its time is over.
    fn first_until(&self, began: Micros) -> Micros {
        let found = &self.request.found;
        if !found.kind.repeatable() || self.sent >= found.attempts {
            return self.due;
        }
        let patience = (found.first_ms * MILLISECOND * SILENT_TARGETS).max(SILENT_LEAST);
        self.due.min(began + patience + self.expected * SILENT_EXPECTED)
    }

    /// Waits for a piece of the answer until `until`. What a backend server ran ends when it starts again, also
    /// if nothing closes the connection: one that lost power says nothing until its client's time is over.
    ///
    /// # Errors
    ///
    /// As [`Conn::piece`].
    pub async fn next_part(&self, conn: &mut Conn, until: Micros) -> Result<Part, upstream::Error> {
        conn.next_part(until, || self.started_again()).await
    }

    /// Whether the backend server of the latest attempt started again meanwhile.
    fn started_again(&self) -> bool {
        let pool = Pool::Service(self.request.found.service.clone());
        let directory = self.worker.shared.directory.load();
        self.at.as_ref().is_some_and(|backend| directory.has_restarted(&pool, backend))
    }

    /// Keeps the connection of a whole answer for other requests.
    pub fn keep(&self, backend: &Backend, conn: Conn) {
        self.worker.conns.give(backend, conn);
    }
}
