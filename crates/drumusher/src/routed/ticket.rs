//! One request's place at the dispatcher.

use std::sync::Arc;

use drumusher_log::quarantine::Digest;
use drumusher_schedule::{
    ask::{Id, Outcome, Part},
    time::{MILLISECOND, Micros},
};
use ntex::time::{Millis, timeout};

use crate::{
    process::{
        Shared,
        broker::{Attempt, CANCELLED, DispatchRequest, Grant, Input, Reply, Report},
        clock,
    },
    version::Pool,
};

/// Time between two looks at the clock of a request that waits: a part of the tightest target.
const LOOK: Millis = Millis(100);
/// Replies that may wait for a request.
const REPLIES: usize = 8;

/// What the dispatcher is told about a request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The pool it wants to run in.
    pub pool: Pool,
    /// Its workspace.
    pub workspace: Arc<str>,
    /// Its class.
    pub class: Arc<str>,
    /// When it arrived.
    pub arrived: Micros,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Expected tokens of its answer.
    pub output: u32,
    /// The parts of its prompt.
    pub parts: Vec<Part>,
    /// Whether it may be handed over again although it may have run.
    pub repeatable: bool,
    /// What tells it from others when it comes anew.
    pub digest: Digest,
}

/// What the dispatcher decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Run on a backend server.
    Run(Grant),
    /// Refused: number of the reason as on the wire, and when to come back.
    Refused(i16, Micros),
    /// Nothing was decided in time.
    Expired,
}

/// One request's place at the dispatcher; given back when it is dropped.
pub struct Ticket {
    shared: Arc<Shared>,
    id: Id,
    ask: Ask,
    sender: async_channel::Sender<Reply>,
    replies: async_channel::Receiver<Reply>,
    /// Whether the dispatcher has the ask or a grant for it.
    open: bool,
    produced: u32,
}

impl Ticket {
    /// A request that was not asked for yet.
    pub fn new(shared: Arc<Shared>, id: Id, ask: Ask) -> Self {
        let (sender, replies) = async_channel::bounded(REPLIES);
        Ticket { shared, id, ask, sender, replies, open: false, produced: 0 }
    }

    /// Its identity at the dispatcher.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Asks, and waits until `until` for the decision.
    pub async fn decide(
        &mut self,
        avoid: Option<Arc<str>>,
        attempt: Attempt,
        until: Micros,
    ) -> Decision {
        while self.replies.try_recv().is_ok() {}
        self.open = true;
        self.shared.broker.send(Input::Open(Box::new(self.own(avoid, attempt))));
        loop {
            // Timers stand still while the machine is suspended, and the time of a request does not.
            let left = until.saturating_sub(clock::now()) / MILLISECOND;
            let slice = left.clamp(1, u64::from(LOOK.0)) as u32;
            let reply = timeout(Millis(slice), self.replies.recv()).await;
            match reply {
                Err(()) if clock::now() + MILLISECOND <= until => {}
                Ok(Ok(Reply::Grant(grant))) => return Decision::Run(grant),
                Ok(Ok(Reply::Refuse(refusal, retry_after))) => {
                    self.open = false;
                    return Decision::Refused(refusal, retry_after);
                }
                // An order to stop the attempt that ended before this ask.
                Ok(Ok(Reply::Preempt)) => {}
                Ok(Err(_)) | Err(()) => {
                    self.end(Outcome::Cancelled);
                    return Decision::Expired;
                }
            }
        }
    }

    fn own(&self, avoid: Option<Arc<str>>, attempt: Attempt) -> DispatchRequest {
        let ask = &self.ask;
        DispatchRequest {
            id: self.id,
            pool: ask.pool.clone(),
            area: self.shared.area.clone(),
            workspace: ask.workspace.clone(),
            class: ask.class.clone(),
            arrived: ask.arrived,
            prompt: ask.prompt,
            prefix: 0,
            produced: self.produced,
            repeatable: ask.repeatable,
            preemptions: 0,
            avoid,
            output: ask.output,
            parts: ask.parts.clone(),
            attempt,
            digest: Some(ask.digest),
            replies: self.sender.clone(),
        }
    }

    /// Reports on the running attempt: events so far, the time to the first one, once, and the mean
    /// pause since the last report.
    pub fn report(&mut self, produced: u32, first: Option<Micros>, gap: Micros) {
        self.produced = produced;
        let report = Report { produced, first_token: first, gap };
        if !self.shared.broker.try_send(Input::Progress(self.id, report)) {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "broker")]);
        }
    }

    /// Says how the attempt ended; its place is free.
    pub fn end(&mut self, outcome: Outcome) {
        if std::mem::take(&mut self.open) {
            self.shared.broker.send(Input::Finish(self.id, outcome as i16, self.produced));
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.open {
            self.shared.broker.send(Input::Finish(self.id, CANCELLED, self.produced));
        }
    }
}
