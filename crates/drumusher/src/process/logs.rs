//! Log lines: one JSON object each, to standard output, written by a thread of its own.
//!
//! A line that is made goes to a bounded ring. When whoever reads standard output falls behind, the
//! ring fills and further lines are dropped and counted; the next line that passes is preceded by
//! one with the count. So a line never delays a request.

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

/// Lines that may wait to be written: some seconds of the busiest instance.
const RING: usize = 8_192;
/// Longest wait for the lines of a process that ends.
const FLUSH: Duration = Duration::from_millis(200);

/// What is to be written.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Tells when all lines before it are written.
    Flush(crossbeam_channel::Sender<()>),
}

/// Makes lines and hands them to the writer.
#[derive(Debug)]
struct Ring {
    encoder: JsonEncoder,
    sender: ring::Sender<Item>,
    dropped: Arc<AtomicU64>,
}

/// Collects the bytes of one line.
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

impl Append for Ring {
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
            let _ = written.recv_timeout(FLUSH);
        }
    }
}

/// Starts writing log lines.
///
/// # Errors
///
/// A sentence, if the logger cannot be set up.
pub fn start(settings: &Settings) -> Result<(), String> {
    let level: LevelFilter = settings.telemetry.level.parse().unwrap_or(LevelFilter::Info);
    let (sender, receiver) = ring::to_thread(RING);
    let dropped = Arc::new(AtomicU64::new(0));
    let ring = Ring { encoder: JsonEncoder::new(), sender, dropped: dropped.clone() };
    let writer = thread::Builder::new().name("logs".into());
    writer.spawn(move || write(&receiver, &dropped)).map_err(|e| e.to_string())?;
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(ring)))
        .logger(Logger::builder().build("drumusher", level))
        .build(Root::builder().appender("stdout").build(LevelFilter::Warn.min(level)))
        .map_err(|e| e.to_string())?;
    log4rs::init_config(config).map(drop).map_err(|e| e.to_string())
}

/// Writes lines until the process ends. A standard output that is gone takes the lines with it.
fn write(receiver: &ring::Receiver<Item>, dropped: &AtomicU64) {
    let mut out = io::stdout().lock();
    for item in receiver {
        let written = match item {
            Item::Line(line) => tell_dropped(&mut out, dropped).and_then(|()| out.write_all(&line)),
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

fn tell_dropped(out: &mut impl Write, dropped: &AtomicU64) -> io::Result<()> {
    match dropped.swap(0, Ordering::Relaxed) {
        0 => Ok(()),
        count => writeln!(
            out,
            "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{count}}}"
        ),
    }
}
