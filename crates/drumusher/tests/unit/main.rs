//! Tests of the crate's modules that start no process.

mod arrival_token;
mod attempt;
mod backoff;
mod broker;
mod budget;
mod catalog;
mod directory;
mod explain;
mod failures;
mod fetch;
mod hosted_pool;
mod notices;
mod options;
mod preemption;
mod records;
mod registrations;
mod replica;
mod requesters;
mod response;
mod ring;
mod routing;
mod settings;
mod sse;
mod summary;
mod trials;
mod uploads;
