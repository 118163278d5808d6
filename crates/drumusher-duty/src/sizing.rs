//! Autoscaling: the number of backend servers of a service in each availability zone.
//!
//! There are two kinds of servers. *On-demand* ones run until they are scaled down. *Spot* ones cost a fraction of
//! that, but may be reclaimed, all of a zone's at once, with a notice of seconds, and may then be unavailable for a
//! while. So spot servers carry the load, beside the minimum number of on-demand servers, and are spread over the
//! zones so that the rest carries the load when one zone loses its spot servers. While spot servers are unavailable,
//! on-demand ones replace them.
//!
//! Servers are spread evenly, unless prices differ by zone. Then further servers are ordered in the cheapest zones, as
//! many as leave the loss of one zone's spot servers bearable, and fewer ones where they are most expensive. Spot servers
//! that run stay where they are.
//!
//! The target follows from the number of requests that run or wait: its mean with headroom for a burst, and its recent
//! peak. A server takes seconds to start, within which a burst of two to three times the mean is over or has done its
//! damage. So there is headroom beforehand, as much as the price of the servers justifies.

use std::collections::{BTreeMap, BTreeSet};

use crate::time::{Micros, SECOND};

/// Slots for each request of the mean load, at the price of on-demand servers.
const HEADROOM_ON_DEMAND: f64 = 1.6;
/// Slots for each request of the mean load if servers were free: enough for a burst of nearly three times the mean.
const HEADROOM_FREE: f64 = 2.8;
/// Slots for each request of the recent peak load.
const HEADROOM_PEAK: f64 = 1.2;
/// Time constant of the moving average of the load, in microseconds.
const MEAN_TIME_CONSTANT: f64 = 8.0 * SECOND as f64;
/// Time constant of the decay of the peak load, in microseconds. Bursts recur within such a time, and requests are late
/// for the seconds that starting servers again takes.
const PEAK_TIME_CONSTANT: f64 = 30.0 * SECOND as f64;
/// Minimum growth of the target, as a fraction: each order is a call, and the load always varies a little.
const MIN_GROWTH: f64 = 0.1;
/// Slots for each request of the mean load that the other zones have when one with many cheap servers loses its spot
/// servers. The recent peak is carried too.
const HEADROOM_AFTER_LOSS: f64 = HEADROOM_ON_DEMAND;
/// The target shrinks only after a lower load has lasted for this time. Servers that were scaled down nine seconds
/// into a run were missing in a burst three seconds later: 425 of 6,566 requests of the most urgent class were late,
/// against 150 with those servers.
const SHRINK_DELAY: Micros = 30 * SECOND;
/// Minimum reduction of the target, as a fraction: starting a server again costs more than keeping it for a while.
const MIN_SHRINK: f64 = 0.15;
/// Nothing is ordered until the number of known servers has not grown for this time. An instance that has just
/// acquired the lease may know only few servers, and would scale down the others. Servers renew their entries about
/// once a second.
const DISCOVERY_TIME: Micros = 3 * SECOND / 2;
/// First pause after a failed order, doubled with each further one up to [`MAX_ORDER_PAUSE`].
const MIN_ORDER_PAUSE: Micros = SECOND;
/// Longest pause after failed orders.
const MAX_ORDER_PAUSE: Micros = 4 * SECOND;
/// An order without effect is repeated after the startup time of a server plus this time.
const UNMET_ORDER_TIMEOUT: Micros = 3 * SECOND;

/// The kind of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Runs until it is scaled down.
    OnDemand,
    /// Cheaper, but may be reclaimed at short notice.
    Spot,
}

/// The limits and prices that the operators set.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Minimum number of servers in a zone, both kinds together.
    pub min_servers: u32,
    /// Maximum number of servers in a zone, both kinds together.
    pub max_servers: u32,
    /// Time until a new server accepts requests.
    pub startup: Micros,
    /// The price of a spot server as a fraction of an on-demand one's; 1 if there are no spot servers.
    pub spot_price: f64,
    /// The price of a server by zone, relative to one in a zone that is not listed. Servers are spread evenly if the
    /// prices of all zones are the same. A price that is not a positive number counts as 1.
    pub zone_prices: BTreeMap<String, f64>,
}

impl Bounds {
    /// The price of a server in a zone.
    fn price(&self, zone: &str) -> f64 {
        let price = self.zone_prices.get(zone).copied();
        price.filter(|price| price.is_finite() && *price > 0.0).unwrap_or(1.0)
    }

