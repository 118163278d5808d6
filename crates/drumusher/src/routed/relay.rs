//! Relays an event stream: forwards only complete events, each exactly once, and resumes the stream on another backend
//! server if the route allows it.

use std::{fmt, pin::pin, sync::Arc};

use drumusher_platform::{dialect::Dialect, routing::Kind};
use drumusher_schedule::{
    ask::Outcome,
    time::{MILLISECOND, Micros},
};
use futures_util::stream;
use memchr::memmem;
use ntex::{
    http::{Response, body::BodyStream},
    io::IoRef,
    util::{Bytes, BytesMut, Either, select},
};

use super::exchange::{BackendResponse, Exchange, Failure};
use crate::{
    delivery::{Delivery, Undelivered},
    process::{
        clock,
        memory::{Budget, Reservation, Use},
    },
    upstream::{
        Conn, Error,
        response::{Head, Part},
    },
    version::Backend,
};

/// Interval between progress reports on a running stream.
const REPORT_INTERVAL: Micros = 300 * MILLISECOND;
/// A resumable stream moves to another backend server after this multiple of its target gap without an event.
const GAP_TIMEOUT_FACTOR: u64 = 8;
/// Lower bound of that timeout: a backend server may pause this long while it processes another long prompt.
const MIN_GAP_TIMEOUT: Micros = 900 * MILLISECOND;
/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1_048_576;
/// Terminates an event.
const EVENT_DELIMITER: &[u8] = b"\n\n";

/// Body error of a stream that was cut off after it began.
#[derive(Clone, Copy, Debug)]
pub struct StreamAborted;

impl fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream was cut off")
    }
}

impl std::error::Error for StreamAborted {}

/// How much of a stream has been received, over all of its attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Number of the last complete event.
    pub last_event: Option<u64>,
    /// Count of complete events.
    pub events: u32,
}

/// An event stream as one attempt produces it. A resumed stream gets a new relay, which takes over nothing but the
/// [`Progress`]: backend servers frame their responses differently.
pub struct Relay<D> {
    head: Head,
    started: Micros,
    /// Received bytes that do not form a complete event yet.
    buffer: BytesMut,
    /// Complete events that are ready for the client.
    ready: BytesMut,
    progress: Progress,
    reported_at: Micros,
    reported_events: u32,
    complete: bool,
    /// Memory for the buffer while it holds a large event.
    memory: Reservation,
    dialect: std::marker::PhantomData<D>,
}

/// A stream that is being sent to its client.
struct ActiveStream<D: Dialect> {
    /// Status of the response to the client.
    status: u16,
    relay: Relay<D>,
    exchange: Exchange<D>,
    backend: Backend,
    conn: Option<Conn>,
    /// Whether the silence of the current backend server was reported.
    silence_reported: bool,
    client: Option<IoRef>,
    aborted: bool,
}

impl<D: Dialect> Relay<D> {
    /// Creates a relay for an attempt that was sent at `started` and whose head was received. The stream goes on after
    /// `progress`.
    pub fn new(head: Head, started: Micros, progress: Progress, budget: &Arc<Budget>) -> Self {
        Relay {
            head,
            started,
            buffer: BytesMut::new(),
            ready: BytesMut::new(),
            progress,
            reported_at: started,
            reported_events: progress.events,
            complete: false,
            memory: Reservation::new(budget.clone(), Use::Response),
            dialect: std::marker::PhantomData,
        }
    }

    /// Waits for the first complete event, so that an attempt that fails before it can be retried.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of the connection.
    pub async fn wait_first_event(
        &mut self,
        exchange: &mut Exchange<D>,
        conn: &mut Conn,
        until: Micros,
    ) -> Result<(), Error> {
        while self.ready.is_empty() && !self.complete {
            let part = exchange.next_part(conn, until).await?;
            self.push(exchange, part)?;
        }
        let begins = exchange.timing.client_first_event.is_none();
        let elapsed = clock::now() - self.started;
        exchange.timing.backend_first_event = Some(elapsed);
        exchange.first_event_at = Some(clock::now());
        exchange.bind_stream();
        exchange.ticket.report_progress(self.progress.events, Some(elapsed), 0);
        self.reported_at = clock::now();
        self.reported_events = self.progress.events;
        if begins {
            let class = &exchange.request.route_match.class;
            let seconds = exchange.age_ms() as f64 / 1_000.0;
            exchange.worker.shared.telemetry.record_first_token(class, seconds);
        }
        Ok(())
    }

