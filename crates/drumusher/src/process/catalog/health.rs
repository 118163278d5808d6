//! Availability of the store as seen by this instance's own calls. Without I/O.

use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};

/// Entries that expired during an outage are written again by their owners within this time after the store's
/// return, as its operator specifies.
pub const RECOVERY_GRACE: Micros = 2_000 * MILLISECOND;
/// A failed call that lasted this long may have met an outage that is long over: calls for the configuration and
/// the servers wait for three seconds, and their answers take up to 0.7 s more. Short calls find out whether the
/// store is unavailable now. The reader that feeds this instance detects an outage within the same time. Rounded
/// up.
const DETECTION_TIME: Micros = 4 * SECOND;

/// Availability of the store as seen by this instance's own calls.
///
/// Only own calls count. Other instances share confirmed positions (see [`super::Entries`]), which never start a
/// grace period here. When each report of uncertainty restarted it, uncertainty circulated among four readers for
/// 14 s, with a configuration every half second.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// When the latest call failed, unless one was answered since.
    failed_at: Option<Micros>,
    /// When the store answered again after an outage.
    recovered_at: Option<Micros>,
    /// Since when the store has answered every call; `None` if no calls are made.
    healthy_since: Option<Micros>,
    /// Failures of calls that lasted this long are ignored.
    detection_time: Micros,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            failed_at: None,
            recovered_at: None,
            healthy_since: None,
            detection_time: DETECTION_TIME,
        }
    }
}

impl Health {
    /// Before any call.
    pub fn new() -> Self {
        Health::default()
    }

    /// Sets how long a failed call may last and still show the store's current state.
    pub fn with_detection_time(mut self, time: Micros) -> Self {
        self.detection_time = time.max(DETECTION_TIME);
        self
    }

    /// Records an answered call. Returns whether it ends an outage: one seen by an own failed call or, on the first
    /// call after an idle period, one reported by the readers that fed this instance until then, which is
    /// `suspected`.
    pub fn record_success(&mut self, now: Micros, suspected: bool) -> bool {
        let first = self.healthy_since.is_none();
        self.healthy_since.get_or_insert(now);
        let was_down = self.failed_at.take().is_some() || first && suspected;
        if was_down {
            self.recovered_at = Some(now);
        }
        was_down
    }

    /// Records a failed call that began at `began`. Returns whether the failure makes removals uncertain. Calls for
    /// the instances wait for ten seconds, and may fail that long after an outage.
    pub fn record_failure(&mut self, began: Micros, now: Micros) -> bool {
        if now >= began + self.detection_time {
            return false;
        }
        self.failed_at = Some(now);
        self.healthy_since = None;
        true
    }

    /// Records that the store was restored from a backup, which counts as an outage even if no call failed: entries
    /// written after the backup are written again, like those that expired. Has to be called once for each restore,
    /// whoever reports it.
    pub fn record_restore(&mut self, now: Micros) {
        self.failed_at = None;
        self.recovered_at = Some(now);
        self.healthy_since = self.healthy_since.map(|_| now);
    }

    /// Records that updates are relayed and this instance makes no calls. An earlier failure is forgotten once the
    /// readers would have detected the outage too.
    pub fn record_idle(&mut self, now: Micros) {
        self.healthy_since = None;
        if self.failed_at.is_some_and(|failed_at| now >= failed_at + self.detection_time) {
            self.failed_at = None;
            self.recovered_at = None;
        }
    }

    /// Whether the latest call that shows the store's current state failed.
    pub fn is_down(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Time since the store answered again after an outage; `None` if there was none.
    pub fn recovered_for(&self, now: Micros) -> Option<Micros> {
        self.recovered_at.map(|recovered_at| now.saturating_sub(recovered_at))
    }

    /// Whether entries that are missing in what is read now may only have expired during an outage.
    pub fn is_uncertain(&self, now: Micros) -> bool {
        self.is_down()
            || self.recovered_at.is_some_and(|recovered_at| now < recovered_at + RECOVERY_GRACE)
    }

    /// Whether the store has been available for longer than expired entries may be missing, so that the removals
    /// read here are real, also for instances that have seen less of the store.
    pub fn is_stable(&self, now: Micros) -> bool {
        self.healthy_since.is_some_and(|healthy_since| now >= healthy_since + RECOVERY_GRACE)
    }
}
