//! The attempts to serve one request at backend servers, until a response is available or no attempt is left.
//!
//! | module | responsibility |
//! |---|---|
//! | `request` | the client's request, and the encoded head sent to backend servers |
//! | `response` | reads the head and body of a response |
//! | `cells` | the pools of its service that a request may turn to |
//! | `crash` | detects that a backend server crashed while it ran the request |
//! | `failure` | reasons why an attempt failed |
//! | `grant` | obtains a grant for a backend server that this instance considers usable |
//! | `end` | retry decision and final response |
//! | `notice` | records notices of backend servers (limit, rest, leaving) and checks them before sending |
//! | `path` | connects to a backend server, through another instance if the path to it is lost |
//! | `stream` | binds a stream to the software version that began it |
//! | `timing` | time to the first event and gaps between events |

mod cells;
mod crash;
mod end;
mod failure;
mod grant;
mod notice;
mod path;
mod request;
mod response;
mod stream;
mod timing;

pub use crash::Watch;
pub use failure::Failure;
pub use grant::Refused;
pub use path::probe_lost_paths;
pub use request::Request;
use request::Terms;
pub use response::{BackendResponse, BufferedResponse};
pub use timing::StreamTiming;

use std::{
    cell::{Cell, OnceCell},
    sync::Arc,
};

use drumusher_log::quarantine::Digest;
use drumusher_platform::{dialect::Dialect, routing::Kind};
use drumusher_schedule::{
    ask,
    time::{MILLISECOND, Micros},
};
use ntex::{
    http::{Method, Response},
    util::Bytes,
};

use self::cells::Pools;
use super::{
    Handle, digest,
    relay::{Progress, Relay},
    ticket::{Spec, Ticket},
};
use crate::{
    process::{clock, notices::KnownLimit},
    request::{id, in_flight::InFlight},
    upstream::{self, Conn, Key, response::Part},
    version::Backend,
};

/// Part of a request's time that is reserved for delivering the final response.
const RESPONSE_MARGIN: Micros = 40 * MILLISECOND;
/// A repeatable request moves to another backend server after this multiple of its latency target without any
/// response, but not before [`MIN_SILENCE`].
const SILENCE_TARGET_FACTOR: u64 = 2;
/// Multiple of the dispatcher's estimate for the first event that is added to that timeout: another backend server
/// would have to process the prompt again, behind as many other requests.
const SILENCE_EXPECTED_FACTOR: u64 = 2;
/// Lower bound of the timeout described at [`SILENCE_TARGET_FACTOR`].
const MIN_SILENCE: Micros = 400 * MILLISECOND;
/// Default `Retry-After` in milliseconds for a request that did not run: backend servers that shed load have capacity
/// again within some tens of milliseconds.
const RETRY_AFTER_MS: u64 = 150;

/// State of serving one request, across all of its attempts.
pub struct Exchange<D: Dialect> {
    /// State shared by the requests of the worker.
    pub worker: Handle<D>,
    /// The client's request.
    pub request: Request,
    /// Digest that recognises repeated submissions of the same request.
    digest: Digest,
    /// Registration with the dispatcher.
    pub ticket: Ticket,
    /// The pools to turn to if that of the ticket refuses the request.
    pools: Pools,
    /// Time by which the final response has to be sent.
    pub deadline: Micros,
    /// Number of attempts sent to backend servers.
    pub attempts_sent: u32,
    /// Timing of the stream's events.
    pub timing: StreamTiming,
    avoid: Option<Arc<str>>,
    /// Backend server of the latest attempt.
    backend: Option<Backend>,
    /// Backend server from which the latest attempt fetches cached prompt state.
    cache_source: Option<Backend>,
    /// Whether an attempt with a cache source failed.
    cache_source_failed: bool,
    /// Urgency of the latest attempt inside the engine, if it is not the priority of the route.
    urgency: Option<u8>,
    /// Time that the first event of the latest attempt is expected to take; 0 if unknown.
    expected_first_event: Micros,
    /// Instance whose dispatcher granted the latest attempt.
    dispatcher: Option<Arc<str>>,
    /// What that dispatcher knew about the backend server's limit.
    known_limit: KnownLimit,
    /// Time at which the latest attempt was sent.
    sent_at: Micros,
    /// Whether the latest attempt runs in isolation, as a trial of a suspected request.
    isolated: bool,
    /// Whether the latest attempt goes through another instance.
    tunnelled: bool,
    /// Whether the latest attempt was not connected because this instance lost its paths.
    path_blamed: bool,
    /// When the first event of the latest attempt arrived.
    pub first_event_at: Option<Micros>,
    /// Digests of the parts of the prompt, once they were needed.
    part_digests: OnceCell<Vec<Digest>>,
    /// When it was last recorded that the backend server of the latest attempt was heard.
    heard_at: Cell<Micros>,
    /// When the latest part of the response of the latest attempt arrived.
    received_at: Cell<Micros>,
    /// Whether the backend server of the latest attempt is watched for a crash because of it.
    watched: Cell<bool>,
    unsent_failures: u32,
    /// Whether a grant was requested at least once.
    grant_requested: bool,
    /// Time of the latest request for a grant.
    grant_requested_at: Micros,
    may_have_run: bool,
    /// Whether the end of the request was logged.
    end_logged: Cell<bool>,
    in_flight: InFlight,
}

