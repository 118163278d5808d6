//! The scheduler's orders: executed, counted and sent to the entries.

use drumusher_schedule::{
    ask::{Entry, Id, Outcome},
    event::Event,
    order::{Order, Refusal},
};

use super::{Dispatcher, SPENT_SCALE, wire};
use crate::{
    process::{clock, notices::KnownLimit},
    request::id,
    version::Pool,
};

impl Dispatcher {
    /// Executes the orders that one event led to, and records the reason of each for `show request`.
    pub(super) fn send_orders(&mut self, pool: &Pool) {
        if let Some(hosted) = self.pools.get_mut(pool) {
            self.shared.telemetry.count_prompt_tokens(&hosted.scheduler.take_prompt_tokens());
        }
        let mut orders = std::mem::take(&mut self.orders);
        let instances = self.shared.directory.load().requesters(pool);
        let mut revoked = Vec::new();
        for order in &orders {
            self.shared.telemetry.count_order(order);
            revoked.extend(self.execute(pool, order, instances));
        }
        orders.clear();
        self.orders = orders;
        self.flush();
        for (entry, id) in revoked {
            self.refuse_retry(entry, id::to_wire(id));
            self.handle(pool, Event::Finish(id, Outcome::Cancelled, 0));
            self.attempt_ended(pool, id, Outcome::Cancelled);
        }
    }

    /// Queues the message of one order. Returns the entry and request of a grant that is revoked instead, since it is
    /// for a retry that the budget no longer allows.
    fn execute(&mut self, pool: &Pool, order: &Order, instances: usize) -> Option<(Entry, Id)> {
        let hosted = self.pools.get_mut(pool)?;
        let now = clock::now();
        let (mut alone, mut known_limit, mut version) = (None, KnownLimit::default(), None);
        match *order {
            Order::Grant { id, entry, .. } if !hosted.grant_retry(now, id, instances) => {
                return Some((entry, id));
            }
            Order::Grant { id, server, .. } => {
                alone = hosted.trials.grant(id, server);
                let name = hosted.names[usize::from(server.0)].clone();
                known_limit = hosted.notices.known_limit(&name);
                version = self.bound_version(pool, id, server);
            }
            Order::Refuse { id, refusal, .. } => {
                hosted.release_retry(id);
                if refusal == Refusal::NoServer {
                    hosted.health.count_refused();
                }
            }
            Order::Preempt { .. } => {}
        }
        let hosted = self.pools.get_mut(pool)?;
        let spent = (hosted.budget.spent(now, instances) * SPENT_SCALE) as i16;
        let context = wire::GrantContext { spent, alone, known_limit, version, now };
        let (entry, id, message, why) = wire::order(order, &hosted.names, &context);
        self.shared.explanations.add(id, format!("{pool}: {why}"));
        self.unsent.push_back((entry, message));
        None
    }

    /// Sends queued messages to the peers thread. Messages that don't fit into its ring stay queued; the number of
    /// pending asks bounds the queue.
    pub(super) fn flush(&mut self) {
        while let Some(next) = self.unsent.pop_front() {
            if let Err(error) = self.replies.try_send(next) {
                self.unsent.push_front(error);
                return;
            }
        }
    }
}
