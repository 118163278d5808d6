//! How many backend servers are ordered.

use drumusher_duty::{
    sizing::{Bounds, Count, Kind, Order, Outcome, Sizer, Zones},
    time::{Micros, SECOND},
};
use proptest::prelude::*;

const SLOTS: u32 = 12;

fn bounds() -> Bounds {
    Bounds { least: 1, most: 56, boot: 4 * SECOND, spot_price: 0.22 }
}

/// A platform that starts and ends what is ordered.
struct Platform {
    zones: Zones,
    ordered: Zones,
    /// Zones without spot servers to be had.
    dry: Vec<String>,
    /// Servers that start, with the time at which they serve.
    starting: Vec<(Micros, String, Kind)>,
    orders: Vec<(Micros, Order)>,
}

impl Platform {
    fn new(zones: &[&str], each: u32) -> Self {
        let count = Count { ordinary: each, spot: 0 };
        let zones: Zones = zones.iter().map(|zone| (zone.to_string(), count)).collect();
        Platform {
            ordered: zones.clone(),
            zones,
            dry: Vec::new(),
            starting: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// Lets time pass in steps of half a second, with so many requests at once.
    fn pass(&mut self, sizer: &mut Sizer, from: Micros, to: Micros, busy: Option<u32>) {
        for now in (from..to).step_by(SECOND as usize / 2) {
            if let Some(busy) = busy {
                sizer.busy(now, "i1", busy);
            }
            self.start(now);
            while let Some(order) = sizer.next(now, &bounds(), &self.zones, SLOTS) {
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
            *place(self.zones.get_mut(&zone).expect("a zone"), kind) += 1;
        }
    }

    fn order(&mut self, now: Micros, order: &Order) -> Outcome {
        if order.kind == Kind::Spot && self.dry.contains(&order.zone) {
            return Outcome::Dry;
        }
        self.orders.push((now, order.clone()));
        let ordered = self.ordered.get_mut(&order.zone).expect("a zone");
        *place(ordered, order.kind) = order.count;
        assert!(ordered.all() <= bounds().most, "{order:?} beyond the most: {ordered:?}");
        let there = self.zones.get_mut(&order.zone).expect("a zone");
        let count = place(there, order.kind);
        *count = (*count).min(order.count);
        let missing = order.count - *count;
        let starting = self.starting.iter();
        let starting =
            starting.filter(|(_, zone, kind)| (zone, *kind) == (&order.zone, order.kind));
        for _ in starting.count() as u32..missing {
            self.starting.push((now + bounds().boot, order.zone.clone(), order.kind));
        }
        Outcome::Taken
    }

    fn all(&self) -> u32 {
        self.zones.values().map(|count| count.all()).sum()
    }

    fn spot(&self) -> u32 {
        self.zones.values().map(|count| count.spot).sum()
    }
}

fn place(count: &mut Count, kind: Kind) -> &mut u32 {
    match kind {
        Kind::Ordinary => &mut count.ordinary,
        Kind::Spot => &mut count.spot,
    }
}

/// Four zones of 28 ordinary servers, all paid in full, of which a third was ever used: spot servers replace
/// them before a request comes, never with fewer in between, and enough for the loss of a zone's.
#[test]
fn spot_servers_replace_ordinary_ones() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    let mut sizer = Sizer::new();
    for second in 0..12 {
        platform.pass(&mut sizer, second * SECOND, (second + 1) * SECOND, None);
        assert!(platform.all() >= 112, "{} at second {second}", platform.all());
    }
    assert!(platform.spot() * 3 / 4 + 12 >= 112, "{:?}", platform.zones);
    assert!(platform.zones.values().all(|count| count.ordinary <= 4), "{:?}", platform.zones);
}

/// The instance that had just got the duty knew four of 112 servers, and ordered the others away: in the first
/// twenty seconds a quarter of the requests came to nothing, and more urgent ones beside less urgent ones.
#[test]
fn servers_that_are_not_known_yet_are_not_ordered_away() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    let all = platform.zones.clone();
    let mut sizer = Sizer::new();
    for (second, known) in [(0, 1), (1, 2), (2, 20)] {
        let few = Count { ordinary: known, spot: 0 };
        platform.zones.values_mut().for_each(|count| *count = few);
        platform.pass(&mut sizer, second * SECOND, (second + 1) * SECOND, None);
        assert_eq!(platform.orders, [], "at second {second}");
    }
    platform.zones = all;
    for second in 3..16 {
        platform.pass(&mut sizer, second * SECOND, (second + 1) * SECOND, None);
        assert!(platform.all() >= 112, "{} at second {second}", platform.all());
    }
}

/// 415 requests at once, and 1,000 in a burst: what was there before the burst has room for all of them, also
/// without the spot servers of one zone.
#[test]
fn a_burst_finds_room() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    let mut sizer = Sizer::new();
    platform.pass(&mut sizer, 0, 40 * SECOND, Some(415));
    let left = platform.all() - platform.zones["a"].spot;
    assert!(left * SLOTS >= 1_000, "{left} servers: {:?}", platform.zones);
}

