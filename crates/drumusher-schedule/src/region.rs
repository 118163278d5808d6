//! Regions to which a request may be restricted.

/// Index of a region, the same at all dispatchers of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u8);

impl Key {
    /// The region of a backend server whose region is not known. No restriction includes it.
    pub const UNKNOWN: Key = Key(u8::MAX);
    /// Maximum number of regions.
    pub const MAX: usize = 64;

    /// The key of the region with this index; [`Key::UNKNOWN`] beyond [`Key::MAX`].
    pub const fn new(index: usize) -> Self {
        if index < Key::MAX { Key(index as u8) } else { Key::UNKNOWN }
    }
}

/// The regions in which a request may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Set {
    /// All of them, also unknown ones.
    #[default]
    All,
    /// Those whose bits are set, by index.
    Only(u64),
}

impl Set {
    /// Restricts requests to these regions. Unknown ones add nothing.
    pub fn only(regions: impl Iterator<Item = Key>) -> Self {
        let known = regions.filter(|region| *region != Key::UNKNOWN);
        Set::Only(known.fold(0, |bits, region| bits | 1 << region.0))
    }

    /// Whether a request may run in a region.
    pub fn contains(self, region: Key) -> bool {
        match self {
            Set::All => true,
            Set::Only(bits) => region != Key::UNKNOWN && bits >> region.0 & 1 == 1,
        }
    }

    /// Whether it contains all regions of another set.
    pub fn covers(self, other: Set) -> bool {
        self == Set::All || self.intersection(other) == other
    }

    /// The regions that both allow.
    pub fn intersection(self, other: Set) -> Set {
        match (self, other) {
            (Set::All, set) | (set, Set::All) => set,
            (Set::Only(one), Set::Only(other)) => Set::Only(one & other),
        }
    }
}
