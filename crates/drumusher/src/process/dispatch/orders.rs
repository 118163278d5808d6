//! Orders of the decisions: carried out, counted, and sent to the entries.

use drumusher_schedule::{
    ask::{Entry, Id, Outcome},
    event::Event,
    order::{Order, Refusal},
};

use super::{Dispatch, SPENT_WHOLE, wire};
use crate::{
    process::{clock, notices::KnownLimit},
    request::id,
    version::Pool,
};

impl Dispatch {
    /// Sends the orders of one event, and notes why each was given.
    pub(super) fn send(&mut self, pool: &Pool) {
        let mut orders = std::mem::take(&mut self.orders);
        let instances = self.shared.directory.load().instances.len();
        let mut undone = Vec::new();
        for order in &orders {
            self.shared.telemetry.count_order(order);
            undone.extend(self.carry_out(pool, order, instances));
        }
        orders.clear();
        self.orders = orders;
        self.flush();
        for (entry, id) in undone {
            self.refuse_repeat(entry, id::to_wire(id));
            self.handle(pool, Event::Finish(id, Outcome::Cancelled, 0));
            self.end_suspect(pool, id, Outcome::Cancelled);
        }
    }

    /// Hands one order on. Returns a grant that is not to be carried out, since it is of a repeat that the fleet may not
    /// send by now.
    fn carry_out(&mut self, pool: &Pool, order: &Order, instances: usize) -> Option<(Entry, Id)> {
        let host = self.hosts.get_mut(pool)?;
        let now = clock::now();
        let (mut alone, mut known_limit) = (None, KnownLimit::default());
        match *order {
            Order::Grant { id, entry, .. } if !host.grant_repeat(now, id, instances) => {
                return Some((entry, id));
            }
            Order::Grant { id, server, .. } => {
                alone = host.trials.grant(id, server);
                known_limit = host.notices.known_limit(&host.names[usize::from(server.0)]);
            }
            Order::Refuse { id, refusal, .. } => {
                host.release_repeat(id);
                if refusal == Refusal::NoServer {
                    host.health.note_refused();
                }
            }
            Order::Preempt { .. } => {}
        }
        let spent = (host.budget.spent(now, instances) * SPENT_WHOLE) as i16;
        let terms = wire::Terms { spent, alone, known_limit, now };
        let (entry, id, message, why) = wire::order(order, &host.names, &terms);
        self.shared.explanations.add(id, format!("{pool}: {why}"));
        self.unsent.push_back((entry, message));
        None
    }

    /// Hands messages to the peers thread. What its full ring does not take waits here, where the
    /// number of asks bounds it.
    pub(super) fn flush(&mut self) {
        while let Some(next) = self.unsent.pop_front() {
            if let Err(error) = self.replies.try_send(next) {
                self.unsent.push_front(error);
                return;
            }
        }
    }
}
