//! Times of a planned stop. Without I/O.

use drumusher_schedule::time::{MILLISECOND, Micros};

/// Share of the time allowed for a stop after which requests still in flight are cut, so that the process exits before
/// it is killed.
const CUT_SHARE: f64 = 0.9;
/// Share of that time after which the process exits, whatever is left to do.
const EXIT_SHARE: f64 = 0.95;
/// Share of that time after which no request waits for a backend server: a stream that starts then has a third of the
/// time left to end.
const WAIT_SHARE: f64 = 0.5;

/// When a planned stop ends what is still there, on the clock of its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Requests that wait for a backend server are refused from then on.
    pub refuse_waiting_at: Micros,
    /// Requests in flight are cut then.
    pub cut_at: Micros,
    /// The process exits then.
    pub exit_at: Micros,
}

impl Schedule {
    /// The schedule of a stop that began at `began` and may take `longest_ms` milliseconds.
    pub fn new(began: Micros, longest_ms: u64) -> Self {
        let after = |share: f64| began + ((longest_ms * MILLISECOND) as f64 * share) as Micros;
        Schedule {
            refuse_waiting_at: after(WAIT_SHARE),
            cut_at: after(CUT_SHARE),
            exit_at: after(EXIT_SHARE),
        }
    }

    /// Whether a request with this deadline may still be in flight at the cut.
    pub fn may_cut(&self, deadline: Micros) -> bool {
        deadline > self.cut_at
    }

    /// Whether a request is refused at `now` that still waits for a backend server. One whose caller waits no longer than
    /// until the cut loses nothing by waiting on.
    pub fn refuses_waiting(&self, now: Micros, deadline: Option<Micros>) -> bool {
        now >= self.refuse_waiting_at && deadline.is_none_or(|deadline| self.may_cut(deadline))
    }
}
