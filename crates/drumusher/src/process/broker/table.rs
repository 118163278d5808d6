//! The asks an instance owns, and which dispatcher has each. Without I/O.

mod answers;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use drumusher_schedule::{ask::Id, time::Micros};
use drumusher_wire::peer::{self, Message};

use super::{Attempt, Crashes, Input, Delegations, DispatchRequest, Reply, Report, Send, View, wire};
use crate::{
    process::{
        clock,
        notices::{self, Notices},
    },
    request::id,
    version::{Directory, Pool},
};

/// Time between two signs of life for a running attempt.
const ALIVE_EVERY: u64 = drumusher_schedule::time::SECOND;

/// A dispatcher answers an ask within this, if only that it waits. A quarter of the tightest target
/// of today's classes (250 ms); an answer takes 2 ms between availability zones.
const ANSWER_WITHIN: u64 = 60 * drumusher_schedule::time::MILLISECOND;

/// An ask that is owned, and what became of it so far.
struct Held {
    own: DispatchRequest,
    /// The dispatcher that was asked; `None` if there is none to ask.
    dispatcher: Option<Arc<str>>,
    /// The backend server it was granted.
    server: Option<Arc<str>>,
    report: Option<Report>,
    reported: u64,
    /// Whether it was sent to a dispatcher before.
    asked: bool,
    /// Since when the dispatcher owes an answer to the ask; `None` once it gave one.
    owed: Option<u64>,
}

/// The asks this instance owns.
pub struct Table {
    held: HashMap<Id, Held>,
    /// The asks of which the next batch of reports tells.
    fresh: BTreeSet<Id>,
    /// To which dispatchers this instance lends its part of the repeats.
    loans: Delegations,
    /// Backend servers that ended under requests of this instance lately.
    crashes: Crashes,
    /// What backend servers said of themselves to this instance.
    notices: Arc<Notices>,
    view: View,
}

impl Table {
    /// An empty table of the instance that has this view of the others.
    pub fn new(view: View) -> Self {
        Table {
            held: HashMap::new(),
            fresh: BTreeSet::new(),
            loans: Delegations::new(),
            crashes: Crashes::default(),
            notices: Arc::default(),
            view,
        }
    }

    /// Sets for how long repeats count.
    pub fn with_window(mut self, window: Micros) -> Self {
        self.loans = self.loans.with_window(window);
        self
    }

    /// Sets where it is noted what backend servers say of themselves, which new dispatchers are told.
    pub fn with_notices(mut self, notices: Arc<Notices>) -> Self {
        self.notices = notices;
        self
    }

    /// The other instances as seen from here.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The absent instances that are to be tried now.
    pub fn due_reconnects(&mut self) -> Vec<Arc<str>> {
        self.view.due_reconnects(clock::now())
    }

    /// How many asks are owned.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no ask is owned.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Takes what a request says.
    pub fn handle(&mut self, input: Input, sends: &mut Vec<Send>) {
        match input {
            Input::Open(own) => self.open(*own, sends),
            Input::Finish(id, outcome, produced) => self.finish(id, outcome, produced, sends),
            Input::Progress(id, report) => self.report(id, report),
            Input::Crash(crash) => self.crashes.add(clock::now(), *crash, &self.view, sends),
            Input::Notice(record) => self.notice(&record, sends),
            Input::Changed => {}
        }
    }

    /// Tells the dispatcher that is asked for a pool what a backend server said of itself. One that is asked later is told
    /// with the first ask.
    fn notice(&self, record: &notices::Record, sends: &mut Vec<Send>) {
        if let Some(to) = self.loans.asked(&record.pool) {
            let message = Message::Notice(wire::notice(record, clock::now()));
            sends.push(Send { to: to.clone(), message });
        }
    }

    /// Owns an ask and sends it.
    fn open(&mut self, own: DispatchRequest, sends: &mut Vec<Send>) {
        let id = own.id;
        let dispatcher = self.view.dispatcher(&own.pool, &own.area);
        let held = Held {
            own,
            dispatcher,
            server: None,
            report: None,
            reported: clock::now(),
            asked: false,
            owed: None,
        };
        self.held.insert(id, held);
        self.ask(id, false, sends);
    }

