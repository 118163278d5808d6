//! Error responses that the instance itself generates on routed paths.

use ntex::http::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue},
};

use crate::error::Error;

/// `Retry-After`, sent as seconds with three decimals.
const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after");

/// Builds the response for an error. If `close` is set, the connection is closed after it, so that the client opens
/// another one.
pub fn build(error: &Error, close: bool) -> Response {
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
