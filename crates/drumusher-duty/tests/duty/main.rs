//! Tests of the lease, the usage counts and the autoscaler.

mod lease;
mod partition;
mod schedules;
mod sizing;
mod usage;
