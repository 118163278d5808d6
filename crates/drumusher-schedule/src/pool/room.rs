//! Capacity of engines: which of them get a further request, in a pool with slack.

use std::collections::BTreeMap;

use super::{
    Pool,
    scope::{Availability, Scope},
};
use crate::{
    ask::{Ask, Entry, Key},
    engine::Engine,
    event::Event,
    region,
    server::Server,
    time::{Micros, SECOND},
    version,
};

/// The least urgency inside an engine.
const LEAST_URGENCY: u8 = 9;

/// Time constant of the mean of the prefill by urgency, in microseconds. Bursts last some ten
/// seconds.
const PREFILLED_TIME: f64 = 2.0 * SECOND as f64;
/// Least part of the engines' time that is expected to be left for less urgent requests.
const MIN_FREE_PART: f64 = 0.1;

/// What a request needs of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// An engine with a longer backlog gets no further request.
    read_ahead: Micros,
    urgency: u8,
    /// Part of the engines' time that is left by more urgent requests.
    free_part: f64,
    /// Memory for the prompt and the expected output, in tokens.
    tokens: u64,
}

impl Room {
    /// Whether an engine has capacity for the request. One without a pending prompt always has, so
    /// that no request waits for ever.
    pub(super) fn is_in(self, now: Micros, server: &Server) -> bool {
        let backlog = server.engine().backlog();
        backlog.is_empty() || self.is_read_soon(now, server) && self.tokens <= free_memory(server)
    }

    /// Time until the prompt begins to be prefilled, with the more urgent ones that come meanwhile.
    pub(super) fn wait(self, now: Micros, engine: &Engine) -> Micros {
        (engine.wait(now, self.urgency) as f64 / self.free_part) as Micros
    }

    /// Difference of that time to [`Engine::queue_time`], which counts less urgent prompts too.
    pub(super) fn wait_correction(self, now: Micros, engine: &Engine) -> f64 {
        self.wait(now, engine) as f64 - engine.queue_time(now) as f64
    }

    /// Whether the engine is expected to reach the prompt within the time of prompts given ahead. An
    /// overdue first event does not count: an engine that is slower than expected would get nothing
    /// until it ends, and with all engines in a burst overdue, the most urgent requests would wait
    /// at the dispatcher for no other. The cost of the engine counts it.
    fn is_read_soon(self, now: Micros, server: &Server) -> bool {
        let ahead = server.engine().backlog().time_ahead(now, self.urgency) as f64;
        ahead / self.free_part <= self.read_ahead as f64
    }
}

/// Memory of an engine that its running requests do not hold, in tokens. Parts that they share
/// count once.
fn free_memory(server: &Server) -> u64 {
    let memory = server.profile().map_or(u64::MAX, |profile| profile.tokens);
    memory.saturating_sub(server.engine().cache().held_tokens())
}

/// Recent prefill by urgency, as a part of the engines' time.
#[derive(Debug, Default)]
pub(super) struct Prefilled {
    /// Time of prompts granted in the current interval, in microseconds, by urgency.
    granted: BTreeMap<u8, f64>,
    /// Part of the engines' time, by urgency.
    parts: BTreeMap<u8, f64>,
    /// Part of their time that the requests of an urgency and less urgent ones have, by urgency.
    free_parts: BTreeMap<u8, f64>,
    since: Micros,
}

impl Prefilled {
    /// Records the grant of a prompt whose prefill takes `time` microseconds.
    pub(super) fn record(&mut self, urgency: u8, time: f64) {
        *self.granted.entry(urgency).or_default() += time;
    }

    /// Ends an interval, in which there were `engines` usable engines.
    pub(super) fn end_interval(&mut self, now: Micros, engines: usize) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.since, now)) as f64;
        if elapsed == 0.0 {
            return;
        }
        let weight = 1.0 - (-elapsed / PREFILLED_TIME).exp();
        for urgency in self.granted.keys() {
            self.parts.entry(*urgency).or_default();
        }
        let mut free: f64 = 1.0;
        for (urgency, part) in &mut self.parts {
            self.free_parts.insert(*urgency, free.max(MIN_FREE_PART));
            let granted = self.granted.remove(urgency).unwrap_or(0.0);
            *part += (granted / elapsed / engines.max(1) as f64 - *part) * weight;
            free -= *part;
        }
        self.free_parts.insert(u8::MAX, free.max(MIN_FREE_PART));
    }

    /// Part of the engines' time that more urgent requests leave.
    pub(super) fn free_part(&self, urgency: u8) -> f64 {
        self.free_parts.range(urgency..).next().map_or(1.0, |(_, part)| *part)
    }
}

/// Requests for which no engine has capacity in the current round of grants.
#[derive(Clone, Copy, Debug)]
pub(super) struct Blocked {
    urgency: u8,
    /// Those that need at least this memory, in tokens.
    tokens: u64,
    scope: Scope,
    /// Those of this entry instance; `None` if no engine is in cooldown for the request that was
    /// examined, so that its entry instance makes no difference.
    entry: Option<Entry>,
}

impl Blocked {
    /// Whether it includes a request.
    fn includes(&self, room: Room, scope: Scope, entry: Entry) -> bool {
        self.urgency <= room.urgency
            && self.tokens <= room.tokens
            && self.entry.is_none_or(|blocked| blocked == entry)
            && self.scope.covers(scope)
    }