impl<D: Dialect> Exchange<D> {
    /// Starts the exchange for a request that was read and checked.
    pub fn new(worker: Handle<D>, in_flight: InFlight, request: Request) -> Self {
        let shared = worker.shared.clone();
        let route_match = &request.route_match;
        let timeout_ms = request.head.deadline_ms.unwrap_or(u64::MAX).min(route_match.timeout_ms);
        let deadline = request.arrived + (timeout_ms * MILLISECOND).saturating_sub(RESPONSE_MARGIN);
        let parts = request.head.parts.iter();
        let parts: Vec<_> = parts.map(|p| ask::Part { id: p.id, tokens: p.tokens }).collect();
        let id = id::random();
        let (pool, pools) = Pools::new(&shared, route_match, id, &parts);
        let digest = digest::compute(&shared.settings.fleet_secret, &request);
        let stream = stream::of_request(&shared, &request, deadline);
        let spec = Spec {
            pool,
            workspace: route_match.workspace.clone().unwrap_or_else(|| "".into()),
            class: route_match.class.clone(),
            arrived: request.arrived,
            deadline,
            prompt: request.head.prompt,
            output: request.head.hint.unwrap_or(0),
            parts,
            repeatable: route_match.kind.repeatable(),
            digest,
            stream,
        };
        let ticket = Ticket::new(shared, id, spec);
        Exchange {
            worker,
            request,
            digest,
            ticket,
            pools,
            deadline,
            attempts_sent: 0,
            timing: StreamTiming::default(),
            avoid: None,
            backend: None,
            cache_source: None,
            cache_source_failed: false,
            urgency: None,
            expected_first_event: 0,
            dispatcher: None,
            known_limit: KnownLimit::default(),
            sent_at: 0,
            isolated: false,
            tunnelled: false,
            path_blamed: false,
            first_event_at: None,
            part_digests: OnceCell::new(),
            heard_at: Cell::new(0),
            received_at: Cell::new(0),
            watched: Cell::new(false),
            unsent_failures: 0,
            grant_requested: false,
            grant_requested_at: 0,
            may_have_run: false,
            end_logged: Cell::new(false),
            in_flight,
        }
    }

    /// Runs attempts until there is a final response, from a backend server or generated by the instance.
    pub async fn run(mut self) -> Response {
        let mut last = None;
        loop {
            let backend = match self.acquire_backend().await {
                Ok(backend) => backend,
                Err(Refused { error, retry_budget_exhausted }) => {
                    return match last.filter(|_| retry_budget_exhausted) {
                        Some((backend, failure)) => self.respond_to_failure(&backend, failure),
                        None => self.respond_with_error(error),
                    };
                }
            };
            match self.attempt(&backend, Progress::default()).await {
                Ok((BackendResponse::Buffered(response), conn)) => {
                    self.return_conn(&backend, conn);
                    return self.respond_with(&backend, response);
                }
                Ok((BackendResponse::Stream(relay), conn)) => {
                    return (*relay).respond(self, backend, conn);
                }
                Err(failure) => {
                    self.record_failure(&backend, &failure);
                    if !self.may_retry(&failure) {
                        return self.respond_to_failure(&backend, failure);
                    }
                    last = Some((backend, failure));
                }
            }
        }
    }

    /// Sends the request to a backend server and waits for its response, or for the first events of a stream.
    /// A stream is resumed after `progress`.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if the attempt produced no response.
    pub async fn attempt(
        &mut self,
        backend: &Backend,
        progress: Progress,
    ) -> Result<(BackendResponse<D>, Conn), Failure> {
        let mut conn = self.connect(backend).await?;
        // A notice may have arrived from another response while connecting.
        if self.check_withheld(backend).is_err() {
            self.return_conn(backend, conn);
            return Err(Failure::Withheld);
        }
        self.backend = Some(backend.clone());
        self.tunnelled = conn.is_tunnel();
        self.heard_at.set(0);
        self.received_at.set(0);
        self.watched.set(false);
        self.first_event_at = None;
        let began = clock::now();
        let dialect = &self.worker.dialect;
        let source = self.cache_source.as_ref().map(|source| &*source.address);
        let remaining_ms = self.remaining_ms();
        let terms = Terms {
            server: &backend.name,
            source,
            remaining_ms,
            last_event: progress.last_event,
            urgency: self.urgency,
        };
        let headers = self.request.attempt_headers(dialect, &terms);
        let head = self.request.encode_head(&headers);
        let is_head = self.request.method == Method::HEAD;
        self.attempts_sent += 1;
        self.sent_at = clock::now();
        self.log_retry(backend);
        let request = Key::new(&self.request.head.id);
        conn.send(Some(request), &head, &self.request.body, is_head).map_err(Failure::Broken)?;
        let until = self.first_event_deadline(began);
        let (head, answer) = self.read_head(&mut conn, until).await?;
        if answer.not_run {
            self.drain_refusal(backend, conn).await;
            return Err(Failure::NotRun(head.status));
        }
        let is_success = (200..300).contains(&head.status);
        if is_success && !answer.signed {
            return Err(Failure::Broken(upstream::Error::Malformed));
        }
        if is_success && self.request.route_match.kind.streams() {
            let mut relay = Relay::new(head, began, progress, &self.worker.shared.memory);
            relay.wait_first_event(self, &mut conn, until).await.map_err(Failure::Broken)?;
            return Ok((BackendResponse::Stream(Box::new(relay)), conn));
        }
        let response = self.read_body(&mut conn, head).await.map_err(Failure::Broken)?;
        if response.head.status >= 500 && self.request.route_match.kind == Kind::Repeatable {
            self.return_conn(backend, conn);
            return Err(Failure::Failed(Box::new(response)));
        }
        Ok((BackendResponse::Buffered(response), conn))
    }

