//! Backoff after failed calls to the store. Without I/O.

use ntex::time::Millis;

/// First pause after a failed call, doubled after each further one.
const FIRST_URGENT: Millis = Millis(60);
/// Longest pause of a reader: a change has to be in force within two seconds.
const MAX_URGENT: Millis = Millis(400);
/// First pause of an instance that is fed by readers and knows the table already. Four readers notice the store's
/// return and relay it.
const FIRST_FED: Millis = Millis(1_600);
/// Longest pause of such an instance.
const MAX_FED: Millis = Millis(3_200);

/// Backoff state of one task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    latest: Option<Millis>,
}

impl Backoff {
    /// Before any failure.
    pub fn new() -> Self {
        Backoff::default()
    }

    /// Resets the pause after a successful call.
    pub fn reset(&mut self) {
        self.latest = None;
    }

    /// The pause after a failed call. `urgent` if no other instance would notice the store's return, or nothing is
    /// known yet.
    pub fn next(&mut self, urgent: bool) -> Millis {
        let (min, max) = if urgent { (FIRST_URGENT, MAX_URGENT) } else { (FIRST_FED, MAX_FED) };
        let pause = match self.latest {
            None => min,
            Some(latest) => Millis((latest.0 * 2).clamp(min.0, max.0)),
        };
        self.latest = Some(pause);
        pause
    }
}
