//! Decoder for HTTP/1.1 responses. Performs no I/O.

use std::{cell::Cell, ops::RangeInclusive};

use ntex::{
    codec::Decoder,
    http::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
    util::{Bytes, BytesMut},
};

use super::Error;

/// Maximum size of a response head, and of all interim responses and trailers of a response, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 96;
/// Maximum length of a chunk-size line, in bytes.
const MAX_CHUNK_SIZE_LINE: usize = 64;
/// Line terminator.
const CRLF: &[u8] = b"\r\n";
/// Start of every response.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";
/// Status codes with a meaning (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// A part of a response.
#[derive(Clone, Debug)]
pub enum Part {
    /// Status and headers.
    Head(Head),
    /// A slice of the body.
    Data(Bytes),
    /// The end of the body.
    End,
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Whether the body ends when the connection is closed.
    pub until_close: bool,
    /// Whether the connection may serve another request.
    pub keep_alive: bool,
}

impl Head {
    /// The length of the body in bytes, if it is declared.
    pub fn content_length(&self) -> Option<usize> {
        parse_length(self.headers.get("content-length")?.as_bytes()).map(|length| length as usize)
    }
}

/// Decoder state: what the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No response is expected: received bytes belong to no request.
    Idle,
    Head,
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
}

/// Decodes a sequence of responses into their parts.
#[derive(Debug)]
pub struct Codec {
    state: Cell<State>,
    /// Whether the request was a HEAD, so that the response has no body.
    is_head: Cell<bool>,
    /// Bytes of interim responses and trailers of the current response.
    skipped: Cell<usize>,
}

impl Default for Codec {
    fn default() -> Self {
        Codec::new()
    }
}

impl Codec {
    /// Creates a decoder that expects no response yet.
    pub fn new() -> Self {
        Codec { state: Cell::new(State::Idle), is_head: Cell::new(false), skipped: Cell::new(0) }
    }

    /// Expects a response to a request that was just sent; `is_head` if that was a HEAD.
    pub fn expect(&self, is_head: bool) {
        self.state.set(State::Head);
        self.is_head.set(is_head);
        self.skipped.set(0);
    }

    /// Expects another response to the request that was sent last.
    pub fn expect_next(&self) {
        self.expect(self.is_head.get());
    }

    /// Returns whether no response is in progress.
    pub fn is_idle(&self) -> bool {
        self.state.get() == State::Idle
    }

    /// Returns whether closing the connection now would end the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state.get() == State::UntilClose
    }

    /// Ends a body that ends with its connection.
    pub fn end(&self) {
        self.state.set(State::Idle);
    }

    fn decode_head(&self, source: &mut BytesMut) -> Result<Option<Part>, Error> {
        loop {
            let Some((head, length)) = parse_head(source)? else {
                return Ok(None);
            };
            let _ = source.split_to(length);
            // Interim (1xx) responses are skipped.
            if (100..200).contains(&head.status) {
                self.skip(length)?;
                continue;
            }
            self.state.set(self.body_framing(&head)?);
            let until_close = self.state.get() == State::UntilClose;
            let keep_alive = head.keep_alive && !until_close;
            return Ok(Some(Part::Head(Head { until_close, keep_alive, ..head })));
        }
    }

    /// Counts bytes that are skipped. A server may send them without end.
    fn skip(&self, bytes: usize) -> Result<(), Error> {
        self.skipped.set(self.skipped.get() + bytes);
        if self.skipped.get() > MAX_HEAD_BYTES { Err(Error::Malformed) } else { Ok(()) }
    }

    /// Determines how the body is delimited.
    fn body_framing(&self, head: &Head) -> Result<State, Error> {
        if self.is_head.get() || matches!(head.status, 204 | 304) {
            return Ok(State::Length(0));
        }
        let mut encodings = head.headers.get_all("transfer-encoding");
        let mut lengths = head.headers.get_all("content-length");
        match (encodings.next(), encodings.next(), lengths.next(), lengths.next()) {
            (Some(encoding), None, None, _) if is_chunked(encoding) => Ok(State::ChunkSize),
            (None, _, Some(length), None) => {
                parse_length(length.as_bytes()).map(State::Length).ok_or(Error::Malformed)
            }
            // The name of the field that says it may be damaged.
            (None, _, None, _) if head.headers.iter().any(|(_, value)| is_chunked(value)) => {
                Err(Error::Malformed)
            }
            (None, _, None, _) => Ok(State::UntilClose),
            _ => Err(Error::Malformed),
        }
    }

    /// Ends a body with a declared length. Other bytes than those of a further response are taken for the rest of the
    /// body, of which a damaged length tells too little.
    fn end_length(&self, source: &[u8]) -> Result<Part, Error> {
        let common = source.len().min(VERSION_PREFIX.len());
        if source[..common] != VERSION_PREFIX[..common] {
            return Err(Error::Malformed);
        }
        self.state.set(State::Idle);
        Ok(Part::End)
    }

    /// Returns the next slice of a body, or of a chunk, of which `remaining` bytes are left. `next_state` gives the
    /// state for the bytes left after it.
    fn take_data(
        &self,
        source: &mut BytesMut,
        remaining: u64,
        next_state: fn(u64) -> State,
    ) -> Option<Part> {
        if source.is_empty() {
            return None;
        }
        let take = (source.len() as u64).min(remaining) as usize;
        let bytes = source.split_to(take);
        self.state.set(next_state(remaining - take as u64));
        Some(Part::Data(bytes))
    }

    /// Takes a complete line without its terminator; an error if more than `max_bytes` arrive without one.
    fn take_line(source: &mut BytesMut, max_bytes: usize) -> Result<Option<Bytes>, Error> {
        let Some(end) = memchr::memmem::find(source, CRLF) else {
            return if source.len() > max_bytes { Err(Error::Malformed) } else { Ok(None) };
        };
        let line = source.split_to(end);
        let _ = source.split_to(CRLF.len());
        Ok(Some(line))
    }
}

