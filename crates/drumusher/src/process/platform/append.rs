//! Batched appends to the log: one append in flight at a time, followed by a pause that keeps all instances
//! together within the platform's budget.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use drumusher_platform::{
    Error,
    log::{Log, Service},
};
use ntex::time::{Millis, sleep};

use super::Context;
use crate::process::clock;

/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 512;
/// Maximum number of records waiting for one stream; more pile up only while the platform is unavailable.
const MAX_WAITING_RECORDS: usize = 8_192;
/// Maximum age of a waiting record, in microseconds; older ones are dropped after a failed append.
const MAX_RECORD_AGE: u64 = 30 * drumusher_schedule::time::SECOND;
/// Pause after a failed append.
const RETRY_PAUSE: Millis = Millis(100);

/// Records, each with the time at which it was queued.
type Batch = Vec<(u64, Vec<u8>)>;

/// Records waiting to be appended, by stream.
#[derive(Clone)]
pub(super) struct Queue {
    streams: Rc<RefCell<BTreeMap<&'static str, Batch>>>,
    /// Wakes the appender. Polling is no alternative: the runtime's timers are too coarse.
    wake: async_channel::Sender<()>,
    woken: async_channel::Receiver<()>,
}

impl Queue {
    /// Creates an empty queue.
    pub(super) fn new() -> Self {
        let (wake, woken) = async_channel::bounded(1);
        Queue { streams: Rc::default(), wake, woken }
    }

    /// Queues a record. Returns whether there was room. A record may be appended twice: its readers ignore
    /// duplicates.
    pub(super) fn push(&self, stream: &'static str, body: Vec<u8>) -> bool {
        let mut streams = self.streams.borrow_mut();
        let waiting = streams.entry(stream).or_default();
        if waiting.len() >= MAX_WAITING_RECORDS {
            return false;
        }
        waiting.push((clock::now(), body));
        let _ = self.wake.try_send(());
        true
    }

    fn take(&self) -> Option<(&'static str, Batch)> {
        let mut streams = self.streams.borrow_mut();
        // In reverse order of names: the few operators' commands ("config") go before the many claims
        // ("claims").
        let (stream, waiting) =
            streams.iter_mut().rev().find(|(_, waiting)| !waiting.is_empty())?;
        let batch = waiting.len().min(MAX_BATCH_RECORDS);
        Some((*stream, waiting.drain(..batch).collect()))
    }

    fn requeue(&self, stream: &'static str, mut batch: Batch) {
        let oldest = clock::now().saturating_sub(MAX_RECORD_AGE);
        batch.retain(|(since, _)| *since >= oldest);
        let mut streams = self.streams.borrow_mut();
        let waiting = streams.entry(stream).or_default();
        batch.append(waiting);
        *waiting = batch;
    }
}

/// Appends queued records; never returns.
pub(super) async fn run(context: Context) {
    let address = context.shared.settings.log_service.to_string();
    let log = Service::new(context.http.clone(), &address);
    loop {
        let Some((stream, batch)) = context.appends.take() else {
            let _ = context.appends.woken.recv().await;
            continue;
        };
        let bodies: Vec<Vec<u8>> = batch.iter().map(|(_, body)| body.clone()).collect();
        context.shared.telemetry.count("drumusher.log.appends", &[("stream", stream)]);
        match log.append(stream, &bodies).await {
            Ok(_) => sleep(pause(&context)).await,
            Err(error) => {
                record_failure(&context, stream, &error);
                context.appends.requeue(stream, batch);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Pause that keeps this instance within its share of the appends allowed per second.
fn pause(context: &Context) -> Millis {
    let instances = context.shared.directory.load().instances.len().max(1) as u64;
    let budget = u64::from(context.shared.settings.platform.appends_per_second);
    Millis((instances * 1_000 / budget).max(1) as u32)
}

fn record_failure(context: &Context, stream: &str, error: &Error) {
    context.shared.telemetry.count("drumusher.log.append_failures", &[]);
    log::warn!("append to {stream} failed: the log service {error}");
}
