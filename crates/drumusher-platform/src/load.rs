//! A backend server's own load report, which lags behind its actual load.

use std::future::Future;

use serde::Deserialize;

use crate::{Error, Http};

/// Path of the query for the load.
pub const PATH: &str = "/load";

/// Whether a backend server accepts new requests, by its own report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    #[default]
    Live,
    /// It is shutting down.
    Leaving,
}

/// A load report.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Report {
    /// Time of the measurement, in Unix milliseconds.
    pub as_of_ms: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Duration of one decoding step, in milliseconds.
    #[serde(default)]
    pub step_ms: f64,
    /// Whether the server accepts new requests.
    #[serde(default)]
    pub state: State,
}

/// Response to a query for the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    /// The load report.
    Report(Report),
    /// The server accepts no more requests for this many seconds; 0 if it gives no time.
    Saturated(u64),
}

/// Access to load reports.
pub trait Load {
    /// The report of the backend server at `address` (`ip:port`).
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn load(&self, address: &str) -> impl Future<Output = Result<Status, Error>>;
}

impl Load for Http {
    async fn load(&self, address: &str) -> Result<Status, Error> {
        let response = self.get(&format!("http://{address}{PATH}")).await?;
        if response.status.as_u16() == 503 {
            return Ok(Status::Saturated(response.retry_after().unwrap_or(0)));
        }
        response.json().map(Status::Report)
    }
}
