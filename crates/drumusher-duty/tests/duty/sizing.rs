//! The autoscaler: the numbers of backend servers that are ordered.

use std::collections::BTreeMap;

use drumusher_duty::{
    sizing::{Bounds, Count, Kind, Order, Outcome, Sizer, Zones},
    time::{Micros, SECOND},
};
use proptest::prelude::*;

const SLOTS: u32 = 12;

fn bounds() -> Bounds {
    Bounds {
        min_servers: 1,
        max_servers: 56,
        startup: 4 * SECOND,
        spot_price: 0.22,
        zone_prices: BTreeMap::new(),
    }
}

/// Bounds with these prices of zones a to d.
fn priced(prices: [f64; 4]) -> Bounds {
    let zones = ["a", "b", "c", "d"].map(String::from);
    Bounds { zone_prices: zones.into_iter().zip(prices).collect(), ..bounds() }
}

/// A simulated platform that starts and stops servers as ordered.
struct Platform {
    bounds: Bounds,
    zones: Zones,
    ordered: Zones,
    /// Zones in which no spot servers are available.
    unavailable: Vec<String>,
    /// Starting servers, with the time at which they are ready.
    starting: Vec<(Micros, String, Kind)>,
    orders: Vec<(Micros, Order)>,
}

impl Platform {
    fn new(zones: &[&str], each: u32) -> Self {
        let count = Count { on_demand: each, spot: 0 };
        let zones: Zones = zones.iter().map(|zone| (zone.to_string(), count)).collect();
        Platform {
            bounds: bounds(),
            ordered: zones.clone(),
            zones,
            unavailable: Vec::new(),
            starting: Vec::new(),
            orders: Vec::new(),
        }
    }

    fn with_bounds(self, bounds: Bounds) -> Self {
        Platform { bounds, ..self }
    }

    /// Runs the simulation in steps of half a second with a load of `busy` requests.
    fn run(&mut self, sizer: &mut Sizer, from: Micros, to: Micros, busy: Option<u32>) {
        for now in (from..to).step_by(SECOND as usize / 2) {
            if let Some(busy) = busy {
                sizer.record_load(now, "i1", busy);
            }
            self.start(now);
            while let Some(order) = sizer.next(now, &self.bounds, &self.zones, SLOTS) {
                let outcome = self.order(now, &order);
                sizer.ended(now, &order, outcome);
            }
        }
    }

    fn start(&mut self, now: Micros) {
        let (ready, starting) = self.starting.drain(..).partition(|(at, ..)| *at <= now);
        self.starting = starting;
        let ready: Vec<(Micros, String, Kind)> = ready;
        for (_, zone, kind) in ready {
            *count_of(self.zones.get_mut(&zone).expect("a zone"), kind) += 1;
        }
    }

    fn order(&mut self, now: Micros, order: &Order) -> Outcome {
        if order.kind == Kind::Spot && self.unavailable.contains(&order.zone) {
            return Outcome::Unavailable;
        }
        self.orders.push((now, order.clone()));
        let ordered = self.ordered.get_mut(&order.zone).expect("a zone");
        *count_of(ordered, order.kind) = order.count;
        assert!(
            ordered.all() <= self.bounds.max_servers,
            "{order:?} beyond the maximum: {ordered:?}"
        );
        let there = self.zones.get_mut(&order.zone).expect("a zone");
        let count = count_of(there, order.kind);
        *count = (*count).min(order.count);
        let missing = order.count - *count;
        let starting = self.starting.iter();
        let starting =
            starting.filter(|(_, zone, kind)| (zone, *kind) == (&order.zone, order.kind));
        for _ in starting.count() as u32..missing {
            self.starting.push((now + self.bounds.startup, order.zone.clone(), order.kind));
        }
        Outcome::Accepted
    }

    fn all(&self) -> u32 {
        self.zones.values().map(|count| count.all()).sum()
    }

    /// The cost of all servers, relative to on-demand servers in a zone without a price.
    fn cost(&self) -> f64 {
        let cost = |(zone, count): (&String, &Count)| {
            let price = self.bounds.zone_prices.get(zone).unwrap_or(&1.0);
            (f64::from(count.on_demand) + f64::from(count.spot) * self.bounds.spot_price) * price
        };
        self.zones.iter().map(cost).sum()
    }

