//! Availability of the store as seen by this instance's own calls. Without I/O.

use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};

use super::RELAY_TIMEOUT;

/// Entries that expired during an outage are written again by their owners within this time after the store's
/// return, as its operator specifies.
pub const RECOVERY_GRACE: Micros = 2_000 * MILLISECOND;
/// Longest time without a word from a steady reader after which a new reader still takes over that the store is
/// stable. Covers the time until a silent reader counts as unreachable, and a heartbeat.
const TAKEOVER_TIME: Micros = 1_500 * MILLISECOND;
/// A failed call that lasted this long may have met an outage that is long over: calls for the configuration and
/// the servers wait for three seconds, and their answers take up to 0.7 s more. Short calls find out whether the
/// store is unavailable now. The reader that feeds this instance detects an outage within the same time. Rounded
/// up.
const DETECTION_TIME: Micros = 4 * SECOND;

/// When readers last reported on the store; 0 if none has.
#[derive(Clone, Copy, Debug)]
pub struct Reports {
    /// That it does not answer.
    pub outage: Micros,
    /// That it has answered all calls for [`RECOVERY_GRACE`]. Earlier versions of the program never report that.
    pub steady: Micros,
}

impl Reports {
    /// Whether there may have been an outage. Readers are heard at different times, so that the order of their reports
    /// alone shows nothing: one that has had the store refutes the others for as long as it is heard from.
    pub fn suggest_outage(&self, now: Micros) -> bool {
        self.outage > 0
            && self.outage + RELAY_TIMEOUT >= self.steady
            && now >= self.steady + RELAY_TIMEOUT
    }
}

/// Availability of the store as seen by this instance's own calls.
///
/// Only own calls count. Other instances share confirmed positions (see [`super::Entries`]), which never start a
/// grace period here. When each report of uncertainty restarted it, uncertainty circulated among four readers for
/// 14 s, with a configuration every half second.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// When the latest call failed, unless one was answered since.
    failed_at: Option<Micros>,
    /// When the store answered again after an outage that an own call saw, or was restored.
    recovered_at: Option<Micros>,
    /// When the store first answered after an outage that only other instances saw.
    suspected_at: Option<Micros>,
    /// When a reader last reported that the store has answered all its calls; 0 if none does.
    steady_at: Micros,
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
            suspected_at: None,
            steady_at: 0,
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
    /// call after an idle period, one reported by the readers, which is `suspected`.
    pub fn record_success(&mut self, now: Micros, suspected: bool) -> bool {
        let first = self.healthy_since.is_none();
        self.healthy_since.get_or_insert(now);
        let was_down = self.failed_at.take().is_some();
        if was_down {
            self.recovered_at = Some(now);
        } else if first && suspected {
            self.suspected_at = Some(now);
        }
        was_down || first && suspected
    }

    /// Records when a reader last reported that the store has answered all its calls, or 0 once none does. While one
    /// does, an outage that was only suspected before was none. One seen by own calls, or a restore, stays. What it says
    /// after this instance's first answered call covers the time before that call too, so that a new reader whose calls
    /// never failed takes over that the store is stable.
    pub fn record_steady(&mut self, at: Micros) {
        self.steady_at = at;
        let since = self.healthy_since.filter(|since| self.recovered_at.is_none() && at >= *since);
        if let Some(since) = since {
            self.healthy_since = Some(since.min(at.saturating_sub(RECOVERY_GRACE)));
        }
    }

    /// Lets the call answered at `now` continue what a reader observed that reported until `steady_heard` that the store
    /// answers it, if it is the first one and nothing points to an outage in between. Otherwise new readers would hold
    /// removals for [`RECOVERY_GRACE`] whenever all former ones are lost at once.
    pub fn take_over(&mut self, now: Micros, steady_heard: Micros) {
        let is_recent = steady_heard > 0 && now < steady_heard + TAKEOVER_TIME;
        if is_recent && self.healthy_since == Some(now) && !self.is_uncertain(now) {
            self.healthy_since = Some(now.saturating_sub(RECOVERY_GRACE));
        }
    }

    /// Records a failed call that began at `began`. Returns whether the failure makes removals uncertain. Calls for
    /// the instances wait for twenty seconds, and may fail that long after an outage.
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
            self.suspected_at = None;
        }
    }

    /// Whether the latest call that shows the store's current state failed.
    pub fn is_down(&self) -> bool {
        self.failed_at.is_some()
    }

    /// When the latest outage ended, also one that is only suspected and not refuted; `None` if there was none.
    fn outage_ended_at(&self) -> Option<Micros> {
        let suspected_at = self.suspected_at.filter(|suspected_at| self.steady_at < *suspected_at);
        self.recovered_at.max(suspected_at)
    }

    /// Time since the store answered again after an outage; `None` if there was none.
    pub fn recovered_for(&self, now: Micros) -> Option<Micros> {
        self.outage_ended_at().map(|ended_at| now.saturating_sub(ended_at))
    }

    /// Whether entries that are missing in what is read now may only have expired during an outage.
    pub fn is_uncertain(&self, now: Micros) -> bool {
        let ended_at = self.outage_ended_at();
        self.is_down() || ended_at.is_some_and(|ended_at| now < ended_at + RECOVERY_GRACE)
    }

    /// Whether the store has been available for longer than expired entries may be missing, so that the removals
    /// read here are real, also for instances that have seen less of the store.
    pub fn is_stable(&self, now: Micros) -> bool {
        self.stable_since().is_some_and(|since| now >= since)
    }

    /// When the store becomes stable, or became so, unless a call fails before; `None` if no calls are made or the
    /// latest one failed.
    pub fn stable_since(&self) -> Option<Micros> {
        self.healthy_since.map(|healthy_since| healthy_since + RECOVERY_GRACE)
    }
}
