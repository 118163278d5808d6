//! Signed arrival times. A refused client sends its token with the next attempt and keeps its original position in the
//! queue, so that repeated refusals cannot starve it.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::process::clock;

/// Maximum age of a token, in milliseconds.
const MAX_AGE_MS: u64 = 600_000;
/// Length of the truncated signature, in bytes.
const SIGNATURE_BYTES: usize = 16;

fn mac(secret: &str, workspace: &str, class: &str, arrived_ms: u64) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any length is taken");
    mac.update(b"drumusher place");
    for part in [workspace, class] {
        mac.update(&[0]);
        mac.update(part.as_bytes());
    }
    mac.update(&[0]);
    mac.update(&arrived_ms.to_be_bytes());
    mac
}

/// Issues a token for a request that arrived at `arrived_ms`, in Unix milliseconds.
pub fn issue(secret: &str, workspace: &str, class: &str, arrived_ms: u64) -> String {
    let signature = mac(secret, workspace, class, arrived_ms).finalize().into_bytes();
    format!("{arrived_ms:x}.{}", hex::encode(&signature[..SIGNATURE_BYTES]))
}

/// Returns the arrival time in a token, if the signature is valid for this workspace and class and the token is not
/// too old.
pub fn verify(secret: &str, workspace: &str, class: &str, token: &str) -> Option<u64> {
    let (arrived, signature) = token.split_once('.')?;
    let arrived_ms = u64::from_str_radix(arrived, 16).ok()?;
    let signature = hex::decode(signature).ok().filter(|bytes| bytes.len() == SIGNATURE_BYTES)?;
    mac(secret, workspace, class, arrived_ms).verify_truncated_left(&signature).ok()?;
    let age = clock::unix_ms().checked_sub(arrived_ms)?;
    (age <= MAX_AGE_MS).then_some(arrived_ms)
}