    /// Sends an ask to its dispatcher; refuses it if there is none.
    fn ask(&mut self, id: Id, redirected: bool, sends: &mut Vec<Send>) {
        let Some(held) = self.held.get(&id) else {
            return;
        };
        let Some(to) = held.dispatcher.clone() else {
            let no_server = drumusher_schedule::order::Refusal::NoServer as i16;
            let second = drumusher_schedule::time::SECOND;
            let _ = held.own.replies.try_send(Reply::Refuse(no_server, second));
            self.held.remove(&id);
            return;
        };
        let again = held.asked && held.own.attempt == Attempt::First;
        let attempt = if again { Attempt::Resent } else { held.own.attempt };
        let first = attempt == Attempt::First;
        let offer = self.loans.delegate(clock::now(), &held.own.pool, &to, first);
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let mut ask = wire::ask(&held.own, held.server.as_deref(), attempt, &offer);
        held.asked = true;
        held.owed = held.server.is_none().then(clock::now);
        ask.redirected = redirected.then_some(true);
        if offer.sent.is_some() {
            let now = clock::now();
            let known = self.notices.in_force_for(now, &held.own.pool);
            let known: Vec<_> = known.iter().map(|record| wire::notice(record, now)).collect();
            ask.notices = (!known.is_empty()).then_some(known);
        }
        sends.push(Send { to, message: Message::Ask(ask) });
    }

