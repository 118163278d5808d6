//! The headers in which callers and backend servers describe a request and its response.

use ntex::http::{HeaderMap, header::HeaderName};

/// A part of a prompt, as engines cache it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// ID, derived from the content: equal parts of two prompts have the same ID.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A caller's headers of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// ID of this attempt of the caller.
    pub id: String,
    /// How long the caller waits for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// API key of the caller's workspace.
    pub key: Option<String>,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Maximum length of the response in tokens.
    pub max_tokens: u32,
    /// The caller's estimate of the length of the response in tokens.
    pub hint: Option<u32>,
    /// The parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Number of the last event that the caller received of an earlier, interrupted response.
    pub last_event: Option<u64>,
    /// ID of the caller's attempt that brought the first event of that response.
    pub resumes: Option<String>,
}

/// Headers that an instance adds for the backend server to those of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt<'a> {
    /// How long the instance waits for the response, in milliseconds.
    pub deadline_ms: u64,
    /// ID of the backend server that the request is meant for.
    pub server: &'a str,
    /// Address (`ip:port`) of an engine from whose cache this one first copies parts of the prompt.
    pub source: Option<&'a str>,
    /// Name of the caller's workspace.
    pub workspace: Option<&'a str>,
    /// Urgency in the engine's queue, from 0 (first) to 9; `None` if the backend server is not an engine.
    pub urgency: Option<u8>,
    /// Number of the last event delivered, if the stream is resumed on another backend server.
    pub last_event: Option<u64>,
}

/// A rate in thousandths of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u32);

impl Rate {
    /// Converts from requests per second; `None` if the number is negative or not finite. Larger rates than
    /// the type can hold are clamped to its maximum.
    pub fn new(per_second: f64) -> Option<Rate> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then(|| Rate((per_second * 1e3).round().min(f64::from(u32::MAX)) as u32))
    }

    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// What a backend server announces about itself in the headers of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Request rate that it accepts from all instances together, for as long as it announces one.
    pub limit: Option<Rate>,
    /// Whether it is shutting down for good.
    pub leaving: bool,
    /// Rejections in a second for lack of capacity that it bears: with more it falls over.
    pub brittle: Option<u32>,
    /// Time in milliseconds for which the instance that gets the response is to send it no requests.
    pub rest_ms: Option<u64>,
    /// Whether some of these headers could not be parsed: a missing limit then does not mean that there is
    /// none.
    pub malformed: bool,
}

/// A backend server's headers about its response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// ID of the request that it answers.
    pub id: Option<String>,
    /// Name of the backend server that answers, if it says it.
    pub server: Option<String>,
    /// Whether the backend server states that it did not execute the request.
    pub not_run: bool,
    /// Whether it carries the backend server's signature.
    pub signed: bool,
    /// What the backend server announces about itself; `None` if the response comes from another server than
    /// intended.
    pub notice: Option<Notice>,
}

/// Reads and writes the headers of one platform.
pub trait Dialect: Clone + Send + 'static {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// A message for the caller if a header is missing or malformed.
    fn read_head(&self, headers: &HeaderMap) -> Result<Head, String>;

    /// Whether a caller's header is forwarded to the backend server.
    fn passes(&self, name: &HeaderName) -> bool;

    /// Adds the instance's headers for the backend server.
    fn write_attempt(&self, attempt: &Attempt<'_>, headers: &mut HeaderMap);

    /// Reads the headers of a response with the given status.
    fn read_answer(&self, status: u16, headers: &HeaderMap) -> Answer;

    /// The number of a server-sent event, if it has a numeric `id` field.
    fn event_number(&self, event: &[u8]) -> Option<u64>;
}
