//! What an engine tells of itself.

use crate::{Error, dialect::Part};

/// Asking engines.
pub trait Engines {
    /// The parts of prompts that the engine at `address` (`ip:port`) keeps.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn cached_parts(&self, address: &str) -> impl Future<Output = Result<Vec<Part>, Error>>;
}
