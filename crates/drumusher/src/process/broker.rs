//! The asks this instance owns, and which dispatcher has each. Without I/O: the peers thread feeds
//! it and carries out what it says.

mod crash;
mod loan;
mod table;
mod view;
mod wire;

use std::sync::Arc;

use drumusher_log::quarantine::Digest;
use drumusher_schedule::ask::{Id, Part};
use drumusher_wire::peer::Message;

pub use crash::{Crash, Crashes};
pub use loan::{Delegations, Offer};
pub use table::Table;
pub use view::View;

use crate::{
    process::{notices, ring},
    version::Pool,
};

/// Places in the ring that reports may take; asks and finishes may exceed it.
const RING: usize = 16_384;

/// What a request tells the broker.
#[derive(Debug)]
pub enum Input {
    /// It wants to run.
    Open(Box<DispatchRequest>),
    /// It no longer wants to, or ended: outcome as on the wire, and tokens delivered.
    Finish(Id, i16, u32),
    /// A report on its running attempt.
    Progress(Id, Report),
    /// A backend server ended while it ran a request.
    Crash(Box<Crash>),
    /// A backend server said something of itself.
    Notice(Box<notices::Record>),
    /// The directory changed.
    Changed,
}

/// A report on a running attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Tokens delivered in all.
    pub produced: u32,
    /// Microseconds from handing over to the first token, once.
    pub first_token: Option<u64>,
    /// Mean microseconds between tokens since the last report.
    pub gap: u64,
}

/// Where a request is to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The backend server.
    pub server: Arc<str>,
    /// The backend server from which that one takes over what is kept there of the prompt.
    pub source: Option<Arc<str>>,
    /// Microseconds that the first event is expected to take; 0 if nothing is known.
    pub expected: u64,
    /// The dispatcher that granted it.
    pub dispatcher: Arc<str>,
    /// Whether it is on trial there, apart from others.
    pub alone: bool,
    /// What its dispatcher knows of a limit of the backend server.
    pub known_limit: notices::KnownLimit,
}

/// What a request is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Run on a backend server.
    Grant(Grant),
    /// Refused: number of the reason as on the wire, and microseconds until to come back.
    Refuse(i16, u64),
    /// Stop the attempt and ask again.
    Preempt,
}

/// What came before an ask for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Attempt {
    /// Nothing: it counts as a request.
    #[default]
    First,
    /// It was asked for before, but not handed over.
    Resent,
    /// It was handed over before: it counts as a repeat.
    Retry,
}

impl Attempt {
    /// Its number on the wire; one that is not known, of a later version, counts as a repeat.
    pub fn from_wire(number: i16) -> Self {
        match number {
            0 => Attempt::First,
            1 => Attempt::Resent,
            _ => Attempt::Retry,
        }
    }
}

/// An ask as its entry owns it.
#[derive(Clone, Debug)]
pub struct DispatchRequest {
    /// The request.
    pub id: Id,
    /// Its pool.
    pub pool: Pool,
    /// The area whose dispatcher is asked.
    pub area: Arc<str>,
    /// Its workspace.
    pub workspace: Arc<str>,
    /// Its class.
    pub class: Arc<str>,
    /// When it arrived, on the process's clock.
    pub arrived: u64,
    /// Estimated prompt tokens.
    pub prompt: u32,
    /// Salted hash of the prompt's beginning; 0 for none.
    pub prefix: u64,
    /// Tokens delivered by earlier attempts.
    pub produced: u32,
    /// Whether it may be handed over more than once.
    pub repeatable: bool,
    /// How often it was preempted.
    pub preemptions: u8,
    /// The backend server whose attempt failed last.
    pub avoid: Option<Arc<str>>,
    /// Expected tokens of the answer; 0 for no hint.
    pub output: u32,
    /// The parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// What came before this ask.
    pub attempt: Attempt,
    /// What tells it from others when it comes anew, if that is looked at.
    pub digest: Option<Digest>,
    /// Where replies go.
    pub replies: async_channel::Sender<Reply>,
}

/// The sending end of the broker's ring.
#[derive(Clone)]
pub struct Sender {
    inner: ring::TaskSender<Input>,
}

/// The receiving end of the broker's ring.
pub type Receiver = ring::TaskReceiver<Input>;

/// The broker's ring.
pub fn ring() -> (Sender, Receiver) {
    let (inner, receiver) = ring::to_task(RING);
    (Sender { inner }, receiver)
}

impl Sender {
    /// Sends what must pass: one ask and one finish for each grant of each request held, which the
    /// limit on requests bounds.
    pub fn send(&self, input: Input) {
        // A ring whose receiver is gone belongs to a process that ends.
        let _ = self.inner.send(input);
    }

    /// Sends a report unless the ring is full. Returns whether it was sent.
    pub fn try_send(&self, input: Input) -> bool {
        self.inner.try_send(input).is_ok()
    }
}

/// What the peers thread is to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// The instance to send to; the own name for the own dispatcher.
    pub to: Arc<str>,
    /// What to send.
    pub message: Message,
}

/// The wire's number for an attempt that ended because the caller went away.
pub const CANCELLED: i16 = 1;