    /// Processes a part of the response.
    fn push(&mut self, exchange: &mut Exchange<D>, part: Part) -> Result<(), Error> {
        match part {
            Part::Head(_) => Err(Error::Malformed),
            Part::Data(bytes) => {
                self.buffer.extend_from_slice(&bytes);
                self.split_events(exchange)?;
                self.reserve_buffer()
            }
            Part::End if self.head.until_close && !self.buffer.is_empty() => Err(Error::Closed),
            Part::End => {
                self.ready.extend_from_slice(&self.buffer);
                self.buffer.clear();
                self.complete = true;
                Ok(())
            }
        }
    }

    /// Moves complete events to the output; events that the client already has are dropped.
    fn split_events(&mut self, exchange: &mut Exchange<D>) -> Result<(), Error> {
        while let Some(end) = memmem::find(&self.buffer, EVENT_DELIMITER) {
            let event = self.buffer.split_to(end + EVENT_DELIMITER.len());
            let number = exchange.worker.dialect.event_number(&event);
            if number.is_some() && number <= self.progress.last_event && exchange.attempts_sent > 1
            {
                continue;
            }
            self.progress.last_event = number.or(self.progress.last_event);
            self.progress.events += 1;
            self.ready.extend_from_slice(&event);
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Error::Malformed);
        }
        self.report(exchange);
        Ok(())
    }

    /// Reserves memory for an incomplete event if it is large.
    fn reserve_buffer(&mut self) -> Result<(), Error> {
        let reserved = self.memory.hold_event(self.buffer.len(), MAX_EVENT_BYTES);
        if reserved { Ok(()) } else { Err(Error::NoMemory) }
    }

    fn report(&mut self, exchange: &mut Exchange<D>) {
        let now = clock::now();
        let new = u64::from(self.progress.events - self.reported_events);
        if new == 0 || now < self.reported_at + REPORT_INTERVAL {
            return;
        }
        exchange.ticket.report_progress(self.progress.events, None, (now - self.reported_at) / new);
        self.reported_at = now;
        self.reported_events = self.progress.events;
    }

    /// Builds the response to the client, with the stream as its body.
    pub fn respond(self, mut exchange: Exchange<D>, backend: Backend, conn: Conn) -> Response {
        let mut builder = exchange.response_builder(&self.head);
        let route_match = &exchange.request.route_match;
        if route_match.kind != Kind::Resumable || exchange.attempts_sent >= route_match.attempts {
            exchange.release_body();
        }
        let shared = exchange.worker.shared.clone();
        // The exchange ends with the last event, before the end of the body is sent.
        let in_use = exchange.request.in_use.take();
        let client = exchange.request.client.clone();
        let active = ActiveStream {
            status: self.head.status,
            relay: self,
            exchange,
            backend,
            conn: Some(conn),
            silence_reported: false,
            client: client.clone(),
            aborted: false,
        };
        let body = stream::unfold(active, |mut active| async move {
            let next = active.next().await?;
            Some((next, active))
        });
        let body = BodyStream::new(Box::pin(body));
        let held = (Undelivered::new(shared.clone()), in_use);
        builder.body(Delivery::new(shared, client, body, held).into_body())
    }
}

impl<D: Dialect> ActiveStream<D> {
    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, StreamAborted>> {
        loop {
            if !self.relay.ready.is_empty() {
                let (arrived, events) = (self.exchange.request.arrived, self.relay.progress.events);
                self.exchange.timing.record_events(clock::now(), arrived, events);
                return Some(Ok(self.relay.ready.take()));
            }
            if self.relay.complete {
                self.finish();
                return None;
            }
            if self.aborted {
                return Some(Err(StreamAborted));
            }
            match self.read_part().await {
                Ok(()) => {}
                Err(Error::TimedOut) if clock::now() < self.exchange.deadline => {
                    self.replace_silent().await;
                }
                Err(error) => self.handle_break(error).await,
            }
        }
    }

