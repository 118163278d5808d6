//! Units of time.

/// Microseconds on the process's monotonic clock.
pub type Micros = u64;
/// A millisecond.
pub const MILLISECOND: Micros = 1_000;
/// A second.
pub const SECOND: Micros = 1_000 * MILLISECOND;
