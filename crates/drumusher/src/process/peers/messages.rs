//! What each message of another instance leads to.

use std::sync::{Arc, atomic::Ordering};

use drumusher_schedule::{ask::Entry, order::Refusal, time::SECOND};
use drumusher_wire::peer::{self, Message};

use super::Peers;
use crate::{
    process::{clock, dispatch, platform},
    version::Pool,
};

/// When to come back to an instance whose ring to the decisions is full, in microseconds.
const QUEUE_FULL_AGAIN: i64 = SECOND as i64;

/// The refusal of an ask that the decisions cannot take now.
pub(super) fn queue_full(id: Vec<u8>) -> Message {
    let refusal = Refusal::QueueFull as i16;
    Message::Refuse(peer::Refuse::new(id, refusal, QUEUE_FULL_AGAIN))
}

impl Peers {
    /// Takes a message that came on the connection `number`.
    pub(super) fn received(&self, number: u32, instance: &Arc<str>, message: Message) {
        if let Some(conn) = self.inner.borrow_mut().conns.get_mut(&number) {
            conn.heard = clock::now();
        }
        match message {
            Message::Ask(ask) => self.asked(number, ask),
            Message::Withdraw(_)
            | Message::Progress(_)
            | Message::Finish(_)
            | Message::Crash(_)
            | Message::Notice(_) => {
                let input = dispatch::Input::Message(Entry(number), Box::new(message));
                self.dispatch(input);
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
            Message::Heartbeat(heartbeat) => self.heard(number, instance, &heartbeat),
            Message::Records(records) => {
                let _ = self.shared.platform.try_send(platform::Input::Records(records));
            }
            Message::StateRequest(request) => {
                self.tell(number, &request);
                self.state_requested(number, request.offset);
            }
            Message::State(state) => {
                let input = platform::Input::State(instance.clone(), state.snapshot);
                let _ = self.shared.platform.try_send(input);
            }
            Message::PieceRequest(request) => self.piece_wanted(number, request),
            Message::Piece(piece) => self.piece_came(number, instance, &piece),
            Message::Query(query) => self.queried(number, query),
            Message::Answer(answer) => self.answered(instance, &answer),
            Message::Hello(_) | Message::Challenge(_) | Message::Proof(_) => {}
        }
    }

    /// Another entry asks for a pool. An instance that does not believe to be its dispatcher
    /// redirects, once.
    fn asked(&self, number: u32, ask: peer::Ask) {
        if let Some(owner) = self.other_owner(&ask) {
            let redirect = peer::Redirect::new(ask.id, owner.to_string());
            self.send_on(number, Message::Redirect(redirect));
            return;
        }
        let id = ask.id.clone();
        let input = dispatch::Input::Message(Entry(number), Box::new(Message::Ask(ask)));
        if !self.dispatch(input) {
            self.send_on(number, queue_full(id));
        }
    }

    /// The dispatcher of an ask as seen from here, if it is another instance. An ask that was
    /// redirected once, or that declares a running grant, is taken in any case.
    fn other_owner(&self, ask: &peer::Ask) -> Option<Arc<str>> {
        if ask.redirected == Some(true) || ask.server.is_some() {
            return None;
        }
        let pool = Pool::parse(&ask.pool)?;
        let inner = self.inner.borrow();
        let owner = inner.table.view().dispatcher(&pool, &self.shared.area)?;
        (owner != self.shared.name).then_some(owner)
    }

    /// A heartbeat: whether the other is leaving, and whether it lags behind in configuration for
    /// longer than the log would explain.
    fn heard(&self, number: u32, instance: &Arc<str>, heartbeat: &peer::Heartbeat) {
        let mut sends = Vec::new();
        let behind = match self.shared.settings.store {
            Some(_) => self.is_behind(heartbeat),
            None => heartbeat.offset < self.shared.position() as i64,
        };
        let before = {
            let mut inner = self.inner.borrow_mut();
            let leaving = heartbeat.leaving.unwrap_or(false);
            inner.table.set_leaving(instance, leaving, &mut sends);
            let conn = inner.conns.get_mut(&number);
            conn.is_some_and(|conn| std::mem::replace(&mut conn.behind, behind))
        };
        self.send_all(sends);
        if let Some(entry) = &heartbeat.entry {
            self.entry_wanted(instance, entry);
        }
        if self.shared.settings.store.is_some() {
            self.store_heard(number, instance, heartbeat, behind, before);
        } else if behind && before {
            self.state_requested(number, heartbeat.offset);
        }
    }

    /// Sends the records from `offset` on, or the whole state if they are no longer at hand.
    fn state_requested(&self, number: u32, offset: i64) {
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
