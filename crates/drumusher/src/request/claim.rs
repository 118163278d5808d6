//! At most once: the claim that a request with an idempotency key needs before it is handed over.

use std::sync::Arc;

use base64::{Engine, engine::general_purpose::STANDARD};
use drumusher_log::claim::{self, Answer, Attempt, Key, Standing};
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

/// Longest answer that is kept for repeats, in bytes.
const LONGEST_KEPT: usize = 8_192;
/// Time beyond the platform's bound that the platform thread may take to answer, in milliseconds.
const PATIENCE_MS: u64 = 1_000;
/// When to come back while another attempt runs or the log is away, in milliseconds.
const AGAIN_MS: u64 = 1_000;
/// The header that marks a kept answer.
pub const REPLAYED_HEADER: &str = "Drumusher-Replayed";

/// What is claimed: the hash of workspace, route and idempotency key.
pub fn subject(workspace: &str, route: &str, idempotency_key: &str) -> Key {
    let mut hash = Sha256::new();
    for part in [workspace, route, idempotency_key] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    let digest: [u8; 32] = hash.finalize().into();
    let (half, _) = digest.split_first_chunk::<16>().expect("a digest has 32 bytes");
    Key(u128::from_be_bytes(*half))
}

/// How asking for a claim ended well.
pub enum Obtained {
    /// The request may be handed over, once.
    Claim(Claim),
    /// It ran before; its kept answer.
    Answer(HttpResponse),
}

/// A claim that this attempt holds. Dropped before the request was handed over, it is released.
pub struct Claim {
    shared: Arc<Shared>,
    key: Key,
    attempt: Attempt,
    handed_over: bool,
}

/// Claims `key` for an attempt.
///
/// # Errors
///
/// The truthful answer if the request may not be handed over.
pub async fn obtain(
    shared: &Arc<Shared>,
    attempt: u128,
    key: Key,
    request: u64,
) -> Result<Obtained, Error> {
    let attempt = Attempt(attempt);
    let (reply, answer) = async_channel::bounded(1);
    let input = Input::Claim { key, attempt, request, reply };
    if shared.platform.try_send(input).is_err() {
        return Err(Error::new(Kind::Overloaded, "too many claims").with_retry_after(AGAIN_MS));
    }
    // From here on the claim is released unless something was handed over.
    let mut claim = Claim { shared: shared.clone(), key, attempt, handed_over: false };
    let longest = shared.settings.platform.claim_ms + PATIENCE_MS;
    let claimed = timeout(Millis(longest as u32), answer.recv()).await;
    match claimed {
        Ok(Ok(Claimed::Won)) => Ok(Obtained::Claim(claim)),
        Ok(Ok(Claimed::Lost(other))) => {
            claim.handed_over = true;
            lost(shared, &other, request).map(Obtained::Answer)
        }
        Ok(Ok(Claimed::Away)) | Ok(Err(_)) | Err(_) => {
            let message = "the platform's log, without which the request may not run, is away";
            Err(Error::new(Kind::LogUnavailable, message).with_retry_after(AGAIN_MS))
        }
    }
}

/// The answer when another attempt holds the key.
fn lost(shared: &Shared, claim: &claim::Claim, request: u64) -> Result<HttpResponse, Error> {
    if claim.request != request {
        let message = "the idempotency key was used for another request";
        return Err(Error::new(Kind::KeyReused, message));
    }
    match &claim.standing {
        Standing::Done(answer) => replay(answer),
        Standing::Claimed if alive(shared, &claim.instance) => {
            let message = "a request with this idempotency key is running";
            Err(Error::new(Kind::Running, message).with_retry_after(AGAIN_MS))
        }
        Standing::Claimed => {
            let message = "a request with this idempotency key began; how it ended is not known";
            Err(Error::new(Kind::OutcomeUnknown, message))
        }
    }
}

fn alive(shared: &Shared, instance: &str) -> bool {
    *instance == *shared.name || shared.directory.load().instances.contains_key(instance)
}

fn replay(answer: &Answer) -> Result<HttpResponse, Error> {
    let body = answer.body.as_ref().and_then(|body| STANDARD.decode(body).ok());
    let status = StatusCode::from_u16(answer.status).ok();
    let (Some(body), Some(status)) = (body, status) else {
        return Err(Error::new(Kind::AlreadyRan, "the request ran; its answer is not kept"));
    };
    let mut response = HttpResponse::build(status);
    response.set_header(REPLAYED_HEADER, "true");
    response.content_type(answer.content_type.as_str());
    Ok(response.body(body))
}

impl Claim {
    /// The request is about to be handed over: from now on it may have run.
    pub fn handing_over(&mut self) {
        self.handed_over = true;
    }

    /// Surely nothing was handed over after all.
    pub fn not_handed_over(&mut self) {
        self.handed_over = false;
    }

    /// The request ran. Keeps its answer, unless it is too long.
    pub fn done(self, status: u16, content_type: &str, body: Option<&[u8]>) {
        let kept = body.filter(|body| body.len() <= LONGEST_KEPT);
        let answer = Answer {
            status,
            content_type: content_type.to_string(),
            body: kept.map(|body| STANDARD.encode(body)),
        };
        let input = Input::Done(self.key, self.attempt, answer);
        if self.shared.platform.try_send(input).is_err() {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "platform")]);
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.handed_over {
            return;
        }
        let _ = self.shared.platform.try_send(Input::Release(self.key, self.attempt));
    }
}
