//! Faults of the relays through which the connections of an instance pass.

use std::time::Duration;

use drumusher_bench::fleet::{Mode, Relay};
use rand::RngExt;

use super::{Injector, recovery::Recovery};
use crate::support::Relays;

/// Relays of each instance: for callers, other instances and the store.
const RELAYS_PER_INSTANCE: usize = 3;
/// Index among the relays of an instance of the one for other instances.
const PEERS: usize = 1;
/// Longest delay of data by a relay, in milliseconds, exclusive.
const MAX_DELAY_MS: u64 = 120;
/// Rate of a relay that simulates a slow link.
const LINK_BYTES_PER_SECOND: std::ops::Range<u64> = 100_000..1_000_000;

impl Injector<'_> {
    /// Draws the index of a relay, see [`Injector::relay_at`].
    fn any_relay(&mut self) -> usize {
        self.random.random_range(0..RELAYS_PER_INSTANCE * self.deployment.instances.len())
    }

    /// The relay with this index: three for each instance, in the order callers, other instances, store.
    pub(super) fn relay_at(&self, relay_index: usize) -> &Relay {
        let relays = self.deployment.instances[relay_index / RELAYS_PER_INSTANCE].relays.as_ref();
        let Relays { callers, peers, store } =
            relays.expect("the instances of the soak have relays");
        [callers, peers, store][relay_index % RELAYS_PER_INSTANCE]
    }

    /// Records an interruption of the instance if the relay carries its connections with other instances.
    pub(super) fn record_peer_interruption(&self, relay_index: usize) {
        if relay_index % RELAYS_PER_INSTANCE == PEERS {
            self.journal.record_interruption(relay_index / RELAYS_PER_INSTANCE);
        }
    }

    /// Makes a relay slow, narrow, or silent in one or both directions.
    pub(super) fn degrade_relay(&mut self) {
        let relay_index = self.any_relay();
        let late = Duration::from_millis(self.random.random_range(1..MAX_DELAY_MS));
        let narrow = Mode::Throttled(self.random.random_range(LINK_BYTES_PER_SECOND));
        let modes = [
            Mode::Delayed(late),
            narrow,
            Mode::StalledToTarget,
            Mode::StalledFromTarget,
            Mode::Stalled,
        ];
        let mode = modes[self.random.random_range(0..modes.len())];
        self.relay_at(relay_index).set(mode);
        self.record_peer_interruption(relay_index);
        self.schedule_recovery(Recovery::OpenRelay(relay_index));
    }

    /// Resets the connections of a relay.
    pub(super) fn reset_relay(&mut self) {
        let relay_index = self.any_relay();
        self.relay_at(relay_index).reset();
        self.record_peer_interruption(relay_index);
    }
}
