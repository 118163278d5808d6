//! Timing of a stream's events.

use drumusher_schedule::time::Micros;

/// Timing of a stream, for the request's log line.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTiming {
    /// From sending the latest attempt to the first event that the backend server sent.
    pub backend_first_event: Option<Micros>,
    /// From the arrival of the request to the first event sent to the client.
    pub client_first_event: Option<Micros>,
    /// The longest gap between two events sent to the client.
    pub longest_gap: Micros,
    /// Number of events sent to the client.
    pub events: u32,
    latest_event: Micros,
}

impl StreamTiming {
    /// Records that events were sent to the client at `now`, the last of which is number `events` of the stream.
    pub fn record_events(&mut self, now: Micros, arrived: Micros, events: u32) {
        self.events = events;
        match self.client_first_event {
            None => self.client_first_event = Some(now.saturating_sub(arrived)),
            Some(_) => {
                let gap = now.saturating_sub(self.latest_event);
                self.longest_gap = self.longest_gap.max(gap);
            }
        }
        self.latest_event = now;
    }
}
