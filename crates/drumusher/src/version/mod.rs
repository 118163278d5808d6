//! What is immutable between two changes: the configuration in force and who is there.

mod directory;
mod policy;
mod routing;

pub use directory::{Backend, Directory, Instance, Pool};
pub use policy::{Version, digest};
pub use routing::{Denial, Match, Routing};
