//! Duties that only one instance performs at a time: reporting the usage of workspaces to the platform and
//! ordering backend servers from it. Also the register in the store by which the instances agree on the
//! holder of the duties.

use std::collections::BTreeMap;

use drumusher_log::position::Position;

use crate::{Error, clock::Micros};

/// The register in the store that names the holder of the duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Register {
    /// Position after its latest version; the expected position of a compare-and-swap.
    pub end: Position,
    /// Its content; `None` if it was never written.
    pub value: Option<String>,
}

/// Records that instances published.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Published {
    /// The records, in order.
    pub values: Vec<String>,
    /// The position from which to read on.
    pub next: Position,
    /// Whether there are more records than one read returns.
    pub more: bool,
    /// Whether the requested position was not available, so that the read started elsewhere and may repeat
    /// records that were read before.
    pub overlaps: bool,
}

/// The holder in whose name a call is made, with its fencing token.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// Name of the instance that holds the duties.
    pub holder: &'a str,
    /// Fencing token; increases whenever the holder changes.
    pub token: u64,
    /// Time on the clock of the process after which nothing may be sent.
    pub until: Micros,
}

/// The platform's response to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call was accepted.
    Accepted,
    /// The call conflicts with the current state: another instance holds the duties, or no such servers are
    /// available.
    Conflict,
    /// Temporary failure (status code), such as too many calls: the call may be repeated.
    Retry(u16),
    /// The call is invalid (status code); repeating it is of no use.
    Rejected(u16),
}

/// An order that sets the number of backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Availability zone.
    pub availability_zone: &'a str,
    /// Desired number of servers.
    pub count: u32,
    /// Whether spot servers are ordered: cheaper ones that the platform may reclaim.
    pub spot: bool,
}

/// The platform's operations that duties need.
pub trait Duties {
    /// Reads the register.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn register(&self) -> impl Future<Output = Result<Register, Error>>;

    /// Compare-and-swap: replaces the version of the register that ends at `expect`. Returns whether that was
    /// the latest one; otherwise nothing was written.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the write may have been done or may still be done. [`Error::Restored`] if it was done
    /// after the store was restored from a backup, and so replaced another version than intended.
    fn replace(&self, expect: Position, value: &str) -> impl Future<Output = Result<bool, Error>>;

    /// Publishes a record to all instances.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the record may have been published.
    fn publish(&self, value: &str) -> impl Future<Output = Result<(), Error>>;

    /// Reads the published records from a position on, or from the oldest one available.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn read_published(&self, from: Position) -> impl Future<Output = Result<Published, Error>>;

    /// Reports the usage of each workspace in one time window, given by its number.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the platform may have accepted the call.
    fn report(
        &self,
        caller: Caller<'_>,
        window: u64,
        counts: &BTreeMap<String, u64>,
    ) -> impl Future<Output = Result<Verdict, Error>>;

    /// Orders backend servers.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the platform may have accepted the call.
    fn order(
        &self,
        caller: Caller<'_>,
        order: Order<'_>,
    ) -> impl Future<Output = Result<Verdict, Error>>;
}
