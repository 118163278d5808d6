//! The pauses between a stream's events as its caller saw them.

use drumusher_schedule::time::Micros;

/// What a caller saw of a stream, for its log line.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// From handing the request over for the latest attempt to that attempt's first event.
    pub handed: Option<Micros>,
    /// From the arrival to the first event.
    pub first: Option<Micros>,
    /// The longest pause between two events.
    pub longest_gap: Micros,
    latest: Micros,
}

impl Pace {
    /// Events were passed on.
    pub fn event(&mut self, now: Micros, arrived: Micros) {
        match self.first {
            None => self.first = Some(now.saturating_sub(arrived)),
            Some(_) => {
                let gap = now.saturating_sub(self.latest);
                self.longest_gap = self.longest_gap.max(gap);
            }
        }
        self.latest = now;
    }
}