/// The first requests of a day are few. They are no reason to order servers away that were set up for many.
#[test]
fn the_first_requests_order_nothing_away() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    let mut sizer = Sizer::new();
    platform.pass(&mut sizer, 0, SECOND, None);
    for (second, busy) in [(1, 10), (2, 40), (3, 90), (4, 300), (5, 400)] {
        platform.pass(&mut sizer, second * SECOND, (second + 1) * SECOND, Some(busy));
        assert!(platform.all() >= 112, "{} at second {second}", platform.all());
    }
}

/// No spot servers are to be had while many are asked for: ordinary ones come in their place.
#[test]
fn ordinary_servers_fill_up_what_cannot_be_had() {
    let mut platform = Platform::new(&["a", "b"], 4);
    platform.dry = vec!["a".into(), "b".into()];
    let mut sizer = Sizer::new();
    platform.pass(&mut sizer, 0, 20 * SECOND, Some(200));
    assert!(platform.all() * SLOTS >= 200, "{:?}", platform.zones);
    assert_eq!(platform.spot(), 0);
}

/// Load that comes and goes every few seconds orders nothing to and fro.
#[test]
fn a_load_that_changes_quickly_orders_little() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    let mut sizer = Sizer::new();
    platform.pass(&mut sizer, 0, 20 * SECOND, Some(300));
    let before = platform.orders.len();
    for round in 0..10_u64 {
        let (from, busy) = ((20 + 4 * round) * SECOND, if round % 2 == 0 { 300 } else { 150 });
        platform.pass(&mut sizer, from, from + 4 * SECOND, Some(busy));
    }
    // One for each zone and kind: the level may change once.
    assert!(platform.orders.len() - before <= 8, "{:?}", &platform.orders[before..]);
}

/// Another instance gets the duty: what the one before ordered, with what has to be spared, is not taken for what is
/// needed, and no zone is forgotten that has lost all of its servers.
#[test]
fn a_new_holder_orders_no_more_than_there_is() {
    let mut platform = Platform::new(&["a", "b", "c", "d"], 28);
    platform.pass(&mut Sizer::new(), 0, 20 * SECOND, Some(400));
    let before = platform.all();
    let mut sizer = Sizer::new();
    platform.pass(&mut sizer, 20 * SECOND, 30 * SECOND, Some(400));
    assert!(platform.all() <= before, "{before} before, {:?}", platform.zones);
    platform.zones.remove("a");
    platform.zones.insert("a".into(), Count::default());
    let mut known = platform.zones.clone();
    known.remove("a");
    let order = sizer.next(40 * SECOND, &bounds(), &known, SLOTS).expect("they are missing");
    assert_eq!(order.zone, "a");
}

/// With a single zone nothing makes up for its spot servers: half of the servers are ordinary.
#[test]
fn a_single_zone_does_not_live_on_spot_servers() {
    let mut platform = Platform::new(&["a"], 28);
    platform.pass(&mut Sizer::new(), 0, 20 * SECOND, Some(200));
    let count = platform.zones["a"];
    assert!(count.ordinary * SLOTS >= 150 && count.spot > 0, "{count:?}");
}

/// Where spot servers cost as much as others there are none.
#[test]
fn without_a_discount_there_are_no_spot_servers() {
    let mut sizer = Sizer::new();
    let zones = Platform::new(&["a", "b"], 4).zones;
    sizer.busy(0, "i1", 200);
    let bounds = Bounds { spot_price: 1.0, ..bounds() };
    assert_eq!(sizer.next(1, &bounds, &zones, SLOTS), None, "others may be there");
    let order = sizer.next(4 * SECOND, &bounds, &zones, SLOTS).expect("more are needed");
    assert_eq!(order.kind, Kind::Ordinary);
}

proptest! {
    /// Whatever the load and the platform do, no order is beyond the bounds.
    #[test]
    fn orders_are_within_bounds(
        loads in proptest::collection::vec((0_u32..4_000, any::<bool>(), any::<bool>()), 1..30)
    ) {
        let mut platform = Platform::new(&["a", "b", "c"], 20);
        let mut sizer = Sizer::new();
        for (second, (busy, dry, reclaimed)) in loads.into_iter().enumerate() {
            platform.dry = if dry { vec!["a".into()] } else { Vec::new() };
            if reclaimed {
                platform.zones.get_mut("b").expect("a zone").spot = 0;
            }
            let from = second as u64 * SECOND;
            platform.pass(&mut sizer, from, from + SECOND, Some(busy));
        }
        prop_assert!(platform.orders.iter().all(|(_, order)| order.count <= bounds().most));
        prop_assert!(platform.ordered.values().all(|count| count.all() >= bounds().least));
    }
}
