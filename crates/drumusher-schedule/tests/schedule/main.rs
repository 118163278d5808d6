//! Tests of the scheduling decisions.

mod await_copies;
mod begun;
mod brittle;
mod cache;
mod cooldown;
mod engine;
mod invariants;
mod load;
mod many_classes;
mod outage;
mod outlier;
mod pace;
mod partition;
mod pool;
mod prefill_kept;
mod rank;
mod rate_limit;
mod region;
mod retry;
mod reuse;
mod slack;
mod support;
mod transfer;