    fn spot(&self) -> u32 {
        self.zones.values().map(|count| count.spot).sum()
    }
}

fn count_of(count: &mut Count, kind: Kind) -> &mut u32 {
    match kind {
        Kind::OnDemand => &mut count.on_demand,
        Kind::Spot => &mut count.spot,
    }
}

/// Four zones have 28 on-demand servers each at full price, of which a third is ever used. Spot servers replace them
/// before the first request, without fewer servers in between, and with enough to lose one zone's spot servers.
#[test]
fn spot_servers_replace_on_demand_ones() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    let mut sizer = Sizer::new();
    for second in 0..12 {
        platform.run(&mut sizer, second * SECOND, (second + 1) * SECOND, None);
        assert!(platform.all() >= 112, "{} at second {second}", platform.all());
    }
    assert!(platform.spot() * 3 / 4 + 12 >= 112, "{:?}", platform.zones);
    assert!(platform.zones.values().all(|count| count.on_demand <= 4), "{:?}", platform.zones);
}

/// Guards against scaling down servers that are not known yet: a new lease holder knew four of 112 servers and scaled
/// the others down. In the first twenty seconds a quarter of the requests failed, more urgent ones as well as less
/// urgent ones.
#[test]
fn servers_that_are_not_known_yet_are_not_scaled_down() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    let all = platform.zones.clone();
    let mut sizer = Sizer::new();
    for (second, known) in [(0, 1), (1, 2), (2, 20)] {
        let few = Count { on_demand: known, spot: 0 };
        platform.zones.values_mut().for_each(|count| *count = few);
        platform.run(&mut sizer, second * SECOND, (second + 1) * SECOND, None);
        assert_eq!(platform.orders, [], "at second {second}");
    }
    platform.zones = all;
    for second in 3..16 {
        platform.run(&mut sizer, second * SECOND, (second + 1) * SECOND, None);
        assert!(platform.all() >= 112, "{} at second {second}", platform.all());
    }
}

/// A load of 415 requests rises to 1,000 in a burst: the servers from before the burst have slots for all of them, even
/// without the spot servers of one zone.
#[test]
fn there_is_headroom_for_a_burst() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    let mut sizer = Sizer::new();
    platform.run(&mut sizer, 0, 40 * SECOND, Some(415));
    let left = platform.all() - platform.zones["a"].spot;
    assert!(left * SLOTS >= 1_000, "{left} servers: {:?}", platform.zones);
}

/// The first requests are few, which is no reason to scale down servers that were set up for many.
#[test]
fn the_first_requests_scale_nothing_down() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    let mut sizer = Sizer::new();
    platform.run(&mut sizer, 0, SECOND, None);
    for (second, busy) in [(1, 10), (2, 40), (3, 90), (4, 300), (5, 400)] {
        platform.run(&mut sizer, second * SECOND, (second + 1) * SECOND, Some(busy));
        assert!(platform.all() >= 112, "{} at second {second}", platform.all());
    }
}

/// On-demand servers are ordered in place of spot servers that are unavailable.
#[test]
fn on_demand_servers_replace_unavailable_spot_servers() {
    let mut platform = Platform::new(&["a", "b"], 4);
    platform.unavailable = vec!["a".into(), "b".into()];
    let mut sizer = Sizer::new();
    platform.run(&mut sizer, 0, 20 * SECOND, Some(200));
    assert!(platform.all() * SLOTS >= 200, "{:?}", platform.zones);
    assert_eq!(platform.spot(), 0);
}

/// A load that rises and falls every few seconds does not scale servers up and down.
#[test]
fn a_fluctuating_load_leads_to_few_orders() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    let mut sizer = Sizer::new();
    platform.run(&mut sizer, 0, 20 * SECOND, Some(300));
    let before = platform.orders.len();
    for round in 0..10_u64 {
        let (from, busy) = ((20 + 4 * round) * SECOND, if round % 2 == 0 { 300 } else { 150 });
        platform.run(&mut sizer, from, from + 4 * SECOND, Some(busy));
    }
    // One for each zone and kind: the target may change once.
    assert!(platform.orders.len() - before <= 8, "{:?}", &platform.orders[before..]);
}

