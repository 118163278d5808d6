//! What lives as long as one caller's request.

pub mod answer;
pub mod arrival_token;
pub mod attempt;
pub mod claim;
pub mod completion;
pub mod flow;
pub mod head;
pub mod http;
pub mod id;
pub mod in_flight;
pub mod retry;
pub mod service;
pub mod sse;
pub mod stream;
pub mod trace;
