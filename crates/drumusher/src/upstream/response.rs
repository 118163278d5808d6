//! Cutting the bytes of a connection into answers. Without I/O.

use std::cell::Cell;

use ntex::{
    codec::Decoder,
    http::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
    util::{Bytes, BytesMut},
};

use super::Error;

/// Longest head of an answer in bytes.
const LONGEST_HEAD: usize = 65_536;
/// Most headers of an answer.
const MOST_HEADERS: usize = 96;
/// Longest line of a chunk's size in bytes.
const LONGEST_SIZE: usize = 64;
/// End of a line.
const CRLF: &[u8] = b"\r\n";

/// A piece of an answer.
#[derive(Clone, Debug)]
pub enum Part {
    /// The beginning.
    Head(Head),
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// The beginning of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// Whether the end of the connection is the end of the body.
    pub until_close: bool,
    /// Whether the connection may serve another request.
    pub keep_alive: bool,
}

/// Where in an answer the next byte stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing is expected: bytes that come belong to no request.
    Idle,
    Head,
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
}

/// Cuts bytes into the pieces of one answer after the other.
#[derive(Debug)]
pub struct Codec {
    state: Cell<State>,
    /// Whether the request's method allows no body in the answer.
    bodiless: Cell<bool>,
}

impl Default for Codec {
    fn default() -> Self {
        Codec::new()
    }
}

impl Codec {
    /// Expects nothing yet.
    pub fn new() -> Self {
        Codec { state: Cell::new(State::Idle), bodiless: Cell::new(false) }
    }

    /// Expects an answer from now on; `bodiless` if the request was a HEAD.
    pub fn expect(&self, bodiless: bool) {
        self.state.set(State::Head);
        self.bodiless.set(bodiless);
    }

    /// Whether no answer is under way.
    pub fn is_idle(&self) -> bool {
        self.state.get() == State::Idle
    }

    /// Whether the end of the connection now is the end of a body.
    pub fn ends_with_connection(&self) -> bool {
        self.state.get() == State::UntilClose
    }

    fn head(&self, source: &mut BytesMut) -> Result<Option<Part>, Error> {
        loop {
            let Some((head, length)) = parse(source)? else {
                return Ok(None);
            };
            let _ = source.split_to(length);
            // An interim answer says nothing about the request.
            if (100..200).contains(&head.status) {
                continue;
            }
            self.state.set(self.body(&head)?);
            let until_close = self.state.get() == State::UntilClose;
            let keep_alive = head.keep_alive && !until_close;
            return Ok(Some(Part::Head(Head { until_close, keep_alive, ..head })));
        }
    }

    /// How the body of an answer is delimited.
    fn body(&self, head: &Head) -> Result<State, Error> {
        if self.bodiless.get() || matches!(head.status, 204 | 304) {
            return Ok(State::Length(0));
        }
        if let Some(encoding) = head.headers.get("transfer-encoding") {
            let chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
            return if chunked { Ok(State::ChunkSize) } else { Err(Error::Malformed) };
        }
        let mut lengths = head.headers.get_all("content-length");
        match (lengths.next(), lengths.next()) {
            (None, _) => Ok(State::UntilClose),
            (Some(length), None) => {
                let length = length.to_str().ok().and_then(|text| text.trim().parse().ok());
                length.map(State::Length).ok_or(Error::Malformed)
            }
            _ => Err(Error::Malformed),
        }
    }

    /// The next piece of a body with `left` bytes to come, which `then` follows.
    fn data(&self, source: &mut BytesMut, left: u64, more: fn(u64) -> State) -> Option<Part> {
        if source.is_empty() {
            return None;
        }
        let take = (source.len() as u64).min(left) as usize;
        let bytes = source.split_to(take);
        self.state.set(more(left - take as u64));
        Some(Part::Data(bytes))
    }

    /// Takes a whole line without its end.
    fn line(source: &mut BytesMut, longest: usize) -> Result<Option<Bytes>, Error> {
        let Some(end) = memchr::memmem::find(source, CRLF) else {
            return if source.len() > longest { Err(Error::Malformed) } else { Ok(None) };
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
                State::Idle => return Ok(None),
                State::Head => return self.head(source),
                State::Length(0) => {
                    self.state.set(State::Idle);
                    return Ok(Some(Part::End));
                }
                State::Length(left) => return Ok(self.data(source, left, State::Length)),
                State::UntilClose => {
                    return Ok(self.data(source, u64::MAX, |_| State::UntilClose));
                }
                State::ChunkSize => {
                    let Some(line) = Self::line(source, LONGEST_SIZE)? else {
                        return Ok(None);
                    };
                    let size = chunk_size(&line).ok_or(Error::Malformed)?;
                    self.state.set(if size == 0 { State::Trailer } else { State::Chunk(size) });
                }
                State::Chunk(0) => self.state.set(State::ChunkEnd),
                State::Chunk(left) => return Ok(self.data(source, left, State::Chunk)),
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
                    let Some(line) = Self::line(source, LONGEST_HEAD)? else {
                        return Ok(None);
                    };
                    if line.is_empty() {
                        self.state.set(State::Idle);
                        return Ok(Some(Part::End));
                    }
                }
            }
        }
    }
}

fn chunk_size(line: &[u8]) -> Option<u64> {
    let size = line.split(|byte| *byte == b';').next()?;
    let size = std::str::from_utf8(size).ok()?.trim();
    let digits = !size.is_empty() && size.bytes().all(|byte| byte.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(size, 16).ok())?
}

/// Parses a head. Returns it with its length in bytes, or `None` if it is not whole yet.
fn parse(source: &[u8]) -> Result<Option<(Head, usize)>, Error> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    let length = match response.parse(source) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if source.len() <= LONGEST_HEAD => return Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => return Err(Error::Malformed),
    };
    let mut headers = HeaderMap::new();
    for field in response.headers.iter() {
        let name = HeaderName::try_from(field.name).map_err(|_| Error::Malformed)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| Error::Malformed)?;
        headers.append(name, value);
    }
    let status = response.code.ok_or(Error::Malformed)?;
    let keep_alive = response.version == Some(1) && !says_close(&headers);
    Ok(Some((Head { status, headers, until_close: false, keep_alive }, length)))
}

fn says_close(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all("connection");
    values.any(|value| {
        let words = value.to_str().unwrap_or("");
        words.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"))
    })
}
