//! Calls to plain services.

use std::sync::Arc;

use drumusher_log::config;
use drumusher_schedule::{ask::Outcome, time::MILLISECOND};
use ntex::{
    http::{HeaderMap, Method},
    util::{Bytes, BytesMut},
    web::HttpResponse,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    attempt::{self, AttemptRequest},
    claim::{self, Claim},
    head::Head,
    id,
    in_flight::InFlight,
    lifecycle::{DONE, Lifecycle},
    response,
    trace::Span,
};
use crate::{
    delivery::Pieces,
    error::{Error, Kind, Ran},
    process::{
        Shared, clock,
        memory::{Intake, Reservation},
    },
    version::{Backend, Pool},
};

/// Maximum size of a service's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A call made by a client.
pub struct Call<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Path and query at the service.
    pub path: &'a str,
    /// HTTP method.
    pub method: Method,
    /// Headers of the client.
    pub headers: &'a HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// A complete response of a service.
struct ServiceResponse {
    status: u16,
    content_type: String,
    body: Bytes,
    memory: Reservation,
}

/// Handles a service call.
pub async fn serve(
    shared: Arc<Shared>,
    client: attempt::Client,
    call: Call<'_>,
    in_flight: InFlight,
) -> HttpResponse {
    let span = Span::server(shared.telemetry.tracer(), call.headers);
    let request_id = id::random();
    let served = execute(shared, client, &call, in_flight, (request_id, &span)).await;
    let mut response = served.unwrap_or_else(|error| {
        span.fail(error.kind.code());
        error.response()
    });
    response::add_headers(&mut response, request_id, &span);
    response
}

