//! Taking a caller's request: its head, its route, its workspace, its body.

use std::{fmt, sync::Arc};

use drumusher_platform::{dialect::Dialect, routing::Limits};
use drumusher_schedule::time::{MILLISECOND, Micros};
use ntex::{
    http::{self, HeaderMap, Response, error::PayloadError},
    time::{Millis, sleep, timeout},
    util::{Bytes, BytesMut, stream_recv},
};

use super::{
    Handle,
    exchange::{Exchange, Request},
    refusal,
};
use crate::{
    error::{Error, Kind},
    process::{Shared, clock},
    request::in_flight::InFlight,
    version::{Denial, Routing},
};

/// When to come back to an instance that has no configuration yet, in milliseconds: a new process
/// has one within some hundred milliseconds.
const NOT_READY_MS: u64 = 300;
/// A request that waits for the first configuration does so for no more than this part of the time that
/// its caller has.
const STARTING_PART: u64 = 4;
/// Time between two looks for the first configuration.
const STARTING_LOOK: Millis = Millis(16);
/// A stopping instance takes no request after this: what comes so late could not be finished.
const REFUSE_AFTER: Micros = 2_800 * MILLISECOND;
/// When to come back after that, in milliseconds; on a new connection another instance answers.
const STOPPING_MS: u64 = 50;
/// Headers that concern one connection only.
const CONNECTION_ONLY: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// Whether a header concerns one connection only, so that it is not passed on.
pub fn concerns_connection(name: &str) -> bool {
    CONNECTION_ONLY.contains(&name)
}

/// The service never fails: whatever goes wrong is an answer.
#[derive(Debug)]
pub enum Never {}

impl fmt::Display for Never {
    fn fmt(&self, _: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {}
    }
}

impl std::error::Error for Never {}

impl http::ResponseError for Never {}

/// Answers a caller's request.
///
/// # Errors
///
/// None: whatever goes wrong is an answer.
pub async fn serve<D: Dialect>(
    worker: Handle<D>,
    request: http::Request,
) -> Result<Response, Never> {
    let method = request.method().clone();
    let path = request.path().to_string();
    let id = worker.dialect.read_head(request.headers()).map(|head| head.id).unwrap_or_default();
    match read(&worker, request).await {
        Ok((in_flight, request)) => Ok(Exchange::new(worker, in_flight, request).answer().await),
        Err(error) => {
            log::info!(
                request = id.as_str(), method = method.as_str(), path = path.as_str(), status = error.kind.status();
                "request turned away: {}", error.message
            );
            worker.shared.telemetry.count("drumusher.turned.away", &[("kind", error.kind.code())]);
            Ok(refusal::response(&error, worker.shared.stopping()))
        }
    }
}

/// Reads a request that may be passed on: one within the limits, with a route and, where that needs
/// one, a key.
///
/// # Errors
///
/// The answer for the caller.
async fn read<D: Dialect>(
    worker: &Handle<D>,
    mut request: http::Request,
) -> Result<(InFlight, Request), Error> {
    let arrived = clock::now();
    let shared = &worker.shared;
    let head = worker.dialect.read_head(request.headers());
    await_routing(shared, head.as_ref().ok().and_then(|head| head.deadline_ms)).await;
    let routing = routing(shared)?;
    let limits = routing.limits();
    if head_bytes(&request) > limits.header_bytes {
        return Err(Error::new(Kind::HeadTooLarge, "the head is too long"));
    }
    let head = head.map_err(|reason| Error::new(Kind::BadRequest, reason))?;
    let path = path(&request).to_string();
    let found = routing.find(host(&request), &path, head.key.as_deref(), &head.id);
    let found = found.map_err(denied)?;
    let in_flight = InFlight::new(shared.clone())?;
    let caller = request.io().cloned();
    let in_use = caller.as_ref().map(|io| worker.client_connections.enter(io));
    let body = body(&mut request, limits, shared.settings.limits.body_ms).await?;
    let headers = passed(&worker.dialect, request.headers());
    let method = request.method().clone();
    Ok((in_flight, Request { method, path, headers, body, head, found, arrived, caller, in_use }))
}

/// Waits while the process starts and has no configuration yet.
async fn await_routing(shared: &Shared, deadline_ms: Option<u64>) {
    let started = shared.began + shared.settings.start_wait_ms * MILLISECOND;
    let until = match deadline_ms {
        Some(ms) => started.min(clock::now() + ms * MILLISECOND / STARTING_PART),
        None => started,
    };
    while shared.routing.load().is_none() && clock::now() < until {
        sleep(STARTING_LOOK).await;
    }
}

/// The routes in force, unless this instance takes no requests: not yet, or no more.
fn routing(shared: &Shared) -> Result<Arc<Routing>, Error> {
    let Some(routing) = shared.routing.load_full() else {
        let message = "this instance has no configuration yet";
        return Err(Error::new(Kind::NotReady, message).with_retry_after(NOT_READY_MS));
    };
    if shared.stopping_for().is_some_and(|time| time > REFUSE_AFTER) {
        let message = "this instance is stopping";
        return Err(Error::new(Kind::NotReady, message).with_retry_after(STOPPING_MS));
    }
    Ok(routing)
}

fn denied(denial: Denial) -> Error {
    match denial {
        Denial::NoRoute => Error::new(Kind::UnknownPath, "no route for this host and path"),
        Denial::NoKey => Error::new(Kind::Unauthorized, "the key is missing or not known"),
    }
}

/// The host that the request names, in its header or else in its target.
fn host(request: &http::Request) -> &str {
    let host = request.headers().get("host").and_then(|host| host.to_str().ok());
    host.or_else(|| request.uri().host()).unwrap_or("")
}

/// The path and query that the request names.
fn path(request: &http::Request) -> &str {
    request.uri().path_and_query().map_or("/", |path| path.as_str())
}

/// The length of the request's head as it counts against the limit.
fn head_bytes(request: &http::Request) -> usize {
    // Around a name and its value stand a colon, a space and the end of the line.
    let fields = request.headers().iter();
    let fields: usize = fields.map(|(n, v)| n.as_str().len() + v.as_bytes().len() + 4).sum();
    path(request).len() + fields
}

/// Reads the whole body within the limits.
async fn body(
    request: &mut http::Request,
    limits: Limits,
    longest_ms: u64,
) -> Result<Bytes, Error> {
    let mut payload = request.take_payload();
    let reading = async move {
        let mut body = BytesMut::new();
        while let Some(piece) = stream_recv(&mut payload).await {
            let piece: Result<Bytes, PayloadError> = piece;
            let piece = piece.map_err(|_| Error::new(Kind::BadRequest, "the body broke off"))?;
            if body.len() + piece.len() > limits.body_bytes {
                return Err(Error::new(Kind::TooLarge, "the body is too long"));
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    };
    let late = |()| Error::new(Kind::BadRequest, "the body did not come in time");
    timeout(Millis(longest_ms as u32), reading).await.map_err(late)?
}

/// The caller's headers that go on to a backend server.
fn passed<D: Dialect>(dialect: &D, headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut passed = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let own = concerns_connection(name.as_str()) || named.iter().any(|n| n == name.as_str());
        if !own && dialect.passes(name) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}
