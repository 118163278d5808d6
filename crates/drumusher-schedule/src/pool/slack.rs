//! Whether requests of a pool can afford to wait at the dispatcher.

use super::Pool;
use crate::{
    engine::Profile,
    time::{MILLISECOND, Micros, SECOND},
};

/// Smallest first-event target with which requests wait at the dispatcher instead of inside an
/// engine. An engine then needs [`MIN_READ_AHEAD`] of prompts to bridge the round trips for the
/// next one, and may spend no more than [`READ_AHEAD_FRACTION`] of the target on that.
const MIN_TARGET: Micros = SECOND;
/// Share of the smallest first-event target for which an engine is given prompts ahead.
const READ_AHEAD_FRACTION: u64 = 4;
/// Least time of prompts given to an engine ahead.
pub(super) const MIN_READ_AHEAD: Micros = 250 * MILLISECOND;
/// A class counts if it made at least one in this many of the recent requests. A few requests on
/// an unused route must not change how a pool is scheduled.
const MIN_CLASS_FRACTION: f64 = 50.0;

impl Pool {
    /// The time of prompts that an engine is given ahead; `None` in a pool without slack.
    pub(super) fn read_ahead(&self, now: Micros) -> Option<Micros> {
        self.profile()?;
        let target = self.smallest_target(now).filter(|target| *target >= MIN_TARGET)?;
        Some((target / READ_AHEAD_FRACTION).max(MIN_READ_AHEAD))
    }

    /// Whether requests may wait at the dispatcher until an engine has room: the engines' sizes are
    /// known, and all classes in use allow it.
    pub fn has_slack(&self, now: Micros) -> bool {
        self.read_ahead(now).is_some()
    }

    /// The sizes of the pool's engines, which are the same for all.
    pub(super) fn profile(&self) -> Option<Profile> {
        self.servers().find_map(|(_, server)| server.profile())
    }

    /// The sizes by which the engines' caches are modelled; `None` in a pool without slack.
    pub(super) fn cache_profile(&self, now: Micros) -> Option<Profile> {
        self.profile().filter(|_| self.policy.switches.memory && self.has_slack(now))
    }

    /// The smallest first-event target of the classes that made a notable part of the recent
    /// requests.
    fn smallest_target(&self, now: Micros) -> Option<Micros> {
        let recent = self.recent_demand(now);
        let total: f64 = recent.iter().map(|(_, requests)| requests).sum();
        let notable = recent.iter().filter(|(_, requests)| requests * MIN_CLASS_FRACTION >= total);
        notable.map(|(class, _)| self.policy.class(*class).first_token).min()
    }
}
