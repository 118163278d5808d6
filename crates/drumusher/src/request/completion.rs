//! Model requests: chat and plain completions, streamed and not.

use std::sync::Arc;

use futures_util::stream::unfold;
use ntex::{client::Client, http::HeaderMap, util::Bytes, web::HttpResponse};
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    answer, claim, flow::Flow, head::Head, id, in_flight::InFlight, stream::Stream, trace::Span,
};
use crate::{
    error::{Error, Kind},
    process::Shared,
    version::Pool,
};

/// Characters of a prompt that make one token, roughly.
const CHARACTERS_PER_TOKEN: usize = 4;
/// Bytes of a prompt's beginning that are hashed for affinity.
const PREFIX: usize = 512;

/// Which form of completion the caller wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Messages in, a message out.
    Chat,
    /// Text in, text out.
    Plain,
}

impl Form {
    /// The path at an engine, the same as at an instance.
    pub fn path(self) -> &'static str {
        match self {
            Form::Chat => "/v1/chat/completions",
            Form::Plain => "/v1/completions",
        }
    }
}

/// A body that was understood.
struct Request {
    body: Map<String, Value>,
    model: Arc<str>,
    streamed: bool,
    prompt: u32,
    prefix: u64,
}

/// Serves one completion.
pub async fn serve(
    shared: Arc<Shared>,
    client: Client,
    form: Form,
    headers: &HeaderMap,
    body: Bytes,
    in_flight: InFlight,
) -> HttpResponse {
    let span = Span::entry(shared.telemetry.tracer(), headers);
    let request_id = id::random();
    let served = start(shared, client, form, headers, body, in_flight, (request_id, &span)).await;
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
    form: Form,
    headers: &HeaderMap,
    body: Bytes,
    in_flight: InFlight,
    (request_id, span): (u128, &Span),
) -> Result<HttpResponse, Error> {
    let head = Head::read(&shared, headers)?;
    let fingerprint = xxh3_64_with_seed(&body, 0);
    let request = read(&shared, &head, form, &body)?;
    let pool = Pool::Model(request.model.clone());
    if !shared.directory.load().pools.contains_key(&pool) {
        let message = format!("there is no model {:?}", request.model);
        return Err(Error::new(Kind::UnknownModel, message));
    }
    let claim = match (&head.idempotency_key, head.settings.repeatable) {
        (Some(key), false) => {
            let subject = claim::subject(&head.workspace, form.path(), key);
            match claim::obtain(&shared, request_id, subject, fingerprint).await? {
                claim::Obtained::Claim(claim) => Some(claim),
                claim::Obtained::Answer(response) => return Ok(response),
            }
        }
        _ => None,
    };
    let mut flow = Flow::new(in_flight, request_id, head, pool, span.clone());
    flow.prompt = request.prompt;
    flow.prefix = request.prefix;
    let streamed = request.streamed;
    let model = request.model.clone();
    let mut stream = Stream::new(flow, client, form, request.body, claim);
    if streamed {
        return stream_out(stream).await;
    }
    collect(&mut stream).await?;
    let body = answer::completion(form, request_id, &model, &stream.scanner, stream.flow.prompt);
    stream.keep(200, "application/json", Some(body.to_string().as_bytes()));
    Ok(HttpResponse::Ok().json(&body))
}

async fn collect(stream: &mut Stream) -> Result<(), Error> {
    while stream.piece().await?.is_some() {}
    Ok(())
}

/// Answers with the first piece, then the rest as the caller takes it: a slow caller slows the
/// reading from the engine and nothing else.
async fn stream_out(mut stream: Stream) -> Result<HttpResponse, Error> {
    let first = stream.piece().await?;
    let state = Some((stream, first));
    let pieces = unfold(state, |state| async move {
        let (mut stream, ready) = state?;
        if let Some(bytes) = ready {
            return Some((Ok::<Bytes, std::io::Error>(bytes), Some((stream, None))));
        }
        match stream.piece().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some((stream, None)))),
            Ok(None) => {
                stream.keep(200, "text/event-stream", None);
                None
            }
            Err(error) => {
                let event = format!("data: {}\n\n", error.object());
                Some((Ok(Bytes::from(event)), None))
            }
        }
    });
    Ok(HttpResponse::Ok().content_type("text/event-stream").streaming(Box::pin(pieces)))
}

fn read(shared: &Shared, head: &Head, form: Form, body: &[u8]) -> Result<Request, Error> {
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
    let prompt = match form {
        Form::Chat => body.get("messages").filter(|messages| messages.is_array()),
        Form::Plain => body.get("prompt").filter(|prompt| prompt.is_string()),
    };
    let Some(prompt) = prompt.map(Value::to_string) else {
        return Err(bad("the body has no prompt or messages".into()));
    };
    let streamed = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let salt = salt(shared, head);
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX)];
    let prefix = xxh3_64_with_seed(start, xxh3_64_with_seed(salt.as_bytes(), 0)).max(1);
    body.insert("stream".into(), Value::Bool(true));
    body.insert("priority".into(), Value::from(head.settings.tier));
    body.insert("cache_salt".into(), Value::String(salt));
    let prompt = (prompt.len() / CHARACTERS_PER_TOKEN).max(1) as u32;
    Ok(Request { body, model, streamed, prompt, prefix })
}

/// A salt that keeps the workspaces' cached prefixes apart.
fn salt(shared: &Shared, head: &Head) -> String {
    let mut hash = Sha256::new();
    hash.update(shared.settings.fleet_secret.as_bytes());
    hash.update([0]);
    hash.update(head.workspace.as_bytes());
    hex::encode(&hash.finalize()[..8])
}
