//! What backend servers said of themselves, as the dispatcher hears it from all entries, and plans by it.
//!
//! A limit is for all instances together. Dispatchers change hands, and the fleet may be divided between several: so each
//! instance lends its equal part of a limit to the dispatcher that it asks, as it does with repeats, and a dispatcher grants
//! at the rate that was lent to it. A new one has nothing saved up, since it does not know what the one before granted.

use std::{collections::HashMap, sync::Arc};

use drumusher_platform::dialect::Rate;
use drumusher_schedule::{ask::Entry, event::Event, pool, time::Micros};
use drumusher_wire::peer;

use super::Dispatch;
use crate::{
    process::{
        clock,
        notices::{Basis, Limit},
    },
    version::Pool,
};

/// A rate that differs by less than this part is not told to the decisions anew.
const SAME_RATE: f64 = 0.01;

/// What is known of one backend server.
#[derive(Debug, Default)]
struct Known {
    limit: Limit,
    leaving: bool,
    /// The rate that the decisions were told last.
    rate: Option<f64>,
}

/// What backend servers of one pool said of themselves, by name.
#[derive(Debug, Default)]
pub(super) struct Notices {
    known: HashMap<Arc<str>, Known>,
    /// When the rates were looked at last.
    looked: Micros,
}

impl Notices {
    /// Takes a limit as an entry knows it. Returns whether it changed.
    fn take_limit(&mut self, now: Micros, server: &Arc<str>, notice: &peer::Notice) -> bool {
        let at = |age: i64| now.saturating_sub(age.max(0) as u64);
        let limit = &mut self.known.entry(server.clone()).or_default().limit;
        let lifted = notice.lifted.is_some_and(|age| limit.lift(at(age)));
        let rate = notice.limit.map(|rate| Rate(rate.clamp(0, i64::from(u32::MAX)) as u32));
        let named = rate.is_some_and(|rate| limit.name(at(notice.named.unwrap_or(0)), rate));
        lifted || named
    }

    /// A backend server says that it leaves. Returns whether that is new.
    fn leave(&mut self, server: &Arc<str>) -> bool {
        !std::mem::replace(&mut self.known.entry(server.clone()).or_default().leaving, true)
    }

    /// Whether a backend server said that it leaves.
    pub(super) fn leaves(&self, server: &str) -> bool {
        self.known.get(server).is_some_and(|known| known.leaving)
    }

    /// A backend server is gone, or started again.
    pub(super) fn remove(&mut self, server: &str) {
        self.known.remove(server);
    }

    /// What a grant of a backend server is based on.
    pub(super) fn basis(&self, server: &str) -> Basis {
        let limit = self.known.get(server).map(|known| known.limit).unwrap_or_default();
        Basis { limited: limit.rate().is_some(), lifted: limit.lifted() }
    }

    /// Whether the rates are to be looked at again.
    fn are_due(&self, now: Micros) -> bool {
        !self.known.is_empty() && now >= self.looked + pool::TICK
    }

    /// The rates that the decisions are to be told, where `part` of each limit is this dispatcher's.
    fn rates(&mut self, now: Micros, part: f64) -> Vec<(Arc<str>, Option<f64>)> {
        self.looked = now;
        let mut changed = Vec::new();
        for (server, known) in &mut self.known {
            let rate = known.limit.tried().map(|rate| rate.per_second() * part);
            let is_same = match (known.rate, rate) {
                (Some(before), Some(rate)) => (before - rate).abs() <= rate * SAME_RATE,
                (before, rate) => before.is_none() && rate.is_none(),
            };
            if !is_same {
                known.rate = rate;
                changed.push((server.clone(), rate));
            }
        }
        changed
    }
}

impl Dispatch {
    /// Takes what an entry knows of a backend server's own words. What is not listed here, or is another start, is passed
    /// over: an entry that gets a grant of it gives that back and tells this anew.
    pub(super) fn noticed(&mut self, entry: Entry, notice: &peer::Notice) {
        let Some(pool) = Pool::parse(&notice.pool) else { return };
        let Some(host) = self.hosts.get_mut(&pool) else { return };
        let born_ms = notice.born.map(|born| born.max(0) as u64);
        let Some((server, key)) = host.start(&notice.server, born_ms) else { return };
        let now = clock::now();
        let limited = host.notices.take_limit(now, &server, notice);
        let leaves = notice.leaving == Some(true) && host.notices.leave(&server);
        if limited || leaves {
            log::info!(
                server = &*server, pool = notice.pool.as_str(), entry = entry.0,
                limit_milli = notice.limit.unwrap_or(-1), leaving = notice.leaving == Some(true);
                "an entry tells what a backend server says of itself"
            );
        }
        if leaves {
            self.refresh(&pool);
        }
        if limited {
            self.share_limits(&pool, now);
        }
        if let Some(left) = notice.rest.filter(|left| *left > 0) {
            self.handle(&pool, Event::Cooldown(entry, key, now + left as u64));
        }
    }

    /// Looks at the rates of all pools where that is due.
    pub(super) fn look_at_limits(&mut self) {
        let now = clock::now();
        let due = self.hosts.iter().filter(|(_, host)| host.notices.are_due(now));
        let due: Vec<Pool> = due.map(|(pool, _)| pool.clone()).collect();
        due.iter().for_each(|pool| self.share_limits(pool, now));
    }

    /// Tells the decisions of a pool at which rates they may grant, by who lends limits to this dispatcher now.
    fn share_limits(&mut self, pool: &Pool, now: Micros) {
        let instances = self.shared.directory.load().instances.len();
        let Some(host) = self.hosts.get_mut(pool) else { return };
        let part = host.budget.part(now, instances);
        let rates = host.notices.rates(now, part);
        let known = |(server, rate)| Some(Event::RateLimit(*host.known.get(&server)?, rate));
        let events: Vec<Event> = rates.into_iter().filter_map(known).collect();
        events.into_iter().for_each(|event| self.handle(pool, event));
    }
}
