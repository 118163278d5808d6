//! Rate limits, rests and departures that backend servers announced, as entries report them to the dispatcher, and the
//! rate limits of servers that warm up.
//!
//! A limit holds for all instances together. The dispatcher of a pool may change, and a partitioned fleet may have
//! several. So each instance delegates its equal share of a limit to the dispatcher that it uses, as with the retry
//! budget, and a dispatcher grants at the rate of the shares delegated to it. A new dispatcher starts without unused
//! grants to catch up on, since it does not know what the previous one granted.

use std::{collections::HashMap, sync::Arc};

use drumusher_platform::dialect::Rate;
use drumusher_schedule::{ask::Entry, event::Event, pool, time::Micros};
use drumusher_wire::peer;

use super::Dispatcher;
use crate::{
    process::{
        clock,
        notices::{KnownLimit, Limit},
    },
    version::Pool,
};

/// A rate that changed by less than this fraction is not passed to the scheduler again.
const RATE_TOLERANCE: f64 = 0.01;

/// What one backend server announced.
#[derive(Debug, Default)]
struct ServerState {
    limit: Limit,
    leaving: bool,
    /// When it has warmed up; 0 if it does not warm up.
    warm_at: Micros,
    /// The rate, in requests per second, that the scheduler was last given.
    rate: Option<f64>,
}

impl ServerState {
    /// Whether nothing is in force or has to be remembered.
    fn is_over(&self, now: Micros) -> bool {
        let announced = self.leaving || self.limit != Limit::default();
        !announced && self.rate.is_none() && now >= self.warm_at
    }
}

/// What the backend servers of one pool announced, by name.
#[derive(Debug, Default)]
pub(super) struct Notices {
    servers: HashMap<Arc<str>, ServerState>,
    /// The rate limit of each server that warms up, if there is one.
    warm_up_rate: Option<f64>,
    /// When the rates were last computed.
    checked_at: Micros,
}

impl Notices {
    /// Updates a limit from an entry's report. Returns whether it changed.
    fn update_limit(&mut self, now: Micros, server: &Arc<str>, notice: &peer::Notice) -> bool {
        let at = |age: i64| now.saturating_sub(age.max(0) as u64);
        let limit = &mut self.servers.entry(server.clone()).or_default().limit;
        let lifted = notice.lifted.is_some_and(|age| limit.lift(at(age)));
        let rate = notice.limit.map(|rate| Rate(rate.clamp(0, i64::from(u32::MAX)) as u32));
        let announced =
            rate.is_some_and(|rate| limit.announce(at(notice.named.unwrap_or(0)), rate));
        lifted || announced
    }

    /// Records that a backend server is leaving. Returns whether that is new.
    fn set_leaving(&mut self, server: &Arc<str>) -> bool {
        !std::mem::replace(&mut self.servers.entry(server.clone()).or_default().leaving, true)
    }

    /// Sets the rate limit of each server that warms up.
    pub(super) fn set_warm_up_rate(&mut self, rate: Option<f64>) {
        self.warm_up_rate = rate;
    }

    /// Sets when a backend server has warmed up; 0 if it does not warm up.
    pub(super) fn set_warm_at(&mut self, server: &Arc<str>, warm_at: Micros) {
        if let Some(state) = self.servers.get_mut(server) {
            state.warm_at = warm_at;
        } else if warm_at > 0 {
            self.servers.insert(server.clone(), ServerState { warm_at, ..ServerState::default() });
        }
    }

    /// Whether a backend server announced that it is leaving.
    pub(super) fn is_leaving(&self, server: &str) -> bool {
        self.servers.get(server).is_some_and(|state| state.leaving)
    }

