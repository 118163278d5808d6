//! What lives as long as the process: its threads and what they share.
//!
//! | thread | duty |
//! |---|---|
//! | `http` workers | callers, operators, streams from backend servers |
//! | `peers` | connections to other instances; the asks this instance owns |
//! | `dispatch` | decisions for the pools this instance dispatches |
//! | `platform` | log, list, load reports, appends; with a store, its tables |
//! | `status` | with a store: whether the instance is ready, and its metrics |
//! | `signals` | the orders to stop |
//! | `logs` | log lines to standard output |
//! | exporters | spans and metrics to a collector, if one is set |
//!
//! | module | duty |
//! |---|---|
//! | [`serve`] | starts the threads and ends them; the HTTP workers of the log-service deployment |
//! | [`routes`] | the same side of the store deployment: callers, status, the store's thread |
//! | [`shared`] | what the threads share |
//! | [`broker`] | the asks this instance owns, and which dispatcher has each |
//! | [`dispatch`] | the pools this instance dispatches |
//! | [`peers`] | connections to other instances |
//! | [`platform`] | the configuration log, the list of instances, load reports |
//! | [`catalog`] | the platform's store: configuration of routes, backend servers, instances |
//! | `duties` | what one instance at a time does for the platform |
//! | [`explain`] | why each recent request fared as it did |
//! | [`telemetry`] | metrics and spans |
//! | [`logs`] | log lines |
//! | [`clock`] | the process's clock |
//! | [`counts`] | requests and repeats by the time at which they were sent |
//! | [`notices`] | what backend servers last said of themselves |
//!
//! The threads are joined by bounded rings. What a request does once (its ask and its finish) always
//! passes, and is bounded by the number of requests held; reports that a full ring refuses are
//! dropped and counted.

pub mod broker;
pub mod catalog;
pub mod counts;
pub mod dispatch;
mod duties;
pub mod explain;
pub mod logs;
pub mod notices;
pub mod peers;
pub mod platform;
pub mod ring;
pub mod routes;
pub mod serve;
pub mod shared;
pub mod telemetry;

pub use drumusher_platform::clock;
pub use serve::run;
pub use shared::Shared;
