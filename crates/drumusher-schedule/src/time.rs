//! Time as passed in by the caller.

/// Microseconds since an arbitrary but fixed moment chosen by the caller, or a duration.
pub type Micros = u64;

/// Microseconds in one millisecond.
pub const MILLISECOND: Micros = 1_000;

/// Microseconds in one second.
pub const SECOND: Micros = 1_000_000;
