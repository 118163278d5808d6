//! Requests with JSON answers, by the HTTP client library.

use futures_util::StreamExt;
use ntex::{
    client::{Client, Connector, error::ClientError},
    http::{HeaderMap, StatusCode},
    time::{Millis, timeout},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{Error, tcp};

/// Longest answer taken, in bytes.
const LONGEST: usize = 16 * 1024 * 1024;
/// Longest time to connect.
const CONNECT: Millis = Millis(1_000);
/// Most connections to one host.
const CONNECTIONS: usize = 64;

/// A client for the outside systems, for use on the thread that made it.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
}

/// An answer: its status and its bytes.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The bytes.
    pub body: Vec<u8>,
}

impl Http {
    /// A client whose requests take at most `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the library cannot make a client.
    pub async fn new(timeout: Millis) -> Result<Http, Error> {
        let connector = Connector::new().limit(CONNECTIONS).connector(tcp::connector(CONNECT));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_redirects()
            .response_timeout(timeout)
            .response_payload_timeout(timeout)
            .response_payload_limit(LONGEST)
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|_| Error::Unreachable)?;
        Ok(Http { client })
    }

    /// Gets `url`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] or [`Error::NoAnswer`].
    pub async fn get(&self, url: &str) -> Result<Response, Error> {
        let response = self.client.get(url).send().await.map_err(|e| failed(&e))?;
        answer(response).await
    }

    /// Gets `url`, whose answer has to begin within `begin` and may then pause for `pause` between two of its
    /// pieces. A bound on the whole answer would take a long one on a narrow link for none: a megabyte takes
    /// 0.8 s on ten megabits a second, and is then begun again.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] or [`Error::NoAnswer`].
    pub async fn get_with_idle_timeout(
        &self,
        url: &str,
        begin: Millis,
        pause: Millis,
    ) -> Result<Response, Error> {
        let sent = timeout(begin, self.client.get(url).send()).await;
        let mut response = sent.map_err(|()| Error::NoAnswer)?.map_err(|e| failed(&e))?;
        let mut body = Vec::new();
        loop {
            let piece = timeout(pause, response.next()).await.map_err(|()| Error::NoAnswer)?;
            let Some(piece) = piece else { break };
            let piece = piece.map_err(|_| Error::NoAnswer)?;
            if body.len() + piece.len() > LONGEST {
                return Err(Error::NoAnswer);
            }
            body.extend_from_slice(&piece);
        }
        Ok(Response { status: response.status(), headers: response.headers().clone(), body })
    }

    pub(crate) async fn post<T: Serialize>(&self, url: &str, body: &T) -> Result<Response, Error> {
        let sent = self.client.post(url).send_json(body).await;
        answer(sent.map_err(|e| failed(&e))?).await
    }

    /// Posts bytes to `url`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] or [`Error::NoAnswer`].
    pub async fn post_bytes(&self, url: &str, body: Vec<u8>) -> Result<Response, Error> {
        let sent = self.client.post(url).send_body(body).await;
        answer(sent.map_err(|e| failed(&e))?).await
    }
}

async fn answer(response: ntex::client::ClientResponse) -> Result<Response, Error> {
    let status = response.status();
    let headers = response.headers().clone();
    let body = response.body().limit(LONGEST).await.map_err(|_| Error::NoAnswer)?;
    Ok(Response { status, headers, body: body.to_vec() })
}

impl Response {
    /// The value of a header, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// When to come back, in seconds, if it says so.
    pub fn retry_after(&self) -> Option<u64> {
        self.header("retry-after")?.parse().ok()
    }

    /// The body of a successful answer.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] for any other status, [`Error::Malformed`] if it is not such JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if !self.status.is_success() {
            return Err(Error::Unavailable(self.status.as_u16()));
        }
        self.json_any_status()
    }

    /// The same of an answer that quotes what others wrote, whose bytes may be no text in places: there the
    /// usual mark stands for them.
    ///
    /// # Errors
    ///
    /// As [`Response::json`].
    pub fn json_lossy<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if !self.status.is_success() {
            return Err(Error::Unavailable(self.status.as_u16()));
        }
        let text = String::from_utf8_lossy(&self.body);
        serde_json::from_str(&text).map_err(|e| Error::Malformed(e.to_string()))
    }

    /// The body of an answer with any status.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if it is not such JSON.
    pub fn json_any_status<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|e| Error::Malformed(e.to_string()))
    }
}

fn failed(error: &ClientError) -> Error {
    match error {
        ClientError::Connect(_) => Error::Unreachable,
        _ => Error::NoAnswer,
    }
}
