//! Requests that end backend servers: what entries tell of ends, who is tried, and who is held back.

use drumusher_log::quarantine::{Digest, End, Verdict};
use drumusher_schedule::{
    ask::{Entry, Id, Outcome},
    order::Refusal,
    pool,
    server::Server,
};
use drumusher_wire::peer::{self, Message};

use super::Dispatch;
use crate::{
    process::{clock, platform},
    request::id,
    version::Pool,
};

/// Of so many backend servers that take work, one may have a trial whose outcome is open: each may take its backend server
/// away for some seconds, and two thirds are to be left if all do.
const SERVERS_A_TRIAL: usize = 3;

/// Whether a request may be handed to the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It may, on trial or not.
    Run,
    /// It waits until it may be tried.
    Wait,
    /// It may not run.
    Refuse,
}

impl Dispatch {
    /// Whether an ask may be handed to the decisions, as far as is known of its request.
    pub(super) fn admit_suspect(&mut self, asked: &peer::Ask, pool: &Pool) -> Admission {
        let digest = asked.digest.as_deref().and_then(Digest::from_wire);
        let (Some(digest), Some(id)) = (digest, id::from_wire(&asked.id)) else {
            return Admission::Run;
        };
        let verdict = self.shared.quarantine().verdict(digest);
        let Some(host) = self.hosts.get_mut(pool) else {
            return Admission::Run;
        };
        let runs_already = asked.server.is_some();
        if verdict == Verdict::Held && !runs_already {
            return Admission::Refuse;
        }
        if verdict == Verdict::Free {
            host.trials.forget(id);
        } else {
            let most = most_trials(&host.pool);
            if !runs_already && !host.trials.may_begin(digest, most) {
                return Admission::Wait;
            }
            host.trials.begin(id, digest);
        }
        host.digests.insert(id, digest);
        Admission::Run
    }

    /// Refuses a request that is held back, for good.
    pub(super) fn refuse_held(&mut self, entry: Entry, id: Vec<u8>) {
        self.shared.telemetry.count("drumusher.quarantine.refused", &[]);
        let refuse = Message::Refuse(peer::Refuse::new(id, Refusal::HeldBack as i16, 0));
        self.unsent.push_back((entry, refuse));
        self.flush();
    }

    /// Hands on those that wait and may be tried now; refuses those that are held back by now.
    pub(super) fn try_waiting(&mut self, pool: &Pool) {
        let Some(host) = self.hosts.get_mut(pool).filter(|host| !host.trials.nobody_waits()) else {
            return;
        };
        for waiting in host.trials.take_waiting() {
            self.ask_or_wait(waiting.entry, waiting.ask);
        }
    }

    /// The first event of a request came: another one may be tried.
    pub(super) fn begun_suspect(&mut self, pool: &str, id: Id) {
        let host = Pool::parse(pool).and_then(|pool| self.hosts.get_mut(&pool));
        if let Some(host) = host {
            host.trials.begun(id);
        }
    }

    /// An attempt ended, which may show that its request ends no backend server.
    pub(super) fn end_suspect(&mut self, pool: &Pool, id: Id, outcome: Outcome) {
        let Some(host) = self.hosts.get_mut(pool) else {
            return;
        };
        host.release_repeat(id);
        let digest = host.digests.remove(&id);
        let others = host.trials.end(clock::now(), id);
        let answered = matches!(outcome, Outcome::Done | Outcome::ErrorResponse);
        if let Some(digest) = digest.filter(|_| answered) {
            self.clear(digest);
        }
        if others {
            self.try_waiting(pool);
        }
    }

    /// A request was answered: no backend server ends by it.
    fn clear(&mut self, digest: Digest) {
        if self.shared.quarantine().clear(digest) {
            self.tell_store(digest);
            self.shared.note_held();
        }
    }

    /// An entry tells that a backend server ended while it ran a request.
    pub(super) fn crashed(&mut self, crash: &peer::Crash) {
        let digest = Digest::from_wire(&crash.digest);
        let (Some(digest), Some(id)) = (digest, id::from_wire(&crash.id)) else {
            return;
        };
        let host = Pool::parse(&crash.pool).and_then(|pool| self.hosts.get(&pool));
        let known = host.and_then(|host| host.trials.was_alone(id));
        let alone = known.unwrap_or(crash.alone == Some(true));
        if self.shared.quarantine().note(digest, end(crash, alone)) {
            self.shared.telemetry.count("drumusher.quarantine.ends", &[]);
            self.log_suspect(digest, crash, alone);
            self.shared.note_held();
            self.tell_store(digest);
        }
    }

    /// Writes a line for a request that was at an end before.
    fn log_suspect(&self, digest: Digest, crash: &peer::Crash, alone: bool) {
        let table = self.shared.quarantine();
        let Some(record) = table.get(digest) else { return };
        let what = match record.verdict() {
            Verdict::Free => return,
            Verdict::Trial => "runs on trial",
            Verdict::Held => "held back",
        };
        log::warn!(
            digest = digest.text().as_str(), workspace = crash.workspace.as_str(),
            route = crash.route.as_str(), server = crash.server.as_str(), alone = alone,
            ends = record.ends.len();
            "a request was there when a backend server ended, again: {what}"
        );
    }

    fn tell_store(&self, digest: Digest) {
        let told = self.shared.platform.try_send(platform::Input::Quarantine(vec![digest]));
        if told.is_err() {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "platform")]);
            log::warn!(digest = digest.text().as_str(); "too busy to write what is known of a request");
        }
    }
}

/// How many trials whose outcome is open a pool may have.
fn most_trials(pool: &pool::Pool) -> usize {
    let takes_work = |server: &Server| !server.leaving() && server.next_probe().is_none();
    let good = pool.servers().filter(|(_, server)| takes_work(server));
    (good.count() / SERVERS_A_TRIAL).max(1)
}

/// What an entry tells as the end of a start of a backend server.
fn end(crash: &peer::Crash, alone: bool) -> End<'_> {
    End {
        start: format!("{}@{}", crash.server, crash.born.unwrap_or(0)),
        alone,
        at_ms: clock::steady_unix_ms(),
        workspace: &crash.workspace,
        route: &crash.route,
    }
}
