//! The pending dispatch requests of an instance, and which dispatcher has each of them. Without I/O.

mod answers;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use drumusher_schedule::{ask::Id, time::Micros};
use drumusher_wire::peer::{self, Message};

use super::{
    Attempt, Crashes, Delegations, DispatchRequest, Input, Outgoing, Reply, Report, View, wire,
};
use crate::{
    process::{
        clock,
        notices::{self, Notices},
    },
    request::id,
    version::{Directory, Pool},
};

/// Interval between keepalive reports of a running attempt, in microseconds.
const KEEPALIVE_INTERVAL: u64 = drumusher_schedule::time::SECOND;

/// Time within which a dispatcher has to answer an ask, if only with `Queued`, in microseconds. A quarter of the
/// tightest latency target of a class (250 ms); an answer between availability zones takes 2 ms.
const ANSWER_TIMEOUT: u64 = 60 * drumusher_schedule::time::MILLISECOND;

/// A request of this instance and its state.
struct Pending {
    request: DispatchRequest,
    /// The dispatcher that has the request; `None` if there is no dispatcher.
    dispatcher: Option<Arc<str>>,
    /// The granted backend server.
    server: Option<Arc<str>>,
    /// Progress that was not sent yet.
    report: Option<Report>,
    /// When progress was last sent.
    reported: u64,
    /// Whether it was sent to a dispatcher before.
    was_sent: bool,
    /// Since when an answer of the dispatcher is awaited; `None` once it came.
    awaiting_since: Option<u64>,
}

/// The pending dispatch requests of this instance.
pub struct Table {
    pending: HashMap<Id, Pending>,
    /// The requests with progress to be sent in the next batch.
    unreported: BTreeSet<Id>,
    /// Delegations of this instance's share of the retry budget.
    delegations: Delegations,
    /// Recent crashes of backend servers during requests of this instance.
    crashes: Crashes,
    /// What backend servers announced to this instance.
    notices: Arc<Notices>,
    view: View,
}

impl Table {
    /// Creates an empty table with a view of the other instances.
    pub fn new(view: View) -> Self {
        Table {
            pending: HashMap::new(),
            unreported: BTreeSet::new(),
            delegations: Delegations::new(),
            crashes: Crashes::default(),
            notices: Arc::default(),
            view,
        }
    }

    /// Sets the window of the retry budget, in microseconds.
    pub fn with_window(mut self, window: Micros) -> Self {
        self.delegations = self.delegations.with_window(window);
        self
    }

    /// Sets the notices of backend servers, which are passed on to new dispatchers.
    pub fn with_notices(mut self, notices: Arc<Notices>) -> Self {
        self.notices = notices;
        self
    }

    /// This instance's view of the other instances.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The unreachable instances to which a connection is to be tried now.
    pub fn due_reconnects(&mut self) -> Vec<Arc<str>> {
        self.view.due_reconnects(clock::now())
    }

    /// The number of pending requests.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Handles a message of a request.
    pub fn handle(&mut self, input: Input, sends: &mut Vec<Outgoing>) {
        match input {
            Input::Open(request) => self.open(*request, sends),
            Input::Finish(id, outcome, produced) => self.finish(id, outcome, produced, sends),
            Input::Progress(id, report) => self.record_progress(id, report),
            Input::Crash(crash) => self.crashes.add(clock::now(), *crash, &self.view, sends),
            Input::Break(suspected) => Crashes::suspect(&suspected, &self.view, sends),
            Input::Notice(record) => self.notice(&record, sends),
            Input::Changed => {}
        }
    }

    /// Reports what a backend server announced to the pool's dispatcher in use. A later dispatcher gets it with the
    /// first ask.
    fn notice(&self, record: &notices::Record, sends: &mut Vec<Outgoing>) {
        if let Some(to) = self.delegations.dispatcher(&record.pool) {
            let message = Message::Notice(wire::notice(record, clock::now()));
            sends.push(Outgoing { to: to.clone(), message });
        }
    }

    /// Adds a request and sends it to its dispatcher. One that is submitted again is asked for again there, unless its
    /// grant is on the way to it.
    fn open(&mut self, request: DispatchRequest, sends: &mut Vec<Outgoing>) {
        let id = request.id;
        if let Some(pending) = self.pending.get(&id) {
            if pending.server.is_none() {
                self.ask(id, false, sends);
            }
            return;
        }
        let dispatcher = self.view.dispatcher(&request.pool, &request.area);
        let pending = Pending {
            request,
            dispatcher,
            server: None,
            report: None,
            reported: clock::now(),
            was_sent: false,
            awaiting_since: None,
        };
        self.pending.insert(id, pending);
        self.ask(id, false, sends);
    }

