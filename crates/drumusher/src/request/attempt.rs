//! Sends one attempt to a backend server over HTTP.

use drumusher_platform::tcp;
use ntex::{
    client::{self, ClientRequest, ClientResponse, Connector, error::ClientError},
    http::{Method, Payload},
    time::{Millis, Seconds, timeout},
    util::{Bytes, stream_recv},
};

use super::{
    head::{IDEMPOTENCY_HEADER, REQUEST_ID_HEADER},
    id,
    trace::TRACEPARENT,
};
use crate::{process::memory::Exhausted, settings::Backend as Settings};

/// Maximum number of connections from one HTTP worker to one backend server.
const MAX_CONNECTIONS: usize = 4_096;

/// Time after which an idle connection is not reused. Many servers close theirs after 5 s, and a request that meets that
/// moment fails.
const IDLE_TIMEOUT: Seconds = Seconds(4);

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection was established; nothing was sent.
    NotSent,
    /// The backend server has no capacity; the request was not run.
    Full,
    /// The connection was closed before any response; the request may have run.
    Closed,
    /// The connection broke during the response.
    Broken,
    /// The response stopped for too long.
    Stalled,
    /// The response did not begin in time.
    NoResponse,
    /// The backend server responded with an error status.
    Failed(u16),
    /// The response belongs to another request.
    Mismatched,
    /// The response takes more memory than this instance has left.
    NoMemory,
}

impl From<Exhausted> for Error {
    fn from(_: Exhausted) -> Self {
        Error::NoMemory
    }
}

impl Error {
    /// Returns whether the request certainly did not run.
    pub fn not_run(self) -> bool {
        matches!(self, Error::NotSent | Error::Full)
    }

    /// Returns whether the attempt ended before any response and the request is not suspected of it: an engine that the
    /// request crashes closes the connection.
    pub fn is_rejection(self) -> bool {
        match self {
            Error::NotSent | Error::Full | Error::NoResponse | Error::Failed(_) => true,
            Error::Closed
            | Error::Broken
            | Error::Stalled
            | Error::Mismatched
            | Error::NoMemory => false,
        }
    }

    /// Description used in spans, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Error::NotSent => "no connection",
            Error::Full => "takes no more",
            Error::Closed => "closed without a response",
            Error::Broken => "broke off",
            Error::Stalled | Error::NoResponse => "stalled",
            Error::Failed(_) => "failed",
            Error::Mismatched => "answered another request",
            Error::NoMemory => "got no memory",
        }
    }
}

/// HTTP client of one HTTP worker.
#[derive(Clone)]
pub struct Client {
    /// Reuses idle connections.
    pooled: client::Client,
    /// Opens a connection for each request. A backend server may close an idle connection at the moment at which it is
    /// reused, and whether it ran the request is unknown then.
    unpooled: client::Client,
}

impl Client {
    /// Creates a client without connections.
    ///
    /// # Errors
    ///
    /// An error message if the library cannot create the client.
    pub async fn new(settings: &Settings) -> Result<Client, String> {
        let (pooled, unpooled) = (build(settings).await?, build(settings).await?);
        Ok(Client { pooled, unpooled })
    }
}

async fn build(settings: &Settings) -> Result<client::Client, String> {
    let limit = Millis(settings.connect_ms as u32);
    let connector = Connector::new()
        .limit(MAX_CONNECTIONS)
        .keep_alive(IDLE_TIMEOUT)
        .connector(tcp::connector(limit));
    client::Client::builder()
        .connector::<()>(connector)
        .disable_redirects()
        .no_default_headers()
        .response_timeout(Millis(settings.first_byte_ms as u32))
        .build(ntex::SharedCfg::new("backend").build())
        .await
        .map_err(|e| e.to_string())
}

/// A request to a backend server.
#[derive(Clone, Debug)]
pub struct AttemptRequest<'a> {
    /// `ip:port`.
    pub address: &'a str,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Request ID.
    pub id: u128,
    /// `traceparent` header of this attempt's span.
    pub traceparent: String,
    /// Headers to forward.
    pub headers: &'a [(&'static str, String)],
    /// Request body.
    pub body: Bytes,
    /// Whether it may be sent more than once.
    pub repeatable: bool,
}

/// Sends a request and waits for the head of the response.
///
/// # Errors
///
/// Any [`Error`] but [`Error::Failed`]; the caller of this function has to check the status.
pub async fn send(client: &Client, request: AttemptRequest<'_>) -> Result<ClientResponse, Error> {
    let outgoing = if request.repeatable {
        encode(&client.pooled, &request)
    } else {
        encode(&client.unpooled, &request).force_close()
    };
    let sent = outgoing.send_body(request.body).await;
    let response = sent.map_err(|error| classify(&error))?;
    let echoed = response.header(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    if echoed.is_some_and(|echoed| echoed != id::to_text(request.id)) {
        return Err(Error::Mismatched);
    }
    Ok(response)
}

fn encode(client: &client::Client, request: &AttemptRequest<'_>) -> ClientRequest {
    let url = format!("http://{}{}", request.address, request.path);
    let mut outgoing = client
        .request(request.method.clone(), url.as_str())
        .header(REQUEST_ID_HEADER, id::to_text(request.id).as_str())
        .header(TRACEPARENT, request.traceparent.as_str());
    for (name, value) in request.headers {
        outgoing = outgoing.header(*name, value.as_str());
    }
    outgoing
}

fn classify(error: &ClientError) -> Error {
    match error {
        _ if tcp::is_unsent(error) => Error::NotSent,
        ClientError::Connect(_) | ClientError::Send(_) => Error::Closed,
        ClientError::Timeout => Error::NoResponse,
        _ => Error::Broken,
    }
}

/// Returns the next chunk of a response body, or `None` at its end.
///
/// # Errors
///
/// [`Error::Broken`] if the connection breaks, [`Error::Stalled`] if nothing is received within `longest_ms`.
pub async fn next_chunk(payload: &mut Payload, longest_ms: u64) -> Result<Option<Bytes>, Error> {
    let next = timeout(Millis(longest_ms as u32), stream_recv(payload)).await;
    match next {
        Ok(Some(Ok(bytes))) => Ok(Some(bytes)),
        Ok(None) => Ok(None),
        Ok(Some(Err(_))) => Err(Error::Broken),
        Err(()) => Err(Error::Stalled),
    }
}

/// Headers that are forwarded to plain services.
pub const FORWARDED_HEADERS: [&str; 4] =
    ["content-type", "accept", IDEMPOTENCY_HEADER, "user-agent"];
