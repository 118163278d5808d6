//! Duties that one instance at a time has towards the platform: telling who used how much, and ordering backend
//! servers; and the part of the store in which the instances agree on who has them.

use std::collections::BTreeMap;

use drumusher_log::position::Position;

use crate::{Error, clock::Micros};

/// The register that says who has the duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Register {
    /// The position after its latest version, by which that is replaced.
    pub end: Position,
    /// What it holds; `None` if nobody wrote it yet.
    pub value: Option<String>,
}

/// What instances told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Published {
    /// In the order in which it came.
    pub values: Vec<String>,
    /// The position from which to read on.
    pub next: Position,
    /// Whether more was told than one read brings.
    pub more: bool,
    /// Whether it begins before the position that was asked for, since that is not there any more: some of it may have
    /// been read before.
    pub overlaps: bool,
}

/// Who makes a call of a duty.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The instance that has the duty.
    pub holder: &'a str,
    /// Rises whenever another instance has it.
    pub token: u64,
    /// Nothing is sent after this, on the clock of the process.
    pub until: Micros,
}

/// What the platform says of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took it.
    Accepted,
    /// It will not, as things stand: another has the duty, or there are no such servers to be had.
    Conflict,
    /// Not now: too many calls, or it cannot.
    Retry(u16),
    /// It does not understand the call; sent again it fares no better.
    Rejected(u16),
}

/// An order of backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// The service.
    pub service: &'a str,
    /// The availability zone.
    pub availability_zone: &'a str,
    /// How many there are to be.
    pub count: u32,
    /// Whether they are cheaper ones, which may be taken away.
    pub spot: bool,
}

/// What instances that share duties need of the platform.
pub trait Duties {
    /// Reads the register.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn register(&self) -> impl Future<Output = Result<Register, Error>>;

    /// Replaces the version of the register that ends at `expect`. Returns whether that was the latest one; if
    /// not, nothing was done.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; it may have been done then, or be done later. [`Error::Restored`] if it was done after the store came
    /// back from a copy, in place of another version than was meant.
    fn replace(&self, expect: Position, value: &str) -> impl Future<Output = Result<bool, Error>>;

    /// Tells the other instances something.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; it may have been told then.
    fn publish(&self, value: &str) -> impl Future<Output = Result<(), Error>>;

    /// Reads what instances told from a position on, or from the oldest that is kept.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn read_published(&self, from: Position) -> impl Future<Output = Result<Published, Error>>;

    /// Reports what each workspace used in a window.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the platform may have taken it then.
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
    /// Any [`Error`]; the platform may have taken it then.
    fn order(
        &self,
        caller: Caller<'_>,
        order: Order<'_>,
    ) -> impl Future<Output = Result<Verdict, Error>>;
}
