//! Model and service requests: parsing, scheduling through the dispatcher, attempts and responses.

pub mod arrival_token;
pub mod attempt;
pub mod claim;
pub mod completion;
pub mod failures;
pub mod grant;
pub mod head;
pub mod http;
pub mod id;
pub mod in_flight;
pub mod lifecycle;
pub mod response;
pub mod retry;
pub mod service;
pub mod sse;
pub mod stream;
pub mod trace;
pub mod watch;
