//! The dispatch requests of this instance, and which dispatcher has each of them. A dispatch request is sent as an `Ask`
//! message, an *ask* for short. Without I/O: the peers thread passes
//! in the messages and sends the resulting ones.

mod crash;
mod delegation;
mod table;
mod view;
mod wire;

use std::sync::Arc;

use drumusher_log::quarantine::Digest;
use drumusher_schedule::ask::{Id, Part};
use drumusher_wire::peer::Message;

pub use crash::{Break, Crash, Crashes};
pub use delegation::{BudgetReport, Delegations};
pub use table::Table;
pub use view::View;

use crate::{
    process::{notices, ring, streams},
    version::Pool,
};

/// Capacity of the ring for progress reports, in messages. New requests and ends of requests may exceed it.
const RING_CAPACITY: usize = 16_384;

/// A message to the broker.
#[derive(Debug)]
pub enum Input {
    /// A new request, to be dispatched.
    Open(Box<DispatchRequest>),
    /// A request ended or was given up: its outcome (the wire's number) and the tokens delivered.
    Finish(Id, i16, u32),
    /// A progress report of a running attempt.
    Progress(Id, Report),
    /// A backend server crashed while it ran a request.
    Crash(Box<Crash>),
    /// An attempt broke or was given up at a backend server that may have crashed.
    Break(Box<Break>),
    /// A backend server announced a limit, a rest or its departure.
    Notice(Box<notices::Record>),
    /// The directory of instances and backend servers changed.
    Changed,
}

/// A progress report of a running attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Total tokens delivered.
    pub produced: u32,
    /// Microseconds from sending the request to the first token; set in one report only.
    pub first_token: Option<u64>,
    /// Mean microseconds between tokens since the last report.
    pub gap: u64,
}

/// The backend server that a request is to run on.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The backend server.
    pub server: Arc<str>,
    /// The backend server from which that one fetches the cached part of the prompt.
    pub source: Option<Arc<str>>,
    /// Expected microseconds to the first event; 0 if unknown.
    pub expected: u64,
    /// The dispatcher that granted it.
    pub dispatcher: Arc<str>,
    /// Whether the request is on trial and the only trial on that server.
    pub alone: bool,
    /// What the dispatcher knows of the backend server's rate limit.
    pub known_limit: notices::KnownLimit,
    /// The software version that began the stream with which the request goes on.
    pub version: Option<Arc<str>>,
    /// The urgency of the request inside the engine, if it is not the priority of its route.
    pub urgency: Option<u8>,
}

/// A dispatcher's reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The request may run on a backend server.
    Grant(Grant),
    /// The request is refused: the reason (the wire's number), and the microseconds after which to try again.
    Refuse(i16, u64),
    /// The attempt must stop; the request is to be dispatched again.
    Preempt,
}

/// A dispatcher's decision on a request that waits for one.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request may run on a backend server.
    Granted(Grant),
    /// Refused: the reason (the wire's number), and the microseconds after which to try again.
    Refused(i16, u64),
    /// No decision arrived in time.
    Expired,
    /// This instance stops before a decision arrived.
    Stopping,
}

impl Reply {
    /// The decision that it brings; `None` for a preemption.
    pub fn into_decision(self) -> Option<Decision> {
        match self {
            Reply::Grant(grant) => Some(Decision::Granted(grant)),
            Reply::Refuse(refusal, retry_after) => Some(Decision::Refused(refusal, retry_after)),
            Reply::Preempt => None,
        }
    }
}

/// How a dispatch request relates to earlier ones for the same request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Attempt {
    /// It is the first one, and counts as a request.
    #[default]
    First,
    /// The request was dispatched before, but not sent to a backend server.
    Resent,
    /// The request was sent to a backend server before: it counts against the retry budget.
    Retry,
}

impl Attempt {
    /// Decodes the wire's number. An unknown one, from a newer version, counts as a retry.
    pub fn from_wire(number: i16) -> Self {
        match number {
            0 => Attempt::First,
            1 => Attempt::Resent,
            _ => Attempt::Retry,
        }
    }
}

/// A stream that its caller may take up again, as its entry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Tells it from others.
    pub key: streams::Key,
    /// Until when its caller waits, on the process's clock.
    pub until: u64,
    /// Whether the caller has a part of it.
    pub resumed: bool,
    /// Whether the caller named the attempt that began it.
    pub named: bool,
    /// The software version that began it, if known.
    pub version: Option<Arc<str>>,
}

/// A request to be dispatched, as its entry keeps it.
#[derive(Clone, Debug)]
pub struct DispatchRequest {
    /// The request.
    pub id: Id,
    /// Its pool.
    pub pool: Pool,
    /// The area whose dispatcher gets the request.
    pub area: Arc<str>,
    /// Its workspace.
    pub workspace: Arc<str>,
    /// Its class.
    pub class: Arc<str>,
    /// When it arrived, in microseconds on the process's clock.
    pub arrived: u64,
    /// Estimated prompt tokens.
    pub prompt: u32,
    /// Salted hash of the prompt's prefix; 0 for none.
    pub prefix: u64,
    /// Tokens delivered by earlier attempts.
    pub produced: u32,
    /// Whether it may be sent to a backend server more than once.
    pub repeatable: bool,
    /// How often it was preempted.
    pub preemptions: u8,
    /// The backend server of the latest failed attempt.
    pub avoid: Option<Arc<str>>,
    /// Expected tokens of the answer; 0 without a hint.
    pub output: u32,
    /// When its caller stops waiting for the answer, on the process's clock; `None` if unknown.
    pub deadline: Option<u64>,
    /// The parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// How it relates to earlier dispatch requests.
    pub attempt: Attempt,
    /// Digest that identifies the content when the request is sent again, if quarantine applies to it.
    pub digest: Option<Digest>,
    /// The stream, if it may be taken up again.
    pub stream: Option<Stream>,
    /// Receives the replies.
    pub replies: async_channel::Sender<Reply>,
}

/// The sending end of the broker's ring.
#[derive(Clone)]
pub struct Sender {
    inner: ring::TaskSender<Input>,
}

/// The receiving end of the broker's ring.
pub type Receiver = ring::TaskReceiver<Input>;

/// Creates the broker's ring.
pub fn ring() -> (Sender, Receiver) {
    let (inner, receiver) = ring::to_task(RING_CAPACITY);
    (Sender { inner }, receiver)
}

impl Sender {
    /// Sends a message that must not be dropped, even if the ring is full: one new request and one end per grant. The
    /// limit on requests bounds their number.
    pub fn send(&self, input: Input) {
        // The receiver is dropped only when the process ends.
        let _ = self.inner.send(input);
    }

    /// Sends a message unless the ring is full. Returns whether it was sent.
    pub fn try_send(&self, input: Input) -> bool {
        self.inner.try_send(input).is_ok()
    }
}

/// A message that the peers thread is to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receiving instance; the name of this instance stands for its dispatch thread.
    pub to: Arc<str>,
    /// The message.
    pub message: Message,
}

/// The wire's number of the outcome of an attempt that was cancelled, such as when its caller disconnected.
pub const CANCELLED: i16 = 1;
