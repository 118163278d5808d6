//! The process's clocks.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use drumusher_schedule::time::{Micros, SECOND};

/// The monotonic clock begins here, so that arrivals before the start of the process fit.
const START: Micros = 7 * 24 * 3_600 * SECOND;

/// Microseconds on the process's monotonic clock.
pub fn now() -> Micros {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    START + ORIGIN.get_or_init(Instant::now).elapsed().as_micros() as Micros
}

/// Milliseconds since 1970 by the time of day at the start of the process and the steady clock since. Steps of the
/// time of day while the process runs change nothing.
pub fn steady_unix_ms() -> u64 {
    static ORIGIN: OnceLock<(Instant, u64)> = OnceLock::new();
    let (started, unix) = ORIGIN.get_or_init(|| (Instant::now(), unix_ms()));
    unix + started.elapsed().as_millis() as u64
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
