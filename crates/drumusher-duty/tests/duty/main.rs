//! Tests of the duties.

mod holding;
mod lease;
mod sizing;
mod usage;
