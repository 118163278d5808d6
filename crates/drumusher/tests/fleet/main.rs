//! Integration tests that run instances as processes of their own, against stand-ins of the backend servers and of the
//! platform on threads of the test. Each file tests one guarantee; `docs/PROOFS.md` maps guarantees to tests.

mod at_most_once;
mod bad_input;
mod begun_streams;
mod complete_response;
mod configuration;
mod draining;
mod end_to_end;
mod engine_outages;
mod engine_pause;
mod failover;
mod isolation;
mod large_responses;
mod outage_series;
mod refusal;
mod shutdown;
mod starvation;
mod support;
mod tiers;
mod zone_partition;
