//! What an instance reports about the store in its heartbeats. Without I/O.

use drumusher_schedule::time::{MILLISECOND, Micros};
use drumusher_wire::peer;

use crate::process::catalog::RELAY_TIMEOUT;

/// What the heartbeat of another instance says about the store.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Whether the instance reads the store and receives answers.
    pub reads: bool,
    /// Whether the store has answered all its calls for long enough.
    pub steady: bool,
    /// Time until which its records count as current.
    pub current_until: Micros,
}

impl Report {
    /// The report in a heartbeat received at `now`. Records count as current for `current_ms` milliseconds after the
    /// store's latest answer, or after the heartbeat if that does not tell the answer's age, as from earlier versions.
    pub fn new(heartbeat: &peer::Heartbeat, now: Micros, current_ms: u64) -> Self {
        let age = heartbeat.answered_ms_ago.unwrap_or(0).max(0) as u64;
        let current_until = now + current_ms * MILLISECOND;
        let current_until = current_until.saturating_sub(age.saturating_mul(MILLISECOND));
        let reads = heartbeat.reads == Some(true);
        Report {
            reads,
            steady: reads && heartbeat.steady == Some(true),
            current_until: current_until.min(now + RELAY_TIMEOUT),
        }
    }

    /// Whether the instance's records count as current. If the store goes silent, a call that waits for a change fails
    /// only after seconds, and its caller reports until then that it reads.
    pub fn is_current(&self, now: Micros) -> bool {
        self.reads && now < self.current_until
    }
}
