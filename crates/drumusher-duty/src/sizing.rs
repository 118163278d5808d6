//! How many backend servers of a service each availability zone is to have.
//!
//! Two kinds can be ordered. *Ordinary* ones stay until they are ordered away. *Spot* ones cost a part of that,
//! and may be taken away, all of a zone's at once, with a notice of seconds, after which there may be none to be
//! had for a while. So spot servers carry the load, spread over the zones so that what is left carries it when
//! those of one zone go, beside the fewest ordinary ones that are allowed. Ordinary ones fill up what is missing
//! while no spot servers can be had.
//!
//! What is wanted follows from the requests that run or wait at once: the usual number, with room for a burst, and
//! the most there were lately. A server takes seconds to start, within which a burst of two to three times the
//! usual is over or has done its harm: there is room for it beforehand, as much as the price of the servers allows.

use std::collections::{BTreeMap, BTreeSet};

use crate::time::{Micros, SECOND};

/// Places for each request that usually runs or waits, at the price of ordinary servers.
const HEADROOM_ORDINARY: f64 = 1.6;
/// The same of a server that costs nothing: a burst of nearly three times the usual finds room.
const HEADROOM_FREE: f64 = 2.8;
/// Places for each of the most requests at once lately.
const HEADROOM_PEAK: f64 = 1.2;
/// Time constant of the usual number, in microseconds.
const USUAL: f64 = 8.0 * SECOND as f64;
/// Time constant with which the most requests at once are forgotten, in microseconds: bursts come again within
/// such a time, and starting servers again costs seconds in which they are late.
const MEMORY: f64 = 30.0 * SECOND as f64;
/// More servers are wanted only if so great a part of them is missing: each order is a call, and the number of
/// requests never stands still.
const GROWTH: f64 = 0.1;
/// Fewer servers are wanted when that has been due for so long. Servers that went nine seconds into a day were
/// missed in a burst three seconds later: 425 of 6,566 of the most urgent requests late, 150 with those servers.
const PATIENCE: Micros = 30 * SECOND;
/// Fewer servers are wanted only if so great a part of them is too many: starting one again costs more than
/// keeping it for a while.
const SLACK: f64 = 0.15;
/// Nothing is ordered before no further server was found for so long: who has just the duty may know few of them,
/// and would order all others away. Entries are written each second or so.
const SETTLE: Micros = 3 * SECOND / 2;
/// Pause after an order that could not be met, doubled up to [`DRY_MOST`].
const DRY_FIRST: Micros = SECOND;
/// Longest pause after orders that could not be met.
const DRY_MOST: Micros = 4 * SECOND;
/// An order that shows no effect for so long after the time to start a server is given again.
const UNMET: Micros = 3 * SECOND;

/// The kind of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Stays until it is ordered away.
    Ordinary,
    /// Cheaper, and may be taken away.
    Spot,
}

/// What the operators allow.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Fewest servers of a zone, both kinds together.
    pub least: u32,
    /// Most servers of a zone, both kinds together.
    pub most: u32,
    /// Time until a new server serves.
    pub boot: Micros,
    /// The price of a spot server as a part of an ordinary one's; 1 where there are none.
    pub spot_price: f64,
}

/// The servers of a zone that take requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Ordinary ones.
    pub ordinary: u32,
    /// Spot ones.
    pub spot: u32,
}

impl Count {
    /// Both kinds.
    pub fn all(self) -> u32 {
        self.ordinary + self.spot
    }

    /// Those of a kind.
    pub fn of(self, kind: Kind) -> u32 {
        match kind {
            Kind::Ordinary => self.ordinary,
            Kind::Spot => self.spot,
        }
    }
}

/// The servers of a service that take requests, by zone.
pub type Zones = BTreeMap<String, Count>;

/// An order: so many servers of a kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The zone.
    pub zone: String,
    /// The kind.
    pub kind: Kind,
    /// How many there are to be.
    pub count: u32,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform took it.
    Taken,
    /// There are none to be had now.
    Dry,
    /// Nobody knows.
    Unknown,
}

/// How the zones of a service are filled.
#[derive(Clone, Copy, Debug)]
struct Layout {
    /// Zones.
    zones: u32,
    /// Whether spot servers are worth having: with them, what is left when those of a zone go is to be enough, so
    /// that more are needed.
    spot: bool,
}

impl Layout {
    fn new(bounds: &Bounds, zones: u32) -> Self {
        let more = f64::from(zones) / f64::from(zones.saturating_sub(1).max(1));
        Layout { zones, spot: bounds.spot_price * more < 1.0 }
    }

    /// Whether the other zones make up for the spot servers of one.
    fn spares_one(self) -> bool {
        self.spot && self.zones > 1
    }

