//! Streams kept in the store while their service has several software versions, so that their callers can take them up
//! after the loss of all instances.
//!
//! With a single version nothing is written: any backend server may go on with a stream then.

use std::{rc::Rc, sync::atomic::Ordering};

use drumusher_log::position::Position;
use drumusher_platform::{Error, catalog::Store};
use ntex::time::{Millis, sleep};

use super::{Backoff, Catalog};
use crate::process::{clock, streams::Granted};

/// Shortest time for which streams are collected for one call. The first event of a stream takes longer.
const MIN_BATCH_DELAY_MS: u64 = 100;
/// Maximum rate of calls of all dispatchers together: the store appends one record of a topic at a time.
const MAX_CALLS_PER_SECOND: u64 = 80;
/// Maximum number of streams in one call, whose record the store accepts.
const MAX_STREAMS: usize = 4_000;
/// Maximum number of calls to read the streams. What they return lies within the retention time of the store.
const MAX_READS: usize = 64;
/// Maximum number of instances that all read the streams when they start; in larger deployments only dispatchers do.
const MAX_READERS: usize = 32;

/// Reads the streams that were kept before this instance started, if it needs them, and keeps those that it grants.
pub(super) async fn keep<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    let shared = &catalog.shared;
    let mut is_read = false;
    let mut backoff = Backoff::new();
    loop {
        sleep(catalog.streams_delay()).await;
        if shared.store_unavailable.load(Ordering::Acquire) {
            continue;
        }
        let result = if !is_read && catalog.needs_streams() {
            catalog.read_streams().await.map(|()| is_read = true)
        } else {
            catalog.write_streams().await
        };
        match result {
            Ok(()) => backoff.reset(),
            Err(error) => {
                log::info!("streams are not kept in the store, will retry: it {error}");
                sleep(backoff.next(true)).await;
            }
        }
    }
}

impl<S: Store + 'static> Catalog<S> {
    /// Whether this instance may have to decide on streams that began before it.
    fn needs_streams(&self) -> bool {
        let shared = &self.shared;
        let decides = !shared.led.load().is_empty();
        let is_small = shared.directory.load().instances.len() <= MAX_READERS;
        (decides || is_small) && shared.streams().mixed_services(clock::now()).next().is_some()
    }

    /// How long streams are collected for one call.
    fn streams_delay(&self) -> Millis {
        let directory = self.shared.directory.load();
        let streams = self.shared.streams();
        let mixed = streams.mixed_services(clock::now());
        let dispatchers: usize = mixed.map(|pool| directory.dispatchers(pool)).sum();
        let delay_ms = dispatchers as u64 * 1_000 / MAX_CALLS_PER_SECOND;
        Millis(delay_ms.max(MIN_BATCH_DELAY_MS) as u32)
    }

    async fn read_streams(&self) -> Result<(), Error> {
        let mut known = 0;
        let mut from = Position::default();
        for _ in 0..MAX_READS {
            let page = self.store.read_streams(from).await?;
            let mut streams = self.shared.streams();
            for value in &page.values {
                match serde_json::from_str::<Vec<Granted>>(value) {
                    Ok(batch) => known += streams.restore(clock::now(), &batch),
                    Err(error) => log::error!("malformed record of streams: {error}"),
                }
            }
            from = page.next;
            if !page.more {
                break;
            }
        }
        log::info!(streams = known; "streams from before this start are known");
        Ok(())
    }

    async fn write_streams(&self) -> Result<(), Error> {
        loop {
            let batch = self.shared.streams().take_unwritten(clock::now(), MAX_STREAMS);
            if batch.is_empty() {
                return Ok(());
            }
            let value = serde_json::to_string(&batch).expect("texts and numbers serialize");
            if let Err(error) = self.store.publish_streams(&value).await {
                self.shared.streams().put_back(&batch);
                return Err(error);
            }
        }
    }
}
