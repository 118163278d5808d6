//! Duties that one instance of a fleet performs at a time: reporting usage to the platform, and autoscaling of backend
//! servers.
//!
//! [`lease`] decides which instance may act, and until when. [`usage`] counts the requests of each workspace by windows
//! of time, and decides which window is to be reported next. [`sizing`] decides how many backend servers each
//! availability zone is to have.
//!
//! The crate has no clock, thread, socket or random source: the caller passes the time of its monotonic clock to each
//! call and executes the returned steps. The state that outlives an instance is in one register of the platform's
//! store, which is replaced by compare-and-swap on its version.

pub mod lease;
pub mod sizing;
pub mod time;
pub mod usage;
