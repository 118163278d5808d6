//! What a caller's headers say: workspace, class, place.

use std::sync::Arc;

use drumusher_log::config::Class;
use ntex::http::HeaderMap;

use super::arrival_token;
use crate::{
    error::{ARRIVAL_TOKEN_HEADER, Error, Kind},
    process::{Shared, clock},
    version::Version,
};

/// The header that names a class.
pub const CLASS_HEADER: &str = "Drumusher-Class";
/// The header that makes a request safe to send again.
pub const IDEMPOTENCY_HEADER: &str = "Idempotency-Key";
/// The header that carries the request's identity to backend servers and back.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";
/// Longest idempotency key in bytes.
const LONGEST_KEY: usize = 256;

/// Who calls, and for what.
#[derive(Clone, Debug)]
pub struct Head {
    /// The version the request began with, which it keeps.
    pub version: Arc<Version>,
    /// The caller's workspace.
    pub workspace: Arc<str>,
    /// The class's name.
    pub class: Arc<str>,
    /// The class.
    pub settings: Class,
    /// When the request first arrived, on the process's clock.
    pub arrived: u64,
    /// The same in milliseconds since 1970.
    pub arrived_ms: u64,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
}

impl Head {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// An answer for the caller: not configured, wrong key, unknown class.
    pub fn read(shared: &Shared, headers: &HeaderMap) -> Result<Head, Error> {
        let version = shared.version.load_full();
        if version.state.workspaces.is_empty() {
            let message = "this instance has no configuration yet";
            return Err(Error::new(Kind::NotReady, message).with_retry_after(1_000));
        }
        let workspace = workspace(&version, headers)?;
        let (class, settings) = class(&version, &workspace, headers)?;
        let idempotency_key = idempotency_key(headers)?;
        let now_ms = clock::unix_ms();
        let token = text(headers, ARRIVAL_TOKEN_HEADER);
        let secret = &shared.settings.fleet_secret;
        let kept = token.and_then(|token| arrival_token::verify(secret, &workspace, &class, token));
        let arrived_ms = kept.unwrap_or(now_ms);
        let arrived = clock::now() - (now_ms - arrived_ms) * 1_000;
        Ok(Head { version, workspace, class, settings, arrived, arrived_ms, idempotency_key })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The bearer key of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    text(headers, "authorization")?.strip_prefix("Bearer ").map(str::trim)
}

fn workspace(version: &Version, headers: &HeaderMap) -> Result<Arc<str>, Error> {
    let found = bearer(headers).and_then(|key| version.workspace_of(key));
    let refused = || Error::new(Kind::Unauthorized, "the API key is missing or not valid");
    found.map(Arc::from).ok_or_else(refused)
}

fn class(
    version: &Version,
    workspace: &str,
    headers: &HeaderMap,
) -> Result<(Arc<str>, Class), Error> {
    let default = &version.state.workspaces[workspace].object.class;
    let named = text(headers, CLASS_HEADER).or(default.as_deref());
    let Some(name) = named else {
        let message = format!("name a class in the header {CLASS_HEADER}");
        return Err(Error::new(Kind::UnknownClass, message));
    };
    match version.state.classes.get(name) {
        Some(class) => Ok((name.into(), class.object.clone())),
        None => Err(Error::new(Kind::UnknownClass, format!("there is no class {name:?}"))),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Error> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().ok().filter(|key| !key.is_empty() && key.len() <= LONGEST_KEY);
    match key {
        Some(key) => Ok(Some(key.to_string())),
        None => {
            let message = format!("{IDEMPOTENCY_HEADER} takes 1 to {LONGEST_KEY} characters");
            Err(Error::new(Kind::BadRequest, message))
        }
    }
}