    /// Drops the body of the request, which is not sent again.
    pub fn release_body(&mut self) {
        self.request.body = Bytes::new();
        self.in_flight.hold_body(0);
    }

    /// Logs every attempt after the first, with the time since its grant was requested. The retry budget bounds what
    /// is sent, so the log lines of all instances together show whether it holds.
    fn log_retry(&self, backend: &Backend) {
        if self.attempts_sent < 2 {
            return;
        }
        log::info!(
            request = self.request.head.id.as_str(), service = &*self.request.route_match.service,
            server = &*backend.name, attempt = self.attempts_sent,
            dispatcher = self.dispatcher.as_deref().unwrap_or(""),
            waited_ms = clock::now().saturating_sub(self.grant_requested_at) / MILLISECOND;
            "request sent again"
        );
    }

    /// Milliseconds left until the deadline.
    fn remaining_ms(&self) -> u64 {
        self.deadline.saturating_sub(clock::now()) / MILLISECOND
    }

    /// Deadline for the first part of the response. A request that can be retried elsewhere does not wait for a silent
    /// backend server until its own deadline.
    fn first_event_deadline(&self, began: Micros) -> Micros {
        let route_match = &self.request.route_match;
        if !route_match.kind.repeatable() || self.attempts_sent >= route_match.attempts {
            return self.deadline;
        }
        let silence = (route_match.first_ms * MILLISECOND * SILENCE_TARGET_FACTOR).max(MIN_SILENCE);
        self.deadline.min(began + silence + self.expected_first_event * SILENCE_EXPECTED_FACTOR)
    }

    /// Waits for the next part of the response until `until`. The wait also ends if the backend server restarts, even
    /// if the connection stays open: a server that lost power sends nothing, and the client would time out.
    ///
    /// # Errors
    ///
    /// See [`Conn::next_part`].
    pub async fn next_part(&self, conn: &mut Conn, until: Micros) -> Result<Part, upstream::Error> {
        let since = clock::now();
        let is_gone = || {
            self.watch_silent(since);
            self.backend_restarted() || self.gives_up_path(since)
        };
        let part = conn.next_part(until, is_gone).await;
        if part.is_ok() {
            self.received_at.set(clock::now());
            self.record_heard();
        }
        self.check_end(conn, part?).await
    }

    /// Checks the end of a response that has no other end than that of its connection: the host of a backend server that
    /// crashed closes its connections, too.
    ///
    /// # Errors
    ///
    /// [`upstream::Error::Closed`] if the backend server crashed.
    pub async fn check_end(&self, conn: &Conn, part: Part) -> Result<Part, upstream::Error> {
        let is_end = matches!(part, Part::End) && conn.ended_by_close();
        if is_end && self.has_crashed().await {
            return Err(upstream::Error::Closed);
        }
        Ok(part)
    }

    /// Returns whether the backend server of the latest attempt has restarted since.
    fn backend_restarted(&self) -> bool {
        let directory = self.worker.shared.directory.load();
        let backend = self.backend.as_ref();
        backend.is_some_and(|backend| directory.has_restarted(self.ticket.pool(), backend))
    }

    /// The check whether the backend server of the latest attempt has restarted, for use while another one is acquired.
    pub fn restart_check(&self) -> impl Fn() -> bool + use<D> {
        let (shared, pool) = (self.worker.shared.clone(), self.ticket.pool().clone());
        let backend = self.backend.clone();
        move || {
            let directory = shared.directory.load();
            backend.as_ref().is_some_and(|backend| directory.has_restarted(&pool, backend))
        }
    }

    /// Returns the connection to the pool after a complete response.
    pub fn return_conn(&self, backend: &Backend, conn: Conn) {
        self.worker.conns.put(backend, conn);
    }
}
