//! Memory for the bodies of requests and responses that an instance holds.
//!
//! An instance whose memory exceeds its limit is killed with all requests that it holds. So bodies are reserved before
//! they are read: a request that does not fit is refused, and a response waits at its backend server.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use drumusher_schedule::time::Micros;
use ntex::time::{Millis, sleep};

use super::{Shared, clock};

const MEGABYTE: usize = 1024 * 1024;
/// Bodies get the memory limit divided by this. The rest is for tables, connections and their buffers.
const LIMIT_DIVISOR: usize = 2;
/// A body of up to this many bytes is small.
pub const SMALL_BYTES: usize = 64 * 1024;
/// Share of the budget that large request bodies leave to small ones and to responses, as a divisor.
const SPARE_DIVISOR: usize = 4;
/// Small responses may exceed the budget by this share of it, as a divisor.
const SMALL_RESPONSES_DIVISOR: usize = 4;
/// Interval at which a response that waits for memory checks whether there is some.
const POLL_INTERVAL: Millis = Millis(16);

/// What a reservation is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// The body of a request.
    Request,
    /// The body of a response.
    Response,
}

/// Bounds the bytes of all bodies that the process holds.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    reserved: AtomicUsize,
}

impl Budget {
    /// Creates a budget for a process with this memory limit; unlimited if there is none.
    pub fn new(memory_mb: Option<u64>) -> Self {
        let limit = memory_mb.map(|mb| mb as usize * MEGABYTE / LIMIT_DIVISOR);
        Budget { limit: limit.unwrap_or(usize::MAX), reserved: AtomicUsize::new(0) }
    }

    /// Bytes of all reservations.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Acquire)
    }

    /// The size of the largest body that can be reserved when nothing else is.
    pub fn largest(&self, purpose: Use) -> usize {
        self.ceiling(purpose, self.limit)
    }

    /// Number of bytes up to which all reservations may grow for a body of `bytes`. Small responses may exceed the limit,
    /// so that clients that are slow to read large ones do not hold them up.
    fn ceiling(&self, purpose: Use, bytes: usize) -> usize {
        match purpose {
            Use::Response if bytes <= SMALL_BYTES => {
                self.limit.saturating_add(self.limit / SMALL_RESPONSES_DIVISOR)
            }
            Use::Request if bytes > SMALL_BYTES => self.limit - self.limit / SPARE_DIVISOR,
            Use::Request | Use::Response => self.limit,
        }
    }
}

/// Bytes of a budget, which are released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<Budget>,
    purpose: Use,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of no bytes.
    pub fn new(budget: Arc<Budget>, purpose: Use) -> Self {
        Reservation { budget, purpose, bytes: 0 }
    }

    /// The bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Extends the reservation to `bytes` in all. Returns whether the budget allows it; otherwise nothing changes.
    pub fn extend_to(&mut self, bytes: usize) -> bool {
        let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) else {
            return true;
        };
        let ceiling = self.budget.ceiling(self.purpose, bytes);
        let grow =
            |reserved: usize| reserved.checked_add(more).filter(|reserved| *reserved <= ceiling);
        let reserved = &self.budget.reserved;
        let extended = reserved.fetch_update(Ordering::AcqRel, Ordering::Acquire, grow).is_ok();
        if extended {
            self.bytes = bytes;
        }
        extended
    }

    /// Extends the reservation for a body of which `received` bytes have arrived, and which has at most `max_bytes`. If
    /// it turns out to be large, all of these are reserved at once: bodies that grow together would wait for each other.
    pub fn grow_to(&mut self, received: usize, max_bytes: usize) -> bool {
        received <= self.bytes
            || self.extend_to(if received <= SMALL_BYTES { received } else { max_bytes })
    }

    /// Adjusts the reservation to an incomplete event of `bytes`, of which small ones are not reserved. Returns whether
    /// the budget allows it.
    pub fn hold_event(&mut self, bytes: usize, max_bytes: usize) -> bool {
        if bytes <= SMALL_BYTES {
            self.shrink_to(0);
            return true;
        }
        self.grow_to(bytes, max_bytes)
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.budget.reserved.fetch_sub(surplus, Ordering::AcqRel);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Error of a response that takes more memory than there is, or than is released in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// Memory for the body of a response as it is received. What does not fit stays at its backend server until there is room.
pub struct Intake<'a> {
    shared: &'a Shared,
    memory: Reservation,
    max_bytes: usize,
    deadline: Micros,
}

impl<'a> Intake<'a> {
    /// Creates the intake of a body of at most `max_bytes`, which waits for memory until `deadline`.
    pub fn new(shared: &'a Shared, max_bytes: usize, deadline: Micros) -> Self {
        let memory = Reservation::new(shared.memory.clone(), Use::Response);
        let max_bytes = shared.memory.largest(Use::Response).min(max_bytes);
        Intake { shared, memory, max_bytes, deadline }
    }

    /// Reserves memory for a body of this declared length.
    ///
    /// # Errors
    ///
    /// [`Exhausted`].
    pub async fn expect(&mut self, length: usize) -> Result<(), Exhausted> {
        self.grow(length, length).await
    }

    /// Reserves memory for a body of which `received` bytes have arrived.
    ///
    /// # Errors
    ///
    /// [`Exhausted`].
    pub async fn receive(&mut self, received: usize) -> Result<(), Exhausted> {
        self.grow(received, self.max_bytes).await
    }

    async fn grow(&mut self, bytes: usize, expected: usize) -> Result<(), Exhausted> {
        if bytes > self.max_bytes {
            return Err(Exhausted);
        }
        while !self.memory.grow_to(bytes, expected) {
            if clock::now() >= self.deadline {
                return Err(Exhausted);
            }
            self.shared.telemetry.count("drumusher.responses.held", &[]);
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// The reservation for a whole body of `bytes`.
    pub fn finish(mut self, bytes: usize) -> Reservation {
        self.memory.shrink_to(bytes);
        self.memory
    }
}
