//! A blocking HTTP client for tests, the demo and measurements.

use std::{
    io::{self, Read, Write},
    net::{TcpStream, ToSocketAddrs},
    time::Duration,
};

/// An HTTP response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Body, or the part of it that was received before an error.
    pub body: String,
    /// Whether an error ended the body early.
    pub broken: bool,
}

impl Response {
    /// Value of a header, whose name is matched without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Body as JSON; null if it isn't valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Lines of the body as JSON, without those that aren't valid JSON.
    pub fn lines(&self) -> Vec<serde_json::Value> {
        self.body.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Concatenated text of the first choice in every event of an event stream.
    pub fn streamed_text(&self) -> String {
        let events = self.body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
        let parsed = events.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
        let texts = parsed.map(|event| {
            let choice = &event["choices"][0];
            let text = choice["text"].as_str().or(choice["delta"]["content"].as_str());
            text.unwrap_or_default().to_string()
        });
        texts.collect()
    }
}

/// Timeout of a request, from connecting to the end of the body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build();
    config.into()
}

fn read(response: ureq::http::Response<ureq::Body>) -> Response {
    let status = response.status().as_u16();
    let headers = response.headers().iter();
    let headers = headers
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_string()))
        .collect();
    let mut bytes = Vec::new();
    let broken = response.into_body().into_reader().read_to_end(&mut bytes).is_err();
    Response { status, headers, body: String::from_utf8_lossy(&bytes).into_owned(), broken }
}

/// Sends a GET request.
///
/// # Errors
///
/// Any I/O error before the response head is received.
pub fn get(address: &str, path: &str, headers: &[(&str, &str)]) -> io::Result<Response> {
    let mut request = agent().get(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.call().map(read).map_err(io::Error::other)
}

/// Sends a POST request.
///
/// # Errors
///
/// Any I/O error before the response head is received.
pub fn post(
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Response> {
    let mut request = agent().post(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.send(body).map(read).map_err(io::Error::other)
}

/// Sends a PUT request.
///
/// # Errors
///
/// Any I/O error before the response head is received.
pub fn put(address: &str, path: &str, body: &str) -> io::Result<Response> {
    let request = agent().put(format!("http://{address}{path}"));
    request.send(body).map(read).map_err(io::Error::other)
}

/// Sends a streaming completion request on a new TCP connection and returns the connection without reading the
/// response.
///
/// # Errors
///
/// Any I/O error of connecting or writing.
pub fn open_stream(address: &str, key: &str, tag: &str, tokens: u32) -> io::Result<TcpStream> {
    let body = serde_json::json!({
        "model": "draft", "prompt": tag, "max_tokens": tokens, "stream": true,
    });
    let body = body.to_string();
    let mut connection = TcpStream::connect(address)?;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {key}\r\n\
         drumusher-class: urgent\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    connection.write_all(head.as_bytes())?;
    connection.write_all(body.as_bytes())?;
    Ok(connection)
}

/// Keeps [`send_without_end`] from hanging if the server neither reads nor closes.
const ENDLESS_WRITE_TIMEOUT: Duration = Duration::from_secs(45);
/// Size of the writes of [`send_without_end`], in bytes.
const ENDLESS_WRITE_BYTES: usize = 64 * 1024;

/// Sends `head`, and then `block` until the server closes the connection. Returns the number of bytes that were sent after
/// the head.
///
/// # Errors
///
/// Any error of connecting.
pub fn send_without_end(address: impl ToSocketAddrs, head: &str, block: &str) -> io::Result<usize> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_write_timeout(Some(ENDLESS_WRITE_TIMEOUT))?;
    // An error shows with the next write too.
    let _ = stream.write_all(head.as_bytes());
    let (block, mut sent) = (block.repeat(ENDLESS_WRITE_BYTES / block.len()), 0);
    while let Ok(count) = stream.write(block.as_bytes()) {
        sent += count;
    }
    Ok(sent)
}
