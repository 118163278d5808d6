//! Limits the requests in flight at an instance: their number, and the memory for their bodies.

use std::sync::{Arc, atomic::Ordering};

use drumusher_schedule::time::MILLISECOND;
use ntex::{
    http::HeaderMap,
    time::{Millis, sleep},
};

use crate::{
    error::{Error, Kind},
    process::{
        Shared, clock,
        memory::{Reservation, Use},
    },
};

/// `Retry-After` of an instance that has reached its limit, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// The same where memory is short. Callers that were refused together return at different times, most of them at other
/// instances.
const MEMORY_RETRY_AFTER_MS: std::ops::Range<u64> = 250..1_000;

/// Interval at which a request whose body is read checks whether this instance is stopping.
const STOP_CHECK: Millis = Millis(250);

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlight {
    shared: Arc<Shared>,
    /// Memory for the body of the request.
    memory: Reservation,
    /// Maximum size of the body, in bytes.
    max_bytes: usize,
}

impl InFlight {
    /// Admits a request.
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] if the instance has reached its limit of requests in flight.
    pub fn new(shared: Arc<Shared>) -> Result<InFlight, Error> {
        let max = shared.settings.limits.requests;
        let before = shared.requests.fetch_add(1, Ordering::AcqRel);
        let memory = Reservation::new(shared.memory.clone(), Use::Request);
        let in_flight = InFlight { shared, memory, max_bytes: 0 };
        if before < max {
            return Ok(in_flight);
        }
        let message = "this instance has reached its limit of concurrent requests";
        Err(Error::new(Kind::Overloaded, message).with_retry_after(RETRY_AFTER_MS))
    }

    /// Reserves memory for the body of a request with these headers, of which at most `max_bytes` are read.
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] if the memory for bodies is taken, [`Kind::TooLarge`] if the body would never fit.
    pub fn with_body(mut self, headers: &HeaderMap, max_bytes: usize) -> Result<Self, Error> {
        let length = headers.get("content-length").and_then(|value| value.to_str().ok());
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        self.max_bytes = max_bytes.min(self.shared.memory.largest(Use::Request));
        self.extend_to(max_bytes.min(length))?;
        Ok(self)
    }

    /// Extends the reservation for the body to `bytes` in all.
    ///
    /// # Errors
    ///
    /// See [`InFlight::with_body`].
    pub fn extend_to(&mut self, bytes: usize) -> Result<(), Error> {
        self.check_size(bytes)?;
        if self.memory.extend_to(bytes) { Ok(()) } else { Err(memory_error()) }
    }

    /// Number of bytes of the body that are reserved.
    pub fn body_bytes(&self) -> usize {
        self.memory.bytes()
    }

    /// Reserves memory for a body of which `received` bytes have arrived.
    ///
    /// # Errors
    ///
    /// See [`InFlight::with_body`].
    pub fn receive(&mut self, received: usize) -> Result<(), Error> {
        self.check_size(received)?;
        let reserved = self.memory.grow_to(received, self.max_bytes);
        if reserved { Ok(()) } else { Err(memory_error()) }
    }

    fn check_size(&self, bytes: usize) -> Result<(), Error> {
        if bytes <= self.shared.memory.largest(Use::Request) {
            return Ok(());
        }
        let message = "the request body exceeds the memory of this instance for bodies";
        Err(Error::new(Kind::TooLarge, message))
    }

    /// Releases the memory beyond `bytes`, the length of the body that is held.
    pub fn hold_body(&mut self, bytes: usize) {
        self.memory.shrink_to(bytes);
    }

    /// Returns the state shared by the process.
    pub fn shared(&self) -> Arc<Shared> {
        self.shared.clone()
    }
}

/// Waits until no more of a request body is read, because it took too long or a planned stop no longer waits for it,
/// which `is_refused` tells. Returns the error to respond with.
pub async fn end_of_reading(shared: &Shared, is_refused: impl Fn() -> bool) -> Error {
    let until = clock::now() + shared.settings.limits.body_ms * MILLISECOND;
    while clock::now() < until {
        if is_refused() {
            return Error::stopping();
        }
        let left = until.saturating_sub(clock::now()) / MILLISECOND;
        sleep(Millis(left.clamp(1, u64::from(STOP_CHECK.0)) as u32)).await;
    }
    Error::new(Kind::BadRequest, "the request body was not received in time")
}

fn memory_error() -> Error {
    let message = "the memory of this instance for request bodies is taken";
    let retry_after_ms = rand::random_range(MEMORY_RETRY_AFTER_MS);
    Error::new(Kind::Overloaded, message).with_retry_after(retry_after_ms)
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
