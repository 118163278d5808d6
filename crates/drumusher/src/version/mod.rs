//! Immutable snapshots that requests and decisions work on: the configuration in force and the directory of instances
//! and backend servers.

mod backends;
mod cell;
mod directory;
mod policy;
mod pool;
mod routing;

pub use backends::Backends;
pub use cell::{Cell, Cells, Part};
pub use directory::{Backend, Directory, Instance, Registration};
pub use policy::{Version, digest};
pub use pool::Pool;
pub use routing::{Denial, Match, Routing};
