//! The headers by which callers and backend servers speak of a request.

use ntex::http::{HeaderMap, header::HeaderName};

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its identity; the same part in two prompts has the same.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a caller says about its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The identity of this attempt of the caller.
    pub id: String,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The key of its workspace.
    pub key: Option<String>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// The caller's guess at the tokens of the answer.
    pub hint: Option<u32>,
    /// The parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// The last event the caller has of an earlier, broken answer.
    pub last_event: Option<u64>,
}

/// What an instance tells a backend server beside the caller's own headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt<'a> {
    /// How long the answer is waited for, in milliseconds.
    pub deadline_ms: u64,
    /// The backend server that is meant.
    pub server: &'a str,
    /// The address of an engine whose kept parts of the prompt this one takes over first.
    pub source: Option<&'a str>,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// How urgent it is in the engine, 0 (first) to 9; `None` where that has no meaning.
    pub urgency: Option<u8>,
    /// The last event delivered, for a stream that goes on elsewhere.
    pub last_event: Option<u64>,
}

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u32);

impl Rate {
    /// A number of requests a second; `None` if it is no rate. What is more than the type holds is the most it holds.
    pub fn new(per_second: f64) -> Option<Rate> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then(|| Rate((per_second * 1e3).round().min(f64::from(u32::MAX)) as u32))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// What a backend server says of itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// What it takes from all instances together, for as long as it says so.
    pub limit: Option<Rate>,
    /// Whether it is leaving, for good.
    pub leaving: bool,
    /// For how many milliseconds it wants no request from the instance that it answers.
    pub rest_ms: Option<u64>,
    /// Whether some of it could not be read: then its silence on a limit says nothing.
    pub malformed: bool,
}

/// What a backend server's head says about the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The identity of the request it answers.
    pub id: Option<String>,
    /// Whether the backend server says that it did not run the request.
    pub not_run: bool,
    /// Whether it carries the backend server's signature.
    pub signed: bool,
    /// What the backend server says of itself; `None` if the answer comes from another one than is meant.
    pub notice: Option<Notice>,
}

/// How the headers are read and written.
pub trait Dialect: Clone + Send + 'static {
    /// Reads what a caller says.
    ///
    /// # Errors
    ///
    /// A sentence for the caller, if a header is missing or cannot be understood.
    fn read_head(&self, headers: &HeaderMap) -> Result<Head, String>;

    /// Whether a caller's header goes on to the backend server.
    fn passes(&self, name: &HeaderName) -> bool;

    /// Adds what the instance tells the backend server.
    fn write_attempt(&self, attempt: &Attempt<'_>, headers: &mut HeaderMap);

    /// Reads the head of an answer with its status.
    fn read_answer(&self, status: u16, headers: &HeaderMap) -> Answer;

    /// The number of an event, if its lines name one.
    fn event_number(&self, event: &[u8]) -> Option<u64>;
}
