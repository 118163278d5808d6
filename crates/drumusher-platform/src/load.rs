//! A backend server's own report of its load, which lags.

use std::future::Future;

use serde::Deserialize;

use crate::{Error, Http};

/// Whether a backend server takes new work, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    #[default]
    Live,
    /// It is going away.
    Leaving,
}

/// A report.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Report {
    /// When it was true, in milliseconds since 1970.
    pub as_of_ms: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Duration of a step, in milliseconds.
    #[serde(default)]
    pub step_ms: f64,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
}

/// What a backend server says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    /// Its report.
    Report(Report),
    /// It takes no more for so many seconds; 0 if it does not say how long.
    Saturated(u64),
}

/// Reading load reports.
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
        let answer = self.get(&format!("http://{address}/load")).await?;
        if answer.status.as_u16() == 503 {
            return Ok(Status::Saturated(answer.retry_after().unwrap_or(0)));
        }
        answer.json().map(Status::Report)
    }
}
