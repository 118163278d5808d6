//! Place tokens: a signed arrival time that a refused caller brings back, so that repeated refusals
//! cannot starve it.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::process::clock;

/// Tokens older than this are worth nothing, in milliseconds.
const LONGEST_MS: u64 = 600_000;
/// Bytes of the signature that are sent.
const SIGNATURE: usize = 16;

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

/// A token for a request that arrived at `arrived_ms` since 1970.
pub fn issue(secret: &str, workspace: &str, class: &str, arrived_ms: u64) -> String {
    let signature = mac(secret, workspace, class, arrived_ms).finalize().into_bytes();
    format!("{arrived_ms:x}.{}", hex::encode(&signature[..SIGNATURE]))
}

/// The arrival in a token, if it is genuine and of this workspace and class.
pub fn verify(secret: &str, workspace: &str, class: &str, token: &str) -> Option<u64> {
    let (arrived, signature) = token.split_once('.')?;
    let arrived_ms = u64::from_str_radix(arrived, 16).ok()?;
    let signature = hex::decode(signature).ok().filter(|bytes| bytes.len() == SIGNATURE)?;
    mac(secret, workspace, class, arrived_ms).verify_truncated_left(&signature).ok()?;
    let age = clock::unix_ms().checked_sub(arrived_ms)?;
    (age <= LONGEST_MS).then_some(arrived_ms)
}
