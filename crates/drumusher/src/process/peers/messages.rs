//! Handling of the messages of other instances.

use std::sync::{Arc, atomic::Ordering};

use drumusher_schedule::{ask::Entry, order::Refusal, time::SECOND};
use drumusher_wire::peer::{self, Message};

use super::Peers;
use crate::{
    process::{clock, dispatch, platform},
    version::Pool,
};

/// Retry delay after a refusal because the dispatch queue is full, in microseconds.
const QUEUE_FULL_RETRY_MICROS: i64 = SECOND as i64;

/// Refuses an ask that the dispatch queue has no room for.
pub(super) fn queue_full(id: Vec<u8>) -> Message {
    let refusal = Refusal::QueueFull as i16;
    Message::Refuse(peer::Refuse::new(id, refusal, QUEUE_FULL_RETRY_MICROS))
}

impl Peers {
    /// Handles a message received on the connection `number`.
    pub(super) fn on_message(&self, number: u32, instance: &Arc<str>, message: Message) {
        if let Some(conn) = self.inner.borrow_mut().conns.get_mut(&number) {
            conn.heard_at = clock::now();
        }
        match message {
            Message::Ask(ask) => self.on_ask(number, ask),
            Message::Withdraw(_)
            | Message::Progress(_)
            | Message::Finish(_)
            | Message::Crash(_)
            | Message::Broken(_)
            | Message::Streams(_)
            | Message::Notice(_) => {
                let input = dispatch::Input::Message(Entry(number), Box::new(message));
                self.try_dispatch(input);
            }
            Message::Grant(_)
            | Message::Refuse(_)
            | Message::Preempt(_)
            | Message::Redirect(_)
            | Message::Queued(_) => {
                let mut sends = Vec::new();
                self.inner.borrow_mut().table.answer(instance, message, &mut sends);
                self.send_all(sends);
            }
            Message::Heartbeat(heartbeat) => self.on_heartbeat(number, instance, &heartbeat),
            Message::Records(records) => {
                let _ = self.shared.platform.try_send(platform::Input::Records(records));
            }
            Message::StateRequest(request) => {
                self.on_subscribe(number, &request);
                self.send_state(number, request.offset);
            }
            Message::State(state) => {
                let input = platform::Input::State(instance.clone(), state.snapshot);
                let _ = self.shared.platform.try_send(input);
            }
            Message::PieceRequest(request) => self.on_piece_request(number, request),
            Message::Piece(piece) => self.on_piece(number, instance, &piece),
            Message::Referral(referral) => self.on_referral(number, referral),
            Message::Query(query) => self.on_query(number, query),
            Message::Answer(answer) => self.on_answer(instance, &answer),
            Message::Hello(_)
            | Message::Challenge(_)
            | Message::Proof(_)
            | Message::TunnelReply(_) => {}
        }
    }

    /// Handles an ask for a pool from another entry. If this instance does not consider itself the dispatcher, it
    /// redirects the ask, once.
    fn on_ask(&self, number: u32, ask: peer::Ask) {
        if let Some(dispatcher) = self.other_dispatcher(&ask) {
            let redirect = peer::Redirect::new(ask.id, dispatcher.to_string());
            self.send_on(number, Message::Redirect(redirect));
            return;
        }
        let id = ask.id.clone();
        let input = dispatch::Input::Message(Entry(number), Box::new(Message::Ask(ask)));
        if !self.try_dispatch(input) {
            self.send_on(number, queue_full(id));
        }
    }

    /// The dispatcher of an ask as seen from here, if it is another instance. An ask that was already redirected,
    /// or that declares a running grant, is accepted in any case.
    fn other_dispatcher(&self, ask: &peer::Ask) -> Option<Arc<str>> {
        if ask.redirected == Some(true) || ask.server.is_some() {
            return None;
        }
        let pool = Pool::parse(&ask.pool)?;
        let inner = self.inner.borrow();
        let dispatcher = inner.table.view().dispatcher(&pool, &self.shared.area)?;
        (dispatcher != self.shared.name).then_some(dispatcher)
    }

    /// Handles a heartbeat: whether the other instance is leaving, and whether it has been behind in configuration
    /// for longer than the log's delay explains.
    fn on_heartbeat(&self, number: u32, instance: &Arc<str>, heartbeat: &peer::Heartbeat) {
        let mut sends = Vec::new();
        let behind = match self.shared.settings.store {
            Some(_) => self.is_behind(heartbeat),
            None => heartbeat.offset < self.shared.position() as i64,
        };
        let was_behind = {
            let mut inner = self.inner.borrow_mut();
            let leaving = heartbeat.leaving.unwrap_or(false);
            inner.table.set_leaving(instance, leaving, &mut sends);
            let conn = inner.conns.get_mut(&number);
            conn.is_some_and(|conn| std::mem::replace(&mut conn.behind, behind))
        };
        self.send_all(sends);
        if let Some(entry) = &heartbeat.entry {
            self.register_instance(instance, entry);
        }
        if self.shared.settings.store.is_some() {
            self.on_store_heartbeat(number, instance, heartbeat, behind, was_behind);
        } else if behind && was_behind {
            self.send_state(number, heartbeat.offset);
        }
    }

    /// Sends the records from `offset` on, or the whole state if they are no longer available.
    fn send_state(&self, number: u32, offset: i64) {
        if !self.shared.configured.load(Ordering::Acquire) || self.shared.settings.store.is_some() {
            return;
        }
        let recent = platform::recent_from(offset.max(0) as u64);
        let message = match recent {
            Some(records) => Message::Records(records),
            None => {
                let state = self.shared.version.load().state.clone();
                let Ok(snapshot) = serde_json::to_vec(&*state) else { return };
                Message::State(peer::State::new(state.next as i64, snapshot))
            }
        };
        self.send_on(number, message);
    }
}
