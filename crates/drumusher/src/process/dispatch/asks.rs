//! `Ask` messages of entries: counted for the retry budget, submitted to the scheduler, and acknowledged if they wait.

use drumusher_schedule::{
    ask::{Ask, Entry, Outcome},
    event::Event,
    order::Refusal,
    time::{MILLISECOND, Micros},
    version,
};
use drumusher_wire::peer::{self, Message};

use super::{Dispatcher, LOCAL_ENTRY, SPENT_SCALE, streams, suspects::Admission, wire};
use crate::{
    process::{broker::Attempt, clock},
    request::id,
    version::Pool,
};

/// When a caller may try again to take a stream up: by then another instance may have told which version began it.
const STREAM_RETRY: Micros = 300 * MILLISECOND;

impl Dispatcher {
    /// Handles an ask: submits it to the scheduler, unless its request waits for a trial run, is quarantined, or is a
    /// retry beyond the retry budget.
    pub(super) fn handle_ask(&mut self, entry: Entry, message: peer::Ask) {
        let id = message.id.clone();
        if let Some(pool) = Pool::parse(&message.pool) {
            self.ensure_pool(&pool);
        }
        for notice in message.notices.iter().flatten() {
            self.handle_notice(entry, notice);
        }
        if self.admit_or_queue(entry, message) {
            self.send_queued(entry, id);
        }
    }

    /// Submits an ask, refuses it, or queues it for a trial run or a check of the software versions. Returns whether it
    /// was queued. Also used for asks that were queued for a trial run before.
    pub(super) fn admit_or_queue(&mut self, entry: Entry, message: peer::Ask) -> bool {
        let Some(pool) = Pool::parse(&message.pool) else {
            return false;
        };
        match self.check_quarantine(&message, &pool) {
            Admission::Run if self.needs_check(&message, &pool) => {
                self.await_check(entry, message);
                return true;
            }
            Admission::Run => self.submit(entry, &message, &pool),
            Admission::Refuse => self.refuse_quarantined(entry, message.id),
            Admission::Postpone => self.refuse_undecided(entry, message.id),
            Admission::Wait => {
                let hosted = self.pools.get_mut(&pool);
                return hosted.is_some_and(|hosted| hosted.trials.wait(entry, message));
            }
        }
        false
    }

    /// Submits an ask to the scheduler. A request that runs at a server which is not listed here is left alone.
    pub(super) fn submit(&mut self, entry: Entry, message: &peer::Ask, pool: &Pool) {
        let key = |name: &str| self.pools.get(pool)?.keys.get(name).copied();
        let declared = message.server.as_deref().and_then(key);
        if message.server.is_some() && declared.is_none() {
            return self.record_requester(entry, pool);
        }
        let versions = match self.versions(message, pool) {
            Ok(versions) => versions,
            Err(refused) => return self.refuse_stream(entry, message, pool, refused),
        };
        if message.server.is_none() && !self.count_attempt(entry, message, pool) {
            self.refuse_retry(entry, message.id.clone());
            if let Some(id) = id::from_wire(&message.id) {
                self.attempt_ended(pool, id, Outcome::Cancelled);
            }
            return;
        }
        let Some(ask) = self.decode_ask(entry, message, pool, versions) else {
            return;
        };
        self.note_stream(message, ask.id, pool);
        if let Some((hosted, server)) = self.pools.get_mut(pool).zip(declared) {
            hosted.trials.grant(ask.id, server);
        }
        let (id, has_begun) = (ask.id, ask.produced > 0);
        let event = match declared {
            Some(server) => Event::Declare(ask, server),
            None => Event::Ask(ask),
        };
        self.handle(pool, event);
        if declared.is_some() && has_begun {
            self.streams_began(pool, [id]);
        }
        self.record_requester(entry, pool);
        self.acknowledge(entry, message, pool);
    }

