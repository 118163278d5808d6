//! Scheduling of one pool: which request runs on which backend server, and when.
//!
//! A *pool* is one model or plain service in one availability zone. [`pool::Pool`] holds the state
//! that one dispatcher has of it: waiting requests, running grants and what was learned about each
//! backend server. It takes typed [`event::Event`]s and returns typed [`order::Order`]s.
//!
//! The crate has no clock, thread, socket or random source of its own: the caller passes the time
//! with each event, so that every decision can be replayed and measured in virtual time.
//!
//! Limits: a pool has at most 65,535 backend servers, classes and workspaces.

pub mod ask;
pub mod engine;
pub mod event;
pub mod length;
pub mod order;
pub mod outlier;
pub mod partition;
pub mod policy;
pub mod pool;
pub mod queue;
pub mod rank;
pub mod region;
pub mod retry;
pub mod reuse;
pub mod server;
pub mod share;
pub mod time;
pub mod version;
