//! A call that is made at most once, and not after a given moment.
//!
//! It has a connection of its own. Nothing is written after the moment, however long connecting took; and when no
//! answer comes in time the connection is reset, so that what the network still holds of the call is lost.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use ntex::rt;
use socket2::SockRef;

use crate::{
    Error,
    clock::{self, Micros},
};

/// Longest head of an answer, in bytes.
const LONGEST: usize = 16 * 1024;
/// What ends the head of an answer.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Where the status stands in the first line of an answer: "HTTP/1.1 200 …".
const STATUS: std::ops::Range<usize> = 9..12;

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where to.
    pub address: SocketAddr,
    /// The path.
    pub path: &'static str,
    /// Headers by name.
    pub headers: Vec<(&'static str, String)>,
    /// The body, JSON.
    pub body: String,
    /// Nothing is written after this, on the clock of the process.
    pub until: Micros,
    /// Longest time of all of it.
    pub timeout: Duration,
}

/// Posts a call and returns the status of its answer.
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
    let bytes = bytes(call);
    if clock::now() > call.until {
        return Err(Error::Unreachable);
    }
    let answered = write_and_read(&mut stream, &bytes, end);
    if answered.is_ok() {
        // In order: nothing is under way any more. A socket that cannot be told so is reset all the same.
        let _ = SockRef::from(&stream).set_linger(None);
    }
    answered
}

fn connect(address: SocketAddr, end: Micros) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, left(end)?)?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

fn write_and_read(stream: &mut TcpStream, bytes: &[u8], end: Micros) -> Result<u16, Error> {
    let no_answer = |_| Error::NoAnswer;
    stream.set_write_timeout(Some(left(end).map_err(no_answer)?)).map_err(no_answer)?;
    stream.write_all(bytes).map_err(no_answer)?;
    let mut answer = Vec::new();
    let mut piece = [0; 1_024];
    while !answer.windows(HEAD_END.len()).any(|bytes| bytes == HEAD_END) {
        stream.set_read_timeout(Some(left(end).map_err(no_answer)?)).map_err(no_answer)?;
        let count = stream.read(&mut piece).map_err(no_answer)?;
        if count == 0 || answer.len() > LONGEST {
            return Err(Error::NoAnswer);
        }
        answer.extend_from_slice(&piece[..count]);
    }
    let status = answer.get(STATUS).and_then(|text| std::str::from_utf8(text).ok());
    let status = status.and_then(|text| text.parse().ok());
    status.ok_or_else(|| Error::Malformed("an answer without a status".into()))
}

/// The time that is left, if there is any.
fn left(end: Micros) -> io::Result<Duration> {
    let left = Duration::from_micros(end.saturating_sub(clock::now()));
    if left.is_zero() { Err(io::ErrorKind::TimedOut.into()) } else { Ok(left) }
}

fn bytes(call: &Call) -> Vec<u8> {
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
