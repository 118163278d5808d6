//! Queries to model engines.

use crate::{Error, dialect::Part};

/// Queries to model engines.
pub trait Engines {
    /// The parts of prompts in the cache of the engine at `address` (`ip:port`).
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn cached_parts(&self, address: &str) -> impl Future<Output = Result<Vec<Part>, Error>>;
}
