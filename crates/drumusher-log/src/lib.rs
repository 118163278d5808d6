//! Durable state, derived from the platform's append-only log.
//!
//! [`config`] is the operators' configuration. Every instance applies the same records in offset order, so that all
//! arrive at the same state, and at the same verdict on each command, without communicating. [`boot`] finds the
//! state to start from when old records are gone. [`claim`] decides, by log order alone, which attempt at a
//! non-repeatable request is the one that runs. [`quarantine`] holds records of requests that crash the backend
//! servers which run them. [`position`] is a position in a log of a store that may be restored from a backup.
//!
//! The crate has no clock, thread or socket. Records are JSON objects; unknown fields are ignored.

pub mod boot;
pub mod claim;
pub mod config;
pub mod position;
pub mod quarantine;
