//! Requests suspected of crashing backend servers: trial runs and quarantine.

use drumusher_log::quarantine::{Digest, TRIAL_THRESHOLD, Table, Verdict};
use drumusher_schedule::{
    ask::{Entry, Id, Outcome},
    order::Refusal,
    pool,
    server::Server,
    time::{MILLISECOND, Micros},
};
use drumusher_wire::peer::{self, Message};

use super::Dispatcher;
use crate::{process::clock, request::id, routed::digest, version::Pool};

/// One undecided trial is allowed for this many backend servers that accept work. Each trial may take its server down
/// for some seconds, and two thirds of the servers remain if all trials do.
const SERVERS_PER_TRIAL: usize = 3;

/// Within this time it is usually known whether a backend server whose connection broke has crashed.
const DECISION_TIME: Micros = 400 * MILLISECOND;
/// When a caller is to come again while it is not known whether a backend server crashed: it usually is within this time.
const UNDECIDED_RETRY: Micros = 500 * MILLISECOND;

/// Whether a request may be submitted to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It may run, on trial or not.
    Run,
    /// It waits for a trial run.
    Wait,
    /// It is quarantined.
    Refuse,
    /// It may come again once it is known whether the backend server of its latest trial crashed.
    Postpone,
}

/// What crashes are recorded for: a request, and the parts of its prompt that others share.
#[derive(Clone, Debug)]
pub(super) struct Subject {
    request: Digest,
    workspace: String,
    parts: Vec<u64>,
}

/// A request, or a part of its prompt, that may run only on trial or not at all.
struct Suspect {
    digest: Digest,
    verdict: Verdict,
    /// The part of the prompt; `None` for the request itself.
    part: Option<u64>,
}

impl Subject {
    /// The subject of an ask; `None` if it has no digest.
    fn new(ask: &peer::Ask) -> Option<Self> {
        let request = Digest::from_wire(ask.digest.as_deref()?)?;
        let parts = ask.parts.as_deref().unwrap_or_default();
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let parts = shared.iter().map(|part| part.id as u64).collect();
        Some(Subject { request, workspace: ask.workspace.clone(), parts })
    }

    fn part_digests(&self, secret: &str) -> Vec<Digest> {
        self.parts.iter().map(|part| digest::of_part(secret, &self.workspace, *part)).collect()
    }
}

impl Dispatcher {
    /// Whether an ask may be submitted to the scheduler, by what the quarantine knows of its request.
    pub(super) fn check_quarantine(&mut self, message: &peer::Ask, pool: &Pool) -> Admission {
        let (Some(subject), Some(id)) = (Subject::new(message), id::from_wire(&message.id)) else {
            return Admission::Run;
        };
        let suspects = self.suspects(&subject);
        let undecided_since = self.undecided_since(&subject, &suspects);
        let held = suspects.iter().any(|suspect| suspect.verdict == Verdict::Held);
        let Some(hosted) = self.pools.get_mut(pool) else {
            return Admission::Run;
        };
        let runs_already = message.server.is_some();
        if held && !runs_already {
            return Admission::Refuse;
        }
        if let Some(since) = undecided_since.filter(|_| !runs_already) {
            let is_soon_decided = clock::now() < since + DECISION_TIME;
            return if is_soon_decided { Admission::Wait } else { Admission::Postpone };
        }
        if suspects.is_empty() {
            hosted.trials.forget(id);
        } else {
            let suspects: Vec<Digest> = suspects.iter().map(|suspect| suspect.digest).collect();
            let max = max_trials(&hosted.scheduler);
            if !runs_already && !hosted.trials.may_begin(&suspects, max) {
                return Admission::Wait;
            }
            hosted.trials.begin(id, suspects);
        }
        hosted.subjects.insert(id, subject);
        Admission::Run
    }

    /// What of a request may run only on trial, or not at all.
    fn suspects(&self, subject: &Subject) -> Vec<Suspect> {
        let table = self.shared.quarantine();
        let digests = if table.has_parts() {
            subject.part_digests(&self.shared.settings.fleet_secret)
        } else {
            Vec::new()
        };
        let parts = digests.into_iter().zip(&subject.parts).map(|(digest, part)| Suspect {
            digest,
            verdict: table.verdict(digest),
            part: Some(*part),
        });
        let verdict = self.request_verdict(&table, subject.request);
        let request = Suspect { digest: subject.request, verdict, part: None };
        parts.chain([request]).filter(|suspect| suspect.verdict != Verdict::Free).collect()
    }

    /// Since when it is not known whether a trial of these suspects crashed its backend server.
    fn undecided_since(&self, subject: &Subject, suspects: &[Suspect]) -> Option<Micros> {
        if suspects.is_empty() {
            return None;
        }
        let parts: Vec<u64> = suspects.iter().filter_map(|suspect| suspect.part).collect();
        self.breaks.trial_undecided_since(subject.request, &subject.workspace, &parts)
    }

    /// How a request may be run. Backend servers that may have crashed, and crashes that an answer cleared it of, count
    /// for a trial, but not against the request.
    fn request_verdict(&self, table: &Table, request: Digest) -> Verdict {
        let verdict = table.verdict(request);
        let known = table.get(request).map_or(0, |record| record.ends.len());
        let weak = self.breaks.undecided(request) + self.excused.count(clock::now(), request);
        let on_trial = weak > 0 && known + weak >= TRIAL_THRESHOLD;
        if verdict == Verdict::Free && on_trial { Verdict::Trial } else { verdict }
    }

