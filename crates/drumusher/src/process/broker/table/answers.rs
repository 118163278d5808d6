//! Answers of dispatchers to the asks of this instance.

use std::sync::Arc;

use drumusher_schedule::ask::Id;
use drumusher_wire::peer::{self, Message};

use super::Table;
use crate::{
    process::{
        broker::{Attempt, CANCELLED, Outgoing, Reply, wire},
        clock,
    },
    request::id,
};

impl Table {
    /// Handles an answer of a dispatcher. An answer for a request that another dispatcher has by now is ignored: the
    /// previous one got a withdrawal.
    pub fn answer(&mut self, from: &Arc<str>, message: Message, sends: &mut Vec<Outgoing>) {
        match message {
            Message::Grant(grant) => self.grant(from, &grant, sends),
            Message::Refuse(refuse) => {
                let Some(id) = id::from_wire(&refuse.id) else { return };
                if !self.is_pending_with(id, from) {
                    return;
                }
                let Some(pending) = self.pending.remove(&id) else { return };
                let retry_after = refuse.retry_after.max(0) as u64;
                let _ =
                    pending.request.replies.try_send(Reply::Refuse(refuse.refusal, retry_after));
            }
            Message::Preempt(preempt) => {
                let Some(id) = id::from_wire(&preempt.id) else { return };
                // Without a grant it is for an attempt that ended before the order arrived.
                let granted = self.pending.get(&id).is_some_and(|p| p.server.is_some());
                if granted && self.is_pending_with(id, from) {
                    let _ = self.pending[&id].request.replies.try_send(Reply::Preempt);
                }
            }
            Message::Redirect(redirect) => self.redirect(from, &redirect, sends),
            Message::Queued(queued) => self.queued(from, &queued),
            _ => {}
        }
    }

    /// Whether a request is pending with the dispatcher `from`.
    fn is_pending_with(&self, id: Id, from: &Arc<str>) -> bool {
        let pending = self.pending.get(&id);
        pending.is_some_and(|pending| pending.dispatcher.as_ref() == Some(from))
    }

    /// Passes a grant to its request, unless that has a grant or another dispatcher by now.
    fn grant(&mut self, from: &Arc<str>, grant: &peer::Grant, sends: &mut Vec<Outgoing>) {
        let Some(id) = id::from_wire(&grant.id) else {
            return;
        };
        let waits = self.pending.get(&id).is_some_and(|pending| pending.server.is_none());
        if !waits || !self.is_pending_with(id, from) {
            return;
        }
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let (pool, spent) = (pending.request.pool.clone(), grant.spent.unwrap_or(0));
        let retry = pending.request.attempt == Attempt::Retry;
        let grant = wire::grant(grant, from);
        pending.server = Some(grant.server.clone());
        pending.awaiting_since = None;
        pending.reported = clock::now();
        if pending.request.replies.try_send(Reply::Grant(grant)).is_err() {
            self.finish(id, CANCELLED, 0, sends);
        }
        self.delegations.granted(clock::now(), &pool, from, retry, spent);
    }

    /// Sends the ask to the dispatcher that `from` names if it is reachable, else to `from` again.
    fn redirect(&mut self, from: &Arc<str>, redirect: &peer::Redirect, sends: &mut Vec<Outgoing>) {
        let Some(id) = id::from_wire(&redirect.id) else {
            return;
        };
        if !self.is_pending_with(id, from) {
            return;
        }
        let owner: Arc<str> = redirect.owner.as_str().into();
        let reachable = !self.view.is_unreachable(&owner);
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.dispatcher = Some(if reachable { owner } else { from.clone() });
        }
        self.ask(id, true, sends);
    }

    /// Records that the dispatcher has queued the request.
    fn queued(&mut self, from: &Arc<str>, queued: &peer::Queued) {
        let Some(id) = id::from_wire(&queued.id) else {
            return;
        };
        if !self.is_pending_with(id, from) {
            return;
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.awaiting_since = None;
            self.delegations.acknowledged(&pending.request.pool, from);
        }
    }
}
