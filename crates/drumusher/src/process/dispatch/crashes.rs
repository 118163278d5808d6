//! Crashes of backend servers, reported or suspected, as evidence against the requests that ran there and the parts of
//! their prompts.

use drumusher_log::quarantine::{Crash, Digest, Verdict};
use drumusher_schedule::time::Micros;
use drumusher_wire::peer;

use super::Dispatcher;
use crate::{
    process::{clock, platform},
    request::id,
    routed::digest,
    version::Pool,
};

/// Maximum number of crash reports that wait for others.
const MAX_UNDECIDED: usize = 4_096;
/// Maximum number of parts of one prompt that a crash is evidence against.
const MAX_PARTS: usize = 16;

/// A crash report that may turn out to be one of several with a common cause.
pub(super) struct Undecided {
    at: Micros,
    alone: bool,
    crash: peer::Crash,
}

impl Dispatcher {
    /// Handles an entry's report of an attempt whose backend server may have crashed.
    pub(super) fn handle_break(&mut self, suspected: peer::Break) {
        let attempt = suspected.attempt;
        let start = start(&attempt);
        if suspected.survived == Some(true) {
            self.breaks.survived(&start);
            return;
        }
        let alone = self.ran_alone(&attempt);
        if let Some(crashed) = self.breaks.add(clock::now(), &start, alone, attempt) {
            self.count_crash(&crashed, alone);
        }
    }

    /// Whether a request was the only trial on its backend server.
    fn ran_alone(&self, crash: &peer::Crash) -> bool {
        let hosted = Pool::parse(&crash.pool).and_then(|pool| self.pools.get(&pool));
        let known = hosted.zip(id::from_wire(&crash.id));
        let known = known.and_then(|(hosted, id)| hosted.trials.was_alone(id));
        known.unwrap_or(crash.alone == Some(true))
    }

    /// Handles an entry's report that a backend server crashed while it ran a request. The crash counts for all attempts
    /// that broke there.
    pub(super) fn handle_crash(&mut self, crash: &peer::Crash) {
        for (alone, attempt) in self.breaks.crashed(clock::now(), &start(crash)) {
            if attempt.id != crash.id {
                self.count_crash(&attempt, alone);
            }
        }
        self.count_crash(crash, self.ran_alone(crash));
    }

    /// Records a crash as evidence against a request, and notes it as evidence against the parts of its prompt.
    fn count_crash(&mut self, crash: &peer::Crash, alone: bool) {
        let Some(digest) = Digest::from_wire(&crash.digest) else { return };
        self.record_crash(digest, crash, (alone, false));
        self.answered.note_crash(clock::now(), &start(crash));
        let Some(parts) = &crash.parts else { return };
        let parts: Vec<u64> = parts.iter().take(MAX_PARTS).map(|part| *part as u64).collect();
        self.answered.note_parts(&crash.workspace, &parts, &start(crash));
        if self.undecided.len() >= MAX_UNDECIDED {
            log::warn!(server = crash.server.as_str(); "a crash is not considered as evidence against parts: too many");
        } else {
            self.undecided.push_back(Undecided { at: clock::now(), alone, crash: crash.clone() });
        }
    }

    /// Records crashes as evidence against parts of prompts, once it is known which other servers crashed at the same
    /// time.
    pub(super) fn decide_crashes(&mut self) {
        let now = clock::now();
        while let Some(next) =
            self.undecided.pop_front_if(|next| self.answered.is_decided(now, next.at))
        {
            self.record_part_crashes(now, &next);
        }
    }

    fn record_part_crashes(&mut self, now: Micros, undecided: &Undecided) {
        let Undecided { alone, crash, .. } = undecided;
        let (workspace, start) = (&crash.workspace, start(crash));
        let together = self.answered.has_common_cause(&start);
        for part in crash.parts.iter().flatten().take(MAX_PARTS) {
            let part = *part as u64;
            if together && !self.answered.is_common_cause(now, workspace, part, &start) {
                continue;
            }
            if !self.answered.record_crash(now, workspace, part, &start) {
                continue;
            }
            let Some(request) = Digest::from_wire(&crash.digest) else { continue };
            let secret = &self.shared.settings.fleet_secret;
            let digest = digest::of_part(secret, workspace, part);
            for (alone, crash) in self.lone_requests.add(digest, request, (*alone, crash.clone())) {
                self.record_crash(digest, &crash, (alone, true));
            }
        }
    }

    /// Records a crash as evidence against a request or a part of its prompt. One crash against a part is not written to
    /// the store: most of them are cleared soon.
    fn record_crash(&mut self, digest: Digest, crash: &peer::Crash, (alone, part): (bool, bool)) {
        if !part {
            self.excused.crashed(clock::now(), digest);
        }
        let verdict = {
            let mut table = self.shared.quarantine();
            let changed = table.record_crash(digest, end(crash, alone, part));
            changed.then(|| table.verdict(digest))
        };
        let Some(verdict) = verdict else { return };
        self.shared.telemetry.count("drumusher.quarantine.ends", &[]);
        self.log_suspect(digest, crash, alone);
        if verdict == Verdict::Held {
            self.shared.update_held_count();
        }
        if !part || verdict != Verdict::Free {
            self.store_record(digest);
        }
    }

    /// Logs a request or part that was running at more than one crash.
    fn log_suspect(&self, digest: Digest, crash: &peer::Crash, alone: bool) {
        let table = self.shared.quarantine();
        let Some(record) = table.get(digest) else { return };
        let what = match table.verdict(digest) {
            Verdict::Free => return,
            Verdict::Trial => "runs on trial",
            Verdict::Held => "held back",
        };
        log::warn!(
            digest = digest.to_hex().as_str(), workspace = crash.workspace.as_str(),
            route = crash.route.as_str(), server = crash.server.as_str(), alone = alone,
            part = record.part, ends = record.ends.len();
            "backend server crashed again while it ran this request: {what}"
        );
    }

    pub(super) fn store_record(&self, digest: Digest) {
        let sent = self.shared.platform.try_send(platform::Input::Quarantine(vec![digest]));
        if sent.is_err() {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "platform")]);
            log::warn!(digest = digest.to_hex().as_str(); "quarantine record not written: the platform thread is too busy");
        }
    }
}

/// Identifies the run of a backend server that crashed.
fn start(crash: &peer::Crash) -> String {
    format!("{}@{}", crash.server, crash.born.unwrap_or(0))
}

/// The crash that an entry reports, as a quarantine record of one run of a backend server.
fn end(crash: &peer::Crash, alone: bool, part: bool) -> Crash<'_> {
    Crash {
        start: start(crash),
        alone,
        at_ms: clock::steady_unix_ms(),
        workspace: &crash.workspace,
        route: &crash.route,
        part,
    }
}
