//! Software versions of backend servers, to one of which a stream that has begun is bound. They have no order.

/// Index of a software version, the same within one dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u16);

/// The software versions at which a request may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Set {
    /// All of them.
    #[default]
    All,
    /// The one that began the stream.
    Only(Key),
}

impl Set {
    /// Whether a request may run at a version.
    pub fn contains(self, version: Key) -> bool {
        match self {
            Set::All => true,
            Set::Only(only) => only == version,
        }
    }

    /// Whether it contains all versions of another set.
    pub fn covers(self, other: Set) -> bool {
        self == Set::All || self == other
    }
}
