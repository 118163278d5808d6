//! The operators' configuration, as the result of applying commands in order.

mod object;
mod record;
mod state;

pub use object::{Class, Engine, Field, Object, Service, Workspace};
pub use record::{Change, Kind, Record, Value, Verb, Verdict};
pub use state::{Command, State, Versioned, apply};
