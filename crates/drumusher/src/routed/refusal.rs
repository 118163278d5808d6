//! Answers of the instance's own on routed paths.

use ntex::http::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue},
};

use crate::error::Error;

/// The header that tells a caller when to come back, in seconds with a fraction.
const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after");

/// The answer for an error; `close` asks the caller to use another connection.
pub fn response(error: &Error, close: bool) -> Response {
    let status = StatusCode::from_u16(error.kind.status()).expect("the table has valid codes");
    let mut builder = Response::build(status);
    if let Some(milliseconds) = error.retry_after_ms {
        let seconds = format!("{}.{:03}", milliseconds / 1_000, milliseconds % 1_000);
        if let Ok(value) = HeaderValue::try_from(seconds) {
            builder.header(RETRY_AFTER, value);
        }
    }
    if close {
        builder.force_close();
    }
    builder.json(&error.object())
}
