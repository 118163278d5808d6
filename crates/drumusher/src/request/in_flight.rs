//! Counting the requests that an instance holds.

use std::sync::{Arc, atomic::Ordering};

use crate::{
    error::{Error, Kind},
    process::Shared,
};

/// When to come back to an instance that holds too many, in milliseconds.
const AGAIN_MS: u64 = 1_000;

/// Counts a request as held while it lives.
pub struct InFlight(Arc<Shared>);

impl InFlight {
    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] if the instance holds as many as it may.
    pub fn new(shared: Arc<Shared>) -> Result<InFlight, Error> {
        let most = shared.settings.limits.requests;
        let before = shared.requests.fetch_add(1, Ordering::AcqRel);
        let in_flight = InFlight(shared);
        if before < most {
            return Ok(in_flight);
        }
        let message = "this instance holds as many requests as it may";
        Err(Error::new(Kind::Overloaded, message).with_retry_after(AGAIN_MS))
    }

    /// What the process shares.
    pub fn shared(&self) -> Arc<Shared> {
        self.0.clone()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
