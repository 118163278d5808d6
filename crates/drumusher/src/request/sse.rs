//! Reading an engine's event stream: whole events only, each token once, and nothing lost.

use memchr::memmem;
use ntex::util::{Bytes, BytesMut};

/// Longest event in bytes.
const LONGEST: usize = 1_048_576;

/// Why a stream is not the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Tokens are missing between two events.
    Gap,
    /// An event is too long or is not of the protocol.
    Malformed,
}

/// What one piece of the stream brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Piece {
    /// Events for the caller, each token once.
    pub bytes: Bytes,
    /// New tokens among them.
    pub tokens: u32,
}

/// Follows the stream of one request over all its attempts.
#[derive(Debug, Default)]
pub struct Scanner {
    held: BytesMut,
    text: String,
    delivered: u32,
    finished: bool,
    done: bool,
    reason: String,
}

impl Scanner {
    /// At the beginning of a request.
    pub fn new() -> Self {
        Scanner::default()
    }

    /// Tokens delivered so far.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Whether the finish marker was seen. A stream that ends before is not whole.
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// Whether the last event was seen.
    pub fn done(&self) -> bool {
        self.done
    }

    /// Why the answer ended, in the engine's word.
    pub fn finish_reason(&self) -> &str {
        &self.reason
    }

    /// The text delivered so far.
    pub fn text(&self) -> String {
        serde_json::from_str(&format!("\"{}\"", self.text)).unwrap_or_default()
    }

    /// Forgets the unfinished event of an attempt that broke.
    pub fn restart(&mut self) {
        self.held.clear();
    }

    /// Takes a piece of the stream.
    ///
    /// # Errors
    ///
    /// [`Error`] if the rest of this attempt is of no use. What came before stays delivered.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Piece, Error> {
        self.held.extend_from_slice(chunk);
        let mut bytes = BytesMut::with_capacity(self.held.len());
        let mut tokens = 0;
        while let Some(end) = memmem::find(&self.held, b"\n\n") {
            let event = self.held.split_to(end + 2);
            if let Some(new) = self.event(&event)? {
                bytes.extend_from_slice(&event);
                tokens += new;
            }
        }
        if self.held.len() > LONGEST {
            return Err(Error::Malformed);
        }
        Ok(Piece { bytes: bytes.freeze(), tokens })
    }

    /// The new tokens of an event, or `None` if it is not to be passed on.
    fn event(&mut self, event: &[u8]) -> Result<Option<u32>, Error> {
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
        let text = text_of(data);
        let has_token = index == self.delivered && !text.is_empty();
        if has_token {
            let text = std::str::from_utf8(text).map_err(|_| Error::Malformed)?;
            self.text.push_str(text);
            self.delivered += 1;
        }
        if finish && !self.finished {
            self.finished = true;
            self.reason = reason_of(data);
        }
        Ok(Some(u32::from(has_token)))
    }
}

/// The number that follows `key` in JSON text.
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

/// The first byte of the value that follows `key` in JSON text.
fn value_after(data: &[u8], key: &[u8]) -> Option<u8> {
    let rest = &data[memmem::find(data, key)? + key.len()..];
    rest.iter().copied().find(|b| *b != b' ')
}

/// The word of an event's finish marker.
fn reason_of(data: &[u8]) -> String {
    let key = b"\"finish_reason\":";
    let Some(start) = memmem::find(data, key) else {
        return String::new();
    };
    let rest = data[start + key.len()..].trim_ascii_start();
    let inside = rest.strip_prefix(b"\"").unwrap_or(b"");
    String::from_utf8_lossy(&inside[..string_end(inside)]).into_owned()
}

/// The still escaped text of an event: the choice's `text` or `content`.
fn text_of(data: &[u8]) -> &[u8] {
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

/// The length of a JSON string up to its closing quote.
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
