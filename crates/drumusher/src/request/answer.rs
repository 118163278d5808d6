//! Shapes of answers.

use ntex::{http::header::HeaderValue, web::HttpResponse};
use serde_json::{Value, json};

use super::{completion::Form, head::REQUEST_ID_HEADER, id, sse::Scanner, trace::Span};

/// The header that names the trace of a request.
pub const TRACE_HEADER: &str = "Drumusher-Trace";

/// Puts the request's identity and its trace into an answer's headers.
pub fn mark(response: &mut HttpResponse, request_id: u128, span: &Span) {
    let headers = response.headers_mut();
    let values = [(REQUEST_ID_HEADER, id::to_text(request_id)), (TRACE_HEADER, span.trace())];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            let name = ntex::http::header::HeaderName::from_bytes(name.as_bytes());
            headers.insert(name.expect("the names are constants"), value);
        }
    }
}

/// A whole completion in one JSON object.
pub fn completion(form: Form, request: u128, model: &str, scanner: &Scanner, prompt: u32) -> Value {
    let text = scanner.text();
    let reason = scanner.finish_reason();
    let (object, choice) = match form {
        Form::Plain => {
            let choice = json!({"index": 0, "text": text, "finish_reason": reason});
            ("text_completion", choice)
        }
        Form::Chat => {
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