    /// The zones by price, cheapest first; `None` if all prices are the same.
    fn by_price<'a>(&self, zones: &'a Zones) -> Option<Vec<&'a String>> {
        let mut names: Vec<&String> = zones.keys().collect();
        names.sort_by(|a, b| self.price(a).total_cmp(&self.price(b)));
        let (first, last) = (names.first()?, names.last()?);
        (self.price(first) < self.price(last)).then_some(names)
    }
}

/// The number of servers in a zone that accept requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// On-demand ones.
    pub on_demand: u32,
    /// Spot ones.
    pub spot: u32,
}

impl Count {
    /// The number of servers of both kinds.
    pub fn all(self) -> u32 {
        self.on_demand + self.spot
    }

    /// The number of servers of a kind.
    pub fn of(self, kind: Kind) -> u32 {
        match kind {
            Kind::OnDemand => self.on_demand,
            Kind::Spot => self.spot,
        }
    }
}

/// The number of servers of a service that accept requests, by zone.
pub type Zones = BTreeMap<String, Count>;

/// An order to the platform: the number of servers of a kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The zone.
    pub zone: String,
    /// The kind.
    pub kind: Kind,
    /// The number of servers that there are to be.
    pub count: u32,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform accepted it.
    Accepted,
    /// No such servers are available now.
    Unavailable,
    /// It is unknown whether the platform accepted it.
    Unknown,
}

/// How the servers of a service are spread over its zones.
#[derive(Clone, Copy, Debug)]
struct Layout {
    /// The number of zones.
    zones: u32,
    /// Whether spot servers are cheaper although more are needed: the rest has to be enough when one zone loses its
    /// spot servers.
    spot: bool,
}

impl Layout {
    fn new(bounds: &Bounds, zones: u32) -> Self {
        let factor = f64::from(zones) / f64::from(zones.saturating_sub(1).max(1));
        Layout { zones, spot: bounds.spot_price * factor < 1.0 }
    }

    /// Whether the other zones can carry the load when one loses its spot servers.
    fn has_spare_zone(self) -> bool {
        self.spot && self.zones > 1
    }

    /// The number of servers of each zone, given the total that is needed.
    fn per_zone(self, servers: f64, bounds: &Bounds) -> u32 {
        let zones = self.zones - u32::from(self.has_spare_zone());
        let each = servers / f64::from(zones);
        (each.ceil() as u32).clamp(bounds.min_servers, bounds.max_servers)
    }

    /// The minimum number of on-demand servers among `each` servers of a zone. In a single zone half of them are
    /// on-demand, since nothing else is left when its spot servers are reclaimed.
    fn min_on_demand(self, each: u32, bounds: &Bounds) -> u32 {
        match (self.spot, self.zones) {
            (false, _) => each,
            (true, 1) => each.div_ceil(2),
            (true, _) => bounds.min_servers.min(each),
        }
    }

    /// The number of servers, of `each` in a zone, that is needed while no zone has lost its spot servers.
    fn without_spare(self, each: u32) -> u32 {
        if self.has_spare_zone() { (each * (self.zones - 1)).div_ceil(self.zones) } else { each }
    }
}

/// The state of the orders for one kind in one zone.
#[derive(Clone, Copy, Debug, Default)]
struct LastOrder {
    /// The count that the platform last accepted.
    count: Option<u32>,
    /// When it did.
    at: Micros,
    /// No order is given before this time.
    paused_until: Micros,
    pause: Micros,
    /// Whether the latest order failed since no such servers are available.
    sold_out: bool,
}

/// The autoscaler of one service.
#[derive(Debug, Default)]
pub struct Sizer {
    /// The maximum number of servers seen before the first order, and when it was reached.
    initial: u32,
    initial_at: Micros,
    /// Whether spot servers were among them. A previous lease holder ordered these, with the spare ones included.
    had_spot: bool,
    /// Whether all initial servers are known.
    settled: bool,
    /// All zones in which servers were seen. A zone may lose all of its servers.
    zones: BTreeSet<String>,
    /// The zones in which no servers are ordered and none are counted on.
    closed: BTreeSet<String>,
    /// The peak number of requests that ran or waited, decayed to `updated_at`.
    peak: f64,
    /// The moving average of their number.
    mean: f64,
    updated_at: Micros,
    /// The target number of servers of both kinds in each zone, and since when a lower one is due.
    target: Option<u32>,
    shrink_since: Option<Micros>,
    /// Requests that run or wait, with the time of the report, by dispatcher.
    loads: BTreeMap<String, (Micros, u32)>,
    orders: BTreeMap<(String, Kind), LastOrder>,
}

