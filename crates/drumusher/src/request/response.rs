//! Response formats.

use ntex::{http::header::HeaderValue, web::HttpResponse};
use serde_json::{Value, json};

use super::{completion::CompletionKind, head::REQUEST_ID_HEADER, id, sse::Scanner, trace::Span};

/// Response header with the trace ID of the request.
pub const TRACE_HEADER: &str = "Drumusher-Trace";

/// Adds the request ID and trace ID to the response headers.
pub fn add_headers(response: &mut HttpResponse, request_id: u128, span: &Span) {
    let headers = response.headers_mut();
    let values = [(REQUEST_ID_HEADER, id::to_text(request_id)), (TRACE_HEADER, span.trace())];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            let name = ntex::http::header::HeaderName::from_bytes(name.as_bytes());
            headers.insert(name.expect("the names are constants"), value);
        }
    }
}

/// Builds the JSON body of a completion that is not streamed.
pub fn completion(
    kind: CompletionKind,
    request: u128,
    model: &str,
    scanner: &Scanner,
    prompt: u32,
) -> Value {
    let text = scanner.text();
    let reason = scanner.finish_reason();
    let (object, choice) = match kind {
        CompletionKind::Text => {
            let choice = json!({"index": 0, "text": text, "finish_reason": reason});
            ("text_completion", choice)
        }
        CompletionKind::Chat => {
            let message = json!({"role": "assistant", "content": text});
            let choice = json!({"index": 0, "message": message, "finish_reason": reason});
            ("chat.completion", choice)
        }
    };
    json!({
        "id": id::to_text(request),
        "object": object,
        "model": model,
        "choices": [choice],
        "usage": {"prompt_tokens": prompt, "completion_tokens": scanner.delivered()},
    })
}
