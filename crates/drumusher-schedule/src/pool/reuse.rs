//! Counts how the prompts of granted requests are obtained.

use std::collections::HashMap;

use super::Pool;
use crate::{
    ask::Ask,
    engine::Prefill,
    reuse::{Counts, How, RECENT_USE},
    server::{self, Server},
    time::Micros,
};

/// Prompt tokens granted since they were last reported, and what was lost recently.
#[derive(Debug, Default)]
pub(super) struct Reuse {
    counts: Counts,
    /// Last use of the parts of engines that lost their caches.
    lost: HashMap<u64, Micros>,
}

impl Pool {
    /// How the prompts of the requests granted since the last call are obtained.
    pub fn take_prompt_tokens(&mut self) -> Counts {
        std::mem::take(&mut self.reuse.counts)
    }

    /// Clears the cache of an engine that lost it, and remembers what was lost.
    pub(super) fn clear_cache(&mut self, now: Micros, server: server::Key) {
        let Some(server) = self.servers.get_mut(usize::from(server.0)).and_then(Option::as_mut)
        else {
            return;
        };
        let lost = &mut self.reuse.lost;
        lost.retain(|_, last_used| is_recent(now, *last_used));
        for (part, last_used) in server.engine().cache().iter() {
            if is_recent(now, last_used) {
                let latest = lost.entry(part).or_default();
                *latest = last_used.max(*latest);
            }
        }
        server.engine_mut().clear_cache();
    }

    /// Counts the prompt of a request that is granted a place on an engine, before it is placed.
    pub(super) fn count_prompt(
        &mut self,
        now: Micros,
        ask: &Ask,
        chosen: server::Key,
        prefill: Prefill,
    ) {
        if ask.parts.is_empty() {
            return;
        }
        let mut counts = self.reuse.counts;
        let mut left = prefill.tokens;
        let obtained = ask.prompt.saturating_sub(left);
        counts.add(How::Copied, prefill.transferred);
        counts.add(How::Cached, obtained.saturating_sub(prefill.transferred));
        let mut end = 0_u32;
        for part in &ask.parts {
            let start = end.max(obtained);
            end = end.saturating_add(part.tokens);
            let tokens = end.saturating_sub(start).min(left);
            if tokens > 0 {
                left -= tokens;
                counts.add(self.why_prefilled(now, part.id, chosen, prefill), tokens);
            }
        }
        counts.add(How::FirstRead, left);
        self.reuse.counts = counts;
    }

    /// Why an engine prefills a part.
    fn why_prefilled(&self, now: Micros, part: u64, chosen: server::Key, prefill: Prefill) -> How {
        let lost = self.reuse.lost.get(&part).is_some_and(|last_used| is_recent(now, *last_used));
        let (mut ready, mut reading, mut unusable) = (false, false, lost);
        for (_, server) in self.servers().filter(|(key, _)| *key != chosen) {
            let cache = server.engine().cache();
            if !cache.last_used(part).is_some_and(|last_used| is_recent(now, last_used)) {
                continue;
            }
            match self.can_send_copies(now, server) {
                false => unusable = true,
                true if cache.is_complete(now, part) => ready = true,
                true => reading = true,
            }
        }
        let engine = self.server_at(chosen).map(Server::engine);
        let short = engine.is_some_and(|engine| !engine.is_worth_copying(prefill.recomputed));
        match (ready, reading, unusable) {
            (true, ..) if short => How::TooShort,
            (true, ..) => How::HolderBusy,
            (_, true, _) => How::ReadingElsewhere,
            (_, _, true) => How::HolderDown,
            _ => How::FirstRead,
        }
    }
}

fn is_recent(now: Micros, last_used: Micros) -> bool {
    now <= last_used + RECENT_USE
}
