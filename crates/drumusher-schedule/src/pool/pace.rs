//! The pace of a pool's engines, and what is known of an answer before its request is placed.

use super::Pool;
use crate::{ask::Ask, engine::pace::Answer, outlier, server, time::Micros};

/// A hint counts for at most this multiple of the usual length of the class's answers. The longest
/// answers of the known request classes have four times the mean length, and hints are often far
/// off.
const MAX_HINT_FACTOR: f64 = 4.0;

impl Pool {
    /// What is known of the answer to a request; `None` if engines are not chosen by their pace: in
    /// a pool without slack, and without samples.
    pub(super) fn answer(&self, now: Micros, ask: &Ask) -> Option<Answer> {
        let typical = self.typical_pace.filter(|_| self.policy.switches.pace)?;
        if !self.has_slack(now) {
            return None;
        }
        Some(Answer {
            events: self.expected_events(ask)?,
            left: ask.deadline.map(|deadline| deadline.saturating_sub(now) as f64),
            pause_target: self.policy.class(ask.class).token_gap as f64,
            typical,
        })
    }

    /// Events that the rest of an answer is expected to have, by the caller's hint, or else by the
    /// class. `None` if neither is known.
    fn expected_events(&self, ask: &Ask) -> Option<f64> {
        let usual = self.lengths.known_remaining(ask.class, ask.workspace, ask.produced);
        let usual = usual.map(f64::from);
        let event_tokens = self.profile().map_or(1, |profile| profile.event_tokens.max(1));
        let hint = ask.output.div_ceil(event_tokens).saturating_sub(ask.produced);
        // An answer that is already longer than its hint shows that the hint is wrong.
        let hint = Some(f64::from(hint)).filter(|hint| *hint >= 1.0);
        let bounded = |hint: f64| usual.map_or(hint, |usual| hint.min(usual * MAX_HINT_FACTOR));
        hint.map(bounded).or(usual)
    }

    /// Expected time between the events of an engine's streams, in microseconds; `None` without
    /// samples of any engine.
    pub fn pace(&self, now: Micros, key: server::Key) -> Option<f64> {
        let engine = self.server_at(key)?.engine();
        self.typical_pace.map(|typical| engine.pace().expected(now, typical))
    }

    /// Updates the median of the engines' paces.
    pub(super) fn update_pace(&mut self, now: Micros) {
        let known = self.servers().filter_map(|(_, server)| server.engine().pace().slow_mean(now));
        let known: Vec<f64> = known.collect();
        self.typical_pace = (!known.is_empty()).then(|| outlier::median(known.into_iter()));
    }
}
