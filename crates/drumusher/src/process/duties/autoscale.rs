//! Autoscaling of backend servers, by the servers in the directory and the load that dispatchers published.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use drumusher_duty::{
    sizing::{Bounds, Kind, Order, Outcome, Sizer, Zones},
    usage::Update,
};
use drumusher_platform::routing::{Scaling, Service};
use drumusher_schedule::time::{MILLISECOND, Micros};

use crate::{
    process::Shared,
    version::{Directory, Pool},
};

/// The autoscalers of the services.
#[derive(Debug, Default)]
pub(super) struct Autoscaler {
    sizers: BTreeMap<String, Sizer>,
}

impl Autoscaler {
    pub(super) fn new() -> Self {
        Autoscaler::default()
    }

    /// Records the load of services from a dispatcher's update.
    pub(super) fn record_load(&mut self, now: Micros, update: &Update) {
        for (service, requests) in &update.busy {
            let sizer = self.sizers.entry(service.clone()).or_default();
            sizer.record_load(now, &update.writer, *requests);
        }
    }

    /// The next order that is due, with the name of its service.
    pub(super) fn next(&mut self, now: Micros, shared: &Shared) -> Option<(String, Order)> {
        let routing = shared.routing.load_full()?;
        let directory = shared.directory.load_full();
        let duties = shared.settings.duties.as_ref();
        let by_zone_price = duties.is_some_and(|duties| duties.by_zone_price);
        let services = routing.configuration.services.iter();
        services.filter_map(scalable).find_map(|(service, scaling)| {
            let (zones, slots) = servers(&directory, &service.name, &shared.area);
            let sizer = self.sizers.entry(service.name.clone()).or_default();
            sizer.set_closed(evacuated_zones(&directory, &service.name, &shared.area));
            let order = sizer.next(now, &bounds(scaling, by_zone_price), &zones, slots)?;
            Some((service.name.clone(), order))
        })
    }

    /// Records the outcome of an order.
    pub(super) fn ended(&mut self, now: Micros, service: &str, order: &Order, outcome: Outcome) {
        if let Some(sizer) = self.sizers.get_mut(service) {
            sizer.ended(now, order, outcome);
        }
    }
}

fn scalable(service: &Service) -> Option<(&Service, &Scaling)> {
    Some((service, service.scaling.as_ref()?))
}

fn bounds(scaling: &Scaling, by_zone_price: bool) -> Bounds {
    Bounds {
        min_servers: scaling.least,
        max_servers: scaling.most,
        startup: scaling.boot_ms * MILLISECOND,
        spot_price: scaling.spot_price,
        zone_prices: if by_zone_price { scaling.zone_prices.clone() } else { BTreeMap::new() },
    }
}

/// The number of backend servers of a service that accept requests, by availability zone, and the slots of a server. A
/// zone whose servers are all leaving is included.
fn servers(directory: &Directory, service: &str, area: &str) -> (Zones, u32) {
    let pool = Pool::Service(Arc::from(service));
    let (mut zones, mut slots) = (Zones::new(), 0);
    for backend in directory.backends(&pool, area) {
        let count = zones.entry(backend.availability_zone.to_string()).or_default();
        slots = slots.max(backend.slots);
        if backend.leaving {
            continue;
        }
        match kind(backend.spot) {
            Kind::Spot => count.spot += 1,
            Kind::OnDemand => count.on_demand += 1,
        }
    }
    (zones, slots)
}

/// The availability zones of a service that operators evacuate.
fn evacuated_zones(directory: &Directory, service: &str, area: &str) -> BTreeSet<String> {
    let pool = Pool::Service(Arc::from(service));
    let evacuated = directory.backends(&pool, area).filter(|backend| backend.evacuated);
    evacuated.map(|backend| backend.availability_zone.to_string()).collect()
}

fn kind(spot: bool) -> Kind {
    if spot { Kind::Spot } else { Kind::OnDemand }
}