    /// Removes a backend server that is no longer listed or has restarted.
    pub(super) fn remove(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// What is known of a backend server's limit, to be sent with a grant.
    pub(super) fn known_limit(&self, server: &str) -> KnownLimit {
        let limit = self.servers.get(server).map(|state| state.limit).unwrap_or_default();
        KnownLimit { limited: limit.rate().is_some(), lifted: limit.lifted() }
    }

    /// Whether the rates are due to be computed again.
    fn is_check_due(&self, now: Micros) -> bool {
        !self.servers.is_empty() && now >= self.checked_at + pool::TICK
    }

    /// The rates that changed since the scheduler was last given them, where `share` (0 to 1) of each limit is
    /// delegated to this dispatcher.
    fn changed_rates(&mut self, now: Micros, share: f64) -> Vec<(Arc<str>, Option<f64>)> {
        self.checked_at = now;
        let mut changed = Vec::new();
        for (server, state) in &mut self.servers {
            let limit = state.limit.rate_with_floor().map(|rate| rate.per_second());
            let warm_up_rate = self.warm_up_rate.filter(|_| now < state.warm_at);
            let rate = limit.into_iter().chain(warm_up_rate).min_by(f64::total_cmp);
            let rate = rate.map(|rate| rate * share);
            let is_same = match (state.rate, rate) {
                (Some(before), Some(rate)) => (before - rate).abs() <= rate * RATE_TOLERANCE,
                (before, rate) => before.is_none() && rate.is_none(),
            };
            if !is_same {
                state.rate = rate;
                changed.push((server.clone(), rate));
            }
        }
        self.servers.retain(|_, state| !state.is_over(now));
        changed
    }
}

impl Dispatcher {
    /// Handles an entry's report of what a backend server announced. A server that is not listed here, or has another
    /// start time, is ignored: an entry that is granted such a server returns the grant and reports the notice again.
    pub(super) fn handle_notice(&mut self, entry: Entry, notice: &peer::Notice) {
        let Some(pool) = Pool::parse(&notice.pool) else { return };
        let Some(hosted) = self.pools.get_mut(&pool) else { return };
        let started_ms = notice.born.map(|born| born.max(0) as u64);
        let Some((server, key)) = hosted.incarnation(&notice.server, started_ms) else { return };
        let now = clock::now();
        let limited = hosted.notices.update_limit(now, &server, notice);
        let newly_leaving = notice.leaving == Some(true) && hosted.notices.set_leaving(&server);
        if limited || newly_leaving {
            log::info!(
                server = &*server, pool = notice.pool.as_str(), entry = entry.0,
                limit_milli = notice.limit.unwrap_or(-1), leaving = notice.leaving == Some(true);
                "entry reports a notice of a backend server"
            );
        }
        if newly_leaving {
            self.refresh_servers(&pool);
        }
        if limited {
            self.update_rates(&pool, now);
        }
        if let Some(bearable) = notice.brittle {
            self.handle(&pool, Event::Brittle(key, bearable.max(0) as u32));
        }
        if let Some(left) = notice.rest.filter(|left| *left > 0) {
            self.handle(&pool, Event::Cooldown(entry, key, now + left as u64));
        }
    }

    /// Updates the rates of all pools for which that is due.
    pub(super) fn update_due_rates(&mut self) {
        let now = clock::now();
        let due = self.pools.iter().filter(|(_, hosted)| hosted.notices.is_check_due(now));
        let due: Vec<Pool> = due.map(|(pool, _)| pool.clone()).collect();
        due.iter().for_each(|pool| self.update_rates(pool, now));
    }

    /// Passes the changed rates of a pool to its scheduler, by the share of the instances that use this dispatcher now.
    pub(super) fn update_rates(&mut self, pool: &Pool, now: Micros) {
        let instances = self.shared.directory.load().requesters(pool);
        let Some(hosted) = self.pools.get_mut(pool) else { return };
        let share = hosted.budget.share(now, instances);
        let rates = hosted.notices.changed_rates(now, share);
        let event = |(server, rate)| Some(Event::RateLimit(*hosted.keys.get(&server)?, rate));
        let events: Vec<Event> = rates.into_iter().filter_map(event).collect();
        events.into_iter().for_each(|event| self.handle(pool, event));
    }
}
