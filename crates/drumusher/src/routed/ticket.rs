//! A request's registration with the dispatcher.

use std::sync::{Arc, atomic::Ordering};

use drumusher_log::quarantine::Digest;
use drumusher_schedule::{
    ask::{Id, Outcome, Part},
    time::{MILLISECOND, Micros},
};
use ntex::time::{Millis, timeout};

use crate::{
    process::{
        Shared,
        broker::{Attempt, CANCELLED, Decision, DispatchRequest, Input, Reply, Report, Stream},
        clock,
    },
    version::Pool,
};

/// Interval at which a waiting request checks the clock; shorter than the tightest latency target.
const CLOCK_CHECK: Millis = Millis(100);
/// Capacity of the channel for dispatcher replies.
const REPLY_CAPACITY: usize = 8;

/// Properties of a request that the dispatcher schedules by.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Pool of backend servers to run in.
    pub pool: Pool,
    /// Workspace of the client.
    pub workspace: Arc<str>,
    /// Traffic class.
    pub class: Arc<str>,
    /// Arrival time.
    pub arrived: Micros,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Expected response length in tokens.
    pub output: u32,
    /// Segments of the prompt, by which the dispatcher finds cached prefixes.
    pub parts: Vec<Part>,
    /// Whether it may be sent again although a backend server may already have run it.
    pub repeatable: bool,
    /// Digest that recognises repeated submissions of the same request.
    pub digest: Digest,
    /// The stream, if it may be taken up again.
    pub stream: Option<Stream>,
}

/// A request's registration with the dispatcher; dropping it cancels the request or releases its grant.
pub struct Ticket {
    shared: Arc<Shared>,
    id: Id,
    spec: Spec,
    sender: async_channel::Sender<Reply>,
    replies: async_channel::Receiver<Reply>,
    /// Whether the dispatcher holds a pending request or a grant for it.
    outstanding: bool,
    produced: u32,
}

impl Ticket {
    /// Creates a ticket without contacting the dispatcher.
    pub fn new(shared: Arc<Shared>, id: Id, spec: Spec) -> Self {
        let (sender, replies) = async_channel::bounded(REPLY_CAPACITY);
        Ticket { shared, id, spec, sender, replies, outstanding: false, produced: 0 }
    }

    /// The request's identity at the dispatcher.
    pub fn id(&self) -> Id {
        self.id
    }

    /// The pool in which it runs.
    pub fn pool(&self) -> &Pool {
        &self.spec.pool
    }

    /// The parts of its prompt.
    pub fn parts(&self) -> &[Part] {
        &self.spec.parts
    }

    /// The stream, if it may be taken up again.
    pub fn stream(&self) -> Option<&Stream> {
        self.spec.stream.as_ref()
    }

    /// Binds the stream to the software version that began it.
    pub fn bind_stream(&mut self, version: &Arc<str>) {
        if let Some(stream) = &mut self.spec.stream {
            (stream.resumed, stream.version) = (true, Some(version.clone()));
        }
    }

    /// Turns to another pool of the same service. The dispatcher of the previous one must hold nothing for the request.
    pub fn set_pool(&mut self, pool: Pool) {
        self.spec.pool = pool;
    }

    /// Requests a grant and waits for the decision until `until`.
    pub async fn request_grant(
        &mut self,
        avoid: Option<Arc<str>>,
        attempt: Attempt,
        until: Micros,
    ) -> Decision {
        while self.replies.try_recv().is_ok() {}
        if self.is_refused_by_stop() {
            return Decision::Stopping;
        }
        self.outstanding = true;
        self.shared.broker.send(Input::Open(Box::new(self.build_request(avoid, attempt))));
        let _waiting = Waiting::new(self.shared.clone());
        loop {
            // Timers stop while the machine is suspended, but the request's deadline does not.
            let left = until.saturating_sub(clock::now()) / MILLISECOND;
            let slice = left.clamp(1, u64::from(CLOCK_CHECK.0)) as u32;
            let reply = timeout(Millis(slice), self.replies.recv()).await;
            match reply.map(|reply| reply.map(Reply::into_decision)) {
                Err(()) if self.is_refused_by_stop() => {
                    self.finish(Outcome::Cancelled);
                    return Decision::Stopping;
                }
                Err(()) if clock::now() + MILLISECOND <= until => {}
                Ok(Ok(Some(decision))) => {
                    if let Decision::Refused(..) = decision {
                        self.outstanding = false;
                    }
                    return decision;
                }
                // A preemption of the previous attempt, which had already ended.
                Ok(Ok(None)) => {}
                Ok(Err(_)) | Err(()) => {
                    self.finish(Outcome::Cancelled);
                    return Decision::Expired;
                }
            }
        }
    }

    /// Whether the request is refused because this instance stops. A stream that has begun may still be resumed in time.
    fn is_refused_by_stop(&self) -> bool {
        self.produced == 0 && self.shared.stop_refuses_waiting(Some(self.spec.deadline))
    }

    fn build_request(&self, avoid: Option<Arc<str>>, attempt: Attempt) -> DispatchRequest {
        let spec = &self.spec;
        DispatchRequest {
            id: self.id,
            pool: spec.pool.clone(),
            area: self.shared.area.clone(),
            workspace: spec.workspace.clone(),
            class: spec.class.clone(),
            arrived: spec.arrived,
            deadline: Some(spec.deadline),
            prompt: spec.prompt,
            prefix: 0,
            produced: self.produced,
            repeatable: spec.repeatable,
            preemptions: 0,
            avoid,
            output: spec.output,
            parts: spec.parts.clone(),
            attempt,
            digest: Some(spec.digest),
            stream: spec.stream.clone(),
            replies: self.sender.clone(),
        }
    }

    /// Reports progress of the running attempt: events so far, time to the first event (once), and the mean gap
    /// between events since the last report.
    pub fn report_progress(&mut self, produced: u32, first_event: Option<Micros>, gap: Micros) {
        self.produced = produced;
        let report = Report { produced, first_token: first_event, gap };
        if !self.shared.broker.try_send(Input::Progress(self.id, report)) {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "broker")]);
        }
    }

    /// Reports the outcome of the attempt to the dispatcher, which frees its slot.
    pub fn finish(&mut self, outcome: Outcome) {
        if std::mem::take(&mut self.outstanding) {
            self.shared.broker.send(Input::Finish(self.id, outcome as i16, self.produced));
        }
    }
}

/// Guard that counts a request as waiting for a grant until it is dropped.
struct Waiting(Arc<Shared>);

impl Waiting {
    fn new(shared: Arc<Shared>) -> Self {
        shared.waiting.fetch_add(1, Ordering::AcqRel);
        Waiting(shared)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.outstanding {
            self.shared.broker.send(Input::Finish(self.id, CANCELLED, self.produced));
        }
    }
}
