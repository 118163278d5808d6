//! Model requests: chat and text completions, streaming or not.

use std::sync::Arc;

use futures_util::stream::unfold;
use ntex::{http::HeaderMap, util::Bytes, web::HttpResponse};
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    attempt, claim, head::Head, id, in_flight::InFlight, lifecycle::Lifecycle, response,
    stream::CompletionStream, trace::Span,
};
use crate::{
    error::{Error, Kind},
    process::Shared,
    version::Pool,
};

/// Approximate number of prompt characters per token.
const CHARACTERS_PER_TOKEN: usize = 4;
/// A body is held twice while it is sent: parsed, and as it is sent.
const BODY_COPIES: usize = 2;
/// Length of the prompt prefix that is hashed for cache affinity, in bytes.
const AFFINITY_PREFIX_BYTES: usize = 512;

/// Kind of completion that the client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// Chat completion: messages in, a message out.
    Chat,
    /// Text completion: text in, text out.
    Text,
}

impl CompletionKind {
    /// Returns the API path, which is the same at engines and instances.
    pub fn path(self) -> &'static str {
        match self {
            CompletionKind::Chat => "/v1/chat/completions",
            CompletionKind::Text => "/v1/completions",
        }
    }
}

/// A parsed request body.
struct Request {
    body: Map<String, Value>,
    model: Arc<str>,
    streaming: bool,
    prompt: u32,
    prefix: u64,
}

/// Handles a completion request.
pub async fn serve(
    shared: Arc<Shared>,
    client: attempt::Client,
    kind: CompletionKind,
    headers: &HeaderMap,
    body: Bytes,
    in_flight: InFlight,
) -> HttpResponse {
    let span = Span::server(shared.telemetry.tracer(), headers);
    let request_id = id::random();
    let served = execute(shared, client, kind, headers, body, in_flight, (request_id, &span)).await;
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
    kind: CompletionKind,
    headers: &HeaderMap,
    body: Bytes,
    mut in_flight: InFlight,
    (request_id, span): (u128, &Span),
) -> Result<HttpResponse, Error> {
    let head = Head::read(&shared, headers)?;
    let fingerprint = xxh3_64_with_seed(&body, 0);
    in_flight.extend_to(body.len() * BODY_COPIES)?;
    let request = parse_request(&shared, &head, kind, &body)?;
    drop(body);
    let pool = Pool::Model(request.model.clone());
    if !shared.directory.load().pools.contains_key(&pool) {
        let message = format!("there is no model {:?}", request.model);
        return Err(Error::new(Kind::UnknownModel, message));
    }
    let claim = match (&head.idempotency_key, head.settings.repeatable) {
        (Some(key), false) => {
            let claim_key = claim::derive_key(&head.workspace, kind.path(), key);
            match claim::obtain(&shared, request_id, claim_key, fingerprint).await? {
                claim::Obtained::Claim(claim) => Some(claim),
                claim::Obtained::Replay(response) => return Ok(response),
            }
        }
        _ => None,
    };
    let mut lifecycle = Lifecycle::new(in_flight, request_id, head, pool, span.clone());
    lifecycle.prompt = request.prompt;
    lifecycle.prefix = request.prefix;
    let streaming = request.streaming;
    let model = request.model.clone();
    let mut stream = CompletionStream::new(lifecycle, client, kind, request.body, claim);
    if streaming {
        return respond_streaming(stream).await;
    }
    collect(&mut stream).await?;
    let body =
        response::completion(kind, request_id, &model, &stream.scanner, stream.lifecycle.prompt);
    stream.store_response(200, "application/json", Some(body.to_string().as_bytes()));
    Ok(HttpResponse::Ok().json(&body))
}

async fn collect(stream: &mut CompletionStream) -> Result<(), Error> {
    while stream.next_chunk().await?.is_some() {}
    Ok(())
}

/// Responds with the first chunk, then streams the rest as the client reads it: backpressure from a slow client slows
/// down only the reading from the engine.
async fn respond_streaming(mut stream: CompletionStream) -> Result<HttpResponse, Error> {
    let first = stream.next_chunk().await?;
    let state = Some((stream, first));
    let chunks = unfold(state, |state| async move {
        let (mut stream, ready) = state?;
        if let Some(bytes) = ready {
            return Some((Ok::<Bytes, std::io::Error>(bytes), Some((stream, None))));
        }
        match stream.next_chunk().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some((stream, None)))),
            Ok(None) => {
                stream.store_response(200, "text/event-stream", None);
                None
            }
            Err(error) => {
                let event = format!("data: {}\n\n", error.object());
                Some((Ok(Bytes::from(event)), None))
            }
        }
    });
    Ok(HttpResponse::Ok().content_type("text/event-stream").streaming(Box::pin(chunks)))
}

fn parse_request(
    shared: &Shared,
    head: &Head,
    kind: CompletionKind,
    body: &[u8],
) -> Result<Request, Error> {
    let bad = |message: String| Error::new(Kind::BadRequest, message);
    let parsed: Value =
        serde_json::from_slice(body).map_err(|e| bad(format!("the body is not JSON: {e}")))?;
    let Value::Object(mut body) = parsed else {
        return Err(bad("the body is not a JSON object".into()));
    };
    let Some(model) = body.get("model").and_then(Value::as_str).map(Arc::from) else {
        return Err(bad("the body names no model".into()));
    };
    if body.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(bad("only one choice (n = 1) is served".into()));
    }
    let prompt = match kind {
        CompletionKind::Chat => body.get("messages").filter(|messages| messages.is_array()),
        CompletionKind::Text => body.get("prompt").filter(|prompt| prompt.is_string()),
    };
    let Some(prompt) = prompt.map(Value::to_string) else {
        return Err(bad("the body has no prompt or messages".into()));
    };
    let streaming = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let salt = salt(shared, head);
    let start = &prompt.as_bytes()[..prompt.len().min(AFFINITY_PREFIX_BYTES)];
    let prefix = xxh3_64_with_seed(start, xxh3_64_with_seed(salt.as_bytes(), 0)).max(1);
    body.insert("stream".into(), Value::Bool(true));
    body.insert("priority".into(), Value::from(head.settings.tier));
    body.insert("cache_salt".into(), Value::String(salt));
    let prompt = (prompt.len() / CHARACTERS_PER_TOKEN).max(1) as u32;
    Ok(Request { body, model, streaming, prompt, prefix })
}

/// Returns a salt that separates the cached prefixes of different workspaces.
fn salt(shared: &Shared, head: &Head) -> String {
    let mut hash = Sha256::new();
    hash.update(shared.settings.fleet_secret.as_bytes());
    hash.update([0]);
    hash.update(head.workspace.as_bytes());
    hex::encode(&hash.finalize()[..8])
}
