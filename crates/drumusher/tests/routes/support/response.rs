//! Reads HTTP/1.1 responses from a connection, whether complete or cut off.

use std::io::{self, Read};

/// A response as a caller receives it.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The decoded body, as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub complete: bool,
}

impl Response {
    /// The value of the first header with this name, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one response. A body that is cut off is no error but leaves `complete` unset.
///
/// # Errors
///
/// Any I/O error before the head is complete.
pub fn read_response(conn: &mut impl Read) -> io::Result<Response> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    let length = loop {
        if let Some(at) = find(&bytes, b"\r\n\r\n") {
            break at + 4;
        }
        match conn.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..length]).into_owned();
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1)).unwrap_or("");
    let status = status.parse().map_err(io::Error::other)?;
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers: Vec<(String, String)> =
        fields.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string())).collect();
    let mut response = Response { status, headers, body: Vec::new(), complete: false };
    let mut rest = bytes.split_off(length);
    let chunked = response.header("transfer-encoding") == Some("chunked");
    let sized = response.header("content-length").and_then(|text| text.parse::<usize>().ok());
    loop {
        (response.body, response.complete) = match (chunked, sized) {
            (true, _) => decode_chunked(&rest),
            (_, Some(size)) => (rest[..size.min(rest.len())].to_vec(), rest.len() >= size),
            (_, None) => (rest.clone(), false),
        };
        if response.complete {
            return Ok(response);
        }
        match conn.read(&mut buffer) {
            Ok(0) | Err(_) => return Ok(response),
            Ok(count) => rest.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Decodes the chunks that arrived so far; also returns whether the last chunk is among them.
fn decode_chunked(mut bytes: &[u8]) -> (Vec<u8>, bool) {
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

/// The position of the first occurrence of `what`.
fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}
