//! The regions of availability zones.

use std::collections::{BTreeMap, BTreeSet};

use drumusher_schedule::region;

/// The region of each availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    by_zone: BTreeMap<String, String>,
    /// All regions. The index of a region is its key.
    names: BTreeSet<String>,
}

impl Regions {
    /// The regions by availability zone.
    pub fn new(by_zone: BTreeMap<String, String>) -> Self {
        let names = by_zone.values().cloned().collect();
        Regions { by_zone, names }
    }

    /// The region of an availability zone, if it is known.
    pub fn of_zone(&self, zone: &str) -> Option<&str> {
        self.by_zone.get(zone).map(String::as_str)
    }

    /// The key of the region of an availability zone.
    pub fn key_of_zone(&self, zone: &str) -> region::Key {
        self.of_zone(zone).map_or(region::Key::UNKNOWN, |name| self.key(name))
    }

    /// The set of regions with these names; all regions for `None`.
    pub fn set(&self, allowed: Option<&[String]>) -> region::Set {
        let only = |names: &[String]| region::Set::only(names.iter().map(|name| self.key(name)));
        allowed.map_or(region::Set::All, only)
    }

    fn key(&self, name: &str) -> region::Key {
        let index = self.names.iter().position(|other| other == name);
        index.map_or(region::Key::UNKNOWN, region::Key::new)
    }
}
