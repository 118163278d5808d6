//! Log lines on health changes of a pool's backend servers, and on requests refused in an outage.

use std::sync::Arc;

use drumusher_schedule::{
    pool,
    server::Health,
    time::{MILLISECOND, SECOND},
};

use crate::version::Pool;

/// Minimum interval between two log lines on requests refused in an outage, in microseconds.
const OUTAGE_LOG_INTERVAL: u64 = SECOND;

/// The state of a pool as it was last logged.
pub struct Log {
    /// The logged health of each backend server, by key.
    health: Vec<Health>,
    /// When the health was last compared.
    checked_at: u64,
    /// Requests refused in an outage since the last log line on it.
    refused: u32,
    /// When that log line was written.
    outage: u64,
}

impl Log {
    /// Creates a log that has written nothing.
    pub fn new(now: u64) -> Self {
        Log { health: Vec::new(), checked_at: now, refused: 0, outage: 0 }
    }

    /// Counts a request refused because no backend server can be probed soon.
    pub fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Writes the log lines that are due. `names` holds the names of the backend servers, by key.
    pub fn write(&mut self, pool: &Pool, scheduler: &pool::Pool, names: &[Arc<str>], now: u64) {
        if now < self.checked_at + pool::TICK {
            return;
        }
        self.checked_at = now;
        self.write_changes(pool, scheduler, names, now);
        self.write_outage(pool, scheduler, now);
    }

    /// Logs each change of a backend server's health, with the measurements that led to it.
    fn write_changes(&mut self, pool: &Pool, scheduler: &pool::Pool, names: &[Arc<str>], now: u64) {
        self.health.resize(names.len(), Health::Good);
        for (key, server) in scheduler.servers() {
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

    /// Logs how many requests were refused because no backend server can be probed soon.
    fn write_outage(&mut self, pool: &Pool, scheduler: &pool::Pool, now: u64) {
        if self.refused == 0 || now < self.outage + OUTAGE_LOG_INTERVAL {
            return;
        }
        self.outage = now;
        let refused = std::mem::take(&mut self.refused);
        let down = scheduler.servers().filter(|(_, server)| server.health().down_for().is_some());
        log::warn!(
            pool = pool.to_string().as_str(),
            refused = refused,
            waiting = scheduler.waiting(),
            down = down.count(),
            next_probe_ms = scheduler.outage().unwrap_or(now).saturating_sub(now) / MILLISECOND;
            "requests refused: no backend server can be probed soon"
        );
    }
}
