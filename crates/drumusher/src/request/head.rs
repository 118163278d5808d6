//! Parses the client's headers: workspace, traffic class, arrival token and idempotency key.

use std::sync::Arc;

use drumusher_log::config::Class;
use ntex::http::HeaderMap;

use super::arrival_token;
use crate::{
    error::{ARRIVAL_TOKEN_HEADER, Error, Kind},
    process::{Shared, clock},
    version::Version,
};

/// Header that selects a traffic class.
pub const CLASS_HEADER: &str = "Drumusher-Class";
/// Header with an idempotency key, which makes a request safe to send again.
pub const IDEMPOTENCY_HEADER: &str = "Idempotency-Key";
/// Header that carries the request ID to backend servers and back.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Values from the client's headers, with the configuration that they select.
#[derive(Clone, Debug)]
pub struct Head {
    /// Configuration version in force when the request arrived, which applies until it ends.
    pub version: Arc<Version>,
    /// Workspace of the client.
    pub workspace: Arc<str>,
    /// Name of the traffic class.
    pub class: Arc<str>,
    /// Settings of the traffic class.
    pub settings: Class,
    /// When the request first arrived, on the process's clock in microseconds.
    pub arrived: u64,
    /// The same in Unix milliseconds.
    pub arrived_ms: u64,
    /// Idempotency key, if the client sent one.
    pub idempotency_key: Option<String>,
}

impl Head {
    /// Parses the headers.
    ///
    /// # Errors
    ///
    /// The error to respond with: not configured, invalid key, or unknown class.
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
        let verified =
            token.and_then(|token| arrival_token::verify(secret, &workspace, &class, token));
        let arrived_ms = verified.unwrap_or(now_ms);
        let arrived = clock::now() - (now_ms - arrived_ms) * 1_000;
        Ok(Head { version, workspace, class, settings, arrived, arrived_ms, idempotency_key })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the bearer token of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    text(headers, "authorization")?.strip_prefix("Bearer ").map(str::trim)
}

fn workspace(version: &Version, headers: &HeaderMap) -> Result<Arc<str>, Error> {
    let found = bearer(headers).and_then(|key| version.workspace_of(key));
    let refused = || Error::new(Kind::Unauthorized, "the API key is missing or invalid");
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
        let message = format!("the header {CLASS_HEADER} has to name a traffic class");
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
    let key = value.to_str().ok().filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    match key {
        Some(key) => Ok(Some(key.to_string())),
        None => {
            let message = format!("{IDEMPOTENCY_HEADER} takes 1 to {MAX_KEY_BYTES} characters");
            Err(Error::new(Kind::BadRequest, message))
        }
    }
}
