//! What dispatchers say to the asks of an instance.

use std::sync::Arc;

use drumusher_schedule::ask::Id;
use drumusher_wire::peer::{self, Message};

use super::Table;
use crate::{
    process::{
        broker::{Attempt, CANCELLED, Reply, Send, wire},
        clock,
    },
    request::id,
};

impl Table {
    /// Takes what a dispatcher says. An answer of one that is no longer in charge is passed over:
    /// it was told to withdraw.
    pub fn answer(&mut self, from: &Arc<str>, message: Message, sends: &mut Vec<Send>) {
        match message {
            Message::Grant(grant) => self.grant(from, &grant, sends),
            Message::Refuse(refuse) => {
                let Some(id) = id::from_wire(&refuse.id) else { return };
                if !self.asked(id, from) {
                    return;
                }
                let Some(held) = self.held.remove(&id) else { return };
                let retry_after = refuse.retry_after.max(0) as u64;
                let _ = held.own.replies.try_send(Reply::Refuse(refuse.refusal, retry_after));
            }
            Message::Preempt(preempt) => {
                let Some(id) = id::from_wire(&preempt.id) else { return };
                if self.asked(id, from) {
                    let _ = self.held[&id].own.replies.try_send(Reply::Preempt);
                }
            }
            Message::Redirect(redirect) => self.redirect(from, &redirect, sends),
            Message::Queued(queued) => self.queued(from, &queued),
            _ => {}
        }
    }

    /// Whether an ask is owned and `from` is the dispatcher that was asked.
    fn asked(&self, id: Id, from: &Arc<str>) -> bool {
        let held = self.held.get(&id);
        held.is_some_and(|held| held.dispatcher.as_ref() == Some(from))
    }

    /// Hands a grant to its request, unless that has one or another dispatcher is asked by now.
    fn grant(&mut self, from: &Arc<str>, grant: &peer::Grant, sends: &mut Vec<Send>) {
        let Some(id) = id::from_wire(&grant.id) else {
            return;
        };
        let waits = self.held.get(&id).is_some_and(|held| held.server.is_none());
        if !waits || !self.asked(id, from) {
            return;
        }
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let (pool, spent) = (held.own.pool.clone(), grant.spent.unwrap_or(0));
        let repeat = held.own.attempt == Attempt::Retry;
        let grant = wire::grant(grant, from);
        held.server = Some(grant.server.clone());
        held.owed = None;
        held.reported = clock::now();
        if held.own.replies.try_send(Reply::Grant(grant)).is_err() {
            self.finish(id, CANCELLED, 0, sends);
        }
        self.loans.granted(clock::now(), &pool, from, repeat, spent);
    }

    /// Asks the dispatcher that another one names, if it can be reached; else the same one again.
    fn redirect(&mut self, from: &Arc<str>, redirect: &peer::Redirect, sends: &mut Vec<Send>) {
        let Some(id) = id::from_wire(&redirect.id) else {
            return;
        };
        if !self.asked(id, from) {
            return;
        }
        let owner: Arc<str> = redirect.owner.as_str().into();
        let reachable = !self.view.is_unreachable(&owner);
        if let Some(held) = self.held.get_mut(&id) {
            held.dispatcher = Some(if reachable { owner } else { from.clone() });
        }
        self.ask(id, true, sends);
    }

    /// The dispatcher has the ask, which waits.
    fn queued(&mut self, from: &Arc<str>, queued: &peer::Queued) {
        let Some(id) = id::from_wire(&queued.id) else {
            return;
        };
        if !self.asked(id, from) {
            return;
        }
        if let Some(held) = self.held.get_mut(&id) {
            held.owed = None;
            self.loans.heard(&held.own.pool, from);
        }
    }
}
