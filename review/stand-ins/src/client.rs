//! A client: sends one request on a connection, and reads its answer.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status; `None` if the connection ended before the head was there.
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer is whole.
    pub whole: bool,
    /// The time from the request's last byte to the end.
    pub lasted: Duration,
}

impl Request {
    pub fn new(method: &'static str, path: &str, id: &str, deadline_ms: u64) -> Request {
        let (path, id) = (path.to_string(), id.to_string());
        Request { method, path, id, deadline_ms, headers: Vec::new(), body: Vec::new() }
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Request {
        self.headers.push((name, value.into()));
        self
    }

    pub fn with_body(mut self, body: &[u8]) -> Request {
        self.body = body.to_vec();
        self
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nDrumusher-Attempt-Id: {}\r\nDrumusher-Deadline-Ms: {}\r\nApi-Key: {}\r\n",
            self.method,
            self.path,
            crate::HOST,
            self.id,
            self.deadline_ms,
            crate::KEY
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        [head.as_bytes(), &self.body].concat()
    }

    /// Sends the request on a new connection, and waits for its answer until its deadline has passed.
    pub fn send(&self, to: SocketAddr) -> io::Result<Answer> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.write_all(&self.bytes())?;
        let sent = Instant::now();
        let until = sent + Duration::from_millis(self.deadline_ms + 1_000);
        Ok(read_answer(&mut stream, sent, until))
    }
}

fn read_answer(stream: &mut TcpStream, sent: Instant, until: Instant) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16_384];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let answer = parse(&bytes, sent);
        if answer.whole || left.is_zero() {
            return answer;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => return parse(&bytes, sent),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return parse(&bytes, sent),
        }
    }
}

/// What arrived so far.
fn parse(bytes: &[u8], sent: Instant) -> Answer {
    let lasted = sent.elapsed();
    let none = Answer { status: None, headers: Vec::new(), body: Vec::new(), whole: false, lasted };
    let Some(end) = find(bytes, b"\r\n\r\n") else { return none };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers: Vec<(String, String)> =
        fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().into())).collect();
    let header = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone());
    let rest = &bytes[end + 4..];
    let (body, whole) = if header("transfer-encoding").as_deref() == Some("chunked") {
        unchunk(rest)
    } else {
        let length = header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        (rest[..rest.len().min(length)].to_vec(), rest.len() >= length)
    };
    Answer { status, headers, body, whole, lasted }
}

fn unchunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = find(bytes, b"\r\n") else { return (body, false) };
        let size = std::str::from_utf8(&bytes[..end]).ok();
        let Some(size) = size.and_then(|size| usize::from_str_radix(size, 16).ok()) else {
            return (body, false);
        };
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

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// One line for the record.
    pub fn text(&self) -> String {
        let status = self.status.map_or("no answer".into(), |status| status.to_string());
        let seal = self.header("drumusher-response-seal").map_or("no seal", |_| "sealed");
        let whole = if self.whole { "whole" } else { "not whole" };
        let retry =
            self.header("retry-after").map(|s| format!(", Retry-After {s}")).unwrap_or_default();
        format!("{status} ({whole}, {seal}{retry}) after {:.3} s", self.lasted.as_secs_f64())
    }
}
