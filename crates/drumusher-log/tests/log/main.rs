//! Tests of the state derived from the log.

mod boot;
mod claim;
mod config;
mod quarantine;
mod support;
