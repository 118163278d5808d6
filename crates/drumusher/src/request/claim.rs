//! At-most-once execution: a request with an idempotency key has to win a claim in the platform's log before it is
//! sent.

use std::sync::Arc;

use base64::{Engine, engine::general_purpose::STANDARD};
use drumusher_log::claim::{self, Answer, Attempt, Key, Status};
use ntex::{
    http::StatusCode,
    time::{Millis, timeout},
    web::HttpResponse,
};
use sha2::{Digest, Sha256};

use crate::{
    error::{Error, Kind},
    process::{
        Shared,
        platform::{Claimed, Input},
    },
};

/// Maximum size of a response body that is stored for repeated requests, in bytes.
const MAX_STORED_BODY: usize = 8_192;
/// Time that the platform thread may take in addition to the platform's own timeout, in milliseconds.
const PLATFORM_GRACE_MS: u64 = 1_000;
/// `Retry-After` while another attempt runs or the log is unavailable, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Header that marks a response that was replayed from the log.
pub const REPLAYED_HEADER: &str = "Drumusher-Replayed";

/// Derives the claim key: a hash of workspace, route and idempotency key.
pub fn derive_key(workspace: &str, route: &str, idempotency_key: &str) -> Key {
    let mut hash = Sha256::new();
    for part in [workspace, route, idempotency_key] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    let digest: [u8; 32] = hash.finalize().into();
    let (truncated, _) = digest.split_first_chunk::<16>().expect("a digest has 32 bytes");
    Key(u128::from_be_bytes(*truncated))
}

/// Result of a successful request for a claim.
pub enum Obtained {
    /// The request may be sent, once.
    Claim(Claim),
    /// The request ran before; this is its stored response.
    Replay(HttpResponse),
}

/// A claim held by this attempt. If it is dropped before the request was sent, it is released.
pub struct Claim {
    shared: Arc<Shared>,
    key: Key,
    attempt: Attempt,
    sent: bool,
}

/// Obtains the claim on `key` for an attempt. `request` is the fingerprint by which another request with the same key
/// is recognised.
///
/// # Errors
///
/// The error to respond with if the request may not be sent.
pub async fn obtain(
    shared: &Arc<Shared>,
    attempt: u128,
    key: Key,
    request: u64,
) -> Result<Obtained, Error> {
    let attempt = Attempt(attempt);
    let (reply, receiver) = async_channel::bounded(1);
    let input = Input::Claim { key, attempt, request, reply };
    if shared.platform.try_send(input).is_err() {
        return Err(
            Error::new(Kind::Overloaded, "too many claims").with_retry_after(RETRY_AFTER_MS)
        );
    }
    // From here on, dropping the claim releases it unless the request was sent.
    let mut claim = Claim { shared: shared.clone(), key, attempt, sent: false };
    let timeout_ms = shared.settings.platform.claim_ms + PLATFORM_GRACE_MS;
    let claimed = timeout(Millis(timeout_ms as u32), receiver.recv()).await;
    match claimed {
        Ok(Ok(Claimed::Won)) => Ok(Obtained::Claim(claim)),
        Ok(Ok(Claimed::Lost(other))) => {
            claim.sent = true;
            respond_to_conflict(shared, &other, request).map(Obtained::Replay)
        }
        Ok(Ok(Claimed::Unconfirmed)) | Ok(Err(_)) | Err(_) => {
            let message = "the platform's log is unavailable; the request may not run without it";
            Err(Error::new(Kind::LogUnavailable, message).with_retry_after(RETRY_AFTER_MS))
        }
    }
}

/// Returns the response or error when another attempt holds the claim.
fn respond_to_conflict(
    shared: &Shared,
    claim: &claim::Claim,
    request: u64,
) -> Result<HttpResponse, Error> {
    if claim.request != request {
        let message = "the idempotency key was used for another request";
        return Err(Error::new(Kind::KeyReused, message));
    }
    match &claim.status {
        Status::Done(answer) => replay(answer),
        Status::Claimed if is_listed(shared, &claim.instance) => {
            let message = "a request with this idempotency key is running";
            Err(Error::new(Kind::Running, message).with_retry_after(RETRY_AFTER_MS))
        }
        Status::Claimed => {
            let message = "a request with this idempotency key was started; its outcome is unknown";
            Err(Error::new(Kind::OutcomeUnknown, message))
        }
    }
}

fn is_listed(shared: &Shared, instance: &str) -> bool {
    *instance == *shared.name || shared.directory.load().instances.contains_key(instance)
}

fn replay(answer: &Answer) -> Result<HttpResponse, Error> {
    let body = answer.body.as_ref().and_then(|body| STANDARD.decode(body).ok());
    let status = StatusCode::from_u16(answer.status).ok();
    let (Some(body), Some(status)) = (body, status) else {
        return Err(Error::new(
            Kind::AlreadyRan,
            "the request already ran; its response is not stored",
        ));
    };
    let mut response = HttpResponse::build(status);
    response.set_header(REPLAYED_HEADER, "true");
    response.content_type(answer.content_type.as_str());
    Ok(response.body(body))
}

impl Claim {
    /// Records that the request is about to be sent: from now on it may have run.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Records that nothing was sent after all.
    pub fn mark_not_sent(&mut self) {
        self.sent = false;
    }

    /// Records that the request ran, and stores its response unless the body is too long.
    pub fn complete(self, status: u16, content_type: &str, body: Option<&[u8]>) {
        let stored = body.filter(|body| body.len() <= MAX_STORED_BODY);
        let answer = Answer {
            status,
            content_type: content_type.to_string(),
            body: stored.map(|body| STANDARD.encode(body)),
        };
        let input = Input::Done(self.key, self.attempt, answer);
        if self.shared.platform.try_send(input).is_err() {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "platform")]);
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.sent {
            return;
        }
        let _ = self.shared.platform.try_send(Input::Release(self.key, self.attempt));
    }
}
