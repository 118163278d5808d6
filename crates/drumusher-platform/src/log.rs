//! The platform's append-only log service.

use std::future::Future;

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};

use crate::{Error, Http};

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Offset in the stream.
    pub offset: u64,
    /// Time at which the platform appended it, in Unix milliseconds.
    pub time_ms: u64,
    /// Content.
    pub body: Vec<u8>,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Page {
    /// Records from the requested offset on; empty if none came within the wait.
    Records(Vec<Record>),
    /// The requested offset is no longer available; the oldest available one.
    Gone(u64),
}

/// Append-only streams of records.
pub trait Log {
    /// Appends records to a stream, all or none of them. Returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// Any [`Error`]. After [`Error::NoAnswer`] and [`Error::Unavailable`] the append may have taken effect;
    /// only reading the stream tells.
    fn append(&self, stream: &str, bodies: &[Vec<u8>]) -> impl Future<Output = Result<u64, Error>>;

    /// Reads at most `max` records from offset `from` on, waiting up to `wait_ms` milliseconds for one.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Page, Error>>;
}

/// Client of the log service over HTTP.
#[derive(Clone, Debug)]
pub struct Service {
    http: Http,
    base: String,
}

#[derive(Serialize)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct Appended {
    first: u64,
}

#[derive(Deserialize)]
struct ReadBody {
    records: Vec<ReadRecord>,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: u64,
    time_ms: u64,
    body: String,
}

#[derive(Deserialize)]
struct GoneBody {
    first: u64,
}

impl Service {
    /// Creates a client of the log service at `address` (`ip:port`).
    pub fn new(http: Http, address: &str) -> Self {
        Service { http, base: format!("http://{address}/streams") }
    }
}

impl Log for Service {
    async fn append(&self, stream: &str, bodies: &[Vec<u8>]) -> Result<u64, Error> {
        let url = format!("{}/{stream}/records", self.base);
        let records = bodies.iter().map(|body| STANDARD.encode(body)).collect();
        let response = self.http.post(&url, &AppendBody { records }).await?;
        let appended: Appended = response.json()?;
        Ok(appended.first)
    }

    async fn read(&self, stream: &str, from: u64, max: usize, wait_ms: u64) -> Result<Page, Error> {
        let base = &self.base;
        let url = format!("{base}/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
        let response = self.http.get(&url).await?;
        if response.status.as_u16() == 410 {
            let gone: GoneBody = response.json_any_status()?;
            return Ok(Page::Gone(gone.first));
        }
        let page: ReadBody = response.json()?;
        page.records.into_iter().map(decode).collect::<Result<_, _>>().map(Page::Records)
    }
}

fn decode(record: ReadRecord) -> Result<Record, Error> {
    let body = STANDARD.decode(record.body).map_err(|e| Error::Malformed(e.to_string()))?;
    Ok(Record { offset: record.offset, time_ms: record.time_ms, body })
}
