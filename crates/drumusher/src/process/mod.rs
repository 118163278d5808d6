//! The process: its threads and the state that they share.
//!
//! | thread | responsibility |
//! |---|---|
//! | `http` workers | callers, operators, streams from backend servers |
//! | `peers` | connections to other instances; the broker with the asks this instance owns |
//! | `dispatch` | scheduling decisions for the pools this instance dispatches |
//! | `platform` | log, member list, load reports, appends; with a store, its tables |
//! | `status` | with a store: readiness probe, metrics, operators' statements |
//! | `signals` | SIGTERM, SIGINT and SIGHUP |
//! | `logs` | writes log lines to standard output |
//! | exporters | send spans and metrics to a collector, if one is configured |
//!
//! | module | responsibility |
//! |---|---|
//! | [`serve`] | startup and shutdown; the HTTP workers of the log-service deployment |
//! | [`routes`] | the store deployment: servers for callers and status, the store's thread |
//! | [`shared`] | state shared by the threads |
//! | [`broker`] | the asks this instance owns, and the dispatcher of each |
//! | [`dispatch`] | the pools this instance dispatches |
//! | [`peers`] | connections to other instances |
//! | [`platform`] | the configuration log, the member list, load reports |
//! | [`catalog`] | the platform's store: configuration of routes, backend servers, instances |
//! | `duties` | calls to the platform that only one instance makes at a time |
//! | [`explain`] | explanations of recent requests' outcomes |
//! | [`telemetry`] | metrics and trace spans |
//! | [`logs`] | logging |
//! | [`stop`] | times of a planned stop |
//! | [`memory`] | memory for the bodies of requests and responses |
//! | [`clock`] | the process's clock |
//! | [`counts`] | requests and retries by the time at which they were sent |
//! | [`notices`] | limits, back-off periods and departures announced by backend servers |
//!
//! The threads communicate through bounded queues. What a request sends once (its ask and its finish) is
//! always accepted, and is bounded by the number of requests in flight; reports that do not fit into a full
//! queue are dropped and counted.

pub mod broker;
pub mod catalog;
pub mod counts;
pub mod dispatch;
mod duties;
pub mod explain;
pub mod logs;
pub mod memory;
pub mod notices;
pub mod peers;
pub mod platform;
pub mod ring;
pub mod routes;
pub mod serve;
pub mod shared;
pub mod stop;
pub mod streams;
pub mod telemetry;

pub use drumusher_platform::clock;
pub use serve::run;
pub use shared::Shared;
