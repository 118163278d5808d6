//! HTTP client for requests with JSON responses.

use futures_util::StreamExt;
use ntex::{
    client::{Client, Connector, error::ClientError},
    http::{HeaderMap, StatusCode},
    time::{Millis, timeout},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{Error, tcp};

/// Maximum length of a response body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Timeout for connecting.
const CONNECT_TIMEOUT: Millis = Millis(1_000);
/// Maximum number of connections to one host.
const MAX_CONNECTIONS: usize = 64;

/// HTTP client for the platform's services. To be used on the thread that created it.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
}

/// A response with its whole body.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

impl Http {
    /// Creates a client whose requests time out after `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the library cannot create a client.
    pub async fn new(timeout: Millis) -> Result<Http, Error> {
        let connector =
            Connector::new().limit(MAX_CONNECTIONS).connector(tcp::connector(CONNECT_TIMEOUT));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_redirects()
            .response_timeout(timeout)
            .response_payload_timeout(timeout)
            .response_payload_limit(MAX_BODY_BYTES)
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|_| Error::Unreachable)?;
        Ok(Http { client })
    }

    /// Sends a GET request to `url`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] or [`Error::NoAnswer`].
    pub async fn get(&self, url: &str) -> Result<Response, Error> {
        let response = self.client.get(url).send().await.map_err(|e| send_error(&e))?;
        read_response(response).await
    }

    /// Sends a GET request to `url`. The response has to start within `begin` and may then pause for at most
    /// `pause` between two chunks. A timeout for the whole response would abort a long one on a slow link and
    /// start it over: one megabyte takes 0.8 s at 10 Mbit/s.
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
        self.get_with_headers(url, &[], begin, pause).await
    }

    /// Like [`Http::get_with_idle_timeout`] with additional headers.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] or [`Error::NoAnswer`].
    pub async fn get_with_headers(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        begin: Millis,
        pause: Millis,
    ) -> Result<Response, Error> {
        let request = self.client.get(url);
        let request =
            headers.iter().fold(request, |request, (name, value)| request.header(*name, *value));
        let response_result = timeout(begin, request.send()).await;
        let mut response =
            response_result.map_err(|()| Error::NoAnswer)?.map_err(|e| send_error(&e))?;
        let mut body = Vec::new();
        loop {
            let chunk = timeout(pause, response.next()).await.map_err(|()| Error::NoAnswer)?;
            let Some(chunk) = chunk else { break };
            let chunk = chunk.map_err(|_| Error::NoAnswer)?;
            if body.len() + chunk.len() > MAX_BODY_BYTES {
                return Err(Error::NoAnswer);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(Response { status: response.status(), headers: response.headers().clone(), body })
    }

    pub(crate) async fn post<T: Serialize>(&self, url: &str, body: &T) -> Result<Response, Error> {
        let response_result = self.client.post(url).send_json(body).await;
        read_response(response_result.map_err(|e| send_error(&e))?).await
    }

    /// Sends a POST request with `body` to `url`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] or [`Error::NoAnswer`].
    pub async fn post_bytes(&self, url: &str, body: Vec<u8>) -> Result<Response, Error> {
        let response_result = self.client.post(url).send_body(body).await;
        read_response(response_result.map_err(|e| send_error(&e))?).await
    }
}

async fn read_response(response: ntex::client::ClientResponse) -> Result<Response, Error> {
    let status = response.status();
    let headers = response.headers().clone();
    let body = response.body().limit(MAX_BODY_BYTES).await.map_err(|_| Error::NoAnswer)?;
    Ok(Response { status, headers, body: body.to_vec() })
}

impl Response {
    /// The value of a header, if it is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The `Retry-After` header in seconds, if it is present and a number.
    pub fn retry_after(&self) -> Option<u64> {
        self.header("retry-after")?.parse().ok()
    }

    /// Parses the body of a successful response as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] for any other status, [`Error::Malformed`] if the body is not JSON of this
    /// type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if !self.status.is_success() {
            return Err(Error::Unavailable(self.status.as_u16()));
        }
        self.json_any_status()
    }

    /// Like [`Response::json`] for a response that quotes what others wrote and may hold invalid UTF-8, which
    /// is replaced by U+FFFD.
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

    /// Parses the body of a response with any status as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the body is not JSON of this type.
    pub fn json_any_status<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|e| Error::Malformed(e.to_string()))
    }
}

fn send_error(error: &ClientError) -> Error {
    if tcp::is_unsent(error) { Error::Unreachable } else { Error::NoAnswer }
}
