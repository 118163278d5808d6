//! Passing a stream of events on: whole events only, each once, and resumed elsewhere where the
//! route allows it.

use std::fmt;

use drumusher_platform::{dialect::Dialect, routing::Kind};
use drumusher_schedule::{
    ask::Outcome,
    time::{MILLISECOND, Micros},
};
use futures_util::stream;
use memchr::memmem;
use ntex::{
    http::Response,
    io::IoRef,
    util::{Bytes, BytesMut},
};

use super::exchange::{Brought, Exchange, Failure};
use crate::{
    process::clock,
    upstream::{
        Conn, Error,
        response::{Head, Part},
    },
    version::Backend,
};

/// Time between two reports on a running stream.
const REPORT_EVERY: Micros = 300 * MILLISECOND;
/// A stream that may be resumed goes on elsewhere after so many silent targets between events…
const SILENT_GAPS: u64 = 8;
/// …but not before this: a backend server that reads a long prompt beside it may pause so long.
const SILENT_LEAST: Micros = 900 * MILLISECOND;
/// Longest event in bytes.
const LONGEST: usize = 1_048_576;
/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Why a stream that began could not be finished.
#[derive(Clone, Copy, Debug)]
pub struct Unfinished;

impl fmt::Display for Unfinished {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream broke off")
    }
}

impl std::error::Error for Unfinished {}

/// One stream of events, over the attempts at it.
pub struct Relay<D> {
    head: Head,
    began: Micros,
    /// Bytes that are no whole event yet.
    rest: BytesMut,
    /// Whole events for the caller.
    ready: BytesMut,
    /// The number of the last whole event.
    last: Option<u64>,
    events: u32,
    reported: Micros,
    reported_events: u32,
    whole: bool,
    dialect: std::marker::PhantomData<D>,
}

/// A stream under way to its caller.
struct Running<D: Dialect> {
    relay: Relay<D>,
    exchange: Exchange<D>,
    backend: Backend,
    conn: Option<Conn>,
    caller: Option<IoRef>,
    over: bool,
}

impl<D: Dialect> Relay<D> {
    /// A stream whose head came.
    pub fn new(head: Head, began: Micros, last: Option<u64>) -> Self {
        Relay {
            head,
            began,
            rest: BytesMut::new(),
            ready: BytesMut::new(),
            last,
            events: 0,
            reported: began,
            reported_events: 0,
            whole: false,
            dialect: std::marker::PhantomData,
        }
    }

    /// Waits for the first whole event, so that an attempt that breaks before it can be replaced.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of the connection.
    pub async fn first(
        &mut self,
        exchange: &mut Exchange<D>,
        conn: &mut Conn,
        until: Micros,
    ) -> Result<(), Error> {
        while self.ready.is_empty() && !self.whole {
            let piece = exchange.next_part(conn, until).await?;
            self.take(exchange, piece)?;
        }
        let first = clock::now() - self.began;
        exchange.pace.handed = Some(first);
        exchange.ticket.report(self.events, Some(first), 0);
        self.reported = clock::now();
        self.reported_events = self.events;
        let class = &exchange.request.found.class;
        let seconds = exchange.age_ms() as f64 / 1_000.0;
        exchange.worker.shared.telemetry.record_first_token(class, seconds);
        Ok(())
    }

    /// Takes a piece of the stream.
    fn take(&mut self, exchange: &mut Exchange<D>, piece: Part) -> Result<(), Error> {
        match piece {
            Part::Head(_) => Err(Error::Malformed),
            Part::Data(bytes) => {
                self.rest.extend_from_slice(&bytes);
                self.cut(exchange)
            }
            Part::End if self.head.until_close && !self.rest.is_empty() => Err(Error::Closed),
            Part::End => {
                self.ready.extend_from_slice(&self.rest);
                self.rest.clear();
                self.whole = true;
                Ok(())
            }
        }
    }

    /// Moves whole events to those for the caller; one that it has already is dropped.
    fn cut(&mut self, exchange: &mut Exchange<D>) -> Result<(), Error> {
        while let Some(end) = memmem::find(&self.rest, EVENT_END) {
            let event = self.rest.split_to(end + EVENT_END.len());
            let number = exchange.worker.dialect.event_number(&event);
            if number.is_some() && number <= self.last && exchange.sent > 1 {
                continue;
            }
            self.last = number.or(self.last);
            self.events += 1;
            self.ready.extend_from_slice(&event);
        }
        if self.rest.len() > LONGEST {
            return Err(Error::Malformed);
        }
        self.report(exchange);
        Ok(())
    }

