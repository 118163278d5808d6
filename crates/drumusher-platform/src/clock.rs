//! The clock of the process.
//!
//! It counts the time of a suspension of the machine, which the steady clock of the standard library does not on Linux: a
//! lease, a drain or what was heard of another instance would look as young after one as before. Timers stand still
//! meanwhile as well, so that whoever waits looks at this clock before it acts. Steps of the time of day change nothing.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};

/// Microseconds.
pub type Micros = u64;

/// The clock begins here, so that arrivals before the start of the process fit: a week, in microseconds.
const START: Micros = 7 * 24 * 3_600 * 1_000_000;

/// By how much the clock was moved on.
static MOVED: AtomicU64 = AtomicU64::new(0);

/// Microseconds on the clock of the process.
pub fn now() -> Micros {
    static ORIGIN: OnceLock<Micros> = OnceLock::new();
    let read = since_boot();
    START + read.saturating_sub(*ORIGIN.get_or_init(|| read))
}

/// Milliseconds since 1970 by the time of day at the start of the process and this clock since.
pub fn steady_unix_ms() -> u64 {
    static ORIGIN: OnceLock<(Micros, u64)> = OnceLock::new();
    let (started, unix) = *ORIGIN.get_or_init(|| (now(), unix_ms()));
    unix + now().saturating_sub(started) / 1_000
}

/// Milliseconds since 1970 by the time of day.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Moves the clock on, as a suspension of the machine does. For tests, which cannot suspend one.
pub fn suspend(time: Duration) {
    MOVED.fetch_add(time.as_micros() as u64, Ordering::AcqRel);
}

/// Microseconds since the machine started, with the time for which it was suspended.
fn since_boot() -> Micros {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock");
    let read = Duration::new(read.tv_sec() as u64, read.tv_nsec() as u32);
    read.as_micros() as Micros + MOVED.load(Ordering::Acquire)
}
