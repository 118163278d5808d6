//! Immutable snapshots that requests and decisions work on: the configuration in force and the directory of instances
//! and backend servers.

mod directory;
mod policy;
mod routing;

pub use directory::{Backend, Directory, Instance, Pool, Registration};
pub use policy::{Version, digest};
pub use routing::{Denial, Match, Routing};
