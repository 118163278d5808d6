//! The monotonic clock of the process.
//!
//! Unlike the monotonic clock of the standard library on Linux it advances while the machine is suspended;
//! otherwise a lease, a drain or a report of another instance would look as fresh after a suspension as
//! before. Timers do not advance during a suspension either, so a task that has waited has to check this
//! clock before it acts. Changes of the system time have no effect.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};

/// A time or duration in microseconds.
pub type Micros = u64;

/// Reading of the clock at its first use, in microseconds: a week, so that requests that arrived before the
/// process started get valid times.
const FIRST_READING: Micros = 7 * 24 * 3_600 * 1_000_000;

/// Simulated suspension in microseconds, set by tests only.
static SIMULATED_SUSPENSION: AtomicU64 = AtomicU64::new(0);

/// Current reading of the clock, in microseconds.
pub fn now() -> Micros {
    static ORIGIN: OnceLock<Micros> = OnceLock::new();
    let reading = since_boot();
    FIRST_READING + reading.saturating_sub(*ORIGIN.get_or_init(|| reading))
}

/// Unix time in milliseconds, taken from the system time once at the first call and advanced by this clock
/// since.
pub fn steady_unix_ms() -> u64 {
    static ORIGIN: OnceLock<(Micros, u64)> = OnceLock::new();
    let (started, unix) = *ORIGIN.get_or_init(|| (now(), unix_ms()));
    unix + now().saturating_sub(started) / 1_000
}

/// Unix time in milliseconds, by the system time.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Advances the clock by `time` as a suspension of the machine would. For tests, which cannot suspend it.
pub fn suspend(time: Duration) {
    SIMULATED_SUSPENSION.fetch_add(time.as_micros() as u64, Ordering::AcqRel);
}

/// Microseconds since the machine booted, including suspensions.
fn since_boot() -> Micros {
    let reading =
        clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is available on Linux");
    let reading = Duration::new(reading.tv_sec() as u64, reading.tv_nsec() as u32);
    reading.as_micros() as Micros + SIMULATED_SUSPENSION.load(Ordering::Acquire)
}
