//! HTTP handler of routed requests: reads the head, finds route and workspace, and reads the body.

use std::{fmt, sync::Arc};

use drumusher_platform::{dialect::Dialect, routing::Limits};
use drumusher_schedule::time::{MILLISECOND, Micros};
use ntex::{
    http::{self, HeaderMap, Response, error::PayloadError},
    time::{Millis, sleep},
    util::{Bytes, BytesMut, Either, select, stream_recv},
};

use super::{
    Handle, error_response,
    exchange::{Exchange, Request},
};
use crate::{
    error::{Error, Kind},
    process::{Shared, clock},
    request::in_flight::{self, InFlight},
    version::{Denial, Routing},
};

/// `Retry-After` in milliseconds while the instance has no configuration yet: a new process has one within a few
/// hundred milliseconds.
const NOT_READY_RETRY_MS: u64 = 300;
/// While the instance starts, a request waits for the first configuration for at most its own timeout divided by this.
const STARTUP_WAIT_DIVISOR: u64 = 4;
/// Interval at which a waiting request checks for the first configuration.
const STARTUP_POLL: Millis = Millis(16);
/// An instance refuses new requests this long after it was told to stop: later ones could not be finished.
const REFUSE_AFTER_STOP: Micros = 2_800 * MILLISECOND;
/// Headers that concern a single connection and are not forwarded: hop-by-hop headers, `expect` and `content-length`.
const HOP_BY_HOP: [&str; 11] = [
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

/// Returns whether a header concerns a single connection and must not be forwarded.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Error type without values: every failure is reported to the client as a response.
#[derive(Debug)]
pub enum Never {}

impl fmt::Display for Never {
    fn fmt(&self, _: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {}
    }
}

impl std::error::Error for Never {}

impl http::ResponseError for Never {}

/// Handles a client's request and returns the response.
///
/// # Errors
///
/// Never: failures are reported to the client as error responses.
pub async fn serve<D: Dialect>(
    worker: Handle<D>,
    request: http::Request,
) -> Result<Response, Never> {
    let method = request.method().clone();
    let path = request.path().to_string();
    let id = worker.dialect.read_head(request.headers()).map(|head| head.id).unwrap_or_default();
    match read_request(&worker, request).await {
        Ok((in_flight, request)) => Ok(Exchange::new(worker, in_flight, request).run().await),
        Err(error) => {
            log::info!(
                request = id.as_str(), method = method.as_str(), path = path.as_str(), status = error.kind.status();
                "request turned away: {}", error.message
            );
            worker.shared.telemetry.count("drumusher.turned.away", &[("kind", error.kind.code())]);
            Ok(error_response::build(&error, worker.shared.stopping()))
        }
    }
}

/// Reads and checks a request: it has to be within the limits and match a route, with a valid API key if the route
/// needs one.
///
/// # Errors
///
/// The error to respond with.
async fn read_request<D: Dialect>(
    worker: &Handle<D>,
    mut request: http::Request,
) -> Result<(InFlight, Request), Error> {
    let arrived = clock::now();
    let shared = &worker.shared;
    let client = request.io().cloned();
    let in_use = client.as_ref().map(|io| worker.client_connections.begin_request(io));
    let head = worker.dialect.read_head(request.headers());
    wait_for_routing(shared, head.as_ref().ok().and_then(|head| head.deadline_ms)).await;
    let routing = routing(shared)?;
    let limits = routing.limits();
    if head_bytes(&request) > limits.header_bytes {
        return Err(Error::new(Kind::HeadTooLarge, "the request head exceeds the size limit"));
    }
    let head = head.map_err(|reason| Error::new(Kind::BadRequest, reason))?;
    let path = path(&request).to_string();
    let route_match = routing.find(host(&request), &path, head.key.as_deref(), &head.id);
    let route_match = route_match.map_err(denial_error)?;
    let in_flight = InFlight::new(shared.clone())?;
    let mut in_flight = in_flight.with_body(request.headers(), limits.body_bytes)?;
    let timeout_ms = head.deadline_ms.unwrap_or(u64::MAX).min(route_match.timeout_ms);
    let is_refused = || is_too_late(shared, arrived + timeout_ms * MILLISECOND);
    let body = read_body(&mut request, &mut in_flight, limits, is_refused).await?;
    // A body may be complete just before the next check.
    if is_refused() {
        return Err(Error::stopping());
    }
    let headers = forwarded_headers(&worker.dialect, request.headers());
    let method = request.method().clone();
    Ok((
        in_flight,
        Request { method, path, headers, body, head, route_match, arrived, client, in_use },
    ))
}

/// Waits for the first configuration while the process starts.
async fn wait_for_routing(shared: &Shared, deadline_ms: Option<u64>) {
    let started = shared.began + shared.settings.start_wait_ms * MILLISECOND;
    let until = match deadline_ms {
        Some(ms) => started.min(clock::now() + ms * MILLISECOND / STARTUP_WAIT_DIVISOR),
        None => started,
    };
    while shared.routing.load().is_none() && clock::now() < until && !shared.stopping() {
        sleep(STARTUP_POLL).await;
    }
}

/// Returns the active routes, or an error if the instance has no configuration yet or is about to stop.
fn routing(shared: &Shared) -> Result<Arc<Routing>, Error> {
    let routing = shared.routing.load_full();
    let requested_for = shared.stop_requested_for();
    if requested_for.is_some_and(|time| routing.is_none() || time > REFUSE_AFTER_STOP) {
        return Err(Error::stopping());
    }
    let message = "this instance has no configuration yet";
    routing.ok_or_else(|| Error::new(Kind::NotReady, message).with_retry_after(NOT_READY_RETRY_MS))
}

/// Whether a request whose body is not read yet is refused because of a planned stop, which could cut it before its
/// `deadline`.
fn is_too_late(shared: &Shared, deadline: Micros) -> bool {
    let requested_for = shared.stop_requested_for();
    let is_late = requested_for.is_some_and(|time| time > REFUSE_AFTER_STOP);
    let may_be_cut = shared.stop_schedule().is_some_and(|schedule| schedule.may_cut(deadline));
    is_late && may_be_cut || shared.stop_refuses_waiting(None)
}

fn denial_error(denial: Denial) -> Error {
    match denial {
        Denial::NoRoute => Error::new(Kind::UnknownPath, "no route matches this host and path"),
        Denial::NoKey => Error::new(Kind::Unauthorized, "the API key is missing or unknown"),
    }
}

/// Returns the host from the `Host` header, or else from the request target.
fn host(request: &http::Request) -> &str {
    let host = request.headers().get("host").and_then(|host| host.to_str().ok());
    host.or_else(|| request.uri().host()).unwrap_or("")
}

/// Returns path and query of the request target.
fn path(request: &http::Request) -> &str {
    request.uri().path_and_query().map_or("/", |path| path.as_str())
}

/// Length of the request head in bytes, as it counts against the limit.
fn head_bytes(request: &http::Request) -> usize {
    // Each field adds a colon, a space and a line end to its name and value: 4 bytes.
    let fields = request.headers().iter();
    let fields: usize = fields.map(|(n, v)| n.as_str().len() + v.as_bytes().len() + 4).sum();
    path(request).len() + fields
}

/// Reads the full request body within the size limit and the time limit.
async fn read_body(
    request: &mut http::Request,
    in_flight: &mut InFlight,
    limits: Limits,
    is_refused: impl Fn() -> bool,
) -> Result<Bytes, Error> {
    let shared = in_flight.shared();
    let mut payload = request.take_payload();
    let reading = async move {
        let mut body = BytesMut::with_capacity(in_flight.body_bytes());
        while let Some(chunk) = stream_recv(&mut payload).await {
            let chunk: Result<Bytes, PayloadError> = chunk;
            let chunk = chunk
                .map_err(|_| Error::new(Kind::BadRequest, "the request body ended prematurely"))?;
            if body.len() + chunk.len() > limits.body_bytes {
                return Err(Error::new(Kind::TooLarge, "the request body exceeds the size limit"));
            }
            in_flight.receive(body.len() + chunk.len())?;
            body.extend_from_slice(&chunk);
        }
        in_flight.hold_body(body.len());
        Ok(body.freeze())
    };
    match select(reading, in_flight::end_of_reading(&shared, is_refused)).await {
        Either::Left(read) => read,
        Either::Right(error) => Err(error),
    }
}

/// Returns the client headers to forward to a backend server: all but hop-by-hop headers, headers named in
/// `Connection`, and those that the dialect withholds.
fn forwarded_headers<D: Dialect>(dialect: &D, headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<String> = headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let hop_by_hop =
            is_hop_by_hop(name.as_str()) || connection_headers.iter().any(|n| n == name.as_str());
        if !hop_by_hop && dialect.passes(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