/// A new lease holder does not take the servers that the previous one ordered, which include spare ones, for what is
/// needed, and remembers a zone that has lost all of its servers.
#[test]
fn a_new_holder_orders_no_more_than_there_is() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    platform.run(&mut Sizer::new(), 0, 20 * SECOND, Some(400));
    let before = platform.all();
    let mut sizer = Sizer::new();
    platform.run(&mut sizer, 20 * SECOND, 30 * SECOND, Some(400));
    assert!(platform.all() <= before, "{before} before, {:?}", platform.zones);
    platform.zones.remove("a");
    platform.zones.insert("a".into(), Count::default());
    let mut known = platform.zones.clone();
    known.remove("a");
    let order = sizer.next(40 * SECOND, &bounds(), &known, SLOTS).expect("they are missing");
    assert_eq!(order.zone, "a");
}

/// A single zone has no other zone to carry its load when it loses its spot servers: half of its servers are on-demand.
#[test]
fn a_single_zone_does_not_depend_on_spot_servers() {
    let mut platform = Platform::new(&["a"], 28);
    platform.run(&mut Sizer::new(), 0, 20 * SECOND, Some(200));
    let count = platform.zones["a"];
    assert!(count.on_demand * SLOTS >= 150 && count.spot > 0, "{count:?}");
}

/// No spot servers are ordered if they cost as much as on-demand ones.
#[test]
fn without_a_discount_there_are_no_spot_servers() {
    let mut sizer = Sizer::new();
    let zones = Platform::new(&["a", "b"], 4).zones;
    sizer.record_load(0, "i1", 200);
    let bounds = Bounds { spot_price: 1.0, ..bounds() };
    assert_eq!(sizer.next(1, &bounds, &zones, SLOTS), None, "others may be there");
    let order = sizer.next(4 * SECOND, &bounds, &zones, SLOTS).expect("more are needed");
    assert_eq!(order.kind, Kind::OnDemand);
}

/// Servers are ordered where they are cheap, as many as before, without fewer servers in between, and with enough for
/// the mean load and the peak when one zone loses its spot servers.
#[test]
fn servers_are_ordered_in_cheap_zones() {
    let prices = [1.0, 0.8, 1.25, 0.9];
    let (mut by_price, mut evenly) = (Sizer::new(), Sizer::new());
    let new = || Platform::new(&["a", "b", "c", "d"], 15);
    let mut platform = new().with_bounds(Bounds { max_servers: 30, ..priced(prices) });
    for second in 0..30 {
        platform.run(&mut by_price, second * SECOND, (second + 1) * SECOND, Some(240));
        assert!(platform.all() >= 60, "{} at second {second}", platform.all());
    }
    let mut even = new().with_bounds(Bounds { max_servers: 30, ..bounds() });
    even.run(&mut evenly, 0, 30 * SECOND, Some(240));
    assert!(platform.all() >= even.all(), "{:?} and {:?}", platform.zones, even.zones);
    even.bounds = platform.bounds.clone();
    assert!(platform.cost() < 0.95 * even.cost(), "{} and {}", platform.cost(), even.cost());
    let spot = |zone: &str| platform.zones[zone].spot;
    assert!(spot("b") >= spot("d") && spot("d") >= spot("a") && spot("a") > spot("c"));
    let left = platform.zones.values().map(|count| platform.all() - count.spot).min();
    assert!(left.is_some_and(|left| left * SLOTS >= 240 * 16 / 10), "{:?}", platform.zones);
}

/// Spot servers that run are not replaced for their price, whoever ordered them.
#[test]
fn running_servers_are_not_replaced_for_their_price() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    platform.run(&mut Sizer::new(), 0, 20 * SECOND, Some(400));
    let before = platform.zones.clone();
    platform.bounds = priced([1.0, 0.8, 1.25, 0.9]);
    // The same load needs fewer servers later, and the surplus goes from the most expensive zone.
    platform.run(&mut Sizer::new(), 20 * SECOND, 45 * SECOND, Some(400));
    for (zone, count) in &before {
        assert!(platform.zones[zone].spot >= count.spot, "{before:?}, {:?}", platform.zones);
    }
}

