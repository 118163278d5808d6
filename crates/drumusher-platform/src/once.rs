//! HTTP calls that are sent at most once, and not after a deadline.
//!
//! Each call has its own connection. Nothing is written after the deadline, however long connecting took. If
//! no response comes in time, the connection is reset, so that data of the call still in transit is
//! discarded.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    ops::RangeInclusive,
    time::Duration,
};

use ntex::rt;
use socket2::SockRef;

use crate::{
    Error,
    clock::{self, Micros},
};

/// Maximum length of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// End of the head of a response.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Start of a response, before the digit of its version.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";
/// Status codes of final responses with a meaning (RFC 9110, section 15).
const FINAL_STATUS_CODES: RangeInclusive<u16> = 200..=599;

/// A POST request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server.
    pub address: SocketAddr,
    /// Path.
    pub path: &'static str,
    /// Header names and values.
    pub headers: Vec<(&'static str, String)>,
    /// Body, as JSON.
    pub body: String,
    /// Deadline for writing, on the clock of the process.
    pub until: Micros,
    /// Timeout of the whole call.
    pub timeout: Duration,
}

/// Sends a call and returns the status code of its response.
///
/// # Errors
///
/// [`Error::Unreachable`] if nothing was written, else [`Error::NoAnswer`] or [`Error::Malformed`].
pub async fn post(call: Call) -> Result<u16, Error> {
    rt::spawn_blocking(move || exchange(&call)).await.unwrap_or(Err(Error::Unreachable))
}

fn exchange(call: &Call) -> Result<u16, Error> {
    let end = clock::now() + call.timeout.as_micros() as Micros;
    let mut stream = connect(call.address, end).map_err(|_| Error::Unreachable)?;
    let request = serialize(call);
    if clock::now() > call.until {
        return Err(Error::Unreachable);
    }
    let result = send_and_receive(&mut stream, &request, end);
    if result.is_ok() {
        // The exchange is complete, so nothing is in transit and the connection can close normally. If the
        // option cannot be cleared, it is reset, which does no harm.
        let _ = SockRef::from(&stream).set_linger(None);
    }
    result
}

fn connect(address: SocketAddr, end: Micros) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, time_left(end)?)?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

fn send_and_receive(stream: &mut TcpStream, request: &[u8], end: Micros) -> Result<u16, Error> {
    let no_answer = |_| Error::NoAnswer;
    stream.set_write_timeout(Some(time_left(end).map_err(no_answer)?)).map_err(no_answer)?;
    stream.write_all(request).map_err(no_answer)?;
    let mut head = Vec::new();
    let mut chunk = [0; 1_024];
    while !head.windows(HEAD_END.len()).any(|bytes| bytes == HEAD_END) {
        stream.set_read_timeout(Some(time_left(end).map_err(no_answer)?)).map_err(no_answer)?;
        let count = stream.read(&mut chunk).map_err(no_answer)?;
        if count == 0 || head.len() > MAX_HEAD_BYTES {
            return Err(Error::NoAnswer);
        }
        head.extend_from_slice(&chunk[..count]);
    }
    parse_status(&head).ok_or_else(|| Error::Malformed("a response without a status code".into()))
}

/// The status code in the head of a final response: "HTTP/1.1 200 OK".
fn parse_status(head: &[u8]) -> Option<u16> {
    let [b'0'..=b'9', b' ', code @ ..] = head.strip_prefix(VERSION_PREFIX)? else { return None };
    let [a @ b'0'..=b'9', b @ b'0'..=b'9', c @ b'0'..=b'9', b' ' | b'\r', ..] = code else {
        return None;
    };
    let status = [a, b, c].iter().fold(0, |code, digit| code * 10 + u16::from(**digit - b'0'));
    FINAL_STATUS_CODES.contains(&status).then_some(status)
}

/// The time left until `end`, or a timeout error.
fn time_left(end: Micros) -> io::Result<Duration> {
    let time_left = Duration::from_micros(end.saturating_sub(clock::now()));
    if time_left.is_zero() { Err(io::ErrorKind::TimedOut.into()) } else { Ok(time_left) }
}

fn serialize(call: &Call) -> Vec<u8> {
    let Call { address, path, headers, body, .. } = call;
    let mut text = format!("POST {path} HTTP/1.1\r\nHost: {address}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    let length = body.len();
    text.push_str("Content-Type: application/json\r\nConnection: close\r\n");
    text.push_str(&format!("Content-Length: {length}\r\n\r\n{body}"));
    text.into_bytes()
}