    fn report(&mut self, exchange: &mut Exchange<D>) {
        let now = clock::now();
        let new = u64::from(self.events - self.reported_events);
        if new == 0 || now < self.reported + REPORT_EVERY {
            return;
        }
        exchange.ticket.report(self.events, None, (now - self.reported) / new);
        self.reported = now;
        self.reported_events = self.events;
    }

    /// The answer to the caller, whose body is the stream.
    pub fn respond(self, exchange: Exchange<D>, backend: Backend, conn: Conn) -> Response {
        let mut builder = exchange.head_of(&self.head);
        let caller = exchange.request.caller.clone();
        let running =
            Running { relay: self, exchange, backend, conn: Some(conn), caller, over: false };
        let body = stream::unfold(running, |mut running| async move {
            let next = running.next().await?;
            Some((next, running))
        });
        builder.streaming(Box::pin(body))
    }
}

impl<D: Dialect> Running<D> {
    /// The next whole events; `None` when the stream is whole.
    async fn next(&mut self) -> Option<Result<Bytes, Unfinished>> {
        loop {
            if !self.relay.ready.is_empty() {
                self.exchange.pace.event(clock::now(), self.exchange.request.arrived);
                return Some(Ok(self.relay.ready.take()));
            }
            if self.relay.whole {
                self.finish();
                return None;
            }
            if self.over {
                return Some(Err(Unfinished));
            }
            if let Err(error) = self.advance().await {
                self.broke(error).await;
            }
        }
    }

    /// Waits for one more piece.
    async fn advance(&mut self) -> Result<(), Error> {
        let until = self.silent_until();
        let conn = self.conn.as_mut().ok_or(Error::Closed)?;
        let piece = self.exchange.next_part(conn, until).await?;
        self.relay.take(&mut self.exchange, piece)
    }

    fn silent_until(&self) -> Micros {
        let found = &self.exchange.request.found;
        let resumable = found.kind == Kind::Resumable && self.exchange.sent < found.attempts;
        if !resumable {
            return self.exchange.due;
        }
        let patience = (found.gap_ms * MILLISECOND * SILENT_GAPS).max(SILENT_LEAST);
        self.exchange.due.min(clock::now() + patience)
    }

    fn finish(&mut self) {
        self.exchange.ticket.end(Outcome::Done);
        self.exchange.ended(&self.backend.name, "delivered", self.relay.head.status);
        if let Some(conn) = self.conn.take() {
            self.exchange.keep(&self.backend, conn);
        }
    }

    /// The attempt broke: the stream goes on elsewhere, or is cut so that it does not look whole.
    async fn broke(&mut self, error: Error) {
        self.conn = None;
        self.relay.rest.clear();
        let mut failure = Failure::Broken(error);
        loop {
            self.exchange.note(&self.backend, &failure);
            let resumable = self.exchange.request.found.kind == Kind::Resumable;
            if !resumable || !self.exchange.may_go_on(&failure) {
                self.cut();
                return;
            }
            match self.resume().await {
                Ok(()) => return,
                Err(Some(again)) => failure = again,
                Err(None) => {
                    self.cut();
                    return;
                }
            }
        }
    }

    /// One attempt to go on elsewhere after the last whole event.
    async fn resume(&mut self) -> Result<(), Option<Failure>> {
        let backend = self.exchange.granted().await.map_err(|_| None)?;
        self.backend = backend.clone();
        let last = self.relay.last;
        let (brought, conn) = self.exchange.attempt(&backend, last).await.map_err(Some)?;
        let Brought::Stream(mut next) = brought else {
            return Err(None);
        };
        std::mem::swap(&mut next.head, &mut self.relay.head);
        next.events += self.relay.events;
        self.relay = *next;
        self.conn = Some(conn);
        Ok(())
    }

    /// Ends the caller's connection in the middle of the answer.
    fn cut(&mut self) {
        self.over = true;
        self.exchange.ended(&self.backend.name, "broken off", self.relay.head.status);
        if let Some(caller) = &self.caller {
            caller.terminate();
        }
    }
}