    /// Servers of each zone where so many are needed in all.
    fn each(self, servers: f64, bounds: &Bounds) -> u32 {
        let zones = self.zones - u32::from(self.spares_one());
        let each = servers / f64::from(zones);
        (each.ceil() as u32).clamp(bounds.least, bounds.most)
    }

    /// Of those, the ordinary ones, at least. With a single zone nothing is left when its spot servers go: half of
    /// them are ordinary.
    fn base(self, each: u32, bounds: &Bounds) -> u32 {
        match (self.spot, self.zones) {
            (false, _) => each,
            (true, 1) => each.div_ceil(2),
            (true, _) => bounds.least.min(each),
        }
    }

    /// Of those, what is needed as long as no zone has lost its spot servers.
    fn plain(self, each: u32) -> u32 {
        if self.spares_one() { (each * (self.zones - 1)).div_ceil(self.zones) } else { each }
    }
}

/// An order that was given.
#[derive(Clone, Copy, Debug, Default)]
struct Given {
    /// The count that the platform took last.
    count: Option<u32>,
    at: Micros,
    /// No order before this.
    paused: Micros,
    pause: Micros,
}

/// The servers of one service.
#[derive(Debug, Default)]
pub struct Sizer {
    /// The most servers that were there at once before anything was ordered, and since when.
    first: u32,
    first_at: Micros,
    /// Whether spot servers were among them: somebody ordered these, with all that has to be spared.
    ordered_before: bool,
    /// Whether all that were there at the beginning are known.
    settled: bool,
    /// The zones in which servers were ever seen; one may lose all of them.
    zones: BTreeSet<String>,
    /// The most requests that ran or waited at once, decayed to `seen_at`.
    peak: f64,
    /// Their usual number.
    usual: f64,
    seen_at: Micros,
    /// Servers of both kinds that each zone is to have, and since when fewer are due.
    level: Option<u32>,
    fewer: Option<Micros>,
    /// Requests that run or wait now, as each dispatcher told last.
    busy: BTreeMap<String, (Micros, u32)>,
    given: BTreeMap<(String, Kind), Given>,
}

/// A dispatcher that told nothing for so long has nothing to tell.
const TOLD_WITHIN: Micros = 2 * SECOND;

impl Sizer {
    /// Nothing is known yet.
    pub fn new() -> Self {
        Sizer::default()
    }

    /// A dispatcher tells how many requests ran or waited at once.
    pub fn busy(&mut self, now: Micros, dispatcher: &str, requests: u32) {
        self.busy.insert(dispatcher.into(), (now, requests));
        self.busy.retain(|_, (at, _)| now < *at + TOLD_WITHIN);
        let all: u32 = self.busy.values().map(|(_, requests)| requests).sum();
        let all = f64::from(all);
        self.peak = self.peak_now(now).max(all);
        let age = now.saturating_sub(self.seen_at) as f64;
        let first = self.usual == 0.0;
        let kept = if first { 0.0 } else { (-age / USUAL).exp() };
        self.usual = self.usual * kept + all * (1.0 - kept);
        self.seen_at = now;
    }

    fn peak_now(&self, now: Micros) -> f64 {
        self.peak * (-(now.saturating_sub(self.seen_at) as f64) / MEMORY).exp()
    }

    /// Places that are wanted, by what was asked for lately; `None` if nothing was.
    fn places(&self, now: Micros, bounds: &Bounds) -> Option<f64> {
        let price = bounds.spot_price.clamp(0.0, 1.0);
        let headroom = HEADROOM_FREE + (HEADROOM_ORDINARY - HEADROOM_FREE) * price;
        let places = (self.usual * headroom).max(self.peak_now(now) * HEADROOM_PEAK);
        (self.peak > 0.0).then_some(places)
    }

    /// The next order that is due, where servers have `slots` places each.
    pub fn next(
        &mut self,
        now: Micros,
        bounds: &Bounds,
        zones: &Zones,
        slots: u32,
    ) -> Option<Order> {
        if zones.is_empty() || slots == 0 || !self.settle(now, zones) {
            return None;
        }
        self.zones.extend(zones.keys().cloned());
        let there = |zone: &String| zones.get(zone).copied().unwrap_or_default();
        let zones: Zones = self.zones.iter().map(|zone| (zone.clone(), there(zone))).collect();
        let wanted = self.wanted(now, bounds, &zones, slots);
        for (zone, count) in &wanted {
            for kind in [Kind::Spot, Kind::Ordinary] {
                let there = zones.get(zone).map_or(0, |there| there.of(kind));
                if self.is_due(now, bounds, (zone, kind), count.of(kind), there) {
                    return Some(Order { zone: zone.clone(), kind, count: count.of(kind) });
                }
            }
        }
        None
    }

