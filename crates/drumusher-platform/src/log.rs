//! The platform's append-only log service.

use std::future::Future;

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};

use crate::{Error, Http};

/// A record as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its offset.
    pub offset: u64,
    /// When the platform took it, in milliseconds since 1970.
    pub time_ms: u64,
    /// Its bytes.
    pub body: Vec<u8>,
}

/// What a read gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Page {
    /// Records from the offset asked for; none if there was nothing new in time.
    Records(Vec<Record>),
    /// The offset asked for is no longer kept; the oldest that is.
    Gone(u64),
}

/// Appending to and reading from streams.
pub trait Log {
    /// Appends records to a stream; all or none take effect. Returns the first one's offset.
    ///
    /// # Errors
    ///
    /// Any [`Error`]. After [`Error::NoAnswer`] the append may have taken effect, and after
    /// [`Error::Unavailable`] too: only reading tells.
    fn append(&self, stream: &str, bodies: &[Vec<u8>]) -> impl Future<Output = Result<u64, Error>>;

    /// Reads at most `max` records from offset `from`, waiting up to `wait_ms` for one.
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

/// The log service over HTTP.
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
    /// The log service at `address` (`ip:port`).
    pub fn new(http: Http, address: &str) -> Self {
        Service { http, base: format!("http://{address}/streams") }
    }
}

impl Log for Service {
    async fn append(&self, stream: &str, bodies: &[Vec<u8>]) -> Result<u64, Error> {
        let url = format!("{}/{stream}/records", self.base);
        let records = bodies.iter().map(|body| STANDARD.encode(body)).collect();
        let answer = self.http.post(&url, &AppendBody { records }).await?;
        let appended: Appended = answer.json()?;
        Ok(appended.first)
    }

    async fn read(&self, stream: &str, from: u64, max: usize, wait_ms: u64) -> Result<Page, Error> {
        let base = &self.base;
        let url = format!("{base}/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
        let answer = self.http.get(&url).await?;
        if answer.status.as_u16() == 410 {
            let gone: GoneBody = answer.json_any_status()?;
            return Ok(Page::Gone(gone.first));
        }
        let page: ReadBody = answer.json()?;
        page.records.into_iter().map(decode).collect::<Result<_, _>>().map(Page::Records)
    }
}

fn decode(record: ReadRecord) -> Result<Record, Error> {
    let body = STANDARD.decode(record.body).map_err(|e| Error::Malformed(e.to_string()))?;
    Ok(Record { offset: record.offset, time_ms: record.time_ms, body })
}
