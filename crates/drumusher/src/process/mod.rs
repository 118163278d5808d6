//! What lives as long as the process: its threads and what they share.
//!
//! | thread | duty |
//! |---|---|
//! | `http` workers | callers, operators, streams from backend servers |
//! | `peers` | connections to other instances; the asks this instance owns |
//! | `dispatch` | decisions for the pools this instance dispatches |
//! | `platform` | log, list, load reports, appends |
//! | exporters | spans and metrics to a collector, if one is set |
//!
//! They are joined by bounded rings. What a request does once (its ask and its finish) always
//! passes, and is bounded by the number of requests held; reports that a full ring refuses are
//! dropped and counted.

pub mod broker;
pub mod catalog;
pub mod clock;
pub mod dispatch;
pub mod explain;
pub mod logs;
pub mod peers;
pub mod platform;
pub mod routes;
pub mod serve;
pub mod shared;
pub mod telemetry;

pub use serve::run;
pub use shared::Shared;