    /// Sends the ask of a request to its dispatcher; refuses the request if there is none.
    fn ask(&mut self, id: Id, redirected: bool, sends: &mut Vec<Outgoing>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let Some(to) = pending.dispatcher.clone() else {
            let no_server = drumusher_schedule::order::Refusal::NoServer as i16;
            let second = drumusher_schedule::time::SECOND;
            let _ = pending.request.replies.try_send(Reply::Refuse(no_server, second));
            self.pending.remove(&id);
            return;
        };
        let resent = pending.was_sent && pending.request.attempt == Attempt::First;
        let attempt = if resent { Attempt::Resent } else { pending.request.attempt };
        let first = attempt == Attempt::First;
        let budget_report =
            self.delegations.delegate(clock::now(), &pending.request.pool, &to, first);
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let mut ask =
            wire::ask(&pending.request, pending.server.as_deref(), attempt, &budget_report);
        pending.was_sent = true;
        pending.awaiting_since = pending.server.is_none().then(clock::now);
        ask.redirected = redirected.then_some(true);
        if budget_report.sent.is_some() {
            let now = clock::now();
            let known = self.notices.in_force_for(now, &pending.request.pool);
            let known: Vec<_> = known.iter().map(|record| wire::notice(record, now)).collect();
            ask.notices = (!known.is_empty()).then_some(known);
        }
        sends.push(Outgoing { to, message: Message::Ask(ask) });
    }

