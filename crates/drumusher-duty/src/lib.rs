//! Duties that one instance at a time has: telling the platform who used how much, and ordering backend
//! servers.
//!
//! [`lease`] decides which instance may act, and until when. [`usage`] counts what each workspace used by
//! windows of time, and which window is to be reported next. [`sizing`] decides how many backend servers each
//! availability zone is to have.
//!
//! The crate has no clock, thread, socket or random source: the caller passes the time of its steady clock with
//! each call, and carries out what it is told. What outlives an instance stands in one register of the platform's
//! store, which is replaced only by who knows its latest version.

pub mod lease;
pub mod sizing;
pub mod time;
pub mod usage;
