//! Log lines on the health of a pool's backend servers, and on requests that it cost.

use std::sync::Arc;

use drumusher_schedule::{
    pool,
    server::Health,
    time::{MILLISECOND, SECOND},
};

use crate::version::Pool;

/// Shortest time between two lines on requests refused in an outage.
const OUTAGE_LINES: u64 = SECOND;

/// What was logged last of a pool.
pub struct Log {
    /// The health of each backend server, by key.
    health: Vec<Health>,
    /// When that was looked at.
    looked: u64,
    /// Requests refused in an outage since the last line on it.
    refused: u32,
    /// When that line was written.
    outage: u64,
}

impl Log {
    /// Nothing was logged yet.
    pub fn new(now: u64) -> Self {
        Log { health: Vec::new(), looked: now, refused: 0, outage: 0 }
    }

    /// Counts a request refused because no backend server can be tried soon.
    pub fn note_refused(&mut self) {
        self.refused += 1;
    }

    /// Writes the lines that are due. `names` are those of the backend servers, by key.
    pub fn write(&mut self, pool: &Pool, decisions: &pool::Pool, names: &[Arc<str>], now: u64) {
        if now < self.looked + pool::TICK {
            return;
        }
        self.looked = now;
        self.write_changes(pool, decisions, names, now);
        self.write_outage(pool, decisions, now);
    }

    /// Logs what the decisions newly believe of the health of backend servers, with what led to it.
    fn write_changes(&mut self, pool: &Pool, decisions: &pool::Pool, names: &[Arc<str>], now: u64) {
        self.health.resize(names.len(), Health::Good);
        for (key, server) in decisions.servers() {
            let health = server.health();
            let before = std::mem::replace(&mut self.health[usize::from(key.0)], health);
            if before.word() == health.word() && before.down_for() == health.down_for() {
                continue;
            }
            log::info!(
                server = &*names[usize::from(key.0)],
                pool = pool.to_string().as_str(),
                before = before.word(),
                failures = server.failures(),
                down_ms = health.down_for().unwrap_or(0) / MILLISECOND,
                gap_ms = server.estimated_gap().unwrap_or(0.0) as u64 / MILLISECOND,
                failing = server.failure_rate(now).unwrap_or(0.0),
                running = server.running();
                "backend server is {}", health.word()
            );
        }
    }

    /// Logs how many requests were refused because no backend server can be tried soon.
    fn write_outage(&mut self, pool: &Pool, decisions: &pool::Pool, now: u64) {
        if self.refused == 0 || now < self.outage + OUTAGE_LINES {
            return;
        }
        self.outage = now;
        let refused = std::mem::take(&mut self.refused);
        let down = decisions.servers().filter(|(_, server)| server.health().down_for().is_some());
        log::warn!(
            pool = pool.to_string().as_str(),
            refused = refused,
            waiting = decisions.waiting(),
            down = down.count(),
            next_probe_ms = decisions.outage().unwrap_or(now).saturating_sub(now) / MILLISECOND;
            "requests refused: no backend server can be tried soon"
        );
    }
}
