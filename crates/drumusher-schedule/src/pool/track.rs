//! Tracking of running attempts.

use super::Pool;
use crate::{
    ask::{Ask, Id, Key, Outcome, State, Waiting},
    engine::{Prefill, Prompt},
    event::Progress,
    server,
    time::Micros,
};

impl Pool {
    /// Restores a running grant that an earlier dispatcher gave.
    pub(super) fn restore(&mut self, now: Micros, ask: Ask, server: server::Key) {
        if let Some(key) = self.keys.get(&ask.id).copied() {
            match self.running_request(ask.id).map(|running| running.server) {
                Some(granted) if granted == server => {
                    self.rebind(key, &ask);
                    return;
                }
                // The grant of another dispatcher is used, not this one.
                Some(_) => self.finish(now, ask.id, Outcome::Cancelled, 0),
                None => drop(self.remove_waiting(key)),
            }
        }
        self.take_over(now, &ask);
        let waiting = Waiting {
            tier: self.policy.tier(ask.class),
            deadline: ask.arrived,
            since: now,
            wait: 0,
            is_first: false,
            prefill: 0.0,
            latest_start: None,
            grants_before: self.grants,
            ask,
        };
        let id = waiting.ask.id;
        let prefill = self.local_prefill(&waiting.ask, server);
        self.start_running(now, waiting, server, prefill, false);
        if let Some(server) = self.server_mut(server) {
            server.backdate_grant();
        }
        let Some((_, running)) = self.running_mut(id) else {
            return;
        };
        running.started = true;
        running.has_first_token = running.produced > 0;
        if running.produced > 0
            && let Some(server) = self.server_mut(server)
        {
            server.engine_mut().mark_prefilled(id);
            server.engine_mut().backlog_mut().complete(now, id);
        }
    }

    /// Binds a request to the connection over which its entry instance asked for it last, so that the end of an earlier
    /// one does not drop it. A waiting one may have run elsewhere since it was queued, but keeps its position.
    pub(super) fn rebind(&mut self, key: Key, ask: &Ask) {
        match self.requests.get_mut(key.0 as usize) {
            Some(State::Waiting(waiting)) => {
                let Ask { class, workspace, arrived, ref mut parts, .. } = waiting.ask;
                let parts = std::mem::take(parts);
                self.begun_waiting -= usize::from(waiting.ask.has_begun());
                waiting.ask = Ask { class, workspace, arrived, parts, ..ask.clone() };
                self.begun_waiting += usize::from(waiting.ask.has_begun());
            }
            Some(State::Running(running)) => running.ask.entry = ask.entry,
            None => {}
        }
    }

    /// How an engine obtains a prompt without transferring any of it.
    fn local_prefill(&mut self, ask: &Ask, server: server::Key) -> Prefill {
        let prompt =
            Prompt { parts: &ask.parts, tokens: ask.prompt, tolerant: false, tightest_gap: 0 };
        self.server_mut(server)
            .map_or_else(Prefill::default, |server| server.engine().prefill(&prompt, 0, 0))
    }

    pub(super) fn withdraw(&mut self, id: Id) {
        if let Some(key) = self.keys.get(&id).copied() {
            self.remove_waiting(key);
        }
    }

    pub(super) fn progress(&mut self, now: Micros, progress: Progress) {
        let Some((_, running)) = self.running_mut(progress.id) else {
            return;
        };
        running.last_report = now;
        running.started = true;
        let new = progress.produced.saturating_sub(running.produced);
        running.produced = running.produced.max(progress.produced);
        running.has_first_token |= new > 0 || progress.first_token.is_some();
        let own = f64::from(running.produced - running.ask.produced);
        let beyond = (own - running.charged).max(0.0);
        running.charged += beyond;
        let (tier, workspace, server) = (running.tier, running.ask.workspace, running.server);
        let (class, produced) = (running.ask.class, running.produced);
        let has_first_token = running.has_first_token;
        let policy = self.policy.clone();
        if beyond > 0.0 {
            self.share.charge(&policy, tier, workspace, beyond);
        }
        self.share.consume(&policy, workspace, f64::from(new), now);
        let limited = self.read_ahead_limit(now).is_some();
        let mut prefilled_in = None;
        if let Some(server) = self.server_mut(server) {
            server.engine_mut().record_output(progress.id, produced);
            if has_first_token {
                prefilled_in = server.engine_mut().backlog_mut().complete(now, progress.id);
            }
        }
        if !policy.switches.learning {
            return;
        }
        let target = policy.tightest_gap();
        let sensitivity = self.sensitivity(now, class);
        if let Some(server) = self.server_mut(server) {
            if let Some(first) = progress.first_token {
                let engine = server.engine_mut();
                match prefilled_in {
                    // The time since the grant includes more urgent prompts that came later.
                    time if limited && time.is_none_or(|time| time < first) => {
                        engine.first_event_after(progress.id, time);
                    }
                    _ => engine.first_event(progress.id, first),
                }
            }
            server.engine_mut().pace_mut().record(now, progress.gap, new);
            server.record_stream(now, sensitivity, progress.first_token, progress.gap, target);
        }
    }

    pub(super) fn finish(&mut self, now: Micros, id: Id, outcome: Outcome, produced: u32) {
        let Some((key, _)) = self.running_mut(id) else {
            return;
        };
        let State::Running(running) = self.requests.remove(key.0 as usize) else {
            return;
        };
        self.keys.remove(&id);
        let ask = &running.ask;
        let policy = self.policy.clone();
        let produced = produced.max(running.produced);
        let own = f64::from(produced - ask.produced);
        self.share.charge(&policy, running.tier, ask.workspace, own - running.charged);
        let unreported = f64::from(produced - running.produced);
        self.share.consume(&policy, ask.workspace, unreported, now);
        self.share.usage(ask.workspace).running -= 1;
        if outcome == Outcome::Done {
            self.lengths.record(ask.class, ask.workspace, produced);
        }
        let tolerant = running.tolerant;
        let profile = self.cache_profile(now);
        if let Some(server) = self.server_mut(running.server) {
            server.end(now, running.granted, outcome);
            let broken = matches!(outcome, Outcome::Failed | Outcome::ConnectFailed);
            let is_lost = server.down_from().is_some() || server.leaving() && broken;
            let engine = server.engine_mut();
            engine.set_profile(profile);
            engine.release(now, id, outcome);
            engine.end(id, tolerant);
            engine.backlog_mut().end(now, id);
            if is_lost && profile.is_some() {
                self.clear_cache(now, running.server);
            }
        }
        if let Some(attempts) = self.preemptible.get_mut(&running.tier) {
            attempts.remove(&(running.granted, key));
        }
        if running.stopping {
            self.preempting -= 1;
        }
        if !running.reserved {
            *self.running_tiers.entry(running.tier).or_default() -= 1;
        }
        if outcome == Outcome::Done {
            self.record_hold_time(now.saturating_sub(running.granted));
        }
    }
}