    /// Counts a first attempt as a request, or reserves a place in the retry budget for a retry, which is counted when
    /// it is granted. Returns `false` if the budget has no place left.
    fn count_attempt(&mut self, entry: Entry, message: &peer::Ask, pool: &Pool) -> bool {
        let (Some(hosted), Some(id)) = (self.pools.get_mut(pool), id::from_wire(&message.id))
        else {
            return true;
        };
        // Counted before; the scheduler repeats its grant.
        if hosted.scheduler.running_request(id).is_some_and(|running| !running.started) {
            return true;
        }
        let now = clock::now();
        let instances = self.shared.directory.load().requesters(pool);
        let spent = f64::from(message.spent.unwrap_or(0)) / SPENT_SCALE;
        if !hosted.budget.knows(entry) {
            log::info!(
                pool = pool.to_string().as_str(), entry = entry.0, spent = spent,
                sent = message.sent.as_ref().map_or(0, |sent| sent.iter().map(|part| part.repeats).sum::<i32>());
                "instance delegates its share of the retry budget"
            );
        }
        hosted.budget.delegate(now, entry, spent);
        if let Some(sent) = &message.sent {
            hosted.budget.replace_counts(now, entry, sent.iter().map(wire::count));
        }
        match Attempt::from_wire(message.attempt.unwrap_or(0)) {
            Attempt::First => hosted.budget.request(now, entry),
            Attempt::Resent => {}
            Attempt::Retry => return hosted.reserve_retry(now, id, entry, instances),
        }
        true
    }

    /// Refuses a request that goes on with a stream.
    pub(super) fn refuse_stream(
        &mut self,
        entry: Entry,
        message: &peer::Ask,
        pool: &Pool,
        refused: streams::Refused,
    ) {
        self.shared.telemetry.count("drumusher.streams.refused", &[]);
        let refusal = match refused {
            streams::Refused::NoServer => Refusal::NoServer,
            streams::Refused::UnknownVersion => Refusal::UnknownVersion,
        };
        let knows_history = self.shared.streams().knows_history();
        log::info!(
            pool = pool.to_string().as_str(), stream = message.stream.unwrap_or(0),
            named = message.resumed == Some(true), knows_history = knows_history;
            "a stream is not taken up: {refused:?}"
        );
        let refuse = peer::Refuse::new(message.id.clone(), refusal as i16, STREAM_RETRY as i64);
        self.unsent.push_back((entry, Message::Refuse(refuse)));
        self.flush();
        if let Some(id) = id::from_wire(&message.id) {
            self.attempt_ended(pool, id, Outcome::Cancelled);
        }
    }

    /// Refuses a retry; its entry then ends the request with the outcome of the previous attempt.
    pub(super) fn refuse_retry(&mut self, entry: Entry, id: Vec<u8>) {
        let refusal = Refusal::NoRepeat as i16;
        let refuse = Message::Refuse(peer::Refuse::new(id, refusal, 0));
        self.unsent.push_back((entry, refuse));
        self.flush();
    }

    /// Records another instance as a requester of a pool.
    fn record_requester(&mut self, entry: Entry, pool: &Pool) {
        if let Some(hosted) = self.pools.get_mut(pool).filter(|_| entry != LOCAL_ENTRY) {
            hosted.requesters.add(clock::now(), entry);
        }
    }

    /// Confirms a waiting ask to its entry, which would otherwise take the silence for an outage of the dispatcher.
    fn acknowledge(&mut self, entry: Entry, message: &peer::Ask, pool: &Pool) {
        let waits = |id| self.pools.get(pool).is_some_and(|hosted| hosted.scheduler.is_waiting(id));
        if id::from_wire(&message.id).is_some_and(waits) {
            self.send_queued(entry, message.id.clone());
        }
    }

    fn send_queued(&mut self, entry: Entry, id: Vec<u8>) {
        self.unsent.push_back((entry, Message::Queued(peer::Queued::new(id))));
        self.flush();
    }

    fn decode_ask(
        &self,
        entry: Entry,
        ask: &peer::Ask,
        pool: &Pool,
        versions: version::Set,
    ) -> Option<Ask> {
        let version = self.shared.version.load();
        let hosted = self.pools.get(pool)?;
        let on_trial = id::from_wire(&ask.id).and_then(|id| hosted.trials.was_alone(id)).is_some();
        let apart = if on_trial { hosted.trials.servers() } else { Vec::new() };
        wire::ask(entry, ask, &version, &hosted.keys, apart, versions)
    }
}
