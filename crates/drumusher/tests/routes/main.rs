//! Tests of requests along routes, on separate processes: instances and, on threads of the test,
//! stand-ins of the users' platform.

mod backend_faults;
mod config;
mod duties;
mod forwarding;
mod membership;
mod notices;
mod planned_stop;
mod quarantine;
mod restore;
mod server_entries;
mod soak;
mod streams;
mod support;
mod transfer;
mod uncertain_removals;