    /// Whether all servers that were there at the beginning are known.
    fn settle(&mut self, now: Micros, zones: &Zones) -> bool {
        if self.settled {
            return true;
        }
        let there = zones.values().map(|count| count.all()).sum();
        if there > self.first {
            (self.first, self.first_at) = (there, now);
        }
        self.ordered_before |= zones.values().any(|count| count.spot > 0);
        self.settled = now >= self.first_at + SETTLE;
        self.settled
    }

    /// What became of an order.
    pub fn ended(&mut self, now: Micros, order: &Order, outcome: Outcome) {
        let given = self.given.entry((order.zone.clone(), order.kind)).or_default();
        match outcome {
            Outcome::Taken => {
                given.count = Some(order.count);
                given.at = now;
                given.pause = 0;
            }
            Outcome::Dry | Outcome::Unknown => {
                given.pause = (given.pause * 2).clamp(DRY_FIRST, DRY_MOST);
                given.paused = now + given.pause;
            }
        }
    }

    /// The servers that each zone is to have.
    fn wanted(&mut self, now: Micros, bounds: &Bounds, zones: &Zones, slots: u32) -> Zones {
        let layout = Layout::new(bounds, zones.len() as u32);
        let each = self.level(now, bounds, layout, slots);
        let (base, plain) = (layout.base(each, bounds), layout.plain(each));
        let there: u32 = zones.values().map(|count| count.all()).sum();
        let extra = self.missing(there, layout.zones, slots);
        let zone = |(zone, there): (&String, &Count)| {
            // Ordinary ones go when spot ones are there in their place, and come while those cannot be had.
            let gap = plain.saturating_sub(there.spot);
            let more = if self.is_dry(now, zone) { extra } else { 0 };
            let ordinary = gap.min(there.ordinary + more).max(base);
            // The bound holds for both kinds together, also between two orders.
            let room = |kind| bounds.most.saturating_sub(self.ordered(zone, kind, *there));
            let spot = (each - base).min(room(Kind::Ordinary));
            let ordinary = ordinary.min(room(Kind::Spot));
            (zone.clone(), Count { ordinary, spot })
        };
        zones.iter().map(zone).collect()
    }

    /// Servers that each of so many zones lacks for what runs and waits at this moment.
    fn missing(&self, there: u32, zones: u32, slots: u32) -> u32 {
        let busy: u32 = self.busy.values().map(|(_, requests)| requests).sum();
        busy.div_ceil(slots).saturating_sub(there).div_ceil(zones)
    }

    /// Servers of both kinds that each zone is to have: more at once, fewer after a while.
    fn level(&mut self, now: Micros, bounds: &Bounds, layout: Layout, slots: u32) -> u32 {
        let each = |servers| layout.each(servers, bounds);
        // Until something else is known, what the operators set up is what they expect to need, and what another
        // holder ordered stays.
        let level = self.level.unwrap_or_else(|| match self.ordered_before {
            true => self.first.div_ceil(layout.zones).clamp(bounds.least, bounds.most),
            false => each(f64::from(self.first)),
        });
        let servers = self.places(now, bounds).map(|places| places / f64::from(slots));
        let due = servers.map_or(level, each);
        let part = f64::from(due) / f64::from(level.max(1));
        let more = part >= 1.0 + GROWTH || (due > level && due == bounds.most);
        if part >= 1.0 - SLACK {
            self.fewer = None;
        }
        let fewer = part < 1.0 - SLACK && now >= *self.fewer.get_or_insert(now) + PATIENCE;
        let level = if more || fewer { due } else { level };
        self.level = Some(level);
        level
    }

    /// Servers of a kind that a zone has or will have.
    fn ordered(&self, zone: &str, kind: Kind, there: Count) -> u32 {
        let given = self.given.get(&(zone.to_string(), kind));
        given.and_then(|given| given.count).unwrap_or(0).max(there.of(kind))
    }

    /// Whether no spot servers were to be had in a zone just now.
    fn is_dry(&self, now: Micros, zone: &str) -> bool {
        let given = self.given.get(&(zone.to_string(), Kind::Spot));
        given.is_some_and(|given| now < given.paused + DRY_MOST && given.pause > 0)
    }

    /// Whether an order is to be given.
    fn is_due(
        &self,
        now: Micros,
        bounds: &Bounds,
        (zone, kind): (&String, Kind),
        wanted: u32,
        there: u32,
    ) -> bool {
        let given = self.given.get(&(zone.clone(), kind)).copied().unwrap_or_default();
        if now < given.paused {
            return false;
        }
        let unmet = there < wanted && now >= given.at + bounds.boot + UNMET;
        match given.count {
            None => wanted != there,
            Some(count) => wanted != count || unmet,
        }
    }
}
