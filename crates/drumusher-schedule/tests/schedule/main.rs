//! Tests of the scheduling decisions.

mod begun;
mod brittle;
mod cache_changes;
mod cooldown;
mod engine;
mod invariants;
mod load;
mod many_classes;
mod outage;
mod outlier;
mod partition;
mod pool;
mod rank;
mod rate_limit;
mod region;
mod retry;
mod slack;
mod support;
mod transfer;
