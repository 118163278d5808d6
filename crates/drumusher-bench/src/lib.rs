//! Stand-ins for the systems around `drumusher`, a load generator and benchmarks, for development only.
//!
//! [`stand_in`] has a small stand-in for each external system, which can inject faults at run time. [`fleet`] starts
//! stand-ins and instances on free ports. [`load`] sends open-loop or closed-loop load and reports attainment and
//! goodput. [`policy`] compares the scheduling decisions with baselines in virtual time. [`capacity`] measures how
//! costs grow with size, as summarized in `docs/CAPACITY.md`. [`overhead`] and [`failover`] measure latency on separate
//! processes, and [`demo`] shows a small fleet at work.

pub mod capacity;
pub mod client;
pub mod demo;
pub mod failover;
pub mod fleet;
pub mod load;
pub mod overhead;
pub mod policy;
pub mod stand_in;