/// A lower load leaves no zone with so many of the servers that the loss of its spot servers is unbearable.
#[test]
fn a_lower_load_leaves_servers_in_several_zones() {
    let mut platform = Platform::new(&["a", "b"], 20);
    platform.bounds = priced([1.0, 0.8, 1.25, 0.9]);
    let mut sizer = Sizer::new();
    platform.run(&mut sizer, 0, 20 * SECOND, Some(300));
    let before = platform.all();
    platform.run(&mut sizer, 20 * SECOND, 200 * SECOND, Some(100));
    assert!(platform.all() < before, "{:?}", platform.zones);
    for (zone, count) in &platform.zones {
        assert!((platform.all() - count.spot) * SLOTS >= 160, "{zone}: {:?}", platform.zones);
    }
}

/// Spot servers that are not available in the cheapest zone are ordered in the next one by price, and stay there.
#[test]
fn orders_go_to_the_next_zone_by_price() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 15);
    platform.bounds = priced([1.0, 0.8, 1.25, 0.9]);
    platform.unavailable = vec!["b".into()];
    let mut sizer = Sizer::new();
    platform.run(&mut sizer, 0, 20 * SECOND, Some(240));
    assert!(platform.all() >= 60, "{:?}", platform.zones);
    assert!(platform.zones["d"].spot > platform.zones["a"].spot, "{:?}", platform.zones);
    let (before, orders) = (platform.zones["d"].spot, platform.orders.len());
    platform.unavailable.clear();
    platform.run(&mut sizer, 20 * SECOND, 60 * SECOND, Some(240));
    assert!(platform.zones["d"].spot >= before, "{:?}", platform.zones);
    assert!(platform.orders.len() - orders <= 8, "{:?}", &platform.orders[orders..]);
}

/// Without spot servers, on-demand servers are ordered where they are cheap.
#[test]
fn on_demand_servers_are_ordered_in_cheap_zones() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 4);
    platform.bounds = Bounds { spot_price: 1.0, ..priced([1.0, 0.8, 1.25, 0.9]) };
    platform.run(&mut Sizer::new(), 0, 20 * SECOND, Some(240));
    let count = |zone: &str| platform.zones[zone].on_demand;
    assert!(count("b") > count("a") && count("c") == 4, "{:?}", platform.zones);
}

/// Prices that are the same or no positive numbers change nothing.
#[test]
fn servers_are_spread_evenly_without_different_prices() {
    let orders = |bounds: Bounds| {
        let mut platform = Platform::new(&["a", "b", "c", "d"], 28).with_bounds(bounds);
        platform.run(&mut Sizer::new(), 0, 60 * SECOND, Some(400));
        platform.orders
    };
    let evenly = orders(bounds());
    assert_eq!(orders(priced([0.8; 4])), evenly);
    assert_eq!(orders(priced([0.0, -1.0, f64::NAN, 1.0])), evenly);
}

proptest! {
    /// Orders stay within the bounds, whatever the load and the platform do.
    #[test]
    fn orders_are_within_bounds(
        loads in proptest::collection::vec((0_u32..4_000, any::<bool>(), any::<bool>()), 1..30),
        prices in proptest::array::uniform4(0.5_f64..2.0),
        with_prices in any::<bool>(),
    ) {
        let mut platform = Platform::new(&["a", "b", "c"], 20);
        if with_prices {
            platform.bounds = priced(prices);
        }
        let mut sizer = Sizer::new();
        for (second, (busy, unavailable, reclaimed)) in loads.into_iter().enumerate() {
            platform.unavailable = if unavailable { vec!["a".into()] } else { Vec::new() };
            if reclaimed {
                platform.zones.get_mut("b").expect("a zone").spot = 0;
            }
            let from = second as u64 * SECOND;
            platform.run(&mut sizer, from, from + SECOND, Some(busy));
        }
        prop_assert!(platform.orders.iter().all(|(_, order)| order.count <= bounds().max_servers));
        prop_assert!(platform.ordered.values().all(|count| count.all() >= bounds().min_servers));
    }
}
