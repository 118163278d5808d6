//! HTTP/1.1 requests as callers send them.

use std::sync::atomic::{AtomicU32, Ordering};

use super::KEY;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: &'static str,
    /// The path and the query.
    pub path: String,
    /// The request ID, sent as `Drumusher-Attempt-Id` unless it is empty.
    pub id: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl Request {
    /// A GET request with a new ID. The paths of streaming routes also get the headers of a model request.
    pub fn get(path: &str) -> Request {
        static NUMBER: AtomicU32 = AtomicU32::new(1);
        let id = format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let mut request = Request {
            method: "GET",
            path: path.into(),
            id,
            headers: vec![("Api-Key".into(), KEY.into())],
            body: String::new(),
        };
        if path.starts_with("/draft/") || path.starts_with("/talk/") {
            request = request
                .with("Drumusher-Token-Usage", "600,60")
                .with("Drumusher-Prompt-Prefix", "a1:200,b2:300,c3:100")
                .with("Drumusher-Model", "m");
        }
        request
    }

    /// A POST request with a body.
    pub fn post(path: &str, body: &str) -> Request {
        Request { method: "POST", body: body.into(), ..Request::get(path) }
    }

    /// The same request with a new ID.
    pub fn with_new_id(&self) -> Request {
        Request { id: Request::get(&self.path).id, ..self.clone() }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Request {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Removes a header.
    pub fn without(mut self, name: &str) -> Request {
        self.headers.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
        self
    }

    /// The request as it is sent. Without a deadline of its own it gets one of 15 s.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\nHost: host.example\r\n", self.method, self.path);
        if !self.id.is_empty() {
            text.push_str(&format!("Drumusher-Attempt-Id: {}\r\n", self.id));
        }
        if !self.headers.iter().any(|(name, _)| name == "Drumusher-Deadline-Ms") {
            text.push_str("Drumusher-Deadline-Ms: 15000\r\n");
        }
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        text.push_str(&self.body);
        text.into_bytes()
    }
}
