//! Tests of the decisions.

mod engine;
mod invariants;
mod outlier;
mod pool;
mod rank;
mod retry;
mod sides;
mod source;
mod support;
