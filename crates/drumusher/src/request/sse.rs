//! Scanner for an engine's stream of server-sent events: passes on only complete events and each token exactly once,
//! and detects missing tokens.

use memchr::memmem;
use ntex::util::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
pub const MAX_EVENT_BYTES: usize = 1_048_576;

/// Why a stream was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Tokens are missing between two events.
    Gap,
    /// An event is too long or violates the protocol.
    Malformed,
}

/// Output for one chunk of the stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Events {
    /// Events to send to the client, each token once.
    pub bytes: Bytes,
    /// Number of new tokens among them.
    pub tokens: u32,
}

/// Scans the event stream of one request, across all of its attempts.
#[derive(Debug, Default)]
pub struct Scanner {
    buffer: BytesMut,
    text: String,
    delivered: u32,
    finished: bool,
    done: bool,
    reason: String,
}

impl Scanner {
    /// Creates a scanner for a new request.
    pub fn new() -> Self {
        Scanner::default()
    }

    /// Returns the number of tokens delivered so far.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns whether a finish reason was seen. A stream that ends before that is incomplete.
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// Returns whether the final `[DONE]` event was seen.
    pub fn done(&self) -> bool {
        self.done
    }

    /// Returns the engine's finish reason.
    pub fn finish_reason(&self) -> &str {
        &self.reason
    }

    /// Returns the text delivered so far.
    pub fn text(&self) -> String {
        serde_json::from_str(&format!("\"{}\"", self.text)).unwrap_or_default()
    }

    /// Length of the incomplete event, in bytes.
    pub fn incomplete_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Discards the incomplete event of a broken attempt.
    pub fn restart(&mut self) {
        self.buffer.clear();
    }

    /// Processes a chunk of the stream.
    ///
    /// # Errors
    ///
    /// [`Error`] if the rest of this attempt can't be used. Events that were returned before stay delivered.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Events, Error> {
        self.buffer.extend_from_slice(chunk);
        let mut bytes = BytesMut::with_capacity(self.buffer.len());
        let mut tokens = 0;
        while let Some(end) = memmem::find(&self.buffer, b"\n\n") {
            let event = self.buffer.split_to(end + 2);
            if let Some(new) = self.process_event(&event)? {
                bytes.extend_from_slice(&event);
                tokens += new;
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Error::Malformed);
        }
        Ok(Events { bytes: bytes.freeze(), tokens })
    }

    /// Returns the number of new tokens in an event, or `None` if it is not to be passed on.
    fn process_event(&mut self, event: &[u8]) -> Result<Option<u32>, Error> {
        let Some(data) = event.strip_prefix(b"data: ") else {
            return Ok(None);
        };
        if self.done {
            return Ok(None);
        }
        if data.starts_with(b"[DONE]") {
            self.done = true;
            return Ok(self.finished.then_some(0));
        }
        let index = match number_after(data, b"\"token_index\":") {
            Some(index) => index,
            None => self.delivered,
        };
        let finish = !matches!(value_after(data, b"\"finish_reason\":"), None | Some(b'n'));
        if index < self.delivered && !finish {
            return Ok(None);
        }
        if index > self.delivered {
            return Err(Error::Gap);
        }
        let text = token_text(data);
        let has_token = index == self.delivered && !text.is_empty();
        if has_token {
            let text = std::str::from_utf8(text).map_err(|_| Error::Malformed)?;
            self.text.push_str(text);
            self.delivered += 1;
        }
        if finish && !self.finished {
            self.finished = true;
            self.reason = finish_reason_of(data);
        }
        Ok(Some(u32::from(has_token)))
    }
}

/// Returns the number that follows `key` in JSON text.
fn number_after(data: &[u8], key: &[u8]) -> Option<u32> {
    let rest = &data[memmem::find(data, key)? + key.len()..];
    let digits = rest.iter().skip_while(|b| **b == b' ').take_while(|b| b.is_ascii_digit());
    let mut number: Option<u32> = None;
    for digit in digits {
        let value = number.unwrap_or(0).checked_mul(10)?;
        number = Some(value.checked_add(u32::from(digit - b'0'))?);
    }
    number
}

/// Returns the first byte of the value that follows `key` in JSON text.
fn value_after(data: &[u8], key: &[u8]) -> Option<u8> {
    let rest = &data[memmem::find(data, key)? + key.len()..];
    rest.iter().copied().find(|b| *b != b' ')
}

/// Returns the finish reason of an event.
fn finish_reason_of(data: &[u8]) -> String {
    let key = b"\"finish_reason\":";
    let Some(start) = memmem::find(data, key) else {
        return String::new();
    };
    let rest = data[start + key.len()..].trim_ascii_start();
    let inside = rest.strip_prefix(b"\"").unwrap_or(b"");
    String::from_utf8_lossy(&inside[..string_end(inside)]).into_owned()
}

/// Returns the text of an event, still JSON-escaped: the choice's `text` or `content`.
fn token_text(data: &[u8]) -> &[u8] {
    let keys: [&[u8]; 2] = [b"\"text\":", b"\"content\":"];
    let Some(start) = keys.iter().find_map(|key| Some(memmem::find(data, key)? + key.len())) else {
        return b"";
    };
    let rest = data[start..].trim_ascii_start();
    let Some(inside) = rest.strip_prefix(b"\"") else {
        return b"";
    };
    &inside[..string_end(inside)]
}

/// Returns the length of a JSON string up to its closing quote.
fn string_end(inside: &[u8]) -> usize {
    let mut at = 0;
    while at < inside.len() {
        match inside[at] {
            b'"' => return at,
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
    inside.len()
}