    /// Waits for the next part of the response.
    async fn read_part(&mut self) -> Result<(), Error> {
        let until = self.gap_deadline();
        let conn = self.conn.as_mut().ok_or(Error::Closed)?;
        let part = self.exchange.next_part(conn, until).await?;
        self.relay.push(&mut self.exchange, part)
    }

    fn gap_deadline(&self) -> Micros {
        let route_match = &self.exchange.request.route_match;
        let resumable = route_match.kind == Kind::Resumable
            && self.exchange.attempts_sent < route_match.attempts;
        if !resumable {
            return self.exchange.deadline;
        }
        let gap = (route_match.gap_ms * MILLISECOND * GAP_TIMEOUT_FACTOR).max(MIN_GAP_TIMEOUT);
        self.exchange.deadline.min(clock::now() + gap)
    }

    fn finish(&mut self) {
        self.exchange.ticket.finish(Outcome::Done);
        self.exchange.log_end(&self.backend.name, "delivered", self.status);
        if let Some(conn) = self.conn.take() {
            self.exchange.return_conn(&self.backend, conn);
        }
    }

    /// Moves the stream from a silent backend server to another one, once one is granted. Until then the silent one may go
    /// on, since a refusal says nothing about it.
    async fn replace_silent(&mut self) {
        let Some(mut conn) = self.conn.take() else { return self.abort() };
        if !std::mem::replace(&mut self.silence_reported, true) {
            self.exchange.record_failure(&self.backend, &Failure::Broken(Error::TimedOut));
        }
        let (deadline, is_gone) = (self.exchange.deadline, self.exchange.restart_check());
        let first = {
            let granting = pin!(self.exchange.acquire_backend());
            let reading = pin!(conn.next_part(deadline, is_gone));
            select(granting, reading).await
        };
        match first {
            Either::Left(Ok(backend)) => {
                drop(conn);
                match self.resume_at(backend).await {
                    Ok(()) => {}
                    Err(Some(failure)) => self.recover(failure).await,
                    Err(None) => self.abort(),
                }
            }
            Either::Left(Err(_)) => self.conn = Some(conn),
            Either::Right(received) => {
                self.exchange.ticket.finish(Outcome::Cancelled);
                let received = match received {
                    Ok(part) => self.exchange.check_end(&conn, part).await,
                    Err(error) => Err(error),
                };
                self.conn = Some(conn);
                let pushed = received.and_then(|part| self.relay.push(&mut self.exchange, part));
                if let Err(error) = pushed {
                    self.handle_break(error).await;
                }
            }
        }
    }

    /// Handles a broken attempt.
    async fn handle_break(&mut self, error: Error) {
        self.conn = None;
        self.relay.buffer.clear();
        self.recover(Failure::Broken(error)).await;
    }

    /// Resumes the stream on another backend server after a failed attempt, or cuts it off in a way that the client can't
    /// mistake for a regular end.
    async fn recover(&mut self, mut failure: Failure) {
        loop {
            self.exchange.record_failure(&self.backend, &failure);
            let resumable = self.exchange.request.route_match.kind == Kind::Resumable;
            if !resumable || !self.exchange.may_retry(&failure) {
                return self.abort();
            }
            match self.resume().await {
                Ok(()) => return,
                Err(Some(next_failure)) => failure = next_failure,
                Err(None) => return self.abort(),
            }
        }
    }

    /// Makes one attempt to resume the stream after the last complete event.
    async fn resume(&mut self) -> Result<(), Option<Failure>> {
        let backend = self.exchange.acquire_backend().await.map_err(|_| None)?;
        self.resume_at(backend).await
    }

    async fn resume_at(&mut self, backend: Backend) -> Result<(), Option<Failure>> {
        self.backend = backend.clone();
        self.silence_reported = false;
        let progress = self.relay.progress;
        let (received, conn) = self.exchange.attempt(&backend, progress).await.map_err(Some)?;
        let BackendResponse::Stream(next) = received else {
            return Err(None);
        };
        self.relay = *next;
        self.conn = Some(conn);
        Ok(())
    }

    /// Closes the client's connection in the middle of the response.
    fn abort(&mut self) {
        self.aborted = true;
        self.exchange.log_end(&self.backend.name, "broken off", self.status);
        if let Some(client) = &self.client {
            client.terminate();
        }
    }
}