impl Decoder for Codec {
    type Item = Part;
    type Error = Error;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<Part>, Error> {
        loop {
            match self.state.get() {
                // Bytes that belong to no response are left for the caller, who does not reuse the connection. Their end
                // is not awaited.
                State::Idle if source.len() > MAX_HEAD_BYTES => return Err(Error::Malformed),
                State::Idle => return Ok(None),
                State::Head => return self.decode_head(source),
                State::Length(0) => return self.end_length(source).map(Some),
                State::Length(remaining) => {
                    return Ok(self.take_data(source, remaining, State::Length));
                }
                State::UntilClose => {
                    return Ok(self.take_data(source, u64::MAX, |_| State::UntilClose));
                }
                State::ChunkSize => {
                    let Some(line) = Self::take_line(source, MAX_CHUNK_SIZE_LINE)? else {
                        return Ok(None);
                    };
                    let size = chunk_size(&line).ok_or(Error::Malformed)?;
                    self.state.set(if size == 0 { State::Trailer } else { State::Chunk(size) });
                }
                State::Chunk(0) => self.state.set(State::ChunkEnd),
                State::Chunk(remaining) => {
                    return Ok(self.take_data(source, remaining, State::Chunk));
                }
                State::ChunkEnd => {
                    if source.len() < CRLF.len() {
                        return Ok(None);
                    }
                    if !source.starts_with(CRLF) {
                        return Err(Error::Malformed);
                    }
                    let _ = source.split_to(CRLF.len());
                    self.state.set(State::ChunkSize);
                }
                State::Trailer => {
                    let Some(line) = Self::take_line(source, MAX_HEAD_BYTES)? else {
                        return Ok(None);
                    };
                    if line.is_empty() {
                        self.state.set(State::Idle);
                        return Ok(Some(Part::End));
                    }
                    if !is_field(&line) {
                        return Err(Error::Malformed);
                    }
                    self.skip(line.len() + CRLF.len())?;
                }
            }
        }
    }
}

/// Parses a `Content-Length`: digits alone (RFC 9110, section 8.6).
fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    digits.then(|| std::str::from_utf8(value).ok()?.parse().ok())?
}

fn is_chunked(value: &HeaderValue) -> bool {
    value.as_bytes().eq_ignore_ascii_case(b"chunked")
}

/// Whether a line is a field: a name and a colon.
fn is_field(line: &[u8]) -> bool {
    let colon = line.iter().position(|byte| *byte == b':');
    colon.is_some_and(|at| HeaderName::from_bytes(&line[..at]).is_ok())
}

fn chunk_size(line: &[u8]) -> Option<u64> {
    let size = line.split(|byte| *byte == b';').next()?;
    let size = std::str::from_utf8(size).ok()?.trim();
    let digits = !size.is_empty() && size.bytes().all(|byte| byte.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(size, 16).ok())?
}

/// Parses a head. Returns it with its length in bytes, or `None` if it is incomplete.
fn parse_head(source: &[u8]) -> Result<Option<(Head, usize)>, Error> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    let length = match response.parse(source) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if source.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => return Err(Error::Malformed),
    };
    let mut headers = HeaderMap::new();
    for field in response.headers.iter() {
        let name = HeaderName::try_from(field.name).map_err(|_| Error::Malformed)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| Error::Malformed)?;
        headers.append(name, value);
    }
    let status = response.code.filter(|code| STATUS_CODES.contains(code));
    let status = status.ok_or(Error::Malformed)?;
    let keep_alive = response.version == Some(1) && !has_connection_close(&headers);
    Ok(Some((Head { status, headers, until_close: false, keep_alive }, length)))
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all("connection");
    values.any(|value| {
        let words = value.to_str().unwrap_or("");
        words.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"))
    })
}