    /// Whether it includes all requests of its urgency.
    fn is_unrestricted(&self) -> bool {
        self.tokens == 0
            && self.entry.is_none()
            && self.scope.regions == region::Set::All
            && self.scope.versions == version::Set::All
    }
}

impl Pool {
    /// What a request needs of an engine; `None` if engines may get any number of requests.
    pub(super) fn room(&self, now: Micros, ask: &Ask) -> Option<Room> {
        let read_ahead = self.read_ahead_limit(now)?;
        let urgency = self.engine_urgency(now, ask);
        let free_part = self.prefilled.free_part(urgency);
        Some(Room { read_ahead, urgency, free_part, tokens: self.memory_need(ask) })
    }

    /// Updates the recent prefill by urgency.
    pub(super) fn update_prefilled(&mut self, now: Micros) {
        let usable = |server: &Server| !server.leaving() && server.next_probe().is_none();
        let engines = self.servers().filter(|(_, server)| usable(server)).count();
        self.prefilled.end_interval(now, engines);
    }

    /// What a request needs of an engine in a scope. Probes are sent whatever the engine's
    /// capacity.
    pub(super) fn room_in(&self, now: Micros, ask: &Ask, scope: Scope) -> Option<Room> {
        if scope.availability == Availability::Free { self.room(now, ask) } else { None }
    }

    /// The time of prompts that an engine is given ahead, if there is a limit.
    pub(super) fn read_ahead_limit(&self, now: Micros) -> Option<Micros> {
        if self.policy.switches.read_ahead { self.read_ahead(now) } else { None }
    }

    /// The urgency of a request inside an engine.
    pub(super) fn engine_urgency(&self, now: Micros, ask: &Ask) -> u8 {
        if self.resumes_first(now, ask) {
            return 0;
        }
        self.tiers.rank(self.policy.tier(ask.class)).min(LEAST_URGENCY)
    }

    /// The urgency that a grant carries; `None` for the priority of the route.
    pub(super) fn urgency_order(&self, now: Micros, ask: &Ask) -> Option<u8> {
        let decides = self.resumes_first(now, ask) || self.read_ahead_limit(now).is_some();
        decides.then(|| self.engine_urgency(now, ask))
    }

    /// Whether a request goes before the others of its tier, because an engine failed while it ran:
    /// its caller has less time left than the others.
    pub(super) fn resumes_first(&self, now: Micros, ask: &Ask) -> bool {
        let is_repeated = ask.has_begun() || ask.avoid.is_some();
        is_repeated && self.policy.switches.resume_first && self.has_slack(now)
    }

    /// Memory that a request needs until its end, in tokens.
    pub(super) fn memory_need(&self, ask: &Ask) -> u64 {
        u64::from(ask.prompt) + self.expected_output(ask)
    }

    /// Expected output of a request in tokens: its caller's hint, or the median of its class.
    fn expected_output(&self, ask: &Ask) -> u64 {
        if ask.output > 0 {
            return u64::from(ask.output);
        }
        let event_tokens = self.profile().map_or(1, |profile| profile.event_tokens);
        self.remaining_tokens(ask) as u64 * u64::from(event_tokens)
    }

    /// Whether waiting requests may be granted after an event. Most events are reports of streams
    /// that go on, after which a round of grants would examine all engines in vain.
    pub(super) fn may_free_capacity(&self, now: Micros, event: &Event) -> bool {
        let Event::Progress(progress) = event else { return true };
        let is_first = self.running_request(progress.id).is_some_and(|run| !run.has_first_token);
        is_first || self.read_ahead_limit(now).is_none()
    }

    /// Whether no engine has capacity for a request. The result is kept for the rest of the round,
    /// so that requests which need as much or more are not examined one by one.
    pub(super) fn note_blocked(&mut self, now: Micros, key: Key) -> bool {
        let Some(ask) = self.waiting_at(key).map(|waiting| &waiting.ask) else {
            return false;
        };
        let Some(room) = self.room(now, ask) else {
            return false;
        };
        let scope = self.scope(ask, Availability::Free);
        let entry = ask.entry;
        let mut most_memory = None;
        for (key, server) in self.servers() {
            if !scope.includes(server, now) || self.cooldowns.is_active(now, entry, key) {
                continue;
            }
            let is_read_soon = room.is_read_soon(now, server);
            let free = free_memory(server);
            if server.engine().backlog().is_empty() || is_read_soon && room.tokens <= free {
                return false;
            }
            if is_read_soon {
                most_memory = most_memory.max(Some(free));
            }
        }
        let tokens = most_memory.map_or(0, |free| free + 1);
        let entry = self.cooldowns.any_active(now, entry).then_some(entry);
        self.blocked.push(Blocked { urgency: room.urgency, tokens, scope, entry });
        true
    }

    /// Whether no engine had capacity for a request earlier in this round of grants.
    pub(super) fn is_blocked(&self, now: Micros, key: Key) -> bool {
        if self.blocked.is_empty() {
            return false;
        }
        let Some(ask) = self.waiting_at(key).map(|waiting| &waiting.ask) else {
            return false;
        };
        let Some(room) = self.room(now, ask) else {
            return false;
        };
        let scope = self.scope(ask, Availability::Free);
        self.blocked.iter().any(|blocked| blocked.includes(room, scope, ask.entry))
    }

    /// Whether no engine had capacity for any request of a tier earlier in this round of grants.
    pub(super) fn is_tier_blocked(&self, tier: u8) -> bool {
        self.blocked.iter().any(|blocked| blocked.urgency <= tier && blocked.is_unrestricted())
    }
}