/// A dispatcher without a report for this time has no load.
const LOAD_TIMEOUT: Micros = 2 * SECOND;

impl Sizer {
    /// Creates an autoscaler without any state.
    pub fn new() -> Self {
        Sizer::default()
    }

    /// Records how many requests run or wait at a dispatcher.
    pub fn record_load(&mut self, now: Micros, dispatcher: &str, requests: u32) {
        self.loads.insert(dispatcher.into(), (now, requests));
        self.loads.retain(|_, (at, _)| now < *at + LOAD_TIMEOUT);
        let all: u32 = self.loads.values().map(|(_, requests)| requests).sum();
        let all = f64::from(all);
        self.peak = self.peak_now(now).max(all);
        let age = now.saturating_sub(self.updated_at) as f64;
        let first = self.mean == 0.0;
        let kept = if first { 0.0 } else { (-age / MEAN_TIME_CONSTANT).exp() };
        self.mean = self.mean * kept + all * (1.0 - kept);
        self.updated_at = now;
    }

    fn peak_now(&self, now: Micros) -> f64 {
        self.peak * (-(now.saturating_sub(self.updated_at) as f64) / PEAK_TIME_CONSTANT).exp()
    }

    /// The number of slots wanted for the recent load; `None` if there was no load.
    fn wanted_slots(&self, now: Micros, bounds: &Bounds) -> Option<f64> {
        let price = bounds.spot_price.clamp(0.0, 1.0);
        let headroom = HEADROOM_FREE + (HEADROOM_ON_DEMAND - HEADROOM_FREE) * price;
        let wanted = (self.mean * headroom).max(self.peak_now(now) * HEADROOM_PEAK);
        (self.peak > 0.0).then_some(wanted)
    }

    /// Sets the zones in which no servers are ordered and none are counted on.
    pub fn set_closed(&mut self, closed: BTreeSet<String>) {
        self.closed = closed;
    }

    /// The next order that is due, given the slots of a server.
    pub fn next(
        &mut self,
        now: Micros,
        bounds: &Bounds,
        zones: &Zones,
        slots: u32,
    ) -> Option<Order> {
        if zones.is_empty() || slots == 0 || !self.update_settled(now, zones) {
            return None;
        }
        self.zones.extend(zones.keys().cloned());
        let open = self.zones.iter().filter(|zone| !self.closed.contains(*zone));
        let present = |zone: &String| zones.get(zone).copied().unwrap_or_default();
        let zones: Zones = open.map(|zone| (zone.clone(), present(zone))).collect();
        if zones.is_empty() {
            return None;
        }
        let wanted = self.targets(now, bounds, &zones, slots);
        for (zone, count) in &wanted {
            for kind in [Kind::Spot, Kind::OnDemand] {
                let present = zones.get(zone).map_or(0, |present| present.of(kind));
                if self.is_due(now, bounds, (zone, kind), count.of(kind), present) {
                    return Some(Order { zone: zone.clone(), kind, count: count.of(kind) });
                }
            }
        }
        None
    }

    /// Records the present servers until all initial ones are known. Returns whether they are.
    fn update_settled(&mut self, now: Micros, zones: &Zones) -> bool {
        if self.settled {
            return true;
        }
        let present = zones.values().map(|count| count.all()).sum();
        if present > self.initial {
            (self.initial, self.initial_at) = (present, now);
        }
        self.had_spot |= zones.values().any(|count| count.spot > 0);
        self.settled = now >= self.initial_at + DISCOVERY_TIME;
        self.settled
    }

    /// Records the outcome of an order.
    pub fn ended(&mut self, now: Micros, order: &Order, outcome: Outcome) {
        let last = self.orders.entry((order.zone.clone(), order.kind)).or_default();
        match outcome {
            Outcome::Accepted => {
                last.count = Some(order.count);
                last.at = now;
                last.pause = 0;
                last.sold_out = false;
            }
            Outcome::Unavailable | Outcome::Unknown => {
                last.sold_out = outcome == Outcome::Unavailable;
                last.pause = (last.pause * 2).clamp(MIN_ORDER_PAUSE, MAX_ORDER_PAUSE);
                last.paused_until = now + last.pause;
            }
        }
    }

