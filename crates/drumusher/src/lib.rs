//! Drumusher: a router of language-model traffic with service levels and priorities.
//!
//! This crate is the shipped binary. Its modules are split by lifetime: [`process`] holds what lives as long as the
//! process, [`version`] immutable snapshots of configuration and membership, [`connection`] the connections between
//! instances, [`client_connections`] those of clients, [`request`] the state of one client request, and [`delivery`] the
//! bodies of responses on their way. If the
//! platform keeps the configuration in a store, [`routed`] takes the place of [`request`]: it is a reverse proxy that
//! forwards requests along routes over the connections of [`upstream`]. [`operator`] executes the operators' query
//! language, [`settings`] and [`options`] read the settings file and the command line, [`error`] lists the errors that
//! clients receive, and [`explain`] and [`summary`] determine from log lines how requests ended.

pub mod client_connections;
pub mod connection;
pub mod delivery;
pub mod error;
pub mod explain;
pub mod operator;
pub mod options;
pub mod process;
pub mod request;
pub mod routed;
pub mod settings;
pub mod summary;
pub mod upstream;
pub mod version;
