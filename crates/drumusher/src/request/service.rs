//! Calls of plain services.

use std::sync::Arc;

use drumusher_log::config;
use drumusher_schedule::ask::Outcome;
use ntex::{
    client::{Client, ClientResponse},
    http::{HeaderMap, Method},
    util::{Bytes, BytesMut},
    web::HttpResponse,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    answer,
    attempt::{self, Handover},
    claim::{self, Claim},
    flow::{DONE, Flow},
    head::Head,
    id,
    in_flight::InFlight,
    trace::Span,
};
use crate::{
    error::{Error, Kind, Ran},
    process::Shared,
    version::{Backend, Pool},
};

/// Longest answer of a service that is relayed, in bytes.
const LONGEST_ANSWER: usize = 8 * 1024 * 1024;

/// A call as the caller made it.
pub struct Call<'a> {
    /// The service's name.
    pub service: &'a str,
    /// Path and query at the service.
    pub path: &'a str,
    /// The method.
    pub method: Method,
    /// The caller's headers.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A whole answer of a service.
struct Answer {
    status: u16,
    content_type: String,
    body: Bytes,
}

/// Serves one call.
pub async fn serve(
    shared: Arc<Shared>,
    client: Client,
    call: Call<'_>,
    in_flight: InFlight,
) -> HttpResponse {
    let span = Span::entry(shared.telemetry.tracer(), call.headers);
    let request_id = id::random();
    let served = start(shared, client, &call, in_flight, (request_id, &span)).await;
    let mut response = served.unwrap_or_else(|error| {
        span.fail(error.kind.code());
        error.response()
    });
    answer::mark(&mut response, request_id, &span);
    response
}

async fn start(
    shared: Arc<Shared>,
    client: Client,
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
    let safe = matches!(call.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let repeatable = safe || settings.repeatable && head.settings.repeatable;
    let claim = match &head.idempotency_key {
        Some(key) if !repeatable => {
            let subject = claim::subject(&head.workspace, call.service, key);
            let request = fingerprint(call);
            match claim::obtain(&shared, request_id, subject, request).await? {
                claim::Obtained::Claim(claim) => Some(claim),
                claim::Obtained::Answer(response) => return Ok(response),
            }
        }
        _ => None,
    };
    let mut flow = Flow::new(in_flight, request_id, head, pool, span.clone());
    flow.repeatable = repeatable;
    run(&mut flow, &client, call, &settings, claim).await
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

async fn run(
    flow: &mut Flow,
    client: &Client,
    call: &Call<'_>,
    settings: &config::Service,
    mut claim: Option<Claim>,
) -> Result<HttpResponse, Error> {
    loop {
        let backend = flow.granted().await?;
        let span = flow.span.child(flow.shared.telemetry.tracer(), "attempt");
        span.note("drumusher.server", backend.name.to_string());
        flow.begin_attempt();
        flow.report(None, 0);
        if let Some(claim) = &mut claim {
            claim.handing_over();
        }
        let error = match attempt(flow, client, call, settings, &backend, &span).await {
            Ok(answer) => {
                span.end();
                flow.end(Outcome::Done);
                flow.ended(DONE);
                flow.shared.telemetry.count_request(&flow.head.class, "done", 0);
                return Ok(relay(answer, claim));
            }
            Err(error) => error,
        };
        span.fail(error.words());
        span.end();
        flow.end(Outcome::Failed);
        flow.log_failure(&backend.name, error.words());
        let surely_not_run = error.surely_not_run();
        if surely_not_run && let Some(claim) = &mut claim {
            claim.not_handed_over();
        }
        if !flow.may_retry(&backend.name, surely_not_run) {
            flow.shared.telemetry.count_request(&flow.head.class, "failed", 0);
            return Err(final_error(flow, surely_not_run));
        }
    }
}

fn final_error(flow: &Flow, surely_not_run: bool) -> Error {
    // A request that may not be repeated is handed over once, so that if this attempt did not
    // reach a server, none did.
    if surely_not_run && (!flow.repeatable || flow.attempts == 1) {
        let message = "no server of the service could be reached";
        return flow.refused(Kind::NoServer, message, 1_000).with_ran(Ran::No);
    }
    flow.ended(Kind::BackendFailed.code());
    Error::new(Kind::BackendFailed, "the service did not answer; the call may have run")
}

async fn attempt(
    flow: &Flow,
    client: &Client,
    call: &Call<'_>,
    settings: &config::Service,
    backend: &Backend,
    span: &Span,
) -> Result<Answer, attempt::Error> {
    let headers = passed(call.headers);
    let handover = Handover {
        address: &backend.address,
        method: call.method.clone(),
        path: call.path,
        id: flow.id,
        traceparent: span.traceparent(),
        headers: &headers,
        body: call.body.clone(),
    };
    let longest = ntex::time::Millis(settings.timeout_ms as u32);
    let sent = ntex::time::timeout(longest, attempt::send(client, handover)).await;
    let response = sent.unwrap_or(Err(attempt::Error::Broken))?;
    whole(response, settings.timeout_ms).await
}

/// Reads a whole answer; a body that breaks off is none.
async fn whole(response: ClientResponse, longest_ms: u64) -> Result<Answer, attempt::Error> {
    let content_type = response.header("content-type").and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").to_string();
    let status = response.status().as_u16();
    let mut payload = response.take_payload();
    let mut body = BytesMut::new();
    while let Some(piece) = attempt::piece(&mut payload, longest_ms).await? {
        body.extend_from_slice(&piece);
        if body.len() > LONGEST_ANSWER {
            return Err(attempt::Error::Broken);
        }
    }
    Ok(Answer { status, content_type, body: body.freeze() })
}

fn passed(headers: &HeaderMap) -> Vec<(&'static str, String)> {
    let mut passed = Vec::new();
    for name in attempt::PASSED {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        passed.extend(value.map(|value| (name, value.to_string())));
    }
    passed
}

fn relay(answer: Answer, claim: Option<Claim>) -> HttpResponse {
    if let Some(claim) = claim {
        claim.done(answer.status, &answer.content_type, Some(&answer.body));
    }
    let status = ntex::http::StatusCode::from_u16(answer.status);
    let mut response = HttpResponse::build(status.unwrap_or(ntex::http::StatusCode::BAD_GATEWAY));
    response.content_type(answer.content_type.as_str());
    response.body(answer.body)
}
