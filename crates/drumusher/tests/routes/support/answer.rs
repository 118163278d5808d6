//! Answers as callers read them from a connection, whole or cut off.

use std::{
    io::{self, Read},
    net::TcpStream,
};

/// An answer as a caller sees it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether it came whole.
    pub whole: bool,
}

impl Answer {
    /// The first header of a name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one answer.
///
/// # Errors
///
/// Any error before its head.
pub fn read(conn: &mut TcpStream) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4_096];
    let length = loop {
        if let Some(at) = find(&bytes, b"\r\n\r\n") {
            break at + 4;
        }
        match conn.read(&mut piece)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&piece[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..length]).into_owned();
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1)).unwrap_or("");
    let status = status.parse().map_err(io::Error::other)?;
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers: Vec<(String, String)> =
        fields.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string())).collect();
    let mut answer = Answer { status, headers, body: Vec::new(), whole: false };
    let mut rest = bytes.split_off(length);
    let chunked = answer.header("transfer-encoding") == Some("chunked");
    let sized = answer.header("content-length").and_then(|text| text.parse::<usize>().ok());
    loop {
        (answer.body, answer.whole) = match (chunked, sized) {
            (true, _) => unchunk(&rest),
            (_, Some(size)) => (rest[..size.min(rest.len())].to_vec(), rest.len() >= size),
            (_, None) => (rest.clone(), false),
        };
        if answer.whole {
            return Ok(answer);
        }
        match conn.read(&mut piece) {
            Ok(0) | Err(_) => return Ok(answer),
            Ok(count) => rest.extend_from_slice(&piece[..count]),
        }
    }
}

/// The body of chunks so far, and whether the last one is there.
fn unchunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = find(bytes, b"\r\n") else { return (body, false) };
        let size = std::str::from_utf8(&bytes[..end]).unwrap_or("");
        let Ok(size) = usize::from_str_radix(size, 16) else { return (body, false) };
        bytes = &bytes[end + 2..];
        if size == 0 {
            return (body, bytes.starts_with(b"\r\n"));
        }
        if bytes.len() < size + 2 {
            body.extend_from_slice(&bytes[..size.min(bytes.len())]);
            return (body, false);
        }
        body.extend_from_slice(&bytes[..size]);
        bytes = &bytes[size + 2..];
    }
}

/// Where `what` first stands.
fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}