    /// Removes a request that ended or no longer needs its grant, and notifies its dispatcher.
    fn finish(&mut self, id: Id, outcome: i16, produced: u32, sends: &mut Vec<Outgoing>) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        self.unreported.remove(&id);
        let Some(to) = pending.dispatcher else {
            return;
        };
        let pool = pending.request.pool.to_string();
        let bytes = id::to_wire(id);
        let message = match pending.server {
            Some(_) => {
                let report = pending.report.unwrap_or_default();
                let first = report.first_token.map(|time| time as i64);
                let gap = (report.gap > 0).then_some(report.gap as i64);
                Message::Finish(peer::Finish::new(
                    bytes,
                    pool,
                    outcome,
                    produced as i32,
                    first,
                    gap,
                ))
            }
            None => Message::Withdraw(peer::Withdraw::new(bytes, pool)),
        };
        sends.push(Outgoing { to, message });
    }

    fn record_progress(&mut self, id: Id, report: Report) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let first_token = pending.report.and_then(|r| r.first_token).or(report.first_token);
        pending.report = Some(Report { first_token, ..report });
        pending.request.produced = pending.request.produced.max(report.produced);
        self.unreported.insert(id);
    }

    /// Sends the progress reports that are due, in batches, and keepalive reports for running attempts without
    /// progress.
    pub fn reports(&mut self, sends: &mut Vec<Outgoing>) {
        let now = clock::now();
        let silent = self.pending.iter().filter(|(_, pending)| {
            pending.server.is_some() && now >= pending.reported + KEEPALIVE_INTERVAL
        });
        let due: Vec<Id> = silent.map(|(id, _)| *id).collect();
        self.unreported.extend(due);
        let mut batches: HashMap<(Arc<str>, Pool), Vec<peer::Progress>> = HashMap::new();
        for id in std::mem::take(&mut self.unreported) {
            let Some(pending) = self.pending.get_mut(&id) else {
                continue;
            };
            let Some(to) = pending.dispatcher.clone() else {
                continue;
            };
            let report = pending
                .report
                .take()
                .unwrap_or(Report { produced: pending.request.produced, ..Report::default() });
            pending.reported = now;
            let progress = peer::Progress::new(
                id::to_wire(id),
                report.produced as i32,
                report.first_token.map(|time| time as i64),
                (report.gap > 0).then_some(report.gap as i64),
            );
            batches.entry((to, pending.request.pool.clone())).or_default().push(progress);
        }
        for ((to, pool), reports) in batches {
            let batch = peer::ProgressBatch::new(pool.to_string(), reports);
            sends.push(Outgoing { to, message: Message::Progress(batch) });
        }
    }

    /// Moves the requests of dispatchers that did not answer within [`ANSWER_TIMEOUT`] to the dispatch thread of this
    /// instance, which decides with what it knows. Returns these dispatchers.
    pub fn reassign_overdue(&mut self, sends: &mut Vec<Outgoing>) -> BTreeSet<Arc<str>> {
        let now = clock::now();
        let mut silent = BTreeSet::new();
        let mut overdue = Vec::new();
        for (id, pending) in &self.pending {
            let Some(dispatcher) =
                pending.dispatcher.as_ref().filter(|name| *name != self.view.name())
            else {
                continue;
            };
            if pending.awaiting_since.is_some_and(|since| now > since + ANSWER_TIMEOUT) {
                silent.insert(dispatcher.clone());
                overdue.push(*id);
            }
        }
        let name = self.view.name().clone();
        for id in overdue {
            self.assign(id, Some(name.clone()), sends);
        }
        silent
    }

    /// Restarts the answer timeouts after a pause of this process, during which it could not read answers.
    pub fn restart_answer_timers(&mut self) {
        let now = clock::now();
        for pending in self.pending.values_mut() {
            pending.awaiting_since = pending.awaiting_since.map(|_| now);
        }
    }

    /// Sets a new directory, and moves the requests whose dispatcher changes.
    pub fn set_directory(&mut self, directory: Arc<Directory>, sends: &mut Vec<Outgoing>) {
        self.view.set_directory(directory);
        self.reassign(sends);
    }

    /// Records whether an instance is reachable.
    pub fn set_reachable(
        &mut self,
        instance: &Arc<str>,
        reachable: bool,
        sends: &mut Vec<Outgoing>,
    ) {
        if reachable {
            self.delegations.connected(instance);
        }
        if self.view.set_reachable(clock::now(), instance, reachable) {
            self.reassign(sends);
        }
    }

    /// Records whether an instance is leaving.
    pub fn set_leaving(&mut self, instance: &Arc<str>, leaving: bool, sends: &mut Vec<Outgoing>) {
        if self.view.set_leaving(instance, leaving) {
            self.reassign(sends);
        }
    }

    /// Records whether an instance reads the store and gets answers.
    pub fn set_store_readable(&mut self, now: Micros, instance: &Arc<str>, readable: bool) {
        self.view.set_store_readable(now, instance, readable);
    }

    /// Hands the roles of this instance over, since it is stopping.
    pub fn stop(&mut self, sends: &mut Vec<Outgoing>) {
        self.view.stop();
        self.reassign(sends);
    }

    /// Moves each request whose dispatcher changed. The new dispatcher gets an ask with the original arrival time, and
    /// with the granted server if the request runs; the old one gets a withdrawal.
    fn reassign(&mut self, sends: &mut Vec<Outgoing>) {
        let mut owners: HashMap<(Pool, Arc<str>), Option<Arc<str>>> = HashMap::new();
        let ids: Vec<Id> = self.pending.keys().copied().collect();
        for id in ids {
            let request = &self.pending[&id].request;
            let key = (request.pool.clone(), request.area.clone());
            let owner = match owners.get(&key) {
                Some(owner) => owner.clone(),
                None => {
                    let owner = self.view.dispatcher(&key.0, &key.1);
                    owners.insert(key, owner.clone());
                    owner
                }
            };
            self.assign(id, owner, sends);
        }
        self.crashes.reassign(clock::now(), &self.view, sends);
    }

    /// Moves a request to another dispatcher, and withdraws it from the old one.
    fn assign(&mut self, id: Id, owner: Option<Arc<str>>, sends: &mut Vec<Outgoing>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if pending.dispatcher == owner {
            return;
        }
        let old = std::mem::replace(&mut pending.dispatcher, owner);
        if let Some(to) = old {
            let bytes = id::to_wire(id);
            let withdraw = peer::Withdraw::new(bytes, pending.request.pool.to_string());
            sends.push(Outgoing { to, message: Message::Withdraw(withdraw) });
        }
        if pending.server.is_some() && pending.dispatcher.is_none() {
            return;
        }
        self.ask(id, false, sends);
    }

    /// Sends the asks of an instance again after its connection was lost and restored.
    pub fn resend(&mut self, instance: &Arc<str>, sends: &mut Vec<Outgoing>) {
        self.delegations.connected(instance);
        let affected = self.pending.iter().filter(|(_, h)| h.dispatcher.as_ref() == Some(instance));
        let ids: Vec<Id> = affected.map(|(id, _)| *id).collect();
        for id in ids {
            self.ask(id, true, sends);
        }
    }
}