    /// The target number of servers of each zone.
    fn targets(&mut self, now: Micros, bounds: &Bounds, zones: &Zones, slots: u32) -> Zones {
        let layout = Layout::new(bounds, zones.len() as u32);
        let each = self.update_target(now, bounds, layout, slots);
        let present: u32 = zones.values().map(|count| count.all()).sum();
        let extra = self.missing_per_zone(present, layout.zones, slots);
        // On-demand servers are scaled down once spot servers replace them, and up while spot servers are unavailable.
        let added = |zone: &str| if self.is_spot_unavailable(now, zone) { extra } else { 0 };
        let wanted = match bounds.by_price(zones) {
            Some(by_price) => {
                let shares = self.shares(now, bounds, layout, zones, &by_price, (each, slots));
                spread_by_price(bounds, layout, zones, &by_price, &shares, added)
            }
            None => spread_evenly(bounds, layout, zones, each, added),
        };
        // The maximum holds for both kinds together, also between two orders.
        let limit = |(zone, wanted): (String, Count)| {
            let present = zones.get(&zone).copied().unwrap_or_default();
            let room = |kind| {
                bounds.max_servers.saturating_sub(self.ordered_or_present(&zone, kind, present))
            };
            let spot = wanted.spot.min(room(Kind::OnDemand));
            let on_demand = wanted.on_demand.min(room(Kind::Spot));
            (zone, Count { on_demand, spot })
        };
        wanted.into_iter().map(limit).collect()
    }

    /// The target number of servers of both kinds in each zone where prices differ, `each` per zone on average. Servers
    /// that run stay; further ones are added in the cheapest zones first, and surplus ones removed from the most
    /// expensive ones first. What is not available in a zone is added in the next one.
    fn shares(
        &self,
        now: Micros,
        bounds: &Bounds,
        layout: Layout,
        zones: &Zones,
        by_price: &[&String],
        (each, slots): (u32, u32),
    ) -> BTreeMap<String, u32> {
        let floor = bounds.min_servers.min(each);
        let kind = if layout.spot { Kind::Spot } else { Kind::OnDemand };
        let base = if layout.spot { floor } else { 0 };
        let is_sold_out = |zone: &str| layout.spot && self.is_sold_out(now, zone);
        let kept = |zone: &str, present: Count| {
            let running = match is_sold_out(zone) {
                true => present.of(kind),
                false => self.ordered_or_present(zone, kind, present),
            };
            (base + running).clamp(floor, bounds.max_servers)
        };
        let kept = zones.iter().map(|(zone, present)| (zone.clone(), kept(zone, *present)));
        let mut shares: BTreeMap<String, u32> = kept.collect();
        let total = each * layout.zones;
        let bearable = self.max_share(layout, total, slots).max(each).min(bounds.max_servers);
        let mut surplus = shares.values().sum::<u32>().saturating_sub(total);
        // What is more than bearable goes first, so that the rest does not depend on one zone.
        for least in [bearable, floor] {
            for zone in by_price.iter().rev() {
                let Some(share) = shares.get_mut(*zone) else { continue };
                let removed = surplus.min(share.saturating_sub(least));
                (*share, surplus) = (*share - removed, surplus - removed);
            }
        }
        let mut missing = total.saturating_sub(shares.values().sum());
        // The load is served first, even if one zone then has more than what its loss leaves bearable.
        for max in [bearable, bounds.max_servers] {
            let available = by_price.iter().filter(|zone| !is_sold_out(zone));
            for zone in available {
                let Some(share) = shares.get_mut(*zone) else { continue };
                let added = missing.min(max.saturating_sub(*share));
                (*share, missing) = (*share + added, missing - added);
            }
        }
        shares
    }

    /// The maximum number of servers in one zone, of a `total`: half of them, and of spot servers no more than leave
    /// enough in the others for the mean load with some headroom and for the recent peak.
    fn max_share(&self, layout: Layout, total: u32, slots: u32) -> u32 {
        if !layout.spot {
            return total / 2;
        }
        let carried = (self.mean * HEADROOM_AFTER_LOSS).max(self.peak) / f64::from(slots);
        total.saturating_sub(carried.ceil() as u32).min(total / 2)
    }

    /// The number of servers that each zone lacks for the present load.
    fn missing_per_zone(&self, present: u32, zones: u32, slots: u32) -> u32 {
        let busy: u32 = self.loads.values().map(|(_, requests)| requests).sum();
        busy.div_ceil(slots).saturating_sub(present).div_ceil(zones)
    }

