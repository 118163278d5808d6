//! Drumusher: a router of language-model traffic with service levels and priorities.
//!
//! This crate is the one shipped binary, split by life span: [`process`] holds what lives as long
//! as the process, [`version`] what is immutable between two changes of configuration or
//! membership, [`connection`] what lives as long as a connection to another instance, [`request`]
//! what lives as long as one caller's request. Where the platform keeps the configuration in a
//! store, [`routed`] takes the place of [`request`]: it passes requests through along routes, over
//! the connections of [`upstream`]. [`operator`] answers the operators' language, [`settings`] and
//! [`options`] read what an instance is started with, [`error`] is the closed list of errors that
//! callers see, and [`explain`] tells from log lines why a request ended as it did.

pub mod connection;
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
