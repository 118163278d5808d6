//! Asks of entries: counted, handed to the decisions, and acknowledged where they wait.

use drumusher_schedule::{
    ask::{Ask, Entry, Outcome},
    event::Event,
    order::Refusal,
};
use drumusher_wire::peer::{self, Message};

use super::{Dispatch, OWN, SPENT_WHOLE, suspects::Admission, wire};
use crate::{
    process::{broker::Attempt, clock},
    request::id,
    version::Pool,
};

impl Dispatch {
    /// Takes an ask: hands it to the decisions, unless its request waits for a trial or may not run, or it is a repeat
    /// that the fleet may not send now.
    pub(super) fn ask(&mut self, entry: Entry, asked: peer::Ask) {
        let id = asked.id.clone();
        if let Some(pool) = Pool::parse(&asked.pool) {
            self.host(&pool);
        }
        for notice in asked.notices.iter().flatten() {
            self.noticed(entry, notice);
        }
        if self.ask_or_wait(entry, asked) {
            self.tell_queued(entry, id);
        }
    }

    /// The same for an ask that came before. Returns whether it waits for a trial.
    pub(super) fn ask_or_wait(&mut self, entry: Entry, asked: peer::Ask) -> bool {
        let Some(pool) = Pool::parse(&asked.pool) else {
            return false;
        };
        match self.admit_suspect(&asked, &pool) {
            Admission::Run => self.admit(entry, &asked, &pool),
            Admission::Refuse => self.refuse_held(entry, asked.id),
            Admission::Wait => {
                let host = self.hosts.get_mut(&pool);
                return host.is_some_and(|host| host.trials.wait(entry, asked));
            }
        }
        false
    }

    /// Hands an ask to the decisions.
    fn admit(&mut self, entry: Entry, asked: &peer::Ask, pool: &Pool) {
        if asked.server.is_none() && !self.count_attempt(entry, asked, pool) {
            self.refuse_repeat(entry, asked.id.clone());
            if let Some(id) = id::from_wire(&asked.id) {
                self.end_suspect(pool, id, Outcome::Cancelled);
            }
            return;
        }
        let Some(ask) = self.read_ask(entry, asked, pool) else {
            return;
        };
        let declared =
            asked.server.as_deref().and_then(|name| self.hosts.get(pool)?.known.get(name).copied());
        if let Some((host, server)) = self.hosts.get_mut(pool).zip(declared) {
            host.trials.grant(ask.id, server);
        }
        let event = match declared {
            Some(server) => Event::Declare(ask, server),
            None => Event::Ask(ask),
        };
        self.handle(pool, event);
        self.note_asker(entry, pool);
        self.acknowledge(entry, asked, pool);
    }

    /// Counts an ask that is a request; one that is a repeat is counted when it is granted. Returns whether it may be.
    fn count_attempt(&mut self, entry: Entry, asked: &peer::Ask, pool: &Pool) -> bool {
        let (Some(host), Some(id)) = (self.hosts.get_mut(pool), id::from_wire(&asked.id)) else {
            return true;
        };
        let now = clock::now();
        let instances = self.shared.directory.load().instances.len();
        let spent = f64::from(asked.spent.unwrap_or(0)) / SPENT_WHOLE;
        if !host.budget.knows(entry) {
            log::info!(
                pool = pool.to_string().as_str(), entry = entry.0, spent = spent,
                sent = asked.sent.as_ref().map_or(0, |sent| sent.iter().map(|part| part.repeats).sum::<i32>());
                "an instance lends its repeats"
            );
        }
        host.budget.lend(now, entry, spent);
        if let Some(sent) = &asked.sent {
            host.budget.bring(now, entry, sent.iter().map(wire::count));
        }
        match Attempt::from_wire(asked.attempt.unwrap_or(0)) {
            Attempt::First => host.budget.request(now, entry),
            Attempt::Again => {}
            Attempt::Repeat => return host.reserve_repeat(now, id, entry, instances),
        }
        true
    }

    /// Refuses a repeat: its entry ends the request with what the attempt before brought.
    pub(super) fn refuse_repeat(&mut self, entry: Entry, id: Vec<u8>) {
        let refusal = Refusal::NoRepeat as i16;
        let refuse = Message::Refuse(peer::Refuse::new(id, refusal, 0));
        self.unsent.push_back((entry, refuse));
        self.flush();
    }

    /// Notes which other instances ask for a pool.
    fn note_asker(&mut self, entry: Entry, pool: &Pool) {
        if let Some(host) = self.hosts.get_mut(pool).filter(|_| entry != OWN) {
            host.askers.add(clock::now(), entry);
        }
    }

    /// Tells the entry that its ask waits, so that it need not take silence for an outage.
    fn acknowledge(&mut self, entry: Entry, asked: &peer::Ask, pool: &Pool) {
        let waits = |id| self.hosts.get(pool).is_some_and(|host| host.pool.is_waiting(id));
        if id::from_wire(&asked.id).is_some_and(waits) {
            self.tell_queued(entry, asked.id.clone());
        }
    }

    fn tell_queued(&mut self, entry: Entry, id: Vec<u8>) {
        self.unsent.push_back((entry, Message::Queued(peer::Queued::new(id))));
        self.flush();
    }

    fn read_ask(&self, entry: Entry, ask: &peer::Ask, pool: &Pool) -> Option<Ask> {
        let version = self.shared.version.load();
        let host = self.hosts.get(pool)?;
        let on_trial = id::from_wire(&ask.id).and_then(|id| host.trials.was_alone(id)).is_some();
        let apart = if on_trial { host.trials.servers() } else { Vec::new() };
        wire::ask(entry, ask, &version, &host.known, apart)
    }
}
