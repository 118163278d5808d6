//! Tests of the scheduling decisions.

mod begun;
mod brittle;
mod burst;
mod cooldown;
mod engine;
mod invariants;
mod load;
mod many_classes;
mod outage;
mod outlier;
mod partition;
mod play;
mod pool;
mod rank;
mod rate_limit;
mod read_ahead;
mod region;
mod retry;
mod shares;
mod slack;
mod support;
mod transfer;
mod unmeetable;
