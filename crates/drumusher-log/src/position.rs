//! Positions in a log of a store that may be restored from a backup.

use std::fmt;

/// Number of times a store was restored from a backup, by its own count; 0 if it does not report any.
pub type Era = u64;

/// A position in a log of the store.
///
/// A store that was restored from a backup assigns offsets again, so an offset is meaningful only within an era.
/// Each position of a later era is greater than all positions of earlier eras. The default is the position before
/// anything was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The era of the offset.
    pub era: Era,
    /// Number of records before this position.
    pub offset: u64,
}

impl Position {
    /// The position after `offset` records of an era.
    pub fn new(era: Era, offset: u64) -> Self {
        Position { era, offset }
    }

    /// Whether this is the default position, before anything was read.
    pub fn is_start(self) -> bool {
        self == Position::default()
    }

    /// The position `records` records later.
    pub fn advance(self, records: u64) -> Self {
        Position { offset: self.offset + records, ..self }
    }

    /// Number of records from `earlier` up to this position; `None` if `earlier` is later or in another era.
    pub fn since(self, earlier: Position) -> Option<u64> {
        if earlier.era == self.era { self.offset.checked_sub(earlier.offset) } else { None }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}
