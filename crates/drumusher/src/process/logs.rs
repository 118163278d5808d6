//! Logging: one JSON object per line to standard output, written by a dedicated thread.
//!
//! Each line goes to a bounded queue. When the reader of standard output falls behind, the queue fills, and
//! further lines are dropped and counted; the next line that fits is preceded by one with the count. Logging
//! therefore never delays a request.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use log::{LevelFilter, Record};
use log4rs::{
    append::Append,
    config::{Appender, Config, Logger, Root},
    encode::{self, Encode, json::JsonEncoder},
};

use crate::{process::ring, settings::Settings};

/// Maximum number of lines waiting to be written: some seconds of output of the busiest instance.
const QUEUE_LINES: usize = 8_192;
/// Timeout for flushing the queue when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// An entry of the writer's queue.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Signals that all lines queued before it have been written.
    Flush(crossbeam_channel::Sender<()>),
}

/// Encodes log records and queues them for the writer.
#[derive(Debug)]
struct QueueAppender {
    encoder: JsonEncoder,
    sender: ring::Sender<Item>,
    dropped: Arc<AtomicU64>,
}

/// Buffer for one encoded line.
#[derive(Debug, Default)]
struct Line(Vec<u8>);

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl encode::Write for Line {}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = Line::default();
        self.encoder.encode(&mut line, record)?;
        if self.sender.try_send(Item::Line(line.0)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (done, written) = crossbeam_channel::bounded(1);
        if self.sender.try_send(Item::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Installs the logger and starts its writer thread.
///
/// # Errors
///
/// A message for the operator if the logger cannot be set up.
pub fn start(settings: &Settings) -> Result<(), String> {
    let level: LevelFilter = settings.telemetry.level.parse().unwrap_or(LevelFilter::Info);
    let (sender, receiver) = ring::to_thread(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let ring = QueueAppender { encoder: JsonEncoder::new(), sender, dropped: dropped.clone() };
    let writer = thread::Builder::new().name("logs".into());
    writer.spawn(move || write(&receiver, &dropped)).map_err(|e| e.to_string())?;
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(ring)))
        .logger(Logger::builder().build("drumusher", level))
        .build(Root::builder().appender("stdout").build(LevelFilter::Warn.min(level)))
        .map_err(|e| e.to_string())?;
    log4rs::init_config(config).map(drop).map_err(|e| e.to_string())
}

/// Writes queued lines until the process exits. Lines that cannot be written, as when standard output is
/// closed, are dropped and counted.
fn write(receiver: &ring::Receiver<Item>, dropped: &AtomicU64) {
    let mut out = io::stdout().lock();
    for item in receiver {
        let written = match item {
            Item::Line(line) => {
                report_dropped(&mut out, dropped).and_then(|()| out.write_all(&line))
            }
            Item::Flush(done) => {
                let flushed = out.flush();
                let _ = done.try_send(());
                flushed
            }
        };
        let flushed = if receiver.is_empty() { out.flush() } else { Ok(()) };
        if written.and(flushed).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn report_dropped(out: &mut impl Write, dropped: &AtomicU64) -> io::Result<()> {
    match dropped.swap(0, Ordering::Relaxed) {
        0 => Ok(()),
        count => writeln!(
            out,
            "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{count}}}"
        ),
    }
}
