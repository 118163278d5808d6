//! Limits the number of requests in flight at an instance.

use std::sync::{Arc, atomic::Ordering};

use crate::{
    error::{Error, Kind},
    process::Shared,
};

/// `Retry-After` of an instance that has reached its limit, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlight(Arc<Shared>);

impl InFlight {
    /// Admits a request.
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] if the instance has reached its limit of requests in flight.
    pub fn new(shared: Arc<Shared>) -> Result<InFlight, Error> {
        let max = shared.settings.limits.requests;
        let before = shared.requests.fetch_add(1, Ordering::AcqRel);
        let in_flight = InFlight(shared);
        if before < max {
            return Ok(in_flight);
        }
        let message = "this instance has reached its limit of concurrent requests";
        Err(Error::new(Kind::Overloaded, message).with_retry_after(RETRY_AFTER_MS))
    }

    /// Returns the state shared by the process.
    pub fn shared(&self) -> Arc<Shared> {
        self.0.clone()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
