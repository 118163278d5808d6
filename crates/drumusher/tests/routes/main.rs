//! Tests of request routing against instances that run as separate processes. The store, the backend
//! servers and the rest of the users' platform are stand-ins on threads of the test process.

mod backend_faults;
mod brittle;
mod cells;
mod config;
mod crash_endings;
mod crashing_part;
mod duties;
mod engine_caches;
mod evacuation;
mod forwarding;
mod killed_servers;
mod large_bodies;
mod lost_paths;
mod mass_restart;
mod membership;
mod moved_streams;
mod notices;
mod order_soak;
mod planned_stop;
mod quarantine;
mod regions;
mod restore;
mod server_entries;
mod soak;
mod software_versions;
mod stop_end;
mod stop_soak;
mod streams;
mod support;
mod suspected_outages;
mod transfer;
mod uncertain_removals;
mod uneven_load;
mod version_spread;
mod warm_up;