    /// A request is over, or needs its grant no longer: its dispatcher is told.
    fn finish(&mut self, id: Id, outcome: i16, produced: u32, sends: &mut Vec<Send>) {
        let Some(held) = self.held.remove(&id) else {
            return;
        };
        self.fresh.remove(&id);
        let Some(to) = held.dispatcher else {
            return;
        };
        let pool = held.own.pool.to_string();
        let bytes = id::to_wire(id);
        let message = match held.server {
            Some(_) => {
                let report = held.report.unwrap_or_default();
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
        sends.push(Send { to, message });
    }

    fn report(&mut self, id: Id, report: Report) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let first_token = held.report.and_then(|r| r.first_token).or(report.first_token);
        held.report = Some(Report { first_token, ..report });
        held.own.produced = held.own.produced.max(report.produced);
        self.fresh.insert(id);
    }

    /// The batched reports due now, and signs of life for attempts that have nothing to report.
    pub fn reports(&mut self, sends: &mut Vec<Send>) {
        let now = clock::now();
        let silent = self
            .held
            .iter()
            .filter(|(_, held)| held.server.is_some() && now >= held.reported + ALIVE_EVERY);
        let due: Vec<Id> = silent.map(|(id, _)| *id).collect();
        self.fresh.extend(due);
        let mut batches: HashMap<(Arc<str>, Pool), Vec<peer::Progress>> = HashMap::new();
        for id in std::mem::take(&mut self.fresh) {
            let Some(held) = self.held.get_mut(&id) else {
                continue;
            };
            let Some(to) = held.dispatcher.clone() else {
                continue;
            };
            let report = held
                .report
                .take()
                .unwrap_or(Report { produced: held.own.produced, ..Report::default() });
            held.reported = now;
            let progress = peer::Progress::new(
                id::to_wire(id),
                report.produced as i32,
                report.first_token.map(|time| time as i64),
                (report.gap > 0).then_some(report.gap as i64),
            );
            batches.entry((to, held.own.pool.clone())).or_default().push(progress);
        }
        for ((to, pool), reports) in batches {
            let batch = peer::ProgressBatch::new(pool.to_string(), reports);
            sends.push(Send { to, message: Message::Progress(batch) });
        }
    }

    /// Other instances that have owed an answer for longer than [`ANSWER_WITHIN`]. Their asks are
    /// asked of the own dispatcher at once, which decides with what it knows.
    pub fn reassign_overdue(&mut self, sends: &mut Vec<Send>) -> BTreeSet<Arc<str>> {
        let now = clock::now();
        let mut silent = BTreeSet::new();
        let mut owed = Vec::new();
        for (id, held) in &self.held {
            let Some(dispatcher) =
                held.dispatcher.as_ref().filter(|name| *name != self.view.name())
            else {
                continue;
            };
            if held.owed.is_some_and(|since| now > since + ANSWER_WITHIN) {
                silent.insert(dispatcher.clone());
                owed.push(*id);
            }
        }
        let name = self.view.name().clone();
        for id in owed {
            self.assign(id, Some(name.clone()), sends);
        }
        silent
    }

    /// After a pause of the own process: nobody is blamed for what was not heard meanwhile.
    pub fn restart_answer_timers(&mut self) {
        let now = clock::now();
        for held in self.held.values_mut() {
            held.owed = held.owed.map(|_| now);
        }
    }

    /// Takes a new directory.
    pub fn set_directory(&mut self, directory: Arc<Directory>, sends: &mut Vec<Send>) {
        self.view.set_directory(directory);
        self.reassign(sends);
    }

    /// An instance cannot be reached, or can again.
    pub fn set_reachable(&mut self, instance: &Arc<str>, reachable: bool, sends: &mut Vec<Send>) {
        if reachable {
            self.loans.connected(instance);
        }
        if self.view.set_reachable(clock::now(), instance, reachable) {
            self.reassign(sends);
        }
    }

    /// An instance says whether it is leaving.
    pub fn set_leaving(&mut self, instance: &Arc<str>, leaving: bool, sends: &mut Vec<Send>) {
        if self.view.set_leaving(instance, leaving) {
            self.reassign(sends);
        }
    }

    /// An instance says whether it reads the store and gets answers.
    pub fn set_store_readable(&mut self, now: Micros, instance: &Arc<str>, reads: bool) {
        self.view.set_store_readable(now, instance, reads);
    }

    /// The own instance is stopping: it hands its roles over.
    pub fn stop(&mut self, sends: &mut Vec<Send>) {
        self.view.stop();
        self.reassign(sends);
    }

    /// Moves each ask whose dispatcher changed: the new one is asked, or told of the running
    /// grant, with the original arrival; the old one is told to forget it.
    fn reassign(&mut self, sends: &mut Vec<Send>) {
        let mut owners: HashMap<(Pool, Arc<str>), Option<Arc<str>>> = HashMap::new();
        let ids: Vec<Id> = self.held.keys().copied().collect();
        for id in ids {
            let own = &self.held[&id].own;
            let place = (own.pool.clone(), own.area.clone());
            let owner = match owners.get(&place) {
                Some(owner) => owner.clone(),
                None => {
                    let owner = self.view.dispatcher(&place.0, &place.1);
                    owners.insert(place, owner.clone());
                    owner
                }
            };
            self.assign(id, owner, sends);
        }
        self.crashes.reassign(clock::now(), &self.view, sends);
    }

    /// Gives an ask to another dispatcher and tells the old one to forget it.
    fn assign(&mut self, id: Id, owner: Option<Arc<str>>, sends: &mut Vec<Send>) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        if held.dispatcher == owner {
            return;
        }
        let old = std::mem::replace(&mut held.dispatcher, owner);
        if let Some(to) = old {
            let bytes = id::to_wire(id);
            let withdraw = peer::Withdraw::new(bytes, held.own.pool.to_string());
            sends.push(Send { to, message: Message::Withdraw(withdraw) });
        }
        if held.server.is_some() && held.dispatcher.is_none() {
            return;
        }
        self.ask(id, false, sends);
    }

    /// Asks again whatever was asked of an instance whose connection broke but that can be reached
    /// again.
    pub fn resend(&mut self, instance: &Arc<str>, sends: &mut Vec<Send>) {
        self.loans.connected(instance);
        let asked = self.held.iter().filter(|(_, h)| h.dispatcher.as_ref() == Some(instance));
        let ids: Vec<Id> = asked.map(|(id, _)| *id).collect();
        for id in ids {
            self.ask(id, true, sends);
        }
    }
}