    /// Refuses a quarantined request, without a time to try again.
    pub(super) fn refuse_quarantined(&mut self, entry: Entry, id: Vec<u8>) {
        self.shared.telemetry.count("drumusher.quarantine.refused", &[]);
        let refuse = Message::Refuse(peer::Refuse::new(id, Refusal::HeldBack as i16, 0));
        self.unsent.push_back((entry, refuse));
        self.flush();
    }

    /// Refuses a request of which it is not known yet whether its latest trial crashed a backend server.
    pub(super) fn refuse_undecided(&mut self, entry: Entry, id: Vec<u8>) {
        let refusal = Refusal::Undecided as i16;
        let refuse = Message::Refuse(peer::Refuse::new(id, refusal, UNDECIDED_RETRY as i64));
        self.unsent.push_back((entry, refuse));
        self.flush();
    }

    /// Submits the waiting requests that may have a trial run now, and refuses those that have been quarantined since.
    pub(super) fn admit_waiting(&mut self, pool: &Pool) {
        let Some(hosted) =
            self.pools.get_mut(pool).filter(|hosted| !hosted.trials.is_queue_empty())
        else {
            return;
        };
        for waiting in hosted.trials.take_waiting() {
            self.admit_or_queue(waiting.entry, waiting.ask);
        }
    }

    /// Records the first event of a request, so that another trial may begin.
    pub(super) fn trial_started(&mut self, pool: &str, id: Id) {
        let hosted = Pool::parse(pool).and_then(|pool| self.pools.get_mut(&pool));
        if let Some(hosted) = hosted {
            hosted.trials.started(clock::now(), id);
        }
    }

    /// Handles the end of an attempt. An answer shows that its request does not crash backend servers.
    pub(super) fn attempt_ended(&mut self, pool: &Pool, id: Id, outcome: Outcome) {
        let Some(hosted) = self.pools.get_mut(pool) else {
            return;
        };
        hosted.release_retry(id);
        let subject = hosted.subjects.remove(&id);
        hosted.streams.remove(&id);
        hosted.resumed.remove(&id);
        let may_admit = hosted.trials.end(clock::now(), id);
        if let Some(subject) = subject {
            self.clear_answered(&subject, outcome);
        }
        if may_admit {
            self.admit_waiting(pool);
        }
    }

    /// Clears what an attempt with this outcome proves innocent. An error response may come before the answer begins, so
    /// it says nothing about parts of the prompt.
    fn clear_answered(&mut self, subject: &Subject, outcome: Outcome) {
        if matches!(outcome, Outcome::Done | Outcome::ErrorResponse) {
            self.clear_suspect(subject.request);
            self.acquit_answered(subject.request);
        }
        if outcome != Outcome::Done {
            return;
        }
        self.answered.record_answer(clock::now(), &subject.workspace, &subject.parts);
        if self.shared.quarantine().has_parts() || !self.lone_requests.is_empty() {
            for part in subject.part_digests(&self.shared.settings.fleet_secret) {
                self.lone_requests.answered(part);
                self.clear_suspect(part);
            }
        }
    }

    /// Clears the suspected parts of prompts whose trials have been answered for long enough. A request may crash its
    /// backend server at any time until its answer is complete.
    pub(super) fn clear_proven(&mut self, pool: &Pool) {
        let Some(hosted) = self.pools.get_mut(pool) else { return };
        let proven = hosted.trials.take_proven(clock::now());
        if proven.is_empty() {
            return;
        }
        let is_part = |digest: &Digest| {
            self.shared.quarantine().get(*digest).is_some_and(|record| record.part)
        };
        let parts: Vec<Digest> = proven.into_iter().filter(is_part).collect();
        parts.into_iter().for_each(|digest| self.clear_suspect(digest));
    }

    /// Clears a request of all crashes, also those on trial, once it was answered many times in a row.
    fn acquit_answered(&mut self, request: Digest) {
        if !self.excused.answered(request) {
            return;
        }
        let cleared = {
            let mut table = self.shared.quarantine();
            table.verdict(request) != Verdict::Held && table.clear(request)
        };
        if cleared {
            self.store_record(request);
        }
    }

    /// Clears a request or part that was answered from suspicion.
    fn clear_suspect(&mut self, digest: Digest) {
        let (verdict, is_part) = {
            let mut table = self.shared.quarantine();
            let Some(record) = table.get(digest) else { return };
            let found = (record.verdict(), record.part);
            if !table.clear_answered(digest) {
                return;
            }
            found
        };
        if !is_part {
            self.excused.cleared(digest);
        }
        if verdict == Verdict::Held {
            self.shared.update_held_count();
        }
        if !is_part || verdict != Verdict::Free {
            self.store_record(digest);
        }
    }
}

/// The maximum number of undecided trials in a pool.
fn max_trials(pool: &pool::Pool) -> usize {
    let takes_work = |server: &Server| !server.leaving() && server.next_probe().is_none();
    let good = pool.servers().filter(|(_, server)| takes_work(server));
    (good.count() / SERVERS_PER_TRIAL).max(1)
}