    /// Updates the target number of servers of both kinds in each zone: it grows at once and shrinks after a delay.
    fn update_target(&mut self, now: Micros, bounds: &Bounds, layout: Layout, slots: u32) -> u32 {
        let each = |servers| layout.per_zone(servers, bounds);
        // Without any load data, the servers that the operators set up are taken as what they expect to need, and the
        // servers that a previous lease holder ordered are kept.
        let target = self.target.unwrap_or_else(|| match self.had_spot {
            true => {
                self.initial.div_ceil(layout.zones).clamp(bounds.min_servers, bounds.max_servers)
            }
            false => each(f64::from(self.initial)),
        });
        let servers = self.wanted_slots(now, bounds).map(|wanted| wanted / f64::from(slots));
        let due = servers.map_or(target, each);
        let ratio = f64::from(due) / f64::from(target.max(1));
        let grow = ratio >= 1.0 + MIN_GROWTH || (due > target && due == bounds.max_servers);
        if ratio >= 1.0 - MIN_SHRINK {
            self.shrink_since = None;
        }
        let shrink =
            ratio < 1.0 - MIN_SHRINK && now >= *self.shrink_since.get_or_insert(now) + SHRINK_DELAY;
        let target = if grow || shrink { due } else { target };
        self.target = Some(target);
        target
    }

    /// The number of servers of a kind that a zone has or has ordered.
    fn ordered_or_present(&self, zone: &str, kind: Kind, present: Count) -> u32 {
        let last = self.orders.get(&(zone.to_string(), kind));
        last.and_then(|last| last.count).unwrap_or(0).max(present.of(kind))
    }

    /// Whether an order for spot servers in a zone failed recently.
    fn is_spot_unavailable(&self, now: Micros, zone: &str) -> bool {
        let last = self.orders.get(&(zone.to_string(), Kind::Spot));
        last.is_some_and(|last| now < last.paused_until + MAX_ORDER_PAUSE && last.pause > 0)
    }

    /// Whether no spot servers were available in a zone recently.
    fn is_sold_out(&self, now: Micros, zone: &str) -> bool {
        let last = self.orders.get(&(zone.to_string(), Kind::Spot));
        self.is_spot_unavailable(now, zone) && last.is_some_and(|last| last.sold_out)
    }

    /// Whether an order for `wanted` servers is due.
    fn is_due(
        &self,
        now: Micros,
        bounds: &Bounds,
        (zone, kind): (&String, Kind),
        wanted: u32,
        present: u32,
    ) -> bool {
        let last = self.orders.get(&(zone.clone(), kind)).copied().unwrap_or_default();
        if now < last.paused_until {
            return false;
        }
        let unmet = present < wanted && now >= last.at + bounds.startup + UNMET_ORDER_TIMEOUT;
        match last.count {
            None => wanted != present,
            Some(count) => wanted != count || unmet,
        }
    }
}

/// The target of each zone with `each` servers in all of them, and up to `added` on-demand ones in place of missing spot
/// servers.
fn spread_evenly(
    bounds: &Bounds,
    layout: Layout,
    zones: &Zones,
    each: u32,
    added: impl Fn(&str) -> u32,
) -> Zones {
    let (base, needed) = (layout.min_on_demand(each, bounds), layout.without_spare(each));
    let target = |(zone, present): (&String, &Count)| {
        let gap = needed.saturating_sub(present.spot);
        let on_demand = gap.min(present.on_demand + added(zone)).max(base);
        (zone.clone(), Count { on_demand, spot: each - base })
    };
    zones.iter().map(target).collect()
}

/// The target of each zone with this share of the servers. On-demand servers replace spot servers that are missing in
/// any zone. Those in the most expensive zones are kept the longest, since the maximum of a cheap zone would leave no
/// room for its spot servers.
fn spread_by_price(
    bounds: &Bounds,
    layout: Layout,
    zones: &Zones,
    by_price: &[&String],
    shares: &BTreeMap<String, u32>,
    added: impl Fn(&str) -> u32,
) -> Zones {
    let share = |zone: &str| shares.get(zone).copied().unwrap_or(0);
    let base = |zone: &str| layout.min_on_demand(share(zone), bounds);
    let total: u32 = zones.keys().map(|zone| share(zone)).sum();
    let there: u32 = zones.iter().map(|(zone, present)| present.spot + base(zone)).sum();
    let mut gap = layout.without_spare(total).saturating_sub(there);
    let targets = by_price.iter().rev().map(|zone| {
        let present = zones.get(*zone).copied().unwrap_or_default();
        let base = base(zone);
        let kept = (present.on_demand + added(zone)).saturating_sub(base).min(gap);
        gap -= kept;
        (zone.to_string(), Count { on_demand: base + kept, spot: share(zone) - base })
    });
    targets.collect()
}