async fn execute(
    shared: Arc<Shared>,
    client: attempt::Client,
    call: &Call<'_>,
    in_flight: InFlight,
    (request_id, span): (u128, &Span),
) -> Result<HttpResponse, Error> {
    let head = Head::read(&shared, call.headers)?;
    let pool = Pool::Service(call.service.into());
    if !shared.directory.load().pools.contains_key(&pool) {
        let message = format!("there is no service {:?}", call.service);
        return Err(Error::new(Kind::UnknownService, message));
    }
    let settings = settings(&head, call.service);
    let is_safe = matches!(call.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let repeatable = is_safe || settings.repeatable && head.settings.repeatable;
    let claim = match &head.idempotency_key {
        Some(key) if !repeatable => {
            let claim_key = claim::derive_key(&head.workspace, call.service, key);
            let request = fingerprint(call);
            match claim::obtain(&shared, request_id, claim_key, request).await? {
                claim::Obtained::Claim(claim) => Some(claim),
                claim::Obtained::Replay(response) => return Ok(response),
            }
        }
        _ => None,
    };
    let mut lifecycle = Lifecycle::new(in_flight, request_id, head, pool, span.clone());
    lifecycle.repeatable = repeatable;
    run_attempts(&mut lifecycle, &client, call, &settings, claim).await
}

fn settings(head: &Head, service: &str) -> config::Service {
    let configured = head.version.state.services.get(service);
    configured.map(|service| service.object.clone()).unwrap_or_default()
}

fn fingerprint(call: &Call<'_>) -> u64 {
    let seed = xxh3_64_with_seed(call.path.as_bytes(), 0);
    let seed = xxh3_64_with_seed(call.method.as_str().as_bytes(), seed);
    xxh3_64_with_seed(&call.body, seed)
}

async fn run_attempts(
    lifecycle: &mut Lifecycle,
    client: &attempt::Client,
    call: &Call<'_>,
    settings: &config::Service,
    mut claim: Option<Claim>,
) -> Result<HttpResponse, Error> {
    loop {
        let backend = lifecycle.acquire_backend().await?;
        let span = lifecycle.span.child(lifecycle.shared.telemetry.tracer(), "attempt");
        span.set_attribute("drumusher.server", backend.name.to_string());
        lifecycle.begin_attempt();
        lifecycle.report_progress(None, 0);
        if let Some(claim) = &mut claim {
            claim.mark_sent();
        }
        let error = match attempt(lifecycle, client, call, settings, &backend, &span).await {
            Ok(response) => {
                span.end();
                lifecycle.finish_attempt(Outcome::Done);
                lifecycle.set_outcome(DONE);
                lifecycle.shared.telemetry.count_request(&lifecycle.head.class, "done", 0);
                return Ok(respond(response, claim));
            }
            Err(error) => error,
        };
        span.fail(error.as_str());
        span.end();
        let has_run = error == attempt::Error::NoMemory;
        lifecycle.finish_attempt(if has_run { Outcome::Cancelled } else { Outcome::Failed });
        lifecycle.log_failure(&backend.name, error.as_str());
        if has_run {
            lifecycle.set_outcome(Kind::BackendFailed.code());
            let message = "this instance has no memory for the response; the call has run";
            return Err(Error::new(Kind::BackendFailed, message).with_ran(Ran::Yes));
        }
        let not_run = error.not_run();
        if not_run && let Some(claim) = &mut claim {
            claim.mark_not_sent();
        }
        if !lifecycle.may_retry(&backend, error) {
            lifecycle.shared.telemetry.count_request(&lifecycle.head.class, "failed", 0);
            return Err(final_error(lifecycle, not_run));
        }
    }
}

fn final_error(lifecycle: &Lifecycle, not_run: bool) -> Error {
    // A request that may not be repeated is sent at most once, so if this attempt reached no server, none did.
    if not_run && (!lifecycle.repeatable || lifecycle.attempts == 1) {
        let message = "no server of the service could be reached";
        return lifecycle.refusal_error(Kind::NoServer, message, 1_000).with_ran(Ran::No);
    }
    lifecycle.set_outcome(Kind::BackendFailed.code());
    Error::new(Kind::BackendFailed, "the service did not respond; the call may have run")
}

async fn attempt(
    lifecycle: &Lifecycle,
    client: &attempt::Client,
    call: &Call<'_>,
    settings: &config::Service,
    backend: &Backend,
    span: &Span,
) -> Result<ServiceResponse, attempt::Error> {
    let headers = forwarded_headers(call.headers);
    let request = AttemptRequest {
        server: backend,
        method: call.method.clone(),
        path: call.path,
        id: lifecycle.id,
        traceparent: span.traceparent(),
        headers: &headers,
        body: call.body.clone(),
        repeatable: lifecycle.repeatable,
    };
    let timeout = ntex::time::Millis(settings.timeout_ms as u32);
    let sent = ntex::time::timeout(timeout, attempt::send(client, request)).await;
    let response = sent.unwrap_or(Err(attempt::Error::Stalled))?;
    let has_body = call.method != Method::HEAD;
    let until = clock::now() + settings.timeout_ms * MILLISECOND;
    let intake = Intake::new(&lifecycle.shared, MAX_RESPONSE_BYTES, until);
    read_response(response, intake, has_body, settings.timeout_ms).await
}

/// Reads a complete response; a truncated body is an error. The body is left at the service for as long as the memory
/// for bodies is taken.
async fn read_response(
    mut response: attempt::Response,
    mut intake: Intake<'_>,
    has_body: bool,
    timeout_ms: u64,
) -> Result<ServiceResponse, attempt::Error> {
    let content_type = response.header("content-type").unwrap_or("application/octet-stream");
    let content_type = content_type.to_string();
    let status = response.status();
    let length = response.content_length().filter(|_| has_body).unwrap_or(0);
    intake.expect(length).await?;
    let mut body = BytesMut::with_capacity(length);
    while let Some(chunk) = response.next_chunk(timeout_ms).await? {
        intake.receive(body.len() + chunk.len()).await?;
        body.extend_from_slice(&chunk);
    }
    let memory = intake.finish(body.len());
    Ok(ServiceResponse { status, content_type, body: body.freeze(), memory })
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(&'static str, String)> {
    let mut forwarded = Vec::new();
    for name in attempt::FORWARDED_HEADERS {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        forwarded.extend(value.map(|value| (name, value.to_string())));
    }
    forwarded
}

fn respond(received: ServiceResponse, claim: Option<Claim>) -> HttpResponse {
    if let Some(claim) = claim {
        claim.complete(received.status, &received.content_type, Some(&received.body));
    }
    let status = ntex::http::StatusCode::from_u16(received.status);
    let mut response = HttpResponse::build(status.unwrap_or(ntex::http::StatusCode::BAD_GATEWAY));
    response.content_type(received.content_type.as_str());
    response.body(Pieces::new(received.body, received.memory).into_body())
}
